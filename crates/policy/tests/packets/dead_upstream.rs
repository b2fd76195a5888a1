//! Open flows on an upstream that has died.

use crate::scene::{
    configuration,
    flow,
    further,
    upstream,
    Scene,
    PORT,
    SERVICE, //
};
use foxtailhinge_policy::packets::{
    dead_upstream::DEAD_TTL,
    Change,
    HealthChange,
    Kind,
    Packet,
    ResetReason,
    UpstreamId,
    Verdict, //
};

/// The upstream that dies.
const DYING: u64 = 1;

/// Two upstreams, and feeds of two callers that have had an answer from the first one.
fn feeds() -> Scene {
    let mut scene = Scene::new()
        .upstream(DYING, upstream())
        .upstream(2, upstream());
    for caller in [1, 2] {
        scene.request(caller, DYING, 1, 1, 100);
    }
    scene.after(50);
    for caller in [1, 2] {
        scene.request(caller, DYING, 101, 500, 0);
    }
    scene.after(1_000);
    scene
}

/// The next request of a caller's feed, or a repeat of it.
fn ask(scene: &mut Scene, caller: u16) -> Verdict {
    scene.request(caller, DYING, 101, 500, 100)
}

fn is_reset(verdict: Verdict) -> bool {
    verdict == Verdict::Reset(ResetReason::DeadUpstream)
}

/// Lets callers ask and repeat after 200 ms and 600 ms; gives what became of the last packets.
fn hang(scene: &mut Scene, callers: &[u16]) -> Vec<Verdict> {
    let mut verdicts = Vec::new();
    for pause in [0, 200, 400] {
        scene.after(pause);
        verdicts = callers.iter().map(|caller| ask(scene, *caller)).collect();
    }
    verdicts
}

#[test]
fn requests_of_two_callers_without_an_answer_show_that_the_upstream_died() {
    let mut scene = feeds();
    let verdicts = hang(&mut scene, &[1, 2]);
    assert!(!is_reset(verdicts[0]), "one caller alone shows nothing");
    assert!(is_reset(verdicts[1]));
    let beliefs = scene.balancer.take_health_changes();
    assert_eq!(beliefs, [HealthChange::Dead(UpstreamId(DYING))]);
    scene.after(800);
    assert!(is_reset(ask(&mut scene, 1)), "the next repeat of the other");
}

#[test]
fn one_caller_alone_shows_nothing_however_often_it_repeats() {
    let mut scene = feeds();
    assert!(!is_reset(hang(&mut scene, &[1])[0]));
    for pause in [800, 1_600, 1_600] {
        let verdict = ask(scene.after(pause), 1);
        assert!(
            !is_reset(verdict),
            "the link of this daemon may be what loses them"
        );
    }
}

#[test]
fn a_feed_that_was_idle_is_reset_with_its_first_request_and_opens_elsewhere() {
    let mut scene = feeds();
    scene.request(3, DYING, 1, 1, 100);
    scene.after(50);
    scene.request(3, DYING, 101, 500, 0);
    scene.after(1_000);
    hang(&mut scene, &[1, 2]);
    assert!(is_reset(ask(&mut scene, 3)));
    for number in 1..20 {
        let verdict = scene.decide(crate::scene::syn(further(flow(3, PORT), number), 0));
        assert_eq!(crate::scene::choice(verdict).id, UpstreamId(2));
    }
}

#[test]
fn one_answer_shows_that_the_upstream_lives() {
    let mut scene = feeds();
    scene.request(3, DYING, 1, 1, 100);
    scene.after(10);
    hang(&mut scene, &[1]);
    scene.request(3, DYING, 101, 500, 100);
    scene.after(10);
    scene.request(3, DYING, 201, 900, 100);
    let verdicts = hang(&mut scene, &[2]);
    assert!(!is_reset(verdicts[0]));
}

#[test]
fn an_upstream_that_answers_again_is_dead_no_more() {
    let mut scene = feeds();
    hang(&mut scene, &[1, 2]);
    scene.request(1, DYING, 201, 900, 100);
    scene.after(10);
    scene.request(1, DYING, 301, 1_300, 100);
    assert!(!is_reset(ask(&mut scene, 3)));
}

#[test]
fn requests_that_take_long_by_their_route_show_nothing_so_soon() {
    let mut cfg = configuration(2, &[(PORT, &[(SERVICE, 1)])]);
    for route in cfg.routes.values_mut() {
        route.target_latency = std::time::Duration::from_secs(2);
    }
    let mut scene = feeds().with(Change::Configured(cfg));
    let verdicts = hang(&mut scene, &[1, 2]);
    assert!(!verdicts.into_iter().any(is_reset));
}

#[test]
fn a_request_that_must_not_run_twice_is_left_to_its_upstream() {
    let mut cfg = configuration(2, &[(PORT, &[(SERVICE, 1)])]);
    for route in cfg.routes.values_mut() {
        route.is_idempotent = false;
    }
    let mut scene = feeds().with(Change::Configured(cfg));
    let verdicts = hang(&mut scene, &[1, 2]);
    assert!(!verdicts.into_iter().any(is_reset));
}

#[test]
fn packets_that_come_together_after_a_pause_of_the_daemon_show_nothing() {
    let mut scene = feeds();
    let verdicts: Vec<_> = (0..6).map(|n| ask(&mut scene, 1 + n % 2)).collect();
    assert!(!verdicts.into_iter().any(is_reset));
}

#[test]
fn one_caller_is_enough_when_the_entry_has_gone() {
    let mut scene = feeds().with(Change::Unlisted(UpstreamId(DYING), None));
    let verdicts = hang(&mut scene, &[1]);
    assert!(is_reset(verdicts[0]));
}

#[test]
fn an_entry_that_lapsed_in_an_outage_shows_nothing() {
    let mut scene = feeds();
    let now = scene.now;
    scene.directory.record_recovery(now);
    let mut scene = scene.with(Change::Unlisted(UpstreamId(DYING), None));
    let verdicts = hang(&mut scene, &[1]);
    assert!(!is_reset(verdicts[0]));
}

#[test]
fn an_upstream_is_tried_again_after_some_time() {
    let mut scene = feeds();
    hang(&mut scene, &[1, 2]);
    scene.after(u64::try_from(DEAD_TTL.as_millis()).unwrap());
    assert!(!is_reset(ask(&mut scene, 3)));
}

#[test]
fn the_end_of_a_flow_goes_to_a_dead_upstream_too() {
    let mut scene = feeds();
    hang(&mut scene, &[1, 2]);
    let end = Packet {
        flow: flow(3, PORT),
        label: UpstreamId(DYING).label(),
        kind: Kind::End,
        seq: 101,
        ack: 500,
        len: 0,
    };
    assert!(matches!(scene.decide(end), Verdict::Forward { .. }));
}
