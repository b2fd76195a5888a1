//! Selection of an upstream's owner by rendezvous hashing.
//!
//! All daemons with the same set of live members compute the same owner, and the loss of a member
//! moves only the upstreams that it owned. This module defines the hash (FNV-1a over the name, then
//! the SplitMix64 finaliser) itself, because daemons of different builds have to agree on it.

use smallvec::SmallVec;
use std::cmp::Reverse;

/// Number of buckets into which names are divided, so that two sets can be compared by checksums.
pub const BUCKETS: usize = 64;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hash of a name, computed once and then mixed with other hashes many times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct NameKey(u64);

impl NameKey {
    /// Hashes `name`.
    pub fn new(name: &str) -> Self {
        let hash = name.bytes().fold(FNV_OFFSET, |h, b| {
            (h ^ u64::from(b)).wrapping_mul(FNV_PRIME)
        });
        Self(mix(hash))
    }

    /// Returns the hash as a number.
    pub fn get(self) -> u64 {
        self.0
    }

    /// Returns the bucket of the name, below [`BUCKETS`].
    pub fn bucket(self) -> usize {
        (self.0 >> 32) as usize % BUCKETS
    }
}

/// Finaliser of SplitMix64: each input bit affects about half of the output bits.
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Returns the weight of a VM for an upstream, from the hashes of both names.
pub fn score_keys(upstream: NameKey, vm: NameKey) -> u64 {
    mix(upstream.0.rotate_left(32) ^ vm.0)
}

/// Returns the weight of `vm` for `upstream`; the VM with the highest weight owns the upstream.
pub fn score(upstream: &str, vm: &str) -> u64 {
    score_keys(NameKey::new(upstream), NameKey::new(vm))
}

/// Returns the owner of `upstream` among `vms`; of equal weights, the smaller name wins.
pub fn owner<'a>(upstream: &str, vms: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let upstream = NameKey::new(upstream);
    vms.max_by_key(|vm| (score_keys(upstream, NameKey::new(vm)), Reverse(*vm)))
}

/// Returns the `n` VMs of highest weight for `upstream`, highest first.
pub fn ranked<'a>(
    upstream: &str,
    vms: impl Iterator<Item = &'a str>,
    n: usize,
) -> SmallVec<[&'a str; 4]> {
    let upstream = NameKey::new(upstream);
    let mut scored: Vec<_> = vms
        .map(|vm| (Reverse(score_keys(upstream, NameKey::new(vm))), vm))
        .collect();
    scored.sort_unstable();
    scored.into_iter().take(n).map(|(_, vm)| vm).collect()
}
