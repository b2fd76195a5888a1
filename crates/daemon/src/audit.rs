//! Audit trail of changes, kept in memory.
//!
//! Each record is also written as one line of key=value pairs to the log.

pub use foxtailhinge_config::report::{
    AuditEvent,
    AuditPage,
    AuditRecord, //
};

use std::{
    cell::RefCell,
    collections::VecDeque,
    time::SystemTime, //
};

/// Maximum number of records; the oldest is evicted first.
pub const AUDIT_RECORDS_MAX: usize = 1_000;

/// Filter and page size of a query.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AuditQuery {
    /// Only records after this sequence number.
    pub since: u64,
    /// Only records about this service.
    pub service: Option<String>,
    /// At most this many records.
    pub max: Option<usize>,
}

/// The latest audit records of this daemon.
#[derive(Debug, Default)]
pub struct Audit {
    incarnation: u32,
    trail: RefCell<Trail>,
}

#[derive(Debug, Default)]
struct Trail {
    last_seq: u64,
    records: VecDeque<AuditRecord>,
}

impl Audit {
    /// Creates an empty trail for the daemon's incarnation.
    pub fn new(incarnation: u32) -> Self {
        Self {
            incarnation,
            ..Self::default()
        }
    }

    /// Stores `event` with the current time and logs it.
    pub fn record(&self, event: AuditEvent) {
        self.record_at(SystemTime::now(), event);
    }

    /// Stores `event` with the time `at` and logs it.
    pub fn record_at(&self, at: SystemTime, event: AuditEvent) {
        log::info!(target: "audit", "{event}");
        self.trail.borrow_mut().push(at, event);
    }

    /// Returns up to `max` records after the sequence number `seq`, oldest first.
    pub fn since(&self, seq: u64, service: Option<&str>, max: usize) -> Vec<AuditRecord> {
        let trail = self.trail.borrow();
        let later = trail.records.iter().filter(|r| r.seq > seq);
        later
            .filter(|r| service.is_none() || r.event.service() == service)
            .take(max)
            .cloned()
            .collect()
    }

    /// Returns the records that match an operator's query.
    pub fn page(&self, query: &AuditQuery) -> AuditPage {
        let max = query.max.unwrap_or(AUDIT_RECORDS_MAX);
        AuditPage {
            incarnation: self.incarnation,
            records: self.since(query.since, query.service.as_deref(), max),
        }
    }
}

impl Trail {
    fn push(&mut self, at: SystemTime, event: AuditEvent) {
        self.last_seq += 1;
        if self.records.len() == AUDIT_RECORDS_MAX {
            self.records.pop_front();
        }
        self.records.push_back(AuditRecord {
            seq: self.last_seq,
            at,
            event,
        });
    }
}
