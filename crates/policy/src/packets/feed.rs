//! Freshness of a view that another daemon feeds instead of the store.

use std::time::{
    Duration,
    Instant, //
};

/// Report of a reader about the freshness of its view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessReport {
    /// How long the reader held the request before it replied, by a clock that may stop while the VM is suspended.
    pub held: Duration,
    /// Age of the newest state that the reader knows to be complete, including times of suspension; `None` if it has no
    /// such state.
    pub age: Option<Duration>,
}

/// Freshness of the view according to the reports of readers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    as_of: Option<Instant>,
}

impl Freshness {
    /// Applies a report that arrived at `now` in reply to a request sent at `asked`.
    ///
    /// Returns the time up to which the view holds all changes. The reader cannot have received the request before
    /// `asked`, so it replied no earlier than `asked` plus the time it held the request. The transit times of request
    /// and reply therefore do not matter.
    pub fn update(
        &mut self,
        reported: FreshnessReport,
        asked: Instant,
        now: Instant,
    ) -> Option<Instant> {
        let held = reported.held.min(now.saturating_duration_since(asked));
        let as_of = (asked + held).checked_sub(reported.age?)?;
        self.as_of = self.as_of.max(Some(as_of));
        Some(as_of)
    }

    /// Returns until when no call of the store is needed if the view may get as old as `interval`; `None` if one is
    /// due.
    pub fn fresh_until(&self, interval: Duration, now: Instant) -> Option<Instant> {
        let until = self.as_of? + interval;
        (now < until).then_some(until)
    }
}
