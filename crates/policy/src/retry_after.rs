//! The time after which a refused caller should come back.
//!
//! Refused callers are given the next free places in a schedule that lets them return at a small
//! share of the rate that is admitted, so that their return is not a surge.

use rand::Rng;
use std::time::{
    Duration,
    Instant, //
};

/// Longest time a caller is told to stay away, in seconds.
pub const MAX_RETRY_AFTER_S: u64 = 60;

/// Time constant of the meter of admitted flows, in seconds.
const METER_S: f64 = 10.0;

/// Flows a second that are taken to be admitted at least, as before the first one was.
const ADMITTED_MIN_PER_S: f64 = 20.0;

/// Shortest time over which a rate is taken, in seconds.
const RATE_MIN_S: f64 = 1.0;

/// Share of the admitted rate that returning callers may add.
const RETURN_SHARE: f64 = 0.1;

/// Schedule of refused callers over the next seconds.
#[derive(Clone, Debug, Default)]
pub struct RetryAfter {
    admitted: Meter,
    /// End of the places given away.
    scheduled: Option<Instant>,
}

/// Exponentially decaying count.
#[derive(Clone, Debug, Default)]
struct Meter {
    count: f64,
    first: Option<Instant>,
    last: Option<Instant>,
}

impl Meter {
    fn add(&mut self, now: Instant) {
        self.count = self.count(now) + 1.0;
        self.first.get_or_insert(now);
        self.last = Some(self.last.map_or(now, |last| last.max(now)));
    }

    fn count(&self, now: Instant) -> f64 {
        let elapsed = self
            .last
            .map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.count * (-elapsed.as_secs_f64() / METER_S).exp()
    }

    /// Events a second; a meter that began lately is taken for the time that it has seen.
    fn rate(&self, now: Instant) -> f64 {
        let Some(first) = self.first else {
            return 0.0;
        };
        let age = now.saturating_duration_since(first).as_secs_f64();
        let seen_s = METER_S * (1.0 - (-age / METER_S).exp());
        self.count(now) / seen_s.max(RATE_MIN_S)
    }
}

impl RetryAfter {
    /// Starts with no caller refused.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a flow or request that was admitted.
    pub fn on_admitted(&mut self, now: Instant) {
        self.admitted.add(now);
    }

    /// Whole seconds, at least 1, after which this refused caller should come back.
    ///
    /// `overload` is the share of flows refused lately as the caller of this method knows it, in
    /// `[0, 1]`; pass 0 where only the flows counted here are known.
    pub fn delay(&mut self, now: Instant, overload: f64, rng: &mut impl Rng) -> Duration {
        let told_s = overload.clamp(0.0, 1.0) * MAX_RETRY_AFTER_S as f64;
        let place_s = self.place_s(now, rng);
        let latest_s = place_s.max(told_s);
        whole_seconds(rng.random_range(place_s..=latest_s))
    }

    /// Seconds until the next free place; a random one when the schedule is full.
    fn place_s(&mut self, now: Instant, rng: &mut impl Rng) -> f64 {
        let rate = RETURN_SHARE * self.admitted.rate(now).max(ADMITTED_MIN_PER_S);
        let start = self.scheduled.map_or(now, |end| end.max(now));
        let end = start + Duration::from_secs_f64(1.0 / rate);
        let place_s = (end - now).as_secs_f64();
        if place_s > MAX_RETRY_AFTER_S as f64 {
            return rng.random_range(0.0..MAX_RETRY_AFTER_S as f64);
        }
        self.scheduled = Some(end);
        place_s
    }
}

fn whole_seconds(seconds: f64) -> Duration {
    Duration::from_secs(seconds.ceil().clamp(1.0, MAX_RETRY_AFTER_S as f64) as u64)
}
