//! Records of changes in the audit trail and the metrics.

use {
    crate::{
        audit::AuditEvent,
        data::path::DataPath,
        operations::member_status, //
    },
    foxtailhinge_policy::members::Member,
    std::sync::Arc,
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
