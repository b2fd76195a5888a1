//! Stand-in for a caller: a CoAP client with one flow at a time.

mod exchange;
mod outcome;

pub use outcome::{
    Answer,
    Outcome, //
};

use crate::{
    caller::exchange::Exchange,
    message,
    socket,
    upstream::body::{
        self,
        Headline, //
    }, //
};
use coap_lite::{
    CoapOption,
    MessageClass,
    MessageType,
    Packet,
    RequestType, //
};
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};
use std::{
    collections::HashMap,
    io,
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr,
        UdpSocket, //
    },
    ops::AddAssign,
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        mpsc::{
            self,
            Receiver,
            Sender, //
        },
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

/// Interval at which the receiving thread checks whether the caller was dropped.
const TICK: Duration = Duration::from_millis(50);
/// Largest factor on the time before a first retransmission (RFC 7252, section 4.8).
const ACK_RANDOM_FACTOR: f64 = 1.5;

/// Configuration of a caller.
#[derive(Clone, Debug)]
pub struct CallerSpec {
    /// Service that requests name, so that upstreams detect requests for another service.
    pub service: String,
    /// Destination address of requests.
    pub address: SocketAddr,
    /// Source IP address of requests.
    pub from: IpAddr,
    /// Base time before the first retransmission (RFC 7252, section 4.8).
    pub ack_timeout: Duration,
    /// Upper limit on retransmissions of one message (RFC 7252, section 4.8).
    pub max_retransmit: u32,
    /// Seed of tokens, message ids and retransmission times.
    pub seed: u64,
}

impl CallerSpec {
    /// Returns the configuration of a caller whose retransmissions are early enough for tests.
    pub fn new(service: &str, address: SocketAddr, seed: u64) -> Self {
        CallerSpec {
            service: service.into(),
            address,
            from: IpAddr::V4(Ipv4Addr::LOCALHOST),
            ack_timeout: Duration::from_millis(300),
            max_retransmit: 4,
            seed,
        }
    }
}

/// Counters of a caller: flows, unexpected answers and retransmissions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Flows opened.
    pub flows: u64,
    /// Flows retired by the load balancer.
    pub retired: u64,
    /// Answers to requests that had already ended, duplicates included.
    pub late: u64,
    /// Answers with a token that this caller never used.
    pub foreign: u64,
    /// Answers that name another service.
    pub wrong_service: u64,
    /// Answers that name another request or are incomplete.
    pub wrong_answer: u64,
    /// Messages sent again because no answer came in time.
    pub retransmissions: u64,
    /// Block-wise answers fetched again because their ETag changed between blocks.
    pub changed: u64,
}

/// A change of the upstream that answers a flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Name of the previous upstream.
    pub from: String,
    /// Name of the new upstream.
    pub to: String,
    /// Time of the first answer from the new upstream.
    pub at: Instant,
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.flows += other.flows;
        self.retired += other.retired;
        self.late += other.late;
        self.foreign += other.foreign;
        self.wrong_service += other.wrong_service;
        self.wrong_answer += other.wrong_answer;
        self.retransmissions += other.retransmissions;
        self.changed += other.changed;
    }
}

/// State of a caller's current flow.
struct Flow {
    ticket: Option<Vec<u8>>,
    upstream: Option<String>,
    last_received: Option<Instant>,
    generation: u64,
    next_token: u64,
    first_token: u64,
    next_id: u16,
    rng: SmallRng,
}

/// A message to send, and the generation of its flow.
pub(crate) struct Prepared {
    pub(crate) packet: Packet,
    pub(crate) generation: u64,
}

pub(crate) struct Shared {
    pub(crate) spec: CallerSpec,
    socket: UdpSocket,
    flow: Mutex<Flow>,
    opening: Mutex<()>,
    waiting: Mutex<HashMap<Vec<u8>, Sender<Packet>>>,
    counts: Mutex<Counts>,
    moves: Mutex<Vec<Move>>,
    ended: AtomicBool,
}

/// A caller with one flow at a time to one service.
pub struct Caller {
    pub(crate) shared: Arc<Shared>,
}

