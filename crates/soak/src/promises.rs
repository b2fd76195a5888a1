//! The promises that are checked, by what callers and upstreams saw.

use crate::{
    fault::Kind,
    schedule::FaultSchedule, //
};
use foxtailhinge_standins::packets::{
    fleet::PacketFleet,
    results::{
        repeated_runs,
        Outcome,
        ReceivedReset,
        Results, //
    },
    upstream::{
        Observations, //
        Opening,
    }, //
};
use std::time::{
    Duration,
    Instant, //
};

/// Time in which a daemon that is asked to stop has ended: its settings' grace_s.
const GRACE: Duration = Duration::from_secs(6);
/// Time after which no flow opens in a zone that is out, with a store that answers.
const ZONE_QUIET_AFTER: Duration = Duration::from_secs(5);
/// Time after which no flow opens at an upstream that drains, with a store that answers.
const DRAINED_AFTER: Duration = Duration::from_secs(3);
/// Time in which a daemon notices that an answer was lost, and reads again: its settings' notice_ms, and a second.
const NOTICE: Duration = Duration::from_millis(3_500);
/// Time for which the calm after the last fault does not count yet.
const CALM_AFTER: Duration = Duration::from_secs(1);
/// Time in which a request is to be answered.
const AIM: Duration = Duration::from_millis(250);
/// Least share of the requests in the calm that are to be answered in time, as `local_fleet` asks for.
const IN_TIME_MIN: f64 = 0.95;

/// A process that ended without being killed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ended {
    pub(crate) daemon: usize,
    pub(crate) ok: bool,
    /// Time since it was asked to stop; nothing when it was not.
    pub(crate) took: Option<Duration>,
    /// Whether it was paused meanwhile.
    pub(crate) paused: bool,
}

/// What is noted while the faults are played.
pub(crate) struct Evidence {
    pub(crate) began: Instant,
    /// When the fleet was whole again.
    pub(crate) calm: Option<Instant>,
    series: FaultSchedule,
    notes: Vec<String>,
}

impl Evidence {
    pub(crate) fn new(series: FaultSchedule) -> Self {
        Self {
            began: Instant::now(),
            calm: None,
            series,
            notes: Vec::new(),
        }
    }

    pub(crate) fn note(&mut self, text: String) {
        if !self.notes.contains(&text) {
            self.notes.push(text);
        }
    }

    pub(crate) fn memory(&mut self, daemon: usize, kb: u64) {
        self.note(format!("daemon {daemon} uses {kb} kB"));
    }

    pub(crate) fn ended(&mut self, ended: Ended) {
        let daemon = ended.daemon;
        match ended.took {
            None => self.note(format!("daemon {daemon} ended by itself")),
            Some(took) if took > GRACE && !ended.paused => {
                self.note(format!("daemon {daemon} took {took:.1?} to stop"));
            }
            Some(_) if !ended.ok => self.note(format!("daemon {daemon} ended with an error")),
            Some(_) => {}
        }
    }

    /// All that was broken, a line each.
    pub(crate) fn broken(&self, fleet: &PacketFleet, results: &[Results]) -> Vec<String> {
        let seen = fleet.seen.lock().expect("no holder of the lock panics");
        let outcomes: Vec<_> = results.iter().flat_map(|r| &r.outcomes).collect();
        let resets: Vec<_> = results.iter().flat_map(|r| &r.resets).collect();
        let mut broken = self.notes.clone();
        let twice = repeated_runs(&seen, results).into_iter();
        broken.extend(twice.map(|(number, runs)| format!("request {number:x} ran {runs} times")));
        broken.extend(wrong(&seen, results));
        broken.extend(resets.iter().filter_map(|reset| self.reset(fleet, reset)));
        broken.extend(seen.openings.iter().filter_map(|o| self.opening(fleet, o)));
        broken.extend(self.calm_share(&outcomes));
        broken
    }

    fn since_start(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.began)
    }

    /// A reset of a flow whose upstream lives.
    fn reset(&self, fleet: &PacketFleet, reset: &ReceivedReset) -> Option<String> {
        if !reset.by_balancer {
            return None;
        }
        let at = self.since_start(reset.at);
        let is_changed = |index: usize| {
            let spec = fleet.upstreams[index].spec();
            reset.upstream.is_none_or(|id| spec.id == id)
        };
        let mut changed = self.series.times(Kind::upstream).into_iter();
        let allowed = changed.any(|(index, from, _)| from <= at && is_changed(index));
        (!allowed).then(|| format!("{at:.3?}: a flow of {:?} was reset", reset.upstream))
    }

    /// A flow that opened where it must not.
    fn opening(&self, fleet: &PacketFleet, opening: &Opening) -> Option<String> {
        let at = self.since_start(opening.at);
        let place = format!("{at:.3?}: a flow opened at {:x}", opening.upstream);
        if opening.service != fleet.service_of(opening.route) {
            return Some(format!("{place}, which is of another service"));
        }
        if opening.cold {
            return Some(format!("{place}, which is cold"));
        }
        let mut out = self
            .series
            .times(|kind| match kind {
                Kind::ZoneOut(zone) => Some(zone),
                _ => None,
            })
            .into_iter();
        let mut drained = self
            .series
            .times(|kind| match kind {
                Kind::UpstreamDrained(upstream) => Some(upstream),
                _ => None,
            })
            .into_iter();
        if out.any(|(zone, from, to)| {
            fleet.zones()[zone] == opening.zone && self.is_due(at, from, to, ZONE_QUIET_AFTER)
        }) {
            return Some(format!("{place}, whose zone is out"));
        }
        let is_drained = drained.any(|(upstream, from, _)| {
            let id = fleet.upstreams[upstream].spec().id;
            id == opening.upstream && self.is_due(at, from, Duration::MAX, DRAINED_AFTER)
        });
        is_drained.then(|| format!("{place}, which drains"))
    }

    /// Whether something told at `from` must be known at `at`: the store answered for the whole bound before.
    fn is_due(&self, at: Duration, from: Duration, to: Duration, bound: Duration) -> bool {
        let since = at.saturating_sub(bound);
        from <= since && at < to && !self.series.hides_store(since, at, NOTICE)
    }

    /// The share of the requests in the calm that came in time, when it is too small.
    fn calm_share(&self, outcomes: &[&Outcome]) -> Option<String> {
        let calm = self.calm? + CALM_AFTER;
        let asked: Vec<_> = outcomes.iter().filter(|o| o.asked >= calm).collect();
        let in_time = asked
            .iter()
            .filter(|o| o.took.is_some_and(|took| took <= AIM));
        let share = in_time.count() as f64 / asked.len().max(1) as f64;
        (share < IN_TIME_MIN).then(|| {
            let count = asked.len();
            format!(
                "after the last fault {:.1} % of {count} requests came in time",
                share * 100.0
            )
        })
    }
}

fn wrong(seen: &Observations, results: &[Results]) -> Vec<String> {
    let wrong: u64 = results.iter().map(|r| r.wrong).sum();
    let mut broken = Vec::new();
    if wrong > 0 {
        broken.push(format!("{wrong} answers of another request or upstream"));
    }
    if seen.damaged > 0 {
        broken.push(format!("{} packets changed on their way", seen.damaged));
    }
    broken
}
