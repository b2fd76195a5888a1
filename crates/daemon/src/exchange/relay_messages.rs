//! Sends and receives sealed messages between daemons.

use crate::{
    exchange::path::DataPath,
    members::prober::RelaySender, //
};
use foxtailhinge_wire::message::RelayMessage;
use std::{
    io,
    net::SocketAddr,
    rc::Rc, //
};

impl DataPath {
    /// Reads the relay socket until it fails.
    pub async fn read_relay(self: Rc<Self>) -> io::Result<()> {
        let handle = |buf: &[u8], from| self.on_sealed(buf, from);
        self.relay.socket.read_each(handle, || {}).await
    }

    fn on_sealed(self: &Rc<Self>, buf: &[u8], addr: SocketAddr) {
        let Ok(opened) = self.relay.keys.open::<RelayMessage>(self.me, buf) else {
            self.metrics.peers_refused.inc();
            return;
        };
        if self.control.is_denied_hash(opened.from) {
            return;
        }
        self.metrics.relay_received.inc();
        self.prober().on_received(opened.from);
        self.on_relay(opened.from, addr, opened.message);
    }

    /// Seals and sends a message to the daemon with this hash of its VM id.
    pub fn send_to(&self, to: u32, addr: SocketAddr, msg: &RelayMessage) {
        if self.control.is_denied_hash(to) {
            return;
        }
        let sealed = self.relay.keys.seal(self.me, self.incarnation, to, msg);
        self.relay.socket.send_to(&sealed, addr);
    }
}

impl RelaySender for Rc<DataPath> {
    fn send(&self, to: u32, addr: SocketAddr, message: &RelayMessage) {
        self.send_to(to, addr, message);
    }
}
