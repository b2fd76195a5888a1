//! Demand for news: when the store is read again.
//!
//! A watch answers at the first change, so a pause between two watches lets one call bring a series of changes. Each call
//! is paid for by the deployment, and the longest pause is bounded by the time in which a change is to be in force. A
//! packet that cannot be forwarded for want of knowledge ends the pause, and so does an answer that holds only part of
//! the changes. While early calls bring nothing of use, the gaps between them double up to the pause.

use super::{
    answer::Answer,
    entry::Change,
    packet::Label, //
};
use std::time::{
    Duration,
    Instant, //
};

/// Shortest time between an answer and an early call: half the time after which a caller repeats a lost packet.
pub const GAP: Duration = Duration::from_millis(100);

/// What a packet lacked that could not be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Missing {
    /// An upstream that can take a new flow.
    Upstream,
    /// The upstream of this label; most often it has ended, and no answer will bring it.
    Label(Label),
}

impl Missing {
    /// Whether a change brings it.
    pub fn is_in(self, change: &Change) -> bool {
        match (self, change) {
            (Self::Upstream, Change::Listed(..) | Change::Configured(_)) => true,
            (Self::Label(label), Change::Listed(id, _)) => id.label() == label,
            _ => false,
        }
    }
}

/// Decides when the store is called again.
#[derive(Clone, Copy, Debug)]
pub struct PollSchedule {
    pause: Duration,
    gap: Duration,
    /// Start of the last call, and its answer.
    last: Option<(Instant, Instant)>,
    is_part: bool,
    /// What was missing last since the last answer.
    missing: Option<Missing>,
}

impl PollSchedule {
    /// A pace that starts two calls `pause` apart unless knowledge is missing.
    pub fn new(pause: Duration) -> Self {
        Self {
            pause,
            gap: GAP,
            last: None,
            is_part: false,
            missing: None,
        }
    }

    /// Keeps another pause from now on.
    pub fn set_interval(&mut self, pause: Duration) {
        self.pause = pause;
    }

    /// Notes that a packet could not be forwarded for want of knowledge; returns whether the next call is earlier now.
    pub fn record_missing(&mut self, missing: Missing) -> bool {
        self.missing.replace(missing).is_none()
    }

    /// Notes an answer; `brings` tells whether it brings what was missing.
    pub fn record_answer(&mut self, answer: &Answer, brings: impl FnOnce(Missing) -> bool) {
        let missing = self.missing.take();
        let calm = self.last.map(|(began, _)| began + self.pause);
        let is_early = calm.is_some_and(|calm| answer.began < calm);
        if missing.is_none_or(brings) {
            self.gap = GAP;
        } else if is_early && answer.entries > 0 {
            self.gap = (self.gap * 2).min(self.pause.max(GAP));
        }
        self.last = Some((answer.began, answer.ended));
        self.is_part = !answer.is_whole();
    }

    /// When the store is to be called again; nothing before the first answer, when it is to be called at once.
    pub fn due(&self) -> Option<Instant> {
        let (began, ended) = self.last.filter(|_| !self.is_part)?;
        let calm = began + self.pause;
        Some(match self.missing {
            Some(_) => calm.min(ended + self.gap),
            None => calm,
        })
    }
}
