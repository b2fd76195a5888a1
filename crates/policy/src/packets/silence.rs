//! Upstreams that refuse opening packets or leave them unanswered.

use super::entry::UpstreamId;
use std::{
    collections::HashMap,
    time::{
        Duration,
        Instant, //
    },
};

/// How long an upstream that refused an opening packet, or left it unanswered, gets no new flows while others can: the platform takes
/// the entry of a dead one away after about that time.
pub const SILENCE: Duration = Duration::from_secs(3);

/// Upstreams that were silent of late.
#[derive(Clone, Debug, Default)]
pub struct Silence {
    until: HashMap<UpstreamId, Instant>,
}

impl Silence {
    /// Notes that an upstream refused an opening packet or left it unanswered; returns whether that is new.
    pub fn note(&mut self, id: UpstreamId, now: Instant) -> bool {
        let known = self.until.insert(id, now + SILENCE);
        known.is_none_or(|until| now >= until)
    }

    /// Notes that an upstream answered; returns whether it was silent before.
    pub fn answered(&mut self, id: UpstreamId) -> bool {
        self.until.remove(&id).is_some()
    }

    /// Whether an upstream was silent of late.
    pub fn is_silent(&self, id: UpstreamId, now: Instant) -> bool {
        self.until.get(&id).is_some_and(|until| now < *until)
    }

    /// Forgets what is over.
    pub fn forget(&mut self, now: Instant) {
        self.until.retain(|_, until| now < *until);
    }
}
