//! Random selection of candidates: distinct, eligible and by weight.

mod support;

use foxtailhinge_policy::placement::{
    Placement,
    Sequence, //
};
use rand::{
    rngs::SmallRng,
    SeedableRng, //
};
use rstest::rstest;
use support::check;

const DRAWS: u32 = 100_000;

#[test]
fn draws_are_distinct_and_eligible() {
    fn draws_are_distinct_and_eligible(weights: Vec<u8>, n: u8, seed: u64) -> bool {
        let placement = Placement::new(weights.iter().map(|w| f64::from(*w)));
        let mut rng = SmallRng::seed_from_u64(seed);
        let drawn = placement.draw(usize::from(n), &mut rng);
        let eligible = weights.iter().filter(|w| **w > 0).count();
        let mut distinct = drawn.clone();
        distinct.sort_unstable();
        distinct.dedup();
        drawn.len() == eligible.min(usize::from(n))
            && distinct.len() == drawn.len()
            && drawn.iter().all(|index| weights[*index] > 0)
    }
    check(draws_are_distinct_and_eligible as fn(Vec<u8>, u8, u64) -> bool);
}

#[test]
fn changed_weights_draw_like_new_ones() {
    fn changed_weights_draw_like_new_ones(
        weights: Vec<u8>,
        changes: Vec<(u8, u8)>,
        seed: u64,
    ) -> bool {
        let mut changed = weights.clone();
        let mut placement = Placement::new(weights.iter().map(|w| f64::from(*w)));
        for (index, weight) in changes {
            let index = usize::from(index);
            placement.set_weight(index, f64::from(weight));
            if let Some(old) = changed.get_mut(index) {
                *old = weight;
            }
        }
        let fresh = Placement::new(changed.iter().map(|w| f64::from(*w)));
        let draw = |p: &Placement| p.draw(3, &mut SmallRng::seed_from_u64(seed));
        draw(&placement) == draw(&fresh)
    }
    check(changed_weights_draw_like_new_ones as fn(Vec<u8>, Vec<(u8, u8)>, u64) -> bool);
}

#[rstest]
#[case::even(&[4.0, 4.0, 4.0, 4.0])]
#[case::uneven(&[1.0, 2.0, 0.0, 5.0, 0.5])]
#[case::tiny_beside_large(&[0.01, 1.0, 10.0])]
fn first_draws_follow_the_weights(#[case] weights: &[f64]) {
    let placement = Placement::new(weights.iter().copied());
    let mut rng = SmallRng::seed_from_u64(7);
    let mut counts = vec![0_u32; weights.len()];
    for _ in 0..DRAWS {
        counts[placement.draw(2, &mut rng)[0]] += 1;
    }
    let total: f64 = weights.iter().sum();
    for (count, weight) in counts.iter().zip(weights) {
        let expected = f64::from(DRAWS) * weight / total;
        let bound = 5.0 * expected.sqrt();
        assert!((f64::from(*count) - expected).abs() <= bound, "{counts:?}");
    }
}

#[test]
fn a_sequence_keeps_every_run_even() {
    let upstreams = 14;
    let placement = Placement::new(vec![4.0; upstreams]);
    let mut rng = SmallRng::seed_from_u64(7);
    let mut sequence = Sequence::new(&mut rng);
    let mut counts = vec![0_u32; upstreams];
    for run in 1..=1_000_u32 {
        counts[placement.draw_at(sequence.next_point(), 1, &mut rng)[0]] += 1;
        let expected = f64::from(run) / upstreams as f64;
        assert!(counts
            .iter()
            .all(|c| (f64::from(*c) - expected).abs() < 3.0));
    }
}

#[rstest]
#[case(f64::NAN)]
#[case(f64::INFINITY)]
#[case(-1.0)]
#[case(0.0)]
fn a_weight_without_meaning_is_not_eligible(#[case] weight: f64) {
    let placement = Placement::new([weight]);
    assert!(placement.is_empty());
    assert!(placement
        .draw(3, &mut SmallRng::seed_from_u64(1))
        .is_empty());
}

/// Over many keys the first ranks follow the weights, and removing one upstream does not change the
/// order of the others.
#[test]
fn ranks_by_weight_and_key() {
    let name = |index: usize| index as u64;
    let placement = Placement::new([4.0, 0.0, 2.0, 2.0]);
    let mut without_last = placement.clone();
    without_last.set_weight(3, 0.0);
    let mut first = [0_u32; 4];
    for key in 0..u64::from(DRAWS) {
        let ranked = placement.rank(key, 3, name);
        assert_eq!(ranked.len(), 3);
        first[ranked[0]] += 1;
        let rest: Vec<_> = ranked.into_iter().filter(|at| *at != 3).collect();
        assert_eq!(without_last.rank(key, 3, name)[..], rest[..]);
    }
    for (count, share) in first.into_iter().zip([0.5, 0.0, 0.25, 0.25]) {
        let off = f64::from(count) / f64::from(DRAWS) - share;
        assert!(off.abs() < 0.01, "{first:?}");
    }
}
