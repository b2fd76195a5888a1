//! Owner of an upstream by rendezvous hashing.
