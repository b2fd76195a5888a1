//! A caller and an upstream without daemons, with and without a fabric in between.

use foxtailhinge_standins::{
    caller::{
        Caller,
        CallerSpec,
        Outcome, //
    },
    fabric::Fabric,
    upstream::{
        body,
        ServiceTime,
        Spec,
        Upstream, //
    }, //
};
use rstest::rstest;
use std::{
    net::SocketAddr,
    time::Duration, //
};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

fn addr(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

fn spec() -> Spec {
    let mut spec = Spec::new("syncdesk-api", "syncdesk-1", "windhoek-1");
    spec.service_time = ServiceTime::Fixed(Duration::from_millis(2));
    spec.notify_interval = Duration::from_millis(20);
    spec
}

fn caller(address: SocketAddr) -> Caller {
    Caller::open(CallerSpec::new("syncdesk-api", address, 7)).unwrap()
}

#[test]
fn a_request_is_answered_with_its_own_content() {
    let upstream = Upstream::start(addr("127.0.8.1:5683"), spec()).unwrap();
    let caller = caller(upstream.addr());
    let answer = caller.get("/cues", REQUEST_TIMEOUT).answer().unwrap();
    let line = answer.headline().unwrap();
    assert_eq!((line.path.as_str(), line.run), ("/cues", 1));
    assert_eq!(caller.counts().wrong_answer, 0);
}

#[test]
fn a_post_runs_once_although_the_fabric_duplicates_packets() {
    let upstream = Upstream::start(addr("127.0.8.2:5683"), spec()).unwrap();
    let fabric = Fabric::start(addr("127.0.8.3:5601"), &[upstream.addr()], 1).unwrap();
    fabric.set(|behaviour| behaviour.copies = 3);
    let caller = caller(addr("127.0.8.3:5601"));
    let posted = caller.post("/clearances", b"one", REQUEST_TIMEOUT);
    assert!(matches!(posted, Outcome::Answered(_)), "{posted:?}");
    assert_eq!(upstream.runs("one"), 1);
    assert_eq!(upstream.records().duplicates, 2);
}

#[test]
fn a_block_wise_answer_is_complete_over_a_lossy_fabric() {
    let upstream = Upstream::start(addr("127.0.8.4:5683"), spec()).unwrap();
    let fabric = Fabric::start(addr("127.0.8.5:5601"), &[upstream.addr()], 3).unwrap();
    fabric.set(|behaviour| behaviour.loss = 0.1);
    let caller = caller(addr("127.0.8.5:5601"));
    let answer = caller.get("/long", REQUEST_TIMEOUT).answer().unwrap();
    assert_eq!((answer.payload.len(), answer.blocks), (5000, 5));
    assert!(body::is_whole(&answer.payload));
}

#[test]
fn a_feed_receives_notifications_until_it_is_dropped() {
    let upstream = Upstream::start(addr("127.0.8.6:5683"), spec()).unwrap();
    let caller = caller(upstream.addr());
    let feed = caller.feed("/cues");
    assert!(feed.wait(20, REQUEST_TIMEOUT));
    assert_eq!(feed.stats().breaks, []);
    assert_eq!(upstream.feeds(), 1);
    drop(feed);
    let ended = std::iter::repeat_with(|| upstream.feeds())
        .inspect(|_| std::thread::sleep(Duration::from_millis(10)))
        .take(200)
        .any(|feeds| feeds == 0);
    assert!(ended);
}

#[test]
fn a_cold_upstream_sheds_load_beyond_its_capacity() {
    let mut spec = spec();
    spec.starts_warm = false;
    spec.service_time = ServiceTime::Fixed(Duration::from_millis(200));
    let upstream = Upstream::start(addr("127.0.8.7:5683"), spec).unwrap();
    let (first, second) = (caller(upstream.addr()), caller(upstream.addr()));
    let slow = std::thread::spawn(move || first.get("/cues", REQUEST_TIMEOUT));
    while upstream.records().run == 0 {
        std::thread::sleep(Duration::from_millis(5));
    }
    let refused = second.get("/cues", REQUEST_TIMEOUT);
    assert!(matches!(refused, Outcome::NotRun { .. }), "{refused:?}");
    assert!(matches!(slow.join().unwrap(), Outcome::Answered(_)));
    assert_eq!(upstream.records().cold_overload, 1);
}

#[rstest]
#[case::same_zone(0, false, Duration::from_millis(1))]
#[case::other_zone(1, true, Duration::from_micros(2500))]
fn packets_into_another_zone_take_longer(
    #[case] zone: usize,
    #[case] crosses: bool,
    #[case] one_way: Duration,
) {
    let service = addr(&format!("127.0.8.{}:5601", 20 + zone));
    let upstream = Upstream::start(addr(&format!("127.0.8.{}:5683", 30 + zone)), spec()).unwrap();
    let fabric = Fabric::start(service, &[upstream.addr()], 1).unwrap();
    fabric.set(|behaviour| behaviour.zone_latency = Duration::from_micros(1500));
    let caller = caller(service);
    fabric.assign_zone(caller.addr().unwrap().ip(), 0);
    fabric.assign_zone(upstream.addr().ip(), zone);
    for _ in 0..2 {
        let answer = caller.get("/cues", REQUEST_TIMEOUT).answer().unwrap();
        assert!(answer.took >= 2 * one_way, "{:?}", answer.took);
    }
    let counts = fabric.counts();
    let all = counts.to_daemons + counts.to_callers;
    assert_eq!(counts.crossed, if crosses { all } else { 0 });
}
