//! Return of all callers at once after an outage of all daemons.

use crate::scene::{
    upstream,
    Scene, //
};
use foxtailhinge_policy::packets::{
    thundering_herd::HERD_WINDOW,
    Verdict, //
};
use std::time::Duration;

fn is_delayed(verdict: Verdict) -> bool {
    matches!(verdict, Verdict::Wait { .. })
}

/// Starts a daemon that receives `fresh` first packets and `late` second copies; also returns how many were delayed.
fn herd(fresh: u16, late: u16) -> (Scene, usize) {
    let mut scene = Scene::new().upstream(1, upstream()).upstream(2, upstream());
    let mut delayed = 0;
    for caller in 0..fresh.max(late) {
        if caller < fresh {
            assert!(
                !is_delayed(scene.open(caller, 0)),
                "a first packet is forwarded immediately"
            );
        }
        if caller < late {
            delayed += usize::from(is_delayed(scene.open(10_000 + caller, 2)));
        }
        scene.after(1);
    }
    (scene, delayed)
}

#[test]
fn overdue_openings_are_delayed_during_a_thundering_herd() {
    // Load after an outage of 1.5 s of a deployment with 56 slots: 600 openings in 0.7 s, 128 of them second copies.
    let (_, delayed) = herd(472, 128);
    assert!(delayed >= 120, "{delayed} of 128 are delayed");
}

#[test]
fn a_few_lost_packets_are_no_thundering_herd() {
    let mut scene = Scene::new().upstream(1, upstream());
    for caller in 0..100 {
        assert!(!is_delayed(scene.open(caller, 0)));
        if caller % 10 == 9 {
            assert!(!is_delayed(scene.open(10_000 + caller, 2)));
        }
    }
}

#[test]
fn a_first_copy_that_can_still_be_in_time_is_forwarded_immediately() {
    let (mut scene, _) = herd(10, 10);
    assert!(!is_delayed(scene.open(20_000, 1)));
}

#[test]
fn a_copy_whose_first_packet_was_seen_here_is_forwarded_immediately() {
    let (mut scene, _) = herd(10, 10);
    assert!(!is_delayed(scene.open(5, 2)));
}

#[test]
fn a_delayed_opening_is_forwarded_before_the_caller_gives_up() {
    let mut scene = Scene::new().upstream(1, upstream());
    let began = scene.now;
    for caller in 0..10 {
        scene.open(caller, 2);
    }
    let Verdict::Wait { until } = scene.open(11, 2) else {
        panic!("the opening is not delayed");
    };
    assert_eq!(until, began + HERD_WINDOW);
    assert!(HERD_WINDOW < Duration::from_millis(800));
    scene.now = until;
    assert!(!is_delayed(scene.open(11, 2)));
}

#[test]
fn delayed_openings_keep_their_order_of_arrival() {
    let (mut scene, _) = herd(10, 10);
    let until = |verdict| match verdict {
        Verdict::Wait { until } => until,
        verdict => panic!("the opening is not delayed: {verdict:?}"),
    };
    let first = until(scene.open(20_000, 2));
    scene.after(100);
    let second = until(scene.open(20_001, 2));
    assert_eq!(
        second - first,
        Duration::from_millis(100),
        "each is delayed from its own arrival"
    );
}

#[test]
fn nothing_is_delayed_after_the_herd() {
    let (mut scene, _) = herd(10, 10);
    scene.after(HERD_WINDOW.as_millis() as u64);
    assert!(!is_delayed(scene.open(30_000, 2)));
}
