//! Time for a change to spread over a fleet, and for a dead daemon to be removed everywhere.

use crate::{
    documents::{
        fill,
        record, //
    },
    fleet::{
        block_on,
        until,
        until_all,
        Fleet,
        Node,
        Start, //
    },
    meter::{
        print,
        us, //
    },
};
use foxtailhinge::members::{
    ControlLimits,
    Source, //
};
use foxtailhinge_policy::members::{
    MemberState,
    MembersSpec, //
};
use std::time::{
    Duration,
    Instant, //
};

const ZONES: [&str; 4] = ["windhoek-1", "windhoek-2", "windhoek-3", "windhoek-4"];

const CHANGES: u32 = 10;

/// Number of daemons that have all documents when another one joins.
const SERVING_PEERS: usize = 30;

const DOCUMENTS: usize = 7_300;

pub(crate) fn run() {
    block_on(measure_join());
    for n in [8, 24, 72] {
        block_on(measure(n, ControlLimits::default()));
    }
}

/// Measures a join that copies all documents from rate-limited peers while the platform cannot be reached.
async fn measure_join() {
    let fleet = Fleet::new(&["windhoek-1"; SERVING_PEERS + 1]);
    let all = 0..SERVING_PEERS;
    let start = |i: usize| Start {
        limits: ControlLimits::default(),
        members: MembersSpec::default(),
        ..Start::new(i, all.clone().filter(|p| *p != i))
    };
    let nodes: Vec<_> = all.clone().map(|i| fleet.start(&start(i))).collect();
    for node in &nodes {
        fill(&node.control, DOCUMENTS);
    }
    until_all(&nodes, "all are live", |n| n.live() == nodes.len()).await;
    until_all(&nodes, "all have synced", |n| n.control.is_synced()).await;
    let began = Instant::now();
    let joining = fleet.start(&Start {
        peers: vec![0, 1, 2],
        ..start(SERVING_PEERS)
    });
    joining.control.set_deny(["platform".into()]);
    let complete = || joining.control.documents().len() == DOCUMENTS;
    until("the joining daemon is complete", complete).await;
    print(
        "spread: join from 30 peers at their rate",
        DOCUMENTS,
        us(began.elapsed()),
    );
}

async fn measure(n: usize, limits: ControlLimits) {
    let zones: Vec<_> = (0..n).map(|i| ZONES[i % ZONES.len()]).collect();
    let fleet = Fleet::new(&zones);
    let start = |i: usize| Start {
        limits,
        members: MembersSpec::default(),
        ..Start::new(i, (0..8.min(n)).filter(|p| *p != i))
    };
    let mut nodes: Vec<_> = (0..n).map(|i| fleet.start(&start(i))).collect();
    until_all(&nodes, "all are live", |n| n.live() == nodes.len()).await;
    until_all(&nodes, "all have synced", |n| n.control.is_synced()).await;
    spread(n, &nodes).await;
    remove(n, &mut nodes).await;
}

async fn spread(n: usize, nodes: &[Node]) {
    let service = record(1, 1).service;
    let mut longest = Duration::ZERO;
    for revision in 1..=u64::from(CHANGES) {
        let began = Instant::now();
        nodes[0]
            .control
            .apply_document(record(1, revision), &Source::Platform);
        until_all(nodes, "the change is in force", |n| {
            n.revision(&service) == revision
        })
        .await;
        longest = longest.max(began.elapsed());
    }
    print(
        "spread: a change from one daemon, longest of ten",
        n,
        us(longest),
    );
}

async fn remove(n: usize, nodes: &mut Vec<Node>) {
    let Some(mut killed) = nodes.pop() else {
        return;
    };
    let vm = killed.control.settings().vm.clone();
    let began = Instant::now();
    killed.kill().await;
    let gone = |n: &Node| n.state_of(&vm) == Some(MemberState::Dead);
    until("one has removed it", || nodes.iter().any(gone)).await;
    let first = began.elapsed();
    until_all(nodes, "all have removed it", gone).await;
    print("spread: a killed daemon removed by the first", n, us(first));
    print(
        "spread: a killed daemon removed by all",
        n,
        us(began.elapsed()),
    );
}
