//! Syncs that open the fence only in combination.

use std::{
    cell::Cell,
    time::Instant, //
};

/// Start of the latest sync with each source that is not enough alone to open the fence.
#[derive(Debug, Default)]
pub(crate) struct PartialSyncs {
    /// Sync with a peer that is itself fenced.
    pub(super) peer: Cell<Option<Instant>>,
    pub(super) platform: Cell<Option<Instant>>,
}
