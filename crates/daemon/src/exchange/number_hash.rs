//! Hash of keys that this daemon itself draws, such as numbers of flows and tokens towards upstreams.
//!
//! It has no secret, so it must not be used where a caller chooses the keys.

use std::hash::{
    BuildHasherDefault,
    Hasher, //
};

/// The golden ratio times 2^64, made odd, which spreads numbers that follow each other.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// Bits by which earlier parts of a key are turned before the next one is added.
const TURN: u32 = 5;

/// Hashes keys of one or a few numbers.
#[derive(Debug, Clone, Copy, Default)]
pub struct NumberHasher(u64);

/// Builds a [`NumberHasher`] for a map.
pub type NumberState = BuildHasherDefault<NumberHasher>;

impl Hasher for NumberHasher {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.write_u64((*byte).into());
        }
    }

    fn write_u32(&mut self, n: u32) {
        self.write_u64(n.into());
    }

    fn write_u64(&mut self, n: u64) {
        let product = u128::from(self.0.rotate_left(TURN) ^ n) * u128::from(SPREAD);
        // The low half depends on the number's low bits, the high half on all; maps use both ends.
        self.0 = product as u64 ^ (product >> u64::BITS) as u64;
    }

    fn finish(&self) -> u64 {
        self.0
    }
}
