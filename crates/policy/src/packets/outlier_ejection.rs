//! Upstreams that refuse opening packets or leave them unanswered.

use super::entry::UpstreamId;
use std::{
    collections::HashMap,
    time::{
        Duration,
        Instant, //
    },
};

/// How long an upstream that refused an opening packet, or left it unanswered, gets no new flows while others can: the
/// platform takes the entry of a dead one away after about that time.
pub const EJECTION_MIN: Duration = Duration::from_secs(3);

/// Longest such time; it doubles each time that the upstream is found silent again.
pub const EJECTION_MAX: Duration = Duration::from_secs(12);

/// How long after its end a silence still counts as the one before the next.
const MEMORY: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
struct Silent {
    /// When the opening packet was forwarded that shows it.
    since: Instant,
    until: Instant,
    lasts: Duration,
}

/// Time within which a second refusal confirms the first one. Several users of one VM that open flows at the same time
/// look like a refusal until the upstream answers, which takes milliseconds.
const CONFIRMED_WITHIN: Duration = Duration::from_secs(1);

/// Upstreams that were silent of late.
#[derive(Clone, Debug, Default)]
pub struct OutlierEjection {
    silent: HashMap<UpstreamId, Silent>,
    /// When the opening packet was forwarded that seems to be refused.
    refused: HashMap<UpstreamId, Instant>,
}

impl OutlierEjection {
    /// Notes that an upstream seems to have refused an opening packet that was forwarded at `since`; returns whether it
    /// counts as silent now and did not before.
    pub fn record_refusal(&mut self, id: UpstreamId, since: Instant, now: Instant) -> bool {
        let last = self.refused.get(&id).copied();
        self.refused
            .insert(id, last.map_or(since, |at| at.max(since)));
        // What another daemon saw earlier may come later.
        let is_confirmed = last.is_some_and(|at| {
            let apart = since.max(at) - since.min(at);
            !apart.is_zero() && apart < CONFIRMED_WITHIN
        });
        is_confirmed && self.record(id, since, now)
    }

    /// Notes that an upstream left an opening packet unanswered that was forwarded at `since`; returns whether that is
    /// new.
    pub fn record(&mut self, id: UpstreamId, since: Instant, now: Instant) -> bool {
        let known = self.silent.get(&id).filter(|s| now < s.until + MEMORY);
        let lasts = match known {
            Some(silent) if now < silent.until => return false,
            Some(silent) => (silent.lasts * 2).min(EJECTION_MAX),
            None => EJECTION_MIN,
        };
        let silent = Silent {
            since,
            until: now + lasts,
            lasts,
        };
        self.silent.insert(id, silent);
        true
    }

    /// Notes that an upstream answered what was forwarded at `asked`, which ends its silence unless that was before it;
    /// returns whether it does.
    pub fn record_answer(&mut self, id: UpstreamId, asked: Instant) -> bool {
        if self.refused.get(&id).is_some_and(|since| asked >= *since) {
            self.refused.remove(&id);
        }
        match self.silent.get(&id) {
            Some(silent) if asked >= silent.since => self.silent.remove(&id).is_some(),
            _ => false,
        }
    }

    /// When the opening packet was forwarded that shows the silence of an upstream, while that lasts.
    pub fn since(&self, id: UpstreamId, now: Instant) -> Option<Instant> {
        let silent = self.silent.get(&id).filter(|s| now < s.until);
        silent.map(|s| s.since)
    }

    /// Whether an upstream was silent of late.
    pub fn is_silent(&self, id: UpstreamId, now: Instant) -> bool {
        self.silent.get(&id).is_some_and(|s| now < s.until)
    }

    /// Forgets what is over.
    pub fn evict(&mut self, now: Instant) {
        self.silent.retain(|_, s| now < s.until + MEMORY);
        self.refused
            .retain(|_, since| now < *since + CONFIRMED_WITHIN);
    }
}
