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

/// Shortest back-off after a failed call.
const BACKOFF_MIN: Duration = Duration::from_millis(100);

/// What is followed.
pub trait Source {
    /// Revision from which to watch; nothing before the first list and when its history is lost.
    fn position(&self) -> Option<u64>;

    /// Lists everything and takes it over.
    fn list(&self) -> impl Future<Output = Result<(), StoreError>>;

    /// Waits for changes after a revision and takes them over.
    fn watch(&self, after: u64) -> impl Future<Output = Result<(), StoreError>>;

    /// Notes a call that failed, and returns the longest pause before the next one.
    fn fail(&self, err: &StoreError) -> Duration;

    /// Shortest time between the starts of two watches.
    fn period(&self) -> Duration;
}

/// Follows a source without end.
pub async fn follow<S: Source>(source: &S) {
    let mut backoff = BACKOFF_MIN;
    loop {
        let began = Instant::now();
        let called = match source.position() {
            Some(after) => source.watch(after).await,
            None => source.list().await,
        };
        match called {
            Ok(()) => {
                backoff = BACKOFF_MIN;
                let rest = source.period().saturating_sub(began.elapsed());
                if source.position().is_some() && !rest.is_zero() {
                    monoio::time::sleep(rest).await;
                }
            }
            Err(err) => {
                let max = source.fail(&err);
                let pause = backoff.min(max).mul_f64(rand::rng().random_range(0.5..1.5));
                backoff = (backoff * 2).min(max);
                monoio::time::sleep(pause).await;
            }
        }
    }
}
