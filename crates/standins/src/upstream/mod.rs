//! Stand-in for an upstream: a CoAP server that drains, sheds, starts cold or crashes when a test asks for it.
//!
//! `GET /health` answers `{"healthy":true,"draining":false}` and `GET /load` answers
//! `{"slots":4,"busy":1}`; both can be outdated or wrong on purpose. Every answer contains the incarnation.

pub mod body;
pub mod records;
mod server;
pub mod spec;

use crate::{
    socket,
    upstream::{
        records::Records,
        server::{
            OutgoingDatagram,
            Server, //
        }, //
    }, //
};
use std::{
    io,
    net::{
        SocketAddr,
        UdpSocket, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

pub use server::Endpoints;
pub use spec::{
    ColdStart,
    ServiceTime,
    Spec, //
};

/// Longest interval between checks of the mode, which tests set.
const TICK: Duration = Duration::from_millis(10);

/// State of the simulated process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Serving,
    Frozen,
    Dead,
    Ended,
}

struct Shared {
    addr: SocketAddr,
    server: Mutex<Server>,
    mode: Mutex<Mode>,
}

impl Shared {
    fn mode(&self) -> Mode {
        *self.mode.lock().unwrap()
    }
}

/// Handle to an upstream that a test controls.
pub struct Upstream {
    shared: Arc<Shared>,
}

impl Upstream {
    /// Starts an upstream that listens on `addr`.
    pub fn start(addr: SocketAddr, spec: Spec) -> io::Result<Self> {
        let socket = UdpSocket::bind(addr)?;
        let shared = Arc::new(Shared {
            addr,
            server: Mutex::new(Server::new(spec, Instant::now())),
            mode: Mutex::new(Mode::Serving),
        });
        let inner = shared.clone();
        thread::spawn(move || serve(&inner, socket));
        Ok(Upstream { shared })
    }

    /// Returns the address that the upstream listens on.
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// Returns the name of the upstream.
    pub fn name(&self) -> String {
        self.server().spec.name.clone()
    }

    /// Returns the name of the service.
    pub fn service(&self) -> String {
        self.server().spec.service.clone()
    }

    /// Returns the availability zone.
    pub fn zone(&self) -> String {
        self.server().spec.zone.clone()
    }

    /// Restarts the upstream: a new incarnation that is cold and has no requests or feeds.
    pub fn restart(&self) {
        self.server().restart(Instant::now());
    }

    /// Begins a cold start without a restart.
    pub fn enter_cold_start(&self) {
        self.server().enter_cold_start(Instant::now());
    }

    /// Sets whether every request is shed.
    pub fn shed(&self, sheds: bool) {
        self.server().sheds = sheds;
    }

    /// Sets whether the health endpoint reports that the upstream is draining.
    pub fn drain(&self, draining: bool) {
        self.server().draining = draining;
    }

    /// Pauses the upstream; packets that arrive wait in its socket.
    pub fn freeze(&self) {
        self.set(Mode::Frozen);
    }

    /// Resumes a paused upstream.
    pub fn wake(&self) {
        self.set(Mode::Serving);
    }

    /// Closes the upstream's socket, as when its process crashes: packets to it are refused.
    pub fn kill(&self) {
        self.set(Mode::Dead);
    }

    /// Starts the upstream again after `kill`, as a new incarnation.
    pub fn revive(&self) {
        self.restart();
        self.set(Mode::Serving);
    }

    /// Sets how the health and load endpoints answer.
    pub fn set_endpoints(&self, endpoints: Endpoints) {
        self.server().endpoints = endpoints;
    }

    /// Sets the version of long answers, which changes their ETag.
    pub fn set_version(&self, version: u64) {
        self.server().version = version;
    }

    /// Sets the service times of requests that run from now on.
    pub fn set_service_time(&self, time: ServiceTime) {
        self.server().spec.service_time = time;
    }

    /// Returns whether the upstream is in a cold start.
    pub fn is_cold(&self) -> bool {
        self.server().is_cold(Instant::now())
    }

    /// Returns the number of feeds that the upstream holds.
    pub fn feeds(&self) -> usize {
        self.server().feeds()
    }

    /// Returns how often the POST with this payload ran.
    pub fn runs(&self, id: &str) -> u32 {
        let server = self.server();
        server
            .records
            .posts
            .get(id.as_bytes())
            .copied()
            .unwrap_or(0)
    }

    /// Returns the records so far.
    pub fn records(&self) -> Records {
        self.server().records.clone()
    }

    fn server(&self) -> MutexGuard<'_, Server> {
        self.shared.server.lock().unwrap()
    }

    fn set(&self, mode: Mode) {
        *self.shared.mode.lock().unwrap() = mode;
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.set(Mode::Ended);
    }
}

/// Serves until the handle is dropped; the socket is closed while the mode is `Dead`.
fn serve(shared: &Shared, socket: UdpSocket) {
    let mut socket = Some(socket);
    let mut buf = vec![0; socket::DATAGRAM_MAX];
    loop {
        match shared.mode() {
            Mode::Ended => return,
            Mode::Frozen => thread::sleep(TICK),
            Mode::Dead => {
                socket = None;
                thread::sleep(TICK);
            }
            Mode::Serving => match &socket {
                Some(socket) => serve_once(shared, socket, &mut buf),
                None => socket = Some(rebind(shared.addr)),
            },
        }
    }
}

fn rebind(addr: SocketAddr) -> UdpSocket {
    UdpSocket::bind(addr).expect("the address of a revived upstream could not be bound")
}

fn serve_once(shared: &Shared, socket: &UdpSocket, buf: &mut [u8]) {
    let due = shared.server.lock().unwrap().next_due();
    let left = due.map(|due| due.saturating_duration_since(Instant::now()));
    let wait = left.unwrap_or(TICK).min(TICK);
    let found = socket::read(socket, buf, wait);
    let now = Instant::now();
    let mut server = shared.server.lock().unwrap();
    let mut out = server.tick(now);
    if let Ok(Some((len, from))) = found {
        out.extend(server.receive(now, from, &buf[..len]));
    }
    drop(server);
    send(socket, &out);
}

fn send(socket: &UdpSocket, out: &[OutgoingDatagram]) {
    for (to, buf) in out {
        // Errors are ignored, as on a real network: tests stop daemons on purpose.
        let _ = socket.send_to(buf, to);
    }
}
