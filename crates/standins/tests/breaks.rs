//! Classification of the ends of flows as broken or accepted.

use foxtailhinge_standins::{
    breaks::{
        Breaks,
        Outage,
        Place, //
    },
    feed::{
        Break,
        Reason, //
    },
};
use std::{
    collections::HashMap,
    time::{
        Duration,
        Instant, //
    },
};

const SERVICE: &str = "syncdesk-api";
const ZONE: &str = "windhoek-2";

fn outage(began: Instant, ended: Instant) -> Outage {
    Outage {
        zone: ZONE.into(),
        service: SERVICE.into(),
        began,
        ended: Some(ended),
    }
}

/// Returns the number of broken flows, given the outages that daemons observed, in milliseconds after the edit.
///
/// The edit takes the zone out of service for 10 ms. A feed in the zone is last notified at 30 ms, and its flow is
/// retired at 40 ms.
fn broken_flows(observed: &[(u64, u64)]) -> usize {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let place = Place {
        service: SERVICE.into(),
        zone: ZONE.into(),
    };
    let places = HashMap::from([("syncdesk-2".to_owned(), place)]);
    let mut breaks = Breaks::new(places, vec![outage(at(0), at(10))], Vec::new());
    let observed = observed
        .iter()
        .map(|(began, ended)| outage(at(*began), at(*ended)));
    breaks.add_observed_outages(observed.collect());
    breaks.add_feed(&Break {
        reason: Reason::FlowRetired,
        at: at(40),
        last_received: at(30),
        upstream: "syncdesk-2".into(),
        trail: Vec::new(),
    });
    breaks.broken.len()
}

#[test]
fn a_flow_that_ends_while_a_daemon_has_its_zone_out_of_service_is_not_broken() {
    assert_eq!(broken_flows(&[(35, 48)]), 0);
}

#[test]
fn a_flow_that_ends_while_its_zone_is_in_service_is_broken() {
    assert_eq!(broken_flows(&[]), 1);
    assert_eq!(
        broken_flows(&[(12, 25)]),
        1,
        "its last notification came after the end of the outage"
    );
    assert_eq!(
        broken_flows(&[(45, 60)]),
        1,
        "it ended before the outage began"
    );
}

#[test]
fn an_outage_without_an_edit_does_not_excuse_a_broken_flow() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let place = Place {
        service: SERVICE.into(),
        zone: ZONE.into(),
    };
    let places = HashMap::from([("syncdesk-2".to_owned(), place)]);
    let end = Break {
        reason: Reason::FlowRetired,
        at: at(9_010),
        last_received: at(8_990),
        upstream: "syncdesk-2".into(),
        trail: Vec::new(),
    };
    let mut breaks = Breaks::new(places.clone(), Vec::new(), Vec::new());
    breaks.add_observed_outages(vec![outage(at(9_000), at(9_020))]);
    breaks.add_feed(&end);
    assert_eq!(breaks.broken.len(), 1, "no edit ordered the outage");
    let mut breaks = Breaks::new(places, vec![outage(at(0), at(10))], Vec::new());
    breaks.add_observed_outages(vec![outage(at(9_000), at(9_020))]);
    breaks.add_feed(&end);
    assert_eq!(
        breaks.broken.len(),
        1,
        "the outage began later than the edit must be in force"
    );
}
