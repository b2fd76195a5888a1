//! Calls of a store that is only read, and the loop that follows its changes.

pub mod client;
pub mod follow;
pub mod http1;
pub mod http2;

pub use self::{
    client::{
        CallLimits,
        Client,
        StoreError,
        Transport, //
    },
    follow::{
        follow,
        BackoffLimits,
        Progress,
        Source, //
    },
    http1::Http1,
    http2::Http2,
};
