//! Hasher for keys that this daemon generates itself, such as flow numbers and tokens of requests to upstreams.
//!
//! It has no secret, so it must not be used for keys that a caller chooses.

use std::hash::{
    BuildHasherDefault,
    Hasher, //
};

/// The golden ratio times 2^64, made odd; it spreads consecutive numbers.
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Bits by which the hash of earlier parts of a key is rotated before the next part is added.
const ROTATION: u32 = 5;

/// Hasher for keys that consist of one or a few numbers.
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
        let product = u128::from(self.0.rotate_left(ROTATION) ^ n) * u128::from(MULTIPLIER);
        // The low half depends on the low bits of the number, the high half on all of them; maps use both ends of the
        // hash.
        self.0 = product as u64 ^ (product >> u64::BITS) as u64;
    }

    fn finish(&self) -> u64 {
        self.0
    }
}
