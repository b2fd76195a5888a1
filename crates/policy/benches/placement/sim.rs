//! Discrete-event simulation of callers, daemons and upstreams. The decisions are those of this package.

use crate::{
    agenda::Agenda,
    report::{
        max_over_mean,
        Span, //
    },
    setup::{
        Change,
        Options,
        Pick,
        Policy,
        Retry,
        Scenario, //
    },
    trace::Flow,
    upstream_model::{
        Outcome,
        UpstreamModel, //
    },
};
use foxtailhinge_policy::{
    admission::{
        least_connected,
        least_loaded,
        Admission,
        Limits,
        Start,
        WaitingList, //
    },
    allowance::{
        Allowance,
        AllowanceSpec,
        Capacity, //
    },
    budget::RetryBudget,
    placement::{
        Placement,
        Sequence, //
    },
    retry_after::RetryAfter,
};
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};
use smallvec::SmallVec;
use std::time::{
    Duration,
    Instant, //
};

/// Refresh interval of the views of the baseline policies.
const VIEW_REFRESH: Duration = Duration::from_millis(250);
const COLD_SLOTS: u32 = 1;
const COLD_CONNECTIONS: u32 = 100;
/// Added to a deadline to switch off early refusal; longer than any wait.
const BEYOND_ANY_WAIT: Duration = Duration::from_secs(3_600);
/// Time for which a shed request occupies its slot.
const SHED_TIME: Duration = Duration::from_millis(5);
/// Delay before a shed request is retried.
const RETRY_DELAY: Duration = Duration::from_millis(10);

enum Event {
    Arrive(u32),
    Open(u32, usize, SmallVec<[usize; 4]>),
    Request(Job),
    Finish(Job, bool, Instant),
    Expire(usize),
    Refresh(usize),
    Change(Change),
    Sample(usize),
}

/// A request at its owner.
#[derive(Clone, Copy)]
struct Job {
    flow: u32,
    index: u32,
    upstream: usize,
    /// Arrival of the first attempt at the fleet; latencies are measured from here.
    arrived: Instant,
    deadline: Instant,
    /// Whether the request is the first one of its flow and confirms its admission.
    confirms: bool,
    generation: u32,
}

struct Upstream {
    zone: usize,
    in_service: bool,
    admission: Admission,
    waiting: WaitingList<Job>,
    allowance: Allowance,
    model: UpstreamModel,
}

struct FlowState {
    ingress: usize,
    upstream: Option<usize>,
    /// Index of the next request.
    next: u32,
    generation: u32,
    arrived: Instant,
}

pub(crate) struct Sim<'a> {
    scenario: &'a Scenario,
    options: Options,
    flows: &'a [Flow],
    states: Vec<FlowState>,
    agenda: Agenda<Event>,
    origin: Instant,
    now: Instant,
    rng: SmallRng,
    upstreams: Vec<Upstream>,
    placement: Placement,
    sequences: Vec<Sequence>,
    /// Upstream that each daemon chose last, for [`Policy::RoundRobin`].
    round_robin: Vec<usize>,
    /// Flows in progress of each daemon at each upstream, for [`Policy::OwnCounts`].
    own_flows: Vec<Vec<u32>>,
    /// Load of each upstream as each daemon last saw it, for the stale policies.
    views: Vec<Vec<u32>>,
    retry_after: Vec<RetryAfter>,
    budget: RetryBudget,
    spans: Vec<Span>,
}

/// Runs one policy on a trace.
pub(crate) fn run(scenario: &Scenario, options: Options, flows: &[Flow]) -> Vec<Span> {
    let mut sim = Sim::new(scenario, options, flows);
    while let Some((at, event)) = sim.agenda.pop() {
        sim.now = at;
        sim.handle(event);
    }
    sim.spans
}

