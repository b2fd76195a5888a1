//! Schedule of the calls to the store.
//!
//! A watch answers at the first change, so waiting between two watches lets one call return a series of changes. Each
//! call is charged to the deployment; the interval between calls is bounded by the time within which a change must be
//! in force. The next call is made earlier if a packet cannot be forwarded because information is missing, or if an
//! answer holds only part of the changes. As long as early calls return nothing useful, the gap before them doubles, up
//! to the interval.

use super::{
    answer::Answer,
    entry::Change,
    packet::Label, //
};
use std::time::{
    Duration,
    Instant, //
};

/// Shortest time between an answer and an early call: half the initial retransmission timeout of callers.
pub const GAP: Duration = Duration::from_millis(100);

/// Information that was missing to forward a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Missing {
    /// An upstream that accepts a new flow.
    Upstream,
    /// The upstream with this label; most often it no longer exists, and no answer will contain it.
    Label(Label),
}

impl Missing {
    /// Whether a change provides the missing information.
    pub fn is_in(self, change: &Change) -> bool {
        match (self, change) {
            (Self::Upstream, Change::Listed(..) | Change::Configured(_)) => true,
            (Self::Label(label), Change::Listed(id, _)) => id.has_label(label),
            _ => false,
        }
    }
}

/// Decides when to call the store again.
#[derive(Clone, Copy, Debug)]
pub struct PollSchedule {
    interval: Duration,
    gap: Duration,
    /// Start of the last call, and arrival of its answer.
    last: Option<(Instant, Instant)>,
    is_partial: bool,
    /// Latest missing information since the last answer.
    missing: Option<Missing>,
}

impl PollSchedule {
    /// Creates a schedule with `interval` between the starts of two calls, unless information is missing.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            gap: GAP,
            last: None,
            is_partial: false,
            missing: None,
        }
    }

    /// Changes the interval for the next call.
    pub fn set_interval(&mut self, interval: Duration) {
        self.interval = interval;
    }

    /// Records that a packet could not be forwarded because information is missing.
    ///
    /// Returns whether this moves the next call to an earlier time.
    pub fn record_missing(&mut self, missing: Missing) -> bool {
        self.missing.replace(missing).is_none()
    }

    /// Records an answer; `resolves` returns whether it provides the missing information.
    pub fn record_answer(&mut self, answer: &Answer, resolves: impl FnOnce(Missing) -> bool) {
        let missing = self.missing.take();
        let regular = self.last.map(|(began, _)| began + self.interval);
        let is_early = regular.is_some_and(|regular| answer.began < regular);
        if missing.is_none_or(resolves) {
            self.gap = GAP;
        } else if is_early && answer.entries > 0 {
            self.gap = (self.gap * 2).min(self.interval.max(GAP));
        }
        self.last = Some((answer.began, answer.ended));
        self.is_partial = !answer.is_whole();
    }

    /// Time of the next call; `None` to call immediately, before the first answer or after a partial one.
    pub fn due(&self) -> Option<Instant> {
        let (began, ended) = self.last.filter(|_| !self.is_partial)?;
        let regular = began + self.interval;
        Some(match self.missing {
            Some(_) => regular.min(ended + self.gap),
            None => regular,
        })
    }
}
