//! The hash of numbers that the daemon draws.

use foxtailhinge::exchange::number_hash::NumberState;
use rstest::rstest;
use std::{
    collections::HashSet,
    hash::BuildHasher, //
};

/// Keys hashed by each case.
const KEYS: u64 = 4096;

/// Bits that a map uses to tell keys of one bucket apart.
const TAG_BITS: u32 = 7;

/// Numbers follow each other or stand apart by a power of two; both ends of their hashes must differ.
#[rstest]
#[case::in_a_row(0)]
#[case::every_16th(4)]
#[case::in_the_high_half(32)]
fn both_ends_of_the_hash_differ(#[case] shift: u32) {
    let state = NumberState::default();
    let hashes: Vec<u64> = (1..=KEYS).map(|n| state.hash_one(n << shift)).collect();
    let buckets: HashSet<u64> = hashes.iter().map(|hash| hash % KEYS).collect();
    let tags: HashSet<u64> = hashes.iter().map(|hash| hash >> (64 - TAG_BITS)).collect();
    // As many keys thrown at random would fill 63 % of the buckets.
    assert!(buckets.len() as u64 > KEYS / 2, "{} buckets", buckets.len());
    assert_eq!(tags.len(), 1 << TAG_BITS);
}

#[test]
fn the_order_of_the_parts_counts() {
    let state = NumberState::default();
    assert_ne!(state.hash_one((1u32, 2u32)), state.hash_one((2u32, 1u32)));
}