impl<'a> Sim<'a> {
    fn new(scenario: &'a Scenario, options: Options, flows: &'a [Flow]) -> Self {
        let origin = Instant::now();
        let mut rng = SmallRng::seed_from_u64(scenario.load.seed + 1);
        let n = scenario.upstreams;
        let (own_flows, views) = match options.policy {
            Policy::OwnCounts => (vec![vec![0; n]; scenario.daemons], Vec::new()),
            Policy::StaleLeast | Policy::StaleTwo => {
                (Vec::new(), vec![vec![0; n]; scenario.daemons])
            }
            _ => (Vec::new(), Vec::new()),
        };
        let mut ingress = SmallRng::seed_from_u64(scenario.load.seed + 2);
        let mut sim = Self {
            scenario,
            options,
            flows,
            states: Vec::with_capacity(flows.len()),
            agenda: Agenda::new(),
            origin,
            now: origin,
            upstreams: Vec::new(),
            placement: Placement::new(vec![f64::from(scenario.slots); n]),
            sequences: (0..scenario.daemons)
                .map(|_| Sequence::new(&mut rng))
                .collect(),
            round_robin: (0..scenario.daemons)
                .map(|_| rng.random_range(0..n))
                .collect(),
            own_flows,
            views,
            retry_after: vec![RetryAfter::new(); n],
            budget: RetryBudget::new(budget_percent(options.retry), 0),
            spans: scenario.spans.iter().map(|_| Span::new(n)).collect(),
            rng,
        };
        sim.upstreams = (0..n).map(|i| sim.upstream(i)).collect();
        for flow in flows {
            sim.states.push(FlowState {
                ingress: ingress.random_range(0..scenario.daemons),
                upstream: None,
                next: 0,
                generation: 0,
                arrived: origin + flow.at,
            });
        }
        for (i, flow) in flows.iter().enumerate() {
            sim.push(origin + flow.at, Event::Arrive(i as u32));
        }
        for (at, change) in &scenario.changes {
            sim.push(origin + *at, Event::Change(*change));
        }
        for (span, start) in scenario.spans.iter().enumerate() {
            sim.push(origin + *start, Event::Sample(span));
        }
        for daemon in 0..sim.views.len() {
            let phase = VIEW_REFRESH.mul_f64(daemon as f64 / scenario.daemons as f64);
            sim.push(origin + phase, Event::Refresh(daemon));
        }
        sim
    }

    fn upstream(&self, index: usize) -> Upstream {
        let slots = self.scenario.slots;
        let spec = AllowanceSpec {
            full: Capacity {
                slots,
                connections: self.scenario.connections,
            },
            cold_slots: COLD_SLOTS,
            cold_connections: COLD_CONNECTIONS,
            ramp: self.scenario.ramp,
        };
        Upstream {
            zone: index % self.scenario.zones,
            in_service: true,
            admission: Admission::new(Limits {
                slots,
                connections: self.scenario.connections,
                queue: self.options.queue,
            }),
            waiting: WaitingList::default(),
            allowance: Allowance::warm(spec, self.origin),
            model: UpstreamModel::warm(slots, COLD_SLOTS),
        }
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.agenda.push(at, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(flow) => self.arrive(flow),
            Event::Open(flow, at, candidates) => self.open(flow, at, candidates),
            Event::Request(job) => self.request(job),
            Event::Finish(job, answered, started) => self.finish(job, answered, started),
            Event::Expire(upstream) => self.expire(upstream),
            Event::Refresh(daemon) => self.refresh(daemon),
            Event::Change(change) => self.change(change),
            Event::Sample(span) => self.sample(span),
        }
    }

    /// Returns the span in which a request arrived, unless it arrived before the first one.
    fn span(&mut self, arrived: Instant) -> Option<&mut Span> {
        let at = arrived - self.origin;
        let index = self.scenario.spans.partition_point(|start| *start <= at);
        self.spans.get_mut(index.checked_sub(1)?)
    }

    fn arrive(&mut self, flow: u32) {
        if self.options.policy == Policy::Owner {
            let candidates = self.candidates(self.states[flow as usize].ingress);
            if candidates.is_empty() {
                let arrived = self.states[flow as usize].arrived;
                self.refuse_flow(flow, arrived, 0);
                return;
            }
            let delay = self.scenario.caller + self.scenario.hop;
            self.push(self.now + delay, Event::Open(flow, 0, candidates));
            return;
        }
        let upstream = self.choose(self.states[flow as usize].ingress);
        self.states[flow as usize].upstream = Some(upstream);
        let delay = self.scenario.caller + self.scenario.hop;
        let job = self.job(flow, upstream, self.states[flow as usize].arrived, true);
        self.push(self.now + delay, Event::Request(job));
    }

