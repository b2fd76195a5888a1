//! Time of the next call to the store, and validation of its answers.

use crate::scene::upstream;
use foxtailhinge_policy::packets::{
    poll_schedule::GAP,
    Answer,
    Change,
    Missing,
    PollSchedule,
    UpstreamId, //
};
use std::time::{
    Duration,
    Instant, //
};

const INTERVAL: Duration = Duration::from_millis(1_500);
const WAIT: Duration = Duration::from_millis(2_500);

/// Answer with `entries` changes to a call that began at `began` and took `ms`.
fn answer(began: Instant, ms: u64, entries: usize) -> Answer {
    Answer {
        began,
        ended: began + Duration::from_millis(ms),
        wait: WAIT,
        after: 10,
        first: (entries > 0).then_some(11),
        revision: 10 + entries as u64,
        entries,
        bytes: entries * 300,
    }
}

/// Counts the early calls until `until` if each one returns a useless change and a packet cannot be forwarded
/// afterwards.
fn useless_calls(until: Duration) -> usize {
    let start = Instant::now();
    let mut schedule = PollSchedule::new(INTERVAL);
    let mut calls = 0;
    let mut now = start;
    while now < start + until {
        schedule.record_answer(&answer(now, 4, 1), |_| false);
        calls += 1;
        schedule.record_missing(Missing::Upstream);
        now = schedule.due().unwrap().max(now + Duration::from_millis(4));
    }
    calls
}

#[test]
fn the_store_is_called_again_after_the_interval() {
    let began = Instant::now();
    let mut schedule = PollSchedule::new(INTERVAL);
    assert_eq!(schedule.due(), None);
    schedule.record_answer(&answer(began, 10, 3), |_| true);
    assert_eq!(schedule.due(), Some(began + INTERVAL));
}

#[test]
fn the_next_call_is_immediate_after_an_answer_that_may_be_truncated() {
    let mut schedule = PollSchedule::new(INTERVAL);
    schedule.record_answer(&answer(Instant::now(), 10, 480), |_| true);
    assert_eq!(schedule.due(), None);
    let large = Answer {
        bytes: 900_000,
        ..answer(Instant::now(), 10, 2)
    };
    schedule.record_answer(&large, |_| true);
    assert_eq!(schedule.due(), None);
}

#[test]
fn a_packet_that_cannot_be_forwarded_causes_an_early_call() {
    let began = Instant::now();
    let mut schedule = PollSchedule::new(INTERVAL);
    let answer = answer(began, 10, 3);
    schedule.record_answer(&answer, |_| true);
    assert!(schedule.record_missing(Missing::Upstream));
    assert!(
        !schedule.record_missing(Missing::Upstream),
        "the next call is already early"
    );
    assert_eq!(schedule.due(), Some(answer.ended + GAP));
}

#[test]
fn useless_early_calls_back_off_to_the_regular_interval() {
    assert_eq!(useless_calls(Duration::from_secs(2)), 5);
    let [six, twelve] = [6, 12].map(|s| useless_calls(Duration::from_secs(s)));
    assert_eq!(twelve - six, 4, "one call per interval");
}

#[test]
fn a_useful_answer_resets_the_backoff() {
    let began = Instant::now();
    let mut schedule = PollSchedule::new(INTERVAL);
    for is_useful in [false, false, true] {
        schedule.record_missing(Missing::Upstream);
        schedule.record_answer(&answer(began, 4, 1), |_| is_useful);
    }
    schedule.record_missing(Missing::Upstream);
    assert_eq!(schedule.due(), Some(began + Duration::from_millis(4) + GAP));
}

#[test]
fn an_answer_covers_the_time_after_its_call_only_at_the_end_of_the_wait() {
    let began = Instant::now();
    assert_eq!(answer(began, 900, 1).as_of(), began);
    assert_eq!(answer(began, 2_900, 0).as_of(), began + WAIT);
    let early = answer(began, 3, 0);
    assert_eq!(early.as_of(), early.ended);
}

#[test]
fn a_duplicate_of_an_earlier_answer_is_rejected() {
    let own = answer(Instant::now(), 5, 2);
    assert!(own.matches_call());
    let earlier = Answer {
        first: Some(10),
        ..own
    };
    assert!(
        !earlier.matches_call(),
        "it holds a change that was known before"
    );
    let back = Answer { revision: 9, ..own };
    assert!(
        !back.matches_call(),
        "the store never returns to an older revision"
    );
    assert!(
        !answer(Instant::now(), 5, 0).matches_call(),
        "the store did not wait"
    );
    assert!(answer(Instant::now(), 2_490, 0).matches_call());
}

#[test]
fn a_listed_upstream_resolves_only_its_own_label() {
    let listed = Change::Listed(UpstreamId(0x70_0000_0001), upstream());
    assert!(Missing::Label(1).is_in(&listed));
    assert!(!Missing::Label(2).is_in(&listed), "another label");
    assert!(Missing::Upstream.is_in(&listed));
    assert!(!Missing::Upstream.is_in(&Change::Unlisted(UpstreamId(1), None)));
}
