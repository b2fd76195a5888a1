//! Load shedding: which openings are rejected when a service cannot serve all its callers.
//!
//! Callers are ordered by the priority of the route, and inside a priority by a rank that changes with time. All daemons
//! give a caller the same rank, so its further attempts do not add up to more chances, and it is served wholly or not at
//! all for some seconds.

use super::{
    congestion::Verdict,
    load::Counts, //
};
use smallvec::SmallVec;
use std::{
    collections::HashMap,
    net::Ipv4Addr,
    time::{
        Duration,
        Instant, //
    },
};

/// Part of the way to its target that the admitted share goes in a window.
const APPROACH: f64 = 0.4;

/// Largest decrease of the admitted share at a time, as a factor of its recent mean.
const DECREASE_MAX: f64 = 0.4;

/// Largest increase of the admitted share at a time, as a factor of its recent mean: how many callers were rejected shows
/// only indirectly.
const INCREASE_MAX: f64 = 1.5;

/// Smallest increase in a window without overload, as a factor, so that rejected callers are tried again.
const RECOVERY: f64 = 1.02;

/// Number of overloaded windows in a row after which the admitted share falls: one may be a chance.
const CONFIRMED_AFTER: u32 = 2;

/// Smallest admitted share.
pub const ADMITTED_MIN: f64 = 0.01;

/// Weight of a window in the recent mean of the admitted share, as in the sums of the load.
const MEAN_GAIN: f64 = 0.2;

/// Requests per slot at which the throughput counts as that of all slots.
const FULL_THROUGHPUT: f64 = 1.25;

/// Time within which a queue that is too long is to be drained, in seconds.
const DRAIN_S: f64 = 0.25;

/// Least and greatest part of the throughput that is admitted, to drain queues or to fill them.
const KEPT: (f64, f64) = (0.6, 1.5);

/// Utilization under which the upstreams count as idle; the part that they could serve would be infinite at zero.
const UTILIZATION_MIN: f64 = 0.01;

/// Share of the ranks of each priority that is always admitted, so that nobody is locked out for ever.
const GUARANTEED: f64 = 0.02;

/// Openings of a service that were forwarded, and what its upstreams can serve.
#[derive(Clone, Copy, Debug)]
pub struct Supply {
    /// Sums over the upstreams of the own zone.
    pub home: Counts,
    /// Requests per slot of the own zone.
    pub utilization: f64,
    /// Openings that were forwarded to other zones.
    pub left: f64,
    /// Openings that other zones are to get.
    pub leaving: f64,
    /// Mean service time in seconds that is to be reached.
    pub goal_s: f64,
    /// Part of the openings that was admitted because of the admitted share, and not for another reason.
    pub conditional: f64,
}

impl Supply {
    /// Factor from the openings that were admitted by the admitted share to those that can be served in time.
    fn factor(&self) -> Option<f64> {
        let served = self.home.answers - self.home.refusals;
        let wanted = self.home.answers.max(self.home.opened);
        let forwarded = self.home.opened + self.left;
        if served <= 0.0 || forwarded <= 0.0 || self.conditional <= 0.0 {
            return None;
        }
        let over_s = self.home.service_time().map_or(0.0, |s| s - self.goal_s);
        let kept = (1.0 - over_s / DRAIN_S).clamp(KEPT.0, KEPT.1);
        let used = (self.utilization / FULL_THROUGHPUT).clamp(UTILIZATION_MIN, 1.0);
        let here = kept * served / used / wanted;
        let all = (here * self.home.opened + self.left.max(self.leaving)) / forwarded;
        let unconditional = 1.0 - self.conditional;
        Some(((all - unconditional) / self.conditional).max(0.0))
    }
}

/// Share of its openings that a service admits: falls while there is overload, rises while there is not.
#[derive(Clone, Copy, Debug)]
pub struct AdmittedShare {
    share: f64,
    /// Mean over the time that the sums of the load cover.
    recent: f64,
    overloaded: u32,
}

impl Default for AdmittedShare {
    fn default() -> Self {
        Self {
            share: 1.0,
            recent: 1.0,
            overloaded: 0,
        }
    }
}

