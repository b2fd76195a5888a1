//! What the platform publishes, in the project's own terms.

use smallvec::SmallVec;
use std::{
    collections::HashMap,
    fmt,
    net::SocketAddrV4,
    rc::Rc,
    time::Duration, //
};

/// Id of an upstream, by which a datagram names the one that it is meant for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamId(pub u64);

impl UpstreamId {
    /// Label of the flows of this upstream.
    pub fn label(self) -> u32 {
        self.0 as u32
    }
}

impl fmt::Display for UpstreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:010x}", self.0)
    }
}

/// What an upstream says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// It takes new flows.
    Serving,
    /// It ends its flows and takes no new ones.
    Draining,
}

/// An upstream as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Service that it belongs to.
    pub service: Rc<str>,
    /// Where it takes datagrams.
    pub address: SocketAddrV4,
    /// Its availability zone.
    pub zone: Rc<str>,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// What it says of itself.
    pub state: UpstreamState,
    /// How long it stays cold, counted from its registration.
    pub warmup_left: Duration,
}

/// Where new flows of a route go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: Rc<str>,
    /// Its share among the targets of the route.
    pub weight: u32,
}

/// A route: an address and port, and the services behind it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Rc<str>,
    /// Services with their weights.
    pub targets: SmallVec<[Target; 2]>,
    /// Time in which a request is to be answered.
    pub target_latency: Duration,
    /// Whether running a request twice has the effect of running it once.
    pub is_idempotent: bool,
}

/// The newest configuration in full.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version, which only rises.
    pub version: u64,
    /// Routes by address and port.
    pub routes: HashMap<SocketAddrV4, Route>,
}

/// A change to what is published.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// An upstream registered itself or changed what it says.
    Listed(UpstreamId, Upstream),
    /// The entry of an upstream is gone, or can no longer be used for the reason given.
    Unlisted(UpstreamId, Option<Rc<str>>),
    /// The configuration was replaced.
    Configured(Configuration),
    /// A zone is taken out of service, or back into it.
    Zone {
        /// Name of the zone.
        zone: Rc<str>,
        /// Whether it is out of service.
        out: bool,
    },
    /// An entry that cannot be used, and why.
    Unusable(Rc<str>),
    /// An entry that is not for the balancer.
    Foreign,
}

/// One published entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Key of the entry.
    pub key: Rc<str>,
    /// Revision of its last change.
    pub revision: u64,
    /// What it says.
    pub change: Change,
}
