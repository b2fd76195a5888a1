//! Reports on the results of a script.

use crate::{
    caller::Counts,
    scenario::{
        batch::list_samples,
        execute::{
            DRAINED_AFTER,
            ZONE_QUIET_AFTER, //
        },
        tally::runs,
        Scenario, //
    },
    upstream::Upstream, //
};
use anyhow::{
    bail,
    Context, //
};
use std::{
    collections::BTreeMap,
    time::Instant, //
};

/// Upper limit on broken flows listed one by one.
const BROKEN_LISTED_MAX: usize = 20;

impl Scenario {
    /// Returns one report.
    pub(super) fn report(&mut self, what: &str, subject: Option<&str>) -> anyhow::Result<String> {
        let subject = subject.context("this report needs a zone, service or upstream");
        match what {
            "broken" => self.report_broken(),
            "runs" => self.report_runs(),
            "lost" => Ok(self.report_lost()),
            "silent" => Ok(self.report_silent()),
            "wrong" => self.report_wrong(),
            "zone-packets" => self.report_zone_packets(subject?),
            "cold" => self.report_cold(),
            "shed" => self.report_shed(),
            "refused" => self.report_refused(subject?),
            "feeds" => self.report_feeds(subject?),
            "drained" => self.report_drained(subject?),
            "held" => self.report_held(),
            _ => bail!("unknown report: {what}"),
        }
    }

    /// Reports flows that ended although their zone was in service, with their causes.
    fn report_broken(&mut self) -> anyhow::Result<String> {
        let fleet = self.fleet.as_ref().context("no fleet")?;
        let mut breaks = self.tally.breaks(fleet);
        breaks.add_observed_outages(fleet.observed_outages()?);
        for end in self.feeds.iter().flat_map(|(_, feed)| feed.stats().breaks) {
            breaks.add_feed(&end);
        }
        let callers = self.callers.values().flatten().map(|one| one.moves());
        let feeds = self.feeds.iter().map(|(caller, _)| caller.moves());
        for change in callers.chain(feeds).flatten() {
            breaks.add_move(&change);
        }
        let mut text = format!("broken flows {}", breaks.broken.len());
        for (cause, count) in breaks.causes() {
            text += &format!("\n  {cause} {count}");
        }
        for flow in breaks.broken.iter().take(BROKEN_LISTED_MAX) {
            text += &format!("\n    {}: {}", flow.upstream, flow.cause);
        }
        Ok(text)
    }

    fn report_runs(&mut self) -> anyhow::Result<String> {
        let fleet = self.fleet.as_ref().context("no fleet")?;
        let posts = self
            .tally
            .samples
            .iter()
            .filter_map(|one| one.post.as_ref());
        let over = posts.filter(|id| runs(fleet, id) > 1).count();
        let refused = self.tally.refused_but_ran(fleet);
        Ok(format!(
            "run more than once {over}, refused but run {refused}"
        ))
    }

    /// Reports requests with an unknown outcome, and lists them.
    fn report_lost(&self) -> String {
        let (unknown, silent) = (
            self.tally.outcomes("unknown"),
            self.tally.outcomes("timed out"),
        );
        let text = format!("unknown {unknown}, timed out {silent}");
        text + &list_samples(&self.tally.samples, &["unknown", "timed out"])
    }

    /// Reports requests without a final answer, and lists them.
    fn report_silent(&self) -> String {
        let text = format!("timed out {}", self.tally.outcomes("timed out"));
        text + &list_samples(&self.tally.samples, &["timed out"])
    }

    fn report_wrong(&mut self) -> anyhow::Result<String> {
        let fleet = self.fleet.as_ref().context("no fleet")?;
        let foreign = fleet.upstreams().iter().map(|one| one.records().foreign);
        let foreign: u64 = foreign.sum();
        let counts = self.counts();
        let (service, answer) = (counts.wrong_service + foreign, counts.wrong_answer);
        Ok(format!("wrong service {service}, wrong answer {answer}"))
    }

