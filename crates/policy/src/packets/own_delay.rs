//! Queueing delay of this daemon itself, and the share of openings that it admits because of it.
//!
//! The connect time of a flow contains no work at the upstream: it is the time in the network, on this daemon's link and
//! in its socket. A slow zone or service shows in its own pools, a full link or a busy processor in all of them, so the
//! least increase of the connect time among the pools is the delay that this daemon adds.

use super::load::{
    Pool,
    WINDOW, //
};
use std::{
    collections::HashMap,
    time::Duration, //
};

/// Own delay up to which openings are not rejected.
pub const OWN_DELAY_GOAL: Duration = Duration::from_millis(50);

/// Own delay up to which baselines rise. It is below the goal because the admitted share holds the delay near the goal
/// during a long overload, which would otherwise become the baseline.
const BASELINE_DELAY_MAX: Duration = Duration::from_millis(25);

/// Growth of a baseline per second, towards the mean connect time.
const BASELINE_RISE_PER_S: f64 = 0.02;

/// Smallest decayed number of connects for a mean; about eight connects a second.
///
/// A lost packet adds the 200 ms of the first retransmission to one connect, so among four it raises the mean by the goal
/// at most.
const CONNECTS_MIN: f64 = 4.0;

/// Number of windows without enough connects in any pool after which the delay decays: 1 s.
const HOLD_WINDOWS: u32 = 10;

/// Factor by which the delay shrinks in a window when no pool shows it any more.
const DECAY: f64 = 0.8;

/// Delay under which a decaying delay becomes zero, in seconds.
const DELAY_MIN_S: f64 = 0.001;

/// Number of windows without enough connects after which the baseline of a pool is evicted: 10 min.
const BASELINE_TTL_WINDOWS: u32 = 6_000;

/// Connect time of one pool without own delay.
#[derive(Clone, Copy, Debug, Default)]
struct Baseline {
    /// The baseline in seconds; `None` until the end of the first update that has the pool.
    connect_s: Option<f64>,
    /// Mean connect time of the current update in seconds; `None` with too few connects.
    observed_s: Option<f64>,
    /// Number of windows since the last update with enough connects.
    unseen_windows: u32,
}

impl Baseline {
    /// Follows a decrease at once; returns the increase of the mean connect time over the baseline, in seconds.
    fn follow_decrease(&mut self) -> Option<f64> {
        let observed_s = self.observed_s?;
        let connect_s = self.connect_s?.min(observed_s);
        self.connect_s = Some(connect_s);
        Some(observed_s - connect_s)
    }

    /// Rises towards the mean connect time.
    fn rise(&mut self, growth: f64) {
        if let (Some(connect_s), Some(observed_s)) = (self.connect_s, self.observed_s) {
            self.connect_s = Some((connect_s * growth).min(observed_s));
        }
    }
}

/// Estimates the own delay from the connect times of all pools.
#[derive(Clone, Debug, Default)]
pub struct OwnDelay {
    baselines: HashMap<Pool, Baseline>,
    delay_s: f64,
    /// Number of windows since the last update in which a pool had enough connects.
    unseen_windows: u32,
}

