//! Retry budget: retries stay within their share of the requests.

mod support;

use foxtailhinge_policy::budget::RetryBudget;
use std::time::{
    Duration,
    Instant, //
};
use support::check;

#[test]
fn retries_stay_within_the_share() {
    fn retries_stay_within_the_share(percent: u8, min_per_s: u8, steps: Vec<(bool, u16)>) -> bool {
        let (percent, min_per_s) = (u32::from(percent % 101), u32::from(min_per_s % 20));
        let origin = Instant::now();
        let mut now = origin;
        let mut budget = RetryBudget::new(percent, min_per_s);
        let (mut requests, mut retries) = (0_u32, 0_u32);
        steps.iter().all(|(retry, ms)| {
            now += Duration::from_millis(u64::from(ms % 50));
            if *retry {
                retries += u32::from(budget.try_retry(now));
            } else {
                budget.on_request(now);
                requests += 1;
            }
            let seconds = (now - origin).as_secs_f64() + 1.0;
            let earned = f64::from(requests * percent) / 100.0 + f64::from(min_per_s) * seconds;
            f64::from(retries) <= earned + 1e-6
        })
    }
    check(retries_stay_within_the_share as fn(u8, u8, Vec<(bool, u16)>) -> bool);
}

#[test]
fn ten_percent_is_one_in_ten() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(10, 0);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.on_request(now);
        retries += u32::from(budget.try_retry(now));
    }
    assert_eq!(retries, 100);
}

#[test]
fn saved_retries_are_bounded() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(10, 1);
    for _ in 0..1_000_000 {
        budget.on_request(now);
    }
    let retries = (0..1_000).filter(|_| budget.try_retry(now)).count();
    assert_eq!(retries, 32);
}
