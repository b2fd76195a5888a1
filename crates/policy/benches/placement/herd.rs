//! Thundering herd: all callers return after an outage of all daemons. Compares openings in order of arrival with
//! policies that put late openings after the others.

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

/// Slots of all upstreams: 14 upstreams with 4 slots each.
const SLOTS: usize = 56;
/// Mean service time at an upstream, in seconds.
const SERVICE_S: f64 = 0.06;
/// Target latency of a request, the deadline of "in time".
const TARGET: Duration = Duration::from_millis(250);
/// Ages of an attempt at which its opening is sent or retransmitted.
const SEND_AGES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(600),
];
/// Time after the start of the daemons during which new requests arrive.
const ARRIVAL_TIME: Duration = Duration::from_secs(2);
/// Age of an attempt at which its caller starts the next one, with a new first packet.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(800);
/// Number of attempts of a request.
const ATTEMPTS: u32 = 3;
const SEEDS: u64 = 20;

/// How openings are ordered that are late when they arrive.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Rule {
    /// In order of arrival, like all others.
    Arrival,
    /// After the delay of [`ThunderingHerd`], as in the daemon.
    LateWait,
    /// When a slot is free and no other opening waits. This is a bound for comparison: it needs the state of all slots.
    TakeFree,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Opening {
    at: Instant,
    requested_at: Instant,
    copy: u32,
}

#[derive(Default)]
struct Count {
    asked: u64,
    in_time: u64,
}

/// Prints the share of requests answered in time, by length of the outage and load.
pub(crate) fn table() {
    println!("herd: all callers return after a stop; 56 slots, 60 ms of work, target latency 250 ms; in time (%) of");
    println!("the requests sent within 2 s of the daemons' start\n");
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

/// Returns the first packet of each request that arrives after the daemons have started, in order of arrival.
fn arrivals(start: Instant, stop: Duration, rate: f64, rng: &mut SmallRng) -> Vec<Opening> {
    let mut requested_at = start - stop;
    let mut openings = Vec::new();
    while requested_at < start + ARRIVAL_TIME {
        let attempts = (0..ATTEMPTS).map(|attempt| requested_at + ATTEMPT_INTERVAL * attempt);
        let mut packets = attempts.flat_map(|at| (0..).zip(SEND_AGES.map(|age| at + age)));
        if let Some((copy, at)) = packets.find(|(_, at)| *at >= start) {
            openings.push(Opening {
                at,
                requested_at,
                copy,
            });
        }
        requested_at += exponential(1.0 / rate, rng);
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
            if opening.requested_at >= start {
                count.asked += 1;
                count.in_time += u64::from(now - opening.requested_at <= TARGET);
            }
        } else {
            let wait = match rule {
                Rule::LateWait if now == opening.at => herd.delay_until(opening.copy, TARGET, now),
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
            if now - next.requested_at > ATTEMPT_INTERVAL * ATTEMPTS {
                continue;
            }
            busy += 1;
            events.push(Reverse((
                now + exponential(SERVICE_S, &mut rng),
                true,
                next,
            )));
        }
    }
    count
}
