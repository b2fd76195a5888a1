//! A store that fails, is idle, loses its history, or refuses some daemons.

use crate::scene::Scene;
use foxtailhinge_standins::packets::{
    fleet::ROUTE_PORT,
    store::Fault, //
};
use rstest::rstest;
use serde_json::json;
use std::time::{
    Duration,
    Instant, //
};

#[rstest]
#[case::busy(Fault::Busy)]
#[case::silent(Fault::Silent)]
#[case::reset(Fault::Reset)]
fn entries_that_lapse_in_an_outage_keep_their_upstreams_in_use(#[case] fault: Fault) {
    let mut scene = Scene::start().load(4, 10.0);
    scene.run(500).store.set_fault(fault);
    scene.store.expire_prefix("servers/");
    scene.run(2_500);
    let began = Instant::now();
    scene.store.set_fault(Fault::None);
    scene.run(4_500);
    let report = scene.finish();
    assert_eq!((report.unanswered(), report.resets()), (0, 0));
    assert!(report.on_time_share(began, Instant::now()) >= 0.99);
    for index in 0..scene.len() {
        let status = scene.status(index).unwrap();
        assert_eq!(status.store_lost, None);
        assert_eq!(scene.events(index, "store_regained").len(), 1);
    }
}

#[rstest]
#[case::busy(Fault::Busy)]
#[case::silent(Fault::Silent)]
#[case::reset(Fault::Reset)]
fn a_change_after_an_outage_is_in_force_in_time(#[case] fault: Fault) {
    let mut scene = Scene::start();
    scene.store.set_fault(fault);
    scene.run(1_500).store.set_fault(Fault::None);
    scene.configure(&[ROUTE_PORT]);
    let took = scene.await_configuration().unwrap();
    assert!(took < Duration::from_millis(3_000), "{took:?}");
}

#[test]
fn a_view_is_listed_again_when_the_store_has_lost_its_history() {
    let mut scene = Scene::start().load(2, 5.0);
    scene.store.refuse(&[scene.store_addr(0)]);
    scene.run(800);
    scene.upstreams[0].end();
    scene.evacuate("windhoek-2");
    scene.store.compact_history();
    scene.store.refuse(&[]);
    scene
        .wait_until("the daemon has the changes that it missed", |fleet| {
            let status = fleet.status(0).unwrap();
            let out = status
                .upstreams
                .iter()
                .filter(|u| u.standing.as_str() == "out");
            let gone = status
                .upstreams
                .iter()
                .filter(|u| u.standing.as_str() == "unlisted");
            (out.count(), gone.count()) == (3, 1)
        })
        .unwrap();
    let report = scene.finish();
    assert_eq!(report.broken(), 0);
}

#[rstest]
#[case::with_history(false)]
#[case::without_history(true)]
fn a_daemon_that_starts_with_a_stale_list_catches_up_in_time(#[case] history_is_lost: bool) {
    let mut scene = Scene::start();
    scene.store.freeze_stale_reads();
    scene.kill(0);
    scene.configure(&[ROUTE_PORT]);
    scene.upstreams[0].end();
    if history_is_lost {
        scene.store.compact_history();
    }
    scene.start_daemon(0).unwrap();
    let took = scene.await_configuration().unwrap();
    assert!(took < Duration::from_millis(2_000), "{took:?}");
    let listed = scene.events(0, "view_listed").len();
    assert_eq!(
        listed,
        if history_is_lost { 3 } else { 2 },
        "one list per start, and one more when the history is lost"
    );
    let status = scene.status(0).unwrap();
    let gone = status
        .upstreams
        .iter()
        .filter(|u| u.standing.as_str() == "unlisted");
    assert_eq!(status.upstreams.len() - gone.count(), 11);
}

#[test]
fn a_daemon_that_the_store_refuses_keeps_forwarding_by_its_view() {
    let mut scene = Scene::start().load(4, 10.0);
    scene.store.refuse(&[scene.store_addr(0)]);
    scene.run(2_500);
    let status = scene.status(0).unwrap();
    assert!(status.ready && status.store_lost.is_some());
    assert_eq!(scene.events(0, "store_lost").len(), 1);
    let report = scene.finish();
    assert_eq!((report.unanswered(), report.resets()), (0, 0));
}

#[test]
fn changes_are_in_force_everywhere_while_the_store_is_slow() {
    let mut scene = Scene::start();
    scene.store.set_delay(Duration::from_millis(300));
    scene.configure(&[ROUTE_PORT, ROUTE_PORT + 1, 8_443]);
    let took = scene.await_configuration().unwrap();
    assert!(took < Duration::from_millis(3_000), "{took:?}");
}

#[test]
fn entries_of_other_writers_are_ignored_or_refused() {
    let mut scene = Scene::start().load(2, 5.0);
    scene
        .store
        .put_bytes("servers/i-00000000ff", vec![0, 159, 146, 150]);
    scene
        .store
        .put("servers/i-00000000fe", &json!({"state": "ready"}));
    scene.store.put("servers/", &json!([]));
    scene.store.put("somebody/else", &json!(1));
    scene.store.put("op/config", &json!({"version": "9"}));
    scene.run(2_000);
    let report = scene.finish();
    assert_eq!((report.unanswered(), report.resets()), (0, 0));
    assert_eq!(scene.status(0).unwrap().upstreams.len(), 12);
    assert_eq!(scene.events(0, "entry_refused").len(), 3);
}

