//! Run in packet mode: the endpoints of flows repeat a flow label, and daemons only read the store.

use crate::{
    Options,
    DAEMON, //
};
use anyhow::Context;
use foxtailhinge_config::packet_report::{
    StoreRole,
    UpstreamStanding, //
};
use foxtailhinge_standins::{
    fleet::Program,
    packets::{
        builder::Builder,
        callers::Callers,
        fabric::HashKind,
        fleet::{
            PacketFleet,
            ROUTE_PORT, //
        },
        results::{
            repeated_runs,
            Outcome,
            ReceivedReset,
            Results, //
        },
        store::Fault,
        upstream::Opening,
    },
};
use hdrhistogram::Histogram;
use std::{
    collections::HashMap,
    process::ExitCode,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// Feeds held in each zone.
const FEEDS: usize = 24;
/// Requests per second in each zone, each of which opens a flow.
const POSTS_PER_S: f64 = 40.0;
/// Target for the time until a request is answered.
const TARGET_LATENCY: Duration = Duration::from_millis(250);
/// Time after which no new flow may open in a zone that was taken out.
const ZONE_QUIET_AFTER: Duration = Duration::from_secs(5);
/// Time after which no new flow may open at a draining upstream.
const DRAINED_AFTER: Duration = Duration::from_secs(3);
/// Time for which the store is away before it comes back from a copy.
const AWAY: Duration = Duration::from_millis(300);
/// Minimum share of requests that must be answered within the target time in a phase with planned events.
const IN_TIME_MIN: f64 = 0.95;

/// Events, each with the share of the run at which it happens.
const EVENTS: [(f64, Event); 11] = [
    (0.10, Event::ZoneOut),
    (0.25, Event::StoreLost),
    (0.38, Event::StoreBack),
    (0.42, Event::StoreCopied),
    (0.45, Event::ZoneIn),
    (0.50, Event::StoreRestored),
    (0.55, Event::UpstreamSilent),
    (0.65, Event::UpstreamDrains),
    (0.72, Event::DaemonStops),
    (0.82, Event::DaemonKilled),
    (0.88, Event::AllRestart),
];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    ZoneOut,
    StoreLost,
    StoreBack,
    StoreCopied,
    ZoneIn,
    StoreRestored,
    UpstreamSilent,
    UpstreamDrains,
    DaemonStops,
    DaemonKilled,
    AllRestart,
}

/// Runs the fleet and prints the results; the exit code is a failure if a promise was broken.
///
/// # Errors
///
/// Fails if the fleet, the callers or a restarted daemon cannot be started.
pub(crate) fn run(options: &Options) -> anyhow::Result<ExitCode> {
    let program = Program {
        path: std::env::current_exe().context("this program has no path")?,
        args: vec![DAEMON.to_owned()],
    };
    let builder = Builder::new(options.deployment)
        .daemons(options.daemons)
        .name_eras(true);
    let hash = HashKind::of(options.deployment);
    let mut fleet = builder.hash(hash).start(&program)?;
    let callers = start_callers(&fleet, options.seed)?;
    let began = Instant::now();
    let mut times = HashMap::new();
    for (share, event) in EVENTS {
        let at = began + Duration::from_secs(options.seconds).mul_f64(share);
        thread::sleep(at.saturating_duration_since(Instant::now()));
        println!("{:5.1} s  {event:?}", began.elapsed().as_secs_f64());
        apply(&mut fleet, event)?;
        times.insert(event as usize, Instant::now());
    }
    let end = began + Duration::from_secs(options.seconds);
    thread::sleep(end.saturating_duration_since(Instant::now()));
    let results = callers.into_iter().map(Callers::stop).collect();
    let record = Record {
        began,
        end,
        times,
        results,
    };
    Ok(record.print(&fleet))
}

fn start_callers(fleet: &PacketFleet, seed: u64) -> anyhow::Result<Vec<Callers>> {
    let zones = 0..fleet.zones().len();
    let callers = zones.map(|zone| {
        let mut plan = fleet.plan(zone, seed * 16 + zone as u64);
        plan.feeds = FEEDS;
        plan.posts_per_s = POSTS_PER_S;
        fleet.callers(plan)
    });
    callers.collect()
}

