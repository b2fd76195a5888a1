//! Stand-ins for a platform whose flows are made of packets: its store, upstreams, callers and fabric.

pub mod builder;
pub mod callers;
mod daemons;
pub mod fabric;
pub mod fleet;
pub mod results;
pub mod segment;
mod start;
pub mod store;
pub mod upstream;
