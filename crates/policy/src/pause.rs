//! Detection of pauses of this process, and the fence that closes after a pause.
//!
//! A process that was paused resumes with an outdated view of the fleet. It accepts no new work
//! until it has synced with a peer or the platform. The timeouts of the fence let a daemon that is
//! cut off from all others serve its own zone.

use std::time::{
    Duration,
    Instant, //
};

/// Settings of the pause detector.
#[derive(Clone, Copy, Debug)]
pub struct PauseSpec {
    /// Time between two ticks above which the process is considered to have been paused.
    pub pause: Duration,
    /// Time without an answer from any peer after which a fenced daemon accepts work again.
    pub isolated_timeout: Duration,
    /// Time after which a fenced daemon accepts work again even though no sync has completed.
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

/// Whether new work may be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fence {
    /// New work is accepted.
    Open,
    /// No new work is accepted since this time.
    Closed(Instant),
}

/// A detected pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pause {
    /// Time for which the process did not run.
    pub length: Duration,
}

/// Detects pauses from late ticks, and holds the fence.
#[derive(Debug)]
pub struct PauseDetector {
    spec: PauseSpec,
    last_tick: Instant,
    /// Monotonic and wall time at the last comparison of both clocks.
    clocks: Option<(Instant, Duration)>,
    fence: Fence,
    /// Time of the last answer of any peer.
    last_answer: Instant,
    pauses: u64,
    unreported: Option<Pause>,
}

impl PauseDetector {
    /// Creates a detector whose fence is closed until the first sync, like after a pause.
    pub fn new(spec: PauseSpec, now: Instant) -> Self {
        Self {
            spec,
            last_tick: now,
            clocks: None,
            fence: Fence::Closed(now),
            last_answer: now,
            pauses: 0,
            unreported: None,
        }
    }

    /// Records that the process ran at `now`, and returns the pause that ended, if any.
    ///
    /// To be called periodically and before new work is accepted.
    pub fn tick(&mut self, now: Instant) -> Option<Pause> {
        let length = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if length <= self.spec.pause {
            return None;
        }
        Some(self.close_fence(length, now))
    }

    /// Like [`tick`](Self::tick), but also compares the wall clock (time since the Unix epoch).
    ///
    /// The monotonic clock does not advance while a VM is suspended; the wall clock does.
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
        Some(self.close_fence(hidden, now))
    }

    /// Records a sync with a peer or the platform that began after the fence closed.
    pub fn synced(&mut self) {
        self.fence = Fence::Open;
    }

    /// Returns whether new work may be accepted at `now`. The call is a tick itself, so that a late
    /// one closes the fence.
    pub fn admits(&mut self, now: Instant) -> bool {
        self.tick(now);
        match self.fence {
            Fence::Open => true,
            Fence::Closed(since) => {
                let isolated = now.saturating_duration_since(since.max(self.last_answer));
                let closed = now.saturating_duration_since(since);
                isolated >= self.spec.isolated_timeout || closed >= self.spec.sync_timeout
            }
        }
    }

    /// Records an answer of a peer. It shows that a sync is possible, so the isolated
    /// timeout restarts.
    pub fn on_peer_reached(&mut self, now: Instant) {
        self.last_answer = now;
    }

    /// Returns the state of the fence.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Returns the last pause once, including one that [`admits`](Self::admits) detected.
    pub fn take_pause(&mut self) -> Option<Pause> {
        self.unreported.take()
    }

    /// Returns the number of pauses detected so far.
    pub fn pauses(&self) -> u64 {
        self.pauses
    }

    fn close_fence(&mut self, length: Duration, now: Instant) -> Pause {
        self.fence = Fence::Closed(now);
        self.pauses += 1;
        let pause = Pause { length };
        self.unreported = Some(pause);
        pause
    }
}
