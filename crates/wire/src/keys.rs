//! Authentication keys by slot, derived from the secrets of the fleet.

use blake3::Hasher;
use smallvec::SmallVec;
use std::{
    fmt,
    hint::black_box, //
};

/// Number of key slots that the 4 bits of a header byte can address.
const SLOTS: u8 = 16;

/// Derived keys; the first one signs, all are accepted.
#[derive(Clone)]
pub(crate) struct KeyRing {
    keys: SmallVec<[(u8, [u8; 32]); 2]>,
}

impl KeyRing {
    /// Derives one key from each pair of slot and secret; keys of different contexts or scopes are
    /// independent.
    ///
    /// # Panics
    ///
    /// Panics when `keys` is empty or a slot is over 15.
    pub(crate) fn derive(context: &str, keys: &[(u8, [u8; 32])], scope: &str) -> Self {
        assert!(!keys.is_empty(), "at least one key is required");
        assert!(
            keys.iter().all(|(slot, _)| *slot < SLOTS),
            "key slots go from 0 to 15"
        );
        let derive = |secret: &[u8; 32]| {
            let mut hasher = Hasher::new_derive_key(context);
            hasher.update(secret);
            hasher.update(scope.as_bytes());
            *hasher.finalize().as_bytes()
        };
        Self {
            keys: keys
                .iter()
                .map(|(slot, secret)| (*slot, derive(secret)))
                .collect(),
        }
    }

    /// Slot and key that sign.
    pub(crate) fn signing(&self) -> (u8, &[u8; 32]) {
        let (slot, key) = &self.keys[0];
        (*slot, key)
    }

    /// Key of `slot`, if it is accepted.
    pub(crate) fn accepted(&self, slot: u8) -> Option<&[u8; 32]> {
        let (_, key) = self.keys.iter().find(|(s, _)| *s == slot)?;
        Some(key)
    }
}

impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let slots = self.keys.iter().map(|(slot, _)| slot);
        f.debug_list().entries(slots).finish()
    }
}

/// Compares two MACs in a time that depends only on their length.
pub(crate) fn equal_in_constant_time(a: &[u8], b: &[u8]) -> bool {
    if a.len() != b.len() {
        return false;
    }
    let difference = a
        .iter()
        .zip(b)
        .fold(0, |acc, (x, y)| black_box(acc | (x ^ y)));
    black_box(difference) == 0
}
