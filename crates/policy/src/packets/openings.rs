//! Flows that are being opened, by the copies of their first packet.

use super::{
    entry::UpstreamId,
    packet::FlowId, //
};
use smallvec::SmallVec;
use std::{
    collections::HashMap,
    time::{
        Duration,
        Instant, //
    },
};

/// How long an opening is remembered: callers give up 1.4 s after the first packet.
const KEEP: Duration = Duration::from_millis(1_500);

/// Most openings remembered at a time; further ones are forwarded all the same.
const MOST: usize = 65_536;

/// Upstreams to which the first packet of a flow went.
pub type Tried = SmallVec<[UpstreamId; 3]>;

#[derive(Clone, Debug)]
struct Opening {
    at: Instant,
    tried: Tried,
}

/// Flows that are being opened.
#[derive(Clone, Debug, Default)]
pub struct Openings {
    flows: HashMap<FlowId, Opening>,
}

impl Openings {
    /// Upstreams that were tried for this flow.
    pub fn tried(&self, flow: FlowId, now: Instant) -> Tried {
        let opening = self.flows.get(&flow).filter(|o| now < o.at + KEEP);
        opening.map(|o| o.tried.clone()).unwrap_or_default()
    }

    /// Notes that the first packet of a flow goes to an upstream.
    pub fn note(&mut self, flow: FlowId, upstream: UpstreamId, now: Instant) {
        if self.flows.len() >= MOST && !self.flows.contains_key(&flow) {
            return;
        }
        let opening = self.flows.entry(flow).or_insert(Opening {
            at: now,
            tried: Tried::new(),
        });
        if now >= opening.at + KEEP {
            opening.at = now;
            opening.tried.clear();
        }
        opening.tried.push(upstream);
    }

    /// Notes that the flow is open, and returns the upstreams that were tried.
    pub fn opened(&mut self, flow: FlowId) -> Option<Tried> {
        self.flows.remove(&flow).map(|o| o.tried)
    }

    /// Forgets what callers have given up.
    pub fn forget(&mut self, now: Instant) {
        self.flows.retain(|_, o| now < o.at + KEEP);
    }
}
