//! Order of callers, and the share of openings that is admitted.

use foxtailhinge_policy::packets::{
    congestion::Verdict,
    load::Counts,
    load_shedding::{
        rank,
        AdmissionOrder,
        AdmittedShare,
        Supply,
        ADMITTED_MIN, //
    },
};
use std::{
    net::Ipv4Addr,
    time::{
        Duration,
        Instant, //
    },
};

/// A time of day.
const UNIX: Duration = Duration::from_secs(1_700_000_000);
/// Time for which a caller keeps its rank.
const RANK_PERIOD: Duration = Duration::from_secs(8);
/// Number of callers.
const CALLERS: u32 = 1_000;
/// Number of windows of 100 ms in a second.
const WINDOWS_PER_S: u32 = 10;

const OVERLOADED: Verdict = Verdict {
    pressure: 2.0,
    utilization: 2.0,
};
const CALM: Verdict = Verdict {
    pressure: 0.4,
    utilization: 0.5,
};

fn caller(number: u32) -> Ipv4Addr {
    Ipv4Addr::from(0x6440_0000 + number)
}

fn ranks(unix: Duration) -> Vec<f64> {
    (0..CALLERS).map(|n| rank(caller(n), unix)).collect()
}

/// What upstreams can serve that answer every other opening, all of which were admitted by the share.
fn supply(opened: f64, answers: f64, utilization: f64) -> Supply {
    Supply {
        home: Counts {
            opened,
            answers,
            service_s: answers * 0.05,
            ..Counts::default()
        },
        utilization,
        left: 0.0,
        leaving: 0.0,
        goal_s: 0.05,
        conditional: 1.0,
    }
}

/// A rank that prefers some addresses would reject the same customers in each overload.
#[test]
fn ranks_are_spread_evenly() {
    let ranks = ranks(UNIX);
    assert!(ranks.iter().all(|rank| (0.0..1.0).contains(rank)));
    for tenth in 0..10 {
        let from = f64::from(tenth) / 10.0;
        let n = ranks.iter().filter(|r| (from..from + 0.1).contains(*r));
        let n = n.count();
        assert!((60..=140).contains(&n), "{n} of 1,000 from {from}");
    }
}

/// When all ranks change together, all callers that were served lose their place in the same moment.
#[test]
fn ranks_turn_one_after_another() {
    for tenth in 0..80 {
        let at = UNIX + Duration::from_millis(100) * tenth;
        let (before, after) = (ranks(at), ranks(at + Duration::from_millis(100)));
        let changed = before.iter().zip(&after).filter(|(a, b)| a != b).count();
        assert!((2..=30).contains(&changed), "{changed} of 1,000 in 100 ms");
    }
}

/// A caller whose rank stays high would be shut out for as long as the overload lasts.
#[test]
fn nobody_is_locked_out() {
    let (share, periods) = (0.3, 40);
    for number in 0..CALLERS {
        let served = (0..periods).filter(|n| rank(caller(number), UNIX + RANK_PERIOD * *n) < share);
        let served = served.count();
        assert!(
            (2..=26).contains(&served),
            "{served} of 40 periods at 30 %: caller {number}"
        );
    }
}

/// A caller keeps its rank for a period, so that its requests are served wholly for some seconds.
#[test]
fn a_rank_lasts_for_a_period() {
    for number in 0..100 {
        let at = |ms| rank(caller(number), UNIX + Duration::from_millis(ms));
        let changes = (0..24_000).filter(|ms| at(*ms) != at(ms + 1)).count();
        assert_eq!(changes, 3, "in three periods");
    }
}

/// A clock that jumps, or that was never set, must not stop the daemon.
#[test]
fn ranks_exist_at_any_time_of_day() {
    for unix in [Duration::ZERO, Duration::from_millis(1), Duration::MAX] {
        assert!((0.0..1.0).contains(&rank(caller(1), unix)));
    }
}

/// Openings of both priorities in turn; returns the order with the time of the last one.
fn two_priorities() -> (AdmissionOrder, Instant) {
    let (mut order, now) = (AdmissionOrder::default(), Instant::now());
    for number in 0..100 {
        order.record(caller(number), 1, now);
        order.record(caller(number + 100), 2, now);
    }
    (order, now)
}

/// An urgent caller that comes after a less urgent one would be rejected first.
#[test]
fn urgent_callers_come_first_whatever_their_rank() {
    let (order, _) = two_priorities();
    let last_urgent = order.place(caller(1), 1, 0.999);
    let first_other = order.place(caller(101), 2, 0.0);
    assert!(last_urgent.place < first_other.place);
    assert!((first_other.place - 0.5).abs() < 1e-9, "{first_other:?}");
    let unknown = order.place(caller(300), 0, 0.9);
    assert_eq!(unknown.place, 0.0, "a priority without openings so far");
}

/// Some callers of each priority are always served, or an overload of urgent callers would shut out all others.
#[test]
fn the_first_ranks_of_each_priority_are_guaranteed() {
    let (order, _) = two_priorities();
    for priority in [1, 2] {
        assert!(order.place(caller(1), priority, 0.019).is_guaranteed);
        assert!(!order.place(caller(1), priority, 0.021).is_guaranteed);
    }
}

