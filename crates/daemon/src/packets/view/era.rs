//! Eras of the store, which begin when it is restored from a copy.

use super::{
    log::{
        log_era,
        log_era_settled, //
    },
    View, //
};
use crate::store::StoreError;
use foxtailhinge_platform::store::{
    read_era,
    ReadConsistency,
    ERA_HEADER, //
};
use foxtailhinge_policy::packets::{
    Directory,
    Version, //
};
use http::HeaderMap;
use std::time::Instant;

impl View {
    /// Returns the era of an answer and records it, whatever the status of the answer. An answer without the header is
    /// taken to be of the current era.
    pub(super) fn record_era(&self, headers: &HeaderMap) -> Result<u64, StoreError> {
        let known = self.era.get();
        let Some(value) = headers.get(ERA_HEADER) else {
            return Ok(known);
        };
        let answered =
            read_era(value.as_bytes()).map_err(|err| StoreError::Body(err.to_string()))?;
        if answered < known {
            return Err(StoreError::EarlierEra { known, answered });
        }
        self.set_era(answered);
        Ok(answered)
    }

    /// Records a restoration of the store if the directory went from `before` to a later era.
    pub(super) fn record_restoration(&self, directory: &Directory, before: Version) {
        let began = directory.restoration().filter(|one| one.before == before);
        if let Some(restoration) = began.filter(|_| before.era < directory.version().era) {
            self.metrics.restorations.inc();
            log_era(restoration, directory.version());
        }
    }

    /// Sets the era; the history of an earlier one cannot be watched any more.
    pub(super) fn set_era(&self, era: u64) {
        self.era.set(era);
        if self.position.get().is_some_and(|at| at.era < era) {
            self.position.set(None);
            self.consistency.set(ReadConsistency::Exact);
        }
    }

    /// Gives up changes that a restored store had lost and that were not written again in time.
    pub fn expire_awaited(&self, now: Instant) {
        if let Some(restoration) = self.directory.borrow_mut().expire_awaited(now) {
            log_era_settled(&restoration, now);
        }
    }
}
