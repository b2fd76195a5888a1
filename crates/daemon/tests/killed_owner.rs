//! Requests of flows whose owner was killed, sent when the other daemons suspect it but have not confirmed its death.

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

/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(5);
/// Time after which the fabric delivers no packets to a killed daemon.
const FABRIC_DETECTION: Duration = Duration::from_millis(1100);
/// Interval at which the members reports are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of callers, each with one flow.
const CALLERS: usize = 24;

/// Opens callers without retransmission, so that a lost packet stays lost.
fn callers(fleet: &Fleet) -> Vec<Caller> {
    let address = fleet.document_of("syncdesk-api").address;
    let open = |seed| {
        let mut spec = CallerSpec::new("syncdesk-api", address, seed);
        spec.max_retransmit = 0;
        Caller::open(spec).unwrap()
    };
    (0..CALLERS as u64).map(open).collect()
}

/// Returns whether the daemon `by` reports vm-1 as live, neither suspect nor dead.
fn is_reported_live(fleet: &Fleet, by: &str) -> bool {
    let status = fleet.status(by).unwrap();
    let mut members = status.members.iter();
    members.any(|one| &*one.vm == "vm-1" && one.state == MemberState::Live)
}

#[test]
fn requests_sent_before_the_failover_are_answered_by_the_next_owner() {
    let mut fleet = Fleet::builder()
        .daemons(4)
        .zones(2)
        .upstreams(4, 2)
        .binary(env!("CARGO_BIN_EXE_foxtailhinge"))
        .start()
        .unwrap();
    let callers = callers(&fleet);
    for caller in &callers {
        assert!(caller.get("/cues", DEADLINE).answer().is_some());
    }
    fleet.kill("vm-1");
    thread::sleep(FABRIC_DETECTION);
    while fleet
        .running()
        .iter()
        .any(|vm| is_reported_live(&fleet, vm))
    {
        thread::sleep(POLL_INTERVAL);
    }
    let sending: Vec<_> = callers
        .into_iter()
        .map(|caller| thread::spawn(move || caller.get("/cues", DEADLINE)))
        .collect();
    let outcomes = sending.into_iter().map(|one| one.join().unwrap());
    let unanswered = outcomes.filter(|one| *one == Outcome::TimedOut).count();
    assert_eq!(unanswered, 0);
}
