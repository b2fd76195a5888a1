//! Requests that upstreams have not answered yet.

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

/// Time after which a request without an answer is no longer counted: its caller may have given up.
const TTL: Duration = Duration::from_secs(1);

/// Requests of this daemon that are not answered, at each upstream.
#[derive(Clone, Debug, Default)]
pub struct Outstanding {
    upstreams: HashMap<UpstreamId, SmallVec<[(FlowId, Instant); 4]>>,
}

impl Outstanding {
    /// Records that a request of a flow, or its opening packet, is forwarded; a flow has at most one.
    pub fn start(&mut self, flow: FlowId, upstream: UpstreamId, now: Instant) {
        let requests = self.upstreams.entry(upstream).or_default();
        requests.retain(|(known, at)| *known != flow && now < *at + TTL);
        requests.push((flow, now));
    }

    /// Records that the request of a flow is answered, or that the flow has ended.
    pub fn finish(&mut self, flow: FlowId, upstream: UpstreamId) {
        if let Some(requests) = self.upstreams.get_mut(&upstream) {
            requests.retain(|(known, _)| *known != flow);
        }
    }

    /// Number of requests at an upstream.
    pub fn count(&self, upstream: UpstreamId, now: Instant) -> usize {
        let requests = self.upstreams.get(&upstream).into_iter().flatten();
        requests.filter(|(_, at)| now < *at + TTL).count()
    }

    /// Evicts requests that are no longer counted.
    pub fn evict(&mut self, now: Instant) {
        self.upstreams.retain(|_, requests| {
            requests.retain(|(_, at)| now < *at + TTL);
            !requests.is_empty()
        });
    }
}
