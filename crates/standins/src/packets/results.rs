//! What callers are to do, and what they saw.

use super::upstream::Observations;
use std::{
    collections::HashSet,
    net::SocketAddrV4,
    time::{
        Duration,
        Instant, //
    },
};

/// What the callers of a zone do.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Their zone.
    pub zone: String,
    /// Address at which they take packets.
    pub addr: SocketAddrV4,
    /// Feeds that stay open.
    pub feeds: usize,
    /// Mean pause of a feed between two requests.
    pub feed_interval: Duration,
    /// Route of the feeds.
    pub feed_route: SocketAddrV4,
    /// Requests a second that must run at most once and each open a flow.
    pub posts_per_s: f64,
    /// Route of these requests.
    pub post_route: SocketAddrV4,
    /// Time in which a request is to be answered.
    pub target_latency: Duration,
    /// Time after which a caller gives up.
    pub give_up_after: Duration,
    /// Seed of all that is drawn at random.
    pub seed: u64,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Number of the request.
    pub number: u64,
    /// When it was asked.
    pub asked: Instant,
    /// Whether it may be repeated.
    pub is_feed: bool,
    /// Time to the answer; nothing when there was none.
    pub took: Option<Duration>,
    /// Upstream that answered.
    pub upstream: Option<u64>,
    /// Attempts that were made.
    pub attempts: u32,
}

/// A reset that a caller got on a flow.
#[derive(Clone, Debug)]
pub struct ReceivedReset {
    /// When.
    pub at: Instant,
    /// Upstream of the flow; none while it was not open.
    pub upstream: Option<u64>,
    /// Whether the balancer sent it.
    pub by_balancer: bool,
    /// Port of the route.
    pub route: u16,
}

/// What callers saw.
#[derive(Clone, Debug, Default)]
pub struct Results {
    /// Requests that ended.
    pub outcomes: Vec<Outcome>,
    /// Resets.
    pub resets: Vec<ReceivedReset>,
    /// Answers to other requests, or from another upstream than the flow's.
    pub wrong: u64,
}

/// Requests that must run at most once and ran more often, by their numbers, with their runs.
pub fn repeated_runs(seen: &Observations, results: &[Results]) -> Vec<(u64, u32)> {
    let outcomes = results.iter().flat_map(|r| &r.outcomes);
    let feeds = outcomes.filter(|o| o.is_feed).map(|o| o.number);
    let feeds: HashSet<_> = feeds.collect();
    let runs = seen.runs.iter().map(|(number, runs)| (*number, *runs));
    runs.filter(|(number, runs)| *runs > 1 && !feeds.contains(number))
        .collect()
}
