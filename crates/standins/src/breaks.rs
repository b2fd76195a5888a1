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
    time::{
        Duration,
        Instant, //
    }, //
};

/// Time after a zone's return within which callers may still learn that their flow was given up.
const LATE_NEWS: Duration = Duration::from_secs(2);

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

/// Ends of flows, sorted into broken and accepted ones.
#[derive(Clone, Debug, Default)]
pub struct Breaks {
    places: HashMap<String, Place>,
    outages: Vec<Outage>,
    /// Flows that broke, by cause.
    pub broken: BTreeMap<&'static str, usize>,
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

    /// Returns the number of broken flows.
    pub fn count(&self) -> usize {
        self.broken.values().sum()
    }

    /// Sorts the end of a feed.
    pub fn add_feed(&mut self, end: &Break) {
        let (may_end, cause) = match end.reason {
            Reason::GivenUp => (true, "feed given up"),
            Reason::Silent => (true, "feed silent"),
            Reason::Moved => (false, "feed moved to another upstream"),
        };
        let accepted = may_end && self.went_with_zone(&end.upstream, end.at);
        self.add(accepted, cause);
    }

    /// Sorts the end of a flow, if the request ended one.
    pub fn add_request(&mut self, sample: &Sample) {
        if sample.outcome != "given up" {
            return;
        }
        let upstream = sample.upstream.as_deref().unwrap_or_default();
        let accepted = self.went_with_zone(upstream, sample.began + sample.took);
        self.add(accepted, "flow given up");
    }

    /// Adds flows that were answered by another upstream than their own.
    pub fn add_moved(&mut self, count: u64) {
        if count > 0 {
            *self
                .broken
                .entry("flow moved to another upstream")
                .or_default() += count as usize;
        }
    }

    fn add(&mut self, accepted: bool, cause: &'static str) {
        match accepted {
            true => self.accepted += 1,
            false => *self.broken.entry(cause).or_default() += 1,
        }
    }

    fn went_with_zone(&self, upstream: &str, at: Instant) -> bool {
        let Some(place) = self.places.get(upstream) else {
            return false;
        };
        self.outages.iter().any(|outage| {
            let open = outage.ended.is_none_or(|ended| at < ended + LATE_NEWS);
            let same = outage.zone == place.zone && outage.service == place.service;
            same && outage.began <= at && open
        })
    }
}
