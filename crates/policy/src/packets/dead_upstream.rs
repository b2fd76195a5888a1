//! Death of an upstream that holds open flows.
//!
//! A caller waits for the answer on an open flow until its time is over, since nothing tells it that the upstream has
//! died, while a reset lets it repeat the request elsewhere at once. An upstream that lives answers each request or sheds
//! it, so that one which answers nobody, while requests of several callers come again and again, is taken for dead.

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

/// Shortest time without an answer that counts: a caller repeats a packet after 200 ms and 600 ms, less the way here.
pub const UNANSWERED_MIN: Duration = Duration::from_millis(550);

/// The same in aims of the route, for requests that take longer.
const UNANSWERED_AIMS: u32 = 2;

/// How early a repeat may be seen, as its first packet took longer to come.
const MARGIN: Duration = Duration::from_millis(50);

/// Callers whose requests must be unanswered together.
const CALLERS_MIN: usize = 2;

/// How long a request that is not answered counts after its last packet: the longest pause between two repeats.
const COUNTS: Duration = Duration::from_millis(1_650);

/// How long an upstream counts as dead without another sign. The platform takes the entry of a dead one away after
/// about that time, and one that was only paused is to be tried again.
pub const DEAD_TTL: Duration = Duration::from_secs(3);

/// A request without an answer.
#[derive(Clone, Copy, Debug)]
pub struct Unanswered {
    /// VM of the caller.
    pub caller: Ipv4Addr,
    /// When its first packet was forwarded from here.
    pub since: Instant,
    /// Time in which it was to be answered.
    pub target_latency: Duration,
    /// Whether the upstream's entry has gone.
    pub is_unlisted: bool,
}

#[derive(Clone, Debug, Default)]
struct Evidence {
    callers: SmallVec<[(Ipv4Addr, Instant); CALLERS_MIN]>,
    until: Option<Instant>,
}

impl Evidence {
    fn is_dead(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}

/// Upstreams that seem to have died.
#[derive(Clone, Debug, Default)]
pub struct DeadUpstreams {
    evidence: HashMap<UpstreamId, Evidence>,
}

impl DeadUpstreams {
    /// Notes that a packet of a request came again; returns whether the upstream counts as dead now and did not before.
    ///
    /// One caller is enough when the upstream's entry has gone as well.
    pub fn record(&mut self, id: UpstreamId, request: Unanswered, now: Instant) -> bool {
        let least =
            UNANSWERED_MIN.max((request.target_latency * UNANSWERED_AIMS).saturating_sub(MARGIN));
        if now.saturating_duration_since(request.since) < least {
            return false;
        }
        let evidence = self.evidence.entry(id).or_default();
        evidence
            .callers
            .retain(|(caller, at)| *caller != request.caller && now < *at + COUNTS);
        evidence.callers.push((request.caller, now));
        let enough = request.is_unlisted || evidence.callers.len() >= CALLERS_MIN;
        let was_dead = evidence.is_dead(now);
        if enough {
            evidence.until = Some(now + DEAD_TTL);
        }
        enough && !was_dead
    }

    /// Notes that an upstream answered, which ends all that spoke against it; returns whether it counted as dead.
    pub fn record_answer(&mut self, id: UpstreamId, now: Instant) -> bool {
        let evidence = self.evidence.remove(&id);
        evidence.is_some_and(|evidence| evidence.is_dead(now))
    }

    /// Whether an upstream counts as dead.
    pub fn is_dead(&self, id: UpstreamId, now: Instant) -> bool {
        let evidence = self.evidence.get(&id);
        evidence.is_some_and(|evidence| evidence.is_dead(now))
    }

    /// Forgets what is over.
    pub fn evict(&mut self, now: Instant) {
        self.evidence.retain(|_, evidence| {
            evidence.callers.retain(|(_, at)| now < *at + COUNTS);
            !evidence.callers.is_empty() || evidence.is_dead(now)
        });
    }
}
