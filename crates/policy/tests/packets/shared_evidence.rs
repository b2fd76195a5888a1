//! Reports about upstreams that the daemons of a zone exchange.

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

fn ids(returned: &[FailedOpening]) -> Vec<u64> {
    returned.iter().map(|one| one.upstream.0).collect()
}

#[test]
fn a_report_is_returned_once() {
    let now = Instant::now();
    let mut silence_reports = SilenceReports::default();
    silence_reports.record(failed(1, now), now);
    silence_reports.record(failed(2, now), now);
    let (last, returned) = silence_reports.after(0, 9, now);
    assert_eq!(ids(&returned), [1, 2]);
    assert_eq!(silence_reports.after(last, 9, now), (last, vec![]));
    silence_reports.record(failed(1, now), now);
    assert_eq!(
        ids(&silence_reports.after(last, 9, now).1),
        [1],
        "a new report follows a new failure"
    );
}

#[test]
fn more_reports_than_fit_are_returned_in_several_answers() {
    let now = Instant::now();
    let mut silence_reports = SilenceReports::default();
    (1..=10).for_each(|id| silence_reports.record(failed(id, now), now));
    let mut number = 0;
    let mut returned = Vec::new();
    for _ in 0..3 {
        let (last, some) = silence_reports.after(number, 4, now);
        assert!(some.len() <= 4);
        returned.extend(ids(&some));
        number = last;
    }
    assert_eq!(returned, (1..=10).collect::<Vec<_>>());
}

#[test]
fn an_expired_report_is_not_returned() {
    let now = Instant::now();
    let mut silence_reports = SilenceReports::default();
    silence_reports.record(failed(1, now), now);
    silence_reports.record(failed(2, now), now);
    silence_reports.record_answer(UpstreamId(2));
    assert_eq!(ids(&silence_reports.after(0, 9, now).1), [1]);
    assert_eq!(
        ids(&silence_reports.after(0, 9, now + REPORT_TTL).1),
        [0; 0]
    );
}

#[test]
fn all_reports_are_returned_after_a_restart_of_the_daemon() {
    let now = Instant::now();
    let mut silence_reports = SilenceReports::default();
    silence_reports.record(failed(1, now), now);
    assert_eq!(ids(&silence_reports.after(77, 9, now).1), [1]);
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
        "a single failure may be a caller that left"
    );
    scene
        .balancer
        .apply_peer_report(PeerReport::Failed(failed(1, now)), now);
    assert!(
        !scene.balancer.is_silent(id, now),
        "the same failure, reported twice"
    );
    scene
        .balancer
        .apply_peer_report(PeerReport::Failed(failed(1, before)), now);
    assert!(
        scene.balancer.is_silent(id, now),
        "an earlier failure, reported later"
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
fn reports_of_other_daemons_reset_no_open_flow() {
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