/// Odd entries among those of the servers end no daemon and hide no later change.
#[test]
fn daemons_follow_the_store_beside_odd_entries() {
    let mut scene = Scene::start().load(2, 5.0);
    let deep = "[".repeat(200_000) + &"]".repeat(200_000);
    let entry = |service: &str, port: &str, slots: &str, warmup: &str| {
        format!(
            r#"{{"service":{service},"address":"127.0.0.1:{port}","zone":"z","version":"v","slots":{slots},
                "state":"ready","warmup_left_ms":{warmup},"sequence":1}}"#
        )
    };
    let huge = u64::MAX.to_string();
    let odd = [
        entry(&deep, "1", "1", "0"),
        entry(r#""odd""#, "65536", "1", "0"),
        entry(r#""odd""#, "0", "1", "0"),
        entry(r#""odd""#, "1", "1e999", "0"),
        entry(r#""odd""#, "1", "1", &format!("{huge}0")),
        entry(r#""odd""#, "1", &u32::MAX.to_string(), &huge),
        entry(&format!("{:?}", "x".repeat(500_000)), "1", "1", "0"),
    ];
    for (index, value) in odd.iter().enumerate() {
        let key = format!("servers/i-00000000f{index}");
        scene.store.put_bytes(&key, value.clone().into_bytes());
    }
    scene.run(2_000);
    scene.add_upstream(0, 0x7777, Duration::ZERO).unwrap();
    scene
        .wait_until("the daemons know a server that came later", |fleet| {
            (0..fleet.len()).all(|index| {
                let status = fleet.status(index).unwrap();
                status.upstreams.iter().any(|u| u.id.ends_with("7777"))
            })
        })
        .unwrap();
    for index in 0..scene.len() {
        assert!(scene.try_wait(index).is_none(), "daemon {index} runs on");
        assert!(scene.events(index, "panic").is_empty());
    }
    let report = scene.finish();
    assert_eq!((report.unanswered(), report.resets()), (0, 0));
    assert_eq!(scene.events(0, "entry_refused").len(), 5);
}

#[test]
fn an_idle_store_is_called_rarely() {
    let scene = Scene::start();
    scene.run(500);
    let before = scene.store.calls();
    scene.run(4_000);
    let calls = scene.store.calls() - before;
    // Four daemons, each with a watch that waits for a second: the time within which a lost answer must be detected,
    // minus the limits of a call.
    assert!(calls <= 4 * 5, "{calls} calls in 4 s");
}

#[test]
fn changes_that_fill_several_answers_are_in_force_in_time() {
    let mut scene = Scene::start();
    let addrs: Vec<_> = (0..scene.len()).map(|i| scene.store_addr(i)).collect();
    scene.store.refuse(&addrs);
    scene.run(500);
    scene.store.add_unrelated(2_600);
    scene.configure(&[ROUTE_PORT]);
    scene.store.refuse(&[]);
    let took = scene.await_configuration().unwrap();
    // Six answers; the back-off after a failed call is at most 1.2 s.
    assert!(took < Duration::from_millis(2_200), "{took:?}");
}

#[test]
fn a_view_is_not_fresh_while_old_changes_are_still_read() {
    let scene = Scene::start();
    let addr = scene.store_addr(0);
    scene.store.refuse(&[addr]);
    scene.run(4_000);
    scene.store.add_unrelated(2_600);
    scene.store.set_delay(Duration::from_millis(300));
    scene.store.refuse(&[]);
    let mut behind = 0;
    scene
        .wait_until("the daemon has read all changes", |fleet| {
            let status = fleet.status(0).unwrap();
            let is_behind = status.revision < fleet.store.revision();
            behind += usize::from(is_behind && status.store_lost.is_none());
            assert!(
                !is_behind || status.age.is_none_or(|age| age > Duration::from_secs(3)),
                "{status:?}"
            );
            !is_behind
        })
        .unwrap();
    assert!(behind > 0, "a status was taken between two answers");
}

#[test]
fn a_missing_upstream_is_found_before_the_watch_interval_ends() {
    let mut scene = Scene::start();
    for upstream in &mut scene.upstreams[..8] {
        upstream.end();
    }
    scene
        .wait_until(
            "the daemons know no upstream of the first service",
            |fleet| {
                (0..fleet.len()).all(|index| {
                    let status = fleet.status(index).unwrap();
                    let gone = status.upstreams.iter();
                    gone.filter(|u| u.standing.as_str() == "unlisted").count() == 8
                })
            },
        )
        .unwrap();
    let mut scene = scene.load(0, 100.0);
    scene.run(3_000);
    scene.store.add_unrelated(1);
    scene.run(50);
    let added = Instant::now();
    scene.add_upstream(0, 0x7777, Duration::ZERO).unwrap();
    scene
        .wait_until("the daemons know the new upstream", |fleet| {
            (0..fleet.len()).all(|index| {
                let status = fleet.status(index).unwrap();
                status.upstreams.iter().any(|u| u.id.ends_with("7777"))
            })
        })
        .unwrap();
    let took = added.elapsed();
    assert!(took < Duration::from_millis(500), "{took:?}");
    scene.finish();
}
