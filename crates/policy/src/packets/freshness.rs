//! What a daemon may believe that learns of the store from another one.

use std::time::{
    Duration,
    Instant, //
};

/// What a reader says of its view beside what it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessReport {
    /// How long the reader held the request before it spoke, by a clock that may stand still while it is suspended.
    pub held: Duration,
    /// Age of the newest state that the reader knows to be whole, times in which it was suspended included; nothing
    /// when it knows none.
    pub age: Option<Duration>,
}

/// How new the view is by the statements of readers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    as_of: Option<Instant>,
}

impl Freshness {
    /// Takes over a statement that came at `now` to a request of `asked`; returns the time up to which no change can be
    /// missing here.
    ///
    /// The reader spoke when it had held the request, which it cannot have had before it was asked. How long the
    /// request or the statement was on its way does not matter then.
    pub fn update(
        &mut self,
        statement: FreshnessReport,
        asked: Instant,
        now: Instant,
    ) -> Option<Instant> {
        let held = statement.held.min(now.saturating_duration_since(asked));
        let as_of = (asked + held).checked_sub(statement.age?)?;
        self.as_of = self.as_of.max(Some(as_of));
        Some(as_of)
    }

    /// Until when the store need not be asked, where a view may become `pause` old; nothing when that is over.
    pub fn fresh_until(&self, pause: Duration, now: Instant) -> Option<Instant> {
        let until = self.as_of? + pause;
        (now < until).then_some(until)
    }
}
