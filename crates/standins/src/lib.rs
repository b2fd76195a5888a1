//! Test stand-ins for the platform, the fabric, upstreams and callers, and a launcher for small fleets.

pub mod breaks;
pub mod caller;
pub mod fabric;
pub mod feed;
pub mod fleet;
pub mod load;
pub mod message;
pub mod packets;
pub mod platform;
pub mod scenario;
pub mod socket;
pub mod upstream;

mod delay;
