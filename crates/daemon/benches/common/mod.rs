//! Two daemon processes in one zone, upstreams that answer at once, and a caller with many flows.
#![allow(dead_code)]

use foxtailhinge_standins::fleet::Fleet;
use foxtailhinge_wire::coap::{
    Datagram,
    Kind,
    Method,
    Status, //
};
use std::{
    collections::HashMap,
    fs,
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr,
        UdpSocket, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// Number of upstreams of the service under test.
const UPSTREAMS: usize = 6;

/// Port of the first service at each daemon.
const SERVICE_PORT: u16 = 5601;

/// Time without a response after which a request is retransmitted.
const RESEND_TIMEOUT: Duration = Duration::from_millis(500);

/// Receive buffer size, in bytes.
const DATAGRAM_MAX: usize = 2048;

/// Length of an answer's payload, in bytes.
const PAYLOAD_LEN: usize = 100;

/// Length of a CoAP message's fixed header before the token (RFC 7252).
const HEADER_LEN: usize = 4;

/// Starts two daemons in front of upstreams that answer at once.
pub(crate) fn fleet() -> Fleet {
    Fleet::builder()
        .daemons(2)
        .zones(1)
        .upstreams(UPSTREAMS, 1)
        .binary(env!("CARGO_BIN_EXE_foxtailhinge"))
        .edit(|doc| {
            if doc.service != "syncdesk-api" {
                return;
            }
            doc.cold_start.slots = 1_000;
            doc.cold_start.connections = 2_000;
            for entry in &mut doc.upstreams {
                entry.slots = 1_000;
                entry.connections = 2_000;
                entry.address = quick_addr(entry.address);
                serve(entry.address);
            }
        })
        .start()
        .unwrap()
}

/// Returns the address of the quick upstream that replaces the fleet's own one at `addr`.
fn quick_addr(addr: SocketAddr) -> SocketAddr {
    let IpAddr::V4(ip) = addr.ip() else {
        panic!("the stand-ins use IPv4");
    };
    let [a, b, c, d] = ip.octets();
    (Ipv4Addr::new(a, b, c, d + 50), addr.port()).into()
}

/// Starts a thread that answers each request at `addr` at once.
pub(crate) fn serve(addr: SocketAddr) {
    let socket = UdpSocket::bind(addr).unwrap();
    thread::spawn(move || {
        let mut buf = [0; DATAGRAM_MAX];
        let mut rsp = Vec::with_capacity(DATAGRAM_MAX);
        loop {
            let Ok((len, from)) = socket.recv_from(&mut buf) else {
                continue;
            };
            let token = usize::from(buf[0] & 0x0f);
            if len < HEADER_LEN + token {
                continue;
            }
            rsp.clear();
            // Version 1, non-confirmable, 2.05.
            rsp.extend_from_slice(&[0x50 | token as u8, 0x45, buf[2], buf[3]]);
            rsp.extend_from_slice(&buf[HEADER_LEN..HEADER_LEN + token]);
            rsp.push(0xff);
            rsp.extend_from_slice(&[b'x'; PAYLOAD_LEN]);
            let _ = socket.send_to(&rsp, from);
        }
    });
}

/// Addresses of the service under test at each daemon, and of its first upstream.
pub(crate) struct Addresses {
    pub(crate) daemons: [SocketAddr; 2],
    pub(crate) upstream: SocketAddr,
}

impl Addresses {
    pub(crate) fn of(fleet: &Fleet) -> Addresses {
        let first = fleet.upstreams()[0].addr();
        let IpAddr::V4(ip) = first.ip() else {
            panic!("the stand-ins use IPv4");
        };
        let [a, b, c, _] = ip.octets();
        let daemon = |host| (Ipv4Addr::new(a, b, c, host), SERVICE_PORT).into();
        Addresses {
            daemons: [daemon(1), daemon(2)],
            upstream: quick_addr(first),
        }
    }
}

/// A flow of a caller.
pub(crate) struct Flow {
    ticket: Vec<u8>,
    /// Address of the flow's owner, from which its answers come.
    pub(crate) owner: SocketAddr,
}

/// A caller with one socket.
pub(crate) struct Caller {
    socket: UdpSocket,
    next: u32,
}

impl Caller {
    pub(crate) fn new() -> Caller {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(RESEND_TIMEOUT)).unwrap();
        Caller { socket, next: 0 }
    }

    fn request(&mut self, ticket: Option<&[u8]>) -> (u32, Vec<u8>) {
        self.next += 1;
        let mut req = Datagram::request(Method::Get, "/cues")
            .with_kind(Kind::Non)
            .with_message_id(self.next as u16)
            .with_token(&self.next.to_be_bytes());
        if let Some(ticket) = ticket {
            req.set_echo(ticket);
        }
        (self.next, req.to_bytes())
    }

    fn receive(&self) -> Option<(u32, Datagram, SocketAddr)> {
        let mut buf = [0; DATAGRAM_MAX];
        let (len, from) = self.socket.recv_from(&mut buf).ok()?;
        let rsp = Datagram::parse(&buf[..len]).ok()?;
        let token = rsp.token().try_into().ok()?;
        Some((u32::from_be_bytes(token), rsp, from))
    }

    /// Opens `n` flows through `ingress` that belong to `owner`.
    pub(crate) fn open(&mut self, n: usize, ingress: SocketAddr, owner: SocketAddr) -> Vec<Flow> {
        let mut flows = Vec::new();
        while flows.len() < n {
            let (sent, req) = self.request(None);
            self.socket.send_to(&req, ingress).unwrap();
            let Some((token, rsp, from)) = self.receive() else {
                continue;
            };
            let challenged = rsp.status() == Some(Status::Unauthorized);
            match rsp.echo() {
                Some(ticket) if token == sent && challenged && from == owner => {
                    let ticket = ticket.to_vec();
                    flows.push(Flow { ticket, owner });
                }
                _ => {}
            }
        }
        flows
    }

    /// Sends one request to `ingress` and returns the time until its answer, or `None` after a timeout.
    pub(crate) fn ask(&mut self, flow: &mut Flow, ingress: SocketAddr) -> Option<Duration> {
        let (sent, req) = self.request(Some(&flow.ticket));
        let began = Instant::now();
        self.socket.send_to(&req, ingress).unwrap();
        loop {
            let (token, rsp, from) = self.receive()?;
            if token != sent || rsp.status() != Some(Status::Content) {
                continue;
            }
            let took = began.elapsed();
            flow.ticket = rsp.echo()?.to_vec();
            flow.owner = from;
            return Some(took);
        }
    }

    /// Sends one request without a ticket and returns the time until any answer, or `None` after a timeout.
    pub(crate) fn ask_plain(&mut self, to: SocketAddr) -> Option<Duration> {
        let (sent, req) = self.request(None);
        let began = Instant::now();
        self.socket.send_to(&req, to).unwrap();
        loop {
            let (token, ..) = self.receive()?;
            if token == sent {
                return Some(began.elapsed());
            }
        }
    }

    /// Keeps one request of each flow in progress for `time`; returns the number of answers.
    pub(crate) fn run_load(
        &mut self,
        flows: &mut [Flow],
        ingress: SocketAddr,
        time: Duration,
    ) -> u64 {
        let mut waiting = HashMap::new();
        let began = Instant::now();
        let mut answers = 0;
        let mut refused = 0;
        while began.elapsed() < time {
            if waiting.is_empty() {
                for (at, flow) in flows.iter().enumerate() {
                    let (token, req) = self.request(Some(&flow.ticket));
                    let _ = self.socket.send_to(&req, ingress);
                    waiting.insert(token, at);
                }
            }
            let Some((token, rsp, _)) = self.receive() else {
                waiting.clear();
                continue;
            };
            let Some(at) = waiting.remove(&token) else {
                continue;
            };
            if rsp.status() == Some(Status::Content) {
                answers += 1;
            } else {
                refused += 1;
            }
            if let Some(ticket) = rsp.echo() {
                flows[at].ticket = ticket.to_vec();
            }
            let (token, req) = self.request(Some(&flows[at].ticket));
            let _ = self.socket.send_to(&req, ingress);
            waiting.insert(token, at);
        }
        assert!(
            refused * 1_000 <= answers,
            "{refused} refused, {answers} answered"
        );
        answers
    }

    /// Keeps `n` requests without a ticket in progress for `time`; returns the number of answers.
    pub(crate) fn run_load_plain(&mut self, n: usize, to: SocketAddr, time: Duration) -> u64 {
        let began = Instant::now();
        let (mut answers, mut waiting) = (0, 0);
        while began.elapsed() < time {
            while waiting < n {
                let (_, req) = self.request(None);
                let _ = self.socket.send_to(&req, to);
                waiting += 1;
            }
            match self.receive() {
                Some(_) => {
                    answers += 1;
                    waiting -= 1;
                }
                None => waiting = 0,
            }
        }
        answers
    }
}

/// Returns the processor time of a process as counted by the kernel.
pub(crate) fn cpu_of(pid: u32) -> Duration {
    let text = fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap();
    let ns = text.split_whitespace().next().unwrap().parse().unwrap();
    // The daemon has one thread.
    Duration::from_nanos(ns)
}

/// Returns the pid of this process's child that runs the daemon with the VM id `vm`.
pub(crate) fn pid_of(vm: &str) -> u32 {
    let me = std::process::id();
    let found = fs::read_dir("/proc").unwrap().flatten().find_map(|entry| {
        let pid: u32 = entry.file_name().to_str()?.parse().ok()?;
        let stat = fs::read_to_string(entry.path().join("stat")).ok()?;
        let parent: u32 = stat
            .rsplit(')')
            .next()?
            .split_whitespace()
            .nth(1)?
            .parse()
            .ok()?;
        let args = fs::read_to_string(entry.path().join("cmdline")).ok()?;
        let named = args.contains(&format!("{vm}."));
        (parent == me && named).then_some(pid)
    });
    found.expect("the daemon runs as a child of this process")
}

/// Returns a duration in microseconds.
pub(crate) fn us(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}
