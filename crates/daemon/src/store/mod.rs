//! Calls of a store that is only read, and the loop that follows its changes.

pub mod client;
pub mod follow;

pub use self::client::{
    Client,
    StoreError, //
};
