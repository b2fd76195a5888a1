//! Entries that the platform publishes: upstreams, zones and the configuration.

use super::{
    packet::Label,
    version::Version, //
};
use smallvec::SmallVec;
use std::{
    collections::HashMap,
    fmt,
    net::SocketAddrV4,
    rc::Rc,
    time::Duration, //
};

/// Id of an upstream; a forwarded datagram names its recipient by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamId(pub u64);

/// Odd multiplier that spreads the bits of an id: the golden ratio times 2^64.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

impl UpstreamId {
    /// Label of the upstream's flows, unless another upstream has it: the low half of the id.
    pub fn label(self) -> Label {
        self.0 as u32
    }

    /// Label of the upstream's flows if another upstream has the first one; it depends on all digits of the id.
    pub fn alternate_label(self) -> Label {
        let mixed = (self.0 ^ (self.0 >> 32)).wrapping_mul(SPREAD);
        (mixed >> 32) as u32
    }

    /// Whether a label is one of the upstream's two.
    pub fn has_label(self, label: Label) -> bool {
        self.label() == label || self.alternate_label() == label
    }
}

impl fmt::Display for UpstreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:010x}", self.0)
    }
}

/// State that an upstream publishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// Accepts new flows.
    Serving,
    /// Finishes its open flows and accepts no new ones.
    Draining,
}

/// Registration of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Service that the upstream belongs to.
    pub service: Rc<str>,
    /// Address at which the upstream receives datagrams.
    pub address: SocketAddrV4,
    /// Availability zone of the upstream.
    pub zone: Rc<str>,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Published state.
    pub state: UpstreamState,
    /// Remaining warm-up time at the time of registration.
    pub warmup_left: Duration,
    /// Age of the upstream.
    pub seniority: Seniority,
}

/// When an upstream started and registered; the older of two upstreams has the lesser value.
///
/// The start comes first, because an entry that lapses in an outage is created again later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Seniority {
    /// Start of the process in Unix milliseconds; 0 if the entry does not say.
    pub started_ms: u64,
    /// Revision of the store at which the entry was created; 0 if the store does not say.
    pub created: u64,
}

/// Weighted target of a route's new flows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: Rc<str>,
    /// Weight relative to the other targets of the route.
    pub weight: u32,
}

/// Priority of a route that names none.
pub const PRIORITY_LOWEST: u8 = u8::MAX;

/// Services behind an address and port.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Rc<str>,
    /// Weighted target services.
    pub targets: SmallVec<[Target; 2]>,
    /// Time in which a request should be answered.
    pub target_latency: Duration,
    /// Whether requests are idempotent, so that a caller may repeat one at another upstream.
    pub is_idempotent: bool,
    /// Priority of the requests under overload; 0 is the highest, and [`PRIORITY_LOWEST`] that of a route without one.
    pub priority: u8,
}

/// Complete configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version, which never decreases.
    pub version: u64,
    /// Routes, keyed by address and port.
    pub routes: HashMap<SocketAddrV4, Route>,
}

/// Change that a published entry makes.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// An upstream registered or updated its registration.
    Listed(UpstreamId, Upstream),
    /// The entry of an upstream was removed, or has become unusable for the given reason.
    Unlisted(UpstreamId, Option<Rc<str>>),
    /// The configuration was replaced.
    Configured(Configuration),
    /// A zone was taken out of service or returned to service.
    Zone {
        /// Name of the zone.
        zone: Rc<str>,
        /// Whether it is out of service.
        out: bool,
    },
    /// An unusable entry, with the reason.
    Unusable(Rc<str>),
    /// An entry that does not concern the balancer.
    Foreign,
}

/// Published entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Key in the platform's store.
    pub key: Rc<str>,
    /// Version of the store at the last change to the entry.
    pub version: Version,
    /// Change that the entry makes.
    pub change: Change,
}

impl Item {
    /// An item that was not read from the store, and so has no key.
    pub(super) fn without_key(version: Version, change: Change) -> Self {
        Self {
            key: "".into(),
            version,
            change,
        }
    }
}