fn apply(fleet: &mut PacketFleet, event: Event) -> anyhow::Result<()> {
    let zone = fleet.zones()[fleet.zones().len() - 1];
    match event {
        Event::ZoneOut => fleet.evacuate(zone),
        Event::ZoneIn => fleet.end_evacuation(zone),
        Event::StoreLost => {
            fleet.store.set_fault(Fault::Busy);
            fleet.store.expire_prefix("servers/");
        }
        Event::StoreBack => {
            fleet.store.set_fault(Fault::None);
            print_return(fleet)?;
        }
        Event::StoreCopied => fleet.store.take_copy(),
        Event::StoreRestored => {
            fleet.store.set_fault(Fault::Busy);
            thread::sleep(AWAY);
            fleet.store.restore();
            fleet.store.set_fault(Fault::None);
            print_return(fleet)?;
        }
        Event::UpstreamSilent => fleet.upstreams[0].silence(),
        Event::UpstreamDrains => fleet.upstreams[1].drain(),
        Event::DaemonStops => fleet.terminate(0),
        Event::DaemonKilled => fleet.kill(1),
        Event::AllRestart => {
            for index in 0..fleet.len() {
                fleet.kill(index);
                fleet.start_daemon(index)?;
            }
        }
    }
    Ok(())
}

/// Publishes a configuration when the store is back, and prints when it is in force, when all upstreams are used again
/// and how often the store was called until then.
fn print_return(fleet: &mut PacketFleet) -> anyhow::Result<()> {
    let (began, calls) = (Instant::now(), fleet.store.calls());
    fleet.configure(&[ROUTE_PORT, ROUTE_PORT + 1]);
    fleet.await_configuration()?;
    let in_force = began.elapsed();
    fleet.wait_until("all daemons use all upstreams", |fleet| {
        let statuses = (0..fleet.len()).map(|index| fleet.status(index));
        statuses.flatten().all(|status| {
            let mut upstreams = status.upstreams.iter();
            upstreams.all(|u| u.standing != UpstreamStanding::Unlisted)
        })
    })?;
    println!(
        "         a change in force after {:.2} s, all upstreams listed after {:.2} s, {} calls of the store",
        in_force.as_secs_f64(),
        began.elapsed().as_secs_f64(),
        fleet.store.calls() - calls
    );
    Ok(())
}

/// Prints the number of calls of the store, and how many daemons read it.
fn print_calls(fleet: &PacketFleet, time: Duration) {
    let calls = fleet.store.calls();
    let each = calls as f64 / fleet.len() as f64 / time.as_secs_f64();
    println!("\ncalls of the store                     {calls:>6}   {each:.2} a second and daemon");
    let roles = (0..fleet.len()).filter_map(|index| fleet.status(index).ok());
    let mut roles: Vec<_> = roles.map(|status| status.role).collect();
    let all = roles.len();
    roles.retain(|role| matches!(role, StoreRole::Alone | StoreRole::Reader));
    println!(
        "daemons that read it at the end        {:>6}   of {all}",
        roles.len()
    );
}

struct Record {
    began: Instant,
    end: Instant,
    times: HashMap<usize, Instant>,
    results: Vec<Results>,
}

impl Record {
    fn at(&self, event: Event) -> Instant {
        self.times[&(event as usize)]
    }

    fn outcomes(&self) -> impl Iterator<Item = &Outcome> {
        self.results.iter().flat_map(|r| &r.outcomes)
    }

