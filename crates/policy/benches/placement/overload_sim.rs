//! Simulation of callers, daemons in packet mode and upstreams under load. Each packet of a caller passes through the
//! `Balancer` of its daemon; upstreams answer callers directly.

use crate::agenda::Agenda;
use foxtailhinge_policy::packets::{
    entry::{
        Change,
        Item, //
    },
    packet::{
        FlowId,
        Kind, //
    },
    Balancer,
    Configuration,
    Directory,
    HealthChange,
    LoadReport,
    LoadSettings,
    Packet,
    Position,
    Reporter,
    Route,
    Seniority,
    Target,
    Upstream,
    UpstreamId,
    UpstreamState,
    Verdict,
    ZoneLoad, //
};
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};
use std::{
    collections::VecDeque,
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Number of zones.
pub(crate) const ZONES: usize = 3;
/// Time until which a request must be answered.
const TARGET: Duration = Duration::from_millis(250);
/// One-way latency between caller, daemon and upstream: a connect time of 7.2 ms has three of them.
const LEG: Duration = Duration::from_micros(2_400);
/// One-way latency that another zone adds.
const REMOTE_LEG: Duration = Duration::from_millis(5);
/// Times between the packets of a request until it is answered.
const RETRANSMISSIONS: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
];
/// Attempts of a request that is rejected, refused or reset; each has a new port, and so another daemon.
const ATTEMPTS: u32 = 3;
/// VMs of callers in each zone.
const CALLERS: u16 = 1_000;
/// Share of requests on the urgent route, which are not idempotent.
const URGENT_SHARE: f64 = 0.4;
/// Length of a request, of a response and of a refusal in bytes.
const REQUEST_LEN: u16 = 300;
const RESPONSE_LEN: u16 = 2_000;
const REFUSAL_LEN: u16 = 160;
/// Interval of the load reports.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// Time from the forming of a sum to its arrival. A report waits 125 ms on average until a sum is formed, and the sum
/// is in force for 250 ms, so that reports are 260 ms old on average while they are used.
const EXCHANGE_DELAY: Duration = Duration::from_millis(10);
/// Share of load reports, and of their replies, that are lost.
const EXCHANGE_LOSS: f64 = 0.1;
/// Time after which a flow without packets is evicted.
const IDLE: Duration = Duration::from_secs(15);
/// Shares of the target latency up to which the decider with complete knowledge admits urgent and other requests.
const COMPLETE_LIMITS: [f64; 2] = [0.8, 0.4];
/// Time that another zone must save before the decider with complete knowledge uses it.
const ZONE_PRICE: Duration = Duration::from_millis(5);
/// Service of all upstreams.
const SERVICE: &str = "api";

/// Sizes of a fleet.
#[derive(Clone, Copy)]
pub(crate) struct Site {
    pub(crate) daemons: usize,
    pub(crate) upstreams: usize,
    pub(crate) slots: u32,
    /// Requests that wait for a slot at an upstream; further ones are refused.
    pub(crate) queue: usize,
    /// Mean work of a request.
    pub(crate) work: Duration,
}

/// What happens to some of the upstreams.
#[derive(Clone, Copy)]
pub(crate) enum Fault {
    None,
    /// A third of the upstreams drain, one after another over two seconds.
    Leave,
    /// A fifth of the upstreams need four times as long for a request.
    Slow,
}

/// Load of a run.
#[derive(Clone, Copy)]
pub(crate) struct Load {
    /// Load of the zones before the measured time, relative to the slots of each.
    pub(crate) before: f64,
    /// Load of each zone during the peak.
    pub(crate) peak: [f64; ZONES],
    /// Length of the peak.
    pub(crate) peak_length: Duration,
    /// Time from the start of the peak to the measured time. The decisions need about a second to notice a sudden peak.
    pub(crate) settle: Duration,
    pub(crate) fault: Fault,
}

/// Time before the peak.
const LEAD: Duration = Duration::from_secs(2);
/// Measured time: requests that arrive in it are counted.
pub(crate) const MEASURED: Duration = Duration::from_secs(6);

