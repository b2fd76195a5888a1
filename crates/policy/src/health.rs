//! Health of an upstream as observed by its owner.
//!
//! The state follows the owner's own traffic. Health endpoints lag or mislead, so a report alone
//! never takes an upstream down, and never keeps one up that does not answer. A probe of the
//! service port shows that a process listens, not that it serves requests: it replaces traffic only
//! where there is none.

use bincode::{
    Decode,
    Encode, //
};
use std::time::{
    Duration,
    Instant, //
};

/// Number of consecutive unanswered requests after which an upstream is down.
const DOWN_AFTER: u32 = 3;

/// Minimum time from the first unanswered request until an upstream is down.
const DOWN_AFTER_SILENCE: Duration = Duration::from_secs(1);

/// Initial backoff: time for which an upstream stays down before a trial request may be sent.
const RETRY_MIN: Duration = Duration::from_secs(1);

/// Maximum backoff between trial requests.
const RETRY_MAX: Duration = Duration::from_secs(16);

/// Age after which the owner's own observations no longer outweigh an endpoint's report.
const EVIDENCE_AGE_MAX: Duration = Duration::from_secs(5);

/// Age after which an endpoint's report is ignored.
const REPORT_AGE_MAX: Duration = Duration::from_secs(10);

/// Weight of a new outcome in the share of answered requests.
const ANSWERED_GAIN: f64 = 0.125;

/// Time constant of the exponential decay of old outcomes, in seconds.
const DECAY_S: f64 = 30.0;

/// Result of a request to an upstream's health endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointReport {
    /// The upstream reports itself healthy.
    Healthy,
    /// The upstream reports itself unhealthy.
    Unhealthy,
}

/// Availability of an upstream for new work, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum HealthState {
    /// The upstream answers.
    Up,
    /// The upstream may be failing; it still gets new work.
    Suspect,
    /// The upstream does not answer and gets no new work.
    Down,
}

/// Summary of an upstream's health, compared by [`least_bad`]. Small enough to be sent along with a
/// relayed request.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct HealthView {
    /// Availability for new work.
    pub state: HealthState,
    /// Expected share of requests that are answered, in `[0, 1]`.
    pub answered: f64,
    /// Number of consecutive unanswered requests.
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
    /// Whether a trial request to the down upstream is in progress.
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
    /// Creates the health of an upstream, which is up until there is evidence to the contrary.
    pub fn new() -> Self {
        Self {
            failures: 0,
            first_failure: None,
            last_evidence: None,
            retry: RETRY_MIN,
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

    /// Counts a shed request: the upstream is alive, but did not serve the request.
    pub fn on_shed(&mut self, now: Instant) {
        self.recover(now);
        self.answered -= ANSWERED_GAIN * self.answered;
    }

    /// Counts an answered probe of the service port.
    ///
    /// The answer does not outweigh unanswered requests. After unanswered probes, however, it allows
    /// a trial request at once.
    pub fn on_probe_answer(&mut self, now: Instant) {
        let answers_again = std::mem::take(&mut self.probe_failed);
        if self.failures == 0 {
            self.last_evidence = Some(now);
        } else if answers_again && self.retry_at.is_some() {
            self.retry = RETRY_MIN;
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
    /// Not to be called when only the request's own short deadline expired, see
    /// [`Admission::is_overdue`](crate::admission::Admission::is_overdue).
    pub fn on_timeout(&mut self, now: Instant) {
        self.fail(now, 1);
    }

    /// Counts a port-unreachable message: no process listens on the service port.
    pub fn on_refused(&mut self, now: Instant) {
        self.fail(now, DOWN_AFTER);
    }

    /// Records a report of the upstream's health endpoint.
    pub fn on_endpoint_report(&mut self, now: Instant, report: EndpointReport) {
        self.report = Some((report, now));
    }

    /// Returns the availability for new work.
    ///
    /// A down upstream becomes suspect when its backoff has passed, until a trial request begins;
    /// the first failure takes it down again.
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

    /// Begins a trial request to a down upstream; returns false when none is due.
    ///
    /// Until the request is answered or fails, the upstream is down for other requests.
    pub fn begin_trial(&mut self, now: Instant) -> bool {
        let due = self.retry_at.is_some_and(|retry_at| now >= retry_at);
        if due {
            self.trial = true;
            self.retry_at = Some(now + self.retry);
        }
        due
    }

    /// Returns the summary that [`least_bad`] compares.
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
        self.retry = RETRY_MIN;
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
                self.retry = (self.retry * 2).min(RETRY_MAX);
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
            .is_none_or(|last| now.saturating_duration_since(last) > EVIDENCE_AGE_MAX);
        silent && now.saturating_duration_since(at) <= REPORT_AGE_MAX
    }

    /// Share of answered requests, decaying towards one half as the evidence ages.
    fn expected_answered(&self, now: Instant) -> f64 {
        let age = self
            .last_evidence
            .map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        let weight = (-age.as_secs_f64() / DECAY_S).exp();
        0.5 + (self.answered - 0.5) * weight
    }
}

/// Returns the index of the upstream to use when none is up; `None` for an empty list.
///
/// Prefers the best state, then the largest expected share of answered requests, then the fewest
/// consecutive failures. The share decays towards one half as the evidence ages, so that an upstream
/// that has been down for long is tried before one that has just failed every request.
pub fn least_bad(views: &[HealthView]) -> Option<usize> {
    let best = views.iter().enumerate().min_by(|(_, a), (_, b)| {
        a.state
            .cmp(&b.state)
            .then(b.answered.total_cmp(&a.answered))
            .then(a.failures.cmp(&b.failures))
    });
    best.map(|(index, _)| index)
}