    /// Reports packets into a zone between `ZONE_QUIET_AFTER` and the zone's return to service, by kind and upstream.
    fn report_zone_packets(&mut self, zone: &str) -> anyhow::Result<String> {
        let fleet = self.fleet.as_ref().context("no fleet")?;
        let mut packets: BTreeMap<String, usize> = BTreeMap::new();
        for outage in self.tally.outages.iter().filter(|one| one.zone == zone) {
            let grace_end = outage.began + ZONE_QUIET_AFTER;
            let times = grace_end..outage.ended.unwrap_or_else(Instant::now);
            let inside = fleet.upstreams().iter();
            let inside = inside.filter(|one| one.zone() == zone && one.service() == outage.service);
            for upstream in inside {
                let arrivals = upstream.records().arrivals.into_iter();
                let late = arrivals.filter(|one| times.contains(&one.at));
                for arrival in late {
                    let name = format!("{:?} to {}", arrival.kind, upstream.name());
                    *packets.entry(name).or_default() += 1;
                }
            }
        }
        let mut text = format!("packets {}", packets.values().sum::<usize>());
        for (name, count) in packets {
            text += &format!("\n  {name} {count}");
        }
        Ok(text)
    }

    fn report_cold(&mut self) -> anyhow::Result<String> {
        let upstreams = self.fleet()?.upstreams().iter();
        let over: u64 = upstreams.map(|one| one.records().cold_overload).sum();
        Ok(format!("beyond the cold start {over}"))
    }

    /// Reports the number of requests that upstreams shed.
    fn report_shed(&mut self) -> anyhow::Result<String> {
        let upstreams = self.fleet()?.upstreams().iter();
        let shed: u64 = upstreams.map(|one| one.records().shed).sum();
        Ok(format!("shed {shed}"))
    }

    /// Reports how many running daemons refused the document of a service.
    fn report_refused(&mut self, service: &str) -> anyhow::Result<String> {
        let fleet = self.fleet()?;
        let vms = fleet.running();
        let mut refusing = 0;
        for vm in &vms {
            let status = fleet.status(vm)?;
            refusing += usize::from(status.refused.iter().any(|one| &*one.service == service));
        }
        Ok(format!("refused by {refusing} of {}", vms.len()))
    }

    /// Reports the feeds that an upstream has received so far.
    fn report_feeds(&mut self, upstream: &str) -> anyhow::Result<String> {
        let fleet = self.fleet()?;
        let found = fleet.upstream(upstream).context("unknown upstream")?;
        Ok(format!("feeds begun {}", found.records().feeds))
    }

    /// Reports requests that reached a draining upstream after `DRAINED_AFTER`, and its open feeds.
    fn report_drained(&mut self, upstream: &str) -> anyhow::Result<String> {
        let departures = self.tally.departures.iter();
        let mut drains = departures.filter(|one| one.upstream == upstream);
        let drain = drains.next_back().context("the upstream is not draining")?;
        let grace_end = drain.began + DRAINED_AFTER;
        let fleet = self.fleet.as_ref().context("no fleet")?;
        let found = fleet.upstream(upstream).context("unknown upstream")?;
        let (requests, feeds) = (found.records().requests_after(grace_end), found.feeds());
        Ok(format!("requests {requests}, open feeds {feeds}"))
    }

    /// Reports the sum of the open feeds of all upstreams.
    fn report_held(&mut self) -> anyhow::Result<String> {
        let held = self.fleet()?.upstreams().iter().map(Upstream::feeds);
        Ok(format!("feeds held {}", held.sum::<usize>()))
    }

    fn counts(&self) -> Counts {
        let mut counts = self.tally.counts;
        let callers = self.callers.values().flatten().map(|one| one.counts());
        let feeds = self.feeds.iter().map(|(caller, _)| caller.counts());
        callers.chain(feeds).for_each(|one| counts += one);
        counts
    }
}
