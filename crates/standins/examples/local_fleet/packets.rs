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
        phases::{
            phase_end,
            Verdict,
            VERDICT_REQUESTS_MIN, //
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
    ops::Range,
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

/// Phases in their order. Each begins with its event and ends with the next one.
const PHASES: [Phase; 11] = [
    Phase::planned("calm", Event::Start, 0.08),
    Phase::planned("zone out", Event::ZoneOut, 0.15),
    Phase::planned("store lost, entries lapse", Event::StoreLost, 0.13),
    Phase::planned("store back", Event::StoreBack, 0.07),
    Phase::planned("zone in", Event::ZoneIn, 0.05),
    Phase::planned("store restored", Event::StoreRestored, 0.12),
    Phase::unplanned("an upstream is silent", Event::UpstreamSilent, 0.09),
    Phase::planned("an upstream drains", Event::UpstreamDrains, 0.07),
    Phase::planned("a daemon stops", Event::DaemonStops, 0.10),
    Phase::unplanned("a daemon is killed", Event::DaemonKilled, 0.06),
    Phase::unplanned("all daemons restart", Event::AllRestart, 0.10),
];

#[derive(Clone, Copy, Debug)]
struct Phase {
    name: &'static str,
    event: Event,
    /// Length relative to the other phases.
    weight: f64,
    /// Whether requests must be answered in time although the event happens.
    is_planned: bool,
}

impl Phase {
    const fn planned(name: &'static str, event: Event, weight: f64) -> Self {
        Self {
            name,
            event,
            weight,
            is_planned: true,
        }
    }

    const fn unplanned(name: &'static str, event: Event, weight: f64) -> Self {
        Self {
            is_planned: false,
            ..Self::planned(name, event, weight)
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Start,
    ZoneOut,
    StoreLost,
    StoreBack,
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
    let planned_end = began + Duration::from_secs(options.seconds);
    let weights = PHASES.map(|phase| phase.weight);
    let mut times = Vec::new();
    for (index, phase) in PHASES.iter().enumerate() {
        let phase_began = Instant::now();
        println!("{:5.1} s  {:?}", began.elapsed().as_secs_f64(), phase.event);
        apply(&mut fleet, phase.event)?;
        let end = phase_end(&weights[index..], phase_began, Instant::now(), planned_end);
        thread::sleep(end.saturating_duration_since(Instant::now()));
        times.push(phase_began..Instant::now());
    }
    let results = callers.into_iter().map(Callers::stop).collect();
    let record = Record { times, results };
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
        Event::Start => (),
        Event::ZoneOut => fleet.evacuate(zone),
        Event::ZoneIn => {
            fleet.store.take_copy();
            fleet.end_evacuation(zone);
        }
        Event::StoreLost => {
            fleet.store.set_fault(Fault::Busy);
            fleet.store.expire_prefix("servers/");
        }
        Event::StoreBack => {
            fleet.store.set_fault(Fault::None);
            print_return(fleet)?;
        }
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
    /// Times of the phases, in the order of [`PHASES`].
    times: Vec<Range<Instant>>,
    results: Vec<Results>,
}

impl Record {
    /// Time at which an event began.
    fn at(&self, event: Event) -> Instant {
        let mut phases = PHASES.iter().zip(&self.times);
        let found = phases.find(|(phase, _)| phase.event == event);
        found.expect("each event begins a phase").1.start
    }

    fn outcomes(&self) -> impl Iterator<Item = &Outcome> {
        self.results.iter().flat_map(|r| &r.outcomes)
    }

    fn print(&self, fleet: &PacketFleet) -> ExitCode {
        println!(
            "\nphase                                   asked  answered  in time       p50       p99  verdict"
        );
        let phases = PHASES.iter().zip(&self.times);
        let verdicts: Vec<_> = phases
            .map(|(phase, times)| (phase.name, self.print_phase(phase, times)))
            .collect();
        let time: Duration = self.times.iter().map(|times| times.end - times.start).sum();
        print_calls(fleet, time);
        let mut broken = self.broken(fleet);
        let with = |wanted| verdicts.iter().filter(move |(_, v)| *v == Some(wanted));
        broken.extend(
            with(Verdict::Broken).map(|(name, _)| format!("{name}: too few requests in time")),
        );
        for (name, _) in with(Verdict::NotJudged) {
            println!("not judged: {name}, fewer than {VERDICT_REQUESTS_MIN} requests");
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

    /// Prints a phase, and returns its verdict if its event is planned.
    fn print_phase(&self, phase: &Phase, times: &Range<Instant>) -> Option<Verdict> {
        let asked = self.outcomes().filter(|o| times.contains(&o.asked));
        let asked: Vec<_> = asked.collect();
        let took: Vec<_> = asked.iter().filter_map(|o| o.took).collect();
        let in_time = took.iter().filter(|took| **took <= TARGET_LATENCY).count();
        let mut latencies = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3)
            .expect("the bounds and digits are allowed");
        for took in &took {
            latencies.saturating_record(took.as_micros() as u64);
        }
        let percent = in_time as f64 * 100.0 / asked.len().max(1) as f64;
        let ms = |quantile| latencies.value_at_quantile(quantile) as f64 / 1_000.0;
        let verdict = phase
            .is_planned
            .then(|| Verdict::of(asked.len(), in_time, IN_TIME_MIN));
        println!(
            "{:<38} {:>6} {:>9} {percent:>7.2}% {:>7.1} ms {:>6.1} ms  {}",
            phase.name,
            asked.len(),
            took.len(),
            ms(0.5),
            ms(0.99),
            verdict.map_or("unplanned".to_owned(), |verdict| verdict.to_string()),
        );
        verdict
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
