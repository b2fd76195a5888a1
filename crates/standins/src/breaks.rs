//! Tells flows that broke from flows that ended with their availability zone.

use crate::{
    feed::{
        Break,
        Reason, //
    },
    load::Sample, //
};
use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::Instant, //
};

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
    /// Flows that broke.
    pub broken: Vec<BrokenFlow>,
    /// Flows that ended with their zone, as agreed.
    pub accepted: usize,
}

impl Breaks {
    /// Begins with the places of upstreams by their names, and the outages of zones.
    pub fn new(places: HashMap<String, Place>, outages: Vec<Outage>) -> Self {
        Breaks {
            places,
            outages,
            ..Breaks::default()
        }
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
        let (may_end, cause) = match end.reason {
            Reason::GivenUp => (true, "feed given up"),
            Reason::Silent => (true, "feed silent"),
            Reason::Moved => (false, "feed moved to another upstream"),
        };
        let accepted = may_end && self.went_with_zone(&end.upstream, end.heard, end.at);
        self.add(accepted, cause, &end.upstream, end.at);
    }

    /// Sorts the end of a flow, if the request ended one.
    pub fn add_request(&mut self, sample: &Sample) {
        if sample.outcome != "given up" {
            return;
        }
        let upstream = sample.upstream.as_deref().unwrap_or_default();
        let at = sample.began + sample.took;
        let heard = sample.heard.unwrap_or(sample.began);
        let accepted = self.went_with_zone(upstream, heard, at);
        self.add(accepted, "flow given up", upstream, at);
    }

    /// Adds flows that were answered by another upstream than their own.
    pub fn add_moved(&mut self, count: u64) {
        for _ in 0..count {
            self.broken.push(BrokenFlow {
                cause: "flow moved to another upstream",
                upstream: String::new(),
                at: None,
            });
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
    fn went_with_zone(&self, upstream: &str, heard: Instant, at: Instant) -> bool {
        let Some(place) = self.places.get(upstream) else {
            return false;
        };
        self.outages.iter().any(|outage| {
            let same = outage.zone == place.zone && outage.service == place.service;
            let before = outage.ended.is_none_or(|ended| heard < ended);
            same && outage.began <= at && before
        })
    }
}
