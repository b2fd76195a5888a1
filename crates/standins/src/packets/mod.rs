//! Stand-ins for the packet interface: the platform's store, the upstreams, the callers and the fabric.

pub mod builder;
pub mod callers;
mod daemons;
pub mod fabric;
pub mod fleet;
pub mod phases;
pub mod results;
pub mod segment;
mod start;
pub mod store;
pub mod upstream;
