//! Uneven zones: flows that leave a zone whose slots are too few.

use crate::scene::{
    builder,
    program,
    Scene, //
};
use foxtailhinge_standins::packets::fleet::ROUTE_PORT;
use serde_json::json;
use std::time::Instant;

/// Number of daemons, half of them in each of the two zones.
const DAEMONS: usize = 4;
/// Number of upstreams in both zones, each with 4 slots and 50 ms of work: 240 requests a second in each zone.
const UPSTREAMS: usize = 6;
/// VMs of the callers in the first zone.
const CALLERS: std::ops::Range<usize> = 0..12;
/// Requests a second for a third of the slots of the first zone.
const CALM_PER_S: f64 = 80.0;
/// Requests a second, with the calm ones, for one and a half times the slots of the first zone.
const MORE_PER_S: f64 = 280.0;

fn start() -> Scene {
    let fleet = builder().zones(2).daemons(DAEMONS).upstreams(UPSTREAMS, 2);
    let scene = Scene::of(fleet.start(&program()).unwrap());
    scene.await_configuration().unwrap();
    scene
}

/// Openings at upstreams of the second zone, and of both zones.
fn openings(scene: &Scene, from: Instant) -> (usize, usize) {
    let away = scene.zones()[1];
    let seen = scene.seen.lock().unwrap();
    let all: Vec<_> = seen.openings.iter().filter(|o| o.at >= from).collect();
    (all.iter().filter(|o| o.zone == away).count(), all.len())
}

// Guards against flows that leave their zone without need, and flows that wait in a full zone beside an empty one.
#[test]
fn flows_leave_a_zone_only_when_its_slots_are_too_few() {
    let scene = start();
    let began = Instant::now();
    let calm = scene.crowd(0, ROUTE_PORT, CALLERS, CALM_PER_S);
    scene.run(2_500);
    let (away, all) = openings(&scene, began);
    assert_eq!((away, scene.event_count("spillover_began")), (0, 0));
    assert!(all > 50, "{all} openings");
    let busy = scene.crowd(0, ROUTE_PORT, CALLERS.end..2 * CALLERS.end, MORE_PER_S);
    scene
        .wait_until("flows leave the first zone", |fleet| {
            !fleet.events(0, "spillover_began").is_empty()
        })
        .unwrap();
    scene.run(2_000);
    let from = Instant::now();
    scene.run(3_000);
    let (away, all) = openings(&scene, from);
    let share = away as f64 / all as f64;
    let to = Instant::now();
    let results = [busy.stop(), calm.stop()].concat();
    let report = scene.report(results);
    let in_time = report.on_time_share(from, to);
    // The slots of the first zone serve two thirds of the requests.
    assert!((0.15..0.7).contains(&share), "{share:.3} of the flows left");
    assert!(in_time >= 0.75, "{in_time:.3} in time");
    for index in [1, 3] {
        assert_eq!(
            scene.events(index, "spillover_began").len(),
            0,
            "daemon {index}"
        );
    }
    scene
        .wait_until("flows stay again", |fleet| {
            [0, 2].iter().all(|index| {
                let count = |event| fleet.events(*index, event).len();
                count("spillover_began") == count("spillover_ended")
            })
        })
        .unwrap();
}

// Guards against settings that are shown as in force but change nothing.
#[test]
fn flows_leave_a_zone_only_when_the_settings_allow_it() {
    let scene = start();
    scene.set_load_settings(&json!({"spill": false}));
    scene.reload_all();
    let crowd = scene.crowd(0, ROUTE_PORT, CALLERS, CALM_PER_S + MORE_PER_S);
    scene
        .wait_until("the zone is overloaded", |_| {
            scene.load_at(0).is_some_and(|load| load.utilization > 1.0)
        })
        .unwrap();
    scene.run(2_000);
    let leaving = [0, 2].map(|index| scene.load_at(index).unwrap().leaving);
    assert_eq!(leaving, [vec![], vec![]]);
    assert_eq!(scene.event_count("spillover_began"), 0);
    scene.set_load_settings(&json!({"spill": true}));
    scene.reload_all();
    scene
        .wait_until("flows leave", |_| {
            let leaving = [0, 2].map(|index| scene.load_at(index).unwrap().leaving);
            leaving.iter().all(|leaving| !leaving.is_empty())
                && scene.event_count("spillover_began") >= 2
        })
        .unwrap();
    scene.set_load_settings(&json!({"spill": false}));
    scene.reload_all();
    scene
        .wait_until("no share leaves", |_| {
            let leaving = [0, 2].map(|index| scene.load_at(index).unwrap().leaving);
            leaving.iter().all(Vec::is_empty)
        })
        .unwrap();
    let began = scene.event_count("spillover_began");
    scene.run(1_000);
    assert_eq!(scene.event_count("spillover_began"), began);
    scene.report(crowd.stop());
}
