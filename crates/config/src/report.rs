//! Reports of a daemon to its operators, as they cross the admin interface in JSON.

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

/// Everything one daemon knows about the fleet and its services.
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
    /// Whether the daemon takes work.
    pub state: DaemonState,
    /// The platform as the daemon last saw it.
    pub platform: PlatformStatus,
    /// Members of the fleet, the daemon itself included.
    pub members: Vec<MemberStatus>,
    /// Availability zones by service.
    pub zones: Vec<ZoneStatus>,
    /// Upstreams by service.
    pub upstreams: Vec<UpstreamStatus>,
    /// Documents in force.
    pub documents: Vec<DocumentStatus>,
    /// Newer documents that were refused; the ones in force stay.
    pub refused: Vec<RefusedDocument>,
}

/// Whether a daemon takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DaemonState {
    /// It has no documents yet.
    Starting,
    /// It takes all work.
    Serving,
    /// It was paused and takes no new work until it has synced.
    Fenced,
    /// It is shutting down gracefully.
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
    /// Newest revision heard of.
    pub revision: u64,
}

/// A member of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Id of its VM.
    pub vm: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its state as this daemon sees it.
    pub state: MemberState,
    /// Its incarnation, once heard of.
    pub incarnation: Option<u32>,
}

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It answers probes.
    Live,
    /// It failed to answer probes and will count as dead soon.
    Suspect,
    /// It is shutting down gracefully.
    Leaving,
    /// It answers no probes.
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
    /// Whether packets may be sent there.
    pub in_service: bool,
}

/// An upstream of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// VM of its owner, if its zone has a live daemon.
    pub owner: Option<Arc<str>>,
    /// What only the owner knows; absent at every other daemon.
    pub owned: Option<OwnedUpstream>,
}

/// An upstream as its owner sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedUpstream {
    /// Its state.
    pub state: UpstreamState,
    /// Requests in progress.
    pub slots: Usage,
    /// Flows held.
    pub connections: Usage,
    /// Requests that wait for a slot.
    pub queued: u32,
}

/// State of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// It carries its full load.
    Warm,
    /// It carries its cold-start allowance, which ramps.
    Cold,
    /// It refuses requests to shed load.
    Shedding,
    /// It takes no new flows.
    Draining,
    /// It does not answer.
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
    /// Units allowed now, which a cold start lowers.
    pub allowed: u32,
    /// Units that the document gives.
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

/// Where a flow goes and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Name of the service.
    pub service: Arc<str>,
    /// Upstream that the flow goes to, if there is one.
    pub upstream: Option<Arc<str>>,
    /// VM of that upstream's owner, if its zone has a live daemon.
    pub owner: Option<Arc<str>>,
    /// What the ticket says, if one was given.
    pub ticket: Option<TicketReport>,
    /// Upstreams of the service, the drawn ones first.
    pub candidates: Vec<Candidate>,
}

/// What a flow ticket says.
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
    /// Epoch up to which requests of the flow were answered.
    pub epoch: u32,
}

/// An upstream as a candidate for a flow.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// VM of its owner, if its zone has a live daemon.
    pub owner: Option<Arc<str>>,
    /// Whether it was drawn, and why not.
    pub verdict: Verdict,
}

/// Whether an upstream was drawn for a flow, and why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The ticket names it.
    Ticket,
    /// The ticket names another one.
    OtherTicket,
    /// It was drawn, at this place counted from 1.
    Drawn(u8),
    /// Others were drawn by weight.
    NotDrawn,
    /// Its zone is out of service.
    ZoneOut,
    /// It takes no new flows.
    Draining,
    /// It does not answer.
    Gone,
    /// Its zone has no live daemon.
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

/// Peers that a daemon under test is cut off from.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// VM ids, or "platform" for the platform's configuration service.
    pub deny: Vec<Arc<str>>,
}

/// Reason for a refused request, as a whole sentence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// What to change.
    pub error: String,
}

/// A part of the audit trail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditPage {
    /// Incarnation of the daemon; sequence numbers begin anew with it.
    pub incarnation: u32,
    /// Records, oldest first.
    pub records: Vec<AuditRecord>,
}

/// One change that a daemon made or saw.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Sequence number, counted from 1 in each incarnation of the daemon.
    pub seq: u64,
    /// Time of the record, in milliseconds since 1970 in JSON.
    #[serde(rename = "at_ms")]
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub at: SystemTime,
    /// What changed.
    #[serde(flatten)]
    pub event: AuditEvent,
}

/// A change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum AuditEvent {
    /// A document is in force.
    DocumentApplied {
        /// Name of the service.
        service: Arc<str>,
        /// Revision of the document.
        revision: u64,
    },
    /// A document was refused whole.
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
    /// A zone is in service.
    ZoneIn {
        /// Name of the service.
        service: Arc<str>,
        /// Name of the zone.
        zone: Arc<str>,
    },
    /// An upstream changed its state.
    UpstreamState {
        /// Name of the service.
        service: Arc<str>,
        /// Name of the upstream.
        upstream: Arc<str>,
        /// State before.
        from: UpstreamState,
        /// State now.
        to: UpstreamState,
    },
    /// An upstream changed its owner.
    OwnerMoved {
        /// Name of the service.
        service: Arc<str>,
        /// Name of the upstream.
        upstream: Arc<str>,
        /// VM of the owner before.
        from: Option<Arc<str>>,
        /// VM of the owner now.
        to: Option<Arc<str>>,
    },
    /// A member changed its state.
    MemberState {
        /// VM of the member.
        vm: Arc<str>,
        /// State now.
        state: MemberState,
        /// Incarnation of the member, once heard of.
        incarnation: Option<u32>,
    },
    /// The daemon was paused and takes no new work until it has synced.
    FleetFenced,
    /// The daemon has synced and takes work again.
    FleetRejoined,
    /// The daemon shuts down gracefully.
    Stopping,
}

impl AuditEvent {
    /// Service that the event is about.
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

    /// Word for the kind of event.
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

    /// Writes the fields after the kind, each as ` key=value`.
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

/// A value of a key=value pair, in quotes unless it is a plain name.
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
