//! Detection of a process that was paused, and the fence that follows.
//!
//! A process that was stopped wakes with an old view of the fleet. Until it has synced with a
//! peer or the platform it takes no new work. The bound on the fence lets a daemon that is cut
//! off from everybody serve its own zone.

use std::time::{
    Duration,
    Instant, //
};

/// Limits of the pause detector.
#[derive(Clone, Copy, Debug)]
pub struct PauseSpec {
    /// Time since the last tick after which the process counts as paused.
    pub pause: Duration,
    /// Time after which a fenced daemon that reaches nobody takes work again.
    pub isolated_timeout: Duration,
    /// Time after which a fenced daemon takes work again though a sync has not ended.
    pub sync_timeout: Duration,
}

impl Default for PauseSpec {
    fn default() -> Self {
        Self {
            pause: Duration::from_secs(1),
            isolated_timeout: Duration::from_secs(5),
            sync_timeout: Duration::from_secs(60),
        }
    }
}

/// Whether new work may be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fence {
    /// Work is taken.
    Open,
    /// No new work since this time.
    Closed(Instant),
}

/// A pause that was detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pause {
    /// Time for which the process did not run.
    pub length: Duration,
}

/// Detects pauses from late ticks and keeps the fence.
#[derive(Debug)]
pub struct PauseDetector {
    spec: PauseSpec,
    last: Instant,
    clocks: Option<(Instant, Duration)>,
    fence: Fence,
    reached: Instant,
    pauses: u64,
    unseen: Option<Pause>,
}

impl PauseDetector {
    /// Creates a detector whose fence is closed until the first sync, as after a pause.
    pub fn new(spec: PauseSpec, now: Instant) -> Self {
        Self {
            spec,
            last: now,
            clocks: None,
            fence: Fence::Closed(now),
            reached: now,
            pauses: 0,
            unseen: None,
        }
    }

    /// Records that the process ran at `now`; also to be called before new work is taken.
    pub fn tick(&mut self, now: Instant) -> Option<Pause> {
        let length = now.saturating_duration_since(self.last);
        self.last = now;
        if length <= self.spec.pause {
            return None;
        }
        Some(self.close(length, now))
    }

    /// Like [`tick`](Self::tick), and compares the wall clock (time since the epoch) too.
    ///
    /// The monotonic clock stands still while a VM is suspended; the wall clock does not.
    pub fn tick_with_wall(&mut self, now: Instant, wall: Duration) -> Option<Pause> {
        let pause = self.tick(now);
        let before = self.clocks.replace((now, wall));
        if pause.is_some() {
            return pause;
        }
        let (then, wall_then) = before?;
        let elapsed = now.saturating_duration_since(then);
        let hidden = wall.saturating_sub(wall_then).saturating_sub(elapsed);
        if hidden <= self.spec.pause {
            return None;
        }
        Some(self.close(hidden, now))
    }

    /// Records a sync with a peer or the platform that began after the fence closed.
    pub fn synced(&mut self) {
        self.fence = Fence::Open;
    }

    /// Returns whether new work may be taken at `now`; a late call closes the fence itself.
    pub fn admits(&mut self, now: Instant) -> bool {
        self.tick(now);
        match self.fence {
            Fence::Open => true,
            Fence::Closed(since) => {
                let quiet = now.saturating_duration_since(since.max(self.reached));
                let closed = now.saturating_duration_since(since);
                quiet >= self.spec.isolated_timeout || closed >= self.spec.sync_timeout
            }
        }
    }

    /// Records an answer of a peer, after which a sync is worth waiting for.
    pub fn on_peer_reached(&mut self, now: Instant) {
        self.reached = now;
    }

    /// Returns the fence.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Takes the last pause, also one that [`admits`](Self::admits) detected.
    pub fn take_pause(&mut self) -> Option<Pause> {
        self.unseen.take()
    }

    /// Returns the number of pauses seen so far.
    pub fn pauses(&self) -> u64 {
        self.pauses
    }

    fn close(&mut self, length: Duration, now: Instant) -> Pause {
        self.fence = Fence::Closed(now);
        self.pauses += 1;
        let pause = Pause { length };
        self.unseen = Some(pause);
        pause
    }
}