/// Who decides about the openings.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Decider {
    /// The balancers, with these settings.
    Balancers(LoadSettings),
    /// The balancers without reports of other daemons.
    Alone(LoadSettings),
    /// A decider that knows the requests at all upstreams, including those on the way.
    Complete,
}

/// Results of the requests of one priority.
#[derive(Clone, Copy, Default)]
pub(crate) struct Results {
    pub(crate) in_time: u64,
    pub(crate) late: u64,
    pub(crate) refused: u64,
    pub(crate) rejected: u64,
}

impl Results {
    pub(crate) fn asked(&self) -> u64 {
        self.in_time + self.late + self.refused + self.rejected
    }
}

/// Measurements of a run.
#[derive(Clone, Default)]
pub(crate) struct Tally {
    /// Results of urgent requests and of the others.
    pub(crate) results: [Results; 2],
    /// Openings at daemons, all attempts.
    pub(crate) openings: u64,
    /// Openings that were forwarded.
    pub(crate) forwarded: u64,
    /// Forwarded openings whose request the upstream refused.
    pub(crate) shed: u64,
    /// Openings that were forwarded to another zone.
    pub(crate) remote: u64,
    /// Open flows that were reset.
    pub(crate) resets: u64,
    /// Upstreams that were declared dead, all of which live.
    pub(crate) dead: u64,
    /// Work of the requests that were answered in time.
    pub(crate) useful_work: Duration,
    /// Digest of the verdicts, in their order.
    pub(crate) verdicts: u64,
}

struct Request {
    zone: usize,
    vm: Ipv4Addr,
    is_urgent: bool,
    asked: Instant,
    work: Duration,
    attempts: u32,
}

struct Flow {
    request: usize,
    id: FlowId,
    daemon: usize,
    upstream: usize,
    is_over: bool,
}

struct SimUpstream {
    zone: usize,
    is_leaving: bool,
    slowness: f64,
    running: u32,
    waiting: VecDeque<usize>,
    /// Requests here and on the way.
    assigned: u32,
}

enum Event {
    Arrive(usize),
    Ask(usize),
    Open(usize),
    /// A request packet at its daemon, with the number of earlier ones.
    Send(usize, usize),
    Reach(usize),
    Finish(usize),
    Answer(usize, u16),
    Acknowledge(usize, u16),
    Exchange(usize),
    Sum(usize, Box<LoadReport>),
    Second,
    Leave(usize),
}

struct Sim {
    site: Site,
    load: Load,
    decider: Decider,
    agenda: Agenda<Event>,
    origin: Instant,
    now: Instant,
    /// Draws the requests, which are the same for all deciders.
    rng: SmallRng,
    /// Draws the daemon of each attempt.
    fabric_rng: SmallRng,
    /// Draws the load reports that are lost.
    loss_rng: SmallRng,
    directory: Directory,
    revision: u64,
    balancers: Vec<Balancer<SmallRng>>,
    reports: Vec<ZoneLoad>,
    upstreams: Vec<SimUpstream>,
    requests: Vec<Request>,
    flows: Vec<Flow>,
    port: u16,
    tally: Tally,
}

/// Runs a decider under a load.
pub(crate) fn run(site: Site, load: Load, decider: Decider, seed: u64) -> Tally {
    let mut sim = Sim::new(site, load, decider, seed);
    let end = sim.origin + LEAD + load.settle + MEASURED + Duration::from_secs(3);
    while let Some((at, event)) = sim.agenda.pop().filter(|(at, _)| *at < end) {
        sim.now = at;
        sim.handle(event);
    }
    sim.tally
}

fn zone_name(zone: usize) -> Rc<str> {
    format!("zone-{zone}").into()
}

fn route_addr(is_urgent: bool) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443 + u16::from(!is_urgent))
}

fn route(is_urgent: bool) -> Route {
    let target = Target {
        service: SERVICE.into(),
        weight: 1,
    };
    Route {
        name: "route".into(),
        targets: [target].into_iter().collect(),
        target_latency: TARGET,
        is_idempotent: !is_urgent,
        priority: if is_urgent { 1 } else { 2 },
    }
}

