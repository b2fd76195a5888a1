//! Time limits for answers that arrive in parts.

use foxtailhinge::activity::{
    Activity,
    AnswerLimits, //
};
use monoio::{
    time::sleep,
    LegacyDriver,
    RuntimeBuilder, //
};
use std::{
    future::Future,
    time::Duration, //
};

const LIMITS: AnswerLimits = AnswerLimits {
    first: Duration::from_millis(300),
    next: Duration::from_millis(200),
    whole: Duration::from_millis(1_000),
};

fn block_on<F: Future>(work: F) -> F::Output {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .unwrap();
    runtime.block_on(work)
}

/// Receives an answer of `parts` parts, each after a pause; returns whether all arrived within the limits.
fn receive(parts: u32, pause: Duration) -> bool {
    block_on(async {
        let activity = Activity::default();
        let answer = async {
            for _ in 0..parts {
                sleep(pause).await;
                activity.record();
            }
        };
        activity.limit(LIMITS, answer).await.is_some()
    })
}

#[test]
fn an_answer_may_take_longer_than_each_of_its_parts() {
    assert!(receive(6, Duration::from_millis(120)));
}

#[test]
fn a_pause_that_is_too_long_ends_the_wait() {
    assert!(!receive(1, Duration::from_millis(400)));
    assert!(!receive(3, Duration::from_millis(290)));
}

#[test]
fn an_answer_that_never_ends_is_given_up() {
    assert!(!receive(100, Duration::from_millis(100)));
}

/// A daemon that was held up took an answer that had arrived meanwhile for a missing one.
#[test]
fn a_process_that_was_held_up_waits_a_little_longer() {
    let is_answered = block_on(async {
        let activity = Activity::default();
        let answer = async {
            sleep(Duration::from_millis(10)).await;
            std::thread::sleep(Duration::from_millis(600));
            sleep(Duration::from_millis(100)).await;
        };
        activity.limit(LIMITS, answer).await.is_some()
    });
    assert!(is_answered);
}
