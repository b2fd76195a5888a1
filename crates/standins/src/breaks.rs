//! Tells flows that broke from flows that ended with their availability zone.

use crate::{
    caller::Move,
    feed::{
        Break,
        FeedStats,
        Reason, //
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

/// Time after an upstream serves again within which a caller may first hear of a move.
const MOVE_WITHIN: Duration = Duration::from_secs(5);
/// Time in which an edit of a document is in force everywhere, which the brief names.
const IN_FORCE: Duration = Duration::from_secs(5);

/// A time in which an availability zone was out of service for some service.
#[derive(Clone, Debug)]
pub struct Outage {
    /// The zone.
    pub zone: String,
    /// The service.
    pub service: String,
    /// When it was taken out.
    pub began: Instant,
    /// When it was taken in again, if it was.
    pub ended: Option<Instant>,
}

/// A time in which an upstream was leaving or failing.
#[derive(Clone, Debug)]
pub struct Departure {
    /// The upstream.
    pub upstream: String,
    /// When it began.
    pub began: Instant,
    /// When the upstream served again, if it did.
    pub ended: Option<Instant>,
}

/// Where an upstream belongs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its service.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
}

/// A flow that broke.
#[derive(Clone, Debug)]
pub struct BrokenFlow {
    /// Why.
    pub cause: &'static str,
    /// Upstream that it had reached.
    pub upstream: String,
    /// When, as far as it is known.
    pub at: Option<Instant>,
}

/// Ends of flows, sorted into broken and accepted ones.
#[derive(Clone, Debug, Default)]
pub struct Breaks {
    places: HashMap<String, Place>,
    outages: Vec<Outage>,
    departures: Vec<Departure>,
    /// Flows that broke.
    pub broken: Vec<BrokenFlow>,
    /// Flows that ended with their zone, as agreed.
    pub accepted: usize,
}

impl Breaks {
    /// Begins with the places of upstreams by their names, the outages of zones and the departures of upstreams.
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

    /// Adds times in which a daemon had a zone out of service: they begin and end with its own knowledge of the edits.
    ///
    /// Only those count that an edit called for, in the time that it may take to be in force.
    pub fn add_observed_outages(&mut self, seen: Vec<Outage>) {
        let ordered = self.outages.clone();
        let is_called_for = |one: &Outage| {
            ordered.iter().any(|outage| {
                let same = outage.zone == one.zone && outage.service == one.service;
                let in_time = outage
                    .ended
                    .is_none_or(|ended| one.began <= ended + IN_FORCE);
                same && outage.began <= one.began && in_time
            })
        };
        self.outages.extend(seen.into_iter().filter(is_called_for));
    }

    /// Counts the broken flows by cause.
    pub fn causes(&self) -> BTreeMap<&'static str, usize> {
        let mut causes = BTreeMap::new();
        for flow in &self.broken {
            *causes.entry(flow.cause).or_default() += 1;
        }
        causes
    }

    /// Sorts the end of a feed.
    pub fn add_feed(&mut self, end: &Break) {
        let cause = match end.reason {
            Reason::FlowRetired => "feed given up",
            Reason::Silent => "feed silent",
        };
        let accepted = self.went_with_zone(&end.upstream, end.last_received, end.at);
        self.add(accepted, cause, &end.upstream, end.at);
    }

    /// Adds a feed that has had no further notification at the end.
    pub fn add_silent_feed(&mut self, feed: &FeedStats) {
        let upstream = feed.upstream.as_deref().unwrap_or_default();
        let at = feed.last_received.unwrap_or_else(Instant::now);
        self.add(false, "feed silent at the end", upstream, at);
    }

    /// Sorts the end of a flow, if the request ended one.
    pub fn add_request(&mut self, sample: &Sample) {
        if sample.outcome != "given up" {
            return;
        }
        let upstream = sample.upstream.as_deref().unwrap_or_default();
        let at = sample.began + sample.took;
        let last_received = sample.last_received.unwrap_or(sample.began);
        let accepted = self.went_with_zone(upstream, last_received, at);
        self.add(accepted, "flow given up", upstream, at);
    }

    /// Sorts a move of a flow: one off an upstream that leaves or fails is no break.
    pub fn add_move(&mut self, change: &Move) {
        let off = |one: &Departure| {
            let open = one
                .ended
                .is_none_or(|ended| change.at < ended + MOVE_WITHIN);
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
        });
    }

    /// Returns whether the upstream's zone was out between the flow's last answer and its end.
    fn went_with_zone(&self, upstream: &str, last_received: Instant, at: Instant) -> bool {
        let place = self.places.get(upstream);
        self.outages.iter().any(|outage| {
            // A flow that ended before its first answer has not named its upstream.
            let same = place
                .is_none_or(|place| outage.zone == place.zone && outage.service == place.service);
            let before = outage.ended.is_none_or(|ended| last_received < ended);
            same && outage.began <= at && before
        })
    }
}
