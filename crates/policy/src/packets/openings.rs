//! Flows that are being opened: which upstreams got their opening packets, and which of these seem to have refused.
//!
//! An upstream answers its callers directly, so the balancer never sees a refusal. It infers one when a caller opens
//! another flow while its previous one has not been opened: a refused caller retries immediately with a new flow.

use super::{
    entry::UpstreamId,
    packet::FlowId, //
};
use smallvec::SmallVec;
use std::{
    collections::{
        hash_map::Entry,
        HashMap,
        VecDeque, //
    },
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    time::{
        Duration,
        Instant, //
    },
};

/// How long an opening is kept: callers give up 1.4 s after the first packet.
const KEEP: Duration = Duration::from_millis(1_500);

/// Largest number of openings kept; further ones are forwarded without being tracked.
const CAPACITY: usize = 65_536;

/// Opening packets of one flow, in the order in which they were forwarded.
pub type Attempts = SmallVec<[Attempt; 3]>;

/// Opening packet that was forwarded to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Upstream that got the packet.
    pub upstream: UpstreamId,
    /// Time of forwarding.
    pub at: Instant,
}

#[derive(Clone, Debug)]
struct Opening {
    at: Instant,
    tried: Attempts,
}

/// Time after which an opening is treated as failed if no other packet of its flow has followed. A caller sends the
/// next packet as soon as it has the answer, within a round trip, and retransmits the opening after twice this time.
pub const OPENING_TIMEOUT: Duration = Duration::from_millis(100);

/// Minimum age of an opening for a further opening of the caller to mean a refusal: no answer arrives sooner.
const REFUSAL_MIN: Duration = Duration::from_millis(1);

/// Largest number of unopened flows kept for one VM and route, the newest ones: a caller makes three attempts.
const UNOPENED_MAX: usize = 8;

/// VM of a caller, and the route that it uses.
type Client = (Ipv4Addr, SocketAddrV4);

/// Tracks flows from their first opening packet until they are open or abandoned.
#[derive(Clone, Debug, Default)]
pub struct Openings {
    flows: HashMap<FlowId, Opening>,
    unopened: HashMap<Client, SmallVec<[FlowId; 2]>>,
    /// Opening packets that still have time to be followed by another packet of their flow, oldest first.
    awaiting: VecDeque<(FlowId, Attempt)>,
    /// Time of the last call of `take_failed`.
    last_checked: Option<Instant>,
    /// End of the last pause without any packets.
    resumed: Option<Instant>,
}

impl Openings {
    /// Returns the opening packets of this flow that were forwarded so far.
    pub fn tried(&self, flow: FlowId, now: Instant) -> Attempts {
        let opening = self.flows.get(&flow).filter(|o| now < o.at + KEEP);
        opening.map(|o| o.tried.clone()).unwrap_or_default()
    }

    /// Records that an opening packet of a flow is forwarded to an upstream.
    pub fn record(&mut self, flow: FlowId, upstream: UpstreamId, now: Instant) {
        if self.flows.len() >= CAPACITY && !self.flows.contains_key(&flow) {
            return;
        }
        let opening = self.flows.entry(flow).or_insert(Opening {
            at: now,
            tried: Attempts::new(),
        });
        if now >= opening.at + KEEP {
            opening.at = now;
            opening.tried.clear();
        }
        if opening.tried.is_empty() {
            let unopened = self.unopened.entry(client(flow)).or_default();
            if unopened.len() >= UNOPENED_MAX {
                unopened.remove(0);
            }
            unopened.push(flow);
        }
        let tried = Attempt { upstream, at: now };
        opening.tried.push(tried);
        self.awaiting.push_back((flow, tried));
    }

    /// Removes and returns the opening packets that no other packet of their flow followed in time.
    ///
    /// Must be called for every packet. After a pause without any packets the timeout starts again: the daemon may have
    /// been suspended, and the packets that followed may still wait in the socket buffer.
    pub fn take_failed(&mut self, now: Instant) -> SmallVec<[(FlowId, Attempt); 3]> {
        let last = self.last_checked.replace(now);
        if last.is_some_and(|last| now >= last + OPENING_TIMEOUT) {
            self.resumed = Some(now);
        }
        let mut failed = SmallVec::new();
        while let Some((flow, tried)) = self.awaiting.front().copied() {
            let since = self
                .resumed
                .map_or(tried.at, |resumed| resumed.max(tried.at));
            if now < since + OPENING_TIMEOUT {
                break;
            }
            self.awaiting.pop_front();
            let opening = self.flows.get(&flow);
            if opening.is_some_and(|o| o.tried.iter().any(|t| t.at == tried.at)) {
                failed.push((flow, tried));
            }
        }
        failed
    }

    /// Returns earlier openings of the caller that seem to have been refused, because the caller now opens `flow`.
    pub fn refused(&self, flow: FlowId, now: Instant) -> Attempts {
        let unopened = self.unopened.get(&client(flow)).into_iter().flatten();
        let openings = unopened
            .filter(|other| **other != flow)
            .filter_map(|other| self.flows.get(other));
        openings
            .filter(|o| now >= o.at + REFUSAL_MIN && now < o.at + KEEP)
            .filter_map(|o| o.tried.last().copied())
            .collect()
    }

    /// Records that the flow is open at `upstream`.
    ///
    /// Returns when its opening packet was forwarded there, unless the flow was already known to be open.
    pub fn opened(&mut self, flow: FlowId, upstream: UpstreamId) -> Option<Instant> {
        if let Entry::Occupied(mut unopened) = self.unopened.entry(client(flow)) {
            unopened.get_mut().retain(|other| *other != flow);
            if unopened.get().is_empty() {
                unopened.remove();
            }
        }
        let opening = self.flows.remove(&flow)?;
        let tried = opening.tried.iter().rfind(|t| t.upstream == upstream);
        tried.map(|t| t.at)
    }

    /// Evicts openings that the callers have abandoned.
    pub fn evict(&mut self, now: Instant) {
        self.flows.retain(|_, o| now < o.at + KEEP);
        let flows = &self.flows;
        self.unopened.retain(|_, unopened| {
            unopened.retain(|flow| flows.contains_key(flow));
            !unopened.is_empty()
        });
    }
}

fn client(flow: FlowId) -> Client {
    (*flow.caller.ip(), flow.route)
}
