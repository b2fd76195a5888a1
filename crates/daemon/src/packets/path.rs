//! Packets on their way from callers to upstreams.

use super::view::View;
use crate::{
    data::socket::Socket,
    logging::Event,
    members::wake::Wake,
    timer::Timer, //
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
    UpstreamId,
    Verdict, //
};
use rand::rngs::SmallRng;
use std::{
    cell::RefCell,
    collections::VecDeque,
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

/// Time without a packet after which nothing is remembered of a flow; it is forwarded by its label all the same.
const IDLE: Duration = Duration::from_secs(15);

/// Most packets that wait at a time.
const HELD_MAX: usize = 4_096;

/// Forwards packets.
#[derive(Debug)]
pub struct Path {
    socket: Socket,
    callers_port: u16,
    balancer: RefCell<Balancer<SmallRng>>,
    view: Rc<View>,
    held: RefCell<VecDeque<(Instant, Vec<u8>)>>,
    wake: Wake,
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
            held: RefCell::default(),
            wake: Wake::default(),
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
        self.balancer.borrow_mut().forget(IDLE, now);
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
            Verdict::Open(choice) => self.forward(datagram, choice.id, choice.to),
            Verdict::Forward { id, to, .. } => self.forward(datagram, id, to),
            Verdict::Wait { until } => self.hold(datagram, until),
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

    /// Keeps a packet until its time has come; without room it is dropped, as the network would.
    fn hold(&self, datagram: &[u8], until: Instant) {
        let mut held = self.held.borrow_mut();
        if held.len() < HELD_MAX {
            held.push_back((until, datagram.to_vec()));
            self.wake.set();
        }
    }

    /// Looks again at packets that had to wait.
    pub async fn run_held(&self, timer: &Rc<Timer>) {
        loop {
            let next = self.held.borrow_mut().pop_front();
            match next {
                Some((until, datagram)) => {
                    timer.sleep_until(until).await;
                    self.take(&datagram);
                }
                None => self.wake.wait().await,
            }
        }
    }

    fn forward(&self, datagram: &[u8], id: UpstreamId, to: SocketAddrV4) {
        let mut buf = [0; RECIPIENT + DATAGRAM_MAX];
        let end = RECIPIENT + datagram.len();
        buf[..RECIPIENT].copy_from_slice(&recipient(id.0));
        buf[RECIPIENT..end].copy_from_slice(datagram);
        set_label(&mut buf[RECIPIENT..end], id.label());
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
