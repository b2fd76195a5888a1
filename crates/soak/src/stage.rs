//! A fleet with proxies before its daemons, on which the faults of one seed are played.

use crate::{
    fault::{
        Kind,
        Shape, //
    },
    lane::{
        Lane,
        LaneMode, //
    },
    link::{
        Link,
        LinkMode, //
    },
    promises::{
        Ended,
        Evidence, //
    },
    series::Series,
    verdict::Verdict, //
};
use anyhow::Context;
use foxtailhinge_standins::{
    fleet::{
        Deployment,
        Program, //
    },
    packets::{
        builder::Builder,
        callers::Callers,
        fabric::HashKind,
        fleet::{
            PacketFleet,
            ROUTE_PORT, //
        },
        store::Fault as StoreFault, //
    },
};
use serde_json::{
    json,
    Value, //
};
use std::{
    collections::BTreeSet,
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
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
/// Port at which a daemon takes packets behind its lane.
const BEHIND_LANE: u16 = 6_001;
/// Port at which a daemon's link to the store listens.
const LINK: u16 = 6_002;
/// Memory that a daemon may use, in kilobytes (letter 1: 32 MB).
const MEMORY_KB: u64 = 32 * 1024;
/// First id of upstreams that a fault starts; it is above those of the fleet's own.
const FIRST_ID: u64 = 0x71_0000_0000;
/// Time for which an upstream that a fault adds is cold.
const WARMUP: Duration = Duration::from_secs(2);
/// Mean pause of a feed between two requests.
const FEED_PAUSE: Duration = Duration::from_millis(400);
/// Requests of one zone that each open a flow, per second.
const POSTS_PER_S: f64 = 30.0;

/// What a soak is made of.
#[derive(Clone, Debug)]
pub struct StageSpec {
    /// The daemon's program.
    pub program: Program,
    /// Zones, services and the way in which flows find their daemons.
    pub deployment: Deployment,
    /// Number of daemons.
    pub daemons: usize,
    /// Upstreams of the first service and the second one.
    pub upstreams: [usize; 2],
    /// Feeds of each zone.
    pub feeds: usize,
    /// Time in which faults come.
    pub time: Duration,
}

impl StageSpec {
    /// Eight daemons before eighteen upstreams, and faults for fourteen seconds.
    pub fn new(program: Program, deployment: Deployment) -> Self {
        Self {
            program,
            deployment,
            daemons: 8,
            upstreams: [14, 4],
            feeds: 16,
            time: Duration::from_secs(14),
        }
    }

    fn shape(&self) -> Shape {
        Shape {
            daemons: self.daemons,
            zones: self.deployment.zones().len(),
            upstreams: self.upstreams[0],
        }
    }

    fn builder(&self) -> Builder {
        let hash = match self.deployment {
            Deployment::Kalahari => HashKind::Steady,
            Deployment::SouthernCross => HashKind::Mod,
        };
        let [first, second] = self.upstreams;
        Builder::new(self.deployment)
            .daemons(self.daemons)
            .upstreams(first, second)
            .hash(hash)
    }
}

/// A daemon of the fleet, with what stands before it.
struct Seat {
    link: Link,
    lane: Lane,
    store: SocketAddr,
    runs: bool,
    paused: bool,
    /// When it was asked to stop, and whether it was paused since.
    stopping: Option<(Instant, bool)>,
}

/// A fleet and its load.
pub struct Stage {
    fleet: PacketFleet,
    seats: Vec<Seat>,
    series: Series,
    active: BTreeSet<usize>,
    zones_out: BTreeSet<usize>,
    evidence: Evidence,
    next_id: u64,
}

impl Stage {
    /// The faults of a seed, a line each.
    pub fn list(spec: &StageSpec, seed: u64) -> Vec<String> {
        Series::draw(seed, spec.time, spec.shape()).lines()
    }

    /// Plays the faults of a seed, and tells what came of it.
    ///
    /// # Errors
    ///
    /// Fails when the fleet cannot be started, which says nothing of the promises.
    pub fn play(spec: &StageSpec, seed: u64) -> anyhow::Result<Verdict> {
        let mut fleet = spec.builder().prepare(&spec.program)?;
        let seats = (0..fleet.len()).map(|index| take_seat(&fleet, index, seed));
        let seats = seats.collect::<anyhow::Result<Vec<_>>>()?;
        for index in 0..fleet.len() {
            fleet.start_daemon(index)?;
        }
        fleet.await_rotation()?;
        let callers = start_callers(&fleet, spec.feeds, seed)?;
        let series = Series::draw(seed, spec.time, spec.shape());
        let stage = Self {
            evidence: Evidence::new(series.clone()),
            fleet,
            seats,
            series,
            active: BTreeSet::new(),
            zones_out: BTreeSet::new(),
            next_id: FIRST_ID,
        };
        stage.run(seed, callers)
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
        let broken = self.evidence.broken(&self.fleet, &results);
        let outcomes = results.iter().flat_map(|r| &r.outcomes);
        let answered = outcomes.clone().filter(|o| o.took.is_some()).count();
        Ok(Verdict {
            seed,
            faults: self.series.lines(),
            logs: (!broken.is_empty()).then(|| self.fleet.keep_logs()),
            broken,
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

    fn kinds(&self) -> Vec<Kind> {
        let active = self.active.iter();
        active
            .map(|index| self.series.faults[*index].kind)
            .collect()
    }

    /// What a fault does once, at its beginning.
    fn begin(&mut self, kind: Kind) -> anyhow::Result<()> {
        match kind {
            Kind::Killed(daemon) => self.kill(daemon),
            Kind::Stopped(daemon) => self.stop(daemon),
            Kind::AllRestarted | Kind::AllRestartedBlind => {
                for daemon in 0..self.seats.len() {
                    self.kill(daemon);
                }
            }
            Kind::Edited {
                daemon,
                signal,
                wrong,
            } => self.edit(daemon, signal, wrong)?,
            Kind::StoreAway => self.fleet.store.lapse("servers/"),
            Kind::HistoryLost => self.fleet.store.forget_history(),
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

    /// What faults do for as long as they last.
    fn hold(&mut self) {
        let kinds = self.kinds();
        let store = kinds.iter().find_map(|kind| match kind {
            Kind::StoreBusy | Kind::StoreAway | Kind::AllRestartedBlind => Some(StoreFault::Busy),
            Kind::StoreSilent => Some(StoreFault::Silent),
            _ => None,
        });
        self.fleet.store.fail(store.unwrap_or_default());
        let lag = kinds.iter().find_map(|kind| match kind {
            Kind::StoreLate(lag) => Some(*lag),
            _ => None,
        });
        self.fleet.store.lag(lag.unwrap_or_default());
        let refused = kinds.iter().filter_map(|kind| match kind {
            Kind::Refused(daemon) => Some(self.seats[*daemon].store),
            _ => None,
        });
        self.fleet.store.refuse(&refused.collect::<Vec<_>>());
        for (index, seat) in self.seats.iter().enumerate() {
            let link = kinds.iter().find_map(|kind| match kind {
                Kind::Link(daemon, mode) if *daemon == index => Some(*mode),
                _ => None,
            });
            seat.link.set(link.unwrap_or(LinkMode::Open));
            let lane = kinds.iter().find_map(|kind| match kind {
                Kind::Lane(daemon, mode) if *daemon == index => Some(*mode),
                _ => None,
            });
            seat.lane.set(lane.unwrap_or(LaneMode::default()));
        }
        self.hold_zones(&kinds);
        self.hold_pauses(&kinds);
    }

    fn hold_zones(&mut self, kinds: &[Kind]) {
        let out = kinds.iter().filter_map(|kind| match kind {
            Kind::ZoneOut(zone) => Some(*zone),
            _ => None,
        });
        let out: BTreeSet<_> = out.collect();
        for zone in out.difference(&self.zones_out) {
            self.fleet.take_out(self.fleet.zones()[*zone]);
        }
        for zone in self.zones_out.difference(&out) {
            self.fleet.take_in(self.fleet.zones()[*zone]);
        }
        self.zones_out = out;
    }

    fn hold_pauses(&mut self, kinds: &[Kind]) {
        for index in 0..self.seats.len() {
            let pause = kinds.contains(&Kind::Paused(index));
            let seat = &mut self.seats[index];
            if pause && seat.runs && !seat.paused {
                seat.paused = true;
                if let Some((_, paused)) = &mut seat.stopping {
                    *paused = true;
                }
                self.fleet.freeze(index);
            } else if !pause && seat.paused {
                seat.paused = false;
                self.fleet.wake(index);
            }
        }
    }

    fn kill(&mut self, daemon: usize) {
        self.fleet.kill(daemon);
        let seat = &mut self.seats[daemon];
        (seat.runs, seat.paused, seat.stopping) = (false, false, None);
    }

    fn stop(&mut self, daemon: usize) {
        let seat = &mut self.seats[daemon];
        if seat.runs && seat.stopping.is_none() {
            seat.stopping = Some((Instant::now(), seat.paused));
            self.fleet.terminate(daemon);
        }
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
        if signal && self.seats[daemon].runs {
            self.fleet.hang_up(daemon);
        }
    }

    fn next_id(&mut self) -> u64 {
        self.next_id += 1 << 8;
        self.next_id
    }

    /// Notes processes that have ended, starts those that are to run, and watches their memory.
    fn look_at_processes(&mut self) -> anyhow::Result<()> {
        let kinds = self.kinds();
        for index in 0..self.seats.len() {
            if let Some(status) = self.fleet.ended(index) {
                let seat = &mut self.seats[index];
                let stopped = seat.stopping.take();
                self.evidence.ended(Ended {
                    daemon: index,
                    ok: status.success(),
                    took: stopped.map(|(since, _)| since.elapsed()),
                    paused: stopped.is_some_and(|(_, paused)| paused),
                });
                (seat.runs, seat.paused) = (false, false);
            }
            let down = |kind: &Kind| match kind {
                Kind::Killed(daemon) | Kind::Stopped(daemon) => *daemon == index,
                _ => false,
            };
            if !self.seats[index].runs && !kinds.iter().any(down) && !self.has_wrong_settings(index)
            {
                self.fleet.start_daemon(index)?;
                self.seats[index].runs = true;
            }
            if let Some(memory) = self.fleet.memory_kb(index).filter(|kb| *kb > MEMORY_KB) {
                self.evidence.memory(index, memory);
            }
        }
        Ok(())
    }

    /// A daemon does not start with wrong settings.
    fn has_wrong_settings(&self, index: usize) -> bool {
        self.kinds().iter().any(
            |kind| matches!(kind, Kind::Edited { daemon, wrong: true, .. } if *daemon == index),
        )
    }

    /// Waits until the fleet is whole again, and notes what is not.
    fn settle(&mut self) -> anyhow::Result<()> {
        let until = Instant::now() + Duration::from_secs(10);
        while self.seats.iter().any(|seat| seat.stopping.is_some()) && Instant::now() < until {
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
        plan.pause = FEED_PAUSE;
        plan.posts_per_s = POSTS_PER_S;
        plan.post_route = fleet.route(ROUTE_PORT + (zone % 2) as u16);
        fleet.callers(plan)
    });
    callers.collect()
}

/// Puts the proxies before a daemon, which has its settings and does not run yet.
fn take_seat(fleet: &PacketFleet, index: usize, seed: u64) -> anyhow::Result<Seat> {
    let mut listen = None;
    fleet.edit_settings(index, |text| {
        let mut settings: Value = serde_json::from_str(&text).unwrap_or_default();
        let addr: Option<SocketAddrV4> = settings["listen"].as_str().and_then(|s| s.parse().ok());
        listen = addr;
        if let Some(addr) = addr {
            settings["listen"] = json!(SocketAddrV4::new(*addr.ip(), BEHIND_LANE).to_string());
            settings["store"] = json!(SocketAddrV4::new(*addr.ip(), LINK).to_string());
        }
        serde_json::to_string_pretty(&settings).unwrap_or(text)
    })?;
    let listen = listen.context("the settings name no address for packets")?;
    let store = fleet.store_addr(index);
    let link = SocketAddrV4::new(*listen.ip(), LINK);
    let behind = SocketAddrV4::new(*listen.ip(), BEHIND_LANE);
    Ok(Seat {
        link: Link::start(link.into(), store)?,
        lane: Lane::start(listen, behind, seed + index as u64)?,
        store,
        runs: true,
        paused: false,
        stopping: None,
    })
}
