//! Outlier ejection: an upstream that refuses opening packets or leaves them unanswered is considered silent and gets
//! no new flows for a while, unless no other upstream can take them.

use super::entry::UpstreamId;
use std::{
    collections::HashMap,
    time::{
        Duration,
        Instant, //
    },
};

/// Duration of the first ejection: the platform removes the entry of a dead upstream after about this time.
pub const EJECTION_MIN: Duration = Duration::from_secs(3);

/// Longest ejection; the duration doubles each time the upstream is ejected again.
pub const EJECTION_MAX: Duration = Duration::from_secs(12);

/// Time after the end of an ejection until the duration of the next one starts at the minimum again.
const BACKOFF_RESET: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
struct Ejection {
    /// When the opening packet that caused the ejection was forwarded.
    since: Instant,
    until: Instant,
    duration: Duration,
}

/// Time within which a second refusal confirms the first one. A single one is not enough: several users of one VM that
/// open flows at the same time look like a refusal until the upstream answers, which takes milliseconds.
const CONFIRMED_WITHIN: Duration = Duration::from_secs(1);

/// Ejected upstreams, and those with a refusal that is not confirmed yet.
#[derive(Clone, Debug, Default)]
pub struct OutlierEjection {
    silent: HashMap<UpstreamId, Ejection>,
    /// When the last opening packet that seems to have been refused was forwarded.
    refused: HashMap<UpstreamId, Instant>,
}

impl OutlierEjection {
    /// Records that an upstream seems to have refused an opening packet that was forwarded at `since`.
    ///
    /// Returns whether this ejects the upstream.
    pub fn record_refusal(&mut self, id: UpstreamId, since: Instant, now: Instant) -> bool {
        let last = self.refused.get(&id).copied();
        self.refused
            .insert(id, last.map_or(since, |at| at.max(since)));
        // Reports of other daemons may arrive out of order.
        let is_confirmed = last.is_some_and(|at| {
            let apart = since.max(at) - since.min(at);
            !apart.is_zero() && apart < CONFIRMED_WITHIN
        });
        is_confirmed && self.record(id, since, now)
    }

    /// Ejects an upstream that left an opening packet unanswered, which was forwarded at `since`.
    ///
    /// Returns false if the upstream is ejected already.
    pub fn record(&mut self, id: UpstreamId, since: Instant, now: Instant) -> bool {
        let known = self
            .silent
            .get(&id)
            .filter(|s| now < s.until + BACKOFF_RESET);
        let duration = match known {
            Some(silent) if now < silent.until => return false,
            Some(silent) => (silent.duration * 2).min(EJECTION_MAX),
            None => EJECTION_MIN,
        };
        let silent = Ejection {
            since,
            until: now + duration,
            duration,
        };
        self.silent.insert(id, silent);
        true
    }

    /// Records that an upstream answered a packet that was forwarded at `asked`.
    ///
    /// Ends the ejection unless that packet is older than the unanswered one; returns whether it does.
    pub fn record_answer(&mut self, id: UpstreamId, asked: Instant) -> bool {
        if self.refused.get(&id).is_some_and(|since| asked >= *since) {
            self.refused.remove(&id);
        }
        match self.silent.get(&id) {
            Some(silent) if asked >= silent.since => self.silent.remove(&id).is_some(),
            _ => false,
        }
    }

    /// When the unanswered opening packet was forwarded, if the upstream is ejected.
    pub fn since(&self, id: UpstreamId, now: Instant) -> Option<Instant> {
        let silent = self.silent.get(&id).filter(|s| now < s.until);
        silent.map(|s| s.since)
    }

    /// Whether an upstream is ejected.
    pub fn is_silent(&self, id: UpstreamId, now: Instant) -> bool {
        self.silent.get(&id).is_some_and(|s| now < s.until)
    }

    /// Evicts expired ejections and refusals.
    pub fn evict(&mut self, now: Instant) {
        self.silent.retain(|_, s| now < s.until + BACKOFF_RESET);
        self.refused
            .retain(|_, since| now < *since + CONFIRMED_WITHIN);
    }
}
