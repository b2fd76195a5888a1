//! The guarantees that a run is checked against.

use crate::run::Record;
use foxtailhinge_standins::{
    breaks::{
        Breaks,
        Outage, //
    },
    load::Sample, //
};
use std::{
    collections::HashMap,
    time::Duration, //
};

/// Time after which no packet may reach a zone that was taken out.
const ZONE_QUIET_AFTER: Duration = Duration::from_secs(5);
/// Time before a daemon is killed in which its requests may be in flight, and so be lost with it.
const IN_FLIGHT: Duration = Duration::from_secs(1);

/// Figures that the guarantees limit.
pub(crate) struct Figures {
    /// Broken flows, and flows that ended with their zone.
    pub(crate) breaks: Breaks,
    /// Runs of POSTs beyond the first of each.
    pub(crate) runs_over_one: u32,
    /// POSTs that ran although they were refused as not run.
    pub(crate) refused_but_ran: usize,
    /// Requests and answers that reached a wrong service.
    pub(crate) wrong_service: u64,
    /// Answers that are incomplete or belong to another request.
    pub(crate) wrong_answer: u64,
    /// Kind, receiver and time of each packet that reached the zone later than `ZONE_QUIET_AFTER`.
    pub(crate) zone_packets: Vec<String>,
    /// Requests lost during the planned stop of a daemon.
    pub(crate) cut_by_stop: Vec<String>,
    /// Requests that reached a cold upstream at its limit.
    pub(crate) cold_overload: u64,
}

impl Figures {
    /// Computes the figures from a run.
    pub(crate) fn of(record: &Record) -> Self {
        let breaks = breaks(record);
        let records = || record.upstreams.iter().map(|one| &one.records);
        let counts = || record.results.iter().map(|one| one.counts);
        let over = |runs: &u32| runs.saturating_sub(1);
        Figures {
            breaks,
            runs_over_one: runs(record).values().map(over).sum(),
            refused_but_ran: refused_but_ran(record),
            wrong_service: records().map(|one| one.foreign).sum::<u64>()
                + counts().map(|one| one.wrong_service).sum::<u64>()
                + record.feed_counts.wrong_service,
            wrong_answer: counts().map(|one| one.wrong_answer).sum::<u64>()
                + record.feed_counts.wrong_answer,
            zone_packets: zone_packets(record),
            cut_by_stop: cut_by_stop(record),
            cold_overload: records().map(|one| one.cold_overload).sum(),
        }
    }

    /// Describes each guarantee that was broken.
    pub(crate) fn promises_broken(&self, record: &Record) -> Vec<String> {
        let stopped = record.stopped.is_some_and(|status| status.success());
        let checks = [
            (
                self.breaks.broken.len() as u64,
                "a flow survives all but the end of its zone",
            ),
            (u64::from(self.runs_over_one), "a POST runs at most once"),
            (
                self.refused_but_ran as u64,
                "a request refused as not run did not run",
            ),
            (self.wrong_service, "a packet never reaches another service"),
            (
                self.wrong_answer,
                "a caller receives the whole answer to its own request",
            ),
            (
                self.zone_packets.len() as u64,
                "a zone that is out receives no packets after 5 s",
            ),
            (
                self.cut_by_stop.len() as u64,
                "a planned stop cuts no request",
            ),
            (
                u64::from(!stopped),
                "a daemon that is asked to stop ends by itself",
            ),
            (
                self.cold_overload,
                "a fresh upstream gets no more than it can bear",
            ),
        ];
        let broken = checks.into_iter().filter(|(count, _)| *count > 0);
        broken
            .map(|(count, promise)| format!("{promise}: broken {count} times"))
            .collect()
    }
}

/// Classifies the ends of all flows.
fn breaks(record: &Record) -> Breaks {
    let outage = |service: &&str| Outage {
        zone: record.zone.clone(),
        service: (*service).to_owned(),
        began: record.times.zone_out,
        ended: Some(record.times.zone_in),
    };
    let outages = record.services.iter().map(outage).collect();
    let mut breaks = Breaks::new(record.places(), outages, Vec::new());
    for end in record.feeds.iter().flat_map(|feed| &feed.breaks) {
        breaks.add_feed(end);
    }
    for results in &record.results {
        results
            .samples
            .iter()
            .for_each(|one| breaks.add_request(one));
        results.moves.iter().for_each(|one| breaks.add_move(one));
    }
    record
        .silent
        .iter()
        .for_each(|one| breaks.add_silent_feed(one));
    record
        .feed_moves
        .iter()
        .for_each(|one| breaks.add_move(one));
    breaks
}

/// Returns the number of runs of each POST at all upstreams.
fn runs(record: &Record) -> HashMap<&[u8], u32> {
    let mut runs = HashMap::new();
    for (id, count) in record.upstreams.iter().flat_map(|one| &one.records.posts) {
        *runs.entry(id.as_slice()).or_default() += count;
    }
    runs
}

fn refused_but_ran(record: &Record) -> usize {
    let runs = runs(record);
    let ran = |one: &&Sample| {
        let id = one.post.as_deref().unwrap_or_default();
        one.outcome == "not run" && runs.contains_key(id.as_bytes())
    };
    let samples = record.results.iter().flat_map(|one| &one.samples);
    samples.filter(ran).count()
}

fn zone_packets(record: &Record) -> Vec<String> {
    let counted = record.times.zone_out + ZONE_QUIET_AFTER..record.times.zone_in;
    let mut packets = Vec::new();
    for upstream in record
        .upstreams
        .iter()
        .filter(|one| one.zone == record.zone)
    {
        let arrivals = upstream.records.arrivals.iter();
        for arrival in arrivals.filter(|one| counted.contains(&one.at)) {
            let at = (arrival.at - record.times.start).as_secs_f64();
            packets.push(format!(
                "{:?} to {} at {at:.2} s",
                arrival.kind, upstream.name
            ));
        }
    }
    packets
}

/// Returns the requests lost between the stop of one daemon and the kill of another.
fn cut_by_stop(record: &Record) -> Vec<String> {
    let (stop, kill) = (record.times.stop, record.times.kill);
    let cut = |one: &&Sample| {
        let lost = ["unknown", "timed out"].contains(&one.outcome);
        lost && one.began + one.took > stop && one.began + IN_FLIGHT < kill
    };
    let samples = record.results.iter().flat_map(|one| &one.samples);
    let describe = |one: &Sample| {
        let at = (one.began - record.times.start).as_secs_f64();
        let method = if one.post.is_some() { "POST" } else { "GET" };
        let upstream = one.upstream.as_deref().unwrap_or("a new flow");
        format!("{method} to {upstream} at {at:.2} s: {}", one.outcome)
    };
    samples.filter(cut).map(describe).collect()
}
