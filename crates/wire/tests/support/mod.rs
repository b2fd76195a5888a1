//! Helps the tests of this package.

#![allow(dead_code)]

use foxtailhinge_wire::{
    coap::{
        Block,
        Datagram,
        Kind,
        Method, //
    },
    envelope::PeerKeys,
    message::{
        AllowanceRecord,
        FeedRecord,
        Finished,
        FinishedRun,
        FlowKey,
        FlowRecord,
        Forward,
        HandOver,
        LedgerRecord,
        MemberState,
        MemberUpdate,
        Open,
        OwnerReply,
        OwnerRequest,
        RelayMessage,
        RunOutcome,
        RunRecord, //
    },
    ticket::{
        caller_tag,
        name_hash,
        zone_hash,
        Ticket,
        TicketKeys, //
    },
};
use quickcheck::{
    Gen,
    QuickCheck,
    Testable, //
};
use std::time::Duration;

pub(crate) const SECRET: [u8; 32] = [7; 32];
pub(crate) const OTHER_SECRET: [u8; 32] = [8; 32];
pub(crate) const SERVICE: &str = "syncdesk-api";

const UPSTREAM: &str = "192.0.2.100:5683";

const FLOW: FlowKey = FlowKey {
    owner: 5,
    owner_incarnation: 6,
    flow: 7,
};

/// Checks a property on the same inputs in every run.
pub(crate) fn check<T: Testable>(tests: u64, property: T) {
    let gen = Gen::from_size_and_seed(200, 1);
    QuickCheck::new().rng(gen).tests(tests).quickcheck(property);
}

pub(crate) fn ticket_keys() -> TicketKeys {
    TicketKeys::new(vec![(0, SECRET)])
}

pub(crate) fn peer_keys() -> PeerKeys {
    PeerKeys::new("kalahari", vec![(0, SECRET)])
}

pub(crate) fn ticket() -> Ticket {
    Ticket {
        warm: true,
        service: name_hash(SERVICE),
        upstream: name_hash("syncdesk-1"),
        upstream_incarnation: 0x0102,
        zone: zone_hash("windhoek-1"),
        owner: name_hash("vm-1"),
        owner_incarnation: 0x0304_0506,
        flow: 0x0708_090a,
        epoch: 0x000b_0c0d,
        caller_tag: caller_tag("192.0.2.1:5683".parse().unwrap()),
    }
}

pub(crate) fn member() -> MemberUpdate {
    MemberUpdate {
        vm: "vm-1".into(),
        zone: "windhoek-1".into(),
        relay: "192.0.2.10:7000".parse().unwrap(),
        control: "[2001:db8::1]:7001".parse().unwrap(),
        incarnation: 9,
        state: MemberState::Suspect,
        version: 3,
    }
}

pub(crate) fn relay_messages() -> Vec<RelayMessage> {
    let caller = "192.0.2.1:5683".parse().unwrap();
    let datagram = post().to_bytes();
    vec![
        RelayMessage::Open(Open {
            caller,
            service: 1,
            candidates: vec![2, 3, 4],
            next: 1,
            confirmed: false,
            chosen: false,
            offers: Vec::new(),
            datagram: datagram.clone(),
        }),
        RelayMessage::Forward(Forward {
            caller,
            service: 1,
            bounces: 1,
            datagram,
        }),
        RelayMessage::Ping {
            seq: 5,
            updates: vec![member()],
        },
        RelayMessage::Ack {
            seq: 5,
            updates: Vec::new(),
        },
        RelayMessage::PingRequest {
            seq: 6,
            target: 7,
            updates: vec![member(), member()],
        },
    ]
}

pub(crate) fn owner_requests() -> Vec<OwnerRequest> {
    let upstream = UPSTREAM.parse().unwrap();
    vec![
        OwnerRequest::Claim { upstream, id: 9 },
        OwnerRequest::Settled { upstream },
        OwnerRequest::Finished(Finished {
            upstream,
            seq: 2,
            slots: 1,
            runs: vec![FinishedRun {
                flow: FLOW,
                token: vec![1],
                answer: vec![2],
            }],
        }),
    ]
}

pub(crate) fn owner_replies() -> Vec<OwnerReply> {
    vec![
        OwnerReply::HandOver(hand_over()),
        OwnerReply::NotHeld,
        OwnerReply::NotYours,
        OwnerReply::Ok,
    ]
}

fn hand_over() -> HandOver {
    let caller = "192.0.2.1:5683".parse().unwrap();
    let run = |token: u8, outcome| RunRecord {
        token: vec![token],
        epoch: 2,
        outcome,
    };
    HandOver {
        upstream: UPSTREAM.parse().unwrap(),
        upstream_incarnation: Some(3),
        allowance: AllowanceRecord {
            slots: 4,
            connections: 2000,
        },
        in_use: 1,
        flows: vec![FlowRecord {
            keys: vec![FLOW],
            service: 1,
            upstream_hash: 2,
            caller,
            ledger: LedgerRecord {
                epoch: 3,
                forgotten: 1,
                runs: vec![
                    run(1, RunOutcome::Elsewhere),
                    run(2, RunOutcome::Answered(vec![1, 2])),
                    run(3, RunOutcome::Refused),
                ],
            },
        }],
        opened: vec![FlowKey {
            owner: 1,
            owner_incarnation: 2,
            flow: 4,
        }],
        feeds: vec![FeedRecord {
            flow: FLOW,
            caller,
            observe: 9,
            request: feed().to_bytes(),
        }],
    }
}

pub(crate) fn post() -> Datagram {
    let mut req = Datagram::request(Method::Post, "/clearances")
        .with_kind(Kind::Con)
        .with_message_id(0x1234)
        .with_token(&[1, 2, 3, 4])
        .with_payload(b"track 7".to_vec());
    req.set_echo(&ticket_keys().seal(&ticket(), SERVICE));
    req.set_deadline(Duration::from_millis(5000));
    req
}

pub(crate) fn feed() -> Datagram {
    let mut req = Datagram::request(Method::Get, "/cues/a").with_token(&[5]);
    req.set_observe(0);
    req.set_block2(Block {
        number: 0,
        more: false,
        size_exponent: 6,
    });
    req
}

/// Bytes that are sealed as they are.
pub(crate) struct Raw(pub(crate) Vec<u8>);

impl bincode::Encode for Raw {
    fn encode<E: bincode::enc::Encoder>(
        &self,
        encoder: &mut E,
    ) -> Result<(), bincode::error::EncodeError> {
        use bincode::enc::write::Writer;
        encoder.writer().write(&self.0)
    }
}
