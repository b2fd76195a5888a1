//! Tokens of requests to upstreams and of requests from callers.

use foxtailhinge_wire::coap::Datagram;
use smallvec::SmallVec;
use std::{
    hash::{
        DefaultHasher,
        Hash,
        Hasher, //
    },
    net::SocketAddr,
};

/// Token of a request to an upstream, never used twice by one daemon incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct UpstreamToken(pub(super) u64);

impl UpstreamToken {
    /// Parses the token of an answer; `None` if this daemon cannot have generated it.
    pub(super) fn read(token: &[u8]) -> Option<UpstreamToken> {
        let bytes = token.try_into().ok()?;
        Some(UpstreamToken(u64::from_be_bytes(bytes)))
    }

    /// The token's bytes on the wire.
    pub fn bytes(self) -> [u8; 8] {
        self.0.to_be_bytes()
    }
}

/// Identifies a caller's request and its retransmissions.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CallerToken {
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Token that the caller chose.
    pub token: SmallVec<[u8; 8]>,
}

impl CallerToken {
    /// The identity of `req` from `caller`.
    pub fn of(caller: SocketAddr, req: &Datagram) -> CallerToken {
        CallerToken {
            caller,
            token: SmallVec::from_slice(req.token()),
        }
    }

    /// A hash that is the same on all daemons.
    pub fn stable_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}
