//! Fixture: the balancers of a zone's daemons, callers that retry, and upstreams with slots and queues, in simulated time.

use crate::scene::{
    address,
    flow,
    name,
    syn,
    AWAY,
    HOME,
    PORT,
    SERVICE, //
};
use foxtailhinge_policy::packets::{
    packet::{
        FlowId,
        Label, //
    },
    Balancer,
    Change,
    Choice,
    Configuration,
    Directory,
    Item,
    Kind,
    LoadReport,
    LoadSettings,
    Packet,
    Position,
    Reporter,
    ResetReason,
    Route,
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
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap,
        VecDeque, //
    },
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Port of the route with the lower priority.
pub(crate) const LOWER_PORT: u16 = 444;
/// Work of a request, on average.
pub(crate) const WORK: Duration = Duration::from_millis(20);
/// Time in which a request is to be answered.
pub(crate) const TARGET: Duration = Duration::from_millis(300);
/// Slots of an upstream.
pub(crate) const SLOTS: u32 = 4;
/// Requests that an upstream queues; it refuses further ones.
const QUEUE: usize = 16;
/// Time from an opening packet to the next packet of the flow.
const CONNECT: Duration = Duration::from_millis(7);
/// Time after which an upstream refuses a request.
const REFUSAL: Duration = Duration::from_millis(1);
/// Pause of a caller before it tries again.
const RETRY: Duration = Duration::from_millis(30);
/// Number of tries of a caller.
const TRIES: u32 = 3;
/// Lengths of the responses of an upstream that serves and of one that refuses.
const RESPONSE_LEN: [u32; 2] = [900, 150];
/// Interval of the exchange of loads.
const EXCHANGE: Duration = Duration::from_millis(250);
/// Time of day at the start.
const UNIX: Duration = Duration::from_secs(1_700_000_000);

/// A caller and the load that it makes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller {
    /// Number, which gives the address.
    pub(crate) number: u16,
    /// Port of the route that it uses.
    pub(crate) port: u16,
    /// Requests per second.
    pub(crate) per_s: f64,
}

/// What became of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outcome {
    pub(crate) caller: u16,
    pub(crate) port: u16,
    /// When the caller wanted it, since the start.
    pub(crate) wanted: Duration,
    /// Number of tries that a daemon rejected.
    pub(crate) rejected: u32,
    /// Number of tries that an upstream refused.
    pub(crate) refused: u32,
    /// Time until it was answered, with all tries.
    pub(crate) took: Option<Duration>,
}

impl Outcome {
    pub(crate) fn is_in_time(&self) -> bool {
        self.took.is_some_and(|took| took <= TARGET)
    }
}

/// Condition of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Condition {
    /// Its work takes so many times the usual.
    Works(f64),
    /// It refuses all requests.
    Refuses,
}

#[derive(Clone, Debug)]
struct Server {
    condition: Condition,
    /// When each slot is free.
    free: Vec<Duration>,
    /// When the queued requests start.
    queue: VecDeque<Duration>,
}

impl Server {
    fn new() -> Self {
        Self {
            condition: Condition::Works(1.0),
            free: vec![Duration::ZERO; SLOTS as usize],
            queue: VecDeque::new(),
        }
    }

    /// Takes a request; returns when it is answered, or `None` if it is refused.
    fn take(&mut self, now: Duration, spread: f64) -> Option<Duration> {
        let Condition::Works(factor) = self.condition else {
            return None;
        };
        self.queue.retain(|start| *start > now);
        if self.queue.len() >= QUEUE {
            return None;
        }
        let slot = self.free.iter_mut().min()?;
        let start = now.max(*slot);
        *slot = start + WORK.mul_f64(factor * spread);
        let end = *slot;
        if start > now {
            self.queue.push_back(start);
        }
        Some(end)
    }
}

/// Open flow of a request.
#[derive(Clone, Copy, Debug)]
struct Open {
    flow: FlowId,
    daemon: usize,
    upstream: usize,
    label: Label,
    request: usize,
    tries: u32,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Want(usize),
    Try { request: usize, tries: u32 },
    Send(Open),
    Answered(Open, u32),
    Exchange,
    Second,
}

