//! A fleet with a proxy in front of each daemon, into which the faults of one seed are injected.

use crate::{
    fault::Kind,
    link_cut::LinkCut,
    promises::PromiseChecker,
    proxied_daemon::ProxiedDaemon,
    schedule::FaultSchedule,
    spec::SoakSpec,
    verdict::Verdict, //
};
use foxtailhinge_config::packet_report::StoreRole;
use foxtailhinge_standins::packets::{
    callers::Callers,
    fleet::{
        PacketFleet,
        ROUTE_PORT, //
    }, //
};
use std::{
    collections::BTreeSet,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// Time after a restoration of the store until operators write again what it has lost.
pub(crate) const REWRITE_DELAY: Duration = Duration::from_secs(1);
/// Interval between two checks of the faults that are due and of the processes.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which the load goes on after the fleet has recovered from the last fault.
const RECOVERED_LOAD_TIME: Duration = Duration::from_secs(4);
/// Time limit for daemons to stop, which is longer than their grace time.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Ids of the upstreams that faults start are above this one, and so above the ids of the fleet's own upstreams.
const UPSTREAM_ID_BASE: u64 = 0x71_0000_0000;
/// Warm-up time of an upstream that a fault adds.
const WARMUP: Duration = Duration::from_secs(2);
/// Mean interval between two requests of a feed.
const FEED_INTERVAL: Duration = Duration::from_millis(400);
/// Requests per second of one zone that each open a flow.
pub(crate) const POSTS_PER_S: f64 = 30.0;

/// A fleet under load, with the faults of one seed.
pub struct Soak {
    pub(crate) fleet: PacketFleet,
    pub(crate) proxied_daemons: Vec<ProxiedDaemon>,
    pub(crate) schedule: FaultSchedule,
    /// Indices of the faults in force.
    pub(crate) active: BTreeSet<usize>,
    /// Indices of the zones out of service.
    pub(crate) zones_out: BTreeSet<usize>,
    /// Daemons that read the store for others, as of the start of the last fault that affects such daemons.
    pub(crate) readers: BTreeSet<usize>,
    pub(crate) checker: PromiseChecker,
    /// When operators write again what the restored store has lost.
    pub(crate) rewrite_at: Option<Instant>,
    pub(crate) next_id: u64,
    pub(crate) callers: Vec<Callers>,
    /// Cuts of the links to all daemons, while they are in force.
    pub(crate) link_cuts: Vec<LinkCut>,
    /// Requests per second that the slots of each service can serve.
    pub(crate) capacity_per_s: [f64; 2],
}

impl Soak {
    /// Describes the faults of a seed, one a line.
    pub fn list(spec: &SoakSpec, seed: u64) -> Vec<String> {
        spec.schedule(seed).lines()
    }

    /// Runs the faults of a seed and reports the broken promises.
    ///
    /// # Errors
    ///
    /// Fails if the fleet cannot be set up or a fault cannot be injected, in which case no promise was checked.
    pub fn run_seed(spec: &SoakSpec, seed: u64) -> anyhow::Result<Verdict> {
        let mut fleet = spec.builder().prepare(&spec.program)?;
        let proxied_daemons =
            (0..fleet.len()).map(|index| ProxiedDaemon::start_proxies(&fleet, index, seed));
        let proxied_daemons = proxied_daemons.collect::<anyhow::Result<Vec<_>>>()?;
        for index in 0..fleet.len() {
            fleet.start_daemon(index)?;
        }
        fleet.await_rotation()?;
        let callers = start_callers(&fleet, spec.feeds, seed)?;
        let schedule = spec.schedule(seed);
        let soak = Self {
            checker: PromiseChecker::new(schedule.clone()),
            fleet,
            proxied_daemons,
            schedule,
            active: BTreeSet::new(),
            zones_out: BTreeSet::new(),
            readers: BTreeSet::new(),
            rewrite_at: None,
            next_id: UPSTREAM_ID_BASE,
            callers,
            link_cuts: Vec::new(),
            capacity_per_s: [0, 1].map(|service| spec.capacity_per_s(service)),
        };
        soak.run(seed)
    }

    fn run(mut self, seed: u64) -> anyhow::Result<Verdict> {
        let started = self.checker.started;
        while started.elapsed() < self.schedule.end {
            self.step(started.elapsed())?;
            thread::sleep(POLL_INTERVAL);
        }
        self.step(Duration::MAX)?;
        self.await_recovery()?;
        let calm = Instant::now();
        while calm.elapsed() < RECOVERED_LOAD_TIME {
            self.step(Duration::MAX)?;
            thread::sleep(POLL_INTERVAL);
        }
        self.checker.calm = Some(calm);
        let callers = std::mem::take(&mut self.callers).into_iter();
        let results: Vec<_> = callers.map(Callers::stop).collect();
        let violations = self.checker.violations(&self.fleet, &results);
        let outcomes = results.iter().flat_map(|r| &r.outcomes);
        let answered = outcomes.clone().filter(|o| o.took.is_some()).count();
        Ok(Verdict {
            seed,
            faults: self.schedule.lines(),
            logs: (!violations.is_empty()).then(|| self.fleet.keep_logs()),
            violations,
            requests: [outcomes.count(), answered],
        })
    }

    /// Starts and ends the faults that are due, and checks the processes.
    fn step(&mut self, now: Duration) -> anyhow::Result<()> {
        let due = self.schedule.faults.iter().enumerate();
        let due: BTreeSet<_> = due
            .filter(|(_, fault)| fault.at <= now && now < fault.end())
            .map(|(index, _)| index)
            .collect();
        let before = std::mem::replace(&mut self.active, due);
        let begun: Vec<_> = self.active.difference(&before).copied().collect();
        let ended: Vec<_> = before.difference(&self.active).copied().collect();
        for index in begun {
            self.start_fault(self.schedule.faults[index].kind)?;
        }
        for index in ended {
            self.end_fault(self.schedule.faults[index].kind)?;
        }
        self.apply_lasting_faults()?;
        if self
            .rewrite_at
            .take_if(|at| Instant::now() >= *at)
            .is_some()
        {
            self.write_again();
        }
        self.check_processes()
    }

    pub(crate) fn kinds(&self) -> Vec<Kind> {
        let active = self.active.iter();
        active
            .map(|index| self.schedule.faults[*index].kind)
            .collect()
    }

    /// Applies what a fault does once, at its start.
    fn start_fault(&mut self, kind: Kind) -> anyhow::Result<()> {
        if kind.affects_readers() {
            self.readers = self.find_readers();
        }
        match kind {
            Kind::ReadersKilled => {
                for daemon in self.readers.clone() {
                    self.kill(daemon);
                }
            }
            Kind::Killed(daemon) => self.kill(daemon),
            Kind::Stopped(daemon) => self.stop(daemon),
            Kind::AllRestarted | Kind::AllRestartedBlind => {
                for daemon in 0..self.proxied_daemons.len() {
                    self.kill(daemon);
                }
            }
            Kind::Edited {
                daemon,
                signal,
                wrong,
            } => self.edit_settings(daemon, signal, wrong)?,
            Kind::StoreAway => self.fleet.store.expire_prefix("servers/"),
            Kind::HistoryLost => self.fleet.store.compact_history(),
            Kind::StoreRestored => self.fleet.store.take_copy(),
            Kind::Configured => self.fleet.configure(&[ROUTE_PORT, ROUTE_PORT + 1, 7_000]),
            Kind::UpstreamSilent(upstream) => self.fleet.upstreams[upstream].silence(),
            Kind::UpstreamDrained(upstream) => self.fleet.upstreams[upstream].drain(),
            Kind::AddressReused(upstream) => {
                self.fleet.upstreams[upstream].end();
                let id = self.next_id();
                self.fleet.reuse_address(upstream, 1, id)?;
            }
            Kind::UpstreamAdded(zone) => {
                let id = self.next_id();
                self.fleet.add_upstream(zone, id, WARMUP)?;
            }
            _ => {}
        }
        Ok(())
    }

    /// Applies what a fault does once, at its end.
    fn end_fault(&mut self, kind: Kind) -> anyhow::Result<()> {
        match kind {
            Kind::Edited { daemon, signal, .. } => self.restore_settings(daemon, signal)?,
            Kind::Configured => self.fleet.configure(&[ROUTE_PORT, ROUTE_PORT + 1]),
            Kind::StoreRestored => {
                self.fleet.store.restore();
                self.rewrite_at = Some(Instant::now() + REWRITE_DELAY);
            }
            Kind::UpstreamSilent(upstream) | Kind::UpstreamDrained(upstream) => {
                self.fleet.upstreams[upstream].end();
            }
            _ => {}
        }
        Ok(())
    }

    /// Writes the configuration, the evacuations and their ends again after a restoration of the store.
    fn write_again(&self) {
        self.fleet.configure_again();
        for (index, zone) in self.fleet.zones().iter().enumerate() {
            match self.zones_out.contains(&index) {
                true => self.fleet.evacuate(zone),
                false => self.fleet.end_evacuation(zone),
            }
        }
    }

    fn edit_settings(&mut self, daemon: usize, signal: bool, wrong: bool) -> anyhow::Result<()> {
        self.fleet.edit_settings(daemon, |text| match wrong {
            true => text.replace("\"flow_s\"", "\"flow_seconds\""),
            false => text.replace("\"flow_s\": 60", "\"flow_s\": 50"),
        })?;
        self.send_sighup(daemon, signal);
        Ok(())
    }

    fn restore_settings(&mut self, daemon: usize, signal: bool) -> anyhow::Result<()> {
        self.fleet.edit_settings(daemon, |text| {
            text.replace("\"flow_seconds\"", "\"flow_s\"")
                .replace("\"flow_s\": 50", "\"flow_s\": 60")
        })?;
        self.send_sighup(daemon, signal);
        Ok(())
    }

    fn send_sighup(&self, daemon: usize, signal: bool) {
        if signal && self.proxied_daemons[daemon].running {
            self.fleet.reload(daemon);
        }
    }

    /// Finds the daemons that read the store for others; daemons that are down or paused cannot be queried.
    fn find_readers(&self) -> BTreeSet<usize> {
        let reads = |index: &usize| {
            let proxied = &self.proxied_daemons[*index];
            let reachable = proxied.running && !proxied.paused;
            let status = reachable.then(|| self.fleet.status(*index));
            let role = status.and_then(|status| status.ok()).map(|one| one.role);
            role == Some(StoreRole::Reader)
        };
        (0..self.proxied_daemons.len()).filter(reads).collect()
    }

    fn next_id(&mut self) -> u64 {
        self.next_id += 1 << 8;
        self.next_id
    }

    /// Waits until the fleet has recovered, and records a violation if it has not.
    fn await_recovery(&mut self) -> anyhow::Result<()> {
        let until = Instant::now() + STOP_TIMEOUT;
        let is_stopping = |one: &ProxiedDaemon| one.stopping.is_some();
        while (self.proxied_daemons.iter().any(is_stopping) || self.rewrite_at.is_some())
            && Instant::now() < until
        {
            self.step(Duration::MAX)?;
            thread::sleep(POLL_INTERVAL);
        }
        if let Err(err) = self.fleet.await_rotation() {
            self.checker.record(err.to_string());
        }
        if let Err(err) = self.fleet.await_configuration() {
            self.checker.record(err.to_string());
        }
        Ok(())
    }
}

fn start_callers(fleet: &PacketFleet, feeds: usize, seed: u64) -> anyhow::Result<Vec<Callers>> {
    let callers = (0..fleet.zones().len()).map(|zone| {
        let mut plan = fleet.plan(zone, seed * 16 + zone as u64);
        plan.feeds = feeds;
        plan.feed_interval = FEED_INTERVAL;
        plan.posts_per_s = POSTS_PER_S;
        plan.post_route = fleet.route(ROUTE_PORT + (zone % 2) as u16);
        fleet.callers(plan)
    });
    callers.collect()
}
