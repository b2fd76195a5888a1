//! The faults of one seed: some come alone, some again and again, and they overlap.

use crate::fault::{
    draw,
    Fault,
    Kind,
    Shape, //
};
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};
use std::{
    collections::HashSet,
    time::Duration, //
};

/// Time before the first fault.
const CALM: Duration = Duration::from_secs(1);
/// Longest time of one fault.
const LASTS_MAX: Duration = Duration::from_secs(4);
/// Time of what an operator plans, at least and at most: longer than the bounds that it is checked against.
const PLANNED: [Duration; 2] = [Duration::from_secs(6), Duration::from_secs(10)];
/// Shortest time of one fault.
const LASTS_MIN: Duration = Duration::from_millis(100);
/// Faults of one seed, at least and at most.
const FAULTS: std::ops::Range<usize> = 3..12;
/// Share of the faults that begin soon after the one before, so that they overlap.
const OVERLAPS: f64 = 0.5;
/// Longest time between two such beginnings.
const SOON: Duration = Duration::from_millis(800);
/// Share of the faults that come in a series.
const SERIES: f64 = 0.3;
/// Times that a fault of a series comes, at most.
const REPEATS: u32 = 4;

/// Faults in the order of their beginnings.
#[derive(Clone, Debug)]
pub struct FaultSchedule {
    pub(crate) faults: Vec<Fault>,
    /// Time at which all are over.
    pub(crate) end: Duration,
}

impl FaultSchedule {
    /// Draws the faults of a seed, all within `time`.
    pub(crate) fn draw(seed: u64, time: Duration, shape: Shape) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut changed = HashSet::new();
        let mut last = Duration::ZERO;
        for _ in 0..rng.random_range(FAULTS) {
            let kind = draw(&mut rng, shape);
            // Half of the upstreams stay as they are, so that there is always one to serve.
            let upstream = kind.upstream();
            if upstream.is_some_and(|one| one % 2 == 1 || !changed.insert(one)) {
                continue;
            }
            let repeats = match rng.random_bool(SERIES) && upstream.is_none() {
                true => rng.random_range(2..=REPEATS),
                false => 1,
            };
            let mut at = match rng.random_bool(OVERLAPS) {
                true => CALM.max(last) + SOON.mul_f64(rng.random()),
                false => CALM + time.mul_f64(rng.random()),
            };
            last = at;
            for _ in 0..repeats {
                let (shortest, longest) = match kind {
                    Kind::ZoneOut(_) | Kind::UpstreamDrained(_) => (PLANNED[0], PLANNED[1]),
                    _ => (LASTS_MIN, LASTS_MAX),
                };
                let share = rng.random::<f64>().powi(2);
                let lasts = shortest + (longest - shortest).mul_f64(share);
                if at + lasts > CALM + time {
                    break;
                }
                faults.push(Fault { kind, at, lasts });
                at += lasts + LASTS_MIN.mul_f64(rng.random_range(0.5..10.0));
            }
        }
        faults.sort_by_key(|fault| fault.at);
        Self {
            faults,
            end: CALM + time,
        }
    }

    /// A line for each fault.
    pub(crate) fn lines(&self) -> Vec<String> {
        let line = |fault: &Fault| {
            let (at, end) = (fault.at.as_secs_f64(), fault.end().as_secs_f64());
            format!("{at:.3} s to {end:.3} s: {:?}", fault.kind)
        };
        self.faults.iter().map(line).collect()
    }

    /// Whether something kept a daemon from knowing the store within the time, or just before.
    pub(crate) fn hides_store(&self, from: Duration, to: Duration, after: Duration) -> bool {
        let mut hiding = self.faults.iter().filter(|fault| fault.kind.hides_store());
        hiding.any(|fault| fault.at < to && fault.end() + after > from)
    }

    /// The times in which a fault that `pick` names is in force, with what it picked.
    pub(crate) fn times<T>(
        &self,
        pick: impl Fn(Kind) -> Option<T>,
    ) -> Vec<(T, Duration, Duration)> {
        let faults = self.faults.iter();
        faults
            .filter_map(|fault| pick(fault.kind).map(|t| (t, fault.at, fault.end())))
            .collect()
    }
}
