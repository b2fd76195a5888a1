//! Spillover: what share of a service's flows leaves the availability zone, and to which zones.
//!
//! Every daemon of a zone applies the same law to the sums over all of them, so that none of them has to lead. In
//! equilibrium a flow costs the same here and there (Wardrop). Waiting in another zone counts twice, because the flows
//! that arrive there delay the callers of that zone too (marginal-cost pricing).
//!
//! The sums are up to 0.8 s old while queues fill within 0.1 s, so a share that grows as long as it gains overshoots.
//! The total therefore follows from the number of flows that the own slots serve in time, and the cost only adjusts how
//! fast the own queues drain or fill.

use super::load::Counts;
use smallvec::SmallVec;
use std::{
    rc::Rc,
    time::Duration, //
};

/// Utilization of the own zone up to which all flows stay there.
const UTILIZATION_MIN: f64 = 0.8;

/// Share of openings and requests lost in the own zone above which flows leave at any utilization.
const LOSS_MAX: f64 = 0.5;

/// Largest total share.
const LEAVING_MAX: f64 = 0.9;

/// Smallest share; anything less counts as zero.
const SHARE_MIN: f64 = 0.001;

/// Time in seconds within which the waiting time of a zone is to reach its goal. It is more than the age of the sums;
/// less lets the waiting time swing.
const SETTLING_S: f64 = 1.0;

/// Part of the own slots that stays free where leaving costs as much as staying, if the other zone costs no more than
/// the own one without load. Without it, small errors of the sums fill the queues.
const HEADROOM: f64 = 0.06;

/// Least work per slot that stays in the own zone; the rest drains its queues.
const KEPT_MIN: f64 = 0.85;

/// Most work per slot that stays in the own zone; the excess fills its queues.
const KEPT_MAX: f64 = 1.1;

/// Part of the way to its goal that a share goes in one window; up to twice that, the more leaving saves.
const APPROACH: f64 = 0.4;

/// Part of itself by which the total shrinks per window while flows wait here and leaving costs twice as much.
const RETREAT: f64 = 0.1;

/// Part of the way to the limit that free slots of the own zone set, in which a share goes in one window.
const RETURN: f64 = 0.5;

/// Additional cost relative to the best zone from which another one gets no flows.
const WORSE_MAX: f64 = 0.5;

/// Part of the way to its new weight that a zone goes in one window.
const SHIFT: f64 = 0.1;

/// Waiting time in another zone, relative to the service time without load, above which its share is limited.
const WAITING_MAX: f64 = 0.6;

/// Longest waiting time in another zone, relative to the service time without load, that leaving flows may cause. A
/// zone counts as overloaded from 1.5 on.
const JUSTIFIED_MAX: f64 = 1.0;

/// Growth of the limit of a share per window while no flows wait in the zone.
const LIMIT_GROWTH: f64 = 0.005;

/// Utilization of the own zone from which another zone is explored whatever it costs, so that its cost is known by the
/// time when requests wait.
const PROBE_UTILIZATION: f64 = 0.95;

/// Share of the flows that explores a zone without observations.
const PROBE: f64 = 0.02;

/// Windows without probes after a zone was observed to cost too much.
const PROBE_PAUSE: u32 = 20;

/// Windows without flows after a zone has failed.
const FAILED_PAUSE: u32 = 50;

/// Answers for a mean service time.
const ANSWERS_MIN: f64 = 2.0;

/// Failed openings that are evidence against a zone.
const FAILED_MIN: f64 = 3.0;

/// Failure rate from which a zone gets no flows, unless the own zone fails more often.
const FAILURE_MAX: f64 = 0.1;

/// Standard deviation of service times relative to their mean, for the error of a mean of few samples.
const DEVIATION: f64 = 0.5;

/// Standard errors that are added to the mean service time of another zone.
const ERRORS: f64 = 2.0;

