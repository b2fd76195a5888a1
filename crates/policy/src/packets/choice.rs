//! Choice of an upstream for a new flow.

use super::{
    correlated_failure::CorrelatedFailure,
    directory::{
        Directory,
        TrackedUpstream, //
    },
    entry::UpstreamId,
    flows::Flows,
    openings::Attempts,
    outlier_ejection::{
        EjectionState,
        OutlierEjection, //
    },
    packet::Label,
    subset::Position, //
};
use rand::Rng;
use std::{
    net::SocketAddrV4,
    time::Instant, //
};

/// Penalty for an upstream in another zone, in requests in progress per slot. Traffic to another zone is slower, costs
/// money and may be cut off, so another zone is meant for times when the slots of the own zone are in use.
const REMOTE_PENALTY: f64 = 0.75;

/// Penalty for an upstream in a zone where all openings fail, in requests in progress per slot. It is multiplied by the
/// square of the failure rate, so that a few failures have little effect and a rate of three fifths outweighs
/// [`REMOTE_PENALTY`].
const FAILURE_PENALTY: f64 = 2.2;

/// Penalty for an upstream that other daemons prefer, in requests per slot: their requests in progress are known only on
/// average.
const FOREIGN_PENALTY: f64 = 0.5;

/// Further penalty for an upstream outside of the preferred zone while the service is busy, in requests per slot.
const BUSY_REMOTE_PENALTY: f64 = 2.0;

/// Smallest part of an upstream that makes it this daemon's own: a smaller one would rarely be chosen.
const PART_MIN: f64 = 0.1;

/// Upper bound of the random part of a score, which spreads flows over equivalent upstreams.
const JITTER: f64 = 0.02;

/// Eligibility of an upstream for a new flow; the least value is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// No reason against the upstream is known.
    Good,
    /// The upstream was silent, and may have started again and be cold.
    OnProbation,
    /// The upstream recently left an opening packet unanswered.
    Silent,
    /// The upstream left an opening packet of this flow unanswered.
    Tried,
}

/// Chosen upstream, with the values that the choice was based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Address of the upstream.
    pub to: SocketAddrV4,
    /// Label that the packets of the flow carry.
    pub label: Label,
    /// Eligibility of the upstream.
    pub standing: Standing,
    /// Number of requests in progress at the upstream, counting only those that this daemon forwarded.
    pub in_progress: usize,
    /// Whether the upstream is in another zone.
    pub is_remote: bool,
    /// Whether the upstream's entry is to be written again, because the restored store has lost it.
    pub awaits_write: bool,
    /// Share of recent openings in the upstream's zone that failed.
    pub zone_failure_rate: f64,
    /// Number of usable upstreams.
    pub candidates: usize,
}

/// Load of a service whose upstreams are divided among the daemons of the zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Busy {
    /// Requests per slot, on average.
    pub utilization: f64,
    /// Position of this daemon.
    pub position: Position,
}

/// Inputs of a choice.
#[derive(Clone, Copy, Debug)]
pub struct Chooser<'c> {
    /// Zone of this daemon.
    pub zone: &'c str,
    /// Zone whose upstreams are preferred.
    pub preferred: &'c str,
    /// Load of the service in the own zone, if it is so high that the upstreams are divided among the daemons.
    pub busy: Option<Busy>,
    /// Known upstreams and zones.
    pub directory: &'c Directory,
    /// Open flows and their requests.
    pub flows: &'c Flows,
    /// Ejected upstreams.
    pub ejection: &'c OutlierEjection,
    /// Failure rates of zones.
    pub failure: &'c CorrelatedFailure,
}

