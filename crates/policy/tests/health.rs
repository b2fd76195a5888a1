//! Health of an upstream: the owner's own traffic outweighs the reports of health endpoints.

use foxtailhinge_policy::health::{
    least_bad,
    EndpointReport,
    Health,
    HealthState,
    HealthView, //
};
use rstest::rstest;
use std::{
    fmt::Write,
    time::{
        Duration,
        Instant, //
    },
};

/// Applies a list of events, each with its time in milliseconds, and records the state after each.
#[rstest]
#[case::answers("0 answer, 100 answer")]
#[case::one_loss("0 answer, 100 timeout, 200 answer")]
#[case::losses_in_one_instant("0 answer, 100 timeout, 101 timeout, 102 timeout, 103 timeout")]
#[case::silence("0 answer, 100 timeout, 600 timeout, 1100 timeout")]
#[case::port_unreachable("0 answer, 100 refused, 1100 look")]
#[case::trial_requests(
    "0 refused, 1000 trial, 1001 trial, 1500 timeout, 3499 look, 3500 trial, 3600 answer"
)]
#[case::late_failures_do_not_prolong("0 refused, 100 timeout, 200 timeout, 1000 look")]
#[case::shed_is_alive("0 timeout, 100 timeout, 200 shed")]
#[case::endpoint_wrongly_unhealthy("0 answer, 1000 unhealthy, 1001 answer, 5000 look")]
#[case::endpoint_wrongly_unhealthy_and_idle(
    "0 answer, 6000 unhealthy, 7000 probe-answer, 8000 look"
)]
#[case::endpoint_alone("0 answer, 6000 unhealthy, 17000 look")]
#[case::endpoint_wrongly_healthy("0 timeout, 600 timeout, 1100 timeout, 1200 healthy")]
#[case::stuck_process_answers_probes(
    "0 timeout, 500 probe-answer, 600 timeout, 900 probe-answer, 1100 timeout"
)]
#[case::dead_while_idle("0 probe-timeout, 1000 probe-timeout, 2000 probe-timeout")]
#[case::back_after_probes(
    "0 refused, 1000 trial, 1100 timeout, 1200 probe-timeout, 2000 probe-answer"
)]
fn states(#[case] events: &str) {
    let origin = Instant::now();
    let mut health = Health::new();
    let mut seen = String::new();
    for event in events.split(", ") {
        let (ms, what) = event.split_once(' ').expect("time and event");
        let now = origin + Duration::from_millis(ms.parse().expect("milliseconds"));
        let mut began = String::new();
        match what {
            "answer" => health.on_answer(now),
            "shed" => health.on_shed(now),
            "timeout" => health.on_timeout(now),
            "refused" => health.on_refused(now),
            "probe-answer" => health.on_probe_answer(now),
            "probe-timeout" => health.on_probe_timeout(now),
            "healthy" => health.on_endpoint_report(now, EndpointReport::Healthy),
            "unhealthy" => health.on_endpoint_report(now, EndpointReport::Unhealthy),
            "trial" => began = format!(" {}", health.begin_trial(now)),
            "look" => {}
            other => panic!("unknown event {other}"),
        }
        writeln!(seen, "{ms:>5} {what}{began}: {:?}", health.state(now)).expect("a string");
    }
    let name = format!("states {events}").replace([' ', ','], "_");
    insta::assert_snapshot!(name, seen);
}

fn view(state: HealthState, answered: f64, failures: u32) -> HealthView {
    HealthView {
        state,
        answered,
        failures,
    }
}

#[rstest]
#[case::none(&[], None)]
#[case::state_first(
    &[view(HealthState::Down, 0.9, 3), view(HealthState::Suspect, 0.1, 9)], Some(1))]
#[case::then_share_answered(
    &[view(HealthState::Down, 0.1, 3), view(HealthState::Down, 0.4, 9)], Some(1))]
#[case::then_failures(
    &[view(HealthState::Down, 0.4, 9), view(HealthState::Down, 0.4, 3)], Some(1))]
fn the_least_bad(#[case] views: &[HealthView], #[case] expected: Option<usize>) {
    assert_eq!(least_bad(views), expected);
}