fn upstream_id(upstream: usize) -> UpstreamId {
    UpstreamId(upstream as u64 + 1)
}

impl Sim {
    fn new(site: Site, load: Load, decider: Decider, seed: u64) -> Self {
        let origin = Instant::now();
        let mut rng = SmallRng::seed_from_u64(seed);
        let slowness = |index: usize| match load.fault {
            Fault::Slow if index.is_multiple_of(5) => 4.0,
            _ => 1.0,
        };
        let upstreams = (0..site.upstreams).map(|index| SimUpstream {
            zone: index % ZONES,
            is_leaving: false,
            slowness: slowness(index),
            running: 0,
            waiting: VecDeque::new(),
            assigned: 0,
        });
        let balancers = (0..site.daemons).map(|daemon| {
            let rng = SmallRng::seed_from_u64(rng.random());
            let mut balancer = Balancer::new(zone_name(daemon % ZONES), rng);
            if let Decider::Balancers(settings) | Decider::Alone(settings) = decider {
                balancer.set_load_settings(settings);
            }
            balancer
        });
        let mut sim = Self {
            balancers: balancers.collect(),
            site,
            load,
            decider,
            agenda: Agenda::new(),
            origin,
            now: origin,
            rng: SmallRng::seed_from_u64(seed + 1_000),
            fabric_rng: SmallRng::seed_from_u64(seed + 2_000),
            loss_rng: SmallRng::seed_from_u64(seed + 3_000),
            directory: Directory::default(),
            revision: 0,
            reports: vec![ZoneLoad::default(); ZONES],
            upstreams: upstreams.collect(),
            requests: Vec::new(),
            flows: Vec::new(),
            port: 0,
            tally: Tally::default(),
        };
        sim.publish();
        sim.agenda.push(origin, Event::Second);
        for zone in 0..ZONES {
            sim.agenda.push(origin, Event::Arrive(zone));
        }
        for daemon in 0..site.daemons {
            let phase = EXCHANGE_INTERVAL.mul_f64(daemon as f64 / site.daemons as f64);
            sim.agenda.push(origin + phase, Event::Exchange(daemon));
        }
        if let Fault::Leave = load.fault {
            for upstream in (0..site.upstreams).step_by(3) {
                let at = Duration::from_secs(2).mul_f64(upstream as f64 / site.upstreams as f64);
                // Every third upstream would be in the same zone, so the zones take turns.
                let upstream = (upstream + upstream / 3 % ZONES).min(site.upstreams - 1);
                sim.agenda.push(origin + LEAD + at, Event::Leave(upstream));
            }
        }
        sim
    }

    fn publish(&mut self) {
        let routes = [true, false].map(|is_urgent| (route_addr(is_urgent), route(is_urgent)));
        self.change(Change::Configured(Configuration {
            version: 1,
            routes: routes.into_iter().collect(),
        }));
        for upstream in 0..self.site.upstreams {
            self.list(upstream, UpstreamState::Serving);
        }
    }

    fn change(&mut self, change: Change) {
        self.revision += 1;
        let item = Item {
            key: "key".into(),
            version: self.revision.into(),
            change,
        };
        self.directory.apply(item.version, &[item], self.now);
    }

