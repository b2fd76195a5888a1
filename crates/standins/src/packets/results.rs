//! The load that callers generate, and its results.

use super::upstream::Observations;
use std::{
    collections::HashSet,
    net::SocketAddrV4,
    time::{
        Duration,
        Instant, //
    },
};

/// Load that the callers of a zone generate.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Zone of the callers.
    pub zone: String,
    /// Address at which the callers receive packets.
    pub addr: SocketAddrV4,
    /// Number of feeds, which stay open.
    pub feeds: usize,
    /// Mean time between an answer of a feed and its next request.
    pub feed_interval: Duration,
    /// Route of the feeds.
    pub feed_route: SocketAddrV4,
    /// Requests a second that must run at most once; each opens a flow.
    pub posts_per_s: f64,
    /// Route of the requests that must run at most once.
    pub post_route: SocketAddrV4,
    /// Time within which a request should be answered.
    pub target_latency: Duration,
    /// Time after which a caller abandons a request.
    pub give_up_after: Duration,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Number that identifies the request.
    pub number: u64,
    /// When the caller first sent the request.
    pub asked: Instant,
    /// Whether the request belongs to a feed, and may therefore run more than once.
    pub is_feed: bool,
    /// Time to the answer; `None` when there was no answer.
    pub took: Option<Duration>,
    /// Id of the upstream that answered.
    pub upstream: Option<u64>,
    /// Number of attempts, the first included.
    pub attempts: u32,
    /// Whether the last attempt was refused by an upstream, or reset before its flow was open, so that it did not run.
    pub not_run: bool,
}

/// A reset that a caller received.
#[derive(Clone, Debug)]
pub struct ReceivedReset {
    /// When the reset arrived.
    pub at: Instant,
    /// Id of the upstream that last answered on the flow; `None` before the first answer.
    pub upstream: Option<u64>,
    /// Whether the balancer sent the reset, and not the upstream.
    pub by_balancer: bool,
    /// Whether the flow was open.
    pub was_open: bool,
    /// Port of the flow's route.
    pub route: u16,
    /// Number of the request that was sent on the flow or was to be sent on it.
    pub request: Option<u64>,
    /// Time since the first packet of the opening; `None` when the flow was open.
    pub opening_took: Option<Duration>,
}

/// Results of the callers of a zone.
#[derive(Clone, Debug, Default)]
pub struct Results {
    /// Requests that were answered or abandoned.
    pub outcomes: Vec<Outcome>,
    /// Resets that the callers received.
    pub resets: Vec<ReceivedReset>,
    /// Number of answers without content from upstreams whose queue was full.
    pub refusals: u64,
    /// Answers to another request or from another upstream than the flow's, and packets that could not be decoded.
    pub wrong: u64,
}

/// Returns the numbers of the requests that must run at most once and ran more often, with how often they ran.
pub fn repeated_runs(seen: &Observations, results: &[Results]) -> Vec<(u64, u32)> {
    let outcomes = results.iter().flat_map(|r| &r.outcomes);
    let feeds = outcomes.filter(|o| o.is_feed).map(|o| o.number);
    let feeds: HashSet<_> = feeds.collect();
    let runs = seen.runs.iter().map(|(number, runs)| (*number, *runs));
    runs.filter(|(number, runs)| *runs > 1 && !feeds.contains(number))
        .collect()
}
