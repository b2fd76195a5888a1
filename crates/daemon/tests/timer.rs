//! The timer service.

use foxtailhinge::timer::{
    Timer,
    RESOLUTION, //
};
use futures::{
    future::{
        join_all,
        pending,
        ready, //
    },
    FutureExt, //
};
use monoio::{
    LegacyDriver,
    RuntimeBuilder, //
};
use std::{
    future::Future,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

const PERIOD: Duration = Duration::from_millis(20);

fn block_on<T>(work: impl Future<Output = T>) -> T {
    let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
    builder.build().unwrap().block_on(work)
}

#[test]
fn every_subscriber_ticks_when_due() {
    block_on(async {
        let timer = Timer::start();
        let ticks = (1..=50).map(|i| {
            let mut subscription = timer.subscribe(PERIOD + Duration::from_micros(100) * i);
            async move { [subscription.tick().await, subscription.tick().await] }
        });
        for [first, second] in join_all(ticks).await {
            assert!(first.now >= first.due && second.now >= second.due);
            assert!(second.due >= first.due + PERIOD);
            assert_eq!(first.late, first.now - first.due);
        }
        assert_eq!(timer.waiting(), 0);
    });
}

#[test]
fn a_short_sleep_is_not_delayed_by_a_longer_one() {
    block_on(async {
        let timer = Timer::start();
        let mut far = Box::pin(timer.sleep(PERIOD * 100_000));
        assert!(far.as_mut().now_or_never().is_none());
        monoio::time::sleep(RESOLUTION).await;
        timer.sleep(PERIOD).await;
        assert!(far.as_mut().now_or_never().is_none());
    });
}

#[test]
fn nearby_due_times_share_a_wake_up() {
    block_on(async {
        let timer = Timer::start();
        let due = Instant::now() + PERIOD;
        let sleeps = (0..1000).map(|i| timer.sleep_until(due + RESOLUTION / 1000 * i));
        join_all(sleeps).await;
        assert!(timer.wakeups() <= 2, "{} wake-ups", timer.wakeups());
    });
}

#[test]
fn a_dropped_wait_leaves_nothing_behind() {
    block_on(async {
        let timer = Timer::start();
        let mut subscription = timer.subscribe(PERIOD);
        assert!(subscription.tick().now_or_never().is_none());
        let mut sleep = Box::pin(timer.sleep(PERIOD));
        assert!(sleep.as_mut().now_or_never().is_none());
        assert_eq!(timer.waiting(), 1);
        drop(sleep);
        assert_eq!(timer.waiting(), 0);
        subscription.tick().await;
    });
}

/// After a pause of the process there is one late tick, and the next tick is due one period later.
#[test]
fn a_pause_is_not_followed_by_a_burst() {
    block_on(async {
        let timer = Timer::start();
        let mut subscription = timer.subscribe(PERIOD);
        subscription.tick().await;
        thread::sleep(PERIOD * 5);
        let late = subscription.tick().await;
        assert!(late.late >= PERIOD * 4);
        let next = subscription.tick().await;
        assert!(next.due >= late.now + PERIOD);
    });
}

#[test]
fn jitter_stays_within_its_spread() {
    block_on(async {
        let timer = Timer::start();
        let mut subscription = timer.subscribe_jittered(PERIOD, PERIOD / 2);
        let mut last = subscription.tick().await;
        for _ in 0..5 {
            let tick = subscription.tick().await;
            let distance = tick.due - last.due;
            assert!(distance >= PERIOD * 3 / 4);
            assert!(distance <= PERIOD * 5 / 4 || tick.due >= last.now);
            last = tick;
        }
    });
}

#[test]
fn a_past_due_time_is_due_at_once() {
    block_on(async {
        let timer = Timer::start();
        let due = Instant::now() - PERIOD;
        let tick = timer.sleep_until(due).now_or_never().unwrap();
        assert!(tick.late >= PERIOD);
    });
}

#[test]
fn work_times_out_at_its_due_time() {
    block_on(async {
        let timer = Timer::start();
        let due = Instant::now() + PERIOD;
        assert_eq!(timer.timeout_at(due, ready(7)).await, Some(7));
        assert_eq!(timer.waiting(), 0);
        assert_eq!(timer.timeout_at(due, pending::<u32>()).await, None);
        assert!(Instant::now() >= due);
        assert_eq!(timer.waiting(), 0);
    });
}
