//! Links between daemons, which carry documents, members and ownership requests over HTTP/2.
//!
//! Each link is one TCP connection with prior-knowledge HTTP/2. Each request is one stream; the
//! bodies of the request and of the response are authenticated messages. Links are opened on demand,
//! limited in number, and closed when idle.

pub mod budget;
pub mod client;
pub mod compare;
pub mod message;
pub mod push;
pub mod server;
pub(crate) mod transport;

pub use self::{
    client::{
        LinkError,
        Links, //
    },
    message::{
        LinkReply,
        LinkRequest, //
    },
    server::{
        LinkHandler,
        Server, //
    },
};
