//! A daemon that starts, or runs again after a pause, accepts no new work before it has synced.

use crate::fleet::{
    block_on,
    until,
    until_all,
    Fleet,
    Node,
    Start, //
};
use foxtailhinge::members::ControlEvent;
use foxtailhinge_policy::pause::PauseSpec;
use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};

const PAUSE: Duration = Duration::from_millis(400);

#[test]
fn a_daemon_without_peers_and_platform_waits_for_the_timeout() {
    block_on(async {
        let fleet = Fleet::new(&["a", "a"]);
        fleet.platform.stop();
        let node = fleet.start(&Start::new(0, [1]));
        let now = Instant::now();
        assert!(!node.control.admits(now));
        assert!(node
            .control
            .admits(now + PauseSpec::default().isolated_timeout));
        assert!(!node.control.is_synced());
    });
}

#[test]
fn a_daemon_alone_in_its_zone_syncs_with_the_platform() {
    block_on(async {
        let fleet = Fleet::new(&["a"]);
        let node = fleet.start(&Start::new(0, []));
        until("it has synced", || node.control.is_synced()).await;
    });
}

#[test]
fn a_daemon_is_fenced_after_a_pause_until_it_has_synced_again() {
    block_on(async {
        let fleet = Fleet::new(&["a", "a"]);
        let pause = PauseSpec {
            pause: PAUSE,
            ..PauseSpec::default()
        };
        let start = Start {
            pause,
            ..Start::new(0, [1])
        };
        let nodes = [fleet.start(&start), fleet.start(&Start::new(1, [0]))];
        until_all(&nodes, "all have synced", |n| n.control.is_synced()).await;
        thread::sleep(2 * PAUSE);
        assert!(!nodes[0].control.admits(Instant::now()));
        assert!(nodes[1].control.admits(Instant::now()));
        let resynced = || {
            let events = nodes[0].events.borrow();
            let paused = events
                .iter()
                .rposition(|e| matches!(e, ControlEvent::Paused(_)));
            let synced = events
                .iter()
                .rposition(|e| matches!(e, ControlEvent::Synced));
            paused.is_some() && synced > paused && nodes[0].control.is_synced()
        };
        until("it has synced after the pause", resynced).await;
    });
}

#[test]
fn daemons_that_paused_together_do_not_open_each_others_fence() {
    block_on(async {
        let fleet = Fleet::new(&["a", "a"]);
        let pause = PauseSpec {
            pause: PAUSE,
            isolated_timeout: Duration::from_secs(3_600),
            sync_timeout: Duration::from_secs(3_600),
        };
        let start = |i: usize| Start {
            pause,
            ..Start::new(i, [1 - i])
        };
        let nodes = [fleet.start(&start(0)), fleet.start(&start(1))];
        until_all(&nodes, "all have synced", |n| n.control.is_synced()).await;
        fleet.platform.stop();
        thread::sleep(2 * PAUSE);
        let paused = |n: &Node| {
            let events = n.events.borrow();
            events.iter().any(|e| matches!(e, ControlEvent::Paused(_)))
        };
        until_all(&nodes, "all know that they paused", paused).await;
        let exchanges = |n: &Node| n.control.counters().exchanges.get();
        let before = nodes.each_ref().map(exchanges);
        until("they have exchanged", || {
            let now = nodes.iter().map(exchanges);
            now.zip(before).all(|(now, before)| now >= before + 3)
        })
        .await;
        assert!(nodes.iter().all(|n| !n.control.is_synced()));
        fleet.platform.resume();
        until_all(&nodes, "all have synced again", |n| n.control.is_synced()).await;
    });
}
