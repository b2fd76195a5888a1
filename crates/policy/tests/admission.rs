//! Admission control: no sequence of calls exceeds the limits of an upstream.

mod support;

use foxtailhinge_policy::admission::{
    least_connected, least_loaded, Admission, Limits, Offer, Refusal, Start, WaitingList,
    RESERVATION_TTL,
};
use quickcheck::{
    Arbitrary,
    Gen, //
};
use rstest::rstest;
use std::time::{
    Duration,
    Instant, //
};
use support::check;

const LIMITS: Limits = Limits {
    slots: 2,
    connections: 3,
    queue: 2,
};
const LONG: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
enum Call {
    SetLimits(Limits),
    Reserve,
    ReserveOrQueue(u64),
    Confirm,
    Connect,
    Disconnect,
    Start(u64),
    Finish(u64),
    LeaveQueue,
    Promote,
    AdvanceTime(u64),
}

impl Arbitrary for Call {
    fn arbitrary(g: &mut Gen) -> Self {
        let ms = u64::arbitrary(g) % 400;
        let mut small = || u32::arbitrary(g) % 5;
        let limits = Limits {
            slots: small(),
            connections: small(),
            queue: small(),
        };
        match u32::arbitrary(g) % 14 {
            0 => Self::SetLimits(limits),
            1 => Self::ReserveOrQueue(ms),
            2 | 3 => Self::Reserve,
            4 | 5 => Self::Confirm,
            6 => Self::Connect,
            7 => Self::Disconnect,
            8 | 9 => Self::Start(ms),
            10 => Self::Finish(ms),
            11 => Self::LeaveQueue,
            12 => Self::Promote,
            _ => Self::AdvanceTime(ms),
        }
    }
}

fn apply(admission: &mut Admission, now: &mut Instant, call: &Call) {
    let ms = Duration::from_millis;
    match call {
        Call::SetLimits(limits) => admission.set_limits(*limits),
        Call::Reserve => drop(admission.reserve(*now)),
        Call::ReserveOrQueue(left) => drop(admission.reserve_or_queue(*now, *now + ms(*left))),
        Call::Confirm => drop(admission.confirm(*now)),
        Call::Connect => drop(admission.connect()),
        Call::Disconnect => admission.disconnect(),
        Call::Start(left) => drop(admission.start(*now, *now + ms(*left))),
        Call::Finish(time) => admission.finish(*now, ms(*time)),
        Call::LeaveQueue => admission.leave_queue(),
        Call::Promote => drop(admission.promote(*now)),
        Call::AdvanceTime(time) => *now += ms(*time),
    }
}

#[test]
fn no_call_exceeds_a_limit() {
    fn no_call_exceeds_a_limit(calls: Vec<Call>) -> bool {
        let mut now = Instant::now();
        let mut admission = Admission::new(LIMITS);
        calls.iter().all(|call| {
            let before = admission.clone();
            apply(&mut admission, &mut now, call);
            let limits = admission.limits();
            let within = |after: u32, before: u32, limit: u32| after <= before || after <= limit;
            within(admission.in_use(), before.in_use(), limits.slots)
                && within(
                    admission.connections(),
                    before.connections(),
                    limits.connections,
                )
                && within(admission.queued(), before.queued(), limits.queue)
        })
    }
    check(no_call_exceeds_a_limit as fn(Vec<Call>) -> bool);
}

#[test]
fn no_waiting_request_runs_past_its_deadline() {
    fn no_waiting_request_runs_past_its_deadline(deadlines: Vec<u16>, steps: Vec<u16>) -> bool {
        let origin = Instant::now();
        let at = |ms: u64| origin + Duration::from_millis(ms);
        let mut admission = Admission::new(Limits {
            slots: 1,
            connections: 1,
            queue: u32::MAX,
        });
        let mut waiting = WaitingList::default();
        admission.start(origin, origin + LONG);
        for deadline in deadlines {
            let deadline = at(u64::from(deadline));
            if admission.start(origin, deadline) == Start::Wait {
                waiting.push(deadline, deadline);
            }
        }
        let mut elapsed = 0;
        for step in steps {
            elapsed += u64::from(step);
            let now = at(elapsed);
            admission.release();
            if step % 2 == 0 {
                for _ in waiting.expire(now) {
                    admission.leave_queue();
                }
            }
            if waiting
                .promote(&mut admission, now)
                .is_some_and(|deadline| deadline <= now)
            {
                return false;
            }
        }
        admission.queued() as usize == waiting.len()
    }
    check(no_waiting_request_runs_past_its_deadline as fn(Vec<u16>, Vec<u16>) -> bool);
}

#[test]
fn a_reservation_expires_unless_confirmed() {
    let now = Instant::now();
    let mut admission = Admission::new(LIMITS);
    assert_eq!(admission.reserve(now), Ok(()));
    assert_eq!(admission.reserve(now), Ok(()));
    assert_eq!(admission.reserve(now), Err(Refusal::Slots));
    assert_eq!(admission.confirm(now), Ok(()));
    assert_eq!(admission.reserve(now + RESERVATION_TTL), Ok(()));
    assert_eq!(admission.connections(), 1);
}

