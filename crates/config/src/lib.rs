//! Service documents and daemon settings, read from JSON with comments.
//!
//! Reading is strict: every finding is collected with its place and all of them are reported
//! together, so a text is either taken whole or refused whole.

pub mod bounds;
pub mod check;
pub mod document;
pub mod finding;
pub mod name_pool;
pub mod packet_report;
pub mod packet_settings;
pub mod reader;
pub mod report;
mod seen;
pub mod settings;
