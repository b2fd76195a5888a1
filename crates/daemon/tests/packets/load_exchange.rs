//! Exchange of loads between the daemons of a zone with an overloaded service.

use crate::scene::{
    builder,
    program,
    Crowd,
    Scene, //
};
use foxtailhinge_config::packet_report::StoreRole;
use foxtailhinge_standins::packets::fleet::ROUTE_PORT;
use rstest::rstest;
use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// Number of upstreams of the first service, each with 4 slots and 50 ms of work: 240 requests a second.
const UPSTREAMS: usize = 3;
/// Requests a second for about twice the slots.
const OVERLOAD_PER_S: f64 = 500.0;
/// Requests a second for an eighth of the slots.
const CALM_PER_S: f64 = 30.0;
/// VMs of the callers.
const CALLERS: usize = 12;
/// Time within which daemons that are left know each other's load: two misses and the suspicion of the reader take 3 s at
/// the most, the next link and the first exchange 1 s; the rest is for a busy machine.
const RECOVERED_WITHIN: Duration = Duration::from_secs(8);

/// Time over which the bytes of the exchange are counted.
const EXCHANGED: Duration = Duration::from_secs(3);

/// Starts a zone with this number of daemons, and waits until they know each other.
fn start(daemons: usize) -> Scene {
    let fleet = builder().zones(1).daemons(daemons).upstreams(UPSTREAMS, 1);
    let scene = Scene::of(fleet.start(&program()).unwrap());
    scene
        .wait_until("the daemons know each other", |fleet| {
            let statuses = (0..daemons).map(|index| fleet.status(index).unwrap());
            let settled = statuses.filter(|status| match daemons > 3 {
                true => status.role == StoreRole::Reader || status.reader.is_some(),
                false => status.members == daemons,
            });
            settled.count() == daemons
        })
        .unwrap();
    scene
}

fn overload(scene: &Scene) -> Crowd {
    scene.crowd(0, ROUTE_PORT, 0..CALLERS, OVERLOAD_PER_S)
}

/// Waits until each of these daemons has the observations of `known` daemons in its load.
fn await_known(scene: &Scene, daemons: &[usize], known: u32) -> Duration {
    scene
        .wait_until(&format!("each knows the load of {known} daemons"), |_| {
            let mut loads = daemons.iter().map(|index| scene.load_at(*index));
            loads.all(|load| load.is_some_and(|load| load.daemons == known))
        })
        .unwrap()
}

// Guards against followers, readers or peers that do not send their load, or do not pass it on.
#[rstest]
#[case::two(2)]
#[case::five(5)]
fn each_daemon_knows_the_load_of_its_whole_zone(#[case] daemons: usize) {
    let scene = start(daemons);
    let crowd = overload(&scene);
    let all: Vec<_> = (0..daemons).collect();
    await_known(&scene, &all, daemons as u32);
    scene.report(crowd.stop());
}

// Guards against an exchange that ends with its reader.
#[test]
fn loads_are_exchanged_again_after_a_reader_was_killed() {
    let mut scene = start(5);
    let crowd = overload(&scene);
    await_known(&scene, &[0, 1, 2, 3, 4], 5);
    let is_reader = |index: &usize| scene.status(*index).unwrap().role == StoreRole::Reader;
    let reader = (0..5).find(is_reader).unwrap();
    scene.kill(reader);
    let left: Vec<_> = (0..5).filter(|index| *index != reader).collect();
    let took = await_known(&scene, &left, 4);
    assert!(took < RECOVERED_WITHIN, "{took:?}");
    scene.report(crowd.stop());
}

// Guards against decisions that stop, or go on with old reports, when no report of another daemon arrives.
#[test]
fn a_daemon_without_reports_of_others_decides_by_its_own_observations() {
    let mut scene = start(3);
    let crowd = overload(&scene);
    await_known(&scene, &[0, 1, 2], 3);
    scene.freeze(1);
    scene.freeze(2);
    let rejected = |scene: &Scene| {
        let metrics = scene.metrics(0).unwrap();
        crate::overload::rejections(&metrics)
    };
    scene
        .wait_until("the reports have expired", |_| {
            scene.load_at(0).is_some_and(|load| load.daemons == 1)
        })
        .unwrap();
    scene
        .wait_until("the routers use the last daemon", |fleet| {
            !fleet.is_in_rotation(1) && !fleet.is_in_rotation(2)
        })
        .unwrap();
    let before = rejected(&scene);
    scene
        .wait_until("the last daemon rejects", |_| {
            rejected(&scene) > before + 100
        })
        .unwrap();
    let answered = |crowd: &Crowd, from: Instant| {
        let results = crowd.results();
        let all = results.iter().flat_map(|r| &r.outcomes);
        all.filter(|o| o.asked >= from && o.took.is_some()).count()
    };
    let from = Instant::now();
    scene
        .wait_until("the last daemon admits", |_| answered(&crowd, from) > 100)
        .unwrap();
    scene.wake(1);
    scene.wake(2);
    await_known(&scene, &[0, 1, 2], 3);
    scene.report(crowd.stop());
}

// Guards against an exchange between calm daemons, which would cost traffic on ordinary days.
#[test]
fn calm_daemons_exchange_no_loads() {
    let scene = start(2);
    let crowd = scene.crowd(0, ROUTE_PORT, 0..CALLERS, CALM_PER_S);
    let sent = |scene: &Scene| -> u64 {
        let of = |index| {
            let metrics = scene.metrics(index).unwrap();
            crate::overload::metric(&metrics, "foxtailhinge_zone_sent_bytes_total")
        };
        (0..2).map(of).sum()
    };
    let sent_in = |time| {
        let before = sent(&scene);
        thread::sleep(time);
        sent(&scene) - before
    };
    scene
        .wait_until("traffic is observed", |_| {
            (0..2).all(|index| {
                scene
                    .load_at(index)
                    .is_some_and(|load| load.utilization > 0.0)
            })
        })
        .unwrap();
    // Daemons that start meet each other several times in the first two seconds.
    thread::sleep(Duration::from_secs(3));
    let calm = sent_in(EXCHANGED);
    for index in 0..2 {
        assert_eq!(scene.load_at(index).unwrap().daemons, 1, "daemon {index}");
    }
    let overload = scene.crowd(0, ROUTE_PORT, CALLERS..2 * CALLERS, OVERLOAD_PER_S);
    await_known(&scene, &[0, 1], 2);
    let busy = sent_in(EXCHANGED);
    let results = [crowd.stop(), overload.stop()].concat();
    scene.report(results);
    // Calm daemons may meet in this time, which is all that they send to each other.
    assert!(calm * 4 < busy, "{calm} bytes calm, {busy} bytes busy");
}
