//! Open flows and their requests in progress, inferred from the headers of the callers' packets.
//!
//! Only packets towards upstreams pass through the balancer. An acknowledgement of new bytes or the end of the flow
//! means that the upstream answered; a retransmitted packet means that it did not.

use super::{
    entry::UpstreamId,
    outstanding::Outstanding,
    overload::Response, //
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

/// Initial retransmission timeout of callers, which doubles with each retransmission.
const RTO_MIN: Duration = Duration::from_millis(200);

/// Longest retransmission timeout of callers.
const RTO_MAX: Duration = Duration::from_millis(1_600);

/// Largest number of retransmissions whose timeouts are added up; callers give up earlier.
const RETRANSMISSIONS_MAX: u32 = 16;

/// Allowance for the delay of a retransmitted packet in the network.
const RTO_MARGIN: Duration = Duration::from_millis(50);

/// Time for which a request is assumed to be in progress without further packets: the processing time of an ordinary
/// request.
const WORK: Duration = Duration::from_millis(75);

/// Largest number of tracked flows; packets of further flows are forwarded without being tracked.
const CAPACITY: usize = 65_536;

/// Request that has not been answered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// When this daemon forwarded the first packet of the request.
    pub first: Instant,
    /// When this daemon forwarded the last packet but one of the request, or the only packet.
    pub previous: Instant,
    /// When this daemon forwarded the last packet of the request.
    pub last: Instant,
    /// Number of retransmitted packets.
    pub retransmissions: u32,
}

impl Request {
    fn at(now: Instant) -> Self {
        Self {
            first: now,
            previous: now,
            last: now,
            retransmissions: 0,
        }
    }

    /// Whether the request is assumed to be in progress.
    pub fn is_in_progress(&self, now: Instant) -> bool {
        now < self.last + self.duration()
    }

    /// Time for which the caller has waited for an answer, at least: the time since the first packet, but no longer than
    /// the retransmissions show. They may have waited in this daemon's socket together with the answer's acknowledgement.
    pub fn waited(&self, now: Instant) -> Duration {
        let shown = sent_after(self.retransmissions);
        now.saturating_duration_since(self.first).min(shown)
    }

    /// Whether the last packet came as long after the one before as callers wait; otherwise both waited in a queue.
    pub fn is_last_timely(&self) -> bool {
        let pause = retransmission_timeout(self.retransmissions.saturating_sub(1));
        self.last + RTO_MARGIN >= self.previous + pause
    }

    fn duration(&self) -> Duration {
        match self.retransmissions {
            0 => WORK,
            _ => self.timeout(),
        }
    }

    /// Time after the last packet in which the caller retransmits it.
    fn timeout(&self) -> Duration {
        retransmission_timeout(self.retransmissions) + RTO_MARGIN
    }

    /// Whether the caller has not had time to retransmit the request.
    fn is_awaited(&self, now: Instant) -> bool {
        now < self.last + self.timeout()
    }
}

/// Time after which a caller sends this retransmission of a request.
pub(super) fn sent_after(retransmission: u32) -> Duration {
    let timeouts = (0..retransmission.min(RETRANSMISSIONS_MAX)).map(retransmission_timeout);
    timeouts.sum()
}

/// Time that a caller waits for an answer after this retransmission; the first packet has number 0.
fn retransmission_timeout(retransmission: u32) -> Duration {
    (RTO_MIN * 2u32.saturating_pow(retransmission)).min(RTO_MAX)
}

#[derive(Clone, Debug)]
struct Flow {
    /// End of the bytes that the caller has sent, as a sequence number.
    sent: u32,
    /// Last acknowledgement of the caller.
    received: u32,
    first_seen: Instant,
    last_seen: Instant,
    /// Whether this daemon has forwarded a packet of the flow by a configuration that has its route.
    had_route: bool,
    /// When the last data of the request that is not answered was forwarded.
    requested: Option<Instant>,
    /// Acknowledgement of the caller when it sent that request.
    acknowledged: u32,
}

impl Flow {
    /// The response that a packet acknowledges, if this daemon forwarded the request.
    fn response(&self, packet: &Packet, now: Instant) -> Option<Response> {
        let took = now.saturating_duration_since(self.requested?);
        is_after(packet.ack, self.acknowledged).then(|| Response {
            took,
            len: packet.ack.wrapping_sub(self.acknowledged),
        })
    }
}

/// Progress of a flow that a packet reveals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowEvent {
    /// The upstream answered the request; holds the time when that was forwarded, if known.
    Answered(Option<Instant>),
    /// The caller sends a new request; holds the time of the previous one if this packet shows that it was answered.
    Request(Option<Instant>),
    /// The caller retransmitted a packet; holds the number of retransmissions so far.
    Retransmission(u32),
    /// The packet reveals nothing new.
    Nothing,
}

/// Unanswered requests at one upstream.
type Requests = HashMap<FlowId, Request>;

/// Open flows, and the unanswered requests at each upstream.
#[derive(Clone, Debug, Default)]
pub struct Flows {
    flows: HashMap<FlowId, Flow>,
    /// Response that the last packet showed.
    response: Option<Response>,
    pending: HashMap<UpstreamId, Requests>,
    outstanding: Outstanding,
}

