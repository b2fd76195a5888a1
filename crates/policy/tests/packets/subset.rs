//! Division of the upstreams of a zone among its daemons.

use foxtailhinge_policy::packets::Position;
use quickcheck::{
    Gen,
    QuickCheck, //
};

const SEED: u64 = 11;
const SIZE: usize = 100;
const CASES: u64 = 400;
/// Largest difference by rounding.
const ROUNDING: f64 = 1e-9;

fn parts(daemons: usize, upstreams: usize) -> Vec<Vec<f64>> {
    let of_daemon = |index| {
        let position = Position { index, daemons };
        let parts = (0..upstreams).map(|at| position.part_of(at, upstreams));
        parts.collect()
    };
    (0..daemons).map(of_daemon).collect()
}

fn is_near(actual: f64, expected: f64) -> bool {
    (actual - expected).abs() < ROUNDING
}

/// An upstream that no daemon owns stays idle under load; one that is owned twice gets a queue.
#[test]
fn every_upstream_is_covered_exactly_once() {
    fn property(daemons: u16, upstreams: u16) -> bool {
        let (daemons, upstreams) = (usize::from(daemons % 320) + 1, usize::from(upstreams % 200));
        let parts = parts(daemons, upstreams);
        let owned = |at: usize| parts.iter().map(|daemon| daemon[at]).sum::<f64>();
        let share = upstreams as f64 / daemons as f64;
        (0..upstreams).all(|at| is_near(owned(at), 1.0))
            && parts
                .iter()
                .all(|daemon| is_near(daemon.iter().sum(), share))
            && parts.iter().flatten().all(|p| (0.0..=1.0).contains(p))
    }
    let gen = Gen::from_size_and_seed(SIZE, SEED);
    QuickCheck::new()
        .rng(gen)
        .tests(CASES)
        .quickcheck(property as fn(u16, u16) -> bool);
}

/// Daemons that divide by lists of different ages must not divide by zero or own upstreams outside of the list.
#[test]
fn positions_that_do_not_fit_own_nothing() {
    let outside = Position {
        index: 5,
        daemons: 3,
    };
    assert!((0..7).all(|at| outside.part_of(at, 7) == 0.0));
    let none = Position {
        index: 0,
        daemons: 0,
    };
    assert_eq!(none.part_of(0, 1), 1.0);
    assert_eq!(Position::ALONE.part_of(0, 0), 0.0);
    assert!((0..7).all(|at| Position::ALONE.part_of(at, 7) == 1.0));
}
