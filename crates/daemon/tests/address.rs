//! Documents of two teams with the same address: every daemon serves the same one of them.

use foxtailhinge_standins::fleet::Fleet;
use rstest::rstest;
use std::{
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(3);
/// Time within which a published document must be in force, and a service must be served once another
/// one releases its address.
const APPLIED_WITHIN: Duration = Duration::from_secs(15);

fn fleet() -> Fleet {
    Fleet::builder()
        .daemons(2)
        .zones(1)
        .upstreams(1, 1)
        .binary(env!("CARGO_BIN_EXE_foxtailhinge"))
        .start()
        .unwrap()
}

/// Waits until the daemon serves exactly `services`; returns false after [`APPLIED_WITHIN`].
fn serves_only(fleet: &Fleet, vm: &str, services: &[&str]) -> bool {
    let end = Instant::now() + APPLIED_WITHIN;
    while Instant::now() < end {
        let status = fleet.status(vm).unwrap();
        let mut served: Vec<_> = status.zones.iter().map(|zone| &*zone.service).collect();
        served.dedup();
        if served == services {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// The rival's document is published second, yet the service whose name sorts first gets the address.
#[rstest]
#[case::later_name("zz-rival", &["certvault", "syncdesk-api"])]
#[case::earlier_name("aa-rival", &["aa-rival", "certvault"])]
fn one_address_has_one_service(#[case] rival: &str, #[case] expected: &[&str]) {
    let mut fleet = fleet();
    let text = fleet.document_of("syncdesk-api").text();
    fleet
        .platform()
        .publish(rival, &text.replace("syncdesk-api", rival));
    for vm in ["vm-1", "vm-2"] {
        assert!(serves_only(&fleet, vm, expected), "{vm}");
    }
    fleet.platform().remove(rival);
    for vm in ["vm-1", "vm-2"] {
        assert!(
            serves_only(&fleet, vm, &["certvault", "syncdesk-api"]),
            "{vm}"
        );
    }
    let caller = fleet.caller("syncdesk-api").unwrap();
    assert!(caller.get("/cues", DEADLINE).answer().is_some());
}