impl OwnDelay {
    /// Applies the observations at the end of `windows` windows: for each pool the mean connect time in seconds and the
    /// decayed number of connects.
    pub fn update<'p>(&mut self, pools: impl Iterator<Item = (&'p Pool, f64, f64)>, windows: u32) {
        if windows == 0 {
            return;
        }
        self.age(windows);
        for (pool, connect_s, connects) in pools {
            if connects >= CONNECTS_MIN && connect_s.is_finite() && connect_s >= 0.0 {
                self.observe(pool, connect_s);
            }
        }
        self.estimate(windows);
        self.adapt_baselines(windows);
    }

    /// Time for which this daemon's own link, socket or processor delays packets.
    pub fn delay(&self) -> Duration {
        Duration::try_from_secs_f64(self.delay_s).unwrap_or_default()
    }

    /// Discards the observations of the previous update, and baselines that are not used any more.
    fn age(&mut self, windows: u32) {
        self.baselines.retain(|_, baseline| {
            baseline.observed_s = None;
            baseline.unseen_windows = baseline.unseen_windows.saturating_add(windows);
            baseline.unseen_windows < BASELINE_TTL_WINDOWS
        });
    }

    fn observe(&mut self, pool: &Pool, connect_s: f64) {
        if !self.baselines.contains_key(pool) {
            self.baselines.insert(pool.clone(), Baseline::default());
        }
        if let Some(baseline) = self.baselines.get_mut(pool) {
            baseline.observed_s = Some(connect_s);
            baseline.unseen_windows = 0;
        }
    }

    /// Sets the delay to the least increase among the pools, or lets it decay when none shows it.
    fn estimate(&mut self, windows: u32) {
        let baselines = self.baselines.values_mut();
        let least = baselines
            .filter_map(Baseline::follow_decrease)
            .min_by(f64::total_cmp);
        if let Some(least) = least {
            self.delay_s = least;
            self.unseen_windows = 0;
            return;
        }
        let before = self.unseen_windows.max(HOLD_WINDOWS);
        self.unseen_windows = self.unseen_windows.saturating_add(windows);
        let decaying = self.unseen_windows.saturating_sub(before);
        self.delay_s *= DECAY.powf(f64::from(decaying));
        if decaying > 0 && self.delay_s < DELAY_MIN_S {
            self.delay_s = 0.0;
        }
    }

    /// Lets baselines rise while there is little delay, and sets those of new pools. A new pool gets the mean connect time
    /// without the delay that other pools show, or it would hide that delay from now on.
    fn adapt_baselines(&mut self, windows: u32) {
        let seconds = WINDOW.as_secs_f64() * f64::from(windows);
        let growth = (1.0 + BASELINE_RISE_PER_S).powf(seconds);
        let is_calm = self.delay() <= BASELINE_DELAY_MAX;
        for baseline in self.baselines.values_mut() {
            match (baseline.connect_s, baseline.observed_s) {
                (None, Some(observed_s)) => {
                    baseline.connect_s = Some((observed_s - self.delay_s).max(0.0));
                }
                _ if is_calm => baseline.rise(growth),
                _ => (),
            }
        }
    }
}

/// Smallest admitted share, so that connect times are still observed.
const ADMITTED_MIN: f64 = 0.05;

/// Decrease of the admitted share in a window, per unit of pressure over 1.
const DECREASE: f64 = 0.5;

/// Smallest factor of a decrease.
const DECREASE_FACTOR_MIN: f64 = 0.7;

/// Increase of the admitted share in a window, per unit of pressure under 1.
const INCREASE: f64 = 0.4;

/// Number of consecutive updates over the goal from which the admitted share falls; a single one may be a short burst.
const OVER_MIN: u32 = 2;

/// Number of windows in which the share rises from the minimum to 1 even at a pressure of 0.97; further ones change
/// nothing in practice.
const INCREASE_WINDOWS_MAX: u32 = 256;

/// Share of openings that the daemon admits because of its own delay.
#[derive(Clone, Copy, Debug)]
pub struct OwnAdmission {
    admitted: f64,
    /// Number of consecutive updates over the goal.
    over: u32,
}

impl Default for OwnAdmission {
    fn default() -> Self {
        Self {
            admitted: 1.0,
            over: 0,
        }
    }
}

impl OwnAdmission {
    /// Applies the own delay at the end of `windows` windows.
    ///
    /// Several windows at once mean that no packet came in between. They hold a single observation, so the share falls
    /// once; it rises for each of them.
    pub fn update(&mut self, own_delay: Duration, windows: u32) {
        if windows == 0 {
            return;
        }
        let pressure = own_delay.as_secs_f64() / OWN_DELAY_GOAL.as_secs_f64();
        if pressure > 1.0 {
            self.over = self.over.saturating_add(1);
            if self.over >= OVER_MIN {
                self.admitted *= (1.0 - DECREASE * (pressure - 1.0)).max(DECREASE_FACTOR_MIN);
            }
        } else {
            self.over = 0;
            let growth = 1.0 + INCREASE * (1.0 - pressure);
            self.admitted *= growth.powf(f64::from(windows.min(INCREASE_WINDOWS_MAX)));
        }
        self.admitted = self.admitted.clamp(ADMITTED_MIN, 1.0);
    }

    /// Share of openings that is admitted, from 0.05 to 1.
    pub fn admitted(&self) -> f64 {
        self.admitted
    }
}