    fn print(&self, fleet: &PacketFleet) -> ExitCode {
        println!("\nphase                                   asked  answered  in time       p50       p99");
        let phases = [
            ("calm", self.began, self.at(Event::ZoneOut)),
            (
                "zone out",
                self.at(Event::ZoneOut),
                self.at(Event::StoreLost),
            ),
            (
                "store lost, entries lapse",
                self.at(Event::StoreLost),
                self.at(Event::StoreBack),
            ),
            (
                "store back",
                self.at(Event::StoreBack),
                self.at(Event::ZoneIn),
            ),
            (
                "zone in",
                self.at(Event::ZoneIn),
                self.at(Event::StoreRestored),
            ),
            (
                "store restored",
                self.at(Event::StoreRestored),
                self.at(Event::UpstreamSilent),
            ),
            (
                "an upstream is silent",
                self.at(Event::UpstreamSilent),
                self.at(Event::UpstreamDrains),
            ),
            (
                "an upstream drains",
                self.at(Event::UpstreamDrains),
                self.at(Event::DaemonStops),
            ),
            (
                "a daemon stops",
                self.at(Event::DaemonStops),
                self.at(Event::DaemonKilled),
            ),
            (
                "a daemon is killed",
                self.at(Event::DaemonKilled),
                self.at(Event::AllRestart),
            ),
            ("all daemons restart", self.at(Event::AllRestart), self.end),
        ];
        let shares = phases.map(|(name, from, to)| (name, self.print_phase(name, from, to)));
        print_calls(fleet, self.end - self.began);
        let mut broken = self.broken(fleet);
        let planned = [
            "calm",
            "zone out",
            "store lost, entries lapse",
            "store back",
            "zone in",
            "store restored",
            "an upstream drains",
            "a daemon stops",
        ];
        for (name, share) in shares.iter().filter(|(name, _)| planned.contains(name)) {
            if *share < IN_TIME_MIN {
                broken.push(format!("{name}: {:.2} % in time", share * 100.0));
            }
        }
        for promise in &broken {
            println!("BROKEN: {promise}");
        }
        if broken.is_empty() {
            println!("All promises were kept.");
            return ExitCode::SUCCESS;
        }
        ExitCode::FAILURE
    }

    fn print_phase(&self, name: &str, from: Instant, to: Instant) -> f64 {
        let asked: Vec<_> = self
            .outcomes()
            .filter(|o| o.asked >= from && o.asked < to)
            .collect();
        let took: Vec<_> = asked.iter().filter_map(|o| o.took).collect();
        let in_time = took.iter().filter(|took| **took <= TARGET_LATENCY).count();
        let mut times = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3)
            .expect("the bounds and digits are allowed");
        for took in &took {
            times.saturating_record(took.as_micros() as u64);
        }
        let share = in_time as f64 / asked.len().max(1) as f64;
        let ms = |quantile| times.value_at_quantile(quantile) as f64 / 1_000.0;
        println!(
            "{name:<38} {:>6} {:>9} {:>7.2}% {:>7.1} ms {:>6.1} ms",
            asked.len(),
            took.len(),
            share * 100.0,
            ms(0.5),
            ms(0.99)
        );
        share
    }

    fn broken(&self, fleet: &PacketFleet) -> Vec<String> {
        let seen = fleet.seen.lock().expect("no holder of the lock panics");
        let zone = fleet.zones()[fleet.zones().len() - 1];
        let out = self.at(Event::ZoneOut) + ZONE_QUIET_AFTER..self.at(Event::ZoneIn);
        let drained = self.at(Event::UpstreamDrains) + DRAINED_AFTER;
        let draining = fleet.upstreams[1].spec().id;
        let opened =
            |wrong: &dyn Fn(&Opening) -> bool| seen.openings.iter().filter(|o| wrong(o)).count();
        let (silenced_at, silent) = (self.at(Event::UpstreamSilent), fleet.upstreams[0].spec().id);
        let is_dead = |r: &ReceivedReset| r.upstream == Some(silent) && r.at >= silenced_at;
        let resets = self.results.iter().flat_map(|r| &r.resets);
        let resets = resets.filter(|r| !is_dead(r));
        let checks = [
            (
                "requests run twice that must not",
                repeated_runs(&seen, &self.results).len(),
            ),
            (
                "answers of another request or upstream",
                self.results.iter().map(|r| r.wrong as usize).sum(),
            ),
            ("packets changed on their way", seen.damaged as usize),
            (
                "flows of a living upstream reset by the balancer",
                resets.filter(|r| r.by_balancer).count(),
            ),
            (
                "flows opened at a wrong service",
                opened(&|o| o.service != fleet.service_of(o.route)),
            ),
            ("flows opened at a cold upstream", opened(&|o| o.cold)),
            (
                "flows opened in a zone that is out",
                opened(&|o| o.zone == zone && out.contains(&o.at)),
            ),
            (
                "flows opened at a drained upstream",
                opened(&|o| o.upstream == draining && o.at >= drained),
            ),
        ];
        for (name, count) in &checks {
            println!("{name:<45} {count}");
        }
        let broken = checks.iter().filter(|(_, count)| *count > 0);
        broken
            .map(|(name, count)| format!("{name}: {count}"))
            .collect()
    }
}
