//! Retry budget of a service.
//!
//! Each request adds a fixed fraction of a retry to the budget, and elapsed time adds a small
//! minimum rate, so that retries can never multiply an overload.

use std::time::Instant;

/// Maximum number of retries that can accumulate from requests.
const MAX_SAVED: f64 = 32.0;

/// Token bucket of retries, refilled by requests and by time.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    per_request: f64,
    min_per_s: f64,
    tokens: f64,
    last: Option<Instant>,
}

impl RetryBudget {
    /// Allows `percent` retries per hundred requests, plus `min_per_s` retries a second.
    pub fn new(percent: u32, min_per_s: u32) -> Self {
        let min_per_s = f64::from(min_per_s);
        Self {
            per_request: f64::from(percent) / 100.0,
            min_per_s,
            tokens: min_per_s,
            last: None,
        }
    }

    /// Counts a started request; not to be called for retries.
    pub fn on_request(&mut self, now: Instant) {
        self.refill(now);
        self.add(self.per_request);
    }

    /// Takes one retry from the budget; returns false when none is left.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.refill(now);
        // Rounding leaves sums of fractions such as 0.1 slightly below a whole number.
        if self.tokens < 1.0 - 1e-9 {
            return false;
        }
        self.tokens = (self.tokens - 1.0).max(0.0);
        true
    }

    fn refill(&mut self, now: Instant) {
        let last = self.last.unwrap_or(now);
        let elapsed = now.saturating_duration_since(last);
        self.last = Some(now.max(last));
        self.add(self.min_per_s * elapsed.as_secs_f64());
    }

    fn add(&mut self, tokens: f64) {
        let most = MAX_SAVED.max(self.min_per_s);
        self.tokens = (self.tokens + tokens).min(most);
    }
}
