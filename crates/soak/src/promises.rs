//! Promises that are checked by what callers and upstreams observed.

use crate::{
    fault::Kind,
    schedule::FaultSchedule,
    soak::REWRITE_DELAY, //
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

/// Time limit for a daemon to stop after SIGTERM: `grace_s` of its settings.
const STOP_TIME_MAX: Duration = Duration::from_secs(6);
/// Time after which no flow may open in a zone out of service, if the store answers.
const EVACUATION_DELAY_MAX: Duration = Duration::from_secs(5);
/// Time after which no flow may open at a draining upstream, if the store answers.
const DRAIN_DELAY_MAX: Duration = Duration::from_secs(3);
/// Time in which a daemon notices that an answer was lost and reads again: `notice_ms` of its settings and one second.
const READ_RETRY_DELAY_MAX: Duration = Duration::from_millis(3_500);
/// Time after the recovery of the fleet during which requests are not checked yet.
const SETTLING_TIME: Duration = Duration::from_secs(1);
/// Time after an overload in which the service recovers: openings may be rejected, and answers may be late.
const OVERLOAD_RECOVERY_MAX: Duration = Duration::from_secs(2);
/// Time in which a request should be answered.
const TARGET_LATENCY: Duration = Duration::from_millis(250);
/// Minimum share of the requests after the recovery that must be answered in time, as in `local_fleet`.
const IN_TIME_SHARE_MIN: f64 = 0.95;

/// Exit of a daemon that was not killed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessExit {
    pub(crate) daemon: usize,
    pub(crate) ok: bool,
    /// Time from SIGTERM to the exit; nothing if there was no SIGTERM.
    pub(crate) took: Option<Duration>,
    /// Whether the daemon was paused at the time of SIGTERM or later.
    pub(crate) paused: bool,
}

/// Collects violations while the faults run, and checks the observations after them.
pub(crate) struct PromiseChecker {
    pub(crate) started: Instant,
    /// When the fleet had recovered from the last fault.
    pub(crate) calm: Option<Instant>,
    schedule: FaultSchedule,
    /// Violations found while the faults ran, without duplicates.
    recorded: Vec<String>,
}

impl PromiseChecker {
    pub(crate) fn new(schedule: FaultSchedule) -> Self {
        Self {
            started: Instant::now(),
            calm: None,
            schedule,
            recorded: Vec::new(),
        }
    }

    pub(crate) fn record(&mut self, text: String) {
        if !self.recorded.contains(&text) {
            self.recorded.push(text);
        }
    }

    pub(crate) fn record_memory(&mut self, daemon: usize, kb: u64) {
        self.record(format!("daemon {daemon} uses {kb} kB"));
    }

    pub(crate) fn record_exit(&mut self, ended: ProcessExit) {
        let daemon = ended.daemon;
        match ended.took {
            None => self.record(format!("daemon {daemon} ended by itself")),
            Some(took) if took > STOP_TIME_MAX && !ended.paused => {
                self.record(format!("daemon {daemon} took {took:.1?} to stop"));
            }
            Some(_) if !ended.ok => self.record(format!("daemon {daemon} ended with an error")),
            Some(_) => {}
        }
    }

    /// Describes all violations, one a line.
    pub(crate) fn violations(&self, fleet: &PacketFleet, results: &[Results]) -> Vec<String> {
        let seen = fleet.seen.lock().expect("no holder of the lock panics");
        let outcomes: Vec<_> = results.iter().flat_map(|r| &r.outcomes).collect();
        let resets: Vec<_> = results.iter().flat_map(|r| &r.resets).collect();
        let mut violations = self.recorded.clone();
        let twice = repeated_runs(&seen, results).into_iter();
        violations
            .extend(twice.map(|(number, runs)| format!("request {number:x} ran {runs} times")));
        violations.extend(corrupted(&seen, results));
        violations.extend(
            resets
                .iter()
                .filter_map(|reset| self.reset_violation(fleet, reset)),
        );
        violations.extend(
            seen.openings
                .iter()
                .filter_map(|o| self.opening_violation(fleet, o)),
        );
        violations.extend(self.late_answers_violation(&outcomes));
        violations.extend(refused_and_run(&seen, &outcomes));
        violations.extend(self.dead_violations(fleet));
        violations
    }

