//! Fixture: the directory and the balancer of one daemon, driven step by step with a simulated clock.

use foxtailhinge_policy::packets::{
    directory::Outcome,
    entry::{
        Change,
        Item, //
    },
    packet::{
        FlowId,
        Kind, //
    },
    Balancer,
    Choice,
    Configuration,
    Directory,
    Packet,
    Route,
    Seniority,
    Target,
    Upstream,
    UpstreamId,
    UpstreamState,
    Verdict, //
};
use rand::{
    rngs::SmallRng,
    SeedableRng, //
};
use std::{
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

/// Zone of the daemon.
pub(crate) const HOME: &str = "windhoek-1";
/// Another zone.
pub(crate) const AWAY: &str = "windhoek-2";
/// Service of upstreams that do not name another one.
pub(crate) const SERVICE: &str = "syncdesk-api";
/// Port of the route to [`SERVICE`].
pub(crate) const PORT: u16 = 443;
/// Caller's port of its first flow.
const FIRST_PORT: u16 = 40_000;
/// Seed of the random number generator.
const SEED: u64 = 7;

/// A serving upstream of the home zone with four slots.
pub(crate) fn upstream() -> Upstream {
    Upstream {
        service: SERVICE.into(),
        address: address(1, 8080),
        zone: HOME.into(),
        slots: 4,
        state: UpstreamState::Serving,
        warmup_left: Duration::ZERO,
        seniority: Seniority::default(),
    }
}

/// Address of an upstream.
pub(crate) fn address(host: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, host), port)
}

/// Flow of caller number `caller` to the route with `port`; each caller is on its own VM.
pub(crate) fn flow(caller: u16, port: u16) -> FlowId {
    let [high, low] = caller.to_be_bytes();
    FlowId {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, high, low), FIRST_PORT),
        route: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port),
    }
}

/// Another flow from the same VM.
pub(crate) fn flow_from_same_vm(flow: FlowId, number: u16) -> FlowId {
    let mut other = flow;
    other.caller.set_port(FIRST_PORT + number);
    other
}

/// Configuration with one route per port.
pub(crate) fn configuration(version: u64, routes: &[(u16, &[(&str, u32)])]) -> Configuration {
    let route = |(port, targets): &(u16, &[(&str, u32)])| {
        let targets = targets.iter().map(|(service, weight)| Target {
            service: (*service).into(),
            weight: *weight,
        });
        let route = Route {
            name: format!("route-{port}").into(),
            targets: targets.collect(),
            target_latency: Duration::from_millis(300),
            is_idempotent: true,
            priority: 1,
        };
        (flow(0, *port).route, route)
    };
    Configuration {
        version,
        routes: routes.iter().map(route).collect(),
    }
}

/// Directory and balancer of one daemon.
pub(crate) struct Scene {
    pub(crate) directory: Directory,
    pub(crate) balancer: Balancer<SmallRng>,
    pub(crate) now: Instant,
    /// Whether the directory is treated as fresh.
    pub(crate) is_fresh: bool,
    revision: u64,
}

impl Scene {
    /// A daemon with an empty directory.
    pub(crate) fn empty() -> Self {
        Self {
            directory: Directory::default(),
            balancer: Balancer::new(HOME.into(), SmallRng::seed_from_u64(SEED)),
            now: Instant::now(),
            is_fresh: true,
            revision: 0,
        }
    }

    /// A daemon with one route to [`SERVICE`].
    pub(crate) fn new() -> Self {
        Self::empty().with(Change::Configured(configuration(
            1,
            &[(PORT, &[(SERVICE, 1)])],
        )))
    }

    /// Adds an upstream.
    pub(crate) fn upstream(self, id: u64, upstream: Upstream) -> Self {
        self.with(Change::Listed(UpstreamId(id), upstream))
    }

    /// Applies a change.
    pub(crate) fn with(mut self, change: Change) -> Self {
        self.change(change);
        self
    }

    /// Applies a change with the next revision.
    pub(crate) fn change(&mut self, change: Change) -> Outcome {
        let item = self.item(change);
        let mut outcomes = self.directory.apply(item.version, &[item], self.now);
        outcomes.remove(0)
    }

    /// Applies several changes as one answer of the store.
    pub(crate) fn changes(&mut self, changes: Vec<Change>) {
        let items: Vec<_> = changes
            .into_iter()
            .map(|change| self.item(change))
            .collect();
        self.directory.apply(self.revision.into(), &items, self.now);
    }

    /// Creates an item with the next revision.
    pub(crate) fn item(&mut self, change: Change) -> Item {
        self.revision += 1;
        Item {
            key: "key".into(),
            version: self.revision.into(),
            change,
        }
    }

    /// Advances the clock.
    pub(crate) fn after(&mut self, ms: u64) -> &mut Self {
        self.now += Duration::from_millis(ms);
        self
    }

    /// Decides about a packet.
    pub(crate) fn decide(&mut self, packet: Packet) -> Verdict {
        let Self {
            directory,
            balancer,
            ..
        } = self;
        balancer.decide(&packet, directory, self.is_fresh, self.now)
    }

    /// Decides about copy number `copy` of a caller's opening packet.
    pub(crate) fn open(&mut self, caller: u16, copy: u32) -> Verdict {
        self.decide(syn(flow(caller, PORT), copy))
    }

    /// Opens a flow and returns the choice.
    pub(crate) fn choose(&mut self, caller: u16) -> Choice {
        choice(self.open(caller, 0))
    }

    /// Opens and confirms one flow for each of `n` callers from number `first` on, and counts the flows by upstream.
    pub(crate) fn spread(&mut self, first: u16, n: u16) -> std::collections::BTreeMap<u64, usize> {
        let mut counts = std::collections::BTreeMap::new();
        for caller in first..first + n {
            let id = self.choose(caller).id;
            self.follow(flow(caller, PORT), id);
            *counts.entry(id.0).or_default() += 1;
        }
        counts
    }

    /// Sends the first packet of a caller after its flow was opened, which confirms the opening.
    pub(crate) fn follow(&mut self, flow: FlowId, id: UpstreamId) -> Verdict {
        self.decide(Packet {
            kind: Kind::Data,
            label: id.label(),
            ..syn(flow, 0)
        })
    }

    /// Sends a request of `len` bytes from sequence number `seq`, acknowledging the answers up to `ack`.
    pub(crate) fn request(
        &mut self,
        caller: u16,
        id: u64,
        seq: u32,
        ack: u32,
        len: u16,
    ) -> Verdict {
        self.decide(Packet {
            flow: flow(caller, PORT),
            label: UpstreamId(id).label(),
            kind: Kind::Data,
            seq,
            ack,
            len,
        })
    }
}

/// Copy number `copy` of an opening packet.
pub(crate) fn syn(flow: FlowId, copy: u32) -> Packet {
    Packet {
        flow,
        label: 0,
        kind: Kind::Open,
        seq: 1,
        ack: copy,
        len: 0,
    }
}

/// Returns the choice of a verdict that opens a flow.
pub(crate) fn choice(verdict: Verdict) -> Choice {
    match verdict {
        Verdict::Open(choice) => choice,
        other => panic!("the flow is not opened: {other:?}"),
    }
}

/// Returns the upstream and address of a verdict that forwards.
pub(crate) fn target(verdict: Verdict) -> (u64, SocketAddrV4) {
    match verdict {
        Verdict::Forward { id, to, .. } => (id.0, to),
        other => panic!("the packet is not forwarded: {other:?}"),
    }
}

/// Returns the name of a zone or service.
pub(crate) fn name(text: &str) -> Rc<str> {
    text.into()
}
