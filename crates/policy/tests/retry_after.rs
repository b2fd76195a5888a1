//! Refused callers come back in whole seconds, spread out.

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
        let mut comeback = RetryAfter::new();
        for _ in 0..admitted {
            comeback.on_admitted(now);
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        let after = comeback.delay(now, overload, &mut rng);
        after.subsec_nanos() == 0 && (1..=MAX_RETRY_AFTER_S).contains(&after.as_secs())
    }
    check(whole_seconds_within_bounds as fn(f64, u8, u64) -> bool);
}

/// 100 admitted a second for 10 s, then a number refused at once; when they come back.
fn returns(refused: u32) -> Vec<u32> {
    let origin = Instant::now();
    let mut comeback = RetryAfter::new();
    let mut rng = SmallRng::seed_from_u64(3);
    for i in 0..1_000 {
        comeback.on_admitted(origin + Duration::from_millis(10 * i));
    }
    let now = origin + Duration::from_secs(10);
    let mut seconds = vec![0; MAX_RETRY_AFTER_S as usize + 1];
    for _ in 0..refused {
        seconds[comeback.delay(now, 0.0, &mut rng).as_secs() as usize] += 1;
    }
    seconds
}

#[test]
fn a_single_refusal_comes_back_soon() {
    assert_eq!(returns(1)[1], 1);
}

/// Callers returning in any second are at most a fifth of the 100 admitted a second.
#[test]
fn a_surge_comes_back_spread() {
    let seconds = returns(500);
    assert!(seconds.iter().all(|count| *count <= 20), "{seconds:?}");
}

#[test]
fn all_refused_means_the_longest_window() {
    let now = Instant::now();
    let mut comeback = RetryAfter::new();
    let mut rng = SmallRng::seed_from_u64(3);
    let longest = (0..200).map(|_| comeback.delay(now, 1.0, &mut rng)).max();
    assert!(longest > Some(Duration::from_secs(MAX_RETRY_AFTER_S / 2)));
}