    fn candidates(&mut self, ingress: usize) -> SmallVec<[usize; 4]> {
        let n = self.options.candidates;
        if self.options.sequence {
            let point = self.sequences[ingress].next_point();
            return self.placement.draw_at(point, n, &mut self.rng);
        }
        self.placement.draw(n, &mut self.rng)
    }

    fn choose(&mut self, ingress: usize) -> usize {
        let n = self.upstreams.len();
        match self.options.policy {
            Policy::Random | Policy::Owner => self.placement.draw(1, &mut self.rng)[0],
            Policy::RoundRobin => loop {
                self.round_robin[ingress] = (self.round_robin[ingress] + 1) % n;
                let turn = self.round_robin[ingress];
                if self.upstreams[turn].in_service {
                    return turn;
                }
            },
            Policy::OwnCounts => {
                let two = self.placement.draw(2, &mut self.rng);
                argmin_load(&two, &self.own_flows[ingress])
            }
            Policy::StaleTwo => {
                let two = self.placement.draw(2, &mut self.rng);
                argmin_load(&two, &self.views[ingress])
            }
            Policy::StaleLeast => {
                let all = self.placement.draw(n, &mut self.rng);
                argmin_load(&all, &self.views[ingress])
            }
        }
    }

    fn open(&mut self, flow: u32, at: usize, candidates: SmallVec<[usize; 4]>) {
        let deadline = self.now + self.scenario.deadline;
        let last = candidates.len() - 1;
        let here = candidates[at.min(last)];
        if at > last {
            // All candidates bounced the flow; this one was chosen to queue it.
            return self.open_last(flow, here, at, deadline);
        }
        let free = match self.options.pick {
            Pick::LeastLoad | Pick::LeastConnected => false,
            Pick::FirstFree | Pick::FirstFreeElseLeast => self.try_open(flow, here),
        };
        if free {
            return self.admit(flow, here, at);
        }
        if at < last {
            if self.options.bounce_reserves_retry {
                self.retry_after[here].delay(self.now, 0.0, &mut self.rng);
            }
            self.push(
                self.now + self.scenario.hop,
                Event::Open(flow, at + 1, candidates),
            );
            return;
        }
        let best = match self.options.pick {
            Pick::FirstFree => here,
            _ => self.least_loaded(&candidates, here),
        };
        if best == here {
            return self.open_last(flow, here, at, deadline);
        }
        let mut candidates = candidates;
        candidates[last] = best;
        self.push(
            self.now + self.scenario.hop,
            Event::Open(flow, at + 1, candidates),
        );
    }

    fn try_open(&mut self, flow: u32, upstream: usize) -> bool {
        let now = self.now;
        let retired = self.states[flow as usize].generation > 0;
        let headroom = if retired { 0 } else { self.options.headroom };
        let u = &mut self.upstreams[upstream];
        if !u.in_service {
            return false;
        }
        let spare = u
            .admission
            .limits()
            .slots
            .saturating_sub(u.admission.load());
        spare > headroom && u.admission.reserve(now).is_ok()
    }

    fn open_last(&mut self, flow: u32, upstream: usize, hops: usize, deadline: Instant) {
        let now = self.now;
        let u = &mut self.upstreams[upstream];
        let admitted = u.in_service && u.admission.reserve_or_queue(now, deadline).is_ok();
        if admitted {
            return self.admit(flow, upstream, hops);
        }
        let arrived = self.states[flow as usize].arrived;
        self.refuse_flow(flow, arrived, upstream);
    }

