//! Requests that upstreams have not answered.

use crate::scene::{
    flow,
    PORT, //
};
use foxtailhinge_policy::packets::{
    outstanding::Outstanding,
    UpstreamId, //
};
use std::time::{
    Duration,
    Instant, //
};

const FIRST: UpstreamId = UpstreamId(1);
const SECOND: UpstreamId = UpstreamId(2);
/// Time for which a request is counted.
const TTL: Duration = Duration::from_secs(1);

/// A request that waits in a queue for longer than ordinary work still takes up the upstream.
#[test]
fn a_request_counts_until_it_is_answered() {
    let (mut outstanding, now) = (Outstanding::default(), Instant::now());
    outstanding.start(flow(1, PORT), FIRST, now);
    outstanding.start(flow(2, PORT), FIRST, now);
    let later = now + TTL - Duration::from_millis(1);
    assert_eq!(outstanding.count(FIRST, later), 2);
    outstanding.finish(flow(1, PORT), FIRST);
    assert_eq!(outstanding.count(FIRST, later), 1);
    assert_eq!(outstanding.count(SECOND, later), 0);
}

/// A flow whose requests were counted each would make its upstream look busy for ever.
#[test]
fn a_flow_of_many_requests_counts_once() {
    let (mut outstanding, now) = (Outstanding::default(), Instant::now());
    for _ in 0..20 {
        outstanding.start(flow(1, PORT), FIRST, now);
    }
    assert_eq!(outstanding.count(FIRST, now), 1);
    outstanding.finish(flow(1, PORT), FIRST);
    assert_eq!(outstanding.count(FIRST, now), 0);
}

/// Requests of callers that gave up must not keep flows away from an upstream, nor take up memory.
#[test]
fn requests_without_an_answer_expire() {
    let (mut outstanding, now) = (Outstanding::default(), Instant::now());
    for caller in 0..100 {
        outstanding.start(flow(caller, PORT), FIRST, now);
    }
    outstanding.start(flow(1, PORT), SECOND, now);
    assert_eq!(outstanding.count(FIRST, now + TTL), 0);
    outstanding.evict(now + TTL);
    let empty = format!("{:?}", Outstanding::default());
    assert_eq!(format!("{outstanding:?}"), empty, "nothing is left");
}

/// The end of a flow that this daemon did not open must not fail.
#[test]
fn unknown_flows_are_ignored() {
    let (mut outstanding, now) = (Outstanding::default(), Instant::now());
    outstanding.finish(flow(1, PORT), FIRST);
    outstanding.start(flow(1, PORT), FIRST, now);
    outstanding.finish(flow(2, PORT), FIRST);
    outstanding.finish(flow(1, PORT), SECOND);
    assert_eq!(outstanding.count(FIRST, now), 1);
}
