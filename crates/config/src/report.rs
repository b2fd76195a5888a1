//! Reports of a daemon to its operators, sent by the admin interface as JSON.

use crate::{
    finding::Finding,
    reader::is_name, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_with::{
    serde_as,
    TimestampMilliSeconds, //
};
use std::{
    fmt,
    net::SocketAddr,
    sync::Arc,
    time::SystemTime, //
};

/// View that one daemon has of the fleet and its services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Id of the daemon's VM.
    pub vm: Arc<str>,
    /// Availability zone of the VM.
    pub zone: Arc<str>,
    /// Name of the fleet.
    pub fleet: Arc<str>,
    /// Incarnation of the daemon.
    pub incarnation: u32,
    /// Whether the daemon accepts work.
    pub state: DaemonState,
    /// State of the platform as this daemon knows it.
    pub platform: PlatformStatus,
    /// Members of the fleet, including the daemon itself.
    pub members: Vec<MemberStatus>,
    /// Availability zones of the services.
    pub zones: Vec<ZoneStatus>,
    /// Upstreams of the services.
    pub upstreams: Vec<UpstreamStatus>,
    /// Documents in force.
    pub documents: Vec<DocumentStatus>,
    /// Newer documents that were refused; the previous ones stay in force.
    pub refused: Vec<RefusedDocument>,
}

/// Whether a daemon accepts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DaemonState {
    /// The daemon has no documents yet.
    Starting,
    /// The daemon accepts all work.
    Serving,
    /// The daemon was paused and accepts no new work until it has synced.
    Fenced,
    /// The daemon shuts down gracefully.
    Stopping,
}

impl fmt::Display for DaemonState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Fenced => "fenced",
            Self::Stopping => "stopping",
        })
    }
}

/// The platform's configuration service as one daemon sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformStatus {
    /// Whether this daemon watches the platform itself.
    pub reader: bool,
    /// Whether the last call of this daemon succeeded, if it made one.
    pub reachable: Option<bool>,
    /// Newest known revision, from any source.
    pub revision: u64,
}

/// A member of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Id of the member's VM.
    pub vm: Arc<str>,
    /// Availability zone of the member.
    pub zone: Arc<str>,
    /// State of the member in this daemon's view.
    pub state: MemberState,
    /// Incarnation of the member, if known.
    pub incarnation: Option<u32>,
}

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// The member answers probes.
    Live,
    /// The member missed probes and will be declared dead soon.
    Suspect,
    /// The member shuts down gracefully.
    Leaving,
    /// The member answers no probes.
    Dead,
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Live => "live",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Dead => "dead",
        })
    }
}

/// An availability zone of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the zone.
    pub zone: Arc<str>,
    /// Whether packets may be sent to the zone.
    pub in_service: bool,
}

/// An upstream of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// Availability zone of the upstream.
    pub zone: Arc<str>,
    /// Address at which the upstream receives requests.
    pub address: SocketAddr,
    /// VM of the upstream's owner, if its zone has a live daemon.
    pub owner: Option<Arc<str>>,
    /// State that only the owner has; absent in the reports of all other daemons.
    pub owned: Option<OwnedUpstream>,
}

/// State of an upstream at its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedUpstream {
    /// Warm-up, shedding or draining state.
    pub state: UpstreamState,
    /// Requests in progress.
    pub slots: Usage,
    /// Open flows.
    pub connections: Usage,
    /// Number of requests that wait for a slot.
    pub queued: u32,
}

/// State of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// The upstream has its full allowance.
    Warm,
    /// The upstream has its cold-start allowance, which ramps up.
    Cold,
    /// The upstream refuses requests to shed load.
    Shedding,
    /// The upstream takes no new flows.
    Draining,
    /// The upstream does not answer.
    Gone,
}

impl fmt::Display for UpstreamState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Warm => "warm",
            Self::Cold => "cold",
            Self::Shedding => "shedding",
            Self::Draining => "draining",
            Self::Gone => "gone",
        })
    }
}

/// Use of a limited resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Units in use.
    pub used: u32,
    /// Units allowed now; fewer than `limit` during a cold start.
    pub allowed: u32,
    /// Units that the document allows.
    pub limit: u32,
}

impl fmt::Display for Usage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            used,
            allowed,
            limit,
        } = self;
        if allowed == limit {
            return f.pad(&format!("{used}/{limit}"));
        }
        f.pad(&format!("{used}/{allowed} of {limit}"))
    }
}

/// A document in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DocumentStatus {
    /// Name of the service.
    pub service: Arc<str>,
    /// Revision in force.
    pub revision: u64,
}