/// Relative growth of the lowest known service time per window, so that a permanent change is accepted.
const BASELINE_GROWTH: f64 = 0.002;

/// Part of the way to the observed number of answers per slot that the known one goes in one window.
const PER_SLOT: f64 = 0.05;

/// Utilization below which answers keep up with openings, so that their ratio is the number of requests per flow.
const UNLOADED: f64 = 0.9;

/// Factor per window of the sums for the number of requests per flow.
const REQUESTS_DECAY: f64 = 0.98;

/// Windows in these sums below which they count as unknown: after a start under load, and some 10 s into an overload.
const REQUESTS_MIN: f64 = 5.0;

/// Load of a service's upstreams in one zone, as the daemons of the own zone observe it together.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolLoad {
    /// Zone of the upstreams.
    pub zone: Rc<str>,
    /// Slots of the usable upstreams.
    pub slots: u32,
    /// Observations of the flows that go there.
    pub counts: Counts,
}

impl PoolLoad {
    fn utilization(&self) -> f64 {
        self.counts.occupancy() / f64::from(self.slots.max(1))
    }

    /// Share of openings and requests that are not served.
    fn loss(&self) -> f64 {
        (self.counts.failure_rate() + self.counts.refusal_rate()).min(1.0)
    }

    fn served(&self) -> f64 {
        self.counts.answers - self.counts.refusals
    }

    /// Mean service time in seconds, if there are enough samples.
    fn service_time(&self) -> Option<f64> {
        let mean = self.counts.service_time();
        mean.filter(|_| self.served() >= ANSWERS_MIN)
    }

    /// Standard error of the mean service time.
    fn error(&self, time: f64) -> f64 {
        time * DEVIATION / self.served().sqrt()
    }

    fn is_failing(&self, home: &Self) -> bool {
        let rate = self.counts.failure_rate();
        self.counts.failed >= FAILED_MIN && rate > FAILURE_MAX.max(home.counts.failure_rate())
    }
}

/// State of one other zone.
#[derive(Clone, Debug)]
struct Remote {
    zone: Rc<str>,
    /// Share of the flows that goes there.
    share: f64,
    /// Largest share; it falls when flows wait there, and rises slowly.
    limit: f64,
    /// Part of the leaving flows, relative to the weights of the others.
    weight: f64,
    /// Lowest recent mean service time in seconds.
    baseline: Option<f64>,
    /// Windows until the zone may be probed.
    pause: u32,
}

impl Remote {
    fn new(other: &PoolLoad) -> Self {
        Self {
            zone: Rc::clone(&other.zone),
            share: 0.0,
            limit: LEAVING_MAX,
            weight: f64::from(other.slots),
            baseline: None,
            pause: 0,
        }
    }

    /// Adapts the part of the leaving flows; `best` is the least cost of all zones.
    ///
    /// A zone keeps its weight without observations: others don't get the part of a zone that is probed for the first
    /// time, and a zone that has failed gets none until it has answered.
    fn follow_cost(&mut self, other: &PoolLoad, state: &Observation, best: f64, elapsed: f64) {
        let seen = match state {
            Observation::Seen(seen) => seen,
            Observation::Unknown => return,
            Observation::Failing | Observation::Unusable => {
                self.weight = 0.0;
                return;
            }
        };
        // Waiting there limits the share; if it counted here too, flows would swing between zones. The error does not
        // count either, because a zone without a part would not get the flows that reduce the error.
        let cost = seen.cost - 2.0 * seen.waiting - seen.error;
        let worse = (cost - best) / (best * WORSE_MAX);
        let weight = f64::from(other.slots) * (1.0 - worse).clamp(0.0, 1.0);
        match self.weight > 0.0 {
            true => self.weight += (weight - self.weight) * approach(SHIFT, elapsed),
            false => self.weight = weight,
        }
    }