impl Flows {
    /// Records a packet of an open flow that is forwarded to `upstream`, and whether the configuration has its route.
    pub fn record(
        &mut self,
        packet: &Packet,
        upstream: UpstreamId,
        has_route: bool,
        now: Instant,
    ) -> FlowEvent {
        if matches!(packet.kind, Kind::End | Kind::Reset) {
            let flow = self.flows.remove(&packet.flow);
            if packet.kind == Kind::End {
                self.response = flow.and_then(|flow| flow.response(packet, now));
            }
            return FlowEvent::Answered(self.finish_request(packet.flow, upstream));
        }
        let Some(flow) = self.flows.get_mut(&packet.flow) else {
            self.insert(packet, has_route, now);
            return match packet.len {
                0 => {
                    self.outstanding.finish(packet.flow, upstream);
                    FlowEvent::Nothing
                }
                _ => {
                    self.start_request(packet.flow, upstream, now);
                    FlowEvent::Request(None)
                }
            };
        };
        flow.last_seen = now;
        flow.had_route |= has_route;
        let end = packet.seq.wrapping_add(packet.len.into());
        let answered = is_after(packet.ack, flow.received);
        let is_new = is_after(end, flow.sent);
        flow.received = packet.ack;
        if answered {
            // A request that acknowledges the response comes after a pause of the caller.
            self.response = flow.response(packet, now).filter(|_| packet.len == 0);
            flow.requested = None;
        }
        if is_new {
            flow.sent = end;
            flow.requested = Some(now);
            flow.acknowledged = packet.ack;
        }
        let finished = answered.then(|| self.finish_request(packet.flow, upstream));
        match (packet.len, is_new) {
            (0, _) => finished.map_or(FlowEvent::Nothing, FlowEvent::Answered),
            (_, true) => {
                self.start_request(packet.flow, upstream, now);
                FlowEvent::Request(finished.flatten())
            }
            (_, false) => self.record_retransmission(packet.flow, upstream, now),
        }
    }

    /// Removes and returns the response that the last packet showed.
    pub fn take_response(&mut self) -> Option<Response> {
        self.response.take()
    }

    /// Records that the opening packet of a flow is forwarded to `upstream`.
    ///
    /// The opening is treated as a request until the next packet of the flow.
    pub fn open(&mut self, flow: FlowId, upstream: UpstreamId, now: Instant) {
        self.start_request(flow, upstream, now);
    }

    /// Number of requests in progress at an upstream.
    pub fn in_progress(&self, upstream: UpstreamId, now: Instant) -> usize {
        let Some(pending) = self.pending.get(&upstream) else {
            return 0;
        };
        pending
            .values()
            .filter(|request| request.is_in_progress(now))
            .count()
    }

    /// Number of requests at an upstream that are not answered, however long ago they were forwarded.
    pub fn outstanding(&self, upstream: UpstreamId, now: Instant) -> usize {
        self.outstanding.count(upstream, now)
    }

    /// Returns the request of a flow that `upstream` has not answered, if there is one.
    pub fn unanswered(&self, flow: FlowId, upstream: UpstreamId) -> Option<Request> {
        self.pending.get(&upstream)?.get(&flow).copied()
    }

    /// When this daemon forwarded the first packet of a flow after its opening; `None` if the flow is not tracked.
    pub fn first_seen(&self, flow: FlowId) -> Option<Instant> {
        Some(self.flows.get(&flow)?.first_seen)
    }

    /// Whether this daemon has forwarded a packet of the flow by a configuration that has its route.
    pub fn had_route(&self, flow: FlowId) -> bool {
        self.flows.get(&flow).is_some_and(|flow| flow.had_route)
    }

    /// Removes a flow that was reset.
    pub fn end(&mut self, flow: FlowId, upstream: UpstreamId) {
        self.flows.remove(&flow);
        self.finish_request(flow, upstream);
    }

    /// Number of tracked flows.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether no flow is tracked.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Evicts flows without packets for `idle`, and requests that the callers have abandoned.
    pub fn evict(&mut self, idle: Duration, now: Instant) {
        self.flows.retain(|_, flow| now < flow.last_seen + idle);
        self.pending.retain(|_, pending| {
            pending.retain(|_, request| request.is_awaited(now));
            !pending.is_empty()
        });
        self.outstanding.evict(now);
    }

    fn insert(&mut self, packet: &Packet, has_route: bool, now: Instant) {
        if self.flows.len() >= CAPACITY {
            return;
        }
        let flow = Flow {
            sent: packet.seq.wrapping_add(packet.len.into()),
            received: packet.ack,
            first_seen: now,
            last_seen: now,
            had_route: has_route,
            requested: (packet.len > 0).then_some(now),
            acknowledged: packet.ack,
        };
        self.flows.insert(packet.flow, flow);
    }

    fn start_request(&mut self, flow: FlowId, upstream: UpstreamId, now: Instant) {
        let pending = self.pending.entry(upstream).or_default();
        pending.retain(|_, request| request.is_awaited(now));
        pending.insert(flow, Request::at(now));
        self.outstanding.start(flow, upstream, now);
    }

    fn record_retransmission(
        &mut self,
        flow: FlowId,
        upstream: UpstreamId,
        now: Instant,
    ) -> FlowEvent {
        let pending = self.pending.entry(upstream).or_default();
        let pending = pending.entry(flow).or_insert(Request::at(now));
        pending.previous = pending.last;
        pending.last = now;
        pending.retransmissions += 1;
        FlowEvent::Retransmission(pending.retransmissions)
    }

    fn finish_request(&mut self, flow: FlowId, upstream: UpstreamId) -> Option<Instant> {
        self.outstanding.finish(flow, upstream);
        let pending = self.pending.get_mut(&upstream)?.remove(&flow)?;
        Some(pending.first)
    }
}

/// Whether a sequence number is greater than another; sequence numbers wrap around.
fn is_after(position: u32, other: u32) -> bool {
    let distance = position.wrapping_sub(other);
    distance != 0 && distance < u32::MAX / 2
}
