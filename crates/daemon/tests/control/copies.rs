//! Rate limit of copies of documents to a joining daemon.

use crate::fleet::{
    block_on,
    document,
    until,
    until_all,
    Fleet,
    Start, //
};
use foxtailhinge::{
    links::budget::ByteBudget,
    members::ControlLimits, //
};
use std::time::{
    Duration,
    Instant, //
};

const DOCUMENTS: usize = 300;

#[test]
fn a_joining_daemon_gets_all_documents_while_the_platform_is_down() {
    block_on(async {
        let fleet = Fleet::new(&["a", "a", "a"]);
        let slow = |index, peers: &[usize]| {
            let start = Start::new(index, peers.iter().copied());
            let limits = ControlLimits {
                copy_rate: 500_000,
                copy_burst: 1_000,
                ..start.limits
            };
            fleet.start(&Start { limits, ..start })
        };
        for i in 0..DOCUMENTS {
            let service = format!("service-{i}");
            fleet.platform.publish(&service, &document(&service, 1_000));
        }
        let mut nodes = vec![slow(0, &[]), slow(1, &[0])];
        let complete = |n: &crate::fleet::Node| n.control.documents().len() == DOCUMENTS;
        until_all(&nodes, "the first two are complete", complete).await;
        fleet.platform.stop();
        nodes.push(slow(2, &[0]));
        until_all(&nodes, "the joining daemon is complete", complete).await;
        let synced = || nodes[2].control.documents().synced() == DOCUMENTS as u64;
        until("it knows the platform's revision from its peers", synced).await;
        let deferred = |n: &crate::fleet::Node| n.control.counters().copies_deferred.get();
        assert!(
            nodes.iter().map(deferred).sum::<u64>() > 0,
            "peers keep to their rate"
        );
    });
}

#[test]
fn a_budget_refills_by_the_rate_of_the_time() {
    let now = Instant::now();
    let mut budget = ByteBudget::new(100, 1_000, now);
    budget.spend(1_999);
    budget.set_rate(10, now + Duration::from_secs(5));
    let wait = budget.wait(now + Duration::from_secs(5));
    assert_eq!(wait, Duration::from_secs(50), "500 bytes are missing");
    budget.set_rate(100, now + Duration::from_secs(25));
    let wait = budget.wait(now + Duration::from_secs(25));
    assert_eq!(wait, Duration::from_secs(3), "200 bytes came meanwhile");
}

#[test]
fn a_budget_can_be_overdrawn_once_and_refills() {
    let now = Instant::now();
    let mut budget = ByteBudget::new(100, 1_000, now);
    assert!(budget.wait(now).is_zero());
    budget.spend(1_500);
    let wait = budget.wait(now);
    assert!(wait >= Duration::from_secs(5) && wait < Duration::from_secs(6));
    assert!(budget.wait(now + wait).is_zero());
    let later = now + Duration::from_secs(3_600);
    assert!(budget.wait(later).is_zero());
    budget.spend(1_000);
    assert!(
        !budget.wait(later).is_zero(),
        "no more than the burst is saved up"
    );
}
