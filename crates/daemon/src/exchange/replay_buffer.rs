//! Buffer of requests sent to an owner that may be dead; once its death is confirmed, they are sent to the next owner.

use foxtailhinge_wire::message::Forward;
use std::{
    collections::VecDeque,
    time::{
        Duration,
        Instant, //
    },
};

/// Maximum number of buffered requests; the oldest are evicted.
const CAPACITY: usize = 1024;

/// Time after which a buffered request expires.
const REQUEST_TTL: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct BufferedRequest {
    /// Hash of the owner's VM id.
    vm: u32,
    sent: Instant,
    forward: Forward,
}

/// Requests sent to owners that other daemons suspect or that do not answer this one, oldest first.
#[derive(Debug, Default)]
pub struct ReplayBuffer {
    kept: VecDeque<BufferedRequest>,
}

impl ReplayBuffer {
    /// Buffers a request that was sent to the daemon with this hash of its VM id.
    pub fn buffer(&mut self, vm: u32, forward: Forward, now: Instant) {
        let old = |kept: &BufferedRequest| now.saturating_duration_since(kept.sent) >= REQUEST_TTL;
        while self.kept.front().is_some_and(old) || self.kept.len() >= CAPACITY {
            self.kept.pop_front();
        }
        let sent = now;
        self.kept.push_back(BufferedRequest { vm, sent, forward });
    }

    /// Removes the requests sent to a daemon and returns those that have not expired, with their age.
    pub fn take(&mut self, vm: u32, now: Instant) -> Vec<(Duration, Forward)> {
        let taken: VecDeque<BufferedRequest>;
        (taken, self.kept) = self.kept.drain(..).partition(|kept| kept.vm == vm);
        let age = |kept: &BufferedRequest| now.saturating_duration_since(kept.sent);
        taken
            .into_iter()
            .map(|kept| (age(&kept), kept.forward))
            .filter(|(age, _)| *age < REQUEST_TTL)
            .collect()
    }
}
