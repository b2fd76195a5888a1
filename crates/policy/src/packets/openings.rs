//! Flows that are being opened: which upstreams got their first packets, and which of these refused.
//!
//! An upstream answers its callers directly, so a refusal is not seen here. But a caller that is refused tries again at
//! once with a new flow, while the one before has not been opened.

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

/// How long an opening is remembered: callers give up 1.4 s after the first packet.
const KEEP: Duration = Duration::from_millis(1_500);

/// Most openings remembered at a time; further ones are forwarded all the same.
const MOST: usize = 65_536;

/// Upstreams to which the first packet of a flow went, in their order.
pub type Attempts = SmallVec<[Attempt; 3]>;

/// An opening packet that went to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The upstream.
    pub upstream: UpstreamId,
    /// When the packet was forwarded.
    pub at: Instant,
}

#[derive(Clone, Debug)]
struct Opening {
    at: Instant,
    tried: Attempts,
}

/// Time after which an opening has failed that no packet of its flow followed: a caller sends one as soon as it has the
/// answer, which takes a round trip, and a copy of the opening twice as late.
pub const OPENING_TIMEOUT: Duration = Duration::from_millis(100);

/// Least age of an opening that another one of the same caller shows to be refused: no answer comes sooner.
const REFUSAL_MIN: Duration = Duration::from_millis(1);

/// Most unopened flows remembered of one caller's VM for a route, the newest ones: a caller makes three attempts.
const UNOPENED_MOST: usize = 8;

/// A caller's VM and the route that it uses.
type Client = (Ipv4Addr, SocketAddrV4);

/// Flows that are being opened.
#[derive(Clone, Debug, Default)]
pub struct Openings {
    flows: HashMap<FlowId, Opening>,
    unopened: HashMap<Client, SmallVec<[FlowId; 2]>>,
    /// Opening packets that may still be followed by another one of their flows, in their order.
    fresh: VecDeque<(FlowId, Attempt)>,
    /// When the last packet was looked at, and when packets came again after a pause of them.
    looked: Option<Instant>,
    resumed: Option<Instant>,
}

impl Openings {
    /// Upstreams that were tried for this flow.
    pub fn tried(&self, flow: FlowId, now: Instant) -> Attempts {
        let opening = self.flows.get(&flow).filter(|o| now < o.at + KEEP);
        opening.map(|o| o.tried.clone()).unwrap_or_default()
    }

    /// Notes that the first packet of a flow goes to an upstream.
    pub fn record(&mut self, flow: FlowId, upstream: UpstreamId, now: Instant) {
        if self.flows.len() >= MOST && !self.flows.contains_key(&flow) {
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
            if unopened.len() >= UNOPENED_MOST {
                unopened.remove(0);
            }
            unopened.push(flow);
        }
        let tried = Attempt { upstream, at: now };
        opening.tried.push(tried);
        self.fresh.push_back((flow, tried));
    }

    /// Takes the opening packets that nothing followed in time, with their flows; to be called with each packet.
    ///
    /// After a pause of all packets their time begins anew: the daemon may not have run, and what followed them may be
    /// among the packets that it has not looked at.
    pub fn take_failed(&mut self, now: Instant) -> SmallVec<[(FlowId, Attempt); 3]> {
        let last = self.looked.replace(now);
        if last.is_some_and(|last| now >= last + OPENING_TIMEOUT) {
            self.resumed = Some(now);
        }
        let mut failed = SmallVec::new();
        while let Some((flow, tried)) = self.fresh.front().copied() {
            let since = self
                .resumed
                .map_or(tried.at, |resumed| resumed.max(tried.at));
            if now < since + OPENING_TIMEOUT {
                break;
            }
            self.fresh.pop_front();
            let opening = self.flows.get(&flow);
            if opening.is_some_and(|o| o.tried.iter().any(|t| t.at == tried.at)) {
                failed.push((flow, tried));
            }
        }
        failed
    }

    /// Upstreams that seem to have refused earlier openings of the caller of `flow`, as its first packet shows.
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

    /// Notes that the flow is open at `upstream`; gives when its opening packet went there, if that is new.
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

    /// Forgets what callers have given up.
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
