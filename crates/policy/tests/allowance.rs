//! Slow start: the ramp follows successes, and a cold start is detected from failures and latency.

mod support;

use foxtailhinge_policy::allowance::{
    Allowance,
    AllowanceSpec,
    Capacity, //
};
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};
use rstest::rstest;
use std::time::{
    Duration,
    Instant, //
};
use support::check;

const SPEC: AllowanceSpec = AllowanceSpec {
    full: Capacity {
        slots: 4,
        connections: 2_000,
    },
    cold_slots: 1,
    cold_connections: 100,
    ramp: Duration::from_secs(30),
};
const COLD: (u32, u32) = (1, 100);
const FULL: (u32, u32) = (4, 2_000);
const MS: Duration = Duration::from_millis(1);

/// Feeds the outcomes of 100 requests a second to an allowance.
struct Stream {
    allowance: Allowance,
    now: Instant,
    rng: SmallRng,
}

impl Stream {
    fn new(allowance: fn(AllowanceSpec, Instant) -> Allowance) -> Self {
        let now = Instant::now();
        Self {
            allowance: allowance(SPEC, now),
            now,
            rng: SmallRng::seed_from_u64(5),
        }
    }

    fn answer(&mut self, latency: Duration) {
        self.now += 10 * MS;
        self.allowance.on_latency(self.now, latency);
        self.allowance.on_success(self.now);
    }

    fn shed(&mut self) {
        self.now += 10 * MS;
        self.allowance.on_shed(self.now);
    }

    fn exponential(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(-(1.0 - self.rng.random::<f64>()).ln())
    }

    fn limits(&self) -> (u32, u32) {
        self.allowance.limits(self.now)
    }
}

#[test]
fn limits_stay_between_cold_and_full() {
    fn limits_stay_between_cold_and_full(outcomes: Vec<(u8, u16)>) -> bool {
        let mut now = Instant::now();
        let mut allowance = Allowance::cold(SPEC, now);
        outcomes.iter().all(|(kind, ms)| {
            now += MS * u32::from(*ms);
            let before = allowance.limits(now);
            match kind % 5 {
                0 => allowance.on_shed(now),
                1 => allowance.on_timeout(now),
                2 => allowance.on_latency(now, MS * u32::from(*ms)),
                3 if *ms == 0 => allowance.restart(now),
                _ => allowance.on_success(now),
            }
            let (slots, connections) = allowance.limits(now);
            let rises = slots > before.0 || connections > before.1;
            (1..=4).contains(&slots)
                && (100..=2_000).contains(&connections)
                && !(rises && kind % 5 == 2)
        })
    }
    check(limits_stay_between_cold_and_full as fn(Vec<(u8, u16)>) -> bool);
}

#[test]
fn the_ramp_follows_success() {
    let mut stream = Stream::new(Allowance::cold);
    let mut steps = Vec::new();
    for _ in 0..7 {
        steps.push(stream.limits());
        for _ in 0..500 {
            stream.answer(20 * MS);
        }
    }
    insta::assert_debug_snapshot!(steps);
}

#[test]
fn time_alone_does_not_raise_it() {
    let mut stream = Stream::new(Allowance::cold);
    stream.now += Duration::from_secs(3_600);
    assert_eq!(stream.limits(), COLD);
    stream.answer(20 * MS);
    assert_eq!(stream.limits(), COLD);
}

#[test]
fn sheds_reset_it_to_the_cold_allowance() {
    let mut stream = Stream::new(Allowance::warm);
    for _ in 0..10 {
        stream.shed();
    }
    assert_eq!(stream.limits(), COLD);
    assert_eq!(stream.allowance.cold_starts(), 1);
}

#[test]
fn timeouts_reset_it_to_the_cold_allowance() {
    let mut stream = Stream::new(Allowance::warm);
    for _ in 0..10 {
        stream.allowance.on_timeout(stream.now);
    }
    assert_eq!(stream.limits(), COLD);
}

#[rstest]
#[case::five_times(5)]
#[case::ten_times(10)]
fn a_rise_of_latency_resets_it_to_the_cold_allowance(#[case] factor: u32) {
    let mut stream = Stream::new(Allowance::warm);
    for _ in 0..1_000 {
        let latency = stream.exponential(20 * MS);
        stream.answer(latency);
    }
    assert_eq!(stream.limits(), FULL);
    for _ in 0..40 {
        let latency = stream.exponential(20 * MS) * factor;
        stream.answer(latency);
    }
    assert_eq!(stream.allowance.cold_starts(), 1);
}

/// Ordinary variation over a million requests causes at most two cold starts.
#[rstest]
#[case::exponential(0.0, 0.0)]
#[case::one_in_ten_takes_25_times_as_long(0.1, 0.0)]
#[case::one_in_twenty_is_shed(0.0, 0.05)]
fn ordinary_variation_does_not_reset_it(#[case] slow: f64, #[case] shed: f64) {
    let mut stream = Stream::new(Allowance::warm);
    for _ in 0..1_000_000 {
        let factor = if stream.rng.random::<f64>() < slow {
            25
        } else {
            1
        };
        let latency = stream.exponential(20 * MS) * factor;
        if stream.rng.random::<f64>() < shed {
            stream.shed();
        } else {
            stream.answer(latency);
        }
    }
    assert!(
        stream.allowance.cold_starts() <= 2,
        "{} cold starts",
        stream.allowance.cold_starts()
    );
    assert_eq!(stream.limits(), FULL);
}

/// Guards against a ramp that stalls forever because of sheds that occur whatever the load.
#[test]
fn chance_sheds_do_not_stop_the_ramp() {
    let mut stream = Stream::new(Allowance::cold);
    for _ in 0..6_000 {
        if stream.rng.random::<f64>() < 0.3 {
            stream.shed();
        } else {
            stream.answer(20 * MS);
        }
    }
    assert_eq!(stream.limits(), FULL);
}

/// A permanent change of latency becomes the new baseline.
#[test]
fn a_slower_upstream_is_warm_again_after_one_cold_start() {
    let mut stream = Stream::new(Allowance::warm);
    for _ in 0..1_000 {
        stream.answer(20 * MS);
    }
    for _ in 0..10_000 {
        stream.answer(200 * MS);
    }
    assert_eq!(stream.allowance.cold_starts(), 1);
    assert_eq!(stream.limits(), FULL);
}

/// A handed-over upstream starts with at most the slots that its previous owner allowed, but not with
/// fewer than the cold ones.
#[rstest]
#[case::cold(1, 1)]
#[case::half_way(2, 2)]
#[case::full(4, 4)]
#[case::more_than_the_document(9, 4)]
#[case::less_than_cold(0, 1)]
fn a_handed_over_upstream_resumes(#[case] slots: u32, #[case] expected: u32) {
    let now = Instant::now();
    let allowance = Allowance::resume(SPEC, slots, now);
    assert_eq!(allowance.limits(now).0, expected);
}

/// An upstream that was warm before reaches the full allowance within a second of successes; after a
/// reset it ramps at the normal speed.
#[test]
fn a_recovering_upstream_ramps_quickly() {
    let mut stream = Stream::new(Allowance::cold);
    stream.allowance.shorten_ramp();
    assert_eq!(stream.limits(), COLD);
    for _ in 0..100 {
        stream.answer(20 * MS);
    }
    assert_eq!(stream.limits(), FULL);
    stream.allowance.restart(stream.now);
    for _ in 0..100 {
        stream.answer(20 * MS);
    }
    assert_eq!(stream.limits(), COLD);
}
