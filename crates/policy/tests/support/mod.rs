//! What the property tests share.

use quickcheck::{
    Gen,
    QuickCheck,
    Testable, //
};

/// Checks a property on the same arguments every run.
pub(crate) fn check(property: impl Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 1))
        .tests(1_000)
        .quickcheck(property);
}
