//! Rate limit of copies of documents and members.

use std::time::{
    Duration,
    Instant, //
};

/// A token bucket of bytes, which one message may overdraw.
#[derive(Debug)]
pub struct ByteBudget {
    rate: u64,
    burst: i64,
    left: i64,
    refilled_at: Instant,
}

impl ByteBudget {
    /// Creates a full bucket of `burst` bytes that refills by `rate` bytes per second.
    pub fn new(rate: u64, burst: u64, now: Instant) -> Self {
        Self {
            rate: rate.max(1),
            burst: burst as i64,
            left: burst as i64,
            refilled_at: now,
        }
    }

    /// Sets the refill rate to `rate` bytes per second from `now` on.
    pub fn set_rate(&mut self, rate: u64, now: Instant) {
        self.refill(now);
        self.rate = rate.max(1);
    }

    /// Returns how long to wait before the next message may be sent; zero if it may be sent at `now`.
    pub fn wait(&mut self, now: Instant) -> Duration {
        self.refill(now);
        if self.left > 0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((1 - self.left) as f64 / self.rate as f64)
    }

    /// Records that `bytes` were sent.
    pub fn spend(&mut self, bytes: usize) {
        self.left -= bytes as i64;
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let gained = (elapsed.as_secs_f64() * self.rate as f64) as i64;
        if gained > 0 {
            self.left = (self.left + gained).min(self.burst);
            self.refilled_at = now;
        }
    }
}
