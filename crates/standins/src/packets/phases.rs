//! Phases of a run with events: when each phase ends, and whether it can be judged.

use std::{
    fmt,
    time::{
        Duration,
        Instant, //
    },
};

/// Time for which a phase lasts at least after its event is complete. The callers of four zones send about 350 requests
/// in it, so that a phase with fewer than [`VERDICT_REQUESTS_MIN`] is rare.
pub const PHASE_MIN: Duration = Duration::from_secs(1);
/// Least number of requests that make a verdict: with 99 % of the requests in time, a sample of this size shows less
/// than 95 % less than once in 10,000 times.
pub const VERDICT_REQUESTS_MIN: usize = 200;

/// Verdict about the requests of a phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The phase has too few requests for a verdict.
    NotJudged,
    /// Enough requests were answered in time.
    Kept,
    /// Too few requests were answered in time.
    Broken,
}

impl Verdict {
    /// Judges a phase in which `in_time` of `asked` requests were answered in time, and a share of `min` must be.
    pub fn of(asked: usize, in_time: usize, min: f64) -> Self {
        if asked < VERDICT_REQUESTS_MIN {
            return Self::NotJudged;
        }
        match in_time as f64 / asked as f64 >= min {
            true => Self::Kept,
            false => Self::Broken,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotJudged => "not judged",
            Self::Kept => "kept",
            Self::Broken => "BROKEN",
        })
    }
}

/// Returns when a phase ends that began at `began`, and whose event was complete at `complete`.
///
/// `weights` are the relative lengths of this phase and of those after it, which share the time until `end`. When events
/// take longer than that, the last phases end after it.
pub fn phase_end(weights: &[f64], began: Instant, complete: Instant, end: Instant) -> Instant {
    let share = weights[0] / weights.iter().sum::<f64>();
    let planned = began + end.saturating_duration_since(began).mul_f64(share);
    planned.max(complete + PHASE_MIN)
}