    /// Adapts the limit of the share to the waiting time in the zone.
    ///
    /// As many flows as are answered keep the queues there as they are, and the difference between the waiting time and
    /// `justified`, the one that the own zone's waiting time permits, fills or drains them.
    fn follow_waiting(&mut self, other: &PoolLoad, seen: &Seen, justified: f64, flows: &Flows) {
        if seen.waiting - seen.error <= seen.unloaded * WAITING_MAX {
            self.limit = (self.limit + LIMIT_GROWTH * flows.elapsed).min(LEAVING_MAX);
            return;
        }
        let change = (justified - seen.waiting) / SETTLING_S;
        let change = change * flows.capacity / flows.slots * f64::from(other.slots);
        let served = (other.served() / flows.requests).min(other.counts.opened);
        let limit = (served + change) / flows.opened;
        self.limit = limit.clamp(0.0, LEAVING_MAX);
    }
}

/// What is known of another zone in one window.
#[derive(Clone, Copy, Debug)]
enum Observation {
    /// It has no usable upstreams.
    Unusable,
    /// Many openings fail there.
    Failing,
    /// No flows have gone there recently.
    Unknown,
    /// Flows have been answered there.
    Seen(Seen),
}

impl Observation {
    fn seen(&self) -> Option<&Seen> {
        match self {
            Self::Seen(seen) => Some(seen),
            _ => None,
        }
    }
}

/// Observed cost of a flow in another zone; all values in seconds.
#[derive(Clone, Copy, Debug)]
struct Seen {
    cost: f64,
    /// Service time without load.
    unloaded: f64,
    /// Mean time that requests wait for a slot.
    waiting: f64,
    /// Error of the mean service time that few samples exceed.
    error: f64,
}

/// Flows of the own zone's callers.
#[derive(Clone, Copy, Debug)]
struct Flows {
    /// Openings to all zones, as a decayed sum.
    opened: f64,
    /// Openings that fill the slots of the own zone, as a decayed sum.
    capacity: f64,
    /// Slots of the own zone.
    slots: f64,
    /// Requests per flow.
    requests: f64,
    /// Elapsed windows.
    elapsed: f64,
}

/// Shares of one service's flows that leave the zone.
#[derive(Clone, Debug, Default)]
pub struct Spillover {
    remotes: Vec<Remote>,
    /// Lowest recent mean service time of the own zone in seconds.
    baseline: Option<f64>,
    /// Answers and openings in the own zone while it was not overloaded, as sums that decay.
    answers: f64,
    opened: f64,
    /// Windows in these sums.
    unloaded: f64,
    /// Answers per used slot in the own zone, as a decayed sum like the counts.
    per_slot: Option<f64>,
}

