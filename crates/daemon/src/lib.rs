//! The foxtailhinge daemon, the same on every entry VM.

pub mod admin;
pub mod audit;
pub mod command;
pub mod daemon;
pub mod data;
pub mod error;
pub mod links;
pub mod logging;
pub mod members;
pub mod metrics;
pub mod operations;
pub mod options;
pub mod packets;
pub mod platform;
pub mod signal;
pub mod store;
pub mod supervisor;
pub mod timer;
