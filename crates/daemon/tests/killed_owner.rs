//! Requests that are sent while the others do not yet know that their owner died.

use foxtailhinge_config::report::MemberState;
use foxtailhinge_standins::{
    caller::{
        Caller,
        CallerSpec,
        Outcome, //
    },
    fleet::Fleet, //
};
use std::{
    thread,
    time::Duration, //
};

/// Time that a request may take.
const WITHIN: Duration = Duration::from_secs(5);
/// Time after which the fabric hands no packets to a daemon that died.
const FABRIC_KNOWS: Duration = Duration::from_millis(1100);
/// Time between two looks at what the daemons know.
const TICK: Duration = Duration::from_millis(10);
/// Callers with a flow each.
const CALLERS: usize = 24;

/// Opens callers that send each message once, so that a lost packet stays lost.
fn callers(fleet: &Fleet) -> Vec<Caller> {
    let address = fleet.document_of("syncdesk-api").address;
    let open = |seed| {
        let mut spec = CallerSpec::new("syncdesk-api", address, seed);
        spec.max_retransmit = 0;
        Caller::open(spec).unwrap()
    };
    (0..CALLERS as u64).map(open).collect()
}

/// Whether a daemon takes vm-1 for live, neither suspect nor dead.
fn is_live(fleet: &Fleet, by: &str) -> bool {
    let status = fleet.status(by).unwrap();
    let mut members = status.members.iter();
    members.any(|one| &*one.vm == "vm-1" && one.state == MemberState::Live)
}

#[test]
fn the_next_owner_answers_what_was_sent_meanwhile() {
    let mut fleet = Fleet::builder()
        .daemons(4)
        .zones(2)
        .upstreams(4, 2)
        .binary(env!("CARGO_BIN_EXE_foxtailhinge"))
        .start()
        .unwrap();
    let callers = callers(&fleet);
    for caller in &callers {
        assert!(caller.get("/cues", WITHIN).answer().is_some());
    }
    fleet.kill("vm-1");
    thread::sleep(FABRIC_KNOWS);
    while fleet.running().iter().any(|vm| is_live(&fleet, vm)) {
        thread::sleep(TICK);
    }
    let sending: Vec<_> = callers
        .into_iter()
        .map(|caller| thread::spawn(move || caller.get("/cues", WITHIN)))
        .collect();
    let outcomes = sending.into_iter().map(|one| one.join().unwrap());
    let silent = outcomes.filter(|one| *one == Outcome::TimedOut).count();
    assert_eq!(silent, 0);
}
