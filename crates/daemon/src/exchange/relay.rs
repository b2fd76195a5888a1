//! The UDP socket between daemons.

use crate::socket::Socket;
use foxtailhinge_wire::envelope::PeerKeys;
use std::{
    io,
    net::SocketAddr, //
};

/// The UDP socket of the relay and the keys that seal its datagrams.
#[derive(Debug)]
pub struct Relay {
    /// Socket for datagrams to and from all other daemons.
    pub socket: Socket,
    /// Keys that seal outgoing datagrams and open incoming ones.
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
