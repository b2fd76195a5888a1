//! Failure detector for upstreams with open flows.
//!
//! A caller is not notified when its upstream dies, so on an open flow it waits for the answer until its timeout. A
//! reset lets it repeat the request at another upstream immediately. A live upstream answers or sheds each request, so
//! one that answers no caller while several callers retransmit their requests is considered dead.

use super::entry::UpstreamId;
use smallvec::SmallVec;
use std::{
    collections::HashMap,
    net::Ipv4Addr,
    time::{
        Duration,
        Instant, //
    },
};

/// Shortest time without an answer that is evidence: a caller retransmits after 200 ms and 600 ms, less a margin for
/// the network delay.
pub const UNANSWERED_MIN: Duration = Duration::from_millis(550);

/// Shortest such time on a route with a longer target latency, as a multiple of that latency.
const UNANSWERED_LATENCIES: u32 = 2;

/// Tolerance for a retransmission that seems early because the first packet was delayed longer on its way.
const MARGIN: Duration = Duration::from_millis(50);

/// Number of callers that must have unanswered requests at the same time.
const CALLERS_MIN: usize = 2;

/// How long an unanswered request remains evidence after its last packet: the longest retransmission timeout, with a
/// margin.
const EVIDENCE_TTL: Duration = Duration::from_millis(1_650);

/// How long an upstream is considered dead without further evidence. The platform removes the entry of a dead upstream
/// after about this time, and one that was only suspended must be tried again.
pub const DEAD_TTL: Duration = Duration::from_secs(3);

/// Unanswered request that was retransmitted.
#[derive(Clone, Copy, Debug)]
pub struct Unanswered {
    /// Address of the caller's VM.
    pub caller: Ipv4Addr,
    /// Latest time at which the caller can have sent the first packet of the request.
    pub since: Instant,
    /// Target latency of the route.
    pub target_latency: Duration,
    /// Time that this daemon and the queues at the upstreams add to an answer, which is no evidence.
    pub allowance: Duration,
    /// Whether the entry of the upstream was removed.
    pub is_unlisted: bool,
}

impl Unanswered {
    /// Whether the request is unanswered for longer than a live upstream needs.
    pub fn is_overdue(&self, now: Instant) -> bool {
        let latency_max = self.target_latency * UNANSWERED_LATENCIES;
        let least = UNANSWERED_MIN
            .max(latency_max.saturating_sub(MARGIN))
            .saturating_add(self.allowance);
        now.saturating_duration_since(self.since) >= least
    }
}

#[derive(Clone, Debug, Default)]
struct Evidence {
    /// Callers with unanswered requests, and the time of their last retransmission.
    callers: SmallVec<[(Ipv4Addr, Instant); CALLERS_MIN]>,
    /// End of the time for which the upstream is considered dead.
    until: Option<Instant>,
}

impl Evidence {
    fn is_dead(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}

/// Upstreams with unanswered requests that were retransmitted.
#[derive(Clone, Debug, Default)]
pub struct DeadUpstreams {
    evidence: HashMap<UpstreamId, Evidence>,
}

impl DeadUpstreams {
    /// Records a retransmitted request.
    ///
    /// Returns whether the upstream is considered dead now and was not before. One caller is enough if the entry of the
    /// upstream was removed too.
    pub fn record(&mut self, id: UpstreamId, request: Unanswered, now: Instant) -> bool {
        if !request.is_overdue(now) {
            return false;
        }
        let evidence = self.evidence.entry(id).or_default();
        evidence
            .callers
            .retain(|(caller, at)| *caller != request.caller && now < *at + EVIDENCE_TTL);
        evidence.callers.push((request.caller, now));
        let enough = request.is_unlisted || evidence.callers.len() >= CALLERS_MIN;
        let was_dead = evidence.is_dead(now);
        if enough {
            evidence.until = Some(now + DEAD_TTL);
        }
        enough && !was_dead
    }

    /// Records that an upstream answered, which discards the evidence against it; returns whether it was considered
    /// dead.
    pub fn record_answer(&mut self, id: UpstreamId, now: Instant) -> bool {
        let evidence = self.evidence.remove(&id);
        evidence.is_some_and(|evidence| evidence.is_dead(now))
    }

    /// Whether an upstream is considered dead.
    pub fn is_dead(&self, id: UpstreamId, now: Instant) -> bool {
        let evidence = self.evidence.get(&id);
        evidence.is_some_and(|evidence| evidence.is_dead(now))
    }

    /// Evicts expired evidence.
    pub fn evict(&mut self, now: Instant) {
        self.evidence.retain(|_, evidence| {
            evidence.callers.retain(|(_, at)| now < *at + EVIDENCE_TTL);
            !evidence.callers.is_empty() || evidence.is_dead(now)
        });
    }
}