impl Spillover {
    /// Adapts the shares to the loads of the own zone and the others; call it when `windows` windows have elapsed.
    ///
    /// `price` is the time that a flow has to save by leaving the zone.
    pub fn update(
        &mut self,
        home: &PoolLoad,
        others: &[PoolLoad],
        target_latency: Duration,
        price: Duration,
        windows: u32,
    ) {
        if windows == 0 {
            return;
        }
        self.align(others);
        // Without usable upstreams here, the choice of an upstream sends all flows away.
        if home.slots == 0 {
            self.remotes
                .iter_mut()
                .for_each(|remote| remote.share = 0.0);
            return;
        }
        let elapsed = f64::from(windows);
        self.observe(home, others, windows);
        let flows = self.flows(home, others, elapsed);
        let cost = Cost {
            home,
            baseline: self.baseline,
            target: target_latency.as_secs_f64(),
            price: price.as_secs_f64(),
        };
        let pairs = self.remotes.iter().zip(others);
        let states: SmallVec<[Observation; 4]> = pairs
            .map(|(remote, other)| cost.there(other, remote.baseline))
            .collect();
        let best = states.iter().filter_map(Observation::seen);
        let best = best.map(|seen| seen.cost).reduce(f64::min);
        let here = cost.here();
        let due = match (here, best) {
            (Some(here), Some(best)) => self.due(home, here, best, &flows),
            _ => 0.0,
        };
        for ((remote, other), state) in self.remotes.iter_mut().zip(others).zip(&states) {
            remote.follow_cost(other, state, best.unwrap_or(f64::MAX), elapsed);
            if let Some(seen) = state.seen() {
                remote.follow_waiting(other, seen, cost.justified(seen), &flows);
            }
        }
        let is_busy = home.utilization() > UTILIZATION_MIN || home.loss() > LOSS_MAX;
        let probes =
            is_busy && here.is_some_and(|here| self.is_probe_due(home, here, &cost, &flows));
        let urgency = match (here, best) {
            (Some(here), Some(best)) => (1.0 - best / here).max(0.0),
            _ => 0.0,
        };
        let step = approach(APPROACH * (1.0 + urgency), elapsed);
        let parts = self.divide(due);
        for ((remote, state), part) in self.remotes.iter_mut().zip(states).zip(parts) {
            match state {
                Observation::Seen(_) => {
                    if is_busy || part < remote.share {
                        remote.share += (part - remote.share) * step;
                    }
                    if due <= 0.0 {
                        remote.pause = PROBE_PAUSE;
                    }
                }
                Observation::Unknown if probes && remote.pause == 0 => remote.share = PROBE,
                Observation::Failing => {
                    remote.share = 0.0;
                    remote.pause = FAILED_PAUSE;
                }
                Observation::Unusable | Observation::Unknown => remote.share = 0.0,
            }
        }
        let most = match is_busy {
            true => LEAVING_MAX,
            false => self.most_in_calm(home, &flows),
        };
        self.cap(most);
    }

    /// Share of the flows that leaves the zone, from 0 to 0.9.
    pub fn leaving(&self) -> f64 {
        self.remotes.iter().map(|remote| remote.share).sum()
    }

    /// Share of the flows that goes to each other zone.
    pub fn shares(&self) -> impl Iterator<Item = (&Rc<str>, f64)> {
        self.remotes
            .iter()
            .filter(|remote| remote.share > 0.0)
            .map(|remote| (&remote.zone, remote.share))
    }

    /// Zone that a flow leaves for, or `None` if it stays.
    ///
    /// `place_among_admitted` is the place of the flow between 0 (admitted first) and 1; the last ones leave. `draw`
    /// picks the zone, from 0 up to 1.
    pub fn zone_for(&self, place_among_admitted: f64, draw: f64) -> Option<&Rc<str>> {
        let leaving = self.leaving();
        if leaving <= 0.0 || place_among_admitted <= 1.0 - leaving {
            return None;
        }
        let mut rest = draw * leaving;
        let mut last = None;
        for (zone, share) in self.shares() {
            last = Some(zone);
            if rest < share {
                break;
            }
            rest -= share;
        }
        last
    }

    /// Brings the known zones into the order of `others`, and drops those that are not among them.
    fn align(&mut self, others: &[PoolLoad]) {
        let mut known = std::mem::take(&mut self.remotes);
        self.remotes.extend(others.iter().map(|other| {
            let at = known.iter().position(|remote| remote.zone == other.zone);
            at.map_or_else(|| Remote::new(other), |at| known.swap_remove(at))
        }));
    }

    /// Records service times, requests per flow and the passing of time.
    fn observe(&mut self, home: &PoolLoad, others: &[PoolLoad], windows: u32) {
        let elapsed = f64::from(windows);
        follow_lowest(&mut self.baseline, home, elapsed);
        for (remote, other) in self.remotes.iter_mut().zip(others) {
            follow_lowest(&mut remote.baseline, other, elapsed);
            remote.pause = remote.pause.saturating_sub(windows);
        }
        let used = home.utilization().min(1.0) * f64::from(home.slots);
        if used > 0.0 && home.served() >= ANSWERS_MIN {
            let observed = home.served() / used;
            let known = self.per_slot.get_or_insert(observed);
            *known += (observed - *known) * approach(PER_SLOT, elapsed);
        }
        let decay = REQUESTS_DECAY.powf(elapsed);
        self.answers *= decay;
        self.opened *= decay;
        self.unloaded *= decay;
        if home.utilization() <= UNLOADED {
            self.answers += home.served() * elapsed;
            self.opened += home.counts.opened * elapsed;
            self.unloaded += elapsed;
        }
    }

