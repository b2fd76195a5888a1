//! Overload from end to end: what callers, upstreams and operators see of rejected openings.

use crate::scene::{
    builder,
    program,
    Crowd,
    Scene, //
};
use foxtailhinge_standins::packets::{
    fleet::{
        PacketFleet,
        ROUTE_PORT, //
    },
    results::Results, //
};
use serde_json::json;
use std::{
    collections::HashMap,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// Number of daemons in the zone.
const DAEMONS: usize = 3;
/// Number of upstreams of the first service, each with 4 slots and 50 ms of work: 240 requests a second.
const UPSTREAMS: usize = 3;
/// Port of the route whose callers are urgent; it has priority 0.
const URGENT_PORT: u16 = ROUTE_PORT;
/// Port of the route with priority 2.
const LATE_PORT: u16 = ROUTE_PORT + 2;
/// VMs of urgent callers, which fit the slots by themselves.
const URGENT: std::ops::Range<usize> = 0..9;
/// Requests of urgent callers a second.
const URGENT_PER_S: f64 = 80.0;
/// VMs of the other callers.
const LATE: std::ops::Range<usize> = 10..34;
/// Requests of other callers a second; with the urgent ones, three times the slots.
const LATE_PER_S: f64 = 640.0;
/// VMs of callers of the lower priority after the load.
const FEW: std::ops::Range<usize> = 34..46;
/// Requests of these callers a second; with the urgent ones, half of the slots.
const FEW_PER_S: f64 = 40.0;
/// Time of the load until the admitted share has settled.
const SETTLING: Duration = Duration::from_millis(1_500);
/// Time before the first retransmission of an opening: a rejection that comes later is of no use to the caller.
const RETRANSMISSION: Duration = Duration::from_millis(200);
/// Time after the load within which everybody is admitted. The page expects about two seconds; the rest is for a busy
/// machine.
const ADMITTED_WITHIN: Duration = Duration::from_secs(4);

/// Value of a metric without labels, or with those in the name.
pub(crate) fn metric(text: &str, name: &str) -> u64 {
    let line = text.lines().find(|line| line.starts_with(name)).unwrap();
    line.split_whitespace().last().unwrap().parse().unwrap()
}

/// Number of openings that a daemon has rejected because of overload.
pub(crate) fn rejections(metrics: &str) -> u64 {
    metric(
        metrics,
        "foxtailhinge_packets_total{result=\"reset_overload\"}",
    )
}

fn all_rejections(fleet: &PacketFleet) -> u64 {
    let daemons = 0..fleet.len();
    daemons
        .map(|index| rejections(&fleet.metrics(index).unwrap()))
        .sum()
}

/// Starts a zone with two routes to the first service, of different priority.
fn start() -> Scene {
    let fleet = builder().zones(1).daemons(DAEMONS).upstreams(UPSTREAMS, 1);
    let mut scene = Scene::of(fleet.start(&program()).unwrap());
    scene.configure_priorities(&[(URGENT_PORT, 0), (ROUTE_PORT + 1, 1), (LATE_PORT, 2)]);
    scene.await_configuration().unwrap();
    scene
}

fn urgent(scene: &Scene) -> Crowd {
    scene.crowd(0, URGENT_PORT, URGENT, URGENT_PER_S)
}

fn late(scene: &Scene) -> Crowd {
    scene.crowd(0, LATE_PORT, LATE, LATE_PER_S)
}

/// Numbers of the requests of which each attempt was rejected before the flow was open.
fn rejected_requests(results: &[Results]) -> Vec<u64> {
    let mut resets = HashMap::<u64, u32>::new();
    for reset in results.iter().flat_map(|r| &r.resets) {
        if let (Some(number), true, true) = (
            reset.request,
            reset.by_balancer,
            reset.opening_took.is_some(),
        ) {
            *resets.entry(number).or_default() += 1;
        }
    }
    let outcomes = results.iter().flat_map(|r| &r.outcomes);
    let failed = outcomes.filter(|o| o.took.is_none());
    let rejected = failed.filter(|o| resets.get(&o.number) == Some(&o.attempts));
    rejected.map(|o| o.number).collect()
}

/// Waits until each daemon has rejected openings.
fn await_rejections(scene: &Scene) {
    scene
        .wait_until("each daemon rejects openings", |fleet| {
            (0..DAEMONS).all(|index| rejections(&fleet.metrics(index).unwrap()) > 0)
        })
        .unwrap();
}

/// Waits until each daemon admits all openings.
fn await_end(scene: &Scene) {
    scene
        .wait_until("the overload has ended", |_| {
            let mut loads = (0..DAEMONS).map(|index| scene.load_at(index).unwrap());
            loads.all(|load| load.admitted == 1.0)
        })
        .unwrap();
}

// Guards against an overload that the operators of a daemon cannot see in its log.
#[test]
fn each_daemon_logs_the_beginning_and_the_end_of_an_overload() {
    let scene = start();
    let urgent = urgent(&scene);
    let late = late(&scene);
    await_rejections(&scene);
    scene.run(1_000);
    let late = late.stop();
    await_end(&scene);
    let results = [late, urgent.stop()].concat();
    scene.report(results);
    for index in 0..DAEMONS {
        let count = |event| scene.events(index, event).len();
        let began = count("overload_began");
        assert!(began > 0, "daemon {index} rejected openings");
        assert_eq!(began, count("overload_ended"), "daemon {index}");
    }
}

// Guards against urgent callers that get no part of the slots, although all of them fit.
#[test]
fn urgent_callers_that_fit_the_slots_are_served() {
    let scene = start();
    let urgent = urgent(&scene);
    let late = late(&scene);
    await_rejections(&scene);
    thread::sleep(SETTLING);
    let from = Instant::now();
    scene.run(3_000);
    let to = Instant::now();
    let late = late.stop();
    let urgent = urgent.stop();
    let served = scene.report(urgent).on_time_share(from, to);
    scene.report(late);
    assert!(served >= 0.9, "{served:.3} of the urgent requests in time");
}

// Guards against rejected requests that have run, open flows that are reset, upstreams that are called dead because they
// are busy, rejections that come late, urgent callers that are served worse than others, and a service that rejects
// without load.
#[test]
fn a_service_under_three_times_its_load_rejects_only_what_cannot_be_served() {
    let scene = start();
    let mut plan = scene.plan(0, 99);
    plan.addr = scene.callers_addr(9);
    plan.feeds = 4;
    let feeds = scene.callers(plan).unwrap();
    let urgent = urgent(&scene);
    scene.run(1_000);
    assert_eq!(
        scene.event_count("opening_rejected"),
        0,
        "the service is calm"
    );
    let late = late(&scene);
    let from = Instant::now() + SETTLING;
    await_rejections(&scene);
    scene.run(4_000);
    let to = Instant::now();
    let late = late.stop();
    let gone = Instant::now();
    let few = scene.crowd(0, LATE_PORT, FEW, FEW_PER_S);
    loop {
        let before = all_rejections(&scene);
        scene.run(500);
        if all_rejections(&scene) == before {
            break;
        }
        let took = gone.elapsed();
        assert!(
            took < ADMITTED_WITHIN,
            "openings are rejected after {took:?}"
        );
    }
    let before = all_rejections(&scene);
    await_end(&scene);
    assert_eq!(
        all_rejections(&scene),
        before,
        "no rejection without overload"
    );
    let few = few.stop();
    let urgent = urgent.stop();
    let feeds = feeds.stop();

    let rejected = rejected_requests(&late);
    assert!(rejected.len() > 200, "{} rejected requests", rejected.len());
    {
        let seen = scene.seen.lock().unwrap();
        let ran = rejected
            .iter()
            .filter(|number| seen.runs.contains_key(number));
        assert_eq!(ran.count(), 0, "a rejected request has not run");
    }
    let served = scene.report(urgent.clone()).on_time_share(from, to);
    let others = scene.report(late.clone()).on_time_share(from, to);
    assert!(
        served > 0.5 && served > 2.0 * others,
        "{served:.3} of the urgent requests in time, {others:.3} of the others"
    );
    let results = [urgent, late, few, vec![feeds]].concat();
    check_rejections(&scene, &results);
    check_logs(&scene);
    scene.report(results);
}

fn check_rejections(scene: &Scene, results: &[Results]) {
    let resets = results.iter().flat_map(|r| &r.resets);
    let resets: Vec<_> = resets.filter(|r| r.by_balancer).collect();
    let open = resets.iter().filter(|r| r.opening_took.is_none());
    assert_eq!(open.count(), 0, "no open flow is reset");
    let mut took: Vec<_> = resets.iter().filter_map(|r| r.opening_took).collect();
    took.sort();
    let (median, most) = (took[took.len() / 2], took[took.len() * 95 / 100]);
    assert!(
        median < RETRANSMISSION / 4,
        "half of the rejections took {median:?}"
    );
    assert!(
        most < RETRANSMISSION,
        "a twentieth of the rejections took {most:?}"
    );
    let rejected = all_rejections(scene);
    assert!(
        rejected >= took.len() as u64,
        "{rejected} in the metrics, {} at callers",
        took.len()
    );
}

fn check_logs(scene: &Scene) {
    assert_eq!(
        scene.event_count("upstream_dead"),
        0,
        "all upstreams are alive"
    );
    let lines = (0..DAEMONS).flat_map(|index| scene.events(index, "opening_rejected"));
    let lines: Vec<_> = lines.collect();
    for event in ["overload_began", "overload_ended"] {
        assert!(scene.event_count(event) > 0, "no daemon logs {event}");
    }
    assert!(
        lines.iter().any(|line| line.contains("reason=Overload")),
        "{lines:?}"
    );
}

// Guards against settings that are shown as in force but change nothing, and rejections that outlast them.
#[test]
fn openings_are_rejected_only_while_the_settings_allow_it() {
    let scene = start();
    scene.set_load_settings(&json!({"shed": false}));
    scene.reload_all();
    let late = late(&scene);
    scene
        .wait_until("the service is overloaded", |_| {
            (0..DAEMONS).all(|index| {
                let load = scene.load_at(index);
                load.is_some_and(|load| load.utilization > 1.5 && load.daemons == DAEMONS as u32)
            })
        })
        .unwrap();
    scene.run(1_500);
    assert_eq!(all_rejections(&scene), 0);
    scene.set_load_settings(&json!({"shed": true}));
    scene.reload_all();
    scene
        .wait_until("openings are rejected", |fleet| all_rejections(fleet) > 100)
        .unwrap();
    scene.set_load_settings(&json!({"shed": false}));
    scene.reload_all();
    let before = all_rejections(&scene);
    scene.run(1_500);
    assert_eq!(all_rejections(&scene), before);
    scene.report(late.stop());
}
