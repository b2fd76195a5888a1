//! Status report of a daemon that forwards packets, for operators.

use serde::{
    Deserialize,
    Serialize, //
};
use serde_with::{
    serde_as,
    DurationMilliSeconds, //
};
use std::{
    net::SocketAddrV4,
    sync::Arc,
    time::Duration, //
};

/// Eligibility of an upstream for new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamStanding {
    /// The upstream takes new flows.
    Good,
    /// The upstream recently left an opening packet unanswered.
    Silent,
    /// The upstream has just started.
    Cold,
    /// The upstream has announced that it takes no new flows.
    Draining,
    /// The upstream's zone is out of service.
    Out,
    /// The upstream's entry was removed from the store.
    Unlisted,
}

impl UpstreamStanding {
    /// All standings.
    pub const ALL: [Self; 6] = [
        Self::Good,
        Self::Silent,
        Self::Cold,
        Self::Draining,
        Self::Out,
        Self::Unlisted,
    ];

    /// Name of the standing in reports and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::Silent => "silent",
            Self::Cold => "cold",
            Self::Draining => "draining",
            Self::Out => "out",
            Self::Unlisted => "unlisted",
        }
    }
}

/// How a daemon gets the contents of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreRole {
    /// The daemon reads the store for itself only.
    #[default]
    Alone,
    /// The daemon reads the store for other daemons too.
    Reader,
    /// The daemon follows a reader and forwards the changes to followers.
    Relay,
    /// The daemon follows a reader or a relay.
    Follower,
}

/// Status of one daemon.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PacketStatus {
    /// Id of the VM.
    pub vm: Arc<str>,
    /// Availability zone of the VM.
    pub zone: Arc<str>,
    /// Result of the fabric's readiness check: whether it should send packets to this daemon.
    pub ready: bool,
    /// Era of the store, which begins when the store is restored from a copy; 0 if the store names none.
    #[serde(default)]
    pub era: u64,
    /// Revision of the store up to which the view is complete.
    pub revision: u64,
    /// Number of entries that are to be written again, because the restored store has lost their last change.
    #[serde(default)]
    pub awaited: usize,
    /// Time since the store last confirmed the view; `None` before the first list.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "age_ms")]
    pub age: Option<Duration>,
    /// Time for which the store has not answered; `None` while it answers.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "store_lost_ms")]
    pub store_lost: Option<Duration>,
    /// How the daemon gets the contents of the store.
    #[serde(default)]
    pub role: StoreRole,
    /// Id of the VM of the daemon that it follows, if any.
    #[serde(default)]
    pub reader: Option<Arc<str>>,
    /// Number of known daemons of the zone, this one included.
    #[serde(default)]
    pub members: usize,
    /// Version of the configuration in force.
    pub configuration: Option<u64>,
    /// Number of routes in the configuration.
    pub routes: usize,
    /// Number of tracked flows.
    pub flows: usize,
    /// Upstreams, sorted by service and id.
    pub upstreams: Vec<PacketUpstream>,
}

/// One upstream as a daemon sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PacketUpstream {
    /// Service of the upstream.
    pub service: Arc<str>,
    /// Id of the upstream.
    pub id: Arc<str>,
    /// Address at which the upstream receives datagrams.
    pub address: SocketAddrV4,
    /// Availability zone of the upstream.
    pub zone: Arc<str>,
    /// Eligibility for new flows.
    pub standing: UpstreamStanding,
    /// Requests in progress that this daemon knows of.
    pub in_progress: usize,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Revision of the upstream's entry in the store.
    pub revision: u64,
    /// Whether this state is newer than the restored store's entry, which is to be written again.
    #[serde(default)]
    pub awaits_write: bool,
}
