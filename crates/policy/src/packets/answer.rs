//! Validation of the store's answers.

use std::time::{
    Duration,
    Instant, //
};

/// Number of entries from which an answer may be truncated: the platform's limit of 500 is approximate.
const ENTRIES_CUT: usize = 250;

/// Size in bytes from which an answer may be truncated: the platform's limit of 1 MB of entries is approximate.
const BYTES_CUT: usize = 500_000;

/// Divisor of the wait: an answer without changes that arrives before this part of the wait has passed is considered a
/// duplicate; a later one is considered sent at the end of the wait.
const EARLY_DIVISOR: u32 = 2;

/// Answer of the store to a watch.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// When the call began.
    pub began: Instant,
    /// When the answer arrived.
    pub ended: Instant,
    /// How long the store was asked to wait for a change.
    pub wait: Duration,
    /// Revision after which changes were requested.
    pub after: u64,
    /// Lowest revision among the returned changes.
    pub first: Option<u64>,
    /// Revision of the store, as the answer states it.
    pub revision: u64,
    /// Number of returned changes.
    pub entries: usize,
    /// Size in bytes.
    pub bytes: usize,
}

impl Answer {
    /// Whether this can be the answer to the call, rather than a delayed duplicate of an earlier answer.
    ///
    /// All its changes must be later than the requested revision, and only at the end of the wait may it hold none.
    pub fn matches_call(&self) -> bool {
        let is_later = self.first.is_none_or(|first| first > self.after);
        let is_early = self.entries == 0 && self.ended < self.began + self.wait / EARLY_DIVISOR;
        is_later && self.revision >= self.after && !is_early
    }

    /// Whether the answer holds all changes, rather than only the oldest ones.
    pub fn is_whole(&self) -> bool {
        self.entries < ENTRIES_CUT && self.bytes < BYTES_CUT
    }

    /// Time for which the store held the call before there was a change, if the exchange itself took `exchange` at most.
    pub fn time_held(&self, exchange: Duration) -> Duration {
        (self.ended - self.began).saturating_sub(exchange)
    }

    /// Time up to which no change is missing, if the answer is whole.
    ///
    /// The store sends an answer without changes at the end of the wait; it may have sent one with changes as early as
    /// the start of the call.
    pub fn as_of(&self) -> Instant {
        match self.entries {
            0 => (self.began + self.wait).min(self.ended),
            _ => self.began,
        }
    }
}
