//! The fabric, which hands any packet to any daemon.
