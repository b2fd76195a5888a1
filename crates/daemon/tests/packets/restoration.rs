//! A store that is restored from an older copy: no change is missed, and none that was in force is undone.

use crate::scene::{
    builder,
    program,
    Scene, //
};
use foxtailhinge_config::packet_report::{
    StoreRole,
    UpstreamStanding, //
};
use foxtailhinge_standins::packets::{
    fleet::{
        PacketFleet,
        ROUTE_PORT, //
    },
    store::Fault, //
};
use std::time::{
    Duration,
    Instant, //
};

/// Time within which a change must be in force.
const IN_FORCE: Duration = Duration::from_secs(3);
/// Number of entries that the store loses besides those of a test.
const LOST: usize = 300;
/// Zone whose service a test interrupts.
const ZONE: &str = "windhoek-2";

/// A fleet whose store names its eras and has a copy of its contents.
fn start(daemons: usize) -> Scene {
    let builder = builder().daemons(daemons).name_eras(true);
    let scene = Scene::of(builder.start(&program()).unwrap());
    scene.run(2_500);
    scene.store.take_copy();
    scene
}

/// Lets the store be away for a moment and come back from its copy.
fn restore(scene: &Scene) {
    scene.store.add_unrelated(LOST);
    scene.run(1_500);
    scene.store.set_fault(Fault::Busy);
    scene.run(300);
    scene.store.restore();
    scene.store.set_fault(Fault::None);
}

/// Number of daemons at which an upstream has a standing.
fn count(fleet: &PacketFleet, upstream: usize, standing: UpstreamStanding) -> usize {
    let id = format!("{:010x}", fleet.upstreams[upstream].spec().id);
    let has_standing = |index: &usize| {
        let status = fleet.status(*index).unwrap();
        let known = status.upstreams.iter().find(|u| *u.id == *id);
        known.is_some_and(|u| u.standing == standing)
    };
    (0..fleet.len()).filter(has_standing).count()
}

/// Indexes of the daemons that read the store for others.
fn readers(scene: &Scene) -> Vec<usize> {
    let is_reader = |index: &usize| scene.status(*index).unwrap().role == StoreRole::Reader;
    (0..scene.len()).filter(is_reader).collect()
}

fn await_standing(scene: &Scene, upstream: usize, standing: UpstreamStanding) {
    let what = format!("upstream {upstream} is {standing:?} everywhere");
    scene
        .wait_until(&what, |fleet| {
            count(fleet, upstream, standing) == fleet.len()
        })
        .unwrap();
}

/// Asserts for some time that an upstream has a standing at all daemons.
fn check_standing(scene: &Scene, upstream: usize, standing: UpstreamStanding, time: Duration) {
    let began = Instant::now();
    while began.elapsed() < time {
        assert_eq!(
            count(scene, upstream, standing),
            scene.len(),
            "upstream {upstream} is {standing:?} {:?} after the restoration",
            began.elapsed()
        );
        scene.run(50);
    }
}

#[test]
fn changes_are_in_force_in_time_after_a_restoration() {
    let mut scene = start(4);
    restore(&scene);
    scene.configure(&[ROUTE_PORT, ROUTE_PORT + 1, 8_443]);
    let took = scene.await_configuration().unwrap();
    assert!(took < IN_FORCE, "{took:?}");
}

#[test]
fn all_upstreams_answer_during_a_restoration() {
    let mut scene = start(4).load(4, 10.0);
    // An upstream that registers after the copy was taken.
    scene.add_upstream(0, 0x7777, Duration::ZERO).unwrap();
    let new = scene.upstreams.len() - 1;
    await_standing(&scene, new, UpstreamStanding::Good);
    let began = Instant::now();
    restore(&scene);
    scene.run(5_000);
    let report = scene.finish();
    assert_eq!((report.unanswered(), report.resets()), (0, 0));
    report.check_on_time_share(began, Instant::now(), 0.99);
    await_standing(&scene, new, UpstreamStanding::Good);
}

#[test]
fn a_daemon_that_was_cut_off_during_the_restoration_misses_nothing() {
    let mut scene = start(4);
    let addr = scene.store_addr(0);
    scene.store.refuse(&[addr]);
    scene.run(800);
    restore(&scene);
    // The daemon's revision is assigned again, and more, before the daemon is back.
    scene.upstreams[0].end();
    scene.store.add_unrelated(2 * LOST);
    scene.store.refuse(&[]);
    await_standing(&scene, 0, UpstreamStanding::Unlisted);
    scene.configure(&[ROUTE_PORT, ROUTE_PORT + 1]);
    let took = scene.await_configuration().unwrap();
    assert!(took < IN_FORCE, "{took:?}");
}

#[test]
fn an_upstream_that_has_left_is_not_used_again() {
    let scene = start(4);
    scene.upstreams[0].end();
    scene.upstreams[1].drain();
    await_standing(&scene, 0, UpstreamStanding::Unlisted);
    await_standing(&scene, 1, UpstreamStanding::Draining);
    let mut scene = scene.load(0, 20.0);
    restore(&scene);
    // The store passes the revisions that the daemons know before the copy's entries expire.
    scene.store.add_unrelated(2 * LOST);
    check_standing(
        &scene,
        0,
        UpstreamStanding::Unlisted,
        Duration::from_secs(2),
    );
    check_standing(
        &scene,
        1,
        UpstreamStanding::Draining,
        Duration::from_secs(2),
    );
    let report = scene.finish();
    assert_eq!(report.unanswered(), 0);
}

