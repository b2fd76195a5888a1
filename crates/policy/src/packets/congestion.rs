//! Congestion of a service: whether its upstreams have more requests than they can serve in time.

use super::load::{
    Counts,
    WINDOW, //
};
use std::time::Duration;

/// Part of the target latency that work and waiting may take on average; the rest is for the spread around the mean.
const TARGET_PART: f64 = 0.5;

/// Largest useful service time, in multiples of that without load. Longer queues add no throughput, and an upstream that
/// queues a few requests per slot sheds the rest.
const QUEUEING_MAX: f64 = 2.5;

/// Utilization up to which the service time counts as that without load.
const IDLE_UTILIZATION: f64 = 0.7;

/// Share of refusals from which they are a sign of load by themselves: a failing upstream among twenty may refuse too.
const REFUSALS_MAX: f64 = 0.05;

/// Pressure that each share of refusals over the maximum adds.
const REFUSAL_WEIGHT: f64 = 2.0;

/// Time ahead for which the service time is predicted, in seconds: about the age of the observations.
const AHEAD_S: f64 = 0.15;

/// Largest growth of the load that is believed: more openings than answers, relative to the answers.
const GROWTH_MAX: f64 = 0.5;

/// Smallest number of answers for a verdict.
const ANSWERS_MIN: f64 = 8.0;

/// Smallest number of answers from which the baseline is learned.
const BASELINE_ANSWERS_MIN: f64 = 16.0;

/// Weight of a new mean that is under the baseline, for each window.
const FALL_GAIN: f64 = 0.2;

/// Rise of the baseline per second towards a higher mean, so that a service whose work grows is not judged by the past.
const RISE_PER_S: f64 = 0.02;

/// Observations of the upstreams of a service in one zone.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// Sums over the daemons of the zone.
    pub counts: Counts,
    /// Number of answers in them that were observed, not extrapolated.
    pub answers: f64,
    /// Slots of the usable upstreams.
    pub slots: u32,
    /// Shortest target latency of the service's routes.
    pub target_latency: Duration,
}

/// Verdict about one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    /// Service time or refusals, relative to the largest acceptable ones.
    pub pressure: f64,
    /// Requests per slot.
    pub utilization: f64,
}

impl Verdict {
    /// Whether requests wait too long because there are more of them than slots. When slots are free, the cause is not
    /// load, and rejecting callers would not help the others.
    pub fn is_overloaded(&self) -> bool {
        self.pressure > 1.0 && self.utilization > 1.0
    }
}

/// Service time without load, and the verdict on the current one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Congestion {
    /// Mean service time without load, in seconds.
    baseline_s: Option<f64>,
}

impl Congestion {
    /// Mean service time without load, in seconds; `None` before it has been observed.
    pub fn baseline_s(&self) -> Option<f64> {
        self.baseline_s
    }

    /// Adopts the baseline of other daemons where this one has none yet.
    pub fn adopt_baseline(&mut self, baseline_s: f64) {
        if baseline_s.is_finite() && baseline_s > 0.0 {
            self.baseline_s.get_or_insert(baseline_s);
        }
    }

    /// Mean service time, in seconds, up to which requests are served in time.
    pub fn goal_s(&self, target_latency: Duration) -> f64 {
        let target_s = target_latency.as_secs_f64() * TARGET_PART;
        let queueing_s = self.baseline_s.map(|baseline| baseline * QUEUEING_MAX);
        // An upstream whose work alone exceeds the goal cannot be helped by rejecting requests.
        let least_s = self.baseline_s.unwrap_or(0.0) * 1.25;
        queueing_s.map_or(target_s, |queueing| queueing.min(target_s).max(least_s))
    }

    /// Requests per slot.
    pub fn utilization(observation: &Observation) -> f64 {
        observation.counts.occupancy() / f64::from(observation.slots.max(1))
    }

    /// Judges the observations and learns from them, once in `windows` windows; `None` if there are too few answers.
    pub fn update(&mut self, observation: &Observation, windows: u32) -> Option<Verdict> {
        let Observation {
            counts,
            answers,
            target_latency,
            ..
        } = *observation;
        if answers < ANSWERS_MIN {
            return None;
        }
        let utilization = Self::utilization(observation);
        let goal_s = self.goal_s(target_latency);
        let ahead_s = match utilization > 1.0 {
            true => growth(&counts) * AHEAD_S,
            false => 0.0,
        };
        let waiting = counts.service_time();
        let waiting = waiting.map_or(0.0, |mean| (mean + ahead_s) / goal_s);
        let refused = match counts.refusal_rate() {
            rate if rate > REFUSALS_MAX => 1.0 + (rate - REFUSALS_MAX) * REFUSAL_WEIGHT,
            _ => 0.0,
        };
        let verdict = Verdict {
            pressure: waiting.max(refused),
            utilization,
        };
        if answers >= BASELINE_ANSWERS_MIN {
            if let Some(mean_s) = counts.service_time() {
                self.learn(mean_s, utilization, windows);
            }
        }
        Some(verdict)
    }

    fn learn(&mut self, mean_s: f64, utilization: f64, windows: u32) {
        let Some(baseline_s) = &mut self.baseline_s else {
            if utilization < IDLE_UTILIZATION {
                self.baseline_s = Some(mean_s);
            }
            return;
        };
        if mean_s < *baseline_s {
            *baseline_s += (mean_s - *baseline_s) * FALL_GAIN;
        } else if utilization < IDLE_UTILIZATION {
            let rise = RISE_PER_S * WINDOW.as_secs_f64() * f64::from(windows);
            *baseline_s = (*baseline_s * (1.0 + rise)).min(mean_s);
        }
    }
}

/// Openings that exceed the answers, relative to the answers: while all slots are in use, the queue grows by so much in
/// the time in which it would be served.
fn growth(counts: &Counts) -> f64 {
    match counts.answers > 0.0 {
        true => (counts.opened / counts.answers - 1.0).clamp(0.0, GROWTH_MAX),
        false => 0.0,
    }
}