impl AdmittedShare {
    /// The share, from 0 to 1.
    pub fn get(&self) -> f64 {
        self.share
    }

    /// Mean of the share over the time that the sums of the load cover.
    pub fn recent(&self) -> f64 {
        self.recent
    }

    /// Adapts the share to the verdict on the last `windows` windows.
    pub fn update(&mut self, verdict: Option<Verdict>, supply: &Supply, windows: u32) {
        let is_overloaded = verdict.is_some_and(|verdict| verdict.is_overloaded());
        self.overloaded = match is_overloaded {
            true => self.overloaded.saturating_add(1),
            false => 0,
        };
        let is_confirmed = self.overloaded >= CONFIRMED_AFTER;
        for _ in 0..windows.min(10) {
            self.recent += (self.share - self.recent) * MEAN_GAIN;
            if self.share < 1.0 || is_confirmed {
                self.step(is_overloaded, supply);
            }
        }
    }

    fn step(&mut self, is_overloaded: bool, supply: &Supply) {
        let factor = supply.factor().unwrap_or(INCREASE_MAX);
        let target = self.recent * factor.clamp(DECREASE_MAX, INCREASE_MAX);
        let next = self.share + (target - self.share) * APPROACH;
        let next = match is_overloaded {
            true => next,
            false => next.max(self.share * RECOVERY),
        };
        self.share = next.clamp(ADMITTED_MIN, 1.0);
    }

    /// Moves half of the way to the share of other daemons.
    pub fn approach(&mut self, other: f64) {
        self.share = ((self.share + other) / 2.0).clamp(ADMITTED_MIN, 1.0);
    }
}

/// Time for which a caller keeps its rank: its requests are served wholly or not at all meanwhile.
const RANK_PERIOD: Duration = Duration::from_secs(8);

/// Rank of a caller in `[0, 1)` at a time of day; low ranks are admitted first.
///
/// The periods of callers begin at different times, so that not all ranks change at once.
pub fn rank(caller: Ipv4Addr, unix: Duration) -> f64 {
    let caller = mix(u64::from(u32::from(caller)));
    let period = RANK_PERIOD.as_millis() as u64;
    let turn = (unix.as_millis() as u64).wrapping_add(caller % period) / period;
    let hash = mix(caller ^ turn.wrapping_mul(SPREAD));
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

/// Odd multiplier that spreads the bits of a number: the golden ratio times 2^64.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// Mixes all bits of a number (the finalizer of SplitMix64).
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(SPREAD);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Largest number of callers whose openings are counted.
const CALLERS_MAX: usize = 1_024;

/// Half of the time over which openings of a caller are counted.
const COUNTED_HALF: Duration = Duration::from_secs(2);

/// Multiple of the mean number of openings from which a caller is heavy. A caller that is rejected tries three times, so
/// three times the mean is no sign of a heavy one.
const HEAVY_RATIO: f64 = 4.0;

/// Smallest number of counted openings of a heavy caller.
const HEAVY_MIN: u32 = 8;

/// Openings of each caller of a service in the last seconds.
#[derive(Clone, Debug, Default)]
struct Callers {
    /// Openings in the current half of the time and in the one before.
    counts: HashMap<Ipv4Addr, [u32; 2]>,
    total: [u32; 2],
    began: Option<Instant>,
}

impl Callers {
    fn record(&mut self, caller: Ipv4Addr, now: Instant) {
        let began = *self.began.get_or_insert(now);
        if now >= began + COUNTED_HALF {
            let is_recent = now < began + COUNTED_HALF * 2;
            let age = |[current, _]: [u32; 2]| [0, if is_recent { current } else { 0 }];
            self.began = Some(now);
            self.total = age(self.total);
            self.counts.retain(|_, count| {
                *count = age(*count);
                count[1] > 0
            });
        }
        let is_known = self.counts.contains_key(&caller);
        if is_known || self.counts.len() < CALLERS_MAX {
            self.counts.entry(caller).or_default()[0] += 1;
            self.total[0] += 1;
        }
    }

    /// Openings of a heavy caller relative to the mean of all; 1 for other callers.
    fn excess(&self, caller: Ipv4Addr) -> f64 {
        let count: u32 = self
            .counts
            .get(&caller)
            .map_or(0, |count| count.iter().sum());
        if count < HEAVY_MIN {
            return 1.0;
        }
        let total: u32 = self.total.iter().sum();
        let mean = f64::from(total) / self.counts.len().max(1) as f64;
        (f64::from(count) / (mean * HEAVY_RATIO)).max(1.0)
    }
}

/// Factor by which sums by priority shrink in a window.
const DECAY: f64 = 0.9;

/// Place of a caller among all callers of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    /// Position between 0 (admitted first) and 1.
    pub place: f64,
    /// Whether the caller comes later because it opens many more flows than others.
    pub is_heavy: bool,
    /// Whether an opening is admitted whatever the load.
    pub is_guaranteed: bool,
}

