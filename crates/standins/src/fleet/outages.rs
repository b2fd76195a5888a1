//! Periods in which daemons had availability zones out of service.

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
    /// Returns the zone outages in the audit trails of the running daemons.
    pub fn observed_outages(&self) -> anyhow::Result<Vec<Outage>> {
        let mut outages = Vec::new();
        for vm in self.running() {
            outages.extend(outages_in(&self.audit(&vm)?.records));
        }
        Ok(outages)
    }
}

/// Returns the outages in the audit trail of one daemon.
fn outages_in(records: &[AuditRecord]) -> Vec<Outage> {
    let mut outages: Vec<Outage> = Vec::new();
    for record in records {
        match &record.event {
            AuditEvent::ZoneOut { service, zone } => outages.push(Outage {
                zone: zone.to_string(),
                service: service.to_string(),
                began: instant(record.at),
                ended: None,
            }),
            AuditEvent::ZoneIn { service, zone } => {
                let open = outages.iter_mut().filter(|outage| {
                    outage.zone == **zone && outage.service == **service && outage.ended.is_none()
                });
                open.for_each(|outage| outage.ended = Some(instant(record.at)));
            }
            _ => (),
        }
    }
    outages
}

/// Converts a wall clock time to the monotonic clock.
fn instant(at: SystemTime) -> Instant {
    let age = at.elapsed().unwrap_or_default();
    let now = Instant::now();
    now.checked_sub(age).unwrap_or(now)
}
