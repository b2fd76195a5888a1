//! Observations of upstreams that this daemon shares with others of its zone.

use crate::wake::Wake;
use foxtailhinge_policy::packets::{
    FailedOpening,
    SilenceReports,
    UpstreamId, //
};
use std::{
    cell::RefCell,
    time::Instant, //
};

/// Maximum number of failed openings that wait to be reported; further ones could not be reported in time.
const FAILED_MAX: usize = 128;

/// Observations to report to other daemons.
#[derive(Debug, Default)]
pub struct Evidence {
    /// Failed openings to report to the daemon that this one follows.
    failed: RefCell<Vec<FailedOpening>>,
    wake: Wake,
    /// Silent upstreams to report to the daemons that follow this one.
    silence_reports: RefCell<SilenceReports>,
}

impl Evidence {
    /// Queues failed openings; drops those for which there is no room.
    pub fn add_failed(&self, failed: Vec<FailedOpening>) {
        if failed.is_empty() {
            return;
        }
        let mut queue = self.failed.borrow_mut();
        let room = FAILED_MAX - queue.len();
        queue.extend(failed.into_iter().take(room));
        self.wake.set();
    }

    /// Waits for failed openings and removes at most `max` of them from the queue.
    pub async fn take_failed(&self, max: usize) -> Vec<FailedOpening> {
        loop {
            let failed = self.drain(max);
            if !failed.is_empty() {
                return failed;
            }
            self.wake.wait().await;
        }
    }

    fn drain(&self, max: usize) -> Vec<FailedOpening> {
        let mut queue = self.failed.borrow_mut();
        let len = queue.len().min(max);
        queue.drain(..len).collect()
    }

    /// Adds an upstream that is considered silent.
    pub fn add_silent(&self, failed: FailedOpening, now: Instant) {
        self.silence_reports.borrow_mut().record(failed, now);
    }

    /// Withdraws the reports of an upstream that answers.
    pub fn record_answer(&self, upstream: UpstreamId) {
        self.silence_reports.borrow_mut().record_answer(upstream);
    }

    /// Number of the last report.
    pub fn last_report(&self) -> u64 {
        self.silence_reports.borrow().last()
    }

    /// At most `max` reports after a number, and the number of the last of them.
    pub fn reports_after(
        &self,
        number: u64,
        max: usize,
        now: Instant,
    ) -> (u64, Vec<FailedOpening>) {
        self.silence_reports.borrow().after(number, max, now)
    }
}
