//! A store that is available again after an outage: each step until a change is in force takes as long as it may.

use foxtailhinge::{
    packets::{
        metrics::PacketMetrics,
        view::View, //
    },
    store,
};
use foxtailhinge_config::packet_settings::PacketLimits;
use foxtailhinge_standins::packets::store::Store;
use futures::future::{
    select,
    Either, //
};
use monoio::{
    LegacyDriver,
    RuntimeBuilder, //
};
use rstest::rstest;
use serde_json::json;
use std::{
    net::{
        SocketAddr,
        TcpListener, //
    },
    pin::pin,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Longest time until an answer of a store that is available.
const ANSWER: Duration = Duration::from_millis(250);

/// Time limit for what happens before the store is available again.
const SETUP_MAX: Duration = Duration::from_secs(60);

fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn configure(store: &Store, version: u64) {
    let cfg = json!({
        "version": version,
        "routes": [],
        "services": [],
        "limits": {"idle_timeout_ms": 15_000},
    });
    store.put("op/config", &cfg);
}

fn version(view: &View) -> u64 {
    view.directory()
        .configuration()
        .map_or(0, |cfg| cfg.version)
}

async fn wait_until(what: &str, is_done: impl Fn() -> bool) {
    let began = Instant::now();
    while !is_done() {
        assert!(began.elapsed() < SETUP_MAX, "timed out: {what}");
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Returns the time from the return of the store, right after it took the `calls`-th call of an outage, until a change is
/// in force.
async fn change_after_outage(
    store: &Store,
    view: &View,
    calls: u64,
    history_is_lost: bool,
) -> Duration {
    configure(store, 1);
    wait_until("the first configuration", || version(view) == 1).await;
    store.set_delay(ANSWER);
    store.fall_silent_for(calls);
    // The watch that waits notices the fault before the change.
    monoio::time::sleep(Duration::from_millis(100)).await;
    configure(store, 2);
    if history_is_lost {
        store.compact_history();
    }
    wait_until("the store is back", || store.returned_at().is_some()).await;
    wait_until("the change is in force", || version(view) == 2).await;
    store.returned_at().unwrap().elapsed()
}

/// CONFIG on scps-signnet: a call that was lost at the end of an outage was given up after its whole wait, then came a
/// back-off, and with a lost history two more connections, another back-off and the wait for a reader's list.
#[rstest]
fn a_change_is_in_force_in_time_after_an_outage(
    #[values(2_000, 4_000, 5_000)] notice_ms: u64,
    #[values(false, true)] history_is_lost: bool,
    #[values(false, true)] has_reader: bool,
) {
    let addr = free_addr();
    let store = Store::start(vec![addr]).unwrap();
    let limits = PacketLimits {
        notice: Duration::from_millis(notice_ms),
        ..PacketLimits::default()
    };
    let notice = limits.notice;
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .unwrap();
    let took = runtime.block_on(async {
        let view = View::new(addr, limits, Rc::new(PacketMetrics::new()));
        view.set_has_reader(has_reader);
        let follow = pin!(store::follow(&view));
        let measure = pin!(change_after_outage(&store, &view, 5, history_is_lost));
        match select(follow, measure).await {
            Either::Left(((), _)) => unreachable!("a store is followed without end"),
            Either::Right((took, _)) => took,
        }
    });
    store.end();
    assert!(took < notice, "{took:?}");
}
