//! A POST whose owner fails between its run and its answer.

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

/// Time that the upstream spends on a request.
const SERVICE_TIME: Duration = Duration::from_millis(1500);
/// Time that a request may take.
const WITHIN: Duration = Duration::from_secs(4);
/// Time for which a daemon is paused.
const PAUSE: Duration = Duration::from_secs(10);
/// Time for what was held up to come through.
const SETTLE: Duration = Duration::from_secs(2);
/// Time by which a later POST is answered.
const MENDED_WITHIN: Duration = Duration::from_secs(20);

type Outcomes = fn(&Outcome) -> bool;

fn kill(fleet: &mut Fleet, vm: &str) {
    fleet.kill(vm);
}

fn stop(fleet: &mut Fleet, vm: &str) {
    fleet.stop(vm);
    assert!(fleet.await_end(vm, MENDED_WITHIN).is_some());
}

fn pause(fleet: &mut Fleet, vm: &str) {
    fleet.freeze(vm);
    thread::sleep(PAUSE);
    fleet.wake(vm);
}

/// A daemon that dies and is replaced under the same id keeps nothing.
fn replace(fleet: &mut Fleet, vm: &str) {
    fleet.kill(vm);
    fleet.start(vm).unwrap();
}

fn is_answered(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answered(_))
}

fn is_open(outcome: &Outcome) -> bool {
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

/// Posts under new ids until one is answered; returns whether one was.
fn posts_again(caller: &Caller) -> bool {
    let end = Instant::now() + MENDED_WITHIN;
    for number in 0.. {
        let id = format!("again-{number}");
        match caller.post("/clearances", id.as_bytes(), WITHIN) {
            Outcome::Answered(_) => return true,
            _ if Instant::now() >= end => break,
            Outcome::NotRun { retry_after } => thread::sleep(retry_after),
            _ => {}
        }
    }
    false
}

#[rstest]
#[case::killed(kill, is_open)]
#[case::replaced(replace, is_open)]
#[case::paused(pause, is_open)]
#[case::stopped(stop, is_answered)]
fn a_post_runs_once_though_its_owner_fails(
    #[case] fault: fn(&mut Fleet, &str),
    #[case] expected: Outcomes,
) {
    let mut fleet = fleet();
    let caller = fleet.caller("syncdesk-api").unwrap();
    assert!(is_answered(&caller.get("/cues", WITHIN)));
    let owner = owner(&fleet);
    let posting = thread::spawn(move || {
        let outcome = caller.post("/clearances", b"one", WITHIN);
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
    assert!(posts_again(&caller));
    assert_eq!(fleet.upstreams()[0].records().repeated_posts(), [""; 0]);
}
