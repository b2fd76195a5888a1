//! Time limits for answers that arrive in parts.
//!
//! A large answer takes long on a slow link, but its parts keep arriving; a peer that is gone sends none.

use std::{
    cell::Cell,
    future::Future,
    pin::pin,
    time::{
        Duration,
        Instant, //
    },
};

/// Lateness of a timer from which this process itself was held up, and an answer may have arrived unnoticed.
const HELD_UP_MIN: Duration = Duration::from_millis(50);

/// Time limits for an answer.
#[derive(Clone, Copy, Debug)]
pub struct AnswerLimits {
    /// Time until the first part.
    pub first: Duration,
    /// Time from one part to the next.
    pub next: Duration,
    /// Time for the whole answer.
    pub whole: Duration,
}

/// The arrival of the parts of one answer.
#[derive(Debug, Default)]
pub struct Activity {
    last: Cell<Option<Instant>>,
}

impl Activity {
    /// Records that a part arrived.
    pub fn record(&self) {
        self.last.set(Some(Instant::now()));
    }

    /// Whether a part has arrived.
    pub fn has_begun(&self) -> bool {
        self.last.get().is_some()
    }

    /// Runs `work`, which records the parts of an answer here; returns `None` if they fail to arrive within `limits`.
    pub async fn limit<F: Future>(&self, limits: AnswerLimits, work: F) -> Option<F::Output> {
        let began = Instant::now();
        let whole = began + limits.whole.max(limits.first);
        let mut work = pin!(work);
        let mut until = began + limits.first;
        let mut is_extended = false;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if let Ok(done) = monoio::time::timeout(left, work.as_mut()).await {
                return Some(done);
            }
            let now = Instant::now();
            let next = self.last.get().map(|at| at + limits.next);
            let is_held_up = !is_extended && now > until + HELD_UP_MIN;
            until = match next.filter(|next| *next > now) {
                Some(next) => next,
                None if is_held_up => now + limits.next,
                None => return None,
            };
            is_extended = is_held_up;
            if now >= whole {
                return None;
            }
            until = until.min(whole);
        }
    }
}
