//! What a run is made of: policy, mechanisms, sizes and events.

use crate::trace::Load;
use std::time::Duration;

/// How an upstream is chosen for a new flow.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Policy {
    Random,
    RoundRobin,
    /// Two random ones, by the ingress daemon's own unfinished requests.
    OwnCounts,
    /// Least loaded, by a view refreshed every 250 ms.
    StaleLeast,
    /// Two random ones, by a view refreshed every 250 ms.
    StaleTwo,
    /// Candidates, whose owners admit or bounce.
    Owner,
}

/// What the owners of the candidates decide by.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Pick {
    /// The first with a free slot; the last one queues.
    FirstFree,
    /// The first with a free slot; when none has one, the least loaded queues.
    FirstFreeElseLeast,
    /// All are asked, the least loaded takes it.
    LeastLoad,
    /// All are asked, the one with the fewest flows takes it.
    LeastConnected,
}

/// What is on in a run.
#[derive(Clone, Copy)]
pub(crate) struct Options {
    pub(crate) policy: Policy,
    pub(crate) candidates: usize,
    pub(crate) pick: Pick,
    /// First candidates from a low-discrepancy sequence.
    pub(crate) sequence: bool,
    pub(crate) queue: u32,
    /// The queue refuses requests of held flows that it expects to miss their deadline.
    pub(crate) early_refusal: bool,
    /// An admitted flow holds a slot against other new ones until its first request.
    pub(crate) reserve: bool,
    pub(crate) allowance: bool,
    /// Refused callers come back, after a time that `RetryAfter` spreads, or after 1 s.
    pub(crate) retry_after: Option<bool>,
    /// Each bounce takes a place in the schedule of those who come back.
    pub(crate) bounce_reserves_retry: bool,
    /// Retries of shed requests: none, without bound, or with a budget in percent.
    pub(crate) retry: Retry,
    /// Slots of each upstream kept free of all new flows but those given up by a zone.
    pub(crate) headroom: u32,
}

/// Retries of requests that an upstream shed.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Retry {
    None,
    Unbounded,
    Budget(u32),
}

impl Options {
    pub(crate) const DEFAULT: Self = Self {
        policy: Policy::Owner,
        candidates: 3,
        pick: Pick::FirstFreeElseLeast,
        sequence: true,
        queue: 16,
        early_refusal: true,
        reserve: true,
        allowance: true,
        retry_after: None,
        bounce_reserves_retry: false,
        retry: Retry::None,
        headroom: 0,
    };

    pub(crate) const fn baseline(policy: Policy) -> Self {
        Self {
            policy,
            allowance: false,
            ..Self::DEFAULT
        }
    }
}

/// Something that happens to the fleet.
#[derive(Clone, Copy)]
pub(crate) enum Change {
    /// Every upstream `i` with `i % zones == zone` goes out of service.
    ZoneOut(usize),
    /// The zone comes back, its upstreams cold.
    ZoneIn(usize),
    /// One upstream falls into a cold start without a word.
    ColdStart(usize),
    /// One upstream sheds this share of its requests, whatever its load.
    Shed(usize, f64),
}

/// Sizes and events of a scenario.
#[derive(Clone)]
pub(crate) struct Scenario {
    pub(crate) upstreams: usize,
    pub(crate) slots: u32,
    pub(crate) daemons: usize,
    pub(crate) zones: usize,
    pub(crate) load: Load,
    /// One way between caller and daemon.
    pub(crate) caller: Duration,
    /// One way between daemons.
    pub(crate) hop: Duration,
    pub(crate) deadline: Duration,
    /// Time after which a caller gives up coming back.
    pub(crate) give_up_after: Duration,
    pub(crate) ramp: Duration,
    pub(crate) changes: Vec<(Duration, Change)>,
    /// Starts of the spans that are measured; what arrives before the first is not.
    pub(crate) spans: Vec<Duration>,
    pub(crate) connections: u32,
    /// Traces that are run.
    pub(crate) seeds: u64,
}