/// Daemons of a zone, their callers and upstreams.
pub(crate) struct Fleet {
    pub(crate) daemons: Vec<Balancer<SmallRng>>,
    pub(crate) directory: Directory,
    pub(crate) outcomes: Vec<Outcome>,
    /// Report that a daemon sends in place of its own; `Err` if it sends none.
    pub(crate) reports: BTreeMap<usize, Result<LoadReport, ()>>,
    /// Share of the flows that reach each daemon.
    pub(crate) weights: Vec<f64>,
    /// Rejections by reason.
    pub(crate) resets: BTreeMap<&'static str, usize>,
    /// Daemons that get the same packets and reports, but have the load settings off; each must decide alike.
    unloaded: Vec<Balancer<SmallRng>>,
    /// Number of packets that both kinds of daemons decided about.
    pub(crate) compared: usize,
    received: Vec<ZoneLoad>,
    /// Number of upstreams in the home zone; the others are in another zone.
    home: usize,
    servers: Vec<Server>,
    callers: Vec<Caller>,
    /// Factor of the load of all callers.
    factor: f64,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    by_number: BTreeMap<u64, Event>,
    rng: SmallRng,
    start: Instant,
    now: Duration,
    revision: u64,
    flows: u16,
}

impl Fleet {
    /// `daemons` daemons and `upstreams` upstreams.
    pub(crate) fn new(daemons: usize, upstreams: usize, callers: Vec<Caller>, seed: u64) -> Self {
        let mut fleet = Self {
            daemons: balancers(daemons, seed),
            directory: Directory::default(),
            outcomes: Vec::new(),
            reports: BTreeMap::new(),
            weights: vec![1.0; daemons],
            resets: BTreeMap::new(),
            unloaded: Vec::new(),
            compared: 0,
            received: vec![ZoneLoad::default(); daemons],
            home: upstreams,
            servers: vec![Server::new(); upstreams],
            callers,
            factor: 1.0,
            events: BinaryHeap::new(),
            by_number: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            start: Instant::now(),
            now: Duration::ZERO,
            revision: 0,
            flows: 0,
        };
        fleet.change(Change::Configured(configuration()));
        for at in 0..upstreams {
            fleet.list(at, UpstreamState::Serving);
        }
        for caller in 0..fleet.callers.len() {
            let pause = fleet.pause(caller);
            fleet.plan(pause, Event::Want(caller));
        }
        fleet.plan(Duration::ZERO, Event::Second);
        fleet.plan(EXCHANGE, Event::Exchange);
        fleet
    }

    /// Adds upstreams in another zone.
    pub(crate) fn add_away(&mut self, upstreams: usize) {
        for _ in 0..upstreams {
            self.servers.push(Server::new());
            self.list(self.servers.len() - 1, UpstreamState::Serving);
        }
    }

    /// Lets daemons without load settings decide about the same packets.
    pub(crate) fn compare(&mut self, seed: u64) {
        self.unloaded = balancers(self.daemons.len(), seed);
        for balancer in &mut self.unloaded {
            balancer.set_load_settings(LoadSettings {
                shed: false,
                spill: false,
                ..LoadSettings::default()
            });
        }
    }

    /// Requests per second that the upstreams can serve.
    pub(crate) fn capacity(upstreams: usize) -> f64 {
        upstreams as f64 * f64::from(SLOTS) / WORK.as_secs_f64()
    }

    /// Runs with so many times the load of the callers until `until_s` seconds after the start.
    pub(crate) fn run(&mut self, factor: f64, until_s: f64) -> &mut Self {
        self.factor = factor;
        let until = Duration::from_secs_f64(until_s);
        while let Some(Reverse((at, number))) = self.events.peek().copied() {
            if at > until {
                break;
            }
            self.events.pop();
            self.now = at;
            if let Some(event) = self.by_number.remove(&number) {
                self.step(event);
            }
        }
        self.now = until;
        self
    }

    /// Changes the condition of an upstream.
    pub(crate) fn set(&mut self, upstream: usize, condition: Condition) {
        self.servers[upstream].condition = condition;
    }

