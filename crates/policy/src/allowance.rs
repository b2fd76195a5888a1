//! Slow start of an upstream: its cold-start allowance and the ramp to the full one.
//!
//! A new or returning upstream gets the slots and connections that its document states for a
//! cold start, and more with each step of observed successes. When shed load, timeouts or a rise
//! of latency show that the upstream is cold again, the allowance is reset at once.

use std::time::{
    Duration,
    Instant, //
};

/// Steps from the cold allowance to the full one.
const STEPS: u32 = 10;

/// Shortest ramp of an upstream that was warm before and has not restarted.
const RECOVERY_RAMP: Duration = Duration::from_millis(500);

/// Successes needed for a step, per slot allowed.
const SUCCESSES_PER_SLOT: u32 = 2;

/// Weight of a new sample in the current share of failures.
const FAILURE_GAIN: f64 = 1.0 / 32.0;

/// Weight of a new sample in the current latency.
const FAST_GAIN: f64 = 1.0 / 16.0;

/// Weight of a new sample in the warm latency baseline and in the floor of the failure share.
const SLOW_GAIN: f64 = 1.0 / 256.0;

/// Share of failures above the floor at which the upstream is considered cold.
const COLD_SHARE: f64 = 0.3;

/// Probability below which consecutive failures are not attributed to chance.
const MIN_CHANCE: f64 = 2e-6;

/// Smallest failure rate assumed when the probability of consecutive failures is computed.
const MIN_FLOOR: f64 = 0.1;

/// Share of failures above the floor up to which the ramp advances.
const ADVANCE_SHARE: f64 = 0.1;

/// Largest floor of the share of failures.
const MAX_FLOOR: f64 = 0.65;

/// Samples before the baseline of the latency is used.
const BASELINE_SAMPLES: u32 = 64;

/// Natural logarithm of the smallest ratio (3) of current latency to baseline that indicates a
/// cold start.
const LATENCY_RISE_LN: f64 = 1.0986;

/// Standard deviations of the current latency above the baseline that indicate a cold start.
const LATENCY_DEVIATIONS: f64 = 4.5;

/// Slots and connections of the full allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Requests that may run at one time.
    pub slots: u32,
    /// Flows that may be open at one time.
    pub connections: u32,
}

/// Settings of one upstream's slow start, from the service document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AllowanceSpec {
    /// Allowance of a warm upstream.
    pub full: Capacity,
    /// Slots in a cold start.
    pub cold_slots: u32,
    /// Connections in a cold start.
    pub cold_connections: u32,
    /// Shortest time from the cold allowance to the full one.
    pub ramp: Duration,
}

impl AllowanceSpec {
    /// Returns the slots and connections at `step` of [`STEPS`].
    fn at(&self, step: u32) -> (u32, u32) {
        let slots = between(self.cold_slots, self.full.slots, step);
        let connections = between(self.cold_connections, self.full.connections, step);
        (slots, connections)
    }
}

/// Slow start of one upstream, kept by its owner.
#[derive(Clone, Debug)]
pub struct Allowance {
    spec: AllowanceSpec,
    /// Shortest duration of the whole ramp; that of the document unless the upstream was warm before.
    ramp: Duration,
    step: u32,
    step_since: Instant,
    successes: u32,
    failures: u32,
    failures_in_row: i32,
    /// Moving average of the share of shed and timed-out requests.
    failure_share: f64,
    /// Share of failures that occurs even under the cold allowance, so that less load would not
    /// lower it.
    floor: f64,
    latency: LatencyBaseline,
    cold_starts: u64,
}

impl Allowance {
    /// Starts at the cold allowance.
    pub fn cold(spec: AllowanceSpec, now: Instant) -> Self {
        Self {
            spec,
            ramp: spec.ramp,
            step: 0,
            step_since: now,
            successes: 0,
            failures: 0,
            failures_in_row: 0,
            failure_share: 0.0,
            floor: 0.0,
            latency: LatencyBaseline::default(),
            cold_starts: 0,
        }
    }

    /// Starts at the full allowance, for an upstream that its previous owner handed over warm.
    pub fn warm(spec: AllowanceSpec, now: Instant) -> Self {
        let mut allowance = Self::cold(spec, now);
        allowance.step = STEPS;
        allowance
    }

    /// Starts at the highest step that allows no more than `slots`, the allowance of the previous
    /// owner.
    pub fn resume(spec: AllowanceSpec, slots: u32, now: Instant) -> Self {
        let mut allowance = Self::cold(spec, now);
        let within = |step: &u32| spec.at(*step).0 <= slots;
        allowance.step = (0..=STEPS).rev().find(within).unwrap_or(0);
        allowance
    }

    /// Shortens the ramp of an upstream that was warm before and has not restarted since.
    ///
    /// The allowance still rises only on observed success, and is reset as usual.
    pub fn shorten_ramp(&mut self) {
        self.ramp = RECOVERY_RAMP.min(self.spec.ramp);
    }

