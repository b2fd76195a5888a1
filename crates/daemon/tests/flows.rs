//! Flows that an owner holds, over their end and over hand-overs.

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

/// Copies of a packet whose flow ended here must not open one flow each.
#[test]
fn copies_after_the_end_of_a_flow_share_the_one_taken_over() {
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

/// A flow that went to another owner and came back is found under its first ticket.
#[test]
fn a_flow_that_came_back_is_found_under_its_first_ticket() {
    let now = Instant::now();
    let first = ticket(OWNER, 7, 1);
    let numbers = Rc::default();
    let mut back = flows(OWNER, &numbers);
    let mut ledger = FlowLedger::new();
    assert_eq!(ledger.begin(b"a", 1, now), Begin::Run);
    ledger.finish(b"a", Rc::from([9]), now);
    let ledger = FlowLedger::import(ledger.export(), now);
    let flow = back.import(&[ticket_key(&first)], start(), ledger, now);
    assert_eq!(back.find(&first), FlowLookup::Held { flow, ledger: true });
    assert_eq!(
        back.resolve(ticket_key(&first)).map(|(flow, _)| flow),
        Some(flow)
    );
}

/// The upstream knows a flow that another owner served: it must not move when its first request here is shed.
#[test]
fn a_flow_of_another_owner_counts_as_answered() {
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
