//! What an answer of the store proves.

use std::time::{
    Duration,
    Instant, //
};

/// Entries from which an answer may have been cut; the platform names 500, give or take.
const ENTRIES_CUT: usize = 250;

/// Bytes from which an answer may have been cut; the platform names 1 MB of entries, give or take.
const BYTES_CUT: usize = 500_000;

/// Part of the wait after which an answer without changes is taken for the end of it, as one part in so many.
const EARLY_PART: u32 = 2;

/// An answer to a watch.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// When the call began.
    pub began: Instant,
    /// When the answer was here.
    pub ended: Instant,
    /// How long the store was to wait for a change.
    pub wait: Duration,
    /// Revision after which changes were asked for.
    pub after: u64,
    /// Lowest revision of a change that it holds.
    pub first: Option<u64>,
    /// Revision of the store that it names.
    pub revision: u64,
    /// Changes that it holds.
    pub entries: usize,
    /// Its length in bytes.
    pub bytes: usize,
}

impl Answer {
    /// Whether it can be the answer to its call, and not a second copy of an earlier one that came late: it is about what
    /// was asked, and is without changes at the end of the wait only.
    pub fn matches_call(&self) -> bool {
        let is_later = self.first.is_none_or(|first| first > self.after);
        let is_early = self.entries == 0 && self.ended < self.began + self.wait / EARLY_PART;
        is_later && self.revision >= self.after && !is_early
    }

    /// Whether it holds all changes there were, and not just the oldest ones.
    pub fn is_whole(&self) -> bool {
        self.entries < ENTRIES_CUT && self.bytes < BYTES_CUT
    }

    /// Time up to which no change can be missing, if it is whole.
    ///
    /// An answer without changes is given at the end of the wait; one with changes may have been on its way ever since
    /// the call began.
    pub fn as_of(&self) -> Instant {
        match self.entries {
            0 => (self.began + self.wait).min(self.ended),
            _ => self.began,
        }
    }
}
