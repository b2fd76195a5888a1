//! Results of a script so far.

use crate::{
    breaks::{
        Breaks,
        Departure,
        Outage,
        Place, //
    },
    caller::{
        Counts,
        Move, //
    },
    fleet::Fleet,
    load::{
        Results,
        Sample, //
    }, //
};
use std::{
    collections::HashMap,
    time::Instant, //
};

/// Samples, counters and events of a script so far.
#[derive(Default)]
pub(super) struct Tally {
    pub(super) samples: Vec<Sample>,
    pub(super) counts: Counts,
    pub(super) moves: Vec<Move>,
    pub(super) outages: Vec<Outage>,
    pub(super) departures: Vec<Departure>,
}

impl Tally {
    pub(super) fn add_results(&mut self, results: Results) {
        self.samples.extend(results.samples);
        self.counts += results.counts;
        self.moves.extend(results.moves);
    }

    pub(super) fn zone_out(&mut self, service: &str, zone: &str) {
        self.outages.push(Outage {
            zone: zone.into(),
            service: service.into(),
            began: Instant::now(),
            ended: None,
        });
    }

    pub(super) fn zone_in(&mut self, service: &str, zone: &str) {
        let open =
            |one: &&mut Outage| one.zone == zone && one.service == service && one.ended.is_none();
        if let Some(outage) = self.outages.iter_mut().find(open) {
            outage.ended = Some(Instant::now());
        }
    }

    pub(super) fn record_departure(&mut self, upstream: &str) {
        self.departures.push(Departure {
            upstream: upstream.into(),
            began: Instant::now(),
            ended: None,
        });
    }

    pub(super) fn record_return(&mut self, upstream: &str) {
        let open = |one: &&mut Departure| one.upstream == upstream && one.ended.is_none();
        for departure in self.departures.iter_mut().filter(open) {
            departure.ended = Some(Instant::now());
        }
    }

    /// Classifies the ends of flows of requests; the calling function adds those of feeds.
    pub(super) fn breaks(&self, fleet: &Fleet) -> Breaks {
        let place = |one: &crate::upstream::Upstream| Place {
            service: one.service(),
            zone: one.zone(),
        };
        let upstreams = fleet.upstreams().iter();
        let places: HashMap<_, _> = upstreams.map(|one| (one.name(), place(one))).collect();
        let mut breaks = Breaks::new(places, self.outages.clone(), self.departures.clone());
        self.samples.iter().for_each(|one| breaks.add_request(one));
        self.moves.iter().for_each(|one| breaks.add_move(one));
        breaks
    }

    /// Counts the requests with an outcome.
    pub(super) fn outcomes(&self, name: &str) -> usize {
        let named = self.samples.iter().filter(|one| one.outcome == name);
        named.count()
    }

    /// Counts the POSTs that ran at an upstream although they were refused as not run.
    pub(super) fn refused_but_ran(&self, fleet: &Fleet) -> usize {
        let refused = self.samples.iter().filter(|one| one.outcome == "not run");
        let posts = refused.filter_map(|one| one.post.as_deref());
        posts.filter(|id| runs(fleet, id) > 0).count()
    }
}

/// Returns the number of runs of a POST at all upstreams.
pub(super) fn runs(fleet: &Fleet, id: &str) -> u32 {
    fleet.upstreams().iter().map(|one| one.runs(id)).sum()
}