    fn list(&mut self, upstream: usize, state: UpstreamState) {
        let entry = Upstream {
            service: SERVICE.into(),
            address: SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, upstream as u8), 8080),
            zone: zone_name(self.upstreams[upstream].zone),
            slots: self.site.slots,
            state,
            warmup_left: Duration::ZERO,
            seniority: Seniority::default(),
        };
        self.change(Change::Listed(upstream_id(upstream), entry));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(zone) => self.arrive(zone),
            Event::Ask(request) => self.ask(request),
            Event::Open(flow) => self.open(flow),
            Event::Send(flow, copy) => self.send(flow, copy),
            Event::Reach(flow) => self.reach(flow),
            Event::Finish(flow) => self.finish(flow),
            Event::Answer(flow, len) => self.answer(flow, len),
            Event::Acknowledge(flow, len) => self.acknowledge(flow, len),
            Event::Exchange(daemon) => self.exchange(daemon),
            Event::Sum(daemon, sum) => self.balancers[daemon].apply_zone_load(*sum, self.now),
            Event::Second => self.second(),
            Event::Leave(upstream) => {
                self.upstreams[upstream].is_leaving = true;
                self.list(upstream, UpstreamState::Draining);
            }
        }
    }

    /// A new request arrives in a zone, and the next one is scheduled.
    fn arrive(&mut self, zone: usize) {
        let elapsed = self.now - self.origin;
        if elapsed >= LEAD + self.load.settle + MEASURED {
            return;
        }
        let is_peak = (LEAD..LEAD + self.load.peak_length).contains(&elapsed);
        let load = if is_peak {
            self.load.peak[zone]
        } else {
            self.load.before
        };
        let slots = self.site.upstreams as f64 * f64::from(self.site.slots) / ZONES as f64;
        let gap_s = self.site.work.as_secs_f64() / slots / load;
        let gap_s = -gap_s * (1.0 - self.rng.random::<f64>()).ln();
        self.agenda.push(
            self.now + Duration::from_secs_f64(gap_s),
            Event::Arrive(zone),
        );
        let [high, low] = self.rng.random_range(0..CALLERS).to_be_bytes();
        self.requests.push(Request {
            zone,
            vm: Ipv4Addr::new(100, 64 + zone as u8, high, low),
            is_urgent: self.rng.random_bool(URGENT_SHARE),
            asked: self.now,
            work: self.site.work.mul_f64(self.rng.random_range(0.5..1.5)),
            attempts: 0,
        });
        self.ask(self.requests.len() - 1);
    }

    /// A caller opens a flow from a new port, through a random daemon of its zone.
    fn ask(&mut self, request: usize) {
        let asked = &mut self.requests[request];
        asked.attempts += 1;
        self.port = self.port.wrapping_add(1);
        let in_zone = (self.site.daemons - asked.zone).div_ceil(ZONES);
        self.flows.push(Flow {
            request,
            id: FlowId {
                caller: SocketAddrV4::new(asked.vm, self.port),
                route: route_addr(asked.is_urgent),
            },
            daemon: asked.zone + ZONES * self.fabric_rng.random_range(0..in_zone),
            upstream: 0,
            is_over: false,
        });
        self.agenda
            .push(self.now + LEG, Event::Open(self.flows.len() - 1));
    }

    fn is_measured(&self, request: usize) -> bool {
        self.requests[request].asked >= self.origin + LEAD + self.load.settle
    }

    fn open(&mut self, flow: usize) {
        let upstream = match self.decider {
            Decider::Complete => self.choose(flow),
            _ => match self.decide(flow, Kind::Open, 0, 0, 0) {
                Verdict::Open(choice) => Some(choice.id.0 as usize - 1),
                _ => None,
            },
        };
        let request = self.flows[flow].request;
        let is_measured = u64::from(self.is_measured(request));
        self.tally.openings += is_measured;
        let Some(upstream) = upstream else {
            return self.end_attempt(request, |results| &mut results.rejected);
        };
        self.flows[flow].upstream = upstream;
        self.upstreams[upstream].assigned += 1;
        self.tally.forwarded += is_measured;
        if self.is_remote(flow) {
            self.tally.remote += is_measured;
        }
        let delay = self.to_upstream(flow) * 2 + LEG;
        self.agenda.push(self.now + delay, Event::Send(flow, 0));
    }

    /// Chooses with complete knowledge the upstream that answers first, if that is soon enough for the priority.
    fn choose(&self, flow: usize) -> Option<usize> {
        let request = &self.requests[self.flows[flow].request];
        let expected = |upstream: &SimUpstream| {
            let work = self.site.work.mul_f64(upstream.slowness);
            let ahead = (upstream.assigned + 1).saturating_sub(self.site.slots);
            let wait = work.mul_f64(f64::from(ahead) / f64::from(self.site.slots));
            let is_remote = upstream.zone != request.zone;
            let distance = if is_remote {
                REMOTE_LEG * 4 + ZONE_PRICE
            } else {
                Duration::ZERO
            };
            LEG * 5 + distance + wait + work
        };
        let usable = self.upstreams.iter().enumerate().filter(|(_, upstream)| {
            let room = self.site.slots as usize + self.site.queue;
            !upstream.is_leaving && (upstream.assigned as usize) < room
        });
        let (expected, best) = usable
            .map(|(index, upstream)| (expected(upstream), index))
            .min()?;
        let limit = COMPLETE_LIMITS[usize::from(!request.is_urgent)];
        (expected <= TARGET.mul_f64(limit)).then_some(best)
    }

    fn is_remote(&self, flow: usize) -> bool {
        let flow = &self.flows[flow];
        self.upstreams[flow.upstream].zone != self.requests[flow.request].zone
    }

    /// One-way latency between a caller or daemon and the upstream of a flow.
    fn to_upstream(&self, flow: usize) -> Duration {
        match self.is_remote(flow) {
            true => LEG + REMOTE_LEG,
            false => LEG,
        }
    }

    fn decide(&mut self, flow: usize, kind: Kind, seq: u32, ack: u32, len: u16) -> Verdict {
        let Flow {
            id,
            daemon,
            upstream,
            ..
        } = self.flows[flow];
        let label = match kind {
            Kind::Open => 0,
            _ => upstream_id(upstream).label(),
        };
        let packet = Packet {
            flow: id,
            label,
            kind,
            seq,
            ack,
            len,
        };
        let balancer = &mut self.balancers[daemon];
        let verdict = balancer.decide(&packet, &self.directory, true, self.now);
        let code = match verdict {
            Verdict::Open(choice) => choice.id.0,
            Verdict::Forward { id, .. } => id.0 << 16,
            Verdict::Wait { .. } => 1 << 32,
            Verdict::Reset(_) => 1 << 33,
            Verdict::Drop(_) => 1 << 34,
        };
        self.tally.verdicts = self.tally.verdicts.wrapping_mul(31).wrapping_add(code);
        let dead = |change: &HealthChange| matches!(change, HealthChange::Dead(_));
        self.tally.dead += balancer
            .take_health_changes()
            .iter()
            .filter(|c| dead(c))
            .count() as u64;
        verdict
    }

    fn send(&mut self, flow: usize, copy: usize) {
        if self.flows[flow].is_over {
            return;
        }
        if self.decider != Decider::Complete {
            let verdict = self.decide(flow, Kind::Data, 1, 1, REQUEST_LEN);
            if !matches!(verdict, Verdict::Forward { .. }) {
                let request = self.flows[flow].request;
                self.flows[flow].is_over = true;
                self.tally.resets += u64::from(self.is_measured(request));
                return self.end_attempt(request, |results| &mut results.rejected);
            }
        }
        if copy == 0 {
            let reached = self.now + self.to_upstream(flow);
            self.agenda.push(reached, Event::Reach(flow));
        }
        if let Some(pause) = RETRANSMISSIONS.get(copy) {
            self.agenda
                .push(self.now + *pause, Event::Send(flow, copy + 1));
        }
    }

    fn reach(&mut self, flow: usize) {
        let upstream = &mut self.upstreams[self.flows[flow].upstream];
        if upstream.running < self.site.slots {
            upstream.running += 1;
            self.start(flow);
        } else if upstream.waiting.len() < self.site.queue {
            upstream.waiting.push_back(flow);
        } else {
            upstream.assigned -= 1;
            let request = self.flows[flow].request;
            self.tally.shed += u64::from(self.is_measured(request));
            let answered = self.now + self.to_upstream(flow);
            self.agenda.push(answered, Event::Answer(flow, REFUSAL_LEN));
        }
    }

    fn start(&mut self, flow: usize) {
        let slowness = self.upstreams[self.flows[flow].upstream].slowness;
        let work = self.requests[self.flows[flow].request].work;
        self.agenda
            .push(self.now + work.mul_f64(slowness), Event::Finish(flow));
    }

    fn finish(&mut self, flow: usize) {
        let answered = self.now + self.to_upstream(flow);
        self.agenda
            .push(answered, Event::Answer(flow, RESPONSE_LEN));
        let upstream = &mut self.upstreams[self.flows[flow].upstream];
        upstream.assigned -= 1;
        match upstream.waiting.pop_front() {
            Some(next) => self.start(next),
            None => upstream.running -= 1,
        }
    }

    fn answer(&mut self, flow: usize, len: u16) {
        if std::mem::replace(&mut self.flows[flow].is_over, true) {
            return;
        }
        self.agenda
            .push(self.now + LEG, Event::Acknowledge(flow, len));
        let index = self.flows[flow].request;
        if len == REFUSAL_LEN {
            return self.end_attempt(index, |results| &mut results.refused);
        }
        let slowness = self.upstreams[self.flows[flow].upstream].slowness;
        let (is_measured, request) = (self.is_measured(index), &self.requests[index]);
        if is_measured {
            let results = &mut self.tally.results[usize::from(!request.is_urgent)];
            if self.now <= request.asked + TARGET {
                results.in_time += 1;
                self.tally.useful_work += request.work.mul_f64(slowness);
            } else {
                results.late += 1;
            }
        }
    }

    fn acknowledge(&mut self, flow: usize, len: u16) {
        if self.decider != Decider::Complete {
            let (seq, ack) = (1 + u32::from(REQUEST_LEN), 1 + u32::from(len));
            self.decide(flow, Kind::Data, seq, ack, 0);
            self.decide(flow, Kind::End, seq, ack, 0);
        }
    }

    /// Tries a request again at once, or counts its last result.
    fn end_attempt(&mut self, index: usize, result: fn(&mut Results) -> &mut u64) {
        let is_measured = self.is_measured(index);
        let request = &self.requests[index];
        if request.attempts < ATTEMPTS {
            self.agenda.push(self.now + LEG, Event::Ask(index));
        } else if is_measured {
            *result(&mut self.tally.results[usize::from(!request.is_urgent)]) += 1;
        }
    }

    /// A daemon reports its load, and receives the sum of the others later.
    fn exchange(&mut self, daemon: usize) {
        self.agenda
            .push(self.now + EXCHANGE_INTERVAL, Event::Exchange(daemon));
        let balancer = &self.balancers[daemon];
        let is_sent =
            matches!(self.decider, Decider::Balancers(_)) && balancer.is_load_exchange_due();
        if !is_sent || self.loss_rng.random_bool(EXCHANGE_LOSS) {
            return;
        }
        let vm: Rc<str> = format!("vm-{daemon}").into();
        let reports = &mut self.reports[daemon % ZONES];
        let sum = reports.sum_for_follower(&vm, self.now);
        reports.record(
            vm,
            balancer.load_report(self.now),
            Reporter::Follower,
            self.now,
        );
        if !self.loss_rng.random_bool(EXCHANGE_LOSS) {
            self.agenda
                .push(self.now + EXCHANGE_DELAY, Event::Sum(daemon, Box::new(sum)));
        }
    }

    fn second(&mut self) {
        self.agenda
            .push(self.now + Duration::from_secs(1), Event::Second);
        let unix = Duration::from_secs(1_800_000_000) + (self.now - self.origin);
        // The store answers throughout.
        self.directory.confirm(self.now);
        for (daemon, balancer) in self.balancers.iter_mut().enumerate() {
            let position = Position {
                index: daemon / ZONES,
                daemons: (self.site.daemons - daemon % ZONES).div_ceil(ZONES),
            };
            balancer.set_surroundings(unix, position, self.now);
            balancer.evict(IDLE, self.directory.as_of(), self.now);
        }
    }
}
