//! Who vouched for this daemon.

use std::{
    cell::Cell,
    time::Instant, //
};

/// When others last vouched for this daemon without being enough alone.
#[derive(Debug, Default)]
pub(crate) struct PartialSyncs {
    pub(super) peer: Cell<Option<Instant>>,
    pub(super) platform: Cell<Option<Instant>>,
}
