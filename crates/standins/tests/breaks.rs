//! Which ends of flows count as broken.

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

/// An operator takes the zone out for 10 ms; a feed of it was heard 20 ms later and given up 30 ms later. Returns how
/// many flows broke, where a daemon had the zone out of service for these times after the order, in milliseconds.
fn broken(seen: &[(u64, u64)]) -> usize {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let place = Place {
        service: SERVICE.into(),
        zone: ZONE.into(),
    };
    let places = HashMap::from([("syncdesk-2".to_owned(), place)]);
    let mut breaks = Breaks::new(places, vec![outage(at(0), at(10))], Vec::new());
    let seen = seen
        .iter()
        .map(|(began, ended)| outage(at(*began), at(*ended)));
    breaks.add_observed_outages(seen.collect());
    breaks.add_feed(&Break {
        reason: Reason::FlowRetired,
        at: at(40),
        last_received: at(30),
        upstream: "syncdesk-2".into(),
    });
    breaks.broken.len()
}

#[test]
fn a_flow_that_ends_while_a_daemon_has_the_zone_out_is_not_broken() {
    assert_eq!(broken(&[(35, 48)]), 0);
}

#[test]
fn a_flow_that_ends_after_its_zone_was_back_is_broken() {
    assert_eq!(broken(&[]), 1);
    assert_eq!(
        broken(&[(12, 25)]),
        1,
        "it was heard after the daemon had it back"
    );
    assert_eq!(
        broken(&[(45, 60)]),
        1,
        "it ended before the daemon had it out"
    );
}

#[test]
fn an_outage_that_nobody_ordered_excuses_nothing() {
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
    };
    let mut breaks = Breaks::new(places.clone(), Vec::new(), Vec::new());
    breaks.add_observed_outages(vec![outage(at(9_000), at(9_020))]);
    breaks.add_feed(&end);
    assert_eq!(breaks.broken.len(), 1, "no edit took the zone out");
    let mut breaks = Breaks::new(places, vec![outage(at(0), at(10))], Vec::new());
    breaks.add_observed_outages(vec![outage(at(9_000), at(9_020))]);
    breaks.add_feed(&end);
    assert_eq!(
        breaks.broken.len(),
        1,
        "the edit had to be in force earlier"
    );
}
