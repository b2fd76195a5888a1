//! Recent packets to all upstreams, and which of them were answered.
//!
//! All packets of a daemon share its processor, its socket and its link. While packets to most upstreams are
//! unanswered, the daemon itself loses or delays them, and the silence of one upstream says nothing about it.

use super::{
    entry::UpstreamId,
    flows::sent_after,
    packet::FlowId, //
};
use smallvec::SmallVec;
use std::{
    collections::VecDeque,
    time::{
        Duration,
        Instant, //
    },
};

/// How long a packet is kept: callers retransmit for the fifth time after 6.2 s, and some of their packets come late.
const TTL: Duration = Duration::from_secs(8);

/// Shortest time between two recorded packets, which limits their number to 800.
const SPACING: Duration = Duration::from_millis(10);

/// Time before and after a request within which those to other upstreams show whether it was delivered.
const NEIGHBORHOOD: Duration = Duration::from_millis(500);

/// Largest number of requests before, and of requests after, that are compared: the nearest ones, because their callers
/// retransmit them at about the same times.
const SAMPLE_MAX: usize = 5;

/// Margin for the delay of a retransmission, and for services that take about as long as the first retransmission timeout.
const MARGIN: Duration = Duration::from_millis(50);

/// Opening or first packet of a request.
#[derive(Clone, Copy, Debug)]
struct Sent {
    flow: FlowId,
    upstream: UpstreamId,
    at: Instant,
    answered: Option<Instant>,
    /// Number of retransmissions before the answer.
    retransmissions: u32,
}

impl Sent {
    /// Whether the caller sent this retransmission, and the answer did not come about then either.
    ///
    /// The acknowledgement of an answer may come as late as the caller's next request, so its absence shows nothing.
    fn is_unanswered(&self, retransmission: u32) -> bool {
        let time = sent_after(retransmission) + MARGIN;
        let is_answered = self.answered.is_some_and(|at| at < self.at + time);
        self.retransmissions >= retransmission && !is_answered
    }
}

/// Recent openings and requests in the order of forwarding; each flow has at most one that is awaited.
#[derive(Clone, Debug, Default)]
pub struct Deliveries {
    packets: VecDeque<Sent>,
}

impl Deliveries {
    /// Records that an opening or the first packet of a request is forwarded.
    pub fn record(&mut self, flow: FlowId, upstream: UpstreamId, now: Instant) {
        let last = self.packets.back();
        if last.is_some_and(|last| now < last.at + SPACING) {
            return;
        }
        while self
            .packets
            .front()
            .is_some_and(|sent| now >= sent.at + TTL)
        {
            self.packets.pop_front();
        }
        if self.awaited(flow).is_none() {
            self.packets.push_back(Sent {
                flow,
                upstream,
                at: now,
                answered: None,
                retransmissions: 0,
            });
        }
    }

    /// Records that the awaited packet of a flow was answered.
    pub fn record_answer(&mut self, flow: FlowId, now: Instant) {
        if let Some(sent) = self.awaited(flow) {
            sent.answered = Some(now);
        }
    }

    /// Records that the awaited packet of a flow is forwarded again.
    pub fn record_retransmission(&mut self, flow: FlowId) {
        if let Some(sent) = self.awaited(flow) {
            sent.retransmissions += 1;
        }
    }

    /// Whether this daemon seems to have lost or delayed a packet for an upstream that it forwarded at `at`, and the
    /// retransmissions of it before number `retransmission`: just before that time or just after it, the callers of most
    /// requests to other upstreams sent that retransmission too.
    ///
    /// Returns false if there were no requests to other upstreams.
    pub fn is_lost(
        &self,
        at: Instant,
        retransmission: u32,
        upstream: UpstreamId,
        now: Instant,
    ) -> bool {
        let time = sent_after(retransmission) + MARGIN;
        let middle = self.packets.partition_point(|sent| sent.at < at);
        let is_compared = |sent: &&Sent| sent.upstream != upstream && sent.at + time <= now;
        let before = self.packets.range(..middle).rev();
        let before = before.take_while(|sent| at < sent.at + NEIGHBORHOOD);
        let after = self.packets.range(middle..);
        let after = after.take_while(|sent| sent.at < at + NEIGHBORHOOD);
        are_unanswered(before.filter(is_compared), retransmission)
            || are_unanswered(after.filter(is_compared), retransmission)
    }

    fn awaited(&mut self, flow: FlowId) -> Option<&mut Sent> {
        let mut packets = self.packets.iter_mut();
        packets.rfind(|sent| sent.flow == flow && sent.answered.is_none())
    }
}

/// Whether most of the first requests were unanswered when this retransmission of them was due.
fn are_unanswered<'s>(requests: impl Iterator<Item = &'s Sent>, retransmission: u32) -> bool {
    let sample: SmallVec<[bool; SAMPLE_MAX]> = requests
        .take(SAMPLE_MAX)
        .map(|sent| sent.is_unanswered(retransmission))
        .collect();
    let unanswered = sample.iter().filter(|is_unanswered| **is_unanswered);
    unanswered.count() * 2 > sample.len()
}