/// Sums by priority, the highest priority first.
#[derive(Clone, Debug, Default)]
struct ByPriority(SmallVec<[(u8, f64); 4]>);

impl ByPriority {
    fn add(&mut self, priority: u8, value: f64) {
        let at = self.0.partition_point(|(known, _)| *known < priority);
        match self.0.get_mut(at) {
            Some((known, sum)) if *known == priority => *sum += value,
            _ => self.0.insert(at, (priority, value)),
        }
    }

    fn decay(&mut self, factor: f64) {
        for (_, sum) in &mut self.0 {
            *sum *= factor;
        }
        self.0.retain(|(_, sum)| *sum > f64::EPSILON);
    }

    fn total(&self) -> f64 {
        self.0.iter().map(|(_, sum)| sum).sum()
    }

    fn above(&self, priority: u8) -> f64 {
        let higher = self.0.iter().filter(|(known, _)| *known < priority);
        higher.map(|(_, sum)| sum).sum()
    }

    fn of(&self, priority: u8) -> f64 {
        let found = self.0.iter().find(|(known, _)| *known == priority);
        found.map_or(0.0, |(_, sum)| *sum)
    }
}

/// Callers of one service, in the order in which their openings are admitted.
#[derive(Clone, Debug, Default)]
pub struct AdmissionOrder {
    /// Recent openings, whether admitted or not.
    offered: ByPriority,
    /// Service time of recent requests, also of those on flows that were open before.
    served_s: ByPriority,
    callers: Callers,
}

impl AdmissionOrder {
    /// Records an opening.
    pub fn record(&mut self, caller: Ipv4Addr, priority: u8, now: Instant) {
        self.offered.add(priority, 1.0);
        self.callers.record(caller, now);
    }

    /// Records the service time of a request.
    pub fn record_served(&mut self, priority: u8, service_s: f64) {
        self.served_s.add(priority, service_s);
    }

    /// Ends `windows` windows.
    pub fn roll(&mut self, windows: u32) {
        let factor = DECAY.powf(f64::from(windows));
        self.offered.decay(factor);
        self.served_s.decay(factor);
    }

    /// Share of the service time that requests of a priority and of higher ones take.
    pub fn served_share(&self, priority: u8) -> f64 {
        match self.served_s.total() {
            total if total > 0.0 => {
                (self.served_s.above(priority) + self.served_s.of(priority)) / total
            }
            _ => 1.0,
        }
    }

    /// Whether no recent openings have a lower priority.
    pub fn is_last(&self, priority: u8) -> bool {
        let lowest = self.offered.0.last();
        lowest.is_none_or(|(known, _)| *known <= priority)
    }

    /// Place of an opening of a caller with a rank.
    pub fn place(&self, caller: Ipv4Addr, priority: u8, rank: f64) -> Place {
        let total = self.offered.total();
        let (higher, own) = (self.offered.above(priority), self.offered.of(priority));
        let excess = self.callers.excess(caller);
        let adjusted = 1.0 - (1.0 - rank) / excess;
        Place {
            place: match total > 0.0 {
                true => (higher + own * adjusted) / total,
                false => adjusted,
            },
            is_heavy: excess > 1.0,
            // A heavy caller is served in some periods, too.
            is_guaranteed: rank < GUARANTEED,
        }
    }
}
