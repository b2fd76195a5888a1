//! Open flows and their requests in progress, as far as the heads of the callers' packets tell.
//!
//! Only packets towards upstreams are seen. A caller's position in the upstream's bytes that moves on, or the end of
//! the flow, shows an answer; a packet that comes again shows that there was none.

use super::{
    entry::UpstreamId,
    packet::{
        FlowId,
        Kind,
        Packet, //
    },
};
use std::{
    collections::HashMap,
    time::{
        Duration,
        Instant, //
    },
};

/// After this time without an answer a caller sends a packet again, and then after twice the time each time.
const REPEAT: Duration = Duration::from_millis(200);

/// Longest pause between two repeats of a packet.
const REPEAT_MAX: Duration = Duration::from_millis(1_600);

/// How late a repeat may be on its way here.
const REPEAT_MARGIN: Duration = Duration::from_millis(50);

/// Time for which a request counts as in progress when nothing more is seen of it: the work of an ordinary request.
const WORK: Duration = Duration::from_millis(75);

/// Most flows held; packets of further ones are forwarded without being held.
const MOST: usize = 65_536;

/// A request without an answer so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// When its first packet was forwarded from here.
    pub first: Instant,
    /// When its last packet was forwarded from here.
    pub last: Instant,
    /// How often packets of it came again.
    pub retransmissions: u32,
}

impl Request {
    fn at(now: Instant) -> Self {
        Self {
            first: now,
            last: now,
            retransmissions: 0,
        }
    }

    /// Whether the request is in progress by what is known now.
    pub fn is_in_progress(&self, now: Instant) -> bool {
        now < self.last + self.lasts()
    }

    fn lasts(&self) -> Duration {
        match self.retransmissions {
            0 => WORK,
            n => (REPEAT * 2u32.saturating_pow(n)).min(REPEAT_MAX) + REPEAT_MARGIN,
        }
    }
}

#[derive(Clone, Debug)]
struct Flow {
    /// Position up to which the caller has sent.
    sent: u32,
    /// Position up to which the caller has the upstream's bytes.
    received: u32,
    seen: Instant,
}

/// What a packet shows of its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowEvent {
    /// The upstream has answered what was asked at the time given.
    Answered(Option<Instant>),
    /// A request goes to the upstream for the first time; the one before is answered that was asked at the time given.
    Request(Option<Instant>),
    /// A packet came again.
    Retransmission(u32),
    /// Nothing new.
    Nothing,
}

/// Requests without an answer at one upstream.
type Requests = HashMap<FlowId, Request>;

/// Open flows by their ends.
#[derive(Clone, Debug, Default)]
pub struct Flows {
    flows: HashMap<FlowId, Flow>,
    asked: HashMap<UpstreamId, Requests>,
}

impl Flows {
    /// Notes a packet of an open flow that goes to `upstream`.
    pub fn record(&mut self, packet: &Packet, upstream: UpstreamId, now: Instant) -> FlowEvent {
        if matches!(packet.kind, Kind::End | Kind::Reset) {
            self.flows.remove(&packet.flow);
            return FlowEvent::Answered(self.answer(packet.flow, upstream));
        }
        let Some(flow) = self.flows.get_mut(&packet.flow) else {
            self.insert(packet, now);
            return match packet.len {
                0 => FlowEvent::Nothing,
                _ => {
                    self.ask(packet.flow, upstream, now);
                    FlowEvent::Request(None)
                }
            };
        };
        flow.seen = now;
        let end = packet.seq.wrapping_add(packet.len.into());
        let answered = is_after(packet.ack, flow.received);
        let is_new = is_after(end, flow.sent);
        flow.received = packet.ack;
        if is_new {
            flow.sent = end;
        }
        let from = answered.then(|| self.answer(packet.flow, upstream));
        match (packet.len, is_new) {
            (0, _) => from.map_or(FlowEvent::Nothing, FlowEvent::Answered),
            (_, true) => {
                self.ask(packet.flow, upstream, now);
                FlowEvent::Request(from.flatten())
            }
            (_, false) => self.repeat(packet.flow, upstream, now),
        }
    }

    /// Notes that the opening packet of a flow goes to `upstream`, which counts as a request until more is seen.
    pub fn open(&mut self, flow: FlowId, upstream: UpstreamId, now: Instant) {
        self.ask(flow, upstream, now);
    }

    /// Requests in progress at an upstream.
    pub fn in_progress(&self, upstream: UpstreamId, now: Instant) -> usize {
        let Some(asked) = self.asked.get(&upstream) else {
            return 0;
        };
        asked.values().filter(|a| a.is_in_progress(now)).count()
    }

    /// The request of a flow that its upstream has not answered.
    pub fn unanswered(&self, flow: FlowId, upstream: UpstreamId) -> Option<Request> {
        self.asked.get(&upstream)?.get(&flow).copied()
    }

    /// Forgets a flow that is reset.
    pub fn end(&mut self, flow: FlowId, upstream: UpstreamId) {
        self.flows.remove(&flow);
        self.answer(flow, upstream);
    }

    /// Number of flows held.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether no flow is held.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Forgets flows that were not seen for `idle`, and requests that must have been answered.
    pub fn evict(&mut self, idle: Duration, now: Instant) {
        self.flows.retain(|_, flow| now < flow.seen + idle);
        self.asked.retain(|_, asked| {
            asked.retain(|_, asked| asked.is_in_progress(now));
            !asked.is_empty()
        });
    }

    fn insert(&mut self, packet: &Packet, now: Instant) {
        if self.flows.len() >= MOST {
            return;
        }
        let flow = Flow {
            sent: packet.seq.wrapping_add(packet.len.into()),
            received: packet.ack,
            seen: now,
        };
        self.flows.insert(packet.flow, flow);
    }

    fn ask(&mut self, flow: FlowId, upstream: UpstreamId, now: Instant) {
        let asked = self.asked.entry(upstream).or_default();
        asked.retain(|_, asked| asked.is_in_progress(now));
        asked.insert(flow, Request::at(now));
    }

    fn repeat(&mut self, flow: FlowId, upstream: UpstreamId, now: Instant) -> FlowEvent {
        let asked = self.asked.entry(upstream).or_default();
        let asked = asked.entry(flow).or_insert(Request::at(now));
        asked.last = now;
        asked.retransmissions += 1;
        FlowEvent::Retransmission(asked.retransmissions)
    }

    fn answer(&mut self, flow: FlowId, upstream: UpstreamId) -> Option<Instant> {
        let asked = self.asked.get_mut(&upstream)?.remove(&flow)?;
        Some(asked.first)
    }
}

/// Whether one position lies after another; positions wrap around.
fn is_after(position: u32, other: u32) -> bool {
    let distance = position.wrapping_sub(other);
    distance != 0 && distance < u32::MAX / 2
}
