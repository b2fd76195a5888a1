//! Service documents and daemon settings, read from JSON with comments.
//!
//! Parsing is strict: all findings of a text are collected with their positions and reported
//! together, and a text with any finding is refused as a whole.

pub mod bounds;
pub mod check;
pub mod configuration;
pub mod configuration_check;
pub mod configuration_difference;
pub mod document;
pub mod finding;
pub mod name_pool;
pub mod packet_report;
pub mod packet_settings;
pub mod reader;
pub mod report;
mod seen;
pub mod settings;