#[test]
fn an_expired_reservation_frees_its_connection() {
    let now = Instant::now();
    let limits = Limits {
        connections: 1,
        ..LIMITS
    };
    let mut admission = Admission::new(limits);
    assert_eq!(admission.reserve(now), Ok(()));
    assert_eq!(admission.connect(), Err(Refusal::Connections));
    admission.expire(now + RESERVATION_TTL);
    assert_eq!(admission.connect(), Ok(()));
}

#[rstest]
#[case::draining(true, false, Refusal::Draining)]
#[case::cold(false, true, Refusal::ColdStart)]
#[case::warm(false, false, Refusal::Slots)]
fn a_refusal_names_its_cause(#[case] draining: bool, #[case] cold: bool, #[case] cause: Refusal) {
    let now = Instant::now();
    let mut admission = Admission::new(LIMITS);
    admission.start(now, now + LONG);
    admission.start(now, now + LONG);
    admission.set_draining(draining);
    admission.set_cold(cold);
    assert_eq!(admission.reserve(now), Err(cause));
}

/// With a service time of 100 ms and 2 slots, the first waiting request is expected to be answered
/// after 150 ms.
#[rstest]
#[case::passed(0, Start::Refuse(Refusal::Deadline))]
#[case::too_short(149, Start::Refuse(Refusal::Deadline))]
#[case::enough(150, Start::Wait)]
fn the_queue_respects_deadlines(#[case] left_ms: u64, #[case] expected: Start) {
    let now = Instant::now();
    let mut admission = Admission::new(LIMITS);
    admission.start(now, now + LONG);
    admission.finish(now, Duration::from_millis(100));
    admission.start(now, now + LONG);
    admission.start(now, now + LONG);
    let deadline = now + Duration::from_millis(left_ms);
    assert_eq!(admission.start(now, deadline), expected);
}

/// With service times that alternate between 100 ms and 0 ms, a new flow is refused for a deadline
/// that is enough for a request of an open flow.
#[test]
fn a_new_flow_needs_a_larger_margin_before_its_deadline() {
    let now = Instant::now();
    let limits = Limits { slots: 1, ..LIMITS };
    let mut admission = Admission::new(limits);
    for i in 0..100 {
        admission.start(now, now + LONG);
        admission.finish(now, Duration::from_millis(100 * (i % 2)));
    }
    admission.start(now, now + LONG);
    let deadline = now + Duration::from_millis(200);
    let refused = Err(Refusal::Deadline);
    assert_eq!(admission.reserve_or_queue(now, deadline), refused);
    assert_eq!(admission.reserve_or_queue(now, now + LONG), Ok(()));
    assert_eq!(admission.start(now, deadline), Start::Wait);
}

/// With service times of 100 ms, a request is overdue after 300 ms without an answer, not before.
#[rstest]
#[case::unknown_short(0, 999, false)]
#[case::unknown_long(0, 1_000, true)]
#[case::callers_own_deadline(20, 5, false)]
#[case::a_little_slow(20, 299, false)]
#[case::overdue(20, 300, true)]
fn a_short_deadline_alone_is_not_overdue(
    #[case] runs: u32,
    #[case] waited_ms: u64,
    #[case] overdue: bool,
) {
    let now = Instant::now();
    let mut admission = Admission::new(LIMITS);
    for _ in 0..runs {
        admission.start(now, now + LONG);
        admission.finish(now, Duration::from_millis(100));
    }
    let waited = Duration::from_millis(waited_ms);
    assert_eq!(admission.is_overdue(waited), overdue);
}

#[test]
fn lowered_limits_end_no_request() {
    let now = Instant::now();
    let mut admission = Admission::new(LIMITS);
    admission.start(now, now + LONG);
    admission.start(now, now + LONG);
    admission.start(now, now + LONG);
    admission.set_limits(Limits { slots: 1, ..LIMITS });
    assert_eq!((admission.in_use(), admission.queued()), (2, 1));
    admission.release();
    assert!(!admission.promote(now));
    admission.release();
    assert!(admission.promote(now));
}

#[rstest]
#[case::shortest_queue(&[offer(true, 4, 6), offer(true, 4, 5)], Some(1))]
#[case::relative_to_slots(&[offer(true, 8, 9), offer(true, 1, 2)], Some(0))]
#[case::closed_ones_are_skipped(&[offer(false, 4, 0), offer(true, 4, 9)], Some(1))]
#[case::none_open(&[offer(false, 4, 0)], None)]
#[case::none(&[], None)]
fn the_least_loaded_offer(#[case] offers: &[Offer], #[case] expected: Option<usize>) {
    assert_eq!(least_loaded(offers), expected);
}

#[rstest]
#[case::fewest(&[feeds(900, 2_000), feeds(800, 2_000)], Some(1))]
#[case::relative_to_the_limit(&[feeds(90, 100), feeds(900, 2_000)], Some(1))]
#[case::none(&[], None)]
fn the_least_connected_offer(#[case] offers: &[Offer], #[case] expected: Option<usize>) {
    assert_eq!(least_connected(offers), expected);
}

fn feeds(connections: u32, max_connections: u32) -> Offer {
    Offer {
        connections,
        max_connections,
        ..offer(true, 4, 0)
    }
}

fn offer(open: bool, slots: u32, load: u32) -> Offer {
    Offer {
        open,
        slots,
        load,
        connections: 0,
        max_connections: 2_000,
    }
}
