//! A few daemons of each zone read from the platform; others replace the readers that fail.

use crate::fleet::{
    block_on,
    document,
    limits,
    until,
    until_all,
    Fleet,
    Node,
    Start, //
};
use foxtailhinge::{
    members::ControlLimits,
    platform::Reader, //
};
use std::time::Duration;

const SERVICE: &str = "layoutstore";

fn start(fleet: &Fleet, daemons: usize, limits: ControlLimits) -> Vec<Node> {
    let start = |i| Start {
        limits,
        ..Start::new(i, (0..daemons).filter(|p| *p != i))
    };
    (0..daemons).map(|i| fleet.start(&start(i))).collect()
}

fn is_reader(node: &Node) -> bool {
    Reader::new(node.control.clone()).is_reader()
}

fn calls(node: &Node) -> u64 {
    node.control.counters().platform_calls.get()
}

#[test]
fn three_daemons_of_a_zone_read_the_platform() {
    block_on(async {
        let fleet = Fleet::new(&["a"; 8]);
        let limits = ControlLimits {
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(400),
            watch_timeout: Duration::from_millis(100),
            platform_stale_after: Duration::from_secs(60),
            ..limits()
        };
        let nodes = start(&fleet, 8, limits);
        until_all(&nodes, "all are live", |n| n.live() == 8).await;
        let confirmed = |n: &Node| n.control.confirmed().is_some();
        until_all(&nodes, "all have a confirmation by the platform", confirmed).await;
        let (readers, others): (Vec<_>, Vec<_>) = nodes.iter().partition(|n| is_reader(n));
        assert_eq!(readers.len(), 3);
        // Calls of other daemons that began before the members were known end within one or two watches.
        let enough = |since: &[u64]| {
            let pairs = readers.iter().zip(since);
            pairs.fold(true, |all, (n, before)| all && calls(n) >= before + 8)
        };
        let count = |nodes: &[&Node]| nodes.iter().map(|n| calls(n)).collect::<Vec<_>>();
        let since = count(&readers);
        until("readers read", || enough(&since)).await;
        let (since, others_before) = (count(&readers), count(&others));
        until("readers read on", || enough(&since)).await;
        assert_eq!(count(&others), others_before);
    });
}

#[test]
fn others_read_when_their_reader_cannot_reach_the_platform() {
    block_on(async {
        let fleet = Fleet::new(&["a"; 4]);
        let limits = ControlLimits {
            readers: 1,
            platform_stale_after: Duration::from_millis(300),
            ..limits()
        };
        let nodes = start(&fleet, 4, limits);
        until_all(&nodes, "all are live", |n| n.live() == 4).await;
        let reader = nodes.iter().find(|n| is_reader(n)).unwrap();
        reader.control.set_deny(["platform".into()]);
        let revision = fleet.platform.publish(SERVICE, &document(SERVICE, 1_000));
        until_all(&nodes, "the document is in force", |n| {
            n.revision(SERVICE) == revision
        })
        .await;
    });
}

#[test]
fn readers_recover_after_the_platform_was_down() {
    block_on(async {
        let fleet = Fleet::new(&["a", "a"]);
        let nodes = fleet.start_all();
        fleet.platform.publish(SERVICE, &document(SERVICE, 1_000));
        until_all(&nodes, "the document is in force", |n| {
            n.revision(SERVICE) == 1
        })
        .await;
        fleet.platform.stop();
        let failed = |n: &Node| n.control.counters().platform_failures.get() > 0;
        until("calls fail", || nodes.iter().any(failed)).await;
        fleet.platform.publish(SERVICE, &document(SERVICE, 2_000));
        fleet.platform.resume();
        until_all(&nodes, "the change is in force", |n| {
            n.revision(SERVICE) == 2
        })
        .await;
    });
}