/// A document that was refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RefusedDocument {
    /// Name of the service.
    pub service: Arc<str>,
    /// Revision that was refused.
    pub revision: u64,
    /// What to change in it.
    pub findings: Vec<Finding>,
}

/// Explanation of where a flow goes and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Name of the service.
    pub service: Arc<str>,
    /// Upstream to which the flow goes, if there is one.
    pub upstream: Option<Arc<str>>,
    /// VM of this upstream's owner, if its zone has a live daemon.
    pub owner: Option<Arc<str>>,
    /// Contents of the ticket, if one was given.
    pub ticket: Option<TicketReport>,
    /// Upstreams of the service, the drawn ones first.
    pub candidates: Vec<Candidate>,
}

/// Contents of a flow ticket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TicketReport {
    /// Incarnation of the upstream.
    pub upstream_incarnation: u16,
    /// VM of the daemon that issued the ticket, if it is a known member.
    pub issuer: Option<Arc<str>>,
    /// Incarnation of the daemon that issued the ticket.
    pub issuer_incarnation: u32,
    /// Number of the flow.
    pub flow: u32,
    /// Epoch of the flow up to which its requests were answered.
    pub epoch: u32,
}

/// An upstream as a candidate for a flow.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// Availability zone of the upstream.
    pub zone: Arc<str>,
    /// VM of the upstream's owner, if its zone has a live daemon.
    pub owner: Option<Arc<str>>,
    /// Whether the upstream was drawn, or why not.
    pub verdict: Verdict,
}

/// Whether an upstream was drawn as a candidate for a flow, or why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The ticket names this upstream.
    Ticket,
    /// The ticket names another upstream.
    OtherTicket,
    /// The upstream was drawn as the candidate with this number, counted from 1.
    Drawn(u8),
    /// The upstream is not among the candidates drawn by weight.
    NotDrawn,
    /// The upstream's zone is out of service.
    ZoneOut,
    /// The upstream takes no new flows.
    Draining,
    /// The upstream does not answer.
    Gone,
    /// The upstream's zone has no live daemon.
    NoOwner,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ticket => f.write_str("the ticket names it"),
            Self::OtherTicket => f.write_str("the ticket names another upstream"),
            Self::Drawn(place) => write!(f, "drawn as candidate {place}"),
            Self::NotDrawn => f.write_str("not among the candidates drawn by weight"),
            Self::ZoneOut => f.write_str("its zone is out of service"),
            Self::Draining => f.write_str("it drains and takes no new flows"),
            Self::Gone => f.write_str("it does not answer"),
            Self::NoOwner => f.write_str("its zone has no live daemon"),
        }
    }
}

/// Peers whose traffic with a daemon under test is blocked.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// VM ids, or "platform" for the platform's configuration service.
    pub deny: Vec<Arc<str>>,
}

/// Body of the response to a refused admin request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// Instruction on what to change in the request.
    pub error: String,
}

/// A page of the audit trail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditPage {
    /// Incarnation of the daemon; sequence numbers restart in each incarnation.
    pub incarnation: u32,
    /// Records, sorted from the oldest to the newest.
    pub records: Vec<AuditRecord>,
}

/// One change that a daemon made or observed.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Sequence number, counted from 1 in each incarnation of the daemon.
    pub seq: u64,
    /// Time of the record; in JSON as milliseconds since the Unix epoch.
    #[serde(rename = "at_ms")]
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub at: SystemTime,
    /// What changed.
    #[serde(flatten)]
    pub event: AuditEvent,
}