#[test]
fn an_evacuated_zone_stays_out() {
    let scene = start(4);
    scene.evacuate(ZONE);
    await_standing(&scene, 1, UpstreamStanding::Out);
    restore(&scene);
    check_standing(&scene, 1, UpstreamStanding::Out, Duration::from_secs(3));
    scene.evacuate(ZONE);
    scene.run(2_000);
    scene.end_evacuation(ZONE);
    await_standing(&scene, 1, UpstreamStanding::Good);
}

#[test]
fn the_configuration_goes_back_neither_in_a_daemon_nor_by_its_restart() {
    let mut scene = start(8);
    scene.configure(&[ROUTE_PORT, ROUTE_PORT + 1, 8_443]);
    scene.await_configuration().unwrap();
    restore(&scene);
    scene.run(2_000);
    assert!(scene.await_configuration().unwrap() < Duration::from_secs(1));
    scene.kill(0);
    scene.start_daemon(0).unwrap();
    let took = scene.await_configuration().unwrap();
    assert!(
        took < IN_FORCE,
        "the other daemon of the zone passes it on: {took:?}"
    );
    let before = scene.version();
    scene.configure(&[ROUTE_PORT]);
    assert!(scene.version() > before);
    scene.await_configuration().unwrap();
}

#[test]
fn followers_are_not_held_back_by_a_reader_of_the_former_era() {
    let mut scene = start(20);
    // One of the two readers of each zone is cut off from the store.
    let zones = scene.zones().len();
    let readers = readers(&scene);
    let is_first = |i: &usize| readers.iter().find(|one| *one % zones == i % zones) == Some(i);
    let cut: Vec<usize> = readers.iter().copied().filter(is_first).collect();
    let addrs: Vec<_> = cut.iter().map(|index| scene.store_addr(*index)).collect();
    scene.store.refuse(&addrs);
    restore(&scene);
    scene.configure(&[ROUTE_PORT]);
    let version = scene.version();
    let began = Instant::now();
    scene
        .wait_until("all others have the configuration", |fleet| {
            let mut others = (0..fleet.len()).filter(|index| !cut.contains(index));
            others.all(|index| fleet.status(index).unwrap().configuration == Some(version))
        })
        .unwrap();
    let took = began.elapsed();
    assert!(took < IN_FORCE, "{took:?}");
}

#[test]
fn readers_that_start_in_the_new_era_learn_what_their_followers_know() {
    let mut scene = start(20);
    scene.upstreams[0].end();
    scene.evacuate(ZONE);
    scene.configure(&[ROUTE_PORT, ROUTE_PORT + 1, 8_443]);
    await_standing(&scene, 0, UpstreamStanding::Unlisted);
    await_standing(&scene, 1, UpstreamStanding::Out);
    scene.await_configuration().unwrap();
    let readers = readers(&scene);
    restore(&scene);
    scene.run(300);
    for reader in &readers {
        scene.kill(*reader);
    }
    for reader in &readers {
        scene.start_daemon(*reader).unwrap();
    }
    scene.await_rotation().unwrap();
    scene.run(1_000);
    // The copy's entry of the upstream has not expired yet.
    assert_eq!(count(&scene, 0, UpstreamStanding::Unlisted), scene.len());
    check_standing(&scene, 1, UpstreamStanding::Out, Duration::from_secs(1));
    scene.await_configuration().unwrap();
}

/// A daemon that started after the restoration, and was the only one of its zone, used the zone that was out.
#[test]
fn a_daemon_alone_in_its_zone_learns_at_its_start_what_the_store_has_lost() {
    const ALONE: usize = 1;
    let mut scene = start(4);
    scene.upstreams[0].end();
    scene.evacuate(ZONE);
    scene.configure(&[ROUTE_PORT, ROUTE_PORT + 1, 8_443]);
    await_standing(&scene, 0, UpstreamStanding::Unlisted);
    await_standing(&scene, 1, UpstreamStanding::Out);
    scene.await_configuration().unwrap();
    restore(&scene);
    scene.run(300);
    scene.kill(ALONE);
    scene.start_daemon(ALONE).unwrap();
    scene.await_rotation().unwrap();
    scene.run(1_500);
    assert_eq!(count(&scene, 0, UpstreamStanding::Unlisted), scene.len());
    check_standing(&scene, 1, UpstreamStanding::Out, Duration::from_secs(1));
    scene.await_configuration().unwrap();
}

/// A daemon that had not read the last changes before the store lost them did not learn of them from others either.
#[test]
fn a_daemon_that_was_behind_at_the_restoration_learns_what_the_store_has_lost() {
    const BEHIND: usize = 1;
    let mut scene = start(4);
    let addr = scene.store_addr(BEHIND);
    scene.store.refuse(&[addr]);
    scene.run(300);
    scene.evacuate(ZONE);
    scene.configure(&[ROUTE_PORT, ROUTE_PORT + 1, 8_443]);
    restore(&scene);
    scene.store.refuse(&[]);
    scene.run(3_000);
    check_standing(&scene, 1, UpstreamStanding::Out, Duration::from_secs(1));
    scene.await_configuration().unwrap();
}

#[test]
fn one_daemon_of_a_zone_lists_the_store_for_the_others() {
    let scene = start(20);
    let before = scene.store.calls();
    restore(&scene);
    scene.run(3_000);
    let calls = scene.store.calls() - before;
    // In 4.8 s: the watches of eight readers, their calls in the outage, and their lists of 50 pages.
    assert!(calls <= 8 * (6 + 6 + 50 + 4), "{calls} calls");
}
