//! When the store is read again, and what its answers prove.

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

const PAUSE: Duration = Duration::from_millis(1_500);
const WAIT: Duration = Duration::from_millis(2_500);

/// An answer with so many changes to a call that began at `began` and took `ms`.
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

/// Early calls until `until`, each of which brings a change of no use while a packet is missed after each.
fn calls_in_vain(until: Duration) -> usize {
    let start = Instant::now();
    let mut pace = PollSchedule::new(PAUSE);
    let mut calls = 0;
    let mut now = start;
    while now < start + until {
        pace.record_answer(&answer(now, 4, 1), |_| false);
        calls += 1;
        pace.record_missing(Missing::Upstream);
        now = pace.due().unwrap().max(now + Duration::from_millis(4));
    }
    calls
}

#[test]
fn the_store_is_called_again_after_the_pause() {
    let began = Instant::now();
    let mut pace = PollSchedule::new(PAUSE);
    assert_eq!(pace.due(), None);
    pace.record_answer(&answer(began, 10, 3), |_| true);
    assert_eq!(pace.due(), Some(began + PAUSE));
}

#[test]
fn there_is_no_pause_after_an_answer_that_may_have_been_cut() {
    let mut pace = PollSchedule::new(PAUSE);
    pace.record_answer(&answer(Instant::now(), 10, 480), |_| true);
    assert_eq!(pace.due(), None);
    let large = Answer {
        bytes: 900_000,
        ..answer(Instant::now(), 10, 2)
    };
    pace.record_answer(&large, |_| true);
    assert_eq!(pace.due(), None);
}

#[test]
fn a_packet_that_cannot_be_forwarded_ends_the_pause() {
    let began = Instant::now();
    let mut pace = PollSchedule::new(PAUSE);
    let answer = answer(began, 10, 3);
    pace.record_answer(&answer, |_| true);
    assert!(pace.record_missing(Missing::Upstream));
    assert!(
        !pace.record_missing(Missing::Upstream),
        "a second one changes nothing"
    );
    assert_eq!(pace.due(), Some(answer.ended + GAP));
}

#[test]
fn early_calls_that_bring_nothing_of_use_become_as_rare_as_calm_ones() {
    assert_eq!(calls_in_vain(Duration::from_secs(2)), 5);
    let [six, twelve] = [6, 12].map(|s| calls_in_vain(Duration::from_secs(s)));
    assert_eq!(twelve - six, 4, "one in each pause");
}

#[test]
fn a_gain_makes_the_next_early_call_early_again() {
    let began = Instant::now();
    let mut pace = PollSchedule::new(PAUSE);
    for gain in [false, false, true] {
        pace.record_missing(Missing::Upstream);
        pace.record_answer(&answer(began, 4, 1), |_| gain);
    }
    pace.record_missing(Missing::Upstream);
    assert_eq!(pace.due(), Some(began + Duration::from_millis(4) + GAP));
}

#[test]
fn an_answer_proves_nothing_after_its_call_unless_it_came_at_the_end_of_the_wait() {
    let began = Instant::now();
    assert_eq!(answer(began, 900, 1).as_of(), began);
    assert_eq!(answer(began, 2_900, 0).as_of(), began + WAIT);
    let early = answer(began, 3, 0);
    assert_eq!(early.as_of(), early.ended);
}

#[test]
fn a_second_copy_of_an_earlier_answer_is_not_taken_for_the_next_one() {
    let own = answer(Instant::now(), 5, 2);
    assert!(own.matches_call());
    let earlier = Answer {
        first: Some(10),
        ..own
    };
    assert!(!earlier.matches_call(), "it holds what was known");
    let back = Answer { revision: 9, ..own };
    assert!(!back.matches_call(), "the store does not go back");
    assert!(
        !answer(Instant::now(), 5, 0).matches_call(),
        "it did not wait"
    );
    assert!(answer(Instant::now(), 2_490, 0).matches_call());
}

#[test]
fn an_upstream_that_another_packet_waits_for_does_not_bring_a_label() {
    let listed = Change::Listed(UpstreamId(0x70_0000_0001), upstream());
    assert!(Missing::Label(1).is_in(&listed));
    assert!(!Missing::Label(2).is_in(&listed), "its upstream has ended");
    assert!(Missing::Upstream.is_in(&listed));
    assert!(!Missing::Upstream.is_in(&Change::Unlisted(UpstreamId(1), None)));
}