/// Without openings there is no sum to divide by.
#[test]
fn a_fresh_order_places_by_rank() {
    let order = AdmissionOrder::default();
    assert!((order.place(caller(1), 1, 0.3).place - 0.3).abs() < 1e-9);
    assert_eq!(order.served_share(0), 1.0);
    let (mut order, _) = two_priorities();
    order.roll(u32::MAX);
    assert!((order.place(caller(500), 1, 0.3).place - 0.3).abs() < 1e-9);
}

/// One caller that opens ten times the flows of others takes their slots; it must be rejected before them.
#[test]
fn a_heavy_caller_comes_last() {
    let (mut order, now) = two_priorities();
    for _ in 0..40 {
        order.record(caller(101), 2, now);
    }
    let (heavy, other) = (
        order.place(caller(101), 2, 0.1),
        order.place(caller(102), 2, 0.8),
    );
    assert!(heavy.is_heavy && !other.is_heavy);
    assert!(heavy.place > other.place, "{heavy:?} {other:?}");
    let urgent = order.place(caller(101), 1, 0.1);
    assert!(urgent.place < other.place, "the priority goes before");
}

/// A caller that is rejected tries three times, and must not come last for that.
#[test]
fn three_tries_are_no_heavy_caller() {
    let (mut order, now) = (AdmissionOrder::default(), Instant::now());
    for number in 0..100 {
        for _ in 0..if number < 50 { 9 } else { 3 } {
            order.record(caller(number), 1, now);
        }
    }
    assert!(!order.place(caller(0), 1, 0.5).is_heavy);
}

/// A burst must not count against a caller for ever, and callers must not take up memory without bound.
#[test]
fn openings_of_a_caller_are_forgotten() {
    let (mut order, mut now) = two_priorities();
    for _ in 0..40 {
        order.record(caller(101), 2, now);
    }
    for _ in 0..2 {
        now += Duration::from_secs(2);
        order.record(caller(1), 1, now);
    }
    assert!(!order.place(caller(101), 2, 0.1).is_heavy);
    for number in 0..10_000 {
        order.record(caller(number), 1, now);
    }
    assert!(!order.place(caller(9_999), 1, 0.1).is_heavy);
}

/// A single window may be a chance; a flash crowd must be answered in the next one.
#[test]
fn the_share_falls_after_two_overloaded_windows() {
    let mut share = AdmittedShare::default();
    let twice = supply(200.0, 100.0, 2.0);
    share.update(Some(OVERLOADED), &twice, 1);
    share.update(Some(CALM), &twice, 1);
    share.update(Some(OVERLOADED), &twice, 1);
    assert_eq!(share.get(), 1.0);
    share.update(Some(OVERLOADED), &twice, 1);
    assert!((0.7..0.9).contains(&share.get()), "{}", share.get());
}

/// A share that has fallen to less than a tenth.
fn fallen() -> AdmittedShare {
    let mut share = AdmittedShare::default();
    for _ in 0..20 {
        share.update(Some(OVERLOADED), &supply(200.0, 50.0, 4.0), 1);
    }
    assert!(share.get() < 0.1, "{}", share.get());
    share
}

/// Number of windows until the share is 1.
fn windows_to_one(verdict: Option<Verdict>, supply: &Supply) -> u32 {
    let mut share = fallen();
    let windows = (1..100).find(|_| {
        share.update(verdict, supply, 1);
        share.get() == 1.0
    });
    windows.unwrap_or(u32::MAX)
}

/// A share that stays low after the load is gone rejects callers as soon as the next load comes.
#[test]
fn the_share_returns_to_one_without_load() {
    let idle = windows_to_one(None, &supply(0.0, 0.0, 0.0));
    let calm = windows_to_one(Some(CALM), &supply(100.0, 100.0, 0.5));
    assert!(idle.max(calm) <= 4 * WINDOWS_PER_S, "{idle}, {calm}");
}

/// Answers in less than the connect time count as zero. Without openings, the part that can be served was zero times
/// infinity, and the share rose by no more than 2 % a window.
#[test]
fn instant_answers_do_not_hold_the_share_down() {
    let mut instant = supply(0.0, 10.0, 0.0);
    instant.home.service_s = 0.0;
    instant.left = 1.0;
    instant.leaving = 2.0;
    let windows = windows_to_one(Some(CALM), &instant);
    assert!(windows <= 4 * WINDOWS_PER_S, "{windows}");
}

/// A share of zero admits nobody whose answers could show that the overload is over.
#[test]
fn the_share_stays_between_its_bounds() {
    let mut share = AdmittedShare::default();
    let values = [0.0, f64::MIN_POSITIVE, 1.0, 1e6, f64::MAX];
    for opened in values {
        for answers in values {
            for utilization in values {
                for windows in [0, 1, u32::MAX] {
                    let supply = supply(opened, answers, utilization);
                    share.update(Some(OVERLOADED), &supply, windows);
                    let share = share.get();
                    assert!((ADMITTED_MIN..=1.0).contains(&share), "{share}");
                }
            }
        }
    }
    share.approach(0.0);
    assert!(share.get() >= ADMITTED_MIN);
}
