//! The loop that lists what a store holds and then follows its changes.

use super::client::StoreError;
use rand::Rng;
use std::{
    future::Future,
    time::{
        Duration,
        Instant, //
    },
};

/// What a call brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// News, or the end of a wait for them.
    Moved,
    /// Nothing, although the call did not wait; the next one backs off.
    Idle,
}

impl Progress {
    /// What a call brought that began at `began` and may have waited for `wait`: an answer without news counts as the
    /// end of a wait only when it did not come at once.
    pub fn of(news: bool, began: Instant, wait: Duration) -> Self {
        match news || began.elapsed() >= wait / 2 {
            true => Self::Moved,
            false => Self::Idle,
        }
    }
}

/// BackoffLimits of the loop.
#[derive(Clone, Copy, Debug)]
pub struct BackoffLimits {
    /// Shortest back-off after a failed call; it doubles with each further one.
    pub backoff_min: Duration,
    /// Longest back-off.
    pub backoff_max: Duration,
}

/// What is followed.
pub trait Source {
    /// Revision from which to watch; nothing before the first list and when its history is lost.
    fn position(&self) -> Option<u64>;

    /// Waits until it is this daemon's turn to call.
    fn wait_turn(&self) -> impl Future<Output = ()>;

    /// Lists everything and takes it over.
    fn list(&self) -> impl Future<Output = Result<Progress, StoreError>>;

    /// Waits for changes after a revision and takes them over.
    fn watch(&self, after: u64) -> impl Future<Output = Result<Progress, StoreError>>;

    /// Waits after a watch that brought news, or waited for them, until the next one is due.
    fn wait_until_due(&self) -> impl Future<Output = ()>;

    /// Notes a call that failed.
    fn record_failure(&self, err: &StoreError);

    /// BackoffLimits between calls.
    fn backoff_limits(&self) -> BackoffLimits;
}

/// Follows a source without end.
pub async fn follow<S: Source>(source: &S) {
    let mut backoff = Backoff::new(source.backoff_limits());
    loop {
        source.wait_turn().await;
        let after = source.position();
        let called = match after {
            Some(after) => source.watch(after).await,
            None => source.list().await,
        };
        match called {
            Ok(Progress::Moved) => {
                backoff = Backoff::new(source.backoff_limits());
                if after.is_some() {
                    source.wait_until_due().await;
                }
            }
            Ok(Progress::Idle) => monoio::time::sleep(backoff.next()).await,
            Err(err) => {
                source.record_failure(&err);
                monoio::time::sleep(backoff.next()).await;
            }
        }
    }
}

/// Back-off that doubles up to a bound and is spread at random.
#[derive(Debug)]
struct Backoff {
    next: Duration,
    max: Duration,
}

impl Backoff {
    fn new(pauses: BackoffLimits) -> Self {
        Self {
            next: pauses.backoff_min,
            max: pauses.backoff_max,
        }
    }

    fn next(&mut self) -> Duration {
        let pause = self.next.mul_f64(rand::rng().random_range(0.5..1.5));
        self.next = (self.next * 2).min(self.max);
        pause
    }
}