impl Caller {
    /// Opens the caller's socket; the first request opens the flow.
    pub fn open(spec: CallerSpec) -> io::Result<Self> {
        let socket = UdpSocket::bind((spec.from, 0))?;
        socket.connect(spec.address)?;
        let mut rng = SmallRng::seed_from_u64(spec.seed);
        let first_token = rng.random::<u64>() >> 1;
        let flow = Flow {
            ticket: None,
            upstream: None,
            last_received: None,
            generation: 0,
            next_token: first_token,
            first_token,
            next_id: rng.random(),
            rng,
        };
        let shared = Arc::new(Shared {
            spec,
            socket,
            flow: Mutex::new(flow),
            opening: Mutex::new(()),
            waiting: Mutex::default(),
            counts: Mutex::default(),
            moves: Mutex::default(),
            ended: AtomicBool::new(false),
        });
        let reader = shared.clone();
        thread::spawn(move || reader.read());
        Ok(Caller { shared })
    }

    /// Sends a GET request.
    pub fn get(&self, path: &str, within: Duration) -> Outcome {
        self.request(RequestType::Get, path, &[], within)
    }

    /// Sends a PUT request.
    pub fn put(&self, path: &str, payload: &[u8], within: Duration) -> Outcome {
        self.request(RequestType::Put, path, payload, within)
    }

    /// Sends a DELETE request.
    pub fn delete(&self, path: &str, within: Duration) -> Outcome {
        self.request(RequestType::Delete, path, &[], within)
    }

    /// Sends a POST request; its payload is the id by which upstreams count executions.
    pub fn post(&self, path: &str, payload: &[u8], within: Duration) -> Outcome {
        self.request(RequestType::Post, path, payload, within)
    }

    /// Sends a request and returns its outcome.
    pub fn request(
        &self,
        method: RequestType,
        path: &str,
        payload: &[u8],
        within: Duration,
    ) -> Outcome {
        let exchange = Exchange {
            shared: &self.shared,
            method,
            path,
            payload,
            began: Instant::now(),
            expires: Instant::now() + within,
        };
        exchange.run()
    }

    /// Returns the flow ticket for the next request.
    pub fn ticket(&self) -> Option<Vec<u8>> {
        self.shared.flow().ticket.clone()
    }

    /// Sets the flow ticket for the next request.
    pub fn set_ticket(&self, ticket: Option<Vec<u8>>) {
        self.shared.flow().ticket = ticket;
    }

    /// Drops the flow, so that the next request opens a new one.
    pub fn release(&self) {
        let mut flow = self.shared.flow();
        flow.generation += 1;
        flow.ticket = None;
        flow.upstream = None;
        flow.last_received = None;
    }

    /// Returns the name of the upstream that last answered the flow.
    pub fn upstream(&self) -> Option<String> {
        self.shared.flow().upstream.clone()
    }

    /// Returns the time of the flow's last answer.
    pub fn last_received(&self) -> Option<Instant> {
        self.shared.flow().last_received
    }

    /// Returns the local address, which daemons see unless a fabric is in between.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.shared.socket.local_addr()
    }

    /// Sends a datagram with arbitrary content to the service's address.
    pub fn send_raw(&self, buf: &[u8]) -> io::Result<usize> {
        self.shared.socket.send(buf)
    }

    /// Returns all moves of the caller's flows between upstreams.
    pub fn moves(&self) -> Vec<Move> {
        self.shared.moves.lock().unwrap().clone()
    }

    /// Returns a copy of the counters.
    pub fn counts(&self) -> Counts {
        *self.shared.counts()
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.shared.ended.store(true, Ordering::Relaxed);
    }
}

