//! The UDP socket between daemons.

use crate::socket::Socket;
use foxtailhinge_wire::envelope::PeerKeys;
use std::{
    io,
    net::SocketAddr, //
};

/// The relay's socket and the keys that seal its datagrams.
#[derive(Debug)]
pub struct Relay {
    /// The socket.
    pub socket: Socket,
    /// The keys.
    pub keys: PeerKeys,
}

impl Relay {
    /// Binds the relay; errors are those of the operating system.
    pub fn bind(addr: SocketAddr, keys: PeerKeys) -> io::Result<Relay> {
        Ok(Relay {
            socket: Socket::bind(addr)?,
            keys,
        })
    }
}
