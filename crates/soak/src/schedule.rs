//! Fault schedule of one seed. Some faults occur once, others repeatedly, and they overlap.

use crate::fault::{
    draw,
    Fault,
    FleetShape, //
    Kind,
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
const LEAD_TIME: Duration = Duration::from_secs(1);
/// Maximum duration of an unplanned fault.
const DURATION_MAX: Duration = Duration::from_secs(4);
/// Minimum and maximum duration of a planned operation. Both exceed the time limits of the promises about the
/// operation, so that these are checked before it ends.
const PLANNED: [Duration; 2] = [Duration::from_secs(6), Duration::from_secs(10)];
/// Minimum duration of an unplanned fault.
const DURATION_MIN: Duration = Duration::from_millis(100);
/// Number of draws for one seed; a draw gives no fault, one fault or a series.
const DRAWS: std::ops::Range<usize> = 3..12;
/// Probability that a fault starts shortly after the previous one, so that they overlap.
const OVERLAP_PROBABILITY: f64 = 0.5;
/// Maximum time between the starts of two such faults.
const OVERLAP_START_MAX: Duration = Duration::from_millis(800);
/// Probability that a fault is repeated.
const REPEAT_PROBABILITY: f64 = 0.3;
/// Maximum occurrences of a repeated fault.
const OCCURRENCES_MAX: u32 = 4;

/// Mean time between the starts of two overloads.
const OVERLOAD_INTERVAL: Duration = Duration::from_secs(6);
/// Minimum and maximum duration of an overload.
const OVERLOAD_MIN: Duration = Duration::from_secs(2);
const OVERLOAD_MAX: Duration = Duration::from_secs(4);
/// Requests in an overload, as a multiple of what the slots can serve.
const OVERLOAD_TIMES: std::ops::Range<f64> = 2.0..4.0;
/// Time from a cut of the links to the overload. Daemons open links for load reports when an overload begins.
const LINKS_CUT_LEAD: Duration = Duration::from_millis(300);

/// Number of restorations of the store, if there are any.
const RESTORATIONS: std::ops::RangeInclusive<usize> = 1..=3;
/// Maximum age of the copy from which the store is restored.
const COPY_AGE_MAX: Duration = Duration::from_secs(6);

/// Faults in the order of their starts.
#[derive(Clone, Debug)]
pub struct FaultSchedule {
    pub(crate) faults: Vec<Fault>,
    /// Time at which all faults have ended.
    pub(crate) end: Duration,
}

impl FaultSchedule {
    /// Draws the faults of a seed, all within `fault_window` after the lead time.
    pub(crate) fn draw(seed: u64, fault_window: Duration, shape: FleetShape) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut changed = HashSet::new();
        let mut last = Duration::ZERO;
        for _ in 0..rng.random_range(DRAWS) {
            let kind = draw(&mut rng, shape);
            // Half of the upstreams never change, so that some can always serve requests.
            let upstream = kind.upstream();
            if upstream.is_some_and(|index| index % 2 == 1 || !changed.insert(index)) {
                continue;
            }
            let occurrences = match rng.random_bool(REPEAT_PROBABILITY) && upstream.is_none() {
                true => rng.random_range(2..=OCCURRENCES_MAX),
                false => 1,
            };
            let mut at = match rng.random_bool(OVERLAP_PROBABILITY) {
                true => LEAD_TIME.max(last) + OVERLAP_START_MAX.mul_f64(rng.random()),
                false => LEAD_TIME + fault_window.mul_f64(rng.random()),
            };
            last = at;
            for _ in 0..occurrences {
                let (shortest, longest) = match kind {
                    Kind::ZoneOut(_) | Kind::UpstreamDrained(_) => (PLANNED[0], PLANNED[1]),
                    _ => (DURATION_MIN, DURATION_MAX),
                };
                let share = rng.random::<f64>().powi(2);
                let duration = shortest + (longest - shortest).mul_f64(share);
                if at + duration > LEAD_TIME + fault_window {
                    break;
                }
                faults.push(Fault { kind, at, duration });
                at += duration + DURATION_MIN.mul_f64(rng.random_range(0.5..10.0));
            }
        }
        faults.sort_by_key(|fault| fault.at);
        Self {
            faults,
            end: LEAD_TIME + fault_window,
        }
    }

    /// Adds restorations of the store, which do not overlap because there is one copy.
    pub(crate) fn with_restorations(mut self, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed.wrapping_mul(2).wrapping_add(1));
        let count = rng.random_range(RESTORATIONS);
        let each = (self.end - LEAD_TIME) / count as u32;
        for index in 0..count {
            let longest = COPY_AGE_MAX.min(each);
            let age = DURATION_MIN + (longest - DURATION_MIN).mul_f64(rng.random());
            let from = LEAD_TIME + each * index as u32;
            self.faults.push(Fault {
                kind: Kind::StoreRestored,
                at: from + (each - age).mul_f64(rng.random()),
                duration: age,
            });
        }
        self.faults.sort_by_key(|fault| fault.at);
        self
    }

    /// Adds overloads that do not overlap, each of one kind: of all zones, of one zone, or with the links cut.
    pub(crate) fn with_overloads(mut self, seed: u64, shape: FleetShape) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed.wrapping_mul(3).wrapping_add(2));
        let window = self.end - LEAD_TIME;
        let count = (window.as_secs() / OVERLOAD_INTERVAL.as_secs()).max(1) as u32;
        for index in 0..count {
            let length = OVERLOAD_MIN + (OVERLOAD_MAX - OVERLOAD_MIN).mul_f64(rng.random());
            let length = length.min(window / count - LINKS_CUT_LEAD);
            let spare = window / count - LINKS_CUT_LEAD - length;
            let cut_at = LEAD_TIME + window / count * index + spare.mul_f64(rng.random());
            let at = cut_at + LINKS_CUT_LEAD;
            let times = rng.random_range(OVERLOAD_TIMES);
            let variant = seed.wrapping_add(index.into()) % 3;
            let kind = match variant {
                0 => Kind::Uneven(rng.random_range(0..shape.zones), times),
                _ => Kind::Overloaded(times),
            };
            let duration = length;
            self.faults.push(Fault { kind, at, duration });
            if variant == 2 {
                self.faults.push(Fault {
                    kind: Kind::LinksCut,
                    at: cut_at,
                    duration: at + length - cut_at,
                });
            }
        }
        self.faults.sort_by_key(|fault| fault.at);
        self
    }

    /// Whether more requests than slots were possible at a time: during an overload, or less than `after` later.
    pub(crate) fn is_overloaded(&self, at: Duration, after: Duration) -> bool {
        let mut overloads = self.faults.iter().filter(|fault| fault.kind.overloads());
        overloads.any(|fault| fault.at <= at && at < fault.end() + after)
    }

    /// Time at which the last overload ends; `None` if there is none.
    pub(crate) fn overloads_end(&self) -> Option<Duration> {
        let overloads = self.faults.iter().filter(|fault| fault.kind.overloads());
        overloads.map(Fault::end).max()
    }

    /// Times at which the store is restored.
    pub(crate) fn restorations(&self) -> impl Iterator<Item = Duration> + '_ {
        let faults = self.faults.iter();
        faults
            .filter(|fault| fault.kind == Kind::StoreRestored)
            .map(Fault::end)
    }

    /// Describes the faults, one a line.
    pub(crate) fn lines(&self) -> Vec<String> {
        let line = |fault: &Fault| {
            let (at, end) = (fault.at.as_secs_f64(), fault.end().as_secs_f64());
            format!("{at:.3} s to {end:.3} s: {:?}", fault.kind)
        };
        self.faults.iter().map(line).collect()
    }

    /// Whether a fault that may delay updates from the store was in force between `from` and `to`, or ended less than
    /// `after` before `from`.
    pub(crate) fn delays_updates(&self, from: Duration, to: Duration, after: Duration) -> bool {
        let mut delaying = self
            .faults
            .iter()
            .filter(|fault| fault.kind.delays_updates());
        delaying.any(|fault| fault.at < to && fault.end() + after > from)
    }

    /// Returns the start and end of each fault that `pick` selects, with the value that `pick` returned.
    pub(crate) fn periods<T>(
        &self,
        pick: impl Fn(Kind) -> Option<T>,
    ) -> Vec<(T, Duration, Duration)> {
        let faults = self.faults.iter();
        faults
            .filter_map(|fault| pick(fault.kind).map(|t| (t, fault.at, fault.end())))
            .collect()
    }
}
