//! Parameters of a run: policy, mechanisms, sizes and events.

use crate::trace::Load;
use std::time::Duration;

/// How the ingress daemon chooses an upstream for a new flow.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Policy {
    Random,
    RoundRobin,
    /// The less loaded of two random ones, by the ingress daemon's own unfinished requests.
    OwnCounts,
    /// The least loaded one, by a view that is refreshed every 250 ms.
    StaleLeast,
    /// The less loaded of two random ones, by a view that is refreshed every 250 ms.
    StaleTwo,
    /// Several candidates, whose owners admit the flow or bounce it to the next one.
    Owner,
}

/// How the owners choose among the candidates of [`Policy::Owner`].
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Pick {
    /// The first with a free slot; if none has one, the last one queues.
    FirstFree,
    /// The first with a free slot; if none has one, the least loaded one queues.
    FirstFreeElseLeast,
    /// The least loaded one, after all were asked.
    LeastLoad,
    /// The one with the fewest flows, after all were asked.
    LeastConnected,
}

/// Policy and mechanisms of a run.
#[derive(Clone, Copy)]
pub(crate) struct Options {
    pub(crate) policy: Policy,
    pub(crate) candidates: usize,
    pub(crate) pick: Pick,
    /// Draws the first candidates with a low-discrepancy sequence.
    pub(crate) sequence: bool,
    pub(crate) queue: u32,
    /// The queue refuses requests of held flows that it expects to miss their deadlines.
    pub(crate) early_refusal: bool,
    /// An admitted flow reserves a slot, which other new flows cannot take, until its first request.
    pub(crate) reserve: bool,
    pub(crate) allowance: bool,
    /// Refused callers retry after a delay that `RetryAfter` spreads (true) or after 1 s (false), or not at all.
    pub(crate) retry_after: Option<bool>,
    /// Each bounce also takes a place in the retry schedule of `RetryAfter`.
    pub(crate) bounce_reserves_retry: bool,
    /// Retries of requests that an upstream shed.
    pub(crate) retry: Retry,
    /// Slots of each upstream that are kept free for flows whose zone went out of service.
    pub(crate) headroom: u32,
}

/// Limit of retries.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Retry {
    None,
    Unbounded,
    /// Retry budget, in percent of the requests.
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

/// An event in the fleet.
#[derive(Clone, Copy)]
pub(crate) enum Change {
    /// Every upstream `i` with `i % zones == zone` is taken out of service.
    ZoneOut(usize),
    /// The zone returns to service with cold upstreams.
    ZoneIn(usize),
    /// One upstream becomes cold without notice.
    ColdStart(usize),
    /// One upstream sheds this share of its requests, regardless of its load.
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
    /// One-way latency between caller and daemon.
    pub(crate) caller: Duration,
    /// One-way latency between daemons.
    pub(crate) hop: Duration,
    pub(crate) deadline: Duration,
    /// Time after which a refused caller stops retrying.
    pub(crate) retry_timeout: Duration,
    pub(crate) ramp: Duration,
    pub(crate) changes: Vec<(Duration, Change)>,
    /// Starts of the measured spans. Requests that arrive before the first one are not measured.
    pub(crate) spans: Vec<Duration>,
    pub(crate) connections: u32,
    /// Number of traces, each with its own seed.
    pub(crate) seeds: u64,
}
