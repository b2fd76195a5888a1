//! The time after which a refused caller should come back.
//!
//! Refused callers return spread over a window that grows with the callers waiting to return, so
//! that their return is not a surge.

use {
    rand::Rng,
    std::time::{Duration, Instant},
};

/// Longest time a caller is told to stay away, in seconds.
pub const MAX_COMEBACK_S: u64 = 60;

/// Time constant of the meters of refused and admitted flows, in seconds.
const METER_S: f64 = 10.0;

/// Flows a second that are taken to be admitted at least, as before the first one was.
const ADMITTED_MIN_PER_S: f64 = 20.0;

/// Shortest time over which a rate is taken, in seconds.
const RATE_MIN_S: f64 = 1.0;

/// Share of the admitted rate that returning callers may add.
const RETURN_SHARE: f64 = 0.1;

/// Spread of refused callers over the next seconds.
#[derive(Clone, Debug, Default)]
pub struct Comeback {
    refused: Meter,
    admitted: Meter,
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

impl Comeback {
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
    pub fn after(&mut self, now: Instant, overload: f64, rng: &mut impl Rng) -> Duration {
        self.refused.add(now);
        let window = self.window_s(now, overload);
        Duration::from_secs(rng.random_range(1..=window))
    }

    /// Seconds over which callers refused now are spread.
    fn window_s(&self, now: Instant, overload: f64) -> u64 {
        let refused = self.refused.count(now);
        let admitted_per_s = self.admitted.rate(now).max(ADMITTED_MIN_PER_S);
        let counted = refused / (RETURN_SHARE * admitted_per_s);
        let told = overload.clamp(0.0, 1.0) * MAX_COMEBACK_S as f64;
        let window = counted.max(told).ceil();
        window.clamp(1.0, MAX_COMEBACK_S as f64) as u64
    }
}
