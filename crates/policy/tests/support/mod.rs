//! Helper of the property tests.

use quickcheck::{
    Gen,
    QuickCheck,
    Testable, //
};

/// Checks a property with a fixed seed, so that every run uses the same inputs.
pub(crate) fn check(property: impl Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 1))
        .tests(1_000)
        .quickcheck(property);
}
