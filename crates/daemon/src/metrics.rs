//! Metrics of the daemon.
