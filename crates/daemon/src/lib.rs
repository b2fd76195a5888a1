//! The foxtailhinge daemon. Every entry VM runs the same program.

pub mod activity;
pub mod admin;
pub mod audit;
pub mod command;
pub mod daemon;
pub mod error;
pub mod exchange;
pub mod links;
pub mod logging;
pub mod members;
pub mod metrics;
pub mod operations;
pub mod options;
pub mod packets;
pub mod platform;
pub mod signal;
pub mod socket;
pub mod store;
pub mod supervisor;
pub mod timer;
pub mod wake;
