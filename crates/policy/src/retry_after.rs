//! Time after which a refused caller should retry.
//!
//! Each refused caller gets the next free time slot of a schedule. The slots follow each other at a
//! small fraction of the rate of admitted flows, so that the retries do not cause a surge.

use rand::Rng;
use std::time::{
    Duration,
    Instant, //
};

/// Longest retry delay, in seconds.
pub const MAX_RETRY_AFTER_S: u64 = 60;

/// Time constant of the exponential decay in the meter of admitted flows, in seconds.
const METER_DECAY_S: f64 = 10.0;

/// Lower bound of the rate of admitted flows, in flows a second; also used before the first flow.
const ADMITTED_MIN_PER_S: f64 = 20.0;

/// Shortest time over which a rate is computed, in seconds.
const RATE_MIN_S: f64 = 1.0;

/// Rate of retries, as a share of the rate of admitted flows.
const RETRY_SHARE: f64 = 0.1;

/// Retry schedule of refused callers.
#[derive(Clone, Debug, Default)]
pub struct RetryAfter {
    admitted: RateMeter,
    /// End of the last time slot that was assigned.
    scheduled: Option<Instant>,
}

/// Exponentially decaying count.
#[derive(Clone, Debug, Default)]
struct RateMeter {
    count: f64,
    first: Option<Instant>,
    last: Option<Instant>,
}

impl RateMeter {
    fn add(&mut self, now: Instant) {
        self.count = self.count(now) + 1.0;
        self.first.get_or_insert(now);
        self.last = Some(self.last.map_or(now, |last| last.max(now)));
    }

    fn count(&self, now: Instant) -> f64 {
        let elapsed = self
            .last
            .map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.count * (-elapsed.as_secs_f64() / METER_DECAY_S).exp()
    }

    /// Events a second. A meter that started recently divides only by the time that it observed.
    fn rate(&self, now: Instant) -> f64 {
        let Some(first) = self.first else {
            return 0.0;
        };
        let age = now.saturating_duration_since(first).as_secs_f64();
        let observed_s = METER_DECAY_S * (1.0 - (-age / METER_DECAY_S).exp());
        self.count(now) / observed_s.max(RATE_MIN_S)
    }
}

impl RetryAfter {
    /// Creates an empty schedule.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a flow or request that was admitted.
    pub fn on_admitted(&mut self, now: Instant) {
        self.admitted.add(now);
    }

    /// Returns the retry delay of one refused caller: whole seconds, at least 1.
    ///
    /// `overload` is the share of recently refused flows, in `[0, 1]`, as the caller of this method
    /// knows it; pass 0 where only the flows counted here are known.
    pub fn delay(&mut self, now: Instant, overload: f64, rng: &mut impl Rng) -> Duration {
        let overload_s = overload.clamp(0.0, 1.0) * MAX_RETRY_AFTER_S as f64;
        let slot_s = self.slot_s(now, rng);
        let latest_s = slot_s.max(overload_s);
        whole_seconds(rng.random_range(slot_s..=latest_s))
    }

    /// Seconds until the end of the next free time slot; a random time when the schedule is full.
    fn slot_s(&mut self, now: Instant, rng: &mut impl Rng) -> f64 {
        let rate = RETRY_SHARE * self.admitted.rate(now).max(ADMITTED_MIN_PER_S);
        let start = self.scheduled.map_or(now, |end| end.max(now));
        let end = start + Duration::from_secs_f64(1.0 / rate);
        let slot_s = (end - now).as_secs_f64();
        if slot_s > MAX_RETRY_AFTER_S as f64 {
            return rng.random_range(0.0..MAX_RETRY_AFTER_S as f64);
        }
        self.scheduled = Some(end);
        slot_s
    }
}

fn whole_seconds(seconds: f64) -> Duration {
    Duration::from_secs(seconds.ceil().clamp(1.0, MAX_RETRY_AFTER_S as f64) as u64)
}