    fn flows(&self, home: &PoolLoad, others: &[PoolLoad], elapsed: f64) -> Flows {
        let opened: f64 = others.iter().map(|other| other.counts.opened).sum();
        let known = self.unloaded >= REQUESTS_MIN && self.opened >= ANSWERS_MIN;
        // Unknown, the present ratio makes the total grow step by step from the share that is observed.
        let (answers, openings) = match known {
            true => (self.answers, self.opened),
            false => (home.served(), home.counts.opened),
        };
        let requests = match openings > 0.0 && answers > 0.0 {
            true => answers / openings,
            false => 1.0,
        };
        Flows {
            opened: (home.counts.opened + opened).max(1.0),
            capacity: self.per_slot.unwrap_or(0.0) * f64::from(home.slots) / requests,
            slots: f64::from(home.slots),
            requests,
            elapsed,
        }
    }

    /// Total share at which the waiting time of the own zone reaches the one at which leaving costs the same.
    fn due(&self, home: &PoolLoad, here: f64, best: f64, flows: &Flows) -> f64 {
        let gain = here - best;
        if home.loss() > LOSS_MAX && gain > 0.0 {
            return LEAVING_MAX;
        }
        let headroom = HEADROOM * (self.baseline.unwrap_or(here) / best).min(1.0);
        let kept = (1.0 - headroom - gain / SETTLING_S).clamp(KEPT_MIN, KEPT_MAX);
        let due = (1.0 - kept * flows.capacity / flows.opened).clamp(0.0, LEAVING_MAX);
        // Waiting requests per slot. Where flows wait although none gains by leaving, fewer leave.
        let waiting = (home.utilization() - 1.0).clamp(0.0, 1.0);
        if gain < 0.0 && waiting > 0.0 {
            let rest = 1.0 - RETREAT * waiting * (-gain / here).min(1.0);
            return due.min(self.leaving() * rest.powf(flows.elapsed));
        }
        due
    }

    /// Whether flows would leave if another zone had no load.
    fn is_probe_due(&self, home: &PoolLoad, here: f64, cost: &Cost<'_>, flows: &Flows) -> bool {
        let best = self.baseline.unwrap_or(here) + cost.price;
        home.utilization() > PROBE_UTILIZATION
            || here > best && self.due(home, here, best, flows) > PROBE
    }

    /// Divides a total by the weights of the zones; what exceeds the limit of one goes to the others.
    fn divide(&self, due: f64) -> SmallVec<[f64; 4]> {
        let mut parts: SmallVec<[f64; 4]> = self.remotes.iter().map(|_| 0.0).collect();
        let mut rest = due;
        for _ in 0..self.remotes.len() {
            let open = self.remotes.iter().zip(&parts);
            let open = open.filter(|(remote, part)| **part < remote.limit);
            let weights: f64 = open.map(|(remote, _)| remote.weight).sum();
            if weights <= 0.0 {
                break;
            }
            let each = rest / weights;
            for (remote, part) in self.remotes.iter().zip(&mut parts) {
                let more = (each * remote.weight).min(remote.limit - *part).max(0.0);
                *part += more;
                rest -= more;
            }
        }
        parts
    }

    /// Largest total while the own zone has free slots.
    ///
    /// The utilization and the share of the flows that caused it come from the same sums, so their age does not matter.
    fn most_in_calm(&self, home: &PoolLoad, flows: &Flows) -> f64 {
        let stays = home.counts.opened / flows.opened;
        let most = 1.0 - stays * UTILIZATION_MIN / home.utilization().max(f64::MIN_POSITIVE);
        let leaving = self.leaving();
        leaving + (most.max(0.0) - leaving).min(0.0) * approach(RETURN, flows.elapsed)
    }

