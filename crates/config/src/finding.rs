//! Findings with their place.
