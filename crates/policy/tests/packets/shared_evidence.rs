//! What daemons of a zone tell each other of upstreams.

use crate::scene::{
    upstream,
    Scene, //
};
use foxtailhinge_policy::packets::{
    shared_evidence::REPORT_TTL,
    FailedOpening,
    PeerReport,
    SilenceReports,
    UpstreamId,
    Verdict, //
};
use std::time::{
    Duration,
    Instant, //
};

fn failed(id: u64, at: Instant) -> FailedOpening {
    FailedOpening {
        upstream: UpstreamId(id),
        at,
    }
}

fn ids(told: &[FailedOpening]) -> Vec<u64> {
    told.iter().map(|one| one.upstream.0).collect()
}

#[test]
fn a_belief_is_told_once() {
    let now = Instant::now();
    let mut beliefs = SilenceReports::default();
    beliefs.record(failed(1, now), now);
    beliefs.record(failed(2, now), now);
    let (last, told) = beliefs.after(0, 9, now);
    assert_eq!(ids(&told), [1, 2]);
    assert_eq!(beliefs.after(last, 9, now), (last, vec![]));
    beliefs.record(failed(1, now), now);
    assert_eq!(
        ids(&beliefs.after(last, 9, now).1),
        [1],
        "it is silent again"
    );
}

#[test]
fn more_beliefs_than_fit_are_told_in_turns() {
    let now = Instant::now();
    let mut beliefs = SilenceReports::default();
    (1..=10).for_each(|id| beliefs.record(failed(id, now), now));
    let mut number = 0;
    let mut told = Vec::new();
    for _ in 0..3 {
        let (last, some) = beliefs.after(number, 4, now);
        assert!(some.len() <= 4);
        told.extend(ids(&some));
        number = last;
    }
    assert_eq!(told, (1..=10).collect::<Vec<_>>());
}

#[test]
fn a_belief_that_is_over_is_not_told() {
    let now = Instant::now();
    let mut beliefs = SilenceReports::default();
    beliefs.record(failed(1, now), now);
    beliefs.record(failed(2, now), now);
    beliefs.record_answer(UpstreamId(2));
    assert_eq!(ids(&beliefs.after(0, 9, now).1), [1]);
    assert_eq!(ids(&beliefs.after(0, 9, now + REPORT_TTL).1), [0; 0]);
}

#[test]
fn all_is_told_to_who_asked_an_earlier_life_of_the_daemon() {
    let now = Instant::now();
    let mut beliefs = SilenceReports::default();
    beliefs.record(failed(1, now), now);
    assert_eq!(ids(&beliefs.after(77, 9, now).1), [1]);
}

#[test]
fn a_failed_opening_of_a_peer_is_confirmed_by_a_second_one() {
    let mut scene = Scene::new();
    let (now, id) = (scene.now, UpstreamId(1));
    let before = now - Duration::from_millis(300);
    scene
        .balancer
        .apply_peer_report(PeerReport::Failed(failed(1, now)), now);
    assert!(
        !scene.balancer.is_silent(id, now),
        "one alone may be a caller that left"
    );
    scene
        .balancer
        .apply_peer_report(PeerReport::Failed(failed(1, now)), now);
    assert!(
        !scene.balancer.is_silent(id, now),
        "the same one, told twice"
    );
    scene
        .balancer
        .apply_peer_report(PeerReport::Failed(failed(1, before)), now);
    assert!(
        scene.balancer.is_silent(id, now),
        "an earlier one that comes later"
    );
}

#[test]
fn an_old_failed_opening_confirms_nothing() {
    let mut scene = Scene::new();
    let (now, id) = (scene.now, UpstreamId(1));
    let before = now - Duration::from_millis(1_500);
    scene
        .balancer
        .apply_peer_report(PeerReport::Failed(failed(1, before)), now);
    scene
        .balancer
        .apply_peer_report(PeerReport::Failed(failed(1, now)), now);
    assert!(!scene.balancer.is_silent(id, now));
}

#[test]
fn no_open_flow_is_reset_whatever_others_tell() {
    let mut scene = Scene::new().upstream(1, upstream()).upstream(2, upstream());
    let choice = scene.choose(7);
    for step in 1..=40_u64 {
        let now = scene.after(100).now;
        for id in [1, 2] {
            let at = now - Duration::from_millis(step);
            scene
                .balancer
                .apply_peer_report(PeerReport::Silent(failed(id, at)), now);
            scene
                .balancer
                .apply_peer_report(PeerReport::Failed(failed(id, at)), now);
        }
        let verdict = scene.request(7, choice.id.0, step as u32, 1, 10);
        assert!(
            matches!(verdict, Verdict::Forward { id, .. } if id == choice.id),
            "{verdict:?}"
        );
    }
}

#[test]
fn new_flows_avoid_an_upstream_that_another_daemon_found_silent() {
    let mut scene = Scene::new().upstream(1, upstream()).upstream(2, upstream());
    let now = scene.now;
    scene
        .balancer
        .apply_peer_report(PeerReport::Silent(failed(1, now)), now);
    for caller in 0..50 {
        assert_eq!(scene.choose(caller).id, UpstreamId(2));
    }
}
