//! Zones that may be partitioned from this daemon.

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
fn a_zone_is_suspect_when_no_message_arrived_since_a_daemon_was_asked() {
    let now = Instant::now();
    let (one, other) = names();
    let mut zones = SuspectZones::default();
    assert!(!zones.is_suspect(&one), "no daemon was asked yet");
    zones.on_received(&one, now);
    assert!(zones.on_missed(&one, now + Duration::from_millis(1)));
    assert!(zones.is_suspect(&one) && !zones.is_suspect(&other));
}

#[test]
fn a_single_dead_daemon_does_not_make_its_zone_suspect() {
    let now = Instant::now();
    let (one, _) = names();
    let mut zones = SuspectZones::default();
    zones.on_received(&one, now + Duration::from_millis(10));
    assert!(
        !zones.on_missed(&one, now),
        "a message of another one arrived since"
    );
    assert!(!zones.is_suspect(&one));
}

#[test]
fn a_new_message_ends_the_suspicion() {
    let now = Instant::now();
    let (one, _) = names();
    let mut zones = SuspectZones::default();
    let before = zones.version();
    assert!(zones.on_missed(&one, now));
    assert!(!zones.on_missed(&one, now), "it is already suspect");
    let suspect = zones.version();
    assert!(suspect > before);
    zones.on_received(&one, now + Duration::from_secs(1));
    assert!(!zones.is_suspect(&one));
    assert!(zones.version() > suspect);
}
