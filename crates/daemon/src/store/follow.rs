//! The loop that lists the contents of a store and then watches for changes.

use super::client::StoreError;
use rand::Rng;
use std::{
    future::Future,
    mem,
    time::{
        Duration,
        Instant, //
    },
};

/// Result of a call that succeeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Changes arrived, or the wait for them ended without any.
    Moved,
    /// No changes, although the call did not wait; the next call backs off.
    Idle,
}

impl Progress {
    /// Result of a call that started at `began` and may have waited for `wait`. An answer without changes is
    /// treated as the end of the wait only if it took at least half of that wait.
    pub fn of(has_changes: bool, began: Instant, wait: Duration) -> Self {
        match has_changes || began.elapsed() >= wait / 2 {
            true => Self::Moved,
            false => Self::Idle,
        }
    }
}

/// Bounds of the back-off between calls.
#[derive(Clone, Copy, Debug)]
pub struct BackoffLimits {
    /// Back-off after the first failed call; it doubles with each further one.
    pub backoff_min: Duration,
    /// Longest back-off, without the jitter.
    pub backoff_max: Duration,
    /// Longest time from the start of a failed call to the start of the next one, unless the call takes longer.
    pub interval_max: Duration,
}

/// A store whose contents are listed once and then kept up to date by watches.
pub trait Source {
    /// Revision after which to watch; `None` before the first list and when the store has lost the history after it.
    fn position(&self) -> Option<u64>;

    /// Waits until this daemon may call the store.
    fn wait_turn(&self) -> impl Future<Output = ()>;

    /// Lists all entries and applies them.
    fn list(&self) -> impl Future<Output = Result<Progress, StoreError>>;

    /// Waits for changes after a revision and applies them.
    fn watch(&self, after: u64) -> impl Future<Output = Result<Progress, StoreError>>;

    /// Waits until the next watch is due, after one that succeeded.
    fn wait_until_due(&self) -> impl Future<Output = ()>;

    /// Records a failed call.
    fn record_failure(&self, err: &StoreError);

    /// Bounds of the back-off after failed or idle calls.
    fn backoff_limits(&self) -> BackoffLimits;
}

/// Lists and watches a source, and never returns.
pub async fn follow<S: Source>(source: &S) {
    let mut backoff = Backoff::new(source.backoff_limits());
    let mut can_list_at_once = true;
    loop {
        source.wait_turn().await;
        let began = Instant::now();
        let after = source.position();
        let called = match after {
            Some(after) => source.watch(after).await,
            None => source.list().await,
        };
        match called {
            Ok(Progress::Moved) => {
                backoff = Backoff::new(source.backoff_limits());
                if after.is_some() {
                    can_list_at_once = true;
                    source.wait_until_due().await;
                }
                continue;
            }
            Ok(Progress::Idle) => (),
            Err(err) => {
                source.record_failure(&err);
                // The store is available but has lost its history, so the list need not be delayed, unless that was so
                // after the last list too.
                let is_list_due = after.is_some() && source.position().is_none();
                if is_list_due && mem::take(&mut can_list_at_once) {
                    continue;
                }
            }
        }
        let interval_max = source.backoff_limits().interval_max;
        let pause = interval_max.saturating_sub(began.elapsed());
        monoio::time::sleep(backoff.next().min(pause)).await;
    }
}

/// Exponential back-off with random jitter.
#[derive(Debug)]
struct Backoff {
    next: Duration,
    max: Duration,
}

impl Backoff {
    fn new(bounds: BackoffLimits) -> Self {
        Self {
            next: bounds.backoff_min,
            max: bounds.backoff_max,
        }
    }

    fn next(&mut self) -> Duration {
        let pause = self.next.mul_f64(rand::rng().random_range(0.5..1.5));
        self.next = (self.next * 2).min(self.max);
        pause
    }
}
