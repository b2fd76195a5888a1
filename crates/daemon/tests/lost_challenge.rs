//! A POST whose flow moves to another upstream while the message with the new ticket is lost.

use foxtailhinge_standins::{
    caller::Outcome,
    fleet::Fleet, //
};
use std::{
    thread,
    time::Duration, //
};

/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(5);
/// Time after which a draining upstream gets no more requests.
const DRAINED_WITHIN: Duration = Duration::from_secs(4);
/// One-way latency between the caller and the daemon.
const LATENCY: Duration = Duration::from_millis(200);

#[test]
fn the_caller_gets_another_ticket() {
    let mut fleet = Fleet::builder()
        .daemons(1)
        .zones(1)
        .upstreams(2, 1)
        .binary(env!("CARGO_BIN_EXE_foxtailhinge"))
        .start()
        .unwrap();
    let caller = fleet.caller("syncdesk-api").unwrap();
    assert!(caller.get("/cues", DEADLINE).answer().is_some());
    let before = caller.upstream().unwrap();
    fleet.edit("syncdesk-api", |document| {
        document.set_draining(&before, true)
    });
    thread::sleep(DRAINED_WITHIN);

    let fabric = fleet.fabric("syncdesk-api");
    fabric.set(|behaviour| behaviour.latency = LATENCY);
    let posting = thread::spawn(move || {
        let outcome = caller.post("/clearances", b"one", DEADLINE);
        (caller, outcome)
    });
    // The fabric accepts the request before the loss starts and receives the answer during it, so that only the answer
    // is lost.
    thread::sleep(LATENCY / 2);
    fabric.set(|behaviour| behaviour.loss = 1.0);
    thread::sleep(LATENCY);
    fabric.set(|behaviour| behaviour.loss = 0.0);
    let (caller, outcome) = posting.join().unwrap();

    assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
    assert_ne!(caller.upstream().unwrap(), before);
    let runs = fleet.upstreams().iter().map(|one| one.runs("one"));
    assert_eq!(runs.sum::<u32>(), 1);
}