    fn least_loaded(&mut self, candidates: &[usize], here: usize) -> usize {
        let now = self.now;
        let offers: SmallVec<[_; 4]> = candidates
            .iter()
            .map(|u| {
                let u = &mut self.upstreams[*u];
                let mut offer = u.admission.offer(now);
                offer.open &= u.in_service;
                offer
            })
            .collect();
        let best = match self.options.pick {
            Pick::LeastConnected => least_connected(&offers),
            _ => least_loaded(&offers),
        };
        best.map_or(here, |index| candidates[index])
    }

    fn admit(&mut self, flow: u32, upstream: usize, hops: usize) {
        let arrived = self.states[flow as usize].arrived;
        if let Some(span) = self.span(arrived) {
            span.bounces += hops as u64;
            span.admitted += 1;
        }
        self.states[flow as usize].upstream = Some(upstream);
        let mut confirms = true;
        if !self.options.reserve {
            let confirmed = self.upstreams[upstream].admission.confirm(self.now);
            debug_assert!(confirmed.is_ok());
            confirms = false;
        }
        // 4.01 to the caller, its second request to an ingress, relay to the owner.
        let delay = self.scenario.caller * 2 + self.scenario.hop;
        let job = self.job(flow, upstream, arrived, confirms);
        self.push(self.now + delay, Event::Request(job));
    }

    fn job(&self, flow: u32, upstream: usize, arrived: Instant, confirms: bool) -> Job {
        Job {
            flow,
            index: self.states[flow as usize].next,
            upstream,
            arrived,
            deadline: self.now + self.scenario.deadline,
            confirms,
            generation: self.states[flow as usize].generation,
        }
    }

    fn refuse_flow(&mut self, flow: u32, arrived: Instant, upstream: usize) {
        if let Some(span) = self.span(arrived) {
            span.refusals += 1;
        }
        match self.retry_at(arrived, upstream) {
            Some(at) => self.push(at, Event::Arrive(flow)),
            None => self.fail_flow(flow, arrived),
        }
    }

    fn refuse(&mut self, job: Job) {
        if let Some(span) = self.span(job.arrived) {
            span.refusals += 1;
        }
        match self.retry_at(job.arrived, job.upstream) {
            Some(at) => self.push(at, Event::Request(job)),
            None => {
                self.fail_request(job.arrived);
                self.next(job);
            }
        }
    }

    /// Returns when a refused caller retries, or `None` if it makes no further attempt.
    fn retry_at(&mut self, arrived: Instant, upstream: usize) -> Option<Instant> {
        let spread = self.options.retry_after?;
        let after = if spread {
            self.retry_after[upstream].delay(self.now, 0.0, &mut self.rng)
        } else {
            Duration::from_secs(1)
        };
        let at = self.now + after + self.scenario.caller * 2;
        (at < arrived + self.scenario.retry_timeout).then_some(at)
    }

    /// Counts all remaining requests of a refused flow as failed.
    fn fail_flow(&mut self, flow: u32, arrived: Instant) {
        let state = &self.states[flow as usize];
        let requests = self.flows[flow as usize].requests.len() as u64;
        let left = requests - u64::from(state.next);
        if let Some(span) = self.span(arrived) {
            span.failed += left;
        }
    }

    fn fail_request(&mut self, arrived: Instant) {
        if let Some(span) = self.span(arrived) {
            span.failed += 1;
        }
    }

    fn request(&mut self, job: Job) {
        let mut job = job;
        let state = &self.states[job.flow as usize];
        if state.generation != job.generation {
            return;
        }
        if !self.upstreams[job.upstream].in_service {
            return self.retire(job.flow);
        }
        if job.confirms {
            let confirmed = self.upstreams[job.upstream].admission.confirm(self.now);
            if confirmed.is_err() {
                return self.refuse_flow(job.flow, job.arrived, job.upstream);
            }
            job.confirms = false;
            self.add_own_flow(job);
        }
        job.deadline = self.now + self.scenario.deadline;
        let queue_deadline = if self.options.early_refusal {
            job.deadline
        } else {
            job.deadline + BEYOND_ANY_WAIT
        };
        let start = self.upstreams[job.upstream]
            .admission
            .start(self.now, queue_deadline);
        match start {
            Start::Run => self.send(job),
            Start::Wait => {
                self.upstreams[job.upstream].waiting.push(job.deadline, job);
                self.push(job.deadline, Event::Expire(job.upstream));
            }
            Start::Refuse(_) => self.refuse(job),
        }
    }

