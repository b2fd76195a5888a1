//! A fleet with proxies before its daemons, on which the faults of one seed are played.

use crate::{
    fault::Kind,
    place::Place,
    promises::Evidence,
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

/// Time between two looks at the fleet.
const TICK: Duration = Duration::from_millis(10);
/// Time for which the fleet is watched after the last fault.
const CALM: Duration = Duration::from_secs(4);
/// Time for which the ends of daemons are waited for, which is longer than their grace time.
const ENDED_WITHIN: Duration = Duration::from_secs(10);
/// First id of upstreams that a fault starts; it is above those of the fleet's own.
const FIRST_ID: u64 = 0x71_0000_0000;
/// Time for which an upstream that a fault adds is cold.
const WARMUP: Duration = Duration::from_secs(2);
/// Mean pause of a feed between two requests.
const FEED_PAUSE: Duration = Duration::from_millis(400);
/// Requests of one zone that each open a flow, per second.
const POSTS_PER_S: f64 = 30.0;

/// A fleet and its load.
pub struct Soak {
    pub(crate) fleet: PacketFleet,
    pub(crate) places: Vec<Place>,
    pub(crate) series: FaultSchedule,
    pub(crate) active: BTreeSet<usize>,
    pub(crate) zones_out: BTreeSet<usize>,
    /// Daemons that read for others when the last fault about them began.
    pub(crate) readers: BTreeSet<usize>,
    pub(crate) evidence: Evidence,
    pub(crate) next_id: u64,
}

impl Soak {
    /// The faults of a seed, a line each.
    pub fn list(spec: &SoakSpec, seed: u64) -> Vec<String> {
        FaultSchedule::draw(seed, spec.fault_window, spec.shape()).lines()
    }

    /// Plays the faults of a seed, and tells what came of it.
    ///
    /// # Errors
    ///
    /// Fails when the fleet cannot be started, which says nothing of the promises.
    pub fn run_seed(spec: &SoakSpec, seed: u64) -> anyhow::Result<Verdict> {
        let mut fleet = spec.builder().prepare(&spec.program)?;
        let places = (0..fleet.len()).map(|index| Place::take(&fleet, index, seed));
        let places = places.collect::<anyhow::Result<Vec<_>>>()?;
        for index in 0..fleet.len() {
            fleet.start_daemon(index)?;
        }
        fleet.await_rotation()?;
        let callers = start_callers(&fleet, spec.feeds, seed)?;
        let series = FaultSchedule::draw(seed, spec.fault_window, spec.shape());
        let soak = Self {
            evidence: Evidence::new(series.clone()),
            fleet,
            places,
            series,
            active: BTreeSet::new(),
            zones_out: BTreeSet::new(),
            readers: BTreeSet::new(),
            next_id: FIRST_ID,
        };
        soak.run(seed, callers)
    }

    fn run(mut self, seed: u64, callers: Vec<Callers>) -> anyhow::Result<Verdict> {
        let began = self.evidence.began;
        while began.elapsed() < self.series.end {
            self.step(began.elapsed())?;
            thread::sleep(TICK);
        }
        self.step(Duration::MAX)?;
        self.settle()?;
        let calm = Instant::now();
        while calm.elapsed() < CALM {
            self.step(Duration::MAX)?;
            thread::sleep(TICK);
        }
        self.evidence.calm = Some(calm);
        let results: Vec<_> = callers.into_iter().map(Callers::stop).collect();
        let violations = self.evidence.broken(&self.fleet, &results);
        let outcomes = results.iter().flat_map(|r| &r.outcomes);
        let answered = outcomes.clone().filter(|o| o.took.is_some()).count();
        Ok(Verdict {
            seed,
            faults: self.series.lines(),
            logs: (!violations.is_empty()).then(|| self.fleet.keep_logs()),
            violations,
            requests: [outcomes.count(), answered],
        })
    }

    /// Begins and ends the faults whose time has come, and looks at the processes.
    fn step(&mut self, now: Duration) -> anyhow::Result<()> {
        let due = self.series.faults.iter().enumerate();
        let due: BTreeSet<_> = due
            .filter(|(_, fault)| fault.at <= now && now < fault.end())
            .map(|(index, _)| index)
            .collect();
        let before = std::mem::replace(&mut self.active, due);
        let begun: Vec<_> = self.active.difference(&before).copied().collect();
        let ended: Vec<_> = before.difference(&self.active).copied().collect();
        for index in begun {
            self.begin(self.series.faults[index].kind)?;
        }
        for index in ended {
            self.finish(self.series.faults[index].kind)?;
        }
        self.hold();
        self.look_at_processes()
    }

    pub(crate) fn kinds(&self) -> Vec<Kind> {
        let active = self.active.iter();
        active
            .map(|index| self.series.faults[*index].kind)
            .collect()
    }

    /// What a fault does once, at its beginning.
    fn begin(&mut self, kind: Kind) -> anyhow::Result<()> {
        if kind.is_about_readers() {
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
                for daemon in 0..self.places.len() {
                    self.kill(daemon);
                }
            }
            Kind::Edited {
                daemon,
                signal,
                wrong,
            } => self.edit(daemon, signal, wrong)?,
            Kind::StoreAway => self.fleet.store.expire_prefix("servers/"),
            Kind::HistoryLost => self.fleet.store.compact_history(),
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

    /// What a fault does once, at its end.
    fn finish(&mut self, kind: Kind) -> anyhow::Result<()> {
        match kind {
            Kind::Edited { daemon, signal, .. } => self.restore(daemon, signal)?,
            Kind::Configured => self.fleet.configure(&[ROUTE_PORT, ROUTE_PORT + 1]),
            Kind::UpstreamSilent(upstream) | Kind::UpstreamDrained(upstream) => {
                self.fleet.upstreams[upstream].end();
            }
            _ => {}
        }
        Ok(())
    }

    fn edit(&mut self, daemon: usize, signal: bool, wrong: bool) -> anyhow::Result<()> {
        self.fleet.edit_settings(daemon, |text| match wrong {
            true => text.replace("\"flow_s\"", "\"flow_seconds\""),
            false => text.replace("\"flow_s\": 60", "\"flow_s\": 50"),
        })?;
        self.tell(daemon, signal);
        Ok(())
    }

    fn restore(&mut self, daemon: usize, signal: bool) -> anyhow::Result<()> {
        self.fleet.edit_settings(daemon, |text| {
            text.replace("\"flow_seconds\"", "\"flow_s\"")
                .replace("\"flow_s\": 50", "\"flow_s\": 60")
        })?;
        self.tell(daemon, signal);
        Ok(())
    }

    fn tell(&self, daemon: usize, signal: bool) {
        if signal && self.places[daemon].runs {
            self.fleet.reload(daemon);
        }
    }

    /// The daemons that read the store for others, among those that can tell.
    fn find_readers(&self) -> BTreeSet<usize> {
        let reads = |index: &usize| {
            let place = &self.places[*index];
            let asked = place.runs && !place.paused;
            let status = asked.then(|| self.fleet.status(*index));
            let role = status.and_then(|status| status.ok()).map(|one| one.role);
            role == Some(StoreRole::Reader)
        };
        (0..self.places.len()).filter(reads).collect()
    }

    fn next_id(&mut self) -> u64 {
        self.next_id += 1 << 8;
        self.next_id
    }

    /// Waits until the fleet is whole again, and notes what is not.
    fn settle(&mut self) -> anyhow::Result<()> {
        let until = Instant::now() + ENDED_WITHIN;
        while self.places.iter().any(|place| place.stopping.is_some()) && Instant::now() < until {
            self.step(Duration::MAX)?;
            thread::sleep(TICK);
        }
        if let Err(err) = self.fleet.await_rotation() {
            self.evidence.note(err.to_string());
        }
        if let Err(err) = self.fleet.await_configuration() {
            self.evidence.note(err.to_string());
        }
        Ok(())
    }
}

fn start_callers(fleet: &PacketFleet, feeds: usize, seed: u64) -> anyhow::Result<Vec<Callers>> {
    let callers = (0..fleet.zones().len()).map(|zone| {
        let mut plan = fleet.plan(zone, seed * 16 + zone as u64);
        plan.feeds = feeds;
        plan.feed_interval = FEED_PAUSE;
        plan.posts_per_s = POSTS_PER_S;
        plan.post_route = fleet.route(ROUTE_PORT + (zone % 2) as u16);
        fleet.callers(plan)
    });
    callers.collect()
}
