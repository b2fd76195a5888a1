//! The time after which a refused caller should come back.
