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
    outlier_ejection::OutlierEjection,
};
use rand::Rng;
use std::{
    net::SocketAddrV4,
    time::Instant, //
};

/// Requests in progress per slot by which an upstream of the daemon's own zone may exceed another zone's: a way to
/// another zone takes longer, is paid for and may be cut, so it is for times when the own zone's slots are taken.
const REMOTE_PENALTY: f64 = 0.75;

/// Requests in progress per slot that an upstream counts as having where all openings fail. The share counts by its
/// square, so that a few failures weigh little and three fifths outweigh the way to another zone.
const DOUBT_PENALTY: f64 = 2.2;

/// Largest random part of a score, which spreads flows over upstreams that are alike.
const SPREAD: f64 = 0.02;

/// How an upstream stands as the target of a new flow; the least one is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Nothing speaks against it.
    Good,
    /// It left an opening packet unanswered of late.
    Silent,
    /// It left the opening packet of this very flow unanswered.
    Tried,
}

/// The upstream that was chosen, and what decided it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The upstream.
    pub id: UpstreamId,
    /// Its address.
    pub to: SocketAddrV4,
    /// How it stands.
    pub standing: Standing,
    /// Requests in progress there, as far as they are seen here.
    pub in_progress: usize,
    /// Whether it is in another zone.
    pub is_remote: bool,
    /// Share of the last openings in its zone that failed.
    pub zone_failure_rate: f64,
    /// Upstreams that could have been chosen.
    pub candidates: usize,
}

/// What a choice is made from.
#[derive(Clone, Copy, Debug)]
pub struct Chooser<'c> {
    /// Zone of this daemon.
    pub zone: &'c str,
    /// Upstreams and zones.
    pub directory: &'c Directory,
    /// Flows and their requests.
    pub flows: &'c Flows,
    /// Upstreams that were silent.
    pub ejection: &'c OutlierEjection,
    /// Zones in which openings fail.
    pub failure: &'c CorrelatedFailure,
}

impl Chooser<'_> {
    /// Chooses an upstream of a service for a flow whose opening packet went to those that were `tried`.
    pub fn choose(
        &self,
        service: &str,
        tried: &Attempts,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Option<Choice> {
        let mut best: Option<((Standing, f64), Choice)> = None;
        let mut candidates = 0;
        let failure_rates = self.failure.failure_rates(service, now);
        for id in self.directory.of_service(service) {
            let Some(known) = self.directory.get(*id) else {
                continue;
            };
            if !self.is_usable(*id, known, now) {
                continue;
            }
            candidates += 1;
            let choice = Choice {
                zone_failure_rate: failure_rates.of(&known.upstream.zone),
                ..self.weigh(*id, known, tried, now)
            };
            let score = score(&choice, known) + rng.random::<f64>() * SPREAD;
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
        id: UpstreamId,
        known: &TrackedUpstream,
        tried: &Attempts,
        now: Instant,
    ) -> Choice {
        let standing = if tried.iter().any(|t| t.upstream == id) {
            Standing::Tried
        } else if self.ejection.is_silent(id, now) {
            Standing::Silent
        } else {
            Standing::Good
        };
        Choice {
            id,
            to: known.upstream.address,
            standing,
            in_progress: self.flows.in_progress(id, now),
            is_remote: *known.upstream.zone != *self.zone,
            zone_failure_rate: 0.0,
            candidates: 0,
        }
    }

    /// Whether an upstream takes new flows at all.
    ///
    /// Of two upstreams that share a label only the first one does, since a label names one upstream.
    fn is_usable(&self, id: UpstreamId, known: &TrackedUpstream, now: Instant) -> bool {
        let zone = &known.upstream.zone;
        let cold = known.is_cold(now) || self.directory.has_returned(zone, now);
        let first = self.directory.with_label(id.label()).first() == Some(&id);
        known.is_serving(now) && !cold && !self.directory.is_out(zone) && first
    }
}

fn score(choice: &Choice, known: &TrackedUpstream) -> f64 {
    let load = choice.in_progress as f64 / f64::from(known.upstream.slots);
    let load = load + choice.zone_failure_rate.powi(2) * DOUBT_PENALTY;
    match choice.is_remote {
        true => load + REMOTE_PENALTY,
        false => load,
    }
}
