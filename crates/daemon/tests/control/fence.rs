//! A daemon that starts or wakes takes no new work before it has synced.

use {
    crate::fleet::{
        block_on,
        until,
        until_all,
        Fleet,
        Start, //
    },
    foxtailhinge::members::ControlEvent,
    foxtailhinge_policy::pause::PauseSpec,
    std::{
        thread,
        time::{
            Duration,
            Instant, //
        },
    },
};

const PAUSE: Duration = Duration::from_millis(400);

#[test]
fn a_daemon_without_peers_and_platform_waits_for_the_bound() {
    block_on(async {
        let fleet = Fleet::new(&["a", "a"]);
        fleet.platform.stop();
        let node = fleet.start(&Start::new(0, [1]));
        let now = Instant::now();
        assert!(!node.control.admits(now));
        assert!(node.control.admits(now + PauseSpec::default().bound));
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
fn a_daemon_that_wakes_is_fenced_until_it_has_synced_again() {
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
        let woke = || {
            let events = nodes[0].events.borrow();
            let paused = events
                .iter()
                .rposition(|e| matches!(e, ControlEvent::Paused(_)));
            let synced = events
                .iter()
                .rposition(|e| matches!(e, ControlEvent::Synced));
            paused.is_some() && synced > paused && nodes[0].control.is_synced()
        };
        until("it has synced after the pause", woke).await;
    });
}
