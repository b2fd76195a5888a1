//! Packets on their way from callers to upstreams.

use super::view::View;
use crate::{
    data::socket::Socket,
    logging::Event, //
};
use foxtailhinge_platform::packet::{
    decode,
    recipient,
    reset,
    set_label,
    DATAGRAM_MAX,
    RECIPIENT, //
};
use foxtailhinge_policy::packets::{
    Balancer,
    Packet,
    Verdict, //
};
use rand::rngs::SmallRng;
use std::{
    cell::RefCell,
    io,
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Forwards packets.
#[derive(Debug)]
pub struct Path {
    socket: Socket,
    callers_port: u16,
    balancer: RefCell<Balancer<SmallRng>>,
    view: Rc<View>,
}

impl Path {
    /// A path from the address `listen`, which is bound, to upstreams by `view`.
    pub fn new(
        socket: Socket,
        listen: SocketAddrV4,
        balancer: Balancer<SmallRng>,
        view: Rc<View>,
    ) -> Self {
        Self {
            socket,
            callers_port: listen.port(),
            balancer: RefCell::new(balancer),
            view,
        }
    }

    /// Forwards packets until the socket fails.
    pub async fn run(&self) -> io::Result<()> {
        self.socket
            .read_each(|datagram, _| self.take(datagram), || ())
            .await
    }

    /// Forgets what is no longer of use.
    pub fn tidy(&self, keep: Duration) {
        let now = Instant::now();
        self.view.directory_mut().forget(keep, now);
        self.balancer
            .borrow_mut()
            .forget(&self.view.directory(), now);
    }

    fn take(&self, datagram: &[u8]) {
        let Some(packet) = decode(datagram) else {
            Event::new("packet_malformed")
                .field("bytes", datagram.len())
                .debug();
            return;
        };
        let now = Instant::now();
        let directory = self.view.directory();
        let age = self.view.age(now);
        let verdict = self
            .balancer
            .borrow_mut()
            .decide(&packet, &directory, age, now);
        match verdict {
            Verdict::Forward { id, to, label } => self.forward(datagram, id.0, to, label),
            Verdict::Reset(reason) => {
                self.reset(&packet);
                log_packet("flow_reset", &packet)
                    .field("reason", format!("{reason:?}"))
                    .info();
            }
            Verdict::Drop(reason) => {
                log_packet("packet_dropped", &packet)
                    .field("reason", format!("{reason:?}"))
                    .info();
            }
        }
    }

    fn forward(&self, datagram: &[u8], id: u64, to: SocketAddrV4, label: u32) {
        let mut buf = [0; RECIPIENT + DATAGRAM_MAX];
        let end = RECIPIENT + datagram.len();
        buf[..RECIPIENT].copy_from_slice(&recipient(id));
        buf[RECIPIENT..end].copy_from_slice(datagram);
        set_label(&mut buf[RECIPIENT..end], label);
        self.socket.send_to(&buf[..end], SocketAddr::V4(to));
    }

    fn reset(&self, packet: &Packet) {
        let to = SocketAddrV4::new(*packet.flow.caller.ip(), self.callers_port);
        self.socket.send_to(&reset(packet), SocketAddr::V4(to));
    }
}

fn log_packet(name: &'static str, packet: &Packet) -> Event {
    Event::new(name)
        .field("caller", packet.flow.caller)
        .field("route", packet.flow.route)
        .field("kind", format!("{:?}", packet.kind))
        .field("label", format!("{:08x}", packet.label))
}
