//! Zones that may be cut off.

use foxtailhinge_policy::suspect_zones::SuspectZones;
use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

fn names() -> (Rc<str>, Rc<str>) {
    ("windhoek-1".into(), "windhoek-2".into())
}

#[test]
fn a_zone_is_quiet_when_nothing_is_heard_of_it_since_a_daemon_was_asked() {
    let now = Instant::now();
    let (one, other) = names();
    let mut zones = SuspectZones::default();
    assert!(!zones.is_suspect(&one), "nobody was asked yet");
    zones.on_received(&one, now);
    assert!(zones.on_missed(&one, now + Duration::from_millis(1)));
    assert!(zones.is_suspect(&one) && !zones.is_suspect(&other));
}

#[test]
fn a_daemon_that_is_gone_does_not_make_its_zone_quiet() {
    let now = Instant::now();
    let (one, _) = names();
    let mut zones = SuspectZones::default();
    zones.on_received(&one, now + Duration::from_millis(10));
    assert!(!zones.on_missed(&one, now), "another one was heard since");
    assert!(!zones.is_suspect(&one));
}

#[test]
fn a_zone_that_is_heard_again_is_not_quiet() {
    let now = Instant::now();
    let (one, _) = names();
    let mut zones = SuspectZones::default();
    let before = zones.version();
    assert!(zones.on_missed(&one, now));
    assert!(!zones.on_missed(&one, now), "it is known");
    let quiet = zones.version();
    assert!(quiet > before);
    zones.on_received(&one, now + Duration::from_secs(1));
    assert!(!zones.is_suspect(&one));
    assert!(zones.version() > quiet);
}
