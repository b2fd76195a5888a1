//! Read-only HTTP client of a store, and the loop that lists its contents and then watches for changes.

pub mod client;
pub mod follow;
pub mod http1;
pub mod http2;

pub use self::{
    client::{
        ok_body,
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
