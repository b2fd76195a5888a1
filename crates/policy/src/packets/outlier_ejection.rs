//! Outlier ejection: an upstream that refuses opening packets or leaves them unanswered is considered silent and gets
//! no new flows for a while, unless no other upstream can take them.
//!
//! An upstream that was silent may have started again and be cold. Its entry shows that, so it is on probation until the
//! directory is known to be complete as of a time after the silence. In an outage of the store, the daemons of a zone
//! send one opening each, one after the other, and use the upstream again once it has answered for the length of a
//! warm-up.

use super::{
    entry::UpstreamId,
    subset::Position, //
};
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

/// Shortest time in which a process ends and starts again; an answer that comes sooner shows that it lives on.
const RESTART_MIN: Duration = Duration::from_millis(500);

/// Time after which an upstream that answers is warm, whenever it started.
pub const WARMUP_MAX: Duration = Duration::from_secs(10);

/// Interval between the probes of an upstream by the daemons of a zone, so that a cold one stays within the number of
/// openings that it may get.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Ejection {
    /// When the opening packet that caused the ejection was forwarded.
    since: Instant,
    until: Instant,
    duration: Duration,
    probe: Probe,
}

impl Ejection {
    /// Whether the upstream may have started again since the directory was last complete.
    fn is_on_probation(&self, as_of: Option<Instant>, now: Instant) -> bool {
        let is_warm = match self.probe {
            Probe::Answered(at) => now >= at + WARMUP_MAX,
            Probe::Due(_) | Probe::Sent => false,
        };
        now >= self.until && !is_warm && as_of.is_none_or(|at| at < self.until)
    }
}

/// Opening by which a daemon learns whether an upstream on probation answers again.
#[derive(Clone, Copy, Debug)]
enum Probe {
    /// May be sent from this time on.
    Due(Instant),
    /// Was sent and is not answered.
    Sent,
    /// The upstream answered an opening at this time.
    Answered(Instant),
}

/// Whether an upstream may get new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionState {
    /// No recent silence is known, or the upstream is known not to be cold.
    Clear,
    /// The upstream was silent and may have started again since; one opening is due to find out whether it answers.
    ProbeDue,
    /// The upstream was silent and may have started again since.
    OnProbation,
    /// The upstream is silent.
    Ejected,
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
    /// Position of this daemon in its zone, which determines the order of the probes.
    position: Position,
}

impl OutlierEjection {
    /// Sets the position among the live daemons of the zone.
    pub fn set_position(&mut self, position: Position) {
        self.position = position;
    }

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
        let known = self.silent.get(&id).filter(|s| match s.probe {
            Probe::Due(_) => now < s.until + BACKOFF_RESET,
            Probe::Sent => true,
            Probe::Answered(_) => false,
        });
        let duration = match known {
            Some(silent) if now < silent.until => return false,
            Some(silent) => (silent.duration * 2).min(EJECTION_MAX),
            None => EJECTION_MIN,
        };
        let until = now + duration;
        let turn = u32::try_from(self.position.index).unwrap_or(u32::MAX);
        let silent = Ejection {
            since,
            until,
            duration,
            probe: Probe::Due(until + PROBE_INTERVAL.saturating_mul(turn)),
        };
        self.silent.insert(id, silent);
        true
    }

    /// Records that an upstream answered a packet that was forwarded at `asked`, of a flow that was seen since
    /// `flow_since`.
    ///
    /// Ends the ejection unless that packet is older than the unanswered one; returns whether it does. If the upstream may
    /// have started again in between, it is on probation.
    pub fn record_answer(
        &mut self,
        id: UpstreamId,
        asked: Instant,
        flow_since: Instant,
        now: Instant,
    ) -> bool {
        if self.refused.get(&id).is_some_and(|since| asked >= *since) {
            self.refused.remove(&id);
        }
        let Some(silent) = self.silent.get_mut(&id).filter(|s| asked >= s.since) else {
            return false;
        };
        // A process that has started again does not know the flows of before.
        if flow_since < silent.since || now < silent.since + RESTART_MIN {
            self.silent.remove(&id);
            return true;
        }
        if let Probe::Answered(_) = silent.probe {
            return false;
        }
        silent.until = silent.until.min(now);
        silent.probe = Probe::Answered(now);
        true
    }

    /// Records that an opening is forwarded to an upstream; returns whether it is the first one after an ejection.
    pub fn record_opening(&mut self, id: UpstreamId, now: Instant) -> bool {
        let silent = self.silent.get_mut(&id).filter(|s| now >= s.until);
        match silent.map(|s| &mut s.probe) {
            Some(probe @ Probe::Due(_)) => {
                *probe = Probe::Sent;
                true
            }
            _ => false,
        }
    }

    /// Whether an upstream may get new flows, by a directory that is complete as of `as_of`.
    pub fn state(&self, id: UpstreamId, as_of: Option<Instant>, now: Instant) -> EjectionState {
        match self.silent.get(&id) {
            None => EjectionState::Clear,
            Some(silent) if now < silent.until => EjectionState::Ejected,
            Some(silent) if !silent.is_on_probation(as_of, now) => EjectionState::Clear,
            Some(silent) => match silent.probe {
                Probe::Due(at) if now >= at => EjectionState::ProbeDue,
                _ => EjectionState::OnProbation,
            },
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

    /// Evicts refusals and ejections that have no effect any more, by a directory that is complete as of `as_of`.
    pub fn evict(&mut self, as_of: Option<Instant>, now: Instant) {
        self.silent
            .retain(|_, s| now < s.until + BACKOFF_RESET || s.is_on_probation(as_of, now));
        self.refused
            .retain(|_, since| now < *since + CONFIRMED_WITHIN);
    }
}
