//! Reports of silent upstreams that a daemon passes on to its followers.
//!
//! In a large zone, one daemon opens a flow at a given upstream only every few seconds, so it is slow to notice that
//! the upstream refuses; all daemons of the zone together notice it at once. Reports of other daemons affect only new
//! flows: no open flow is reset because of them.

use super::entry::UpstreamId;
use std::{
    collections::VecDeque,
    time::{
        Duration,
        Instant, //
    },
};

/// How long a report is passed on: as long as the shortest ejection, after which the upstream must be observed again.
pub const REPORT_TTL: Duration = super::outlier_ejection::EJECTION_MIN;

/// Largest number of reports kept.
const HELD_MAX: usize = 512;

/// Opening that failed at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedOpening {
    /// Upstream that got the opening.
    pub upstream: UpstreamId,
    /// When the opening was forwarded.
    pub at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct NumberedReport {
    number: u64,
    failed: FailedOpening,
    recorded_at: Instant,
}

/// Latest report on each silent upstream, numbered in the order of recording.
#[derive(Clone, Debug, Default)]
pub struct SilenceReports {
    last: u64,
    reports: VecDeque<NumberedReport>,
}

impl SilenceReports {
    /// Records that an upstream is considered silent because an opening failed there.
    pub fn record(&mut self, failed: FailedOpening, now: Instant) {
        self.reports
            .retain(|report| report.failed.upstream != failed.upstream);
        self.last += 1;
        self.reports.push_back(NumberedReport {
            number: self.last,
            failed,
            recorded_at: now,
        });
        if self.reports.len() > HELD_MAX {
            self.reports.pop_front();
        }
    }

    /// Removes the report on an upstream that answers again.
    pub fn record_answer(&mut self, upstream: UpstreamId) {
        self.reports
            .retain(|report| report.failed.upstream != upstream);
    }

    /// Number of the last report.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Returns the first `max` reports after `number`, and the number to pass in the next call.
    ///
    /// A number that was never assigned is from before a restart of this daemon; then all reports are returned.
    pub fn after(&self, number: u64, max: usize, now: Instant) -> (u64, Vec<FailedOpening>) {
        let number = match number > self.last {
            true => 0,
            false => number,
        };
        let newer = self.reports.iter().filter(|report| report.number > number);
        let newer: Vec<_> = newer.take(max).collect();
        let last = match newer.last().filter(|_| newer.len() == max) {
            Some(report) => report.number,
            None => self.last,
        };
        let recent = newer
            .iter()
            .filter(|report| now < report.recorded_at + REPORT_TTL);
        (last, recent.map(|report| report.failed).collect())
    }
}