    /// Publishes the state of an upstream.
    pub(crate) fn list(&mut self, at: usize, state: UpstreamState) {
        let id = UpstreamId(at as u64 + 1);
        let listed = Upstream {
            service: SERVICE.into(),
            address: address(at as u8 + 1, 8080),
            zone: match at < self.home {
                true => HOME.into(),
                false => AWAY.into(),
            },
            slots: SLOTS,
            state,
            warmup_left: Duration::ZERO,
            seniority: Default::default(),
        };
        self.change(Change::Listed(id, listed));
    }

    /// Outcomes of the requests that callers wanted in a period, in seconds since the start.
    pub(crate) fn wanted(&self, from_s: f64, to_s: f64) -> impl Iterator<Item = &Outcome> + Clone {
        let (from, to) = (
            Duration::from_secs_f64(from_s),
            Duration::from_secs_f64(to_s),
        );
        let outcomes = self.outcomes.iter();
        outcomes.filter(move |outcome| from <= outcome.wanted && outcome.wanted < to)
    }

    /// The present time.
    pub(crate) fn instant(&self) -> Instant {
        self.start + self.now
    }

    fn change(&mut self, change: Change) {
        self.revision += 1;
        let item = Item {
            key: "key".into(),
            version: self.revision.into(),
            change,
        };
        self.directory
            .apply(self.revision.into(), &[item], self.start + self.now);
    }

    fn plan(&mut self, after: Duration, event: Event) {
        let number = self.by_number.last_key_value().map_or(0, |(n, _)| n + 1);
        self.by_number.insert(number, event);
        self.events.push(Reverse((self.now + after, number)));
    }

