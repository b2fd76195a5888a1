//! Health of an upstream as its owner sees it.
//!
//! The owner's own traffic decides. Health endpoints lag or mislead, so a report alone never
//! takes an upstream out, nor keeps one in that does not answer. A probe of the service port
//! shows that a process listens, not that it serves requests: it stands for traffic only where
//! there is none.

use bincode::{
    Decode,
    Encode, //
};
use std::time::{
    Duration,
    Instant, //
};

/// Requests unanswered in a row after which an upstream is down.
const DOWN_AFTER: u32 = 3;

/// Least time without an answer after which an upstream is down.
const DOWN_AFTER_SILENCE: Duration = Duration::from_secs(1);

/// First time that an upstream stays down before one request tries it again.
const FIRST_RETRY: Duration = Duration::from_secs(1);

/// Longest time that an upstream stays down before one request tries it again.
const LAST_RETRY: Duration = Duration::from_secs(16);

/// Age after which own observations no longer outweigh an endpoint's report.
const EVIDENCE_AGE: Duration = Duration::from_secs(5);

/// Age after which an endpoint's report is ignored.
const REPORT_AGE: Duration = Duration::from_secs(10);

/// Weight of a new outcome in the share answered.
const ANSWERED_GAIN: f64 = 0.125;

/// Time constant with which old outcomes lose their weight, in seconds.
const FADE_S: f64 = 30.0;

/// What an upstream's health endpoint said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointReport {
    /// It calls itself healthy.
    Healthy,
    /// It calls itself unhealthy.
    Unhealthy,
}

/// State of an upstream for new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum HealthState {
    /// It answers.
    Up,
    /// It may not answer; it still takes new work.
    Suspect,
    /// It does not answer, and takes no new work.
    Down,
}

/// What [`least_bad`] compares; small enough to travel with a relayed request.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct HealthView {
    /// State for new work.
    pub state: HealthState,
    /// Expected share of requests answered, in `[0, 1]`.
    pub answered: f64,
    /// Requests unanswered in a row.
    pub failures: u32,
}

/// Health of one upstream.
#[derive(Clone, Debug)]
pub struct Health {
    failures: u32,
    first_failure: Option<Instant>,
    last_evidence: Option<Instant>,
    retry: Duration,
    retry_at: Option<Instant>,
    /// A request tries a down upstream.
    trial: bool,
    probe_failed: bool,
    answered: f64,
    report: Option<(EndpointReport, Instant)>,
}

impl Default for Health {
    fn default() -> Self {
        Self::new()
    }
}

impl Health {
    /// Starts up: nothing speaks against the upstream yet.
    pub fn new() -> Self {
        Self {
            failures: 0,
            first_failure: None,
            last_evidence: None,
            retry: FIRST_RETRY,
            retry_at: None,
            trial: false,
            probe_failed: false,
            answered: 1.0,
            report: None,
        }
    }

    /// Counts an answer to a request.
    pub fn on_answer(&mut self, now: Instant) {
        self.recover(now);
        self.answered += ANSWERED_GAIN * (1.0 - self.answered);
    }

    /// Counts a shed request: the upstream lives, but did not serve it.
    pub fn on_shed(&mut self, now: Instant) {
        self.recover(now);
        self.answered -= ANSWERED_GAIN * self.answered;
    }

    /// Counts an answered probe of the service port.
    ///
    /// It says nothing against unanswered requests, but after unanswered probes it allows the
    /// next request at once.
    pub fn on_probe_answer(&mut self, now: Instant) {
        let came_back = std::mem::take(&mut self.probe_failed);
        if self.failures == 0 {
            self.last_evidence = Some(now);
        } else if came_back && self.retry_at.is_some() {
            self.retry = FIRST_RETRY;
            self.retry_at = Some(now);
        }
    }

    /// Counts a probe of the service port that was not answered in time.
    pub fn on_probe_timeout(&mut self, now: Instant) {
        self.probe_failed = true;
        self.fail(now, 1);
    }