/// A change in the audit trail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum AuditEvent {
    /// A document came into force.
    DocumentApplied {
        /// Name of the service.
        service: Arc<str>,
        /// Revision of the document.
        revision: u64,
    },
    /// A document was refused; no part of it was applied.
    DocumentRefused {
        /// Name of the service.
        service: Arc<str>,
        /// Revision of the document.
        revision: u64,
        /// What to change in it.
        findings: Vec<Finding>,
    },
    /// A document was removed.
    DocumentRemoved {
        /// Name of the service.
        service: Arc<str>,
        /// Revision of the removal.
        revision: u64,
    },
    /// A zone was taken out of service.
    ZoneOut {
        /// Name of the service.
        service: Arc<str>,
        /// Name of the zone.
        zone: Arc<str>,
    },
    /// A zone was put into service.
    ZoneIn {
        /// Name of the service.
        service: Arc<str>,
        /// Name of the zone.
        zone: Arc<str>,
    },
    /// The state of an upstream changed.
    UpstreamState {
        /// Name of the service.
        service: Arc<str>,
        /// Name of the upstream.
        upstream: Arc<str>,
        /// Previous state.
        from: UpstreamState,
        /// New state.
        to: UpstreamState,
    },
    /// The owner of an upstream changed.
    OwnerMoved {
        /// Name of the service.
        service: Arc<str>,
        /// Name of the upstream.
        upstream: Arc<str>,
        /// VM of the previous owner.
        from: Option<Arc<str>>,
        /// VM of the new owner.
        to: Option<Arc<str>>,
    },
    /// The state of a member changed.
    MemberState {
        /// VM of the member.
        vm: Arc<str>,
        /// New state.
        state: MemberState,
        /// Incarnation of the member, if known.
        incarnation: Option<u32>,
    },
    /// The daemon was paused and accepts no new work until it has synced.
    FleetFenced,
    /// The daemon has synced and accepts work again.
    FleetRejoined,
    /// The daemon started a graceful shutdown.
    Stopping,
}

impl AuditEvent {
    /// Service that the event concerns.
    pub fn service(&self) -> Option<&str> {
        match self {
            Self::DocumentApplied { service, .. }
            | Self::DocumentRefused { service, .. }
            | Self::DocumentRemoved { service, .. }
            | Self::ZoneOut { service, .. }
            | Self::ZoneIn { service, .. }
            | Self::UpstreamState { service, .. }
            | Self::OwnerMoved { service, .. } => Some(service),
            Self::MemberState { .. } | Self::FleetFenced | Self::FleetRejoined | Self::Stopping => {
                None
            }
        }
    }

    /// Name of the kind of event, as in JSON.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::DocumentApplied { .. } => "document-applied",
            Self::DocumentRefused { .. } => "document-refused",
            Self::DocumentRemoved { .. } => "document-removed",
            Self::ZoneOut { .. } => "zone-out",
            Self::ZoneIn { .. } => "zone-in",
            Self::UpstreamState { .. } => "upstream-state",
            Self::OwnerMoved { .. } => "owner-moved",
            Self::MemberState { .. } => "member-state",
            Self::FleetFenced => "fleet-fenced",
            Self::FleetRejoined => "fleet-rejoined",
            Self::Stopping => "stopping",
        }
    }

    /// Writes the fields of the event, each as ` key=value`.
    fn write_fields(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DocumentApplied { service, revision }
            | Self::DocumentRemoved { service, revision } => {
                write!(f, " service={} revision={revision}", Value(service))
            }
            Self::DocumentRefused {
                service,
                revision,
                findings,
            } => {
                write!(f, " service={} revision={revision}", Value(service))?;
                write_findings(f, findings)
            }
            Self::ZoneOut { service, zone } | Self::ZoneIn { service, zone } => {
                write!(f, " service={} zone={}", Value(service), Value(zone))
            }
            Self::UpstreamState {
                service,
                upstream,
                from,
                to,
            } => write!(
                f,
                " service={} upstream={} from={from} to={to}",
                Value(service),
                Value(upstream)
            ),
            Self::OwnerMoved {
                service,
                upstream,
                from,
                to,
            } => {
                let (from, to) = (Value(or_none(from)), Value(or_none(to)));
                write!(
                    f,
                    " service={} upstream={} from={from} to={to}",
                    Value(service),
                    Value(upstream)
                )
            }
            Self::MemberState {
                vm,
                state,
                incarnation,
            } => {
                write!(f, " vm={} state={state}", Value(vm))?;
                match incarnation {
                    Some(incarnation) => write!(f, " incarnation={incarnation}"),
                    None => Ok(()),
                }
            }
            Self::FleetFenced | Self::FleetRejoined | Self::Stopping => Ok(()),
        }
    }
}

impl fmt::Display for AuditEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "event={}", self.kind())?;
        self.write_fields(f)
    }
}

/// Displays the value of a key=value pair, in quotes unless it is a valid name.
struct Value<'a>(&'a str);

impl fmt::Display for Value<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if is_name(self.0) {
            return f.write_str(self.0);
        }
        write!(f, "{:?}", self.0)
    }
}

fn write_findings(f: &mut fmt::Formatter<'_>, findings: &[Finding]) -> fmt::Result {
    write!(f, " findings={}", findings.len())?;
    match findings.first() {
        Some(first) => write!(f, " first={:?}", first.to_string()),
        None => Ok(()),
    }
}

fn or_none(vm: &Option<Arc<str>>) -> &str {
    vm.as_deref().unwrap_or("none")
}
