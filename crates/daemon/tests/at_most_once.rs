//! A POST whose owner fails between its run at the upstream and its answer.

use foxtailhinge_standins::{
    caller::{
        Caller,
        Outcome, //
    },
    fleet::Fleet,
    upstream::ServiceTime, //
};
use rstest::rstest;
use std::{
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

/// Service time of each request at the upstream.
const SERVICE_TIME: Duration = Duration::from_millis(1500);
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(4);
/// Time for which a daemon is paused.
const PAUSE: Duration = Duration::from_secs(10);
/// Time that delayed packets get to arrive before runs are counted.
const SETTLE: Duration = Duration::from_secs(2);
/// Time within which a daemon exits, or a later POST is answered.
const RECOVERED_WITHIN: Duration = Duration::from_secs(20);

type OutcomeCheck = fn(&Outcome) -> bool;

fn kill(fleet: &mut Fleet, vm: &str) {
    fleet.kill(vm);
}

fn stop(fleet: &mut Fleet, vm: &str) {
    fleet.stop(vm);
    assert!(fleet.await_end(vm, RECOVERED_WITHIN).is_some());
}

fn pause(fleet: &mut Fleet, vm: &str) {
    fleet.freeze(vm);
    thread::sleep(PAUSE);
    fleet.wake(vm);
}

/// Kills a daemon and starts a new process under the same id, without the state of the old one.
fn replace(fleet: &mut Fleet, vm: &str) {
    fleet.kill(vm);
    fleet.start(vm).unwrap();
}

fn is_answered(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answered(_))
}

fn is_unanswered(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Unknown | Outcome::TimedOut)
}

fn fleet() -> Fleet {
    Fleet::builder()
        .daemons(2)
        .zones(1)
        .upstreams(1, 1)
        .binary(env!("CARGO_BIN_EXE_foxtailhinge"))
        .customize_upstream(|spec| spec.service_time = ServiceTime::Fixed(SERVICE_TIME))
        .start()
        .unwrap()
}

fn owner(fleet: &Fleet) -> String {
    let status = fleet.status("vm-1").unwrap();
    let mut upstreams = status.upstreams.iter();
    let found = upstreams.find(|one| &*one.upstream == "syncdesk-1");
    found.unwrap().owner.as_ref().unwrap().to_string()
}

/// Sends POSTs with new ids until one is answered; returns whether one was.
fn is_later_post_answered(caller: &Caller) -> bool {
    let end = Instant::now() + RECOVERED_WITHIN;
    for number in 0.. {
        let id = format!("again-{number}");
        match caller.post("/clearances", id.as_bytes(), DEADLINE) {
            Outcome::Answered(_) => return true,
            _ if Instant::now() >= end => break,
            Outcome::NotRun { retry_after } => thread::sleep(retry_after),
            _ => {}
        }
    }
    false
}

#[rstest]
#[case::killed(kill, is_unanswered)]
#[case::replaced(replace, is_unanswered)]
#[case::paused(pause, is_unanswered)]
#[case::stopped(stop, is_answered)]
fn a_post_runs_once_though_its_owner_fails(
    #[case] fault: fn(&mut Fleet, &str),
    #[case] expected: OutcomeCheck,
) {
    let mut fleet = fleet();
    let caller = fleet.caller("syncdesk-api").unwrap();
    assert!(is_answered(&caller.get("/cues", DEADLINE)));
    let owner = owner(&fleet);
    let posting = thread::spawn(move || {
        let outcome = caller.post("/clearances", b"one", DEADLINE);
        (caller, outcome)
    });
    while fleet.upstreams()[0].runs("one") == 0 {
        thread::sleep(Duration::from_millis(5));
    }
    fault(&mut fleet, &owner);
    let (caller, outcome) = posting.join().unwrap();
    assert!(expected(&outcome), "{outcome:?}");
    thread::sleep(SETTLE);
    assert_eq!(fleet.upstreams()[0].runs("one"), 1);
    assert!(is_later_post_answered(&caller));
    assert_eq!(fleet.upstreams()[0].records().repeated_posts(), [""; 0]);
}
