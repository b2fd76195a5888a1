//! Service documents and daemon settings, read from JSON with comments.

pub mod document;
pub mod finding;
pub mod reader;
pub mod settings;
