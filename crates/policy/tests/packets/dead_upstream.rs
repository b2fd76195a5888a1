//! Open flows to an upstream that has died.

use crate::scene::{
    configuration,
    flow,
    flow_from_same_vm,
    upstream,
    Scene,
    PORT,
    SERVICE, //
};
use foxtailhinge_policy::packets::{
    dead_upstream::{
        DeadUpstreams,
        Unanswered,
        DEAD_TTL, //
    },
    Change,
    HealthChange,
    Kind,
    Packet,
    ResetReason,
    UpstreamId,
    Verdict, //
};
use std::time::{
    Duration,
    Instant, //
};

/// The upstream that dies.
const DYING: u64 = 1;

/// Two upstreams, and flows of two callers to the first one, which has answered once on each.
fn open_flows() -> Scene {
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

/// Sends the next request of a caller, or a retransmission of it.
fn ask(scene: &mut Scene, caller: u16) -> Verdict {
    scene.request(caller, DYING, 101, 500, 100)
}

fn is_reset(verdict: Verdict) -> bool {
    verdict == Verdict::Reset(ResetReason::DeadUpstream)
}

/// Lets callers send a request and retransmit it after 200 ms and 600 ms; returns the verdicts on the last packets.
fn retransmit(scene: &mut Scene, callers: &[u16]) -> Vec<Verdict> {
    let mut verdicts = Vec::new();
    for pause in [0, 200, 400] {
        scene.after(pause);
        verdicts = callers.iter().map(|caller| ask(scene, *caller)).collect();
    }
    verdicts
}

#[test]
fn unanswered_requests_of_two_callers_show_that_the_upstream_died() {
    let mut scene = open_flows();
    let verdicts = retransmit(&mut scene, &[1, 2]);
    assert!(!is_reset(verdicts[0]), "one caller alone is no evidence");
    assert!(is_reset(verdicts[1]));
    let health_changes = scene.balancer.take_health_changes();
    assert_eq!(health_changes, [HealthChange::Dead(UpstreamId(DYING))]);
    scene.after(800);
    assert!(
        is_reset(ask(&mut scene, 1)),
        "the next retransmission of the other caller"
    );
}

#[test]
fn one_caller_alone_is_no_evidence_however_often_it_retransmits() {
    let mut scene = open_flows();
    assert!(!is_reset(retransmit(&mut scene, &[1])[0]));
    for pause in [800, 1_600, 1_600] {
        let verdict = ask(scene.after(pause), 1);
        assert!(
            !is_reset(verdict),
            "the network of this daemon may lose the packets"
        );
    }
}

#[test]
fn an_idle_flow_is_reset_at_its_next_request_and_reopened_at_another_upstream() {
    let mut scene = open_flows();
    scene.request(3, DYING, 1, 1, 100);
    scene.after(50);
    scene.request(3, DYING, 101, 500, 0);
    scene.after(1_000);
    retransmit(&mut scene, &[1, 2]);
    assert!(is_reset(ask(&mut scene, 3)));
    for number in 1..20 {
        let verdict = scene.decide(crate::scene::syn(
            flow_from_same_vm(flow(3, PORT), number),
            0,
        ));
        assert_eq!(crate::scene::choice(verdict).id, UpstreamId(2));
    }
}

#[test]
fn one_answer_shows_that_the_upstream_is_alive() {
    let mut scene = open_flows();
    scene.request(3, DYING, 1, 1, 100);
    scene.after(10);
    retransmit(&mut scene, &[1]);
    scene.request(3, DYING, 101, 500, 100);
    scene.after(10);
    scene.request(3, DYING, 201, 900, 100);
    let verdicts = retransmit(&mut scene, &[2]);
    assert!(!is_reset(verdicts[0]));
}

#[test]
fn an_upstream_that_answers_again_is_no_longer_dead() {
    let mut scene = open_flows();
    retransmit(&mut scene, &[1, 2]);
    scene.request(1, DYING, 201, 900, 100);
    scene.after(10);
    scene.request(1, DYING, 301, 1_300, 100);
    assert!(!is_reset(ask(&mut scene, 3)));
}

#[test]
fn slow_requests_are_no_evidence_before_twice_their_target_latency() {
    let mut cfg = configuration(2, &[(PORT, &[(SERVICE, 1)])]);
    for route in cfg.routes.values_mut() {
        route.target_latency = std::time::Duration::from_secs(2);
    }
    let mut scene = open_flows().with(Change::Configured(cfg));
    let verdicts = retransmit(&mut scene, &[1, 2]);
    assert!(!verdicts.into_iter().any(is_reset));
}

#[test]
fn a_flow_with_non_idempotent_requests_is_not_reset() {
    let mut cfg = configuration(2, &[(PORT, &[(SERVICE, 1)])]);
    for route in cfg.routes.values_mut() {
        route.is_idempotent = false;
    }
    let mut scene = open_flows().with(Change::Configured(cfg));
    let verdicts = retransmit(&mut scene, &[1, 2]);
    assert!(!verdicts.into_iter().any(is_reset));
}

#[test]
fn packets_that_arrive_together_after_a_suspension_are_no_evidence() {
    let mut scene = open_flows();
    let verdicts: Vec<_> = (0..6).map(|n| ask(&mut scene, 1 + n % 2)).collect();
    assert!(!verdicts.into_iter().any(is_reset));
}

/// Requests of other callers made the daemon forget when it had forwarded a request, which delayed the decision by 0.8 s.
#[test]
fn a_request_counts_from_its_first_packet_while_others_ask_too() {
    let mut scene = open_flows();
    for caller in [1, 2] {
        ask(&mut scene, caller);
    }
    scene.after(100);
    scene.request(3, DYING, 1, 1, 100);
    scene.after(100);
    for caller in [1, 2] {
        ask(&mut scene, caller);
    }
    scene.after(400);
    let verdicts = [1, 2].map(|caller| ask(&mut scene, caller));
    assert!(is_reset(verdicts[1]));
}

/// A daemon that had stalled read retransmissions of requests that were answered meanwhile, and reset their flows.
#[test]
fn retransmissions_that_waited_in_the_socket_are_no_evidence() {
    let mut scene = open_flows();
    for caller in [1, 2] {
        ask(&mut scene, caller);
    }
    scene.after(1_000);
    let verdicts = [1, 2].map(|caller| ask(&mut scene, caller));
    assert!(!verdicts.into_iter().any(is_reset));
    for caller in [1, 2] {
        scene.request(caller, DYING, 201, 900, 0);
    }
    assert_eq!(scene.balancer.take_health_changes(), []);
}

#[test]
fn one_caller_is_enough_when_the_entry_was_removed() {
    let mut scene = open_flows().with(Change::Unlisted(UpstreamId(DYING), None));
    let verdicts = retransmit(&mut scene, &[1]);
    assert!(is_reset(verdicts[0]));
}

#[test]
fn an_entry_that_lapsed_in_an_outage_is_no_evidence() {
    let mut scene = open_flows();
    let now = scene.now;
    scene.directory.record_recovery(now);
    let mut scene = scene.with(Change::Unlisted(UpstreamId(DYING), None));
    let verdicts = retransmit(&mut scene, &[1]);
    assert!(!is_reset(verdicts[0]));
}

#[test]
fn an_upstream_is_tried_again_after_some_time() {
    let mut scene = open_flows();
    retransmit(&mut scene, &[1, 2]);
    scene.after(u64::try_from(DEAD_TTL.as_millis()).unwrap());
    assert!(!is_reset(ask(&mut scene, 3)));
}

#[test]
fn the_end_of_a_flow_is_forwarded_to_a_dead_upstream_too() {
    let mut scene = open_flows();
    retransmit(&mut scene, &[1, 2]);
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

/// Times after a request at which its caller retransmits it.
const RETRANSMISSIONS: [u64; 4] = [200, 600, 1_400, 3_000];

/// Lets two callers ask an upstream at the same time and retransmit until it answers after `answered_ms`, if it does;
/// returns the time when it was considered dead.
fn declared_dead_ms(allowance: Duration, answered_ms: Option<u64>) -> Option<u64> {
    let mut dead = DeadUpstreams::default();
    let began = Instant::now();
    let callers = [1, 2].map(|caller| *flow(caller, PORT).caller.ip());
    for ms in RETRANSMISSIONS {
        if answered_ms.is_some_and(|answered_ms| answered_ms <= ms) {
            return None;
        }
        for caller in callers {
            let request = Unanswered {
                caller,
                since: began,
                target_latency: Duration::from_millis(300),
                allowance,
                is_unlisted: false,
            };
            let now = began + Duration::from_millis(ms);
            if dead.record(UpstreamId(DYING), request, now) {
                return Some(ms);
            }
        }
    }
    None
}

/// On a day with ten times the users, a daemon declared 42 of 120 live upstreams dead and reset 49 open flows.
#[test]
fn an_overloaded_upstream_that_answers_late_is_not_dead_with_an_allowance() {
    let answered_ms = Some(1_000);
    assert_eq!(
        declared_dead_ms(Duration::ZERO, answered_ms),
        Some(600),
        "without an allowance the late answer counts as none"
    );
    let allowance = Duration::from_millis(500);
    assert_eq!(declared_dead_ms(allowance, answered_ms), None);
}

/// An allowance must delay the decision only, or callers of a dead upstream wait until their timeout.
#[test]
fn an_upstream_that_never_answers_is_dead_with_an_allowance_too() {
    for (allowance_ms, dead_ms) in [(0, 600), (50, 600), (51, 1_400), (850, 1_400), (851, 3_000)] {
        let allowance = Duration::from_millis(allowance_ms);
        assert_eq!(
            declared_dead_ms(allowance, None),
            Some(dead_ms),
            "{allowance_ms}"
        );
    }
}

/// One caller is enough for an upstream whose entry was removed, but its requests may wait in a queue as well.
#[test]
fn an_allowance_holds_for_an_upstream_whose_entry_was_removed() {
    let began = Instant::now();
    let request = Unanswered {
        caller: *flow(1, PORT).caller.ip(),
        since: began,
        target_latency: Duration::from_millis(300),
        allowance: Duration::from_millis(500),
        is_unlisted: true,
    };
    let mut dead = DeadUpstreams::default();
    let id = UpstreamId(DYING);
    assert!(!dead.record(id, request, began + Duration::from_millis(600)));
    assert!(dead.record(id, request, began + Duration::from_millis(1_400)));
}
