//! Beliefs about upstreams that a daemon passes on to those that follow it.
//!
//! One daemon of a large zone opens a flow at one upstream every few seconds, so that it takes long to see that one refuses;
//! the daemons of a zone together see it at once. What others tell steers new flows alone: no open flow is reset for it.

use super::entry::UpstreamId;
use std::{
    collections::VecDeque,
    time::{
        Duration,
        Instant, //
    },
};

/// How long a belief is passed on: as long as the shortest silence, after which it is to be seen anew.
pub const REPORT_TTL: Duration = super::outlier_ejection::EJECTION_MIN;

/// Most beliefs that are held to be passed on.
const HELD_MAX: usize = 512;

/// An upstream that does not take openings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedOpening {
    /// The upstream.
    pub upstream: UpstreamId,
    /// When the opening was forwarded that shows it.
    pub at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    number: u64,
    failed: FailedOpening,
    noted: Instant,
}

/// The last beliefs, numbered.
#[derive(Clone, Debug, Default)]
pub struct SilenceReports {
    last: u64,
    told: VecDeque<Told>,
}

impl SilenceReports {
    /// Notes that an upstream counts as silent since an opening failed there.
    pub fn record(&mut self, failed: FailedOpening, now: Instant) {
        self.told
            .retain(|told| told.failed.upstream != failed.upstream);
        self.last += 1;
        self.told.push_back(Told {
            number: self.last,
            failed,
            noted: now,
        });
        if self.told.len() > HELD_MAX {
            self.told.pop_front();
        }
    }

    /// Notes that an upstream answers.
    pub fn record_answer(&mut self, upstream: UpstreamId) {
        self.told.retain(|told| told.failed.upstream != upstream);
    }

    /// Number of the last belief.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// The first `max` beliefs after a number, and the number of the last of them. A number that was never given comes
    /// from an earlier life of this daemon, and all are told.
    pub fn after(&self, number: u64, max: usize, now: Instant) -> (u64, Vec<FailedOpening>) {
        let number = match number > self.last {
            true => 0,
            false => number,
        };
        let newer = self.told.iter().filter(|told| told.number > number);
        let newer: Vec<_> = newer.take(max).collect();
        let last = match newer.last().filter(|_| newer.len() == max) {
            Some(told) => told.number,
            None => self.last,
        };
        let still = newer.iter().filter(|told| now < told.noted + REPORT_TTL);
        (last, still.map(|told| told.failed).collect())
    }
}
