//! A daemon's directory and balancer, told step by step, with a clock of its own.

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
/// The service of all upstreams that name none.
pub(crate) const SERVICE: &str = "syncdesk-api";
/// Port of the route to it.
pub(crate) const PORT: u16 = 443;
/// Port of a caller's first flow.
const FIRST_PORT: u16 = 40_000;
/// Seed of all that is drawn at random.
const SEED: u64 = 7;

/// An upstream of the home zone with four slots that serves.
pub(crate) fn upstream() -> Upstream {
    Upstream {
        service: SERVICE.into(),
        address: address(1, 8080),
        zone: HOME.into(),
        slots: 4,
        state: UpstreamState::Serving,
        warmup_left: Duration::ZERO,
    }
}

/// An address of an upstream.
pub(crate) fn address(host: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, host), port)
}

/// A flow of the caller with this number, each on a VM of its own, by the route's port.
pub(crate) fn flow(caller: u16, port: u16) -> FlowId {
    let [high, low] = caller.to_be_bytes();
    FlowId {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, high, low), FIRST_PORT),
        route: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port),
    }
}

/// Another flow of the same caller's VM.
pub(crate) fn further(flow: FlowId, number: u16) -> FlowId {
    let mut other = flow;
    other.caller.set_port(FIRST_PORT + number);
    other
}

/// A configuration with one route for each port and service.
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
        };
        (flow(0, *port).route, route)
    };
    Configuration {
        version,
        routes: routes.iter().map(route).collect(),
    }
}

/// A daemon's view and decisions.
pub(crate) struct Scene {
    pub(crate) directory: Directory,
    pub(crate) balancer: Balancer<SmallRng>,
    pub(crate) now: Instant,
    /// Whether the view is fresh.
    pub(crate) is_fresh: bool,
    revision: u64,
}

impl Scene {
    /// A daemon that knows nothing.
    pub(crate) fn unaware() -> Self {
        Self {
            directory: Directory::default(),
            balancer: Balancer::new(HOME.into(), SmallRng::seed_from_u64(SEED)),
            now: Instant::now(),
            is_fresh: true,
            revision: 0,
        }
    }

    /// A daemon that knows one route to [`SERVICE`].
    pub(crate) fn new() -> Self {
        Self::unaware().with(Change::Configured(configuration(
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
        let mut outcomes = self.directory.apply(item.revision, &[item], self.now);
        outcomes.remove(0)
    }

    /// Applies several changes as one answer of the store.
    pub(crate) fn changes(&mut self, changes: Vec<Change>) {
        let items: Vec<_> = changes
            .into_iter()
            .map(|change| self.item(change))
            .collect();
        self.directory.apply(self.revision, &items, self.now);
    }

    /// An item with the next revision.
    pub(crate) fn item(&mut self, change: Change) -> Item {
        self.revision += 1;
        Item {
            key: "key".into(),
            revision: self.revision,
            change,
        }
    }

    /// Lets time pass.
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

    /// Decides about an opening packet, which is the copy with this number.
    pub(crate) fn open(&mut self, caller: u16, copy: u32) -> Verdict {
        self.decide(syn(flow(caller, PORT), copy))
    }

    /// Opens a flow and gives the choice.
    pub(crate) fn choose(&mut self, caller: u16) -> Choice {
        choice(self.open(caller, 0))
    }

    /// Opens `n` flows of callers from the number `first` on, which go on, and counts them by upstream.
    pub(crate) fn spread(&mut self, first: u16, n: u16) -> std::collections::BTreeMap<u64, usize> {
        let mut counts = std::collections::BTreeMap::new();
        for caller in first..first + n {
            let id = self.choose(caller).id;
            self.follow(flow(caller, PORT), id);
            *counts.entry(id.0).or_default() += 1;
        }
        counts
    }

    /// Sends what a caller sends as soon as its flow is open.
    pub(crate) fn follow(&mut self, flow: FlowId, id: UpstreamId) -> Verdict {
        self.decide(Packet {
            kind: Kind::Data,
            label: id.label(),
            ..syn(flow, 0)
        })
    }

    /// Sends a request of `len` bytes from position `seq`, with the answers up to `ack` received.
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

/// An opening packet, which is the copy with this number.
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

/// The choice of a verdict that opens a flow.
pub(crate) fn choice(verdict: Verdict) -> Choice {
    match verdict {
        Verdict::Open(choice) => choice,
        other => panic!("the flow is not opened: {other:?}"),
    }
}

/// The upstream and address of a verdict that forwards.
pub(crate) fn target(verdict: Verdict) -> (u64, SocketAddrV4) {
    match verdict {
        Verdict::Forward { id, to, .. } => (id.0, to),
        other => panic!("the packet is not forwarded: {other:?}"),
    }
}

/// Name of a zone or service.
pub(crate) fn name(text: &str) -> Rc<str> {
    text.into()
}