    fn send(&mut self, job: Job) {
        let now = self.now;
        let by = job.upstream;
        let wait = now - job.arrived;
        if let Some(span) = self.span(job.arrived) {
            span.record_wait(wait);
            span.sent += 1;
            span.by_upstream[by] += 1;
        }
        self.budget.on_request(now);
        self.retry_after[by].on_admitted(now);
        self.attempt(job);
    }

    fn attempt(&mut self, job: Job) {
        let service = self.flows[job.flow as usize].requests[job.index as usize].service;
        let u = &mut self.upstreams[job.upstream];
        let outcome = u.model.run(u.admission.in_use(), service, &mut self.rng);
        let (after, answered) = match outcome {
            Outcome::Answer(time) => (time, true),
            Outcome::Shed => (SHED_TIME, false),
        };
        if let Some(span) = self.span(job.arrived) {
            span.busy_us[job.upstream] += after.as_micros() as u64;
        }
        let left = job.deadline.saturating_duration_since(self.now);
        let answered = answered && after <= left;
        let at = self.now + after.min(left);
        self.push(at, Event::Finish(job, answered, self.now));
    }

    fn finish(&mut self, job: Job, answered: bool, started: Instant) {
        let now = self.now;
        let time = now - started;
        let timed_out = !answered && now >= job.deadline;
        let u = &mut self.upstreams[job.upstream];
        u.model.finish(u.admission.in_use());
        if answered {
            u.allowance.on_latency(now, time);
            u.allowance.on_success(now);
        } else if timed_out {
            u.allowance.on_timeout(now);
        } else {
            u.allowance.on_shed(now);
        }
        if answered || timed_out {
            u.admission.finish(now, time);
        } else {
            u.admission.release();
        }
        self.apply_allowance(job.upstream);
        let arrived = job.arrived;
        if answered {
            let caller = self.scenario.caller;
            let deadline = self.scenario.deadline;
            if let Some(span) = self.span(arrived) {
                let total = now + caller - arrived;
                span.record_answer(total, total <= deadline);
            }
            self.next(job);
        } else if timed_out {
            self.fail_request(arrived);
            self.next(job);
        } else {
            if let Some(span) = self.span(arrived) {
                span.shed += 1;
            }
            self.shed(job);
        }
        self.promote(job.upstream);
    }

    fn shed(&mut self, job: Job) {
        let retry = match self.options.retry {
            Retry::None => false,
            Retry::Unbounded => true,
            Retry::Budget(_) => self.budget.try_retry(self.now),
        };
        let at = self.now + RETRY_DELAY;
        if retry && at < job.deadline {
            let mut job = job;
            job.confirms = false;
            self.push(at, Event::Request(job));
            return;
        }
        self.refuse(job);
    }

    fn apply_allowance(&mut self, upstream: usize) {
        if !self.options.allowance {
            return;
        }
        let u = &mut self.upstreams[upstream];
        let (slots, connections) = u.allowance.limits(self.now);
        let limits = Limits {
            slots,
            connections,
            ..u.admission.limits()
        };
        u.admission.set_limits(limits);
        u.admission.set_cold(!u.allowance.is_full());
    }

    fn promote(&mut self, upstream: usize) {
        self.expire(upstream);
        loop {
            let u = &mut self.upstreams[upstream];
            let Some(job) = u.waiting.promote(&mut u.admission, self.now) else {
                return;
            };
            self.send(job);
        }
    }

    fn expire(&mut self, upstream: usize) {
        let u = &mut self.upstreams[upstream];
        for job in u.waiting.expire(self.now) {
            self.upstreams[upstream].admission.leave_queue();
            self.fail_request(job.arrived);
            self.next(job);
        }
    }

