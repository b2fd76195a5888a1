//! Requests in progress, told from the heads of the callers' packets.

use crate::scene::flow;
use foxtailhinge_policy::packets::{
    flows::Flows,
    packet::Kind,
    FlowEvent,
    Packet,
    UpstreamId, //
};
use std::time::{
    Duration,
    Instant, //
};

const UPSTREAM: UpstreamId = UpstreamId(1);

/// A flow that is told packet by packet.
struct Told {
    flows: Flows,
    now: Instant,
}

impl Told {
    fn new() -> Self {
        Self {
            flows: Flows::default(),
            now: Instant::now(),
        }
    }

    fn after(&mut self, ms: u64) -> &mut Self {
        self.now += Duration::from_millis(ms);
        self
    }

    fn packet(&mut self, kind: Kind, seq: u32, ack: u32, len: u16) -> FlowEvent {
        let packet = Packet {
            flow: flow(1, 443),
            label: UPSTREAM.label(),
            kind,
            seq,
            ack,
            len,
        };
        self.flows.record(&packet, UPSTREAM, self.now)
    }

    fn evict(&mut self, idle: Duration) {
        self.flows.evict(idle, self.now);
    }

    fn in_progress(&self) -> usize {
        self.flows.in_progress(UPSTREAM, self.now)
    }
}

#[test]
fn a_request_is_in_progress_until_the_caller_has_the_answer() {
    let mut told = Told::new();
    assert_eq!(told.packet(Kind::Data, 1, 1, 0), FlowEvent::Nothing);
    let asked = told.now;
    assert_eq!(told.packet(Kind::Data, 1, 1, 100), FlowEvent::Request(None));
    assert_eq!(told.in_progress(), 1);
    assert_eq!(
        told.after(50).packet(Kind::Data, 101, 900, 0),
        FlowEvent::Answered(Some(asked))
    );
    assert_eq!(told.in_progress(), 0);
}

#[test]
fn the_next_request_shows_the_answer_to_the_one_before() {
    let mut told = Told::new();
    told.packet(Kind::Data, 1, 1, 100);
    let asked = told.now;
    assert_eq!(
        told.after(1_000).packet(Kind::Data, 101, 900, 100),
        FlowEvent::Request(Some(asked))
    );
    assert_eq!(told.in_progress(), 1);
}

#[test]
fn a_packet_that_comes_again_shows_that_there_was_no_answer() {
    let mut told = Told::new();
    told.packet(Kind::Data, 1, 1, 100);
    assert_eq!(
        told.after(200).packet(Kind::Data, 1, 1, 100),
        FlowEvent::Retransmission(1)
    );
    assert_eq!(told.after(399).in_progress(), 1);
    assert_eq!(
        told.after(1).packet(Kind::Data, 1, 1, 100),
        FlowEvent::Retransmission(2)
    );
    assert_eq!(told.after(849).in_progress(), 1);
    assert_eq!(told.after(1).in_progress(), 0);
}

#[test]
fn without_another_sign_a_request_counts_for_the_time_of_ordinary_work() {
    let mut told = Told::new();
    told.packet(Kind::Data, 1, 1, 100);
    assert_eq!(told.after(74).in_progress(), 1);
    assert_eq!(told.after(1).in_progress(), 0);
}

#[test]
fn the_end_of_a_flow_ends_its_request() {
    for kind in [Kind::End, Kind::Reset] {
        let mut told = Told::new();
        told.packet(Kind::Data, 1, 1, 100);
        told.packet(kind, 101, 1, 0);
        assert_eq!((told.in_progress(), told.flows.len()), (0, 0));
    }
}

#[test]
fn positions_wrap_around() {
    let mut told = Told::new();
    told.packet(Kind::Data, u32::MAX - 49, u32::MAX, 0);
    assert_eq!(
        told.packet(Kind::Data, u32::MAX - 49, u32::MAX, 100),
        FlowEvent::Request(None)
    );
    assert!(matches!(
        told.packet(Kind::Data, 50, 20, 0),
        FlowEvent::Answered(Some(_))
    ));
    assert_eq!(
        told.packet(Kind::Data, 50, 20, 30),
        FlowEvent::Request(None)
    );
    assert_eq!(
        told.packet(Kind::Data, 50, 20, 30),
        FlowEvent::Retransmission(1)
    );
}

#[test]
fn flows_without_packets_are_forgotten() {
    let mut told = Told::new();
    told.packet(Kind::Data, 1, 1, 0);
    let idle = Duration::from_secs(15);
    told.after(14_999).evict(idle);
    assert_eq!(told.flows.len(), 1);
    told.after(1).evict(idle);
    assert!(told.flows.is_empty());
}
