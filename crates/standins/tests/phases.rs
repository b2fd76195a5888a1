//! Phases of a run: each gets time for its requests, and none is judged by too few of them.

use foxtailhinge_standins::packets::phases::{
    phase_end,
    Verdict,
    PHASE_MIN, //
};
use std::time::{
    Duration,
    Instant, //
};

const WEIGHTS: [f64; 4] = [1.0, 1.0, 2.0, 4.0];

/// Runs phases whose events take this many milliseconds, in a run of 16 s, and returns the lengths of the phases in
/// milliseconds and the time that each lasted after its event.
fn run(events_ms: [u64; 4]) -> [(u64, Duration); 4] {
    let start = Instant::now();
    let mut began = start;
    let mut index = 0;
    events_ms.map(|event_ms| {
        let complete = began + Duration::from_millis(event_ms);
        let end = start + Duration::from_secs(16);
        let until = phase_end(&WEIGHTS[index..], began, complete, end).max(complete);
        let length = (until - began).as_millis() as u64;
        (began, index) = (until, index + 1);
        (length, until - complete)
    })
}

/// Guards against phases that differ from the requested lengths although no event takes long.
#[test]
fn phases_share_the_run_by_weight() {
    let lengths = run([0, 100, 0, 300]).map(|(length, _)| length);
    assert_eq!(lengths, [2_000, 2_000, 4_000, 8_000]);
}

/// Guards against a phase without requests: the event of the phase before it, or its own, took longer than its share.
#[test]
fn a_long_event_leaves_time_for_requests() {
    for events_ms in [
        [0, 5_000, 0, 0],
        [0, 2_000, 3_900, 0],
        [0, 0, 20_000, 0],
        [0, 0, 0, 30_000],
    ] {
        for (phase, (_, left)) in run(events_ms).into_iter().enumerate() {
            assert!(
                left >= PHASE_MIN,
                "phase {phase} lasts {left:?} after its event, of {events_ms:?}"
            );
        }
    }
}

/// Guards against a verdict on a phase that nearly nobody used, in either direction.
#[test]
fn few_requests_make_no_verdict() {
    assert_eq!(Verdict::of(0, 0, 0.95), Verdict::NotJudged);
    assert_eq!(Verdict::of(199, 0, 0.95), Verdict::NotJudged);
    assert_eq!(Verdict::of(199, 199, 0.95), Verdict::NotJudged);
    assert_eq!(Verdict::of(200, 189, 0.95), Verdict::Broken);
    assert_eq!(Verdict::of(200, 190, 0.95), Verdict::Kept);
}
