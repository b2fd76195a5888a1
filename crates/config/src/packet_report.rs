//! What a daemon that forwards packets reports to operators.

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

/// How an upstream stands as the target of a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamStanding {
    /// It takes new flows.
    Good,
    /// It left an opening packet unanswered of late.
    Silent,
    /// It has just started.
    Cold,
    /// It takes no new flows by its own word.
    Draining,
    /// Its zone is out of service.
    Out,
    /// Its entry has gone.
    Unlisted,
}

impl UpstreamStanding {
    /// All words.
    pub const ALL: [Self; 6] = [
        Self::Good,
        Self::Silent,
        Self::Cold,
        Self::Draining,
        Self::Out,
        Self::Unlisted,
    ];

    /// The word itself.
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

/// Part that a daemon has in reading the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreRole {
    /// It reads for itself.
    #[default]
    Alone,
    /// It reads for others too.
    Reader,
    /// It learns from a reader and passes on what it learns.
    Relay,
    /// It learns from a reader or a relay.
    Follower,
}

/// What a daemon knows.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PacketStatus {
    /// Id of the VM.
    pub vm: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Whether the fabric is told to send packets here.
    pub ready: bool,
    /// Revision of the store up to which all is known.
    pub revision: u64,
    /// Time since the store last confirmed the view; nothing before the first list.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "age_ms")]
    pub age: Option<Duration>,
    /// How long the store has not answered.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "store_lost_ms")]
    pub store_lost: Option<Duration>,
    /// Part that the daemon has in reading the store.
    #[serde(default)]
    pub role: StoreRole,
    /// The daemon that it follows.
    #[serde(default)]
    pub reader: Option<Arc<str>>,
    /// Daemons of its zone that it knows, itself included.
    #[serde(default)]
    pub members: usize,
    /// Version of the configuration in force.
    pub configuration: Option<u64>,
    /// Routes of the configuration.
    pub routes: usize,
    /// Flows that are remembered.
    pub flows: usize,
    /// Upstreams, by service and id.
    pub upstreams: Vec<PacketUpstream>,
}

/// One upstream as a daemon sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PacketUpstream {
    /// Its service.
    pub service: Arc<str>,
    /// Its id.
    pub id: Arc<str>,
    /// Where it takes datagrams.
    pub address: SocketAddrV4,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// How it stands for new flows.
    pub standing: UpstreamStanding,
    /// Requests in progress, as far as this daemon sees them.
    pub in_progress: usize,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Revision of its entry.
    pub revision: u64,
}
