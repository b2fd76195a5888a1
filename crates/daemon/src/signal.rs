//! Process signals.
