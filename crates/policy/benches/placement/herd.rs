//! Return of all callers after a stop of all daemons: openings in the order of arrival, and late ones after the rest.

use crate::report::{
    percent,
    Table, //
};
use foxtailhinge_policy::packets::thundering_herd::ThunderingHerd;
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};
use std::{
    cmp::Reverse,
    collections::{
        BinaryHeap,
        VecDeque, //
    },
    time::{
        Duration,
        Instant, //
    },
};

/// Slots of all upstreams together: 14 of 4.
const SLOTS: usize = 56;
/// Mean time of a request at its upstream.
const WORK_S: f64 = 0.06;
/// Time in which a request is to be answered.
const AIM: Duration = Duration::from_millis(250);
/// Ages at which an opening is sent.
const COPIES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(600),
];
/// Time for which requests are asked after the daemons' start.
const AFTER: Duration = Duration::from_secs(2);
/// Age of an attempt at which its caller makes the next one, with a first packet of its own.
const ATTEMPT: Duration = Duration::from_millis(800);
/// Attempts of a request.
const ATTEMPTS: u32 = 3;
const SEEDS: u64 = 20;

/// What is done with openings that are late already.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Rule {
    /// They go like all others.
    Arrival,
    /// They wait as the product lets them.
    LateWait,
    /// They go when a slot is free: a bound that takes a view of all slots.
    TakeFree,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Opening {
    at: Instant,
    asked: Instant,
    copy: u32,
}

#[derive(Default)]
struct Count {
    asked: u64,
    in_time: u64,
}

/// Prints the share of requests in time, by the length of the stop and the load.
pub(crate) fn table() {
    println!("herd: all callers return after a stop; 56 slots, 60 ms of work, aim of 250 ms; in time (%) of");
    println!("the requests that were asked within 2 s from the daemons' start\n");
    let mut table = Table::new(&[
        "stop",
        "requests/s",
        "order of arrival",
        "late ones wait",
        "late ones take free slots",
    ]);
    for stop_ms in [500, 1_000, 1_500, 3_000] {
        for rate in [250.0, 430.0, 700.0] {
            let stop = Duration::from_millis(stop_ms);
            let share = |rule| {
                let mut sum = Count::default();
                for seed in 0..SEEDS {
                    let count = run(rule, stop, rate, seed);
                    sum.asked += count.asked;
                    sum.in_time += count.in_time;
                }
                format!("{:.1}", percent(sum.in_time, sum.asked))
            };
            table.row(vec![
                format!("{stop:?}"),
                format!("{rate:.0}"),
                share(Rule::Arrival),
                share(Rule::LateWait),
                share(Rule::TakeFree),
            ]);
        }
    }
    println!("{table}");
}

/// Openings that the daemons hear, in order: each caller's first packet after their start.
fn arrivals(start: Instant, stop: Duration, rate: f64, rng: &mut SmallRng) -> Vec<Opening> {
    let mut asked = start - stop;
    let mut openings = Vec::new();
    while asked < start + AFTER {
        let attempts = (0..ATTEMPTS).map(|attempt| asked + ATTEMPT * attempt);
        let mut packets = attempts.flat_map(|at| (0..).zip(COPIES.map(|age| at + age)));
        if let Some((copy, at)) = packets.find(|(_, at)| *at >= start) {
            openings.push(Opening { at, asked, copy });
        }
        asked += exponential(1.0 / rate, rng);
    }
    openings.sort_unstable();
    openings
}

fn exponential(mean_s: f64, rng: &mut SmallRng) -> Duration {
    Duration::from_secs_f64(-mean_s * rng.random::<f64>().max(1e-9).ln())
}

fn run(rule: Rule, stop: Duration, rate: f64, seed: u64) -> Count {
    let mut rng = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut herd = ThunderingHerd::default();
    herd.begin(start);
    let openings = arrivals(start, stop, rate, &mut rng);
    let mut events: BinaryHeap<Reverse<(Instant, bool, Opening)>> = openings
        .into_iter()
        .map(|opening| Reverse((opening.at, false, opening)))
        .collect();
    let (mut busy, mut queue) = (0, VecDeque::new());
    let mut late: VecDeque<Opening> = VecDeque::new();
    let mut count = Count::default();
    while let Some(Reverse((now, done, opening))) = events.pop() {
        if done {
            busy -= 1;
            if opening.asked >= start {
                count.asked += 1;
                count.in_time += u64::from(now - opening.asked <= AIM);
            }
        } else {
            let wait = match rule {
                Rule::LateWait if now == opening.at => herd.delay_until(opening.copy, AIM, now),
                _ => None,
            };
            match wait {
                Some(until) => events.push(Reverse((until, false, opening))),
                None if rule == Rule::TakeFree && opening.copy == 2 => late.push_back(opening),
                None => queue.push_back(opening),
            }
        }
        while busy < SLOTS {
            let Some(next) = queue.pop_front().or_else(|| late.pop_front()) else {
                break;
            };
            if now - next.asked > ATTEMPT * ATTEMPTS {
                continue;
            }
            busy += 1;
            events.push(Reverse((now + exponential(WORK_S, &mut rng), true, next)));
        }
    }
    count
}
