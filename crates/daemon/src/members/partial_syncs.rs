//! Syncs that open the fence only in combination.

use std::{
    cell::Cell,
    time::Instant, //
};

/// Start of the latest sync with each source that is not enough alone to open the fence.
#[derive(Debug, Default)]
pub(crate) struct PartialSyncs {
    /// A peer that is fenced itself.
    pub(super) peer: Cell<Option<Instant>>,
    pub(super) platform: Cell<Option<Instant>>,
}
