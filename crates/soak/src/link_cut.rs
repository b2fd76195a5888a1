//! Cut of the links between daemons, by listeners that never answer beside that of a daemon.

use foxtailhinge_standins::socket;
use std::{
    io,
    net::{
        SocketAddrV4,
        TcpListener, //
    },
};

/// Number of listeners beside that of a daemon: of eight new links to it, seven are not answered.
const LISTENERS: usize = 7;

/// Leaves most new links to a daemon unanswered until it is dropped.
#[derive(Debug)]
pub(crate) struct LinkCut {
    _listeners: Vec<TcpListener>,
}

impl LinkCut {
    /// Cuts the links to the daemon that listens at `addr`.
    pub(crate) fn start(addr: SocketAddrV4) -> io::Result<Self> {
        let listeners = (0..LISTENERS).map(|_| socket::listen_beside(addr));
        Ok(Self {
            _listeners: listeners.collect::<io::Result<_>>()?,
        })
    }
}