impl Shared {
    fn flow(&self) -> MutexGuard<'_, Flow> {
        self.flow.lock().unwrap()
    }

    pub(crate) fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap()
    }

    /// Receives answers until the caller is dropped.
    fn read(&self) {
        let mut buf = vec![0; socket::DATAGRAM_MAX];
        while !self.ended.load(Ordering::Relaxed) {
            let Ok(Some((len, _))) = socket::read(&self.socket, &mut buf, TICK) else {
                continue;
            };
            if let Ok(packet) = Packet::from_bytes(&buf[..len]) {
                self.dispatch(packet);
            }
        }
    }

    fn dispatch(&self, packet: Packet) {
        if message::code(&packet).is_none() {
            return;
        }
        let waiting = self.waiting.lock().unwrap();
        if let Some(tx) = waiting.get(packet.get_token()) {
            // The request may have ended in the meantime; its answer is then dropped.
            let _ = tx.send(packet);
            return;
        }
        drop(waiting);
        self.count_unexpected(&packet);
        if packet.header.get_type() == MessageType::NonConfirmable {
            self.send(&message::reset(packet.header.message_id));
        }
    }

    fn count_unexpected(&self, packet: &Packet) {
        let flow = self.flow();
        let token: Result<[u8; 8], _> = packet.get_token().try_into();
        let matches = token.is_ok_and(|token| {
            (flow.first_token..flow.next_token).contains(&u64::from_be_bytes(token))
        });
        drop(flow);
        let mut counts = self.counts();
        match matches {
            true => counts.late += 1,
            false => counts.foreign += 1,
        }
    }

    pub(crate) fn send(&self, packet: &Packet) {
        let buf = packet
            .to_bytes()
            .expect("the request of the stand-in is too long to encode");
        // Tests stop services on purpose; the retransmission covers a failed send.
        let _ = self.socket.send(&buf);
    }

    /// Returns a token that this caller has not used before.
    pub(crate) fn new_token(&self) -> Vec<u8> {
        let mut flow = self.flow();
        let token = flow.next_token;
        flow.next_token += 1;
        token.to_be_bytes().to_vec()
    }

    /// Returns a channel that receives the answers with this token.
    pub(crate) fn wait_for(&self, token: &[u8]) -> Receiver<Packet> {
        let (tx, rx) = mpsc::channel();
        self.waiting.lock().unwrap().insert(token.to_vec(), tx);
        rx
    }

    /// Stops delivering answers with this token.
    pub(crate) fn stop_waiting(&self, token: &[u8]) {
        self.waiting.lock().unwrap().remove(token);
    }

    /// Builds a confirmable request with the flow's current ticket.
    pub(crate) fn prepare(&self, method: RequestType, path: &str, token: &[u8]) -> Prepared {
        let mut flow = self.flow();
        let mut packet = Packet::new();
        packet.header.set_type(MessageType::Confirmable);
        packet.header.message_id = flow.next_id;
        packet.header.code = MessageClass::Request(method);
        packet.set_token(token.to_vec());
        message::put_path(&mut packet, path);
        if let Some(ticket) = &flow.ticket {
            message::put_bytes(&mut packet, CoapOption::Unknown(message::ECHO), ticket);
        }
        flow.next_id = flow.next_id.wrapping_add(1);
        Prepared {
            packet,
            generation: flow.generation,
        }
    }

    /// Draws the time before the first retransmission.
    pub(crate) fn initial_timeout(&self) -> Duration {
        let factor = self.flow().rng.random_range(1.0..ACK_RANDOM_FACTOR);
        self.spec.ack_timeout.mul_f64(factor)
    }

    /// Stores the ticket of an answer, unless the flow has ended after the request was sent.
    pub(crate) fn update_ticket(&self, packet: &Packet, generation: u64) {
        let Some(ticket) = message::ticket(packet) else {
            return;
        };
        let mut flow = self.flow();
        if flow.generation != generation {
            return;
        }
        let first = flow.ticket.replace(ticket.to_vec()).is_none();
        drop(flow);
        if first {
            self.counts().flows += 1;
        }
    }

    /// Ends the flow of a request, unless a newer flow has replaced it.
    pub(crate) fn retire(&self, generation: u64) {
        let mut flow = self.flow();
        if flow.generation != generation {
            return;
        }
        flow.generation += 1;
        flow.upstream = None;
        flow.last_received = None;
        let had_ticket = flow.ticket.take().is_some();
        drop(flow);
        if had_ticket {
            self.counts().retired += 1;
        }
    }

    /// Checks that an answer belongs to this request and service, and records its upstream.
    pub(crate) fn check(&self, payload: &[u8], path: &str, id: &str, generation: u64) {
        let Some(line) = Headline::parse(payload) else {
            self.counts().wrong_answer += 1;
            return;
        };
        let long = line.id == "-";
        let matches = line.path == path
            && if long {
                body::is_whole(payload)
            } else {
                line.id == id
            };
        let service = line.service == self.spec.service;
        self.record_upstream(line.upstream, generation);
        let mut counts = self.counts();
        counts.wrong_answer += u64::from(!matches);
        counts.wrong_service += u64::from(!service);
    }

    fn record_upstream(&self, upstream: String, generation: u64) {
        let mut flow = self.flow();
        if flow.generation != generation {
            return;
        }
        let now = Instant::now();
        flow.last_received = Some(now);
        let before = flow.upstream.replace(upstream.clone());
        drop(flow);
        let previous = before.filter(|before| *before != upstream);
        if let Some(from) = previous {
            self.moves.lock().unwrap().push(Move {
                from,
                to: upstream,
                at: now,
            });
        }
    }
}

/// Formats bytes as hexadecimal digits.
pub fn hex(buf: &[u8]) -> String {
    buf.iter().map(|byte| format!("{byte:02x}")).collect()
}
