//! What this daemon sees of upstreams that others of its zone can use.

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

/// Most failed openings that wait to be told; more than these would not be told in time.
const FAILED_MAX: usize = 128;

/// What is to be told to others.
#[derive(Debug, Default)]
pub struct Evidence {
    /// Failed openings for the daemon that this one follows.
    failed: RefCell<Vec<FailedOpening>>,
    wake: Wake,
    /// Beliefs for the daemons that follow this one.
    beliefs: RefCell<SilenceReports>,
}

impl Evidence {
    /// Adds openings that failed.
    pub fn add_failed(&self, failed: Vec<FailedOpening>) {
        if failed.is_empty() {
            return;
        }
        let mut waiting = self.failed.borrow_mut();
        let room = FAILED_MAX - waiting.len();
        waiting.extend(failed.into_iter().take(room));
        self.wake.set();
    }

    /// Waits for openings that failed and takes at most `max` of them.
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
        let mut waiting = self.failed.borrow_mut();
        let len = waiting.len().min(max);
        waiting.drain(..len).collect()
    }

    /// Adds an upstream that counts as silent.
    pub fn add_silent(&self, failed: FailedOpening, now: Instant) {
        self.beliefs.borrow_mut().record(failed, now);
    }

    /// Notes that an upstream answers.
    pub fn record_answer(&self, upstream: UpstreamId) {
        self.beliefs.borrow_mut().record_answer(upstream);
    }

    /// Number of the last belief.
    pub fn last_report(&self) -> u64 {
        self.beliefs.borrow().last()
    }

    /// At most `max` beliefs after a number, and the number of the last of them.
    pub fn reports_after(
        &self,
        number: u64,
        max: usize,
        now: Instant,
    ) -> (u64, Vec<FailedOpening>) {
        self.beliefs.borrow().after(number, max, now)
    }
}
