//! Retry delays of refused callers: whole seconds, spread over time.

mod support;

use foxtailhinge_policy::retry_after::{
    RetryAfter,
    MAX_RETRY_AFTER_S, //
};
use rand::{
    rngs::SmallRng,
    SeedableRng, //
};
use std::time::{
    Duration,
    Instant, //
};
use support::check;

#[test]
fn whole_seconds_within_bounds() {
    fn whole_seconds_within_bounds(overload: f64, admitted: u8, seed: u64) -> bool {
        let now = Instant::now();
        let mut schedule = RetryAfter::new();
        for _ in 0..admitted {
            schedule.on_admitted(now);
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        let delay = schedule.delay(now, overload, &mut rng);
        delay.subsec_nanos() == 0 && (1..=MAX_RETRY_AFTER_S).contains(&delay.as_secs())
    }
    check(whole_seconds_within_bounds as fn(f64, u8, u64) -> bool);
}

/// Admits 100 flows a second for 10 s, then refuses `refused` at once; returns the number of retries
/// in each following second.
fn retries_per_second(refused: u32) -> Vec<u32> {
    let origin = Instant::now();
    let mut schedule = RetryAfter::new();
    let mut rng = SmallRng::seed_from_u64(3);
    for i in 0..1_000 {
        schedule.on_admitted(origin + Duration::from_millis(10 * i));
    }
    let now = origin + Duration::from_secs(10);
    let mut seconds = vec![0; MAX_RETRY_AFTER_S as usize + 1];
    for _ in 0..refused {
        seconds[schedule.delay(now, 0.0, &mut rng).as_secs() as usize] += 1;
    }
    seconds
}

#[test]
fn a_single_refused_caller_retries_soon() {
    assert_eq!(retries_per_second(1)[1], 1);
}

/// The retries in any second are at most a fifth of the 100 flows admitted a second.
#[test]
fn retries_of_a_surge_are_spread() {
    let seconds = retries_per_second(500);
    assert!(seconds.iter().all(|count| *count <= 20), "{seconds:?}");
}

#[test]
fn all_refused_means_the_longest_window() {
    let now = Instant::now();
    let mut schedule = RetryAfter::new();
    let mut rng = SmallRng::seed_from_u64(3);
    let longest = (0..200).map(|_| schedule.delay(now, 1.0, &mut rng)).max();
    assert!(longest > Some(Duration::from_secs(MAX_RETRY_AFTER_S / 2)));
}
