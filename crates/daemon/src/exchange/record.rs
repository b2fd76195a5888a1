//! Records changes in the audit trail and the metrics.

use crate::{
    audit::AuditEvent,
    exchange::path::DataPath,
    operations::{
        findings,
        member_status, //
    },
};
use foxtailhinge_policy::members::Member;
use std::{
    net::SocketAddr,
    sync::Arc, //
};

impl DataPath {
    /// Records that a document came into force, or that its service was removed.
    pub fn record_document(&self, service: &str, revision: u64, in_force: bool) {
        let service = Arc::from(service);
        let event = if in_force {
            self.metrics.documents_applied.inc();
            AuditEvent::DocumentApplied { service, revision }
        } else {
            AuditEvent::DocumentRemoved { service, revision }
        };
        self.audit.record(event);
    }

    /// Records that a document was refused, with its findings.
    pub fn record_refusal(&self, service: &str, revision: u64) {
        self.metrics.documents_refused.inc();
        let documents = self.control.documents();
        let refusal = documents.entry(service).and_then(|e| e.refusal.as_ref());
        let findings = refusal.map(|refusal| findings(service, &refusal.text));
        self.audit.record(AuditEvent::DocumentRefused {
            service: Arc::from(service),
            revision,
            findings: findings.unwrap_or_default(),
        });
    }

    /// Records that the owner of an upstream changed.
    pub fn record_owner(&self, addr: SocketAddr, from: Option<&str>, to: Option<&str>) {
        for service in self.services.borrow().values() {
            for (_, declared) in service.upstreams() {
                if declared.spec.address == addr {
                    self.audit.record(AuditEvent::OwnerMoved {
                        service: Arc::clone(&service.name),
                        upstream: Arc::clone(&declared.spec.name),
                        from: from.map(Arc::from),
                        to: to.map(Arc::from),
                    });
                }
            }
        }
    }

    /// Records the state of a member.
    pub fn record_member(&self, member: &Member) {
        let status = member_status(member);
        self.audit.record(AuditEvent::MemberState {
            vm: status.vm,
            state: status.state,
            incarnation: status.incarnation,
        });
        let members = self.control.members();
        let states = members.iter().map(|member| member_status(member).state);
        self.metrics.members.count(states);
    }
}
