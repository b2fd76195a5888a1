//! Reader of the platform's configuration service and VM list. It never writes.

pub mod client;
pub mod message;
pub mod reader;

pub use self::{client::Client, reader::Reader};
