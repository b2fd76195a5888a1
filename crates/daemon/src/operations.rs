//! Answers of the daemon to the requests of operators.

use crate::{
    admin::{
        ExplainError,
        ExplainQuery,
        FaultsError,
        Operations, //
    },
    audit::AuditQuery,
    exchange::{
        path::DataPath,
        service::{
            Service,
            ServiceUpstream, //
        },
        upkeep::report_state,
        upstream::Upstream, //
    },
    members::AcceptedDocument,
    metrics::{
        raise_to,
        PlatformResult, //
    },
    platform::reader::is_reader, //
};
use foxtailhinge_config::{
    document::ServiceDocument,
    finding::Finding,
    report::{
        AuditPage,
        Candidate,
        DaemonState,
        DocumentStatus,
        Explanation,
        Faults,
        MemberState,
        MemberStatus,
        OwnedUpstream,
        PlatformStatus,
        RefusedDocument,
        Status,
        TicketReport,
        UpstreamStatus,
        Usage,
        Verdict,
        ZoneStatus, //
    },
    settings::Settings, //
};
use foxtailhinge_policy::{
    members,
    revisions::Documents, //
};
use foxtailhinge_wire::ticket::{
    name_hash,
    Ticket, //
};
use std::{
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

/// Time after the platform's last confirmation, direct or through peers, for which the platform is reported as
/// reachable.
const CONFIRMATION_TTL: Duration = Duration::from_secs(60);

/// Implements [`Operations`] on the daemon's data path.
pub struct AdminOperations {
    path: Rc<DataPath>,
    fleet: Arc<str>,
    faults: bool,
}

impl AdminOperations {
    /// Creates the operations of the daemon that runs with `settings`.
    pub fn new(path: Rc<DataPath>, settings: &Settings) -> AdminOperations {
        AdminOperations {
            path,
            fleet: Arc::clone(&settings.fleet),
            faults: settings.testing.faults,
        }
    }

    fn state(&self) -> DaemonState {
        if self.path.stopping.get() {
            DaemonState::Stopping
        } else if !self.path.control.is_synced() {
            DaemonState::Fenced
        } else if !self.path.is_ready(Instant::now()) || self.path.services.borrow().is_empty() {
            DaemonState::Starting
        } else {
            DaemonState::Serving
        }
    }

    fn members(&self) -> Vec<MemberStatus> {
        let members = self.path.control.members();
        let mut list: Vec<MemberStatus> = members.iter().map(member_status).collect();
        list.sort_by(|a, b| a.vm.cmp(&b.vm));
        list
    }

    fn services(&self) -> Vec<Rc<Service>> {
        let mut services: Vec<_> = self.path.services.borrow().values().cloned().collect();
        services.sort_by(|a, b| a.name.cmp(&b.name));
        services
    }

    fn owner_of(&self, upstream: ServiceUpstream<'_>) -> Option<Arc<str>> {
        let owner = self.path.owner(upstream.key, &upstream.spec.zone)?;
        Some(Arc::from(&*owner.vm))
    }

    fn upstream_status(&self, service: &Service, upstream: ServiceUpstream<'_>) -> UpstreamStatus {
        let held = self.path.held_upstream(upstream.spec.address);
        UpstreamStatus {
            service: Arc::clone(&service.name),
            upstream: Arc::clone(&upstream.spec.name),
            zone: Arc::clone(&upstream.spec.zone),
            address: upstream.spec.address,
            owner: self.owner_of(upstream),
            owned: held.map(|held| owned_status(&held, upstream)),
        }
    }

    fn ticket(
        &self,
        service: &Service,
        bytes: Option<&[u8]>,
    ) -> Result<Option<Ticket>, ExplainError> {
        let Some(bytes) = bytes else {
            return Ok(None);
        };
        match self.path.tickets.open(bytes, &service.name) {
            Ok(ticket) => Ok(Some(ticket)),
            Err(err) => Err(ExplainError::RefusedTicket(err.to_string())),
        }
    }

    fn ticket_report(&self, ticket: &Ticket) -> TicketReport {
        let members = self.path.control.members();
        let issuer = members.by_hash(ticket.owner);
        TicketReport {
            upstream_incarnation: ticket.upstream_incarnation,
            issuer: issuer.map(|member| Arc::from(&*member.vm)),
            issuer_incarnation: ticket.owner_incarnation,
            flow: ticket.flow,
            epoch: ticket.epoch,
        }
    }

    fn verdict(
        &self,
        service: &Service,
        hash: u32,
        upstream: ServiceUpstream<'_>,
        drawn: &[u32],
    ) -> Verdict {
        let position = drawn.iter().position(|other| *other == hash);
        if !service.zone_in_service(&upstream.spec.zone) {
            Verdict::ZoneOut
        } else if self.owner_of(upstream).is_none() {
            Verdict::NoOwner
        } else if upstream.spec.draining {
            Verdict::Draining
        } else {
            match position.and_then(|position| u8::try_from(position + 1).ok()) {
                Some(position) => Verdict::Drawn(position),
                None => Verdict::NotDrawn,
            }
        }
    }
}

impl Operations for AdminOperations {
    fn metrics(&self) -> String {
        let counters = self.path.control.counters();
        let metrics = &self.path.metrics;
        let (calls, failures) = (
            counters.platform_calls.get(),
            counters.platform_failures.get(),
        );
        metrics
            .platform_calls
            .raise_to(PlatformResult::Answered, calls.saturating_sub(failures));
        metrics
            .platform_calls
            .raise_to(PlatformResult::Failed, failures);
        raise_to(&metrics.links_refused, counters.links_refused.get());
        metrics.render()
    }

    fn status(&self) -> Status {
        let settings = self.path.control.settings();
        let services = self.services();
        let documents = self.path.control.documents();
        let revisions = documents.in_force();
        let mut upstreams = Vec::new();
        let mut zones = Vec::new();
        for service in &services {
            for zone in &service.doc().zones {
                zones.push(ZoneStatus {
                    service: Arc::clone(&service.name),
                    zone: Arc::clone(&zone.name),
                    in_service: zone.in_service,
                });
            }
            for (_, upstream) in service.upstreams() {
                upstreams.push(self.upstream_status(service, upstream));
            }
        }
        upstreams.sort_by(|a, b| (&a.service, &a.upstream).cmp(&(&b.service, &b.upstream)));
        let mut in_force: Vec<DocumentStatus> = revisions
            .map(|(service, revision, _)| DocumentStatus {
                service: Arc::from(&**service),
                revision,
            })
            .collect();
        in_force.sort_by(|a, b| a.service.cmp(&b.service));
        Status {
            vm: Arc::from(&*settings.vm),
            zone: Arc::from(&*settings.zone),
            fleet: Arc::clone(&self.fleet),
            incarnation: settings.incarnation,
            state: self.state(),
            platform: PlatformStatus {
                reader: is_reader(&self.path.control),
                reachable: self
                    .path
                    .control
                    .confirmed()
                    .map(|at| at.elapsed() < CONFIRMATION_TTL),
                revision: documents.synced(),
            },
            members: self.members(),
            zones,
            upstreams,
            documents: in_force,
            refused: refused(&documents),
        }
    }

    fn audit(&self, query: &AuditQuery) -> AuditPage {
        self.path.audit.page(query)
    }

    fn explain(&self, query: &ExplainQuery) -> Result<Explanation, ExplainError> {
        let service = self.path.service(name_hash(&query.service));
        let Some(service) = service.filter(|service| *service.name == *query.service) else {
            return Err(ExplainError::UnknownService(query.service.clone()));
        };
        let ticket = self.ticket(&service, query.ticket.as_deref())?;
        let reach = |zone: &str| self.path.reachability(zone);
        let drawn = service.draw(self.path.reachability_version(), reach, &mut rand::rng());
        let mut candidates = Vec::new();
        for (hash, upstream) in service.upstreams() {
            let verdict = match &ticket {
                Some(ticket) if ticket.upstream == hash => Verdict::Ticket,
                Some(_) => Verdict::OtherTicket,
                None => self.verdict(&service, hash, upstream, &drawn),
            };
            candidates.push(Candidate {
                upstream: Arc::clone(&upstream.spec.name),
                zone: Arc::clone(&upstream.spec.zone),
                owner: self.owner_of(upstream),
                verdict,
            });
        }
        candidates
            .sort_by_key(|candidate| (rank(candidate.verdict), Arc::clone(&candidate.upstream)));
        let first = candidates.first().filter(|first| rank(first.verdict) <= 1);
        Ok(Explanation {
            service: Arc::clone(&service.name),
            upstream: first.map(|first| Arc::clone(&first.upstream)),
            owner: first.and_then(|first| first.owner.clone()),
            ticket: ticket.map(|ticket| self.ticket_report(&ticket)),
            candidates,
        })
    }

    fn set_faults(&self, faults: Faults) -> Result<(), FaultsError> {
        if !self.faults {
            return Err(FaultsError::NotEnabled);
        }
        let names = faults.deny.iter().map(|name| Rc::from(&**name));
        self.path.control.set_deny(names);
        Ok(())
    }
}

/// Returns the refused documents with their findings, in the order of the services.
fn refused(documents: &Documents<AcceptedDocument>) -> Vec<RefusedDocument> {
    let mut refused: Vec<RefusedDocument> = documents
        .iter()
        .filter_map(|(service, entry)| Some((service, entry.refusal.as_ref()?)))
        .map(|(service, refusal)| RefusedDocument {
            service: Arc::from(&**service),
            revision: refusal.revision,
            findings: findings(service, &refusal.text),
        })
        .collect();
    refused.sort_by(|a, b| a.service.cmp(&b.service));
    refused
}

/// Returns the findings of a document that was refused for `service`.
pub fn findings(service: &str, text: &str) -> Vec<Finding> {
    let refused = ServiceDocument::parse_published(service, text).err();
    refused.map_or_else(Vec::new, |findings| findings.iter().cloned().collect())
}

/// Sort key of the candidates in an explanation; the chosen one comes first.
fn rank(verdict: Verdict) -> u8 {
    match verdict {
        Verdict::Ticket => 0,
        Verdict::Drawn(position) => position,
        _ => u8::MAX,
    }
}

/// Converts a member to its form in the status report.
pub fn member_status(member: &members::Member) -> MemberStatus {
    MemberStatus {
        vm: Arc::from(&*member.vm),
        zone: Arc::from(&*member.zone),
        state: match member.state {
            members::MemberState::Alive => MemberState::Live,
            members::MemberState::Suspect => MemberState::Suspect,
            members::MemberState::Leaving => MemberState::Leaving,
            members::MemberState::Dead => MemberState::Dead,
        },
        incarnation: (member.version > 0).then_some(member.incarnation),
    }
}

fn owned_status(held: &Upstream, upstream: ServiceUpstream<'_>) -> OwnedUpstream {
    let now = Instant::now();
    let load = held.load();
    let admission = load.admission();
    let (slots, connections) = load.allowance(now);
    OwnedUpstream {
        state: report_state(held, now),
        slots: Usage {
            used: admission.in_use(),
            allowed: slots,
            limit: upstream.spec.slots,
        },
        connections: Usage {
            used: admission.connections(),
            allowed: connections,
            limit: upstream.spec.connections,
        },
        queued: admission.queued(),
    }
}
