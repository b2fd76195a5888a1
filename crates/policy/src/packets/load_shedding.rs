//! Load shedding: which openings are rejected when a service cannot serve all its callers.
//!
//! Callers are ordered by the priority of the route, and inside a priority by a rank that changes with time. All daemons
//! give a caller the same rank, so its further attempts do not add up to more chances, and it is served wholly or not at
//! all for some seconds.

use super::congestion::Verdict;
use smallvec::SmallVec;
use std::{
    collections::HashMap,
    net::Ipv4Addr,
    time::{
        Duration,
        Instant, //
    },
};

/// Decrease of the admitted share in a window, for each unit of pressure over 1.
const DECREASE: f64 = 0.5;

/// Largest decrease of the admitted share in a window, as a factor.
const DECREASE_MAX: f64 = 0.7;

/// Increase of the admitted share in a window, for each unit of pressure under 1.
const INCREASE: f64 = 0.4;

/// Increase in a window without a verdict, as a factor, so that a service without answers is tried again.
const RECOVERY: f64 = 1.05;

/// Number of overloaded windows in a row after which the admitted share falls: one may be a chance.
const CONFIRMED_AFTER: u32 = 2;

/// Smallest admitted share.
const ADMITTED_MIN: f64 = 0.01;

/// Share of the ranks of each priority that is always admitted, so that nobody is locked out for ever.
const GUARANTEED: f64 = 0.02;

/// Share of its openings that a service or a daemon admits: falls while there is overload, rises while there is not.
#[derive(Clone, Copy, Debug)]
pub struct AdmittedShare {
    share: f64,
    overloaded: u32,
}

impl Default for AdmittedShare {
    fn default() -> Self {
        Self {
            share: 1.0,
            overloaded: 0,
        }
    }
}

impl AdmittedShare {
    /// The share, from 0 to 1.
    pub fn get(&self) -> f64 {
        self.share
    }

    /// Adapts the share to the verdict on the last `windows` windows.
    pub fn update(&mut self, verdict: Option<Verdict>, windows: u32) {
        let windows = f64::from(windows.min(10));
        let factor = match verdict {
            Some(verdict) if verdict.is_overloaded() => {
                self.overloaded += 1;
                match self.overloaded >= CONFIRMED_AFTER {
                    true => (1.0 - DECREASE * (verdict.pressure - 1.0)).max(DECREASE_MAX),
                    false => 1.0,
                }
            }
            Some(verdict) => {
                self.overloaded = 0;
                (1.0 + INCREASE * (1.0 - verdict.pressure)).max(RECOVERY)
            }
            None => RECOVERY,
        };
        self.share = (self.share * factor.powf(windows)).clamp(ADMITTED_MIN, 1.0);
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

/// Factor by which counts of openings shrink in a window.
const OFFERED_DECAY: f64 = 0.9;

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

/// Callers of one service, in the order in which their openings are admitted.
#[derive(Clone, Debug, Default)]
pub struct AdmissionOrder {
    /// Recent openings for each priority, highest first, whether admitted or not.
    offered: SmallVec<[(u8, f64); 4]>,
    callers: Callers,
}

impl AdmissionOrder {
    /// Records an opening.
    pub fn record(&mut self, caller: Ipv4Addr, priority: u8, now: Instant) {
        let at = self.offered.partition_point(|(known, _)| *known < priority);
        match self.offered.get_mut(at) {
            Some((known, offered)) if *known == priority => *offered += 1.0,
            _ => self.offered.insert(at, (priority, 1.0)),
        }
        self.callers.record(caller, now);
    }

    /// Ends `windows` windows.
    pub fn roll(&mut self, windows: u32) {
        let factor = OFFERED_DECAY.powf(f64::from(windows));
        for (_, offered) in &mut self.offered {
            *offered *= factor;
        }
        self.offered.retain(|(_, offered)| *offered > 0.01);
    }

    /// Place of an opening of a caller with a rank.
    pub fn place(&self, caller: Ipv4Addr, priority: u8, rank: f64) -> Place {
        let total: f64 = self.offered.iter().map(|(_, offered)| offered).sum();
        let higher = self.offered.iter().filter(|(other, _)| *other < priority);
        let higher: f64 = higher.map(|(_, offered)| offered).sum();
        let own = self.offered.iter().find(|(other, _)| *other == priority);
        let own = own.map_or(0.0, |(_, offered)| *offered);
        let excess = self.callers.excess(caller);
        let adjusted = 1.0 - (1.0 - rank) / excess;
        Place {
            place: match total > 0.0 {
                true => (higher + own * adjusted) / total,
                false => adjusted,
            },
            is_heavy: excess > 1.0,
            is_guaranteed: adjusted < GUARANTEED,
        }
    }
}