    /// Counts a request that was not answered in time.
    ///
    /// Not for a request that a short deadline of its own cut off, see
    /// [`Admission::is_overdue`](crate::admission::Admission::is_overdue).
    pub fn on_timeout(&mut self, now: Instant) {
        self.fail(now, 1);
    }

    /// Counts a port-unreachable message: nothing listens there.
    pub fn on_refused(&mut self, now: Instant) {
        self.fail(now, DOWN_AFTER);
    }

    /// Takes note of a report of the upstream's health endpoint.
    pub fn on_endpoint_report(&mut self, now: Instant, report: EndpointReport) {
        self.report = Some((report, now));
    }

    /// State for new work.
    ///
    /// A down upstream becomes suspect when its time to be tried again has come, until a request
    /// begins its trial; it is down again with the first failure.
    pub fn state(&self, now: Instant) -> HealthState {
        if let Some(retry_at) = self.retry_at {
            return if now < retry_at {
                HealthState::Down
            } else {
                HealthState::Suspect
            };
        }
        if self.failures > 0 || self.is_reported_unhealthy(now) {
            return HealthState::Suspect;
        }
        HealthState::Up
    }

    /// Begins the trial of a down upstream with one request; false when none is due.
    ///
    /// Until the request is answered or fails, the upstream is down for others.
    pub fn begin_trial(&mut self, now: Instant) -> bool {
        let due = self.retry_at.is_some_and(|retry_at| now >= retry_at);
        if due {
            self.trial = true;
            self.retry_at = Some(now + self.retry);
        }
        due
    }

    /// What [`least_bad`] compares.
    pub fn view(&self, now: Instant) -> HealthView {
        HealthView {
            state: self.state(now),
            answered: self.expected_answered(now),
            failures: self.failures,
        }
    }

    fn recover(&mut self, now: Instant) {
        self.failures = 0;
        self.first_failure = None;
        self.retry = FIRST_RETRY;
        self.retry_at = None;
        self.trial = false;
        self.probe_failed = false;
        self.last_evidence = Some(now);
    }

    fn fail(&mut self, now: Instant, weight: u32) {
        self.failures = self.failures.saturating_add(weight);
        self.last_evidence = Some(now);
        self.answered -= ANSWERED_GAIN * self.answered;
        let first = *self.first_failure.get_or_insert(now);
        let silent = now.saturating_duration_since(first) >= DOWN_AFTER_SILENCE;
        let refused = weight >= DOWN_AFTER;
        match self.retry_at {
            Some(retry_at) if self.trial || now >= retry_at => {
                self.trial = false;
                self.retry = (self.retry * 2).min(LAST_RETRY);
                self.retry_at = Some(now + self.retry);
            }
            None if self.failures >= DOWN_AFTER && (silent || refused) => {
                self.retry_at = Some(now + self.retry);
            }
            _ => {}
        }
    }

    fn is_reported_unhealthy(&self, now: Instant) -> bool {
        let Some((EndpointReport::Unhealthy, at)) = self.report else {
            return false;
        };
        let silent = self
            .last_evidence
            .is_none_or(|last| now.saturating_duration_since(last) > EVIDENCE_AGE);
        silent && now.saturating_duration_since(at) <= REPORT_AGE
    }

    /// Share answered, faded towards one half as the evidence ages.
    fn expected_answered(&self, now: Instant) -> f64 {
        let age = self
            .last_evidence
            .map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        let weight = (-age.as_secs_f64() / FADE_S).exp();
        0.5 + (self.answered - 0.5) * weight
    }
}

/// Index of the upstream to use when none is up; `None` for an empty list.
///
/// The best state goes first, then the largest expected share answered, then the fewest
/// failures in a row. The share is faded towards one half as the evidence ages, so that a long
/// dead upstream is tried before one that has just failed every request.
pub fn least_bad(views: &[HealthView]) -> Option<usize> {
    let best = views.iter().enumerate().min_by(|(_, a), (_, b)| {
        a.state
            .cmp(&b.state)
            .then(b.answered.total_cmp(&a.answered))
            .then(a.failures.cmp(&b.failures))
    });
    best.map(|(index, _)| index)
}
