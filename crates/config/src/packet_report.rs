//! Status report of a daemon that forwards packets, for operators.

use serde::{
    Deserialize,
    Serialize, //
};
use serde_with::{
    serde_as,
    DurationMilliSeconds,
    DurationMilliSecondsWithFrac, //
};
use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
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
    /// Time for which the daemon's own link, socket or processor delays packets; `None` from a daemon that does not
    /// measure it.
    #[serde_as(as = "Option<DurationMilliSecondsWithFrac<f64>>")]
    #[serde(rename = "own_delay_ms", default)]
    pub own_delay: Option<Duration>,
    /// Loads of the services with traffic, sorted by service.
    #[serde(default)]
    pub loads: Vec<ServiceLoadReport>,
    /// Upstreams, sorted by service and id.
    pub upstreams: Vec<PacketUpstream>,
}

/// Load of a service at the upstreams of the daemon's zone, as the daemon sees it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceLoadReport {
    /// Name of the service.
    pub service: Arc<str>,
    /// Slots of the usable upstreams in the zone.
    pub slots: u32,
    /// Requests at these upstreams per slot, running or waiting.
    pub utilization: f64,
    /// Mean service time; `None` without answers.
    #[serde_as(as = "Option<DurationMilliSecondsWithFrac<f64>>")]
    #[serde(rename = "service_time_ms")]
    pub service_time: Option<Duration>,
    /// Service time above which the service counts as overloaded.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "goal_ms")]
    pub goal: Duration,
    /// Share of answers that are refusals.
    pub refusal_rate: f64,
    /// Share of openings that are admitted.
    pub admitted: f64,
    /// Share of flows that go to each other zone.
    pub leaving: Vec<LeavingShare>,
    /// Number of daemons whose observations are included.
    pub daemons: u32,
}

impl Default for ServiceLoadReport {
    fn default() -> Self {
        Self {
            service: Arc::from(""),
            slots: 0,
            utilization: 0.0,
            service_time: None,
            goal: Duration::ZERO,
            refusal_rate: 0.0,
            admitted: 1.0,
            leaving: Vec::new(),
            daemons: 0,
        }
    }
}

/// Share of a service's flows that go to another zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeavingShare {
    /// Name of the other zone.
    pub zone: Arc<str>,
    /// Share of the flows.
    pub share: f64,
}

/// What a daemon would do with the next openings of a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdmissionReport {
    /// Id of the daemon's VM.
    pub vm: Arc<str>,
    /// Address of the caller's VM.
    pub caller: Ipv4Addr,
    /// Routes and services asked for, sorted by route address.
    pub openings: Vec<OpeningReport>,
    /// Number of routes left out because there are too many.
    #[serde(default)]
    pub left_out: usize,
}

/// What a daemon would do with the next opening of a caller on one route, for one of its target services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OpeningReport {
    /// Address of the route.
    pub route: SocketAddrV4,
    /// Name of the route.
    pub name: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
    /// Priority of the route, 0 is the highest; `None` for a route without one, which comes last.
    pub priority: Option<u8>,
    /// Place of the caller between 0 (admitted first) and 1.
    pub place: f64,
    /// Share of openings that are admitted.
    pub admitted: f64,
    /// Whether the caller is ranked lower because it opens many more flows than others.
    pub is_heavy: bool,
    /// Why the opening would be rejected; `None` if it would be admitted.
    pub rejected: Option<RejectionReason>,
    /// Whether the flow would leave the zone.
    pub leaves: bool,
    /// Share of the service's flows that go to each other zone.
    #[serde(default)]
    pub leaving: Vec<LeavingShare>,
}

/// Why a daemon would reject an opening.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RejectionReason {
    /// The service cannot serve all callers, and this one opens many more flows than others.
    HeavyCaller,
    /// The service cannot serve all callers.
    Overload,
    /// The daemon's own link, socket or processor is the bottleneck.
    OwnDelay,
}

impl RejectionReason {
    /// Name of the reason for operators.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::HeavyCaller => "heavy caller",
            Self::Overload => "overload",
            Self::OwnDelay => "own delay",
        }
    }
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