    fn since_start(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.started)
    }

    /// Describes a reset that the balancer sent and that no fault of the upstream explains.
    fn reset_violation(&self, fleet: &PacketFleet, reset: &ReceivedReset) -> Option<String> {
        if !reset.by_balancer {
            return None;
        }
        let at = self.since_start(reset.at);
        if !reset.was_open && self.schedule.is_overloaded(at, OVERLOAD_RECOVERY_MAX) {
            return None;
        }
        let is_changed = |index: usize| {
            let spec = fleet.upstreams[index].spec();
            reset.upstream.is_none_or(|id| spec.id == id)
        };
        let mut changed = self.schedule.periods(Kind::upstream).into_iter();
        let allowed = changed.any(|(index, from, _)| from <= at && is_changed(index));
        (!allowed).then(|| format!("{at:.3?}: a flow of {:?} was reset", reset.upstream))
    }

    /// Describes a flow that opened at an upstream that must not get new flows.
    fn opening_violation(&self, fleet: &PacketFleet, opening: &Opening) -> Option<String> {
        let at = self.since_start(opening.at);
        let place = format!("{at:.3?}: a flow opened at {:x}", opening.upstream);
        if opening.service != fleet.service_of(opening.route) {
            return Some(format!("{place}, which is of another service"));
        }
        if opening.cold {
            return Some(format!("{place}, which is cold"));
        }
        let mut out = self
            .schedule
            .periods(|kind| match kind {
                Kind::ZoneOut(zone) => Some(zone),
                _ => None,
            })
            .into_iter();
        let mut drained = self
            .schedule
            .periods(|kind| match kind {
                Kind::UpstreamDrained(upstream) => Some(upstream),
                _ => None,
            })
            .into_iter();
        if out.any(|(zone, from, to)| {
            fleet.zones()[zone] == opening.zone
                && self.must_be_in_effect(at, from, to, EVACUATION_DELAY_MAX)
        }) {
            return Some(format!("{place}, whose zone is out"));
        }
        let is_drained = drained.any(|(upstream, from, _)| {
            let id = fleet.upstreams[upstream].spec().id;
            id == opening.upstream
                && self.must_be_in_effect(at, from, Duration::MAX, DRAIN_DELAY_MAX)
        });
        is_drained.then(|| format!("{place}, which drains"))
    }

    /// Whether a change in force from `from` to `to` must take effect by `at`: it is `bound` old, and the store was
    /// readable for that time.
    fn must_be_in_effect(
        &self,
        at: Duration,
        from: Duration,
        to: Duration,
        bound: Duration,
    ) -> bool {
        let since = at.saturating_sub(bound);
        from <= since
            && at < to
            && !self.may_be_lost(at, from, bound)
            && !self
                .schedule
                .delays_updates(since, at, READ_RETRY_DELAY_MAX)
    }

    /// Whether the store lost a change from `from` on before all daemons knew it, so that it takes effect only after it
    /// was written again. A change that was in force before a restoration stays in force.
    fn may_be_lost(&self, at: Duration, from: Duration, bound: Duration) -> bool {
        let mut restorations = self.schedule.restorations();
        restorations.any(|restored| {
            let rewritten = restored + REWRITE_DELAY;
            (from..from + bound).contains(&restored) && at < rewritten + bound
        })
    }

    /// Describes each declaration of death of an upstream that lives, if there was an overload.
    fn dead_violations(&self, fleet: &PacketFleet) -> Vec<String> {
        if self.schedule.overloads_end().is_none() {
            return Vec::new();
        }
        let changed = self.schedule.periods(Kind::upstream);
        let changed = changed
            .iter()
            .map(|(index, ..)| fleet.upstreams[*index].spec().id);
        let changed: Vec<_> = changed.map(|id| format!("upstream={id:010x}")).collect();
        let lines = (0..fleet.len()).flat_map(|index| fleet.events(index, "upstream_dead"));
        lines
            .filter(|line| !changed.iter().any(|upstream| line.contains(upstream)))
            .map(|line| format!("a living upstream was declared dead: {line}"))
            .collect()
    }

    /// Describes the share of requests after the recovery that were answered in time, if it is too small.
    fn late_answers_violation(&self, outcomes: &[&Outcome]) -> Option<String> {
        let mut calm = self.calm? + SETTLING_TIME;
        if let Some(end) = self.schedule.overloads_end() {
            calm = calm.max(self.started + end + OVERLOAD_RECOVERY_MAX);
        }
        let asked: Vec<_> = outcomes.iter().filter(|o| o.asked >= calm).collect();
        let in_time = asked
            .iter()
            .filter(|o| o.took.is_some_and(|took| took <= TARGET_LATENCY));
        let share = in_time.count() as f64 / asked.len().max(1) as f64;
        (share < IN_TIME_SHARE_MIN).then(|| {
            let count = asked.len();
            format!(
                "after the last fault {:.1} % of {count} requests came in time",
                share * 100.0
            )
        })
    }
}

/// Describes the requests that must run at most once, and ran although all their attempts were refused or rejected.
fn refused_and_run(seen: &Observations, outcomes: &[&Outcome]) -> Option<String> {
    let refused = outcomes.iter().filter(|o| o.not_run && !o.is_feed);
    let ran = refused
        .filter(|o| seen.runs.contains_key(&o.number))
        .count();
    (ran > 0).then(|| format!("{ran} requests were refused as not run, and ran"))
}

fn corrupted(seen: &Observations, results: &[Results]) -> Vec<String> {
    let wrong: u64 = results.iter().map(|r| r.wrong).sum();
    let mut violations = Vec::new();
    if wrong > 0 {
        violations.push(format!("{wrong} answers of another request or upstream"));
    }
    if seen.damaged > 0 {
        violations.push(format!("{} packets changed on their way", seen.damaged));
    }
    violations
}