impl Chooser<'_> {
    /// Chooses an upstream of a service for a new flow; `tried` are earlier openings of the caller without an answer.
    pub fn choose(
        &self,
        service: &str,
        tried: &Attempts,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Option<Choice> {
        let mut best: Option<((Standing, f64), Choice)> = None;
        let mut candidates = 0;
        let mut local = Local::new(self, service, now);
        let failure_rates = self.failure.failure_rates(service, now);
        for id in self.directory.of_service(service) {
            let Some(known) = self.directory.get(*id) else {
                continue;
            };
            let Some(label) = self.directory.label_of(*id) else {
                continue;
            };
            if !self.directory.accepts_flows(known, now) {
                continue;
            }
            candidates += 1;
            let choice = Choice {
                zone_failure_rate: failure_rates.of(&known.upstream.zone),
                ..self.weigh((*id, label), known, tried, now)
            };
            let score = self.score(&choice, known, local.next_part(self.zone, known), now);
            let score = score + rng.random::<f64>() * JITTER;
            let rank = (choice.standing, score);
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                best = Some((rank, choice));
            }
        }
        best.map(|(_, choice)| Choice {
            candidates,
            ..choice
        })
    }

    fn weigh(
        &self,
        (id, label): (UpstreamId, Label),
        known: &TrackedUpstream,
        tried: &Attempts,
        now: Instant,
    ) -> Choice {
        let standing = match self.ejection.state(id, self.directory.as_of(), now) {
            _ if tried.iter().any(|t| t.upstream == id) => Standing::Tried,
            EjectionState::Ejected => Standing::Silent,
            EjectionState::OnProbation => Standing::OnProbation,
            EjectionState::ProbeDue | EjectionState::Clear => Standing::Good,
        };
        Choice {
            id,
            to: known.upstream.address,
            label,
            standing,
            in_progress: self.flows.in_progress(id, now),
            is_remote: *known.upstream.zone != *self.zone,
            awaits_write: known.awaits_write,
            zone_failure_rate: 0.0,
            candidates: 0,
        }
    }

    /// Load of an upstream in requests per slot, with penalties; `part` of it belongs to this daemon, if the upstreams of
    /// its zone are divided among the daemons.
    fn score(
        &self,
        choice: &Choice,
        known: &TrackedUpstream,
        part: Option<f64>,
        now: Instant,
    ) -> f64 {
        let slots = f64::from(known.upstream.slots);
        let load = match (self.busy, part) {
            (Some(_), Some(part)) if part >= PART_MIN => {
                self.flows.outstanding(choice.id, now) as f64 / (slots * part)
            }
            (Some(busy), Some(_)) => {
                let own = self.flows.outstanding(choice.id, now) as f64 / slots;
                busy.utilization.max(own) + own + FOREIGN_PENALTY
            }
            // How much leaves a busy zone is decided for all its flows together, not by this comparison.
            (Some(busy), None) if *known.upstream.zone != *self.preferred => {
                busy.utilization + choice.in_progress as f64 / slots + BUSY_REMOTE_PENALTY
            }
            _ => choice.in_progress as f64 / slots,
        };
        let load = load + choice.zone_failure_rate.powi(2) * FAILURE_PENALTY;
        match *known.upstream.zone == *self.preferred {
            true => load,
            false => load + REMOTE_PENALTY,
        }
    }
}

/// Counts through the usable upstreams of the own zone, which are divided among its daemons.
struct Local {
    position: Option<Position>,
    upstreams: usize,
    next: usize,
}

impl Local {
    fn new(chooser: &Chooser<'_>, service: &str, now: Instant) -> Self {
        let position = chooser.busy.map(|busy| busy.position);
        let is_local = |known: &TrackedUpstream| {
            *known.upstream.zone == *chooser.zone && chooser.directory.accepts_flows(known, now)
        };
        let ids = chooser.directory.of_service(service).iter();
        let upstreams = match position {
            Some(_) => ids
                .filter_map(|id| chooser.directory.get(*id))
                .filter(|known| is_local(known))
                .count(),
            None => 0,
        };
        Self {
            position,
            upstreams,
            next: 0,
        }
    }

    /// Part of the next usable upstream that belongs to this daemon; `None` if the upstreams are not divided.
    fn next_part(&mut self, zone: &str, known: &TrackedUpstream) -> Option<f64> {
        let position = self.position.filter(|_| *known.upstream.zone == *zone)?;
        let part = position.part_of(self.next, self.upstreams);
        self.next += 1;
        Some(part)
    }
}
