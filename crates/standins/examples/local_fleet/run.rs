//! A run in exchange mode: the load, and the events that disturb the fleet.

use crate::{
    Options,
    DAEMON, //
};
use anyhow::Context;
use foxtailhinge_config::report::UpstreamStatus;
use foxtailhinge_standins::{
    breaks::Place,
    caller::{
        Caller,
        Counts,
        Move, //
    },
    fabric,
    feed::{
        Feed,
        FeedStats, //
    },
    fleet::Fleet,
    load::{
        Load,
        Plan,
        Results, //
    },
    upstream::{
        records::Records,
        ServiceTime, //
    }, //
};
use std::{
    collections::HashMap,
    process::ExitStatus,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

/// Number of daemons.
const DAEMONS: usize = 8;
/// Feeds that stay open during the run.
const FEEDS: usize = 24;
/// Callers of the first service; they keep about 80 % of its slots busy.
const FIRST_CALLERS: usize = 96;
/// Callers of the second service.
const SECOND_CALLERS: usize = 28;
/// Mean service time of a request at an upstream.
const SERVICE_TIME: Duration = Duration::from_millis(50);
/// Mean time between an answer and the caller's next request.
const THINK: Duration = Duration::from_millis(55);
/// Mean number of requests of a flow.
const REQUESTS_PER_FLOW: f64 = 20.0;
/// Share of requests to the first service that are POSTs, which must run at most once.
const POST_SHARE: f64 = 0.2;
/// Time limit for a feed's first notification.
const FEED_WITHIN: Duration = Duration::from_secs(5);
/// Time limit for all upstreams to be allowed their full load.
const WARM_WITHIN: Duration = Duration::from_secs(20);
/// Notifications that each feed must still receive after the load has stopped.
const FURTHER: u64 = 2;
/// Time limit for these notifications.
const FURTHER_WITHIN: Duration = Duration::from_secs(8);
/// Time limit for a stopped daemon to end.
const STOP_WITHIN: Duration = Duration::from_secs(8);
/// Time limit for an edited document to be in force on all daemons.
const APPLIED_WITHIN: Duration = Duration::from_secs(5);
/// Interval between progress lines.
const PROGRESS: Duration = Duration::from_secs(2);
/// Longest sleep between checks of the clock.
const TICK: Duration = Duration::from_millis(50);

/// Share of the run at which the zone is taken out.
const ZONE_OUT: f64 = 0.2;
/// Share of the run at which the zone is taken in again.
const ZONE_IN: f64 = 0.6;
/// Share of the run at which a daemon is stopped.
const STOP: f64 = 0.7;
/// Share of the run at which a daemon is killed.
const KILL: f64 = 0.8;

/// Times of the run's events.
pub(crate) struct Times {
    /// Start of the load, once the upstreams are warm.
    pub(crate) start: Instant,
    /// The zone was taken out.
    pub(crate) zone_out: Instant,
    /// The zone was taken in again.
    pub(crate) zone_in: Instant,
    /// A daemon was asked to stop.
    pub(crate) stop: Instant,
    /// A daemon was killed.
    pub(crate) kill: Instant,
    /// End of the load.
    pub(crate) end: Instant,
}

/// An upstream and its records.
pub(crate) struct Observations {
    /// Name of the upstream.
    pub(crate) name: String,
    /// Service that the upstream belongs to.
    pub(crate) service: String,
    /// Availability zone that the upstream is in.
    pub(crate) zone: String,
    /// Packets and runs that the upstream recorded.
    pub(crate) records: Records,
}

/// One-way latencies that the fabrics add.
pub(crate) struct Latencies {
    /// Between a caller and an entry VM.
    pub(crate) caller: Duration,
    /// Added when caller and entry VM are in different availability zones.
    pub(crate) zone: Duration,
}

/// Results of a run.
pub(crate) struct Record {
    /// Times of the run's events.
    pub(crate) times: Times,
    /// The availability zone that was taken out.
    pub(crate) zone: String,
    /// The two services.
    pub(crate) services: [&'static str; 2],
    /// Exit status of the stopped daemon, if it ended in time.
    pub(crate) stopped: Option<ExitStatus>,
    /// Results of the load on each service.
    pub(crate) results: [Results; 2],
    /// Statistics of all feeds.
    pub(crate) feeds: Vec<FeedStats>,
    /// Statistics of the feeds that received too few notifications after the load had stopped.
    pub(crate) silent: Vec<FeedStats>,
    /// Sum of the counters of the feeds' callers.
    pub(crate) feed_counts: Counts,
    /// Moves of the feeds' flows between upstreams.
    pub(crate) feed_moves: Vec<Move>,
    /// Records of all upstreams.
    pub(crate) upstreams: Vec<Observations>,
    /// Number of calls to the platform.
    pub(crate) platform_calls: u64,
    /// One-way latencies of the deployment.
    pub(crate) latencies: Latencies,
    /// Counters of the fabrics before the two services.
    pub(crate) fabrics: [fabric::Counts; 2],
}

impl Record {
    /// Returns the service and zone of each upstream by name.
    pub(crate) fn places(&self) -> HashMap<String, Place> {
        let place = |one: &Observations| Place {
            service: one.service.clone(),
            zone: one.zone.clone(),
        };
        let pairs = self.upstreams.iter();
        pairs.map(|one| (one.name.clone(), place(one))).collect()
    }
}

/// A fleet under load.
struct Run {
    start: Instant,
    length: Duration,
    fleet: Fleet,
    feeds: Vec<(Caller, Feed)>,
    load: [Load; 2],
}

/// Runs the fleet and returns what happened.
pub(crate) fn run(options: &Options) -> anyhow::Result<Record> {
    let began = Instant::now();
    let mut fleet = start_fleet(options)?;
    let zones = fleet.zones().len();
    let took = began.elapsed().as_secs_f64();
    println!(
        "{DAEMONS} daemons in {zones} availability zones and 14 + 4 upstreams after {took:.1} s"
    );
    let feeds = open_feeds(&mut fleet)?;
    println!("{FEEDS} feeds are open");
    let load = start_load(&mut fleet, options.seed)?;
    wait_warm(&fleet);
    if let Some(without) = options.without {
        println!("without: {without}");
    }
    let run = Run {
        start: Instant::now(),
        length: Duration::from_secs(options.seconds),
        fleet,
        feeds,
        load,
    };
    run.run_events()
}

fn start_fleet(options: &Options) -> anyhow::Result<Fleet> {
    let without = options.without;
    Fleet::builder()
        .deployment(options.deployment)
        .daemons(DAEMONS)
        .seed(options.seed)
        .binary(std::env::current_exe()?)
        .args(&[DAEMON])
        .edit(move |document| {
            if let Some(without) = without {
                without.edit(document);
            }
        })
        .customize_upstream(|spec| spec.service_time = ServiceTime::Exponential(SERVICE_TIME))
        .start()
}

fn open_feeds(fleet: &mut Fleet) -> anyhow::Result<Vec<(Caller, Feed)>> {
    let deployment = fleet.deployment();
    let mut feeds = Vec::new();
    for caller in callers(fleet, deployment.services()[0], FEEDS)? {
        let feed = caller.feed(deployment.feed_path());
        feeds.push((caller, feed));
    }
    for (_, feed) in &feeds {
        let first = feed.wait(1, FEED_WITHIN);
        anyhow::ensure!(first, "a feed had no notification: {:?}", feed.stats());
    }
    Ok(feeds)
}

/// Returns the feeds that receive fewer than `FURTHER` notifications within `FURTHER_WITHIN`.
fn silent_feeds(feeds: &[(Caller, Feed)]) -> Vec<FeedStats> {
    let before: Vec<_> = feeds.iter().map(|(_, feed)| feed.stats()).collect();
    let is_silent = |(feed, before): &(&Feed, FeedStats)| {
        !feed.wait(before.notifications + FURTHER, FURTHER_WITHIN)
    };
    let feeds = feeds.iter().map(|(_, feed)| feed);
    let silent = feeds.zip(before).filter(is_silent);
    silent.map(|(feed, _)| feed.stats()).collect()
}

/// Waits until the owners allow all upstreams their full load, for `WARM_WITHIN` at most.
fn wait_warm(fleet: &Fleet) {
    let began = Instant::now();
    while began.elapsed() < WARM_WITHIN && fleet.warm_upstreams() < fleet.upstreams().len() {
        thread::sleep(TICK);
    }
    let (warm, all) = (fleet.warm_upstreams(), fleet.upstreams().len());
    let took = began.elapsed().as_secs_f64();
    println!("{warm} of {all} upstreams are warm after {took:.1} s of load");
}

fn start_load(fleet: &mut Fleet, seed: u64) -> anyhow::Result<[Load; 2]> {
    let deployment = fleet.deployment();
    let [first, second] = deployment.services();
    let plan = Plan {
        get: deployment.feed_path().into(),
        post: deployment.post_path().into(),
        post_share: POST_SHARE,
        think_time: THINK,
        requests_per_flow: REQUESTS_PER_FLOW,
        seed,
    };
    let reads = Plan {
        get: deployment.read_path().into(),
        post_share: 0.0,
        ..plan.clone()
    };
    Ok([
        Load::start(callers(fleet, first, FIRST_CALLERS)?, &plan),
        Load::start(callers(fleet, second, SECOND_CALLERS)?, &reads),
    ])
}

/// Opens callers spread over the availability zones.
fn callers(fleet: &mut Fleet, service: &str, count: usize) -> anyhow::Result<Vec<Caller>> {
    let zones = fleet.zones().len();
    (0..count)
        .map(|index| fleet.caller_in(service, index % zones))
        .collect()
}

impl Run {
    fn run_events(mut self) -> anyhow::Result<Record> {
        let zone = self.fleet.zones().last().context("no zone")?.clone();
        let zone_out = self.wait_until(ZONE_OUT);
        self.set_zone(&zone, false)?;
        let zone_in = self.wait_until(ZONE_IN);
        self.restart_upstreams(&zone);
        self.set_zone(&zone, true)?;
        let stop = self.wait_until(STOP);
        let stopped = self.stop_busiest()?;
        let kill = self.wait_until(KILL);
        self.kill_busiest()?;
        let end = self.wait_until(1.0);
        let times = Times {
            start: self.start,
            zone_out,
            zone_in,
            stop,
            kill,
            end,
        };
        Ok(self.close(times, zone, stopped))
    }

    /// Prints progress until a share of the run has passed; returns the present time.
    fn wait_until(&self, share: f64) -> Instant {
        let end = self.start + self.length.mul_f64(share);
        let mut next = Instant::now() + PROGRESS;
        while Instant::now() < end {
            thread::sleep(TICK);
            if Instant::now() >= next {
                next += PROGRESS;
                self.print_progress("");
            }
        }
        Instant::now()
    }

    fn print_progress(&self, event: &str) {
        let passed = self.start.elapsed().as_secs_f64();
        let (sent, answered) = self.load.iter().fold((0, 0), |sum, load| {
            let (sent, answered) = load.progress();
            (sum.0 + sent, sum.1 + answered)
        });
        let open = |(_, feed): &&(Caller, Feed)| feed.stats().upstream.is_some();
        let open = self.feeds.iter().filter(open).count();
        println!(
            "{passed:5.1} s  {sent:6} requests, {answered:6} answered, {open} feeds open  {event}"
        );
    }

    fn set_zone(&mut self, zone: &str, serves: bool) -> anyhow::Result<()> {
        for service in self.fleet.deployment().services() {
            match serves {
                true => self.fleet.zone_in(service, zone),
                false => self.fleet.zone_out(service, zone),
            };
        }
        let change = if serves { "in" } else { "out" };
        self.print_progress(&format!("{zone} {change}"));
        self.fleet.wait_applied(APPLIED_WITHIN)
    }

    /// Restarts a zone's upstreams, so that they return with a cold start.
    fn restart_upstreams(&self, zone: &str) {
        let upstreams = self.fleet.upstreams().iter();
        upstreams
            .filter(|one| one.zone() == zone)
            .for_each(|one| one.restart());
    }

    fn stop_busiest(&mut self) -> anyhow::Result<Option<ExitStatus>> {
        let (vm, feeds) = self.busiest()?;
        self.fleet.stop(&vm);
        self.print_progress(&format!(
            "{vm}, which holds {feeds} feeds, is asked to stop"
        ));
        let status = self.fleet.await_end(&vm, STOP_WITHIN);
        self.print_progress(&format!("{vm} has ended: {}", status.is_some()));
        Ok(status)
    }

    fn kill_busiest(&mut self) -> anyhow::Result<()> {
        let (vm, feeds) = self.busiest()?;
        self.fleet.kill(&vm);
        self.print_progress(&format!("{vm}, which held {feeds} feeds, is killed"));
        Ok(())
    }

    /// Returns the running daemon that owns the upstreams of most feeds, and the number of these feeds.
    ///
    /// A zone's last daemon is excluded, because no other daemon could take over its upstreams.
    fn busiest(&self) -> anyhow::Result<(String, usize)> {
        let running = self.fleet.running();
        let first = running.first().context("no daemon runs")?;
        let status = self.fleet.status(first)?;
        let upstream = |feed: &Feed| feed.stats().upstream.unwrap_or_default();
        let reached: Vec<String> = self.feeds.iter().map(|(_, feed)| upstream(feed)).collect();
        let held = |vm: &str| {
            let owner = |one: &&UpstreamStatus| one.owner.as_deref() == Some(vm);
            let owned = status.upstreams.iter().filter(owner);
            let feeds = |one: &UpstreamStatus| {
                reached
                    .iter()
                    .filter(|&name| **name == *one.upstream)
                    .count()
            };
            owned.map(feeds).sum::<usize>()
        };
        let zone = |vm: &str| self.fleet.zone_of(vm);
        let spare = |vm: &&String| running.iter().filter(|one| zone(one) == zone(vm)).count() > 1;
        let counts = running
            .iter()
            .filter(spare)
            .map(|vm| (vm.clone(), held(vm)));
        counts
            .max_by_key(|one| one.1)
            .context("each zone has one daemon left")
    }

    /// Stops the load, then the feeds, and collects all records.
    fn close(self, times: Times, zone: String, stopped: Option<ExitStatus>) -> Record {
        let results = self.load.map(Load::stop);
        let silent = silent_feeds(&self.feeds);
        let feeds = self.feeds.iter().map(|(_, feed)| feed.stats()).collect();
        let mut feed_counts = Counts::default();
        let mut feed_moves = Vec::new();
        for (caller, _) in &self.feeds {
            feed_counts += caller.counts();
            feed_moves.extend(caller.moves());
        }
        let seen = |one: &foxtailhinge_standins::upstream::Upstream| Observations {
            name: one.name(),
            service: one.service(),
            zone: one.zone(),
            records: one.records(),
        };
        let deployment = self.fleet.deployment();
        let services = deployment.services();
        Record {
            times,
            zone,
            services,
            stopped,
            results,
            feeds,
            silent,
            feed_counts,
            feed_moves,
            upstreams: self.fleet.upstreams().iter().map(seen).collect(),
            platform_calls: self.fleet.platform().calls(),
            latencies: Latencies {
                caller: deployment.caller_latency(),
                zone: deployment.zone_latency(),
            },
            fabrics: services.map(|service| self.fleet.fabric(service).counts()),
        }
    }
}
