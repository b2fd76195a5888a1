//! Sums of the time limits that follow each other until a change is in force.

use foxtailhinge_policy::packets::CallBudget;
use std::time::Duration;

/// Tolerance for rounding to nanoseconds.
const ROUNDING: Duration = Duration::from_nanos(10);

/// Deadlines over the range that the settings accept.
fn deadlines() -> impl Iterator<Item = Duration> {
    let short = (100..10_000).step_by(100);
    let long = [15_000, 60_000, 600_000];
    short.chain(long).map(Duration::from_millis)
}

/// Calls `check` with the limits for all combinations of the deadlines for a lost answer and for a change.
fn for_each_budget(check: impl Fn(CallBudget, Duration, Duration)) {
    for notice in deadlines() {
        for change in deadlines() {
            check(CallBudget::new(notice, change), notice, change);
        }
    }
}

/// A daemon took configurations up too late after an outage, because the limits of the steps did not add up to the
/// deadline.
#[test]
fn the_steps_after_an_outage_keep_the_deadline() {
    for_each_budget(|budget, notice, _| {
        let lost_call = budget.retry_wait() + budget.answer;
        let next_call = lost_call.max(budget.retry_interval);
        let history_is_lost = budget.connect + budget.answer;
        let list = budget.list_spread + budget.answer;
        let sum = next_call + history_is_lost + list;
        assert!(sum <= notice + ROUNDING, "{sum:?} {notice:?} {budget:?}");
    });
}

#[test]
fn calls_in_an_outage_leave_time_for_an_answer() {
    for_each_budget(|budget, _, _| {
        let wait = budget.retry_wait();
        assert!(!wait.is_zero(), "{budget:?}");
        assert!(wait + budget.answer <= budget.retry_interval, "{budget:?}");
    });
}

/// The connection of a watch may have gone silent at any time since the last answer on it. The next one is opened while
/// the answer is overdue.
#[test]
fn a_lost_watch_is_made_up_for_in_time() {
    for_each_budget(|budget, notice, _| {
        for share in 0..=10 {
            let idle = budget.idle_max() * share / 10;
            let lost_call = idle + budget.wait(idle) + budget.answer.max(budget.connect);
            let sum = lost_call + budget.answer;
            assert!(sum <= notice + ROUNDING, "{sum:?} {notice:?} {budget:?}");
        }
    });
}

/// A change just after an answer, or after the last report of a reader that fails then, waits for the next call, which
/// may need a new connection.
#[test]
fn a_change_between_two_calls_is_in_force_in_time() {
    for_each_budget(|budget, _, change| {
        let sum = budget.interval + budget.connect + budget.answer;
        assert!(sum <= change + ROUNDING, "{sum:?} {change:?} {budget:?}");
        assert!(budget.interval * 2 + ROUNDING >= change, "{budget:?}");
    });
}
