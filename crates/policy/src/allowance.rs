//! Cold-start allowance of an upstream and its ramp.
//!
//! A new or returning upstream gets the slots and connections that its document states for a
//! cold start, and more with each step of observed success. A fall back into a cold start is
//! seen from load shed, timeouts or latency, and cuts the allowance at once.

use std::time::{
    Duration,
    Instant, //
};

/// Steps from the cold allowance to the full one.
const STEPS: u32 = 10;

/// Shortest ramp of an upstream that is known to have been warm.
const RECOVERY_RAMP: Duration = Duration::from_millis(500);

/// Successes needed for a step, for each slot allowed.
const SUCCESSES_PER_SLOT: u32 = 2;

/// Weight of a new sample in the present share of failures.
const FAILURE_GAIN: f64 = 1.0 / 32.0;

/// Weight of a new sample in the present latency.
const FAST_GAIN: f64 = 1.0 / 16.0;

/// Weight of a new sample in the warm baseline of the latency and in the floor of the failures.
const SLOW_GAIN: f64 = 1.0 / 256.0;

/// Share of failures above the floor at which the upstream is taken for cold.
const FALL_SHARE: f64 = 0.3;

/// Probability below which failures in a row are not taken for chance.
const CHANCE: f64 = 2e-6;

/// Least share of failures that chance is judged by.
const LEAST_FLOOR: f64 = 0.1;

/// Share of failures above the floor up to which the ramp goes on.
const CLIMB_SHARE: f64 = 0.1;

/// Largest floor of the share of failures.
const MAX_FLOOR: f64 = 0.65;

/// Samples before the baseline of the latency is used.
const BASELINE_SAMPLES: u32 = 64;

/// Least factor between present latency and baseline that means a cold start, as a logarithm.
const LATENCY_RISE_LN: f64 = 1.0986;

/// Deviations of the present latency from the baseline that mean a cold start.
const LATENCY_DEVIATIONS: f64 = 4.5;

/// Slots and connections at full allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Requests running at one time.
    pub slots: u32,
    /// Flows held open.
    pub connections: u32,
}

/// What the document states about one upstream's cold start.
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
    /// Slots and connections at `step` of [`STEPS`].
    fn at(&self, step: u32) -> (u32, u32) {
        let slots = between(self.cold_slots, self.full.slots, step);
        let connections = between(self.cold_connections, self.full.connections, step);
        (slots, connections)
    }
}

/// Allowance of one upstream, kept by its owner.
#[derive(Clone, Debug)]
pub struct Allowance {
    spec: AllowanceSpec,
    /// Shortest time of the whole ramp, the document's unless the upstream is known to be warm.
    ramp: Duration,
    step: u32,
    step_since: Instant,
    successes: u32,
    failures: u32,
    failures_in_row: i32,
    /// Present share of sheds and timeouts.
    failure_share: f64,
    /// Share of sheds and timeouts that less load does not lower.
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

    /// Starts at the full allowance, for an upstream handed over warm by its last owner.
    pub fn warm(spec: AllowanceSpec, now: Instant) -> Self {
        let mut allowance = Self::cold(spec, now);
        allowance.step = STEPS;
        allowance
    }

    /// Starts where the last owner was: at the highest step that allows no more than `slots`.
    pub fn resume(spec: AllowanceSpec, slots: u32, now: Instant) -> Self {
        let mut allowance = Self::cold(spec, now);
        let within = |step: &u32| spec.at(*step).0 <= slots;
        allowance.step = (0..=STEPS).rev().find(within).unwrap_or(0);
        allowance
    }

    /// Shortens the ramp of an upstream that is known to have been warm and not to have restarted since.
    ///
    /// The allowance still rises on observed success alone, and falls as ever.
    pub fn shorten_ramp(&mut self) {
        self.ramp = RECOVERY_RAMP.min(self.spec.ramp);
    }