    /// Time to the next request of a caller.
    fn pause(&mut self, caller: usize) -> Duration {
        let per_s = self.callers[caller].per_s * self.factor;
        Duration::from_secs_f64(-(1.0 - self.rng.random::<f64>()).ln() / per_s)
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Want(caller) => {
                let Caller { number, port, .. } = self.callers[caller];
                self.outcomes.push(Outcome {
                    caller: number,
                    port,
                    wanted: self.now,
                    rejected: 0,
                    refused: 0,
                    took: None,
                });
                let request = self.outcomes.len() - 1;
                self.attempt(request, 1);
                let pause = self.pause(caller);
                self.plan(pause, Event::Want(caller));
            }
            Event::Try { request, tries } => self.attempt(request, tries),
            Event::Send(open) => self.send(open),
            Event::Answered(open, len) => self.answered(open, len),
            Event::Exchange => {
                self.exchange();
                self.plan(EXCHANGE, Event::Exchange);
            }
            Event::Second => {
                let daemons = self.daemons.len();
                let (now, unix) = (self.instant(), UNIX + self.now);
                // The store answers throughout.
                self.directory.confirm(now);
                let all = self.daemons.iter_mut().enumerate();
                let all = all.chain(self.unloaded.iter_mut().enumerate());
                for (index, balancer) in all {
                    balancer.set_surroundings(unix, Position { index, daemons }, now);
                    balancer.evict(Duration::from_secs(60), self.directory.as_of(), now);
                }
                self.plan(Duration::from_secs(1), Event::Second);
            }
        }
    }

    /// Opens a flow from a new port, which leads to another daemon.
    fn attempt(&mut self, request: usize, tries: u32) {
        let Outcome { caller, port, .. } = self.outcomes[request];
        let mut flow = flow(caller, port);
        self.flows = self.flows.wrapping_add(1);
        flow.caller.set_port(self.flows);
        let daemon = self.draw_daemon();
        match self.decide(daemon, syn(flow, 0)) {
            Verdict::Open(Choice { id, label, .. }) => {
                let open = Open {
                    flow,
                    daemon,
                    upstream: id.0 as usize - 1,
                    label,
                    request,
                    tries,
                };
                self.plan(CONNECT, Event::Send(open));
            }
            Verdict::Reset(reason) => {
                *self.resets.entry(text(reason)).or_default() += 1;
                self.outcomes[request].rejected += 1;
                self.retry(request, tries);
            }
            other => panic!("an opening is neither forwarded nor rejected: {other:?}"),
        }
    }

    fn retry(&mut self, request: usize, tries: u32) {
        if tries < TRIES {
            let tries = tries + 1;
            self.plan(RETRY, Event::Try { request, tries });
        }
    }

    fn send(&mut self, open: Open) {
        self.decide(open.daemon, packet(&open, Kind::Data, 1, 1, 100));
        let spread = self.rng.random_range(0.75..1.25);
        let server = &mut self.servers[open.upstream];
        let (after, len) = match server.take(self.now, spread) {
            Some(end) => (end - self.now, RESPONSE_LEN[0]),
            None => (REFUSAL, RESPONSE_LEN[1]),
        };
        self.plan(after + CONNECT, Event::Answered(open, len));
    }

    fn answered(&mut self, open: Open, len: u32) {
        let ack = 1 + len;
        self.decide(open.daemon, packet(&open, Kind::Data, 101, ack, 0));
        self.decide(open.daemon, packet(&open, Kind::End, 101, ack, 0));
        let now = self.now;
        let outcome = &mut self.outcomes[open.request];
        if len == RESPONSE_LEN[0] {
            outcome.took = Some(now - outcome.wanted);
        } else {
            outcome.refused += 1;
            self.retry(open.request, open.tries);
        }
    }

    fn exchange(&mut self) {
        let now = self.instant();
        let reports: Vec<_> = (0..self.daemons.len())
            .map(|i| match self.reports.get(&i) {
                Some(other) => other.clone().ok(),
                None => Some(self.daemons[i].load_report(now)),
            })
            .collect();
        for (i, balancer) in self.daemons.iter_mut().enumerate() {
            let received = &mut self.received[i];
            let others = reports.iter().enumerate().filter(|(j, _)| *j != i);
            for (j, report) in others.filter_map(|(j, r)| Some((j, r.as_ref()?))) {
                received.record(daemon_name(j), report.clone(), Reporter::Peer, now);
            }
            received.evict(now);
            let sum = received.total(now);
            if balancer.is_load_exchange_due() && sum.daemons > 0 {
                if let Some(unloaded) = self.unloaded.get_mut(i) {
                    unloaded.apply_zone_load(sum.clone(), now);
                }
                balancer.apply_zone_load(sum, now);
            }
        }
    }

    fn draw_daemon(&mut self) -> usize {
        let mut pick = self.rng.random::<f64>() * self.weights.iter().sum::<f64>();
        for (i, weight) in self.weights.iter().enumerate() {
            if pick < *weight {
                return i;
            }
            pick -= weight;
        }
        0
    }

    fn decide(&mut self, daemon: usize, packet: Packet) -> Verdict {
        let now = self.instant();
        let verdict = self.daemons[daemon].decide(&packet, &self.directory, true, now);
        if let Some(unloaded) = self.unloaded.get_mut(daemon) {
            let other = unloaded.decide(&packet, &self.directory, true, now);
            assert_eq!(verdict, other, "{packet:?} after {:?}", self.now);
            self.compared += 1;
        }
        verdict
    }
}

fn balancers(n: usize, seed: u64) -> Vec<Balancer<SmallRng>> {
    let balancer = |i| {
        let rng = SmallRng::seed_from_u64(seed * 1_000 + i as u64);
        Balancer::new(HOME.into(), rng)
    };
    (0..n).map(balancer).collect()
}

fn daemon_name(number: usize) -> Rc<str> {
    name(&format!("vm-{number}"))
}

fn text(reason: ResetReason) -> &'static str {
    match reason {
        ResetReason::Overload => "overload",
        ResetReason::OwnDelay => "own delay",
        _ => "other",
    }
}

fn packet(open: &Open, kind: Kind, seq: u32, ack: u32, len: u16) -> Packet {
    Packet {
        flow: open.flow,
        label: open.label,
        kind,
        seq,
        ack,
        len,
    }
}

/// Routes to one service: one for urgent requests, one for others.
fn configuration() -> Configuration {
    let route = |(port, priority): (u16, u8)| {
        let target = Target {
            service: SERVICE.into(),
            weight: 1,
        };
        let route = Route {
            name: format!("route-{port}").into(),
            targets: [target].into_iter().collect(),
            target_latency: TARGET,
            is_idempotent: priority > 1,
            priority,
        };
        (flow(0, port).route, route)
    };
    Configuration {
        version: 1,
        routes: [(PORT, 1), (LOWER_PORT, 2)].map(route).into(),
    }
}
