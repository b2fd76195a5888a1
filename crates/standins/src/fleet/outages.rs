//! Times in which daemons had availability zones out of service.

use crate::{
    breaks::Outage,
    fleet::Fleet, //
};
use foxtailhinge_config::report::{
    AuditEvent,
    AuditRecord, //
};
use std::time::{
    Instant,
    SystemTime, //
};

impl Fleet {
    /// Returns the outages by the audit trails of the running daemons.
    pub fn observed_outages(&self) -> anyhow::Result<Vec<Outage>> {
        let mut seen = Vec::new();
        for vm in self.running() {
            seen.extend(of(&self.audit(&vm)?.records));
        }
        Ok(seen)
    }
}

/// Outages in one daemon's trail.
fn of(records: &[AuditRecord]) -> Vec<Outage> {
    let mut seen: Vec<Outage> = Vec::new();
    for record in records {
        match &record.event {
            AuditEvent::ZoneOut { service, zone } => seen.push(Outage {
                zone: zone.to_string(),
                service: service.to_string(),
                began: instant(record.at),
                ended: None,
            }),
            AuditEvent::ZoneIn { service, zone } => {
                let open = seen.iter_mut().filter(|one| {
                    one.zone == **zone && one.service == **service && one.ended.is_none()
                });
                open.for_each(|one| one.ended = Some(instant(record.at)));
            }
            _ => (),
        }
    }
    seen
}

/// A time of the wall clock by the clock that never goes back.
fn instant(at: SystemTime) -> Instant {
    let age = at.elapsed().unwrap_or_default();
    let now = Instant::now();
    now.checked_sub(age).unwrap_or(now)
}