    /// Replaces the document's figures; the ramp keeps its step.
    pub fn set_spec(&mut self, spec: AllowanceSpec) {
        self.spec = spec;
    }

    /// The document's figures.
    pub fn spec(&self) -> AllowanceSpec {
        self.spec
    }

    /// Counts an answered request.
    pub fn on_success(&mut self, now: Instant) {
        self.failure_share -= FAILURE_GAIN * self.failure_share;
        self.successes = self.successes.saturating_add(1);
        self.failures_in_row = 0;
        self.climb(now);
    }

    /// Counts a request that the upstream shed.
    pub fn on_shed(&mut self, now: Instant) {
        self.fail(now);
    }

    /// Counts a request that the upstream did not answer in time.
    ///
    /// Not for a request that a short deadline of its own cut off, see
    /// [`Admission::is_overdue`](crate::admission::Admission::is_overdue).
    pub fn on_timeout(&mut self, now: Instant) {
        self.fail(now);
    }

    /// Learns the service time of an answered request.
    pub fn on_latency(&mut self, now: Instant, latency: Duration) {
        let rise = self.latency.observe(latency);
        if rise && self.is_full() {
            self.restart(now);
        }
    }

    /// Falls back to the cold allowance.
    pub fn restart(&mut self, now: Instant) {
        self.ramp = self.spec.ramp;
        self.enter(0, now);
        self.failures_in_row = 0;
        self.failure_share = 0.0;
        self.latency = LatencyBaseline::default();
        self.cold_starts += 1;
    }

    /// Slots and connections allowed.
    pub fn limits(&self, _now: Instant) -> (u32, u32) {
        self.spec.at(self.step)
    }

    /// Whether the ramp has ended.
    pub fn is_full(&self) -> bool {
        self.step >= STEPS
    }

    /// Falls into a cold start since the beginning, told or seen.
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
        self.climb(now);
    }

    fn is_failing(&self) -> bool {
        let chance = self.floor.max(LEAST_FLOOR).powi(self.failures_in_row);
        self.failure_share > self.floor + FALL_SHARE || chance < CHANCE
    }

    /// Goes a step up once the present one has held long enough, under enough successes.
    fn climb(&mut self, now: Instant) {
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
        let step = if share <= self.floor + CLIMB_SHARE {
            self.step + 1
        } else {
            self.step
        };
        self.enter(step, now);
    }

    fn enter(&mut self, step: u32, now: Instant) {
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

/// Present latency against the warm baseline, both as logarithms.
///
/// Logarithms keep the tail of an ordinary service time from looking like a rise.
#[derive(Clone, Debug, Default)]
struct LatencyBaseline {
    samples: u32,
    baseline: f64,
    variance: f64,
    present: f64,
}

impl LatencyBaseline {
    /// Adds a sample; true when the present latency is well above the baseline.
    fn observe(&mut self, latency: Duration) -> bool {
        let sample = latency.as_secs_f64().max(1e-6).ln();
        if self.samples == 0 {
            self.baseline = sample;
            self.present = sample;
        }
        self.samples = self.samples.saturating_add(1);
        self.present += FAST_GAIN * (sample - self.present);
        if self.is_rise() {
            return true;
        }
        let gain = SLOW_GAIN.max(1.0 / f64::from(self.samples));
        let off = sample - self.baseline;
        self.baseline += gain * off;
        self.variance += gain * (off * off - self.variance);
        false
    }

    fn is_rise(&self) -> bool {
        let deviation = (self.variance * FAST_GAIN / (2.0 - FAST_GAIN)).sqrt();
        let bound = LATENCY_RISE_LN.max(LATENCY_DEVIATIONS * deviation);
        self.samples > BASELINE_SAMPLES && self.present - self.baseline > bound
    }
}

fn between(cold: u32, full: u32, step: u32) -> u32 {
    let cold = cold.min(full);
    let rise = u64::from(full - cold) * u64::from(step) / u64::from(STEPS);
    cold + rise as u32
}