    /// Replaces the settings from the document; the ramp keeps its step.
    pub fn set_spec(&mut self, spec: AllowanceSpec) {
        self.spec = spec;
    }

    /// Settings from the document.
    pub fn spec(&self) -> AllowanceSpec {
        self.spec
    }

    /// Counts an answered request.
    pub fn on_success(&mut self, now: Instant) {
        self.failure_share -= FAILURE_GAIN * self.failure_share;
        self.successes = self.successes.saturating_add(1);
        self.failures_in_row = 0;
        self.try_advance(now);
    }

    /// Counts a request that the upstream shed.
    pub fn on_shed(&mut self, now: Instant) {
        self.fail(now);
    }

    /// Counts a request that the upstream did not answer in time.
    ///
    /// Not to be called when only the request's own short deadline expired, see
    /// [`Admission::is_overdue`](crate::admission::Admission::is_overdue).
    pub fn on_timeout(&mut self, now: Instant) {
        self.fail(now);
    }

    /// Records the service time of an answered request.
    pub fn on_latency(&mut self, now: Instant, latency: Duration) {
        let rise = self.latency.observe(latency);
        if rise && self.is_full() {
            self.restart(now);
        }
    }

    /// Resets to the cold allowance.
    pub fn restart(&mut self, now: Instant) {
        self.ramp = self.spec.ramp;
        self.enter_step(0, now);
        self.failures_in_row = 0;
        self.failure_share = 0.0;
        self.latency = LatencyBaseline::default();
        self.cold_starts += 1;
    }

    /// Returns the slots and connections allowed.
    pub fn limits(&self, _now: Instant) -> (u32, u32) {
        self.spec.at(self.step)
    }

    /// Whether the ramp has reached the full allowance.
    pub fn is_full(&self) -> bool {
        self.step >= STEPS
    }

    /// Number of resets to the cold allowance, requested or detected.
    pub fn cold_starts(&self) -> u64 {
        self.cold_starts
    }

    fn fail(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        self.failure_share += FAILURE_GAIN * (1.0 - self.failure_share);
        if self.is_failing() && self.step > 0 {
            self.restart(now);
            return;
        }
        self.try_advance(now);
    }

    fn is_failing(&self) -> bool {
        let chance = self.floor.max(MIN_FLOOR).powi(self.failures_in_row);
        self.failure_share > self.floor + COLD_SHARE || chance < MIN_CHANCE
    }

    /// Advances the ramp by one step after enough time and enough successes at the current one.
    fn try_advance(&mut self, now: Instant) {
        if self.is_full() {
            self.lower_floor();
            return;
        }
        let (slots, _) = self.limits(now);
        let enough = self.successes >= SUCCESSES_PER_SLOT * slots.max(1);
        let elapsed = now.saturating_duration_since(self.step_since);
        if !enough || elapsed < self.ramp / STEPS {
            return;
        }
        let share = f64::from(self.failures) / f64::from(self.failures + self.successes);
        if self.step == 0 {
            self.floor = share.min(MAX_FLOOR);
        }
        let step = if share <= self.floor + ADVANCE_SHARE {
            self.step + 1
        } else {
            self.step
        };
        self.enter_step(step, now);
    }

    fn enter_step(&mut self, step: u32, now: Instant) {
        self.step = step;
        self.step_since = now;
        self.successes = 0;
        self.failures = 0;
    }

    fn lower_floor(&mut self) {
        if self.failure_share < self.floor {
            self.floor += SLOW_GAIN * (self.failure_share - self.floor);
        }
    }
}

/// Moving averages of the current latency and of the warm baseline, both of logarithms.
///
/// With logarithms, the long tail of ordinary service times is not mistaken for a rise.
#[derive(Clone, Debug, Default)]
struct LatencyBaseline {
    samples: u32,
    baseline: f64,
    variance: f64,
    current: f64,
}

impl LatencyBaseline {
    /// Adds a sample; returns true when the current latency is well above the baseline.
    fn observe(&mut self, latency: Duration) -> bool {
        let sample = latency.as_secs_f64().max(1e-6).ln();
        if self.samples == 0 {
            self.baseline = sample;
            self.current = sample;
        }
        self.samples = self.samples.saturating_add(1);
        self.current += FAST_GAIN * (sample - self.current);
        if self.is_rise() {
            return true;
        }
        let gain = SLOW_GAIN.max(1.0 / f64::from(self.samples));
        let deviation = sample - self.baseline;
        self.baseline += gain * deviation;
        self.variance += gain * (deviation * deviation - self.variance);
        false
    }

    fn is_rise(&self) -> bool {
        let deviation = (self.variance * FAST_GAIN / (2.0 - FAST_GAIN)).sqrt();
        let bound = LATENCY_RISE_LN.max(LATENCY_DEVIATIONS * deviation);
        self.samples > BASELINE_SAMPLES && self.current - self.baseline > bound
    }
}

fn between(cold: u32, full: u32, step: u32) -> u32 {
    let cold = cold.min(full);
    let rise = u64::from(full - cold) * u64::from(step) / u64::from(STEPS);
    cold + rise as u32
}
