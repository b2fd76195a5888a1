//! Distinguishes broken flows from flows that ended because their availability zone was out of service.

use crate::{
    caller::Move,
    feed::{
        Break,
        FeedStats,
        Reason,
        Step, //
    },
    load::Sample, //
};
use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

/// Time after an upstream serves again within which a caller may still notice that its flow had moved away.
const MOVE_GRACE: Duration = Duration::from_secs(5);
/// Time within which a changed document must be in force on all daemons, by the specification.
const CHANGE_DEADLINE: Duration = Duration::from_secs(5);

/// A period in which an availability zone was out of service for one service.
#[derive(Clone, Debug)]
pub struct Outage {
    /// Name of the availability zone.
    pub zone: String,
    /// Name of the service.
    pub service: String,
    /// Time at which the zone was taken out of service.
    pub began: Instant,
    /// Time at which the zone returned to service, if it did.
    pub ended: Option<Instant>,
}

/// A period in which an upstream was leaving or failing.
#[derive(Clone, Debug)]
pub struct Departure {
    /// Name of the upstream.
    pub upstream: String,
    /// Time at which the upstream began to leave or to fail.
    pub began: Instant,
    /// Time at which the upstream served again, if it did.
    pub ended: Option<Instant>,
}

/// Service and availability zone of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Service that the upstream belongs to.
    pub service: String,
    /// Availability zone that the upstream is in.
    pub zone: String,
}

/// A flow that broke.
#[derive(Clone, Debug)]
pub struct BrokenFlow {
    /// Cause, as reports show it.
    pub cause: &'static str,
    /// Name of the upstream that had served the flow.
    pub upstream: String,
    /// Time of the break, as far as it is known.
    pub at: Option<Instant>,
    /// What the caller of a feed sent and received since the last notification.
    pub trail: Vec<(Instant, Step)>,
}

/// Ends of flows, divided into broken and accepted ones.
#[derive(Clone, Debug, Default)]
pub struct Breaks {
    places: HashMap<String, Place>,
    outages: Vec<Outage>,
    departures: Vec<Departure>,
    /// Flows that broke.
    pub broken: Vec<BrokenFlow>,
    /// Number of flows that ended with their zone, which the specification allows.
    pub accepted: usize,
}

impl Breaks {
    /// Starts without any ends of flows; `places` is keyed by the names of the upstreams.
    pub fn new(
        places: HashMap<String, Place>,
        outages: Vec<Outage>,
        departures: Vec<Departure>,
    ) -> Self {
        Breaks {
            places,
            outages,
            departures,
            ..Breaks::default()
        }
    }

    /// Adds outages as daemons observed them: each begins and ends when the daemon itself applies the edit.
    ///
    /// An outage without an edit that ordered it, or past the time in which the edit must be in force, is ignored.
    pub fn add_observed_outages(&mut self, seen: Vec<Outage>) {
        let ordered = self.outages.clone();
        let was_ordered = |one: &Outage| {
            ordered.iter().any(|outage| {
                let same = outage.zone == one.zone && outage.service == one.service;
                let in_time = outage
                    .ended
                    .is_none_or(|ended| one.began <= ended + CHANGE_DEADLINE);
                same && outage.began <= one.began && in_time
            })
        };
        self.outages.extend(seen.into_iter().filter(was_ordered));
    }

    /// Counts the broken flows by cause.
    pub fn causes(&self) -> BTreeMap<&'static str, usize> {
        let mut causes = BTreeMap::new();
        for flow in &self.broken {
            *causes.entry(flow.cause).or_default() += 1;
        }
        causes
    }

    /// Records the end of a feed as broken or accepted.
    pub fn add_feed(&mut self, end: &Break) {
        let cause = match end.reason {
            Reason::FlowRetired => "feed given up",
            Reason::Silent => "feed silent",
        };
        let accepted = self.ended_with_zone(&end.upstream, end.last_received, end.at);
        self.add(accepted, cause, &end.upstream, end.at);
        if let Some(flow) = self.broken.last_mut().filter(|_| !accepted) {
            flow.trail.clone_from(&end.trail);
        }
    }

    /// Records as broken a feed that receives no further notification at the end of a run.
    pub fn add_silent_feed(&mut self, feed: &FeedStats) {
        let upstream = feed.upstream.as_deref().unwrap_or_default();
        let at = feed.last_received.unwrap_or_else(Instant::now);
        self.add(false, "feed silent at the end", upstream, at);
    }

    /// Records the end of a flow as broken or accepted, if the request ended one.
    pub fn add_request(&mut self, sample: &Sample) {
        if sample.outcome != "given up" {
            return;
        }
        let upstream = sample.upstream.as_deref().unwrap_or_default();
        let at = sample.began + sample.took;
        let last_received = sample.last_received.unwrap_or(sample.began);
        let accepted = self.ended_with_zone(upstream, last_received, at);
        self.add(accepted, "flow given up", upstream, at);
    }

    /// Records a move as a broken flow, unless the former upstream was leaving or failing.
    pub fn add_move(&mut self, change: &Move) {
        let off = |one: &Departure| {
            let open = one.ended.is_none_or(|ended| change.at < ended + MOVE_GRACE);
            one.upstream == change.from && one.began <= change.at && open
        };
        if !self.departures.iter().any(off) {
            let cause = "flow moved off an upstream that serves";
            self.add(false, cause, &change.from, change.at);
        }
    }

    fn add(&mut self, accepted: bool, cause: &'static str, upstream: &str, at: Instant) {
        if accepted {
            self.accepted += 1;
            return;
        }
        self.broken.push(BrokenFlow {
            cause,
            upstream: upstream.to_owned(),
            at: Some(at),
            trail: Vec::new(),
        });
    }

    /// Returns whether the upstream's zone was out between the flow's last answer and its end.
    fn ended_with_zone(&self, upstream: &str, last_received: Instant, at: Instant) -> bool {
        let place = self.places.get(upstream);
        self.outages.iter().any(|outage| {
            // The upstream is unknown when the flow ended before its first answer; any outage then matches.
            let same = place
                .is_none_or(|place| outage.zone == place.zone && outage.service == place.service);
            let before = outage.ended.is_none_or(|ended| last_received < ended);
            same && outage.began <= at && before
        })
    }
}
