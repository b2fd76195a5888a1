//! Memory of held flows and feeds, and the time of a round of upkeep over them.
//!
//! Run with `cargo bench -p foxtailhinge --bench flows`. Live bytes are those asked of the allocator;
//! resident ones are the kernel's count for this process, with the peak while the table grew.

#[allow(dead_code)]
#[path = "../control/meter.rs"]
mod meter;

use foxtailhinge::exchange::{
    feed::{
        Feed,
        Feeds, //
    },
    flow::{
        FlowStart,
        Flows, //
    },
    token::CallerToken,
    upstream::Upstream, //
};
use foxtailhinge_wire::coap::{
    Datagram,
    Method, //
};
use meter::{
    cpu,
    live_bytes,
    us, //
};
use std::{
    collections::HashMap,
    fs,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

const SIZES: [u32; 3] = [100_000, 250_000, 500_000];

/// Flows that one daemon owns when 2,400 share 21 million.
const SHARE: u32 = 8_750;

const ROUNDS: usize = 5;

const IDLE: Duration = Duration::from_secs(3_600);

fn resident() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kb: u64 = line
        .unwrap()
        .split_whitespace()
        .nth(1)
        .unwrap()
        .parse()
        .unwrap();
    kb * 1024
}

fn caller(i: u32) -> SocketAddr {
    (Ipv4Addr::from(0x0a00_0000 + i / 4), 1_024 + (i % 4) as u16).into()
}

fn flows(n: u32, now: Instant) -> Flows {
    let mut flows = Flows::new(1, 2, Rc::default());
    for i in 0..n {
        let flow = flows.open(now);
        let start = FlowStart {
            service: 3,
            upstream_hash: 4,
            caller: caller(i),
        };
        flows.confirm(flow, start, now);
    }
    flows
}

/// The fields that a flow needs, in the table of the standard library: a lower bound without the ledger.
fn bare(n: u32) -> HashMap<u32, (SocketAddr, Instant)> {
    let now = Instant::now();
    (0..n).map(|i| (i, (caller(i), now))).collect()
}

fn row(what: &str, n: u32, live: i64, rss: u64, round: Option<Duration>) {
    let each = |bytes: f64| bytes / f64::from(n);
    let round = round.map_or(String::from("-"), us);
    println!(
        "{what:<34} {n:>8} {:>8.0} B {:>8.0} B {round:>14}",
        each(live as f64),
        each(rss as f64)
    );
}

fn measure<T>(what: &str, n: u32, fill: impl FnOnce() -> T, round: impl Fn(&mut T)) {
    let (live, rss) = (live_bytes(), resident());
    let mut filled = fill();
    let (live, rss) = (live_bytes() - live, resident().saturating_sub(rss));
    let rounds = (0..ROUNDS).map(|_| {
        let before = cpu();
        round(&mut filled);
        cpu() - before
    });
    row(what, n, live, rss, rounds.min());
    // Room given back would be taken again by the next table and not show as resident.
    std::mem::forget(filled);
}

fn collect(flows: &mut Flows) {
    flows.expire(Instant::now(), |_| IDLE);
}

fn feeds(n: u32, now: Instant) -> Feeds {
    let mut feeds = Feeds::default();
    let addr = (Ipv4Addr::LOCALHOST, 5683).into();
    let up = upstream(addr, now);
    for i in 0..n {
        let req = Datagram::request(Method::Get, "/cues").with_token(&i.to_be_bytes());
        let mut req = req;
        req.set_observe(0);
        req.set_echo(&[7; 40]);
        let key = CallerToken::of(caller(i), &req);
        feeds.insert(up.next_token(), Feed::new(key, 3, 4, i, req, now));
    }
    feeds
}

fn upstream(addr: SocketAddr, now: Instant) -> Rc<Upstream> {
    use foxtailhinge::exchange::load::{
        Load,
        LoadSpec, //
    };
    use foxtailhinge_policy::allowance::{
        AllowanceSpec,
        Capacity, //
    };
    let full = Capacity {
        slots: 4,
        connections: 2_000,
    };
    let spec = LoadSpec {
        allowance: AllowanceSpec {
            full,
            cold_slots: 1,
            cold_connections: 100,
            ramp: Duration::from_secs(30),
        },
        queue: 4,
        draining: false,
    };
    let flows = Flows::new(1, 2, Rc::default());
    Upstream::new(addr, "windhoek-1".into(), Load::cold(spec, now), flows).unwrap()
}

fn main() {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .build()
        .unwrap();
    runtime.block_on(async { run() });
}

fn run() {
    let now = Instant::now();
    println!(
        "{:<34} {:>8} {:>10} {:>10} {:>14}",
        "table", "entries", "live", "resident", "one round"
    );
    for n in [SHARE].into_iter().chain(SIZES) {
        measure("baseline: address and time", n, || bare(n), |_| {});
        measure("flows", n, || flows(n, now), collect);
    }
    for n in [1_000, 10_000, 50_000] {
        let over = |feeds: &mut Feeds| drop(feeds.tokens_where(|feed| feed.is_expired(now)));
        measure("feeds", n, || feeds(n, now), over);
    }
}
