//! Log lines of the decisions under load.

use foxtailhinge::{
    logging::{
        Event,
        RATE_LINES, //
    },
    packets::load_log::{
        add_rejection,
        is_rejection,
        load_event,
        OPENING_REJECTED, //
    },
};
use foxtailhinge_policy::packets::{
    entry::PRIORITY_LOWEST,
    AdmissionReason,
    LoadEvent,
    ResetReason,
    Route,
    ServiceLoad,
    Target, //
};
use rstest::rstest;
use std::{
    net::Ipv4Addr,
    time::Duration, //
};

fn load() -> ServiceLoad {
    ServiceLoad {
        service: "syncdesk-api".into(),
        slots: 56,
        utilization: 1.314,
        service_time: Some(Duration::from_micros(41_260)),
        goal: Duration::from_millis(32),
        refusal_rate: 0.0214,
        admitted: 0.85,
        leaving: vec![("windhoek-2".into(), 0.12), ("windhoek-3".into(), 0.031)],
        daemons: 8,
    }
}

/// A line without the values that decided leaves the operator with a name only.
#[test]
fn each_change_is_one_line_with_the_values_that_decided() {
    let quiet = ServiceLoad {
        service_time: None,
        leaving: Vec::new(),
        ..load()
    };
    let events = [
        LoadEvent::OverloadBegan(load()),
        LoadEvent::OverloadEnded(quiet.clone()),
        LoadEvent::SpilloverBegan(load()),
        LoadEvent::SpilloverEnded(quiet),
        LoadEvent::OwnDelayBegan(Duration::from_micros(62_500)),
        LoadEvent::OwnDelayEnded(Duration::from_millis(9)),
    ];
    let lines = events.iter().map(|event| {
        let (event, level) = load_event(event);
        format!("{level} {}\n", event.as_str())
    });
    insta::assert_snapshot!(lines.collect::<String>());
}

fn route(services: &[&str]) -> Route {
    let targets = services.iter().map(|service| Target {
        service: (*service).into(),
        weight: 1,
    });
    Route {
        name: "orders".into(),
        targets: targets.collect(),
        target_latency: Duration::from_millis(250),
        is_idempotent: true,
        priority: 2,
    }
}

fn explained() -> AdmissionReason {
    AdmissionReason {
        caller: Ipv4Addr::new(10, 0, 0, 7),
        service: "syncdesk-api".into(),
        priority: 2,
        place: 0.917,
        admitted: 0.85,
        is_heavy: true,
        is_admitted: false,
    }
}

/// Values of another service or another decision would send the operator to the wrong place.
#[rstest]
#[case::overload(ResetReason::Overload, &["syncdesk-api"],
    "route_name=orders priority=2 service=syncdesk-api place=0.92 admitted=0.85 heavy=true")]
#[case::own_delay(ResetReason::OwnDelay, &["syncdesk-api"],
    "route_name=orders priority=2 service=syncdesk-api")]
#[case::several_targets(ResetReason::Overload, &["syncdesk-api", "certvault"],
    "route_name=orders priority=2")]
fn a_rejected_opening_shows_what_decided(
    #[case] reason: ResetReason,
    #[case] services: &[&str],
    #[case] fields: &str,
) {
    let event = add_rejection(
        Event::new(OPENING_REJECTED),
        reason,
        &route(services),
        explained,
    );
    assert_eq!(event.as_str(), format!("event=opening_rejected {fields}"));
}

/// A route without a priority is shown like the documentation and `foxtailctl` do.
#[test]
fn a_route_without_priority_is_shown_as_lowest() {
    let route = Route {
        priority: PRIORITY_LOWEST,
        ..route(&[])
    };
    let event = Event::new(OPENING_REJECTED);
    let event = add_rejection(event, ResetReason::OwnDelay, &route, explained);
    assert!(
        event.as_str().ends_with("priority=lowest"),
        "{}",
        event.as_str()
    );
}

/// Only rejections because of load may share their rate limit: a reset of another kind would be dropped with them.
#[rstest]
#[case(ResetReason::Overload, true)]
#[case(ResetReason::OwnDelay, true)]
#[case(ResetReason::NoRoute, false)]
#[case(ResetReason::NoUpstream, false)]
#[case(ResetReason::DeadUpstream, false)]
fn rejections_are_told_from_other_resets(#[case] reason: ResetReason, #[case] rejects: bool) {
    assert_eq!(is_rejection(reason), rejects);
}

/// A flood of rejections used up the lines of the resets that an operator looks for.
#[test]
fn a_flood_of_rejections_is_bounded_and_leaves_other_resets_their_lines() {
    let flood = (0..10 * RATE_LINES).filter_map(|_| Event::if_admitted(OPENING_REJECTED));
    // The window of the rate limit may end once while the loop runs.
    let lines = flood.count() as u32;
    assert!(
        (RATE_LINES..=2 * RATE_LINES).contains(&lines),
        "{lines} lines"
    );
    assert!(Event::if_admitted("flow_reset").is_some());
}
