//! Members join, leave, die and rejoin.

use crate::fleet::{
    block_on,
    until,
    until_all,
    vm,
    Fleet,
    Start, //
};
use foxtailhinge_policy::members::{
    ChangeKind,
    MemberState, //
};

#[test]
fn all_daemons_find_each_other_from_one_peer() {
    block_on(async {
        let fleet = Fleet::new(&["a", "a", "a", "b", "b"]);
        let nodes: Vec<_> = (0..5)
            .map(|i| fleet.start(&Start::new(i, (i != 0).then_some(0))))
            .collect();
        until_all(&nodes, "all are live", |n| n.live() == 5).await;
        until_all(&nodes, "all have synced", |n| n.control.is_synced()).await;
    });
}

#[test]
fn a_killed_daemon_is_suspected_and_then_removed() {
    block_on(async {
        let fleet = Fleet::new(&["a", "a", "a", "b"]);
        let mut nodes = fleet.start_all();
        until_all(&nodes, "all are live", |n| n.live() == 4).await;
        let mut killed = nodes.remove(1);
        killed.kill().await;
        let gone = |n: &crate::fleet::Node| n.state_of("vm-1") == Some(MemberState::Dead);
        until_all(&nodes, "the killed daemon is gone", gone).await;
        assert!(nodes.iter().all(|n| n.live() == 3));
        for node in &nodes {
            let kinds = node.changes_of("vm-1");
            let died = kinds.iter().position(|k| *k == ChangeKind::Died);
            let suspected = kinds.iter().position(|k| *k == ChangeKind::Suspected);
            assert!(suspected < died, "{kinds:?}");
        }
    });
}

#[test]
fn a_leaving_daemon_owns_no_upstreams() {
    block_on(async {
        let fleet = Fleet::new(&["a", "a", "b"]);
        let nodes = fleet.start_all();
        until_all(&nodes, "all are live", |n| n.live() == 3).await;
        nodes[1].control.leave();
        let left = |n: &crate::fleet::Node| n.state_of("vm-1") == Some(MemberState::Leaving);
        until_all(&nodes, "it is known to leave", left).await;
        for node in &nodes {
            let members = node.control.members();
            assert!(members.live_in_zone("a").all(|m| m.vm != vm(1)));
        }
    });
}

#[test]
fn a_restarted_daemon_replaces_its_earlier_incarnation() {
    block_on(async {
        let fleet = Fleet::new(&["a", "a", "b"]);
        let mut nodes = fleet.start_all();
        until_all(&nodes, "all are live", |n| n.live() == 3).await;
        nodes.remove(1).kill().await;
        // A lower incarnation than before: incarnations must not be ordered by their number.
        let start = Start {
            incarnation: 5,
            ..Start::new(1, [0])
        };
        nodes.push(fleet.start(&start));
        let known = |n: &crate::fleet::Node| {
            let members = n.control.members();
            let member = members.get("vm-1");
            member.is_some_and(|m| m.incarnation == 5 && m.state == MemberState::Alive)
        };
        until_all(&nodes, "the new incarnation is live", known).await;
    });
}

#[test]
fn zones_find_each_other_again_after_a_partition() {
    block_on(async {
        let fleet = Fleet::new(&["a", "a", "b", "b"]);
        let nodes = fleet.start_all();
        until_all(&nodes, "all are live", |n| n.live() == 4).await;
        for (i, node) in nodes.iter().enumerate() {
            let other = if i < 2 { [2, 3] } else { [0, 1] };
            node.control.set_deny(other.map(vm));
        }
        until_all(&nodes, "each side is alone", |n| n.live() == 2).await;
        for node in &nodes {
            node.control.set_deny([]);
        }
        until_all(&nodes, "all are live again", |n| n.live() == 4).await;
    });
}

#[test]
fn a_daemon_with_another_key_stays_outside() {
    block_on(async {
        let fleet = Fleet::new(&["a", "a"]);
        let inside = fleet.start(&Start::new(0, []));
        let start = Start {
            fleet: "another",
            ..Start::new(1, [0])
        };
        let _outside = fleet.start(&start);
        until("its links are refused", || {
            inside.control.counters().links_refused.get() >= 3
        })
        .await;
        assert_eq!(inside.live(), 1);
        assert_eq!(inside.state_of("vm-1"), None);
    });
}
