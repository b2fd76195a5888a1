//! Decision logic of foxtailhinge: plain structs that do no I/O and get the current time as an
//! argument.
//!
//! The daemon's tasks call them; tests and benchmarks run the same code without a daemon.

pub mod admission;
pub mod allowance;
pub mod budget;
pub mod coarse_time;
pub mod former_owners;
pub mod health;
pub mod ledger;
pub mod members;
pub mod owner_cache;
pub mod packets;
pub mod pause;
pub mod placement;
pub mod rendezvous;
pub mod retry_after;
pub mod revisions;
pub mod suspect_zones;
