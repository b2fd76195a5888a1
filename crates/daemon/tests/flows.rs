//! Flows of an owner after they expire and after hand-overs between owners.

use foxtailhinge::exchange::flow::{
    ticket_key,
    FlowLookup,
    FlowNumbers,
    FlowStart,
    Flows, //
};
use foxtailhinge_policy::ledger::{
    Begin,
    FlowLedger, //
};
use foxtailhinge_wire::ticket::Ticket;
use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

const OWNER: u32 = 1;
const INCARNATION: u32 = 2;

fn flows(owner: u32, numbers: &Rc<FlowNumbers>) -> Flows {
    Flows::new(owner, INCARNATION, Rc::clone(numbers))
}

fn ticket(owner: u32, flow: u32, epoch: u32) -> Ticket {
    Ticket {
        warm: false,
        service: 1,
        upstream: 2,
        upstream_incarnation: 3,
        zone: 4,
        owner,
        owner_incarnation: INCARNATION,
        flow,
        epoch,
        caller_tag: 5,
    }
}

fn start() -> FlowStart {
    FlowStart {
        service: 1,
        upstream_hash: 2,
        caller: "192.0.2.1:5683".parse().unwrap(),
    }
}

/// Duplicates of a packet whose flow has expired must not open one flow each.
#[test]
fn duplicates_for_an_expired_flow_share_the_resumed_one() {
    let now = Instant::now();
    let numbers = Rc::default();
    let mut flows = flows(OWNER, &numbers);
    let number = flows.open(now);
    flows.confirm(number, start(), now);
    flows.expire(now + Duration::from_secs(60), |_| Duration::from_secs(10));
    let old = ticket(OWNER, number, 1);
    for _ in 0..10 {
        if flows.find(&old) == FlowLookup::Unknown {
            flows.resume(&old, start(), now);
        }
    }
    assert_eq!(flows.len(), 1);
}

/// A flow that was handed over to another owner and back is found by its first ticket.
#[test]
fn a_flow_that_was_handed_back_is_found_by_its_first_ticket() {
    let now = Instant::now();
    let first = ticket(OWNER, 7, 1);
    let numbers = Rc::default();
    let mut flows = flows(OWNER, &numbers);
    let mut ledger = FlowLedger::new();
    assert_eq!(ledger.begin(b"a", 1, now), Begin::Run);
    ledger.finish(b"a", Rc::from([9]), now);
    let ledger = FlowLedger::import(ledger.export(), now);
    let flow = flows.import(&[ticket_key(&first)], start(), ledger, now);
    assert_eq!(flows.find(&first), FlowLookup::Held { flow, ledger: true });
    assert_eq!(
        flows.resolve(ticket_key(&first)).map(|(flow, _)| flow),
        Some(flow)
    );
}

/// The upstream has state of a flow that another owner served: the flow must not move to another upstream
/// when its first request at this owner is shed.
#[test]
fn a_flow_of_another_owner_is_marked_as_answered() {
    let now = Instant::now();
    let numbers = Rc::default();
    let mut flows = flows(OWNER, &numbers);
    let handed_over = ticket(OWNER + 1, 7, 1);
    let ledger = FlowLedger::new();
    let one = flows.import(&[ticket_key(&handed_over)], start(), ledger, now);
    let other = flows.resume(&ticket(OWNER + 2, 8, 1), start(), now);
    let answered = [one, other].map(|flow| flows.get_mut(flow).unwrap().answered);
    assert_eq!(answered, [true, true]);
}
