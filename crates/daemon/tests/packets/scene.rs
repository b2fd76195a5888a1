//! Test harness: a small fleet under load, and the invariants that hold whatever happens to it.

use foxtailhinge_config::packet_report::ServiceLoadReport;
use foxtailhinge_standins::{
    fleet::{
        Deployment,
        Program, //
    },
    packets::{
        builder::Builder,
        callers::Callers,
        fleet::{
            PacketFleet,
            ROUTE_PORT, //
        },
        results::{
            repeated_runs,
            Results, //
        },
    },
};
use serde_json::Value;
use std::{
    collections::HashSet,
    ops::{
        Deref,
        DerefMut,
        Range, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// Target latency of a request.
const TARGET_LATENCY: Duration = Duration::from_millis(250);

/// The daemon's executable.
pub(crate) fn program() -> Program {
    Program {
        path: env!("CARGO_BIN_EXE_foxtailhinge").into(),
        args: Vec::new(),
    }
}

/// Four daemons in four zones, in front of eight upstreams of the first service and four of the second.
pub(crate) fn builder() -> Builder {
    Builder::new(Deployment::Kalahari)
        .daemons(4)
        .upstreams(8, 4)
}

/// A fleet under load.
pub(crate) struct Scene {
    fleet: PacketFleet,
    callers: Vec<Callers>,
}

impl Deref for Scene {
    type Target = PacketFleet;

    fn deref(&self) -> &PacketFleet {
        &self.fleet
    }
}

impl DerefMut for Scene {
    fn deref_mut(&mut self) -> &mut PacketFleet {
        &mut self.fleet
    }
}

impl Scene {
    /// Starts the fleet of [`builder`], without load.
    pub(crate) fn start() -> Self {
        Self::of(builder().start(&program()).unwrap())
    }

    /// Wraps a fleet, without load.
    pub(crate) fn of(fleet: PacketFleet) -> Self {
        Self {
            fleet,
            callers: Vec::new(),
        }
    }

    /// Lets the callers of each zone hold `feeds` feeds and send `posts` requests a second.
    pub(crate) fn load(mut self, feeds: usize, posts: f64) -> Self {
        for zone in 0..self.fleet.zones().len() {
            let mut plan = self.fleet.plan(zone, zone as u64 + 1);
            plan.feeds = feeds;
            plan.posts_per_s = posts;
            self.callers.push(self.fleet.callers(plan).unwrap());
        }
        self
    }

    /// Lets callers on as many VMs as there are zones hold `feeds` feeds each, all through the daemons of the first
    /// zone.
    pub(crate) fn load_of_one_zone(mut self, feeds: usize) -> Self {
        for vm in 0..self.fleet.zones().len() {
            let mut plan = self.fleet.plan(vm, vm as u64 + 1);
            plan.zone = self.fleet.zones()[0].to_owned();
            plan.feeds = feeds;
            self.callers.push(self.fleet.callers(plan).unwrap());
        }
        self
    }

    /// Starts callers of a zone on `count` VMs, which together send `posts_per_s` requests to the route at a port.
    ///
    /// Callers are ranked by VM, so that load from a few VMs would be rejected as a whole or not at all.
    pub(crate) fn crowd(
        &self,
        zone: usize,
        port: u16,
        vms: Range<usize>,
        posts_per_s: f64,
    ) -> Crowd {
        let each = posts_per_s / vms.len() as f64;
        let callers = vms.map(|vm| {
            let mut plan = self.fleet.plan(zone, vm as u64 + 1);
            plan.addr = self.fleet.callers_addr(vm);
            plan.post_route = self.fleet.route(port);
            plan.posts_per_s = each;
            self.fleet.callers(plan).unwrap()
        });
        Crowd(callers.collect())
    }

    /// Checks the invariants for callers that have stopped.
    pub(crate) fn report(&self, results: Vec<Results>) -> Report {
        let report = Report::new(results, &self.fleet);
        report.check_invariants(&self.fleet);
        report
    }

    /// Returns what a daemon reports of the load of the first service; `None` without traffic.
    pub(crate) fn load_at(&self, index: usize) -> Option<ServiceLoadReport> {
        let service = self.fleet.service_of(ROUTE_PORT);
        let loads = self.fleet.status(index).ok()?.loads;
        loads.into_iter().find(|load| &*load.service == service)
    }

    /// Number of events of this name in the logs of all daemons.
    pub(crate) fn event_count(&self, event: &str) -> usize {
        let daemons = 0..self.fleet.len();
        daemons
            .map(|index| self.fleet.events(index, event).len())
            .sum()
    }

    /// Sets the field `load` in the settings of all daemons.
    pub(crate) fn set_load_settings(&self, load: &Value) {
        for index in 0..self.fleet.len() {
            let edit = |text: String| {
                let mut settings: Value = serde_json::from_str(&text).unwrap();
                settings["load"] = load.clone();
                serde_json::to_string_pretty(&settings).unwrap()
            };
            self.fleet.edit_settings(index, edit).unwrap();
        }
    }

    /// Reloads changed settings of all daemons and waits until they are in force.
    pub(crate) fn reload_all(&self) {
        let before = self.event_count("settings_reloaded");
        for index in 0..self.fleet.len() {
            self.fleet.reload(index);
        }
        self.wait_until("the settings are in force", |_| {
            self.event_count("settings_reloaded") >= before + self.fleet.len()
        })
        .unwrap();
    }

    /// Sleeps while the fleet runs.
    pub(crate) fn run(&self, ms: u64) -> &Self {
        thread::sleep(Duration::from_millis(ms));
        self
    }

    /// Ends the load and checks the invariants.
    pub(crate) fn finish(&mut self) -> Report {
        let results = self.callers.drain(..).map(Callers::stop).collect();
        let report = Report::new(results, &self.fleet);
        report.check_invariants(&self.fleet);
        report
    }
}

/// Callers on several VMs.
pub(crate) struct Crowd(Vec<Callers>);

impl Crowd {
    /// Ends the load at all VMs at once, waits for the requests in progress, and returns the results.
    pub(crate) fn stop(self) -> Vec<Results> {
        self.0.iter().for_each(Callers::end_load);
        self.0.into_iter().map(Callers::stop).collect()
    }

    /// Results so far.
    pub(crate) fn results(&self) -> Vec<Results> {
        self.0.iter().map(Callers::results).collect()
    }
}

/// What callers observed.
pub(crate) struct Report {
    pub(crate) results: Vec<Results>,
    /// Ids of the upstreams that have stopped or do not respond any more.
    gone: HashSet<u64>,
}

impl Report {
    fn new(results: Vec<Results>, fleet: &PacketFleet) -> Self {
        let gone = fleet.upstreams.iter().filter(|one| one.is_gone());
        Self {
            results,
            gone: gone.map(|one| one.spec().id).collect(),
        }
    }

    fn check_invariants(&self, fleet: &PacketFleet) {
        let seen = fleet.seen.lock().unwrap();
        let wrong: u64 = self.results.iter().map(|r| r.wrong).sum();
        assert_eq!(
            wrong, 0,
            "each answer is that of the flow's upstream to its own request"
        );
        assert_eq!(seen.damaged, 0, "packets arrive as they were sent");
        let twice = repeated_runs(&seen, &self.results);
        assert_eq!(
            twice.len(),
            0,
            "a request that must run at most once has run twice"
        );
        let services = |port| match port == ROUTE_PORT + 1 {
            true => "certvault",
            false => "syncdesk-api",
        };
        let strays = seen
            .openings
            .iter()
            .filter(|o| o.service != services(o.route));
        assert_eq!(
            strays.count(),
            0,
            "each flow opens at the service of its route"
        );
        let cold = seen.openings.iter().filter(|o| o.cold);
        assert_eq!(cold.count(), 0, "no flow opens at a cold upstream");
    }

    /// Number of requests without an answer.
    pub(crate) fn unanswered(&self) -> usize {
        let all = self.results.iter().flat_map(|r| &r.outcomes);
        all.filter(|o| o.took.is_none()).count()
    }

    /// Number of requests sent in a time span that got no answer.
    pub(crate) fn unanswered_of(&self, from: Instant, to: Instant) -> usize {
        let all = self.results.iter().flat_map(|r| &r.outcomes);
        let asked = all.filter(|o| o.asked >= from && o.asked < to);
        asked.filter(|o| o.took.is_none()).count()
    }

    /// Share of the requests sent in a time span that were answered within the target latency.
    pub(crate) fn on_time_share(&self, from: Instant, to: Instant) -> f64 {
        let all = self.results.iter().flat_map(|r| &r.outcomes);
        let asked: Vec<_> = all.filter(|o| o.asked >= from && o.asked < to).collect();
        assert!(
            asked.len() >= 10,
            "{} requests are too few for a meaningful share",
            asked.len()
        );
        let on_time = asked
            .iter()
            .filter(|o| o.took.is_some_and(|took| took <= TARGET_LATENCY));
        on_time.count() as f64 / asked.len() as f64
    }

    /// Checks the share of the requests sent in a time span that were answered within the target latency, and lists the
    /// others on failure.
    pub(crate) fn check_on_time_share(&self, from: Instant, to: Instant, least: f64) {
        let share = self.on_time_share(from, to);
        let all = self.results.iter().flat_map(|r| &r.outcomes);
        let asked = all.filter(|o| o.asked >= from && o.asked < to);
        let late = asked.filter(|o| o.took.is_none_or(|took| took > TARGET_LATENCY));
        let late: Vec<_> = late
            .map(|o| (o.asked - from, o.took, o.attempts, o.is_feed, o.upstream))
            .collect();
        assert!(
            share >= least,
            "{share:.4} within the target latency; the others: {late:?}"
        );
    }

    /// Number of resets by the balancer of flows whose upstream had answered and still responds.
    pub(crate) fn broken(&self) -> usize {
        let all = self.results.iter().flat_map(|r| &r.resets);
        let is_alive = |id: &u64| !self.gone.contains(id);
        all.filter(|r| r.by_balancer && r.upstream.as_ref().is_some_and(is_alive))
            .count()
    }

    /// Number of resets by the balancer of flows whose upstream is gone.
    pub(crate) fn resets_of_gone(&self) -> usize {
        let all = self.results.iter().flat_map(|r| &r.resets);
        let is_gone = |id: &u64| self.gone.contains(id);
        all.filter(|r| r.by_balancer && r.upstream.as_ref().is_some_and(is_gone))
            .count()
    }

    /// Number of resets by the balancer.
    pub(crate) fn resets(&self) -> usize {
        let all = self.results.iter().flat_map(|r| &r.resets);
        all.filter(|r| r.by_balancer).count()
    }
}
