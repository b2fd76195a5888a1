//! Verdicts on the load of a service, from the sums of a zone.

use foxtailhinge_policy::packets::{
    congestion::{
        Congestion,
        Observation,
        Verdict, //
    },
    load::Counts,
};
use std::time::Duration;

/// Slots of the observed zone.
const SLOTS: u32 = 20;
/// Seconds that a decayed sum covers.
const COVERED_S: f64 = 0.5;
/// Mean service time without load, in seconds.
const WORK_S: f64 = 0.02;
/// Number of windows of 100 ms in a second.
const WINDOWS_PER_S: u32 = 10;

/// Sums of a zone whose upstreams answer requests of `mean_s` at a utilization, with as many openings as answers.
fn observed(mean_s: f64, utilization: f64) -> Observation {
    let answers = utilization * f64::from(SLOTS) * COVERED_S / mean_s;
    Observation {
        counts: Counts {
            opened: answers,
            answers,
            service_s: answers * mean_s,
            ..Counts::default()
        },
        answers,
        slots: SLOTS,
        target_latency: Duration::from_millis(300),
    }
}

fn with_refusals(mut observation: Observation, rate: f64) -> Observation {
    let refusals = observation.counts.answers * rate;
    observation.counts.answers += refusals;
    observation.counts.refusals = refusals;
    observation
}

/// A service that has been observed without load.
fn calm() -> Congestion {
    let mut congestion = Congestion::default();
    congestion.update(&observed(WORK_S, 0.5), 1);
    congestion
}

fn judge(congestion: &mut Congestion, observation: &Observation) -> Verdict {
    let verdict = congestion.update(observation, 1);
    verdict.expect("there are enough answers")
}

/// Twice the slots: queues must count as overload before upstreams shed.
#[test]
fn requests_that_wait_for_slots_are_overload() {
    let verdict = judge(&mut calm(), &observed(0.06, 2.0));
    assert!(verdict.is_overloaded(), "{verdict:?}");
    let verdict = judge(&mut calm(), &observed(0.04, 2.0));
    assert!(!verdict.is_overloaded(), "short queues: {verdict:?}");
}

/// Slow answers although slots are free: rejecting callers would not help the others.
#[test]
fn slow_answers_without_load_are_no_overload() {
    for mean_s in [0.06, 0.5, 1.0] {
        let verdict = judge(&mut calm(), &observed(mean_s, 0.95));
        assert!(verdict.pressure > 1.0 && !verdict.is_overloaded());
    }
}

/// Refusals of a few failing upstreams would count as overload of the whole service.
#[test]
fn refusals_of_failing_upstreams_are_no_overload() {
    let few = with_refusals(observed(WORK_S, 1.3), 0.05);
    assert!(!judge(&mut calm(), &few).is_overloaded());
    let many = with_refusals(observed(WORK_S, 0.6), 0.4);
    assert!(!judge(&mut calm(), &many).is_overloaded(), "slots are free");
    let full = with_refusals(observed(WORK_S, 1.3), 0.2);
    assert!(judge(&mut calm(), &full).is_overloaded());
}

/// A few answers after a quiet time are chance, and must not lead to rejections.
#[test]
fn few_answers_give_no_verdict() {
    let mut few = observed(1.0, 2.0);
    few.answers = 7.9;
    assert_eq!(calm().update(&few, 1), None);
    assert_eq!(calm().update(&observed(1.0, 0.0), 1), None);
}

/// A zone whose upstreams have all left still gets answers on old flows. Its callers go to other zones, and rejecting them
/// because of these answers would turn the end of a zone into an outage.
#[test]
fn a_zone_without_slots_is_not_overloaded() {
    let mut gone = observed(0.1, 2.0);
    gone.slots = 0;
    let verdict = calm().update(&gone, 1);
    assert!(!verdict.is_some_and(|v| v.is_overloaded()), "{verdict:?}");
}

/// A load that grows faster than it is answered fills the queues before the mean service time shows it.
#[test]
fn a_flash_crowd_is_judged_ahead() {
    let mut growing = observed(0.03, 1.3);
    assert!(!judge(&mut calm(), &growing).is_overloaded());
    growing.counts.opened *= 1.5;
    assert!(judge(&mut calm(), &growing).is_overloaded());
}

/// A baseline that followed an overload would hide it after some minutes.
#[test]
fn an_overload_does_not_become_the_baseline() {
    let mut congestion = calm();
    for _ in 0..600 * WINDOWS_PER_S {
        congestion.update(&observed(0.06, 2.0), 1);
    }
    assert!(judge(&mut congestion, &observed(0.06, 2.0)).is_overloaded());
}

/// A service whose work grows for good must not be judged by the past for ever.
#[test]
fn more_work_for_each_request_becomes_the_baseline_slowly() {
    let mut congestion = calm();
    for _ in 0..WINDOWS_PER_S {
        congestion.update(&observed(0.04, 0.5), 1);
    }
    let baseline_s = congestion.baseline_s().expect("observed");
    assert!((0.0203..0.0205).contains(&baseline_s), "{baseline_s}");
    congestion.update(&observed(0.04, 0.5), 60 * WINDOWS_PER_S);
    assert_eq!(congestion.baseline_s(), Some(0.04));
}

/// Where connecting takes as long as an answer, the service time is zero. A baseline of zero could not rise again, made any
/// service time an overload, and made the other daemons discard the whole report.
#[test]
fn a_baseline_near_zero_rises_again() {
    let mut congestion = calm();
    let mut instant = observed(WORK_S, 0.5);
    instant.counts.service_s = 0.0;
    for _ in 0..10_000 {
        congestion.update(&instant, 1);
    }
    for _ in 0..180 * WINDOWS_PER_S {
        congestion.update(&observed(WORK_S, 0.5), 1);
    }
    assert_eq!(congestion.baseline_s(), Some(WORK_S));
}

/// A wrong report must neither stop a daemon that has just started nor make it reject callers.
#[test]
fn implausible_baselines_are_not_adopted() {
    for baseline_s in [f64::NAN, f64::INFINITY, -1.0, 0.0, 1e-9, 1e30, f64::MAX] {
        let mut congestion = Congestion::default();
        congestion.adopt_baseline(baseline_s);
        assert_eq!(congestion.baseline_s(), None, "{baseline_s}");
    }
    let mut congestion = Congestion::default();
    congestion.adopt_baseline(WORK_S);
    congestion.adopt_baseline(WORK_S * 2.0);
    assert_eq!(congestion.baseline_s(), Some(WORK_S), "only one is adopted");
}

/// Where the work alone exceeds half of the target latency, rejecting callers cannot make requests fast enough.
#[test]
fn work_beyond_the_target_is_no_overload_by_itself() {
    let mut congestion = Congestion::default();
    congestion.update(&observed(0.2, 0.5), 1);
    assert!(!judge(&mut congestion, &observed(0.2, 1.1)).is_overloaded());
    assert!(judge(&mut congestion, &observed(0.3, 1.5)).is_overloaded());
}