    /// Scales the shares to a total of at most `most`.
    fn cap(&mut self, most: f64) {
        let scale = (most / self.leaving().max(f64::MIN_POSITIVE)).min(1.0);
        for remote in &mut self.remotes {
            remote.share *= scale;
            if remote.share < SHARE_MIN {
                remote.share = 0.0;
            }
        }
    }
}

/// Part of the way that is gone in several windows, for the part in one window.
fn approach(part: f64, windows: f64) -> f64 {
    1.0 - (1.0 - part).powf(windows)
}

/// Follows decreases of a pool's mean service time immediately, and increases slowly.
///
/// The standard error is added, or the lowest mean would be that of the fewest samples.
fn follow_lowest(lowest: &mut Option<f64>, pool: &PoolLoad, windows: f64) {
    if let Some(time) = pool.service_time() {
        let observed = time + pool.error(time);
        let known = lowest.map_or(observed, |known| known * (1.0 + BASELINE_GROWTH * windows));
        *lowest = Some(known.min(observed));
    }
}

/// Costs of flows, in seconds.
struct Cost<'c> {
    home: &'c PoolLoad,
    /// Service time of the own zone without load.
    baseline: Option<f64>,
    target: f64,
    price: f64,
}

impl Cost<'_> {
    /// Cost of a flow that stays.
    fn here(&self) -> Option<f64> {
        let loss = self.home.loss();
        match self.home.service_time() {
            Some(time) => Some(time + loss * self.target),
            None => (loss > LOSS_MAX).then_some(self.target),
        }
    }

    /// Cost of a flow that leaves for another zone.
    fn there(&self, other: &PoolLoad, baseline: Option<f64>) -> Observation {
        if other.slots == 0 {
            return Observation::Unusable;
        }
        if other.is_failing(self.home) {
            return Observation::Failing;
        }
        // Refusals arrive earlier than the answers of requests that wait, and last less long after the last opening.
        let refused = other.counts.refusals / other.counts.opened.max(1.0);
        let loss = other.loss().max(refused.min(1.0));
        let Some(time) = other.service_time() else {
            if loss <= LOSS_MAX || other.counts.answers < ANSWERS_MIN {
                return Observation::Unknown;
            }
            let time = self.home.service_time().unwrap_or(0.0);
            return Observation::Seen(Seen {
                cost: time + self.target + self.price,
                unloaded: time,
                waiting: 0.0,
                error: 0.0,
            });
        };
        let unloaded = [baseline, self.baseline].into_iter().flatten();
        let unloaded = unloaded.fold(time, f64::min);
        let waiting = time - unloaded;
        // The first answers are those that waited least, so their mean says little about the deviation.
        let deviating = self.home.service_time().unwrap_or(0.0).max(time);
        let error = ERRORS * other.error(deviating);
        let connects = (other.counts.connect_time(), self.home.counts.connect_time());
        let distance = match connects {
            (Some(there), Some(here)) => (there - here).max(0.0),
            _ => 0.0,
        };
        Observation::Seen(Seen {
            cost: time + waiting + error + distance + loss * self.target + self.price,
            unloaded,
            waiting,
            error,
        })
    }

    /// Waiting time in another zone that the waiting time in the own zone justifies: half of what leaving saves, but
    /// less than the time from which that zone counts as overloaded and rejects its own callers.
    fn justified(&self, seen: &Seen) -> f64 {
        let here = self.home.service_time().or_else(|| self.here());
        let saved = here.unwrap_or(0.0) - self.price - seen.unloaded;
        (saved.max(0.0) / 2.0).min(seen.unloaded * JUSTIFIED_MAX)
    }
}
