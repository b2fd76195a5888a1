//! The hash of numbers that the daemon itself generates.

use foxtailhinge::exchange::number_hash::NumberState;
use rstest::rstest;
use std::{
    collections::HashSet,
    hash::BuildHasher, //
};

/// Number of keys hashed in each case.
const KEYS: u64 = 4096;

/// High bits of a hash by which a map distinguishes keys of one bucket.
const TAG_BITS: u32 = 7;

/// Keys are consecutive or a power of two apart. A map takes the bucket from the low bits of the hash and the tag
/// from the high ones, so both must differ.
#[rstest]
#[case::in_a_row(0)]
#[case::every_16th(4)]
#[case::in_the_high_half(32)]
fn both_ends_of_the_hash_differ(#[case] shift: u32) {
    let state = NumberState::default();
    let hashes: Vec<u64> = (1..=KEYS).map(|n| state.hash_one(n << shift)).collect();
    let buckets: HashSet<u64> = hashes.iter().map(|hash| hash % KEYS).collect();
    let tags: HashSet<u64> = hashes.iter().map(|hash| hash >> (64 - TAG_BITS)).collect();
    // The same number of random hashes would fill 63 % of the buckets.
    assert!(buckets.len() as u64 > KEYS / 2, "{} buckets", buckets.len());
    assert_eq!(tags.len(), 1 << TAG_BITS);
}

#[test]
fn the_hash_depends_on_the_order_of_the_parts() {
    let state = NumberState::default();
    assert_ne!(state.hash_one((1u32, 2u32)), state.hash_one((2u32, 1u32)));
}
