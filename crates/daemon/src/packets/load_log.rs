//! Log lines of the decisions under load.

use crate::logging::Event;
use foxtailhinge_policy::packets::{
    entry::PRIORITY_LOWEST,
    AdmissionReason,
    LoadEvent,
    ResetReason,
    Route,
    ServiceLoad, //
};
use log::Level;
use std::time::Duration;

/// Event name of rejected openings. They have one of their own, so that a flood of them does not use up the rate limit
/// of other resets.
pub const OPENING_REJECTED: &str = "opening_rejected";

/// Returns the log line of a change in the decisions under load, and its level.
pub fn load_event(event: &LoadEvent) -> (Event, Level) {
    match event {
        LoadEvent::OverloadBegan(load) => (service_event("overload_began", load), Level::Warn),
        LoadEvent::OverloadEnded(load) => (service_event("overload_ended", load), Level::Info),
        LoadEvent::SpilloverBegan(load) => (service_event("spillover_began", load), Level::Info),
        LoadEvent::SpilloverEnded(load) => (service_event("spillover_ended", load), Level::Info),
        LoadEvent::OwnDelayBegan(delay) => (delay_event("own_delay_began", *delay), Level::Warn),
        LoadEvent::OwnDelayEnded(delay) => (delay_event("own_delay_ended", *delay), Level::Info),
    }
}

/// Whether a reset rejects an opening because of load.
pub fn is_rejection(reason: ResetReason) -> bool {
    matches!(reason, ResetReason::Overload | ResetReason::OwnDelay)
}

/// Appends what decided about a rejected opening.
///
/// The service, the place and the admitted share are left out for a route with several target services, because the
/// verdict does not name the rejected one, and the latter two at a daemon whose own delay decided.
pub fn add_rejection(
    event: Event,
    reason: ResetReason,
    route: &Route,
    explain: impl FnOnce() -> AdmissionReason,
) -> Event {
    let event = event
        .field("route_name", &route.name)
        .field("priority", priority(route.priority));
    let [target] = &*route.targets else {
        return event;
    };
    let event = event.field("service", &target.service);
    if reason != ResetReason::Overload {
        return event;
    }
    let explained = explain();
    event
        .field("place", share(explained.place))
        .field("admitted", share(explained.admitted))
        .field("heavy", explained.is_heavy)
}

fn service_event(name: &'static str, load: &ServiceLoad) -> Event {
    let event = Event::new(name)
        .field("service", &load.service)
        .field("slots", load.slots)
        .field("utilization", share(load.utilization));
    let event = match load.service_time {
        Some(time) => event.field("service_time_ms", ms(time)),
        None => event,
    };
    let event = event
        .field("goal_ms", ms(load.goal))
        .field("refusal_rate", share(load.refusal_rate))
        .field("admitted", share(load.admitted))
        .field("daemons", load.daemons);
    let leaving: Vec<_> = load
        .leaving
        .iter()
        .map(|(zone, leaving)| format!("{zone}:{}", share(*leaving)))
        .collect();
    match leaving.is_empty() {
        true => event,
        false => event.field("leaving", leaving.join(",")),
    }
}

fn delay_event(name: &'static str, delay: Duration) -> Event {
    Event::new(name).field("delay_ms", ms(delay))
}

fn priority(priority: u8) -> String {
    match priority {
        PRIORITY_LOWEST => "lowest".to_owned(),
        named => named.to_string(),
    }
}

fn share(value: f64) -> String {
    format!("{value:.2}")
}

fn ms(duration: Duration) -> String {
    format!("{:.1}", duration.as_secs_f64() * 1_000.0)
}
