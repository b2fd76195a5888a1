//! Bytes and time of exchanges, pushes and joins between two daemons over loopback.

use crate::{
    documents::{
        fill,
        record, //
    },
    fleet::{
        block_on,
        limits,
        until,
        Fleet,
        Node,
        Start, //
    },
    members::member,
    meter::{
        cpu,
        live_bytes,
        print,
        us, //
    },
};
use foxtailhinge::{
    links::{
        budget::ByteBudget,
        compare::exchange, //
    },
    members::{
        record::to_wire,
        ControlLimits,
        Source, //
    },
};
use std::time::{
    Duration,
    Instant, //
};

const EXCHANGES: u32 = 200;

const CHANGES: u32 = 100;

/// Limits without periodic work and without a rate limit of copies.
fn idle_limits() -> ControlLimits {
    let never = Duration::from_secs(3_600);
    ControlLimits {
        probe_interval: never,
        probe_timeout: never / 2,
        exchange_interval: never,
        copy_rate: 1 << 40,
        copy_burst: 1 << 40,
        ..limits()
    }
}

fn start(fleet: &Fleet, index: usize, peers: &[usize]) -> Node {
    let start = Start::new(index, peers.iter().copied());
    let node = fleet.start(&Start {
        limits: idle_limits(),
        ..start
    });
    node.control.set_deny(["platform".into()]);
    node
}

fn bytes(node: &Node) -> u64 {
    let counters = node.control.counters();
    counters.link_bytes_sent.get() + counters.link_bytes_received.get()
}

pub(crate) fn run() {
    for n in [100, 1_000, 7_300] {
        block_on(measure(n));
        block_on(measure_push(n));
    }
}

async fn measure(n: usize) {
    let fleet = Fleet::new(&["windhoek-1", "windhoek-1"]);
    let full = start(&fleet, 0, &[]);
    fill(&full.control, n);
    let members = n.min(2_400);
    let records = (1..members).map(|i| to_wire(&member(i, 1)));
    full.control.merge_peer_view(records.collect());
    until("it is in service", || full.control.is_synced()).await;
    let joining = join(n, &fleet).await;
    compare(n, &full, &joining).await;
    compare_on_new_links(n, &full, &joining).await;
}

async fn measure_push(n: usize) {
    let fleet = Fleet::new(&["windhoek-1", "windhoek-1"]);
    let full = start(&fleet, 0, &[]);
    fill(&full.control, n);
    let joining = start(&fleet, 1, &[0]);
    until("both are complete", || {
        joining.control.documents().len() == n
    })
    .await;
    until("both are known", || full.live() == 2).await;
    until("both have synced", || full.control.is_synced()).await;
    push(n, &full, &joining).await;
}

async fn join(n: usize, fleet: &Fleet) -> Node {
    let before = (cpu(), live_bytes());
    let began = Instant::now();
    let joining = start(fleet, 1, &[0]);
    let complete = || joining.control.documents().len() == n && joining.control.is_synced();
    until("the joining daemon is complete", complete).await;
    let took = began.elapsed();
    print(
        "links: join: bytes in bodies",
        n,
        format!("{} B", bytes(&joining)),
    );
    print("links: join: time of both ends", n, us(cpu() - before.0));
    print("links: join: until complete, without a rate", n, us(took));
    let memory = live_bytes() - before.1;
    print(
        "links: join: memory of the joining daemon",
        n,
        format!("{memory} B"),
    );
    joining
}

async fn compare(n: usize, full: &Node, joining: &Node) {
    let peer = full.control.members().me().clone();
    let limits = joining.control.settings().limits;
    let mut budget = ByteBudget::new(limits.copy_rate, limits.copy_burst, Instant::now());
    let before = (bytes(joining), cpu());
    for _ in 0..EXCHANGES {
        exchange(&joining.control, &peer, &mut budget)
            .await
            .unwrap();
    }
    let used = (bytes(joining) - before.0) / u64::from(EXCHANGES);
    print(
        "links: exchange in sync: bytes in bodies",
        n,
        format!("{used} B"),
    );
    let time = (cpu() - before.1) / EXCHANGES;
    print("links: exchange in sync: time of both ends", n, us(time));
}

/// Measures exchanges that each open a new link, as most exchanges do in a zone of many daemons.
async fn compare_on_new_links(n: usize, full: &Node, joining: &Node) {
    let peer = full.control.members().me().clone();
    let limits = joining.control.settings().limits;
    let mut budget = ByteBudget::new(limits.copy_rate, limits.copy_burst, Instant::now());
    let before = (bytes(joining), cpu());
    for _ in 0..EXCHANGES {
        joining.control.links().close_all();
        exchange(&joining.control, &peer, &mut budget)
            .await
            .unwrap();
    }
    let used = (bytes(joining) - before.0) / u64::from(EXCHANGES);
    print(
        "links: exchange on a new link: bytes in bodies",
        n,
        format!("{used} B"),
    );
    let time = (cpu() - before.1) / EXCHANGES;
    print(
        "links: exchange on a new link: time of both ends",
        n,
        us(time),
    );
}

async fn push(n: usize, full: &Node, joining: &Node) {
    let before = (bytes(full), cpu());
    let mut revision = n as u64;
    for _ in 0..CHANGES {
        revision += 1;
        full.control
            .apply_document(record(1, revision), &Source::Platform);
        let service = record(1, 1).service;
        until("the change has arrived", || {
            joining.revision(&service) == revision
        })
        .await;
    }
    let used = (bytes(full) - before.0) / u64::from(CHANGES);
    print(
        "links: a change pushed: bytes in bodies",
        n,
        format!("{used} B"),
    );
    let time = (cpu() - before.1) / CHANGES;
    print("links: a change pushed: time of both ends", n, us(time));
}
