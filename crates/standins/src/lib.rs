//! Stand-ins for tests: the platform, the fabric, upstreams, callers and a fleet of daemons. Never shipped.

pub mod caller;
pub mod fabric;
pub mod fleet;
pub mod platform;
pub mod scenario;
pub mod upstream;