    /// Schedules the next request of the flow, or ends the flow.
    fn next(&mut self, job: Job) {
        if self.states[job.flow as usize].generation != job.generation {
            return;
        }
        self.states[job.flow as usize].next = job.index + 1;
        let requests = &self.flows[job.flow as usize].requests;
        let Some(next) = requests.get(job.index as usize + 1) else {
            self.upstreams[job.upstream].admission.disconnect();
            self.remove_own_flow(job);
            self.states[job.flow as usize].upstream = None;
            return;
        };
        let planned = self.origin + self.flows[job.flow as usize].at + next.offset;
        let arrived = planned.max(self.now + self.scenario.caller);
        let delay = self.scenario.caller + self.scenario.hop;
        let mut job = job;
        job.index += 1;
        job.arrived = arrived;
        self.push(arrived + delay, Event::Request(job));
    }

    /// Ends a flow whose zone went out of service; its caller opens a new one at once.
    fn retire(&mut self, flow: u32) {
        let upstream = self.states[flow as usize].upstream.take();
        if let Some(upstream) = upstream {
            self.upstreams[upstream].admission.disconnect();
        }
        self.states[flow as usize].generation += 1;
        self.states[flow as usize].arrived = self.now;
        self.push(self.now + self.scenario.caller * 2, Event::Arrive(flow));
    }

    fn add_own_flow(&mut self, job: Job) {
        if !self.own_flows.is_empty() {
            self.own_flows[self.states[job.flow as usize].ingress][job.upstream] += 1;
        }
    }

    fn remove_own_flow(&mut self, job: Job) {
        if !self.own_flows.is_empty() {
            let own_flows =
                &mut self.own_flows[self.states[job.flow as usize].ingress][job.upstream];
            *own_flows = own_flows.saturating_sub(1);
        }
    }

    fn refresh(&mut self, daemon: usize) {
        let loads = self.upstreams.iter().map(|u| {
            if u.in_service {
                u.admission.load()
            } else {
                u32::MAX
            }
        });
        self.views[daemon] = loads.collect();
        let at = self.now + VIEW_REFRESH;
        if at - self.origin < self.scenario.load.length {
            self.push(at, Event::Refresh(daemon));
        }
    }

    fn sample(&mut self, span: usize) {
        let flows = self.upstreams.iter().filter(|u| u.in_service);
        let flows: Vec<u64> = flows.map(|u| u.admission.connections().into()).collect();
        self.spans[span].flows_imbalance = max_over_mean(&flows);
    }

    fn change(&mut self, change: Change) {
        match change {
            Change::ZoneOut(zone) => self.set_zone(zone, false),
            Change::ZoneIn(zone) => self.set_zone(zone, true),
            Change::ColdStart(upstream) => self.upstreams[upstream].model.set_cold(),
            Change::Shed(upstream, shed) => self.upstreams[upstream].model.set_shed(shed),
        }
    }

    fn set_zone(&mut self, zone: usize, in_service: bool) {
        for i in 0..self.upstreams.len() {
            if self.upstreams[i].zone != zone {
                continue;
            }
            let now = self.now;
            let u = &mut self.upstreams[i];
            u.in_service = in_service;
            let mut weight = 0.0;
            if in_service {
                u.model.set_cold();
                u.allowance.restart(now);
                weight = f64::from(self.scenario.slots);
                self.apply_allowance(i);
            }
            self.placement.set_weight(i, weight);
        }
        if !in_service {
            self.retire_zone(zone);
        }
    }

    fn retire_zone(&mut self, zone: usize) {
        for flow in 0..self.states.len() {
            let Some(upstream) = self.states[flow].upstream else {
                continue;
            };
            let single = self.flows[flow].requests.len() == 1;
            if self.upstreams[upstream].zone == zone && !single {
                self.retire(flow as u32);
            }
        }
    }
}

fn budget_percent(retry: Retry) -> u32 {
    match retry {
        Retry::Budget(percent) => percent,
        Retry::None | Retry::Unbounded => 0,
    }
}

/// Returns the candidate with the lowest load.
fn argmin_load(candidates: &[usize], loads: &[u32]) -> usize {
    *candidates
        .iter()
        .min_by_key(|u| loads[**u])
        .expect("not empty")
}
