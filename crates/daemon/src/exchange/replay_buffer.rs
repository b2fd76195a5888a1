//! Requests sent to an owner that may be dead, kept until that is known.

use foxtailhinge_wire::message::Forward;
use std::{
    collections::VecDeque,
    time::{
        Duration,
        Instant, //
    },
};

/// Requests kept at a time; the oldest give way.
const KEPT_MAX: usize = 1024;

/// Time for which a request is kept.
const KEPT_FOR: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Kept {
    /// Hash of the owner's VM id.
    vm: u32,
    sent: Instant,
    forward: Forward,
}

/// Requests sent to owners that others suspect or that are silent here, oldest first.
#[derive(Debug, Default)]
pub struct ReplayBuffer {
    kept: VecDeque<Kept>,
}

impl ReplayBuffer {
    /// Keeps a request that was sent to the daemon with this hash of its VM id.
    pub fn buffer(&mut self, vm: u32, forward: Forward, now: Instant) {
        let old = |kept: &Kept| now.saturating_duration_since(kept.sent) >= KEPT_FOR;
        while self.kept.front().is_some_and(old) || self.kept.len() >= KEPT_MAX {
            self.kept.pop_front();
        }
        let sent = now;
        self.kept.push_back(Kept { vm, sent, forward });
    }

    /// Takes the requests sent to a daemon, with the time since each was sent.
    pub fn take(&mut self, vm: u32, now: Instant) -> Vec<(Duration, Forward)> {
        let taken: VecDeque<Kept>;
        (taken, self.kept) = self.kept.drain(..).partition(|kept| kept.vm == vm);
        let age = |kept: &Kept| now.saturating_duration_since(kept.sent);
        taken
            .into_iter()
            .map(|kept| (age(&kept), kept.forward))
            .filter(|(age, _)| *age < KEPT_FOR)
            .collect()
    }
}
