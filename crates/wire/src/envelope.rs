//! Sealed envelopes between daemons.
