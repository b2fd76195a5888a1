//! Requests in progress, inferred from the headers of the callers' packets.

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

/// Flow tracker with a simulated clock.
struct Fixture {
    flows: Flows,
    now: Instant,
}

impl Fixture {
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
        self.flows.record(&packet, UPSTREAM, true, self.now)
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
    let mut fixture = Fixture::new();
    assert_eq!(fixture.packet(Kind::Data, 1, 1, 0), FlowEvent::Nothing);
    let asked = fixture.now;
    assert_eq!(
        fixture.packet(Kind::Data, 1, 1, 100),
        FlowEvent::Request(None)
    );
    assert_eq!(fixture.in_progress(), 1);
    assert_eq!(
        fixture.after(50).packet(Kind::Data, 101, 900, 0),
        FlowEvent::Answered(Some(asked))
    );
    assert_eq!(fixture.in_progress(), 0);
}

#[test]
fn a_new_request_implies_an_answer_to_the_previous_one() {
    let mut fixture = Fixture::new();
    fixture.packet(Kind::Data, 1, 1, 100);
    let asked = fixture.now;
    assert_eq!(
        fixture.after(1_000).packet(Kind::Data, 101, 900, 100),
        FlowEvent::Request(Some(asked))
    );
    assert_eq!(fixture.in_progress(), 1);
}

#[test]
fn a_retransmission_implies_that_there_was_no_answer() {
    let mut fixture = Fixture::new();
    fixture.packet(Kind::Data, 1, 1, 100);
    assert_eq!(
        fixture.after(200).packet(Kind::Data, 1, 1, 100),
        FlowEvent::Retransmission(1)
    );
    assert_eq!(fixture.after(399).in_progress(), 1);
    assert_eq!(
        fixture.after(1).packet(Kind::Data, 1, 1, 100),
        FlowEvent::Retransmission(2)
    );
    assert_eq!(fixture.after(849).in_progress(), 1);
    assert_eq!(fixture.after(1).in_progress(), 0);
}

#[test]
fn a_request_without_further_packets_expires_after_the_ordinary_processing_time() {
    let mut fixture = Fixture::new();
    fixture.packet(Kind::Data, 1, 1, 100);
    assert_eq!(fixture.after(74).in_progress(), 1);
    assert_eq!(fixture.after(1).in_progress(), 0);
}

#[test]
fn the_end_of_a_flow_ends_its_request() {
    for kind in [Kind::End, Kind::Reset] {
        let mut fixture = Fixture::new();
        fixture.packet(Kind::Data, 1, 1, 100);
        fixture.packet(kind, 101, 1, 0);
        assert_eq!((fixture.in_progress(), fixture.flows.len()), (0, 0));
    }
}

#[test]
fn sequence_numbers_wrap_around() {
    let mut fixture = Fixture::new();
    fixture.packet(Kind::Data, u32::MAX - 49, u32::MAX, 0);
    assert_eq!(
        fixture.packet(Kind::Data, u32::MAX - 49, u32::MAX, 100),
        FlowEvent::Request(None)
    );
    assert!(matches!(
        fixture.packet(Kind::Data, 50, 20, 0),
        FlowEvent::Answered(Some(_))
    ));
    assert_eq!(
        fixture.packet(Kind::Data, 50, 20, 30),
        FlowEvent::Request(None)
    );
    assert_eq!(
        fixture.packet(Kind::Data, 50, 20, 30),
        FlowEvent::Retransmission(1)
    );
}

#[test]
fn idle_flows_are_evicted() {
    let mut fixture = Fixture::new();
    fixture.packet(Kind::Data, 1, 1, 0);
    let idle = Duration::from_secs(15);
    fixture.after(14_999).evict(idle);
    assert_eq!(fixture.flows.len(), 1);
    fixture.after(1).evict(idle);
    assert!(fixture.flows.is_empty());
}
