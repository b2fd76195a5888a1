//! Stand-in for a caller: a CoAP client that holds one flow.

use crate::{
    feed::Feed,
    message::{
        self,
        Block, //
    },
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
    RequestType,
    ResponseType, //
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

/// Time between looks at whether the caller was dropped.
const TICK: Duration = Duration::from_millis(50);
/// Times that one request is repeated for a ticket or a changed ETag.
const MAX_REPEATS: u32 = 8;
/// Largest factor on the time before a first retransmission (RFC 7252, section 4.8).
const ACK_RANDOM_FACTOR: f64 = 1.5;

/// What a caller is like.
#[derive(Clone, Debug)]
pub struct CallerSpec {
    /// Service that it means, which upstreams compare with their own.
    pub service: String,
    /// Address that it sends to.
    pub address: SocketAddr,
    /// IP number that it sends from.
    pub from: IpAddr,
    /// Time before a first retransmission (RFC 7252, section 4.8).
    pub ack_timeout: Duration,
    /// Retransmissions of one message (RFC 7252, section 4.8).
    pub max_retransmit: u32,
    /// Seed of its tokens, message ids and retransmission times.
    pub seed: u64,
}

impl CallerSpec {
    /// Describes a caller of a service, with retransmissions soon enough for tests.
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

/// A whole answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Its code.
    pub code: ResponseType,
    /// Its payload, put together from all blocks.
    pub payload: Vec<u8>,
    /// Number of blocks it came in.
    pub blocks: u32,
    /// Time from the first packet to the whole answer.
    pub took: Duration,
}

impl Answer {
    /// Reads who answered what.
    pub fn headline(&self) -> Option<Headline> {
        Headline::parse(&self.payload)
    }

    /// Returns the name of the upstream that answered.
    pub fn upstream(&self) -> Option<String> {
        self.headline().map(|line| line.upstream)
    }
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The whole answer came.
    Answered(Answer),
    /// The request was not run (5.03).
    NotRun {
        /// When to come back.
        come_back: Duration,
    },
    /// The request may have run or not (5.04).
    Unknown,
    /// The flow was given up (4.01 without a ticket); the next request begins a new one.
    GivenUp,
    /// No answer came in time.
    TimedOut,
}

impl Outcome {
    /// Returns the answer, if there is one.
    pub fn answer(self) -> Option<Answer> {
        match self {
            Outcome::Answered(answer) => Some(answer),
            _ => None,
        }
    }

    /// Returns a word that names the outcome.
    pub fn name(&self) -> &'static str {
        match self {
            Outcome::Answered(_) => "answered",
            Outcome::NotRun { .. } => "not run",
            Outcome::Unknown => "unknown",
            Outcome::GivenUp => "given up",
            Outcome::TimedOut => "timed out",
        }
    }
}

/// What a caller saw that it should not see, and how often it sent again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Flows that it began.
    pub flows: u64,
    /// Flows that were given up by the system.
    pub given_up: u64,
    /// Answers to a request that was already over, copies included.
    pub late: u64,
    /// Answers with a token that it never used.
    pub foreign: u64,
    /// Answers that name another service.
    pub wrong_service: u64,
    /// Answers that name another request or are not whole.
    pub wrong_answer: u64,
    /// Retransmissions.
    pub retransmissions: u64,
    /// Longer answers that were fetched anew, because their ETag changed between blocks.
    pub changed: u64,
}

/// A flow that was answered by another upstream than before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Upstream before.
    pub from: String,
    /// Upstream now.
    pub to: String,
    /// When the first answer of the new one came.
    pub at: Instant,
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.flows += other.flows;
        self.given_up += other.given_up;
        self.late += other.late;
        self.foreign += other.foreign;
        self.wrong_service += other.wrong_service;
        self.wrong_answer += other.wrong_answer;
        self.retransmissions += other.retransmissions;
        self.changed += other.changed;
    }
}

/// The flow that a caller holds.
struct Flow {
    ticket: Option<Vec<u8>>,
    upstream: Option<String>,
    heard: Option<Instant>,
    generation: u64,
    next_token: u64,
    first_token: u64,
    next_id: u16,
    rng: SmallRng,
}

/// One message to send, and the generation of the flow it belongs to.
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

/// A caller that holds one flow of one service.
pub struct Caller {
    shared: Arc<Shared>,
}

impl Caller {
    /// Opens the caller's socket; the flow itself begins with the first request.
    pub fn open(spec: CallerSpec) -> io::Result<Self> {
        let socket = UdpSocket::bind((spec.from, 0))?;
        socket.connect(spec.address)?;
        let mut rng = SmallRng::seed_from_u64(spec.seed);
        let first_token = rng.random::<u64>() >> 1;
        let flow = Flow {
            ticket: None,
            upstream: None,
            heard: None,
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

    /// Fetches a path.
    pub fn get(&self, path: &str, within: Duration) -> Outcome {
        self.request(RequestType::Get, path, &[], within)
    }

    /// Replaces what is at a path.
    pub fn put(&self, path: &str, payload: &[u8], within: Duration) -> Outcome {
        self.request(RequestType::Put, path, payload, within)
    }

    /// Deletes what is at a path.
    pub fn delete(&self, path: &str, within: Duration) -> Outcome {
        self.request(RequestType::Delete, path, &[], within)
    }

    /// Sends a non-idempotent request; its payload is the id by which upstreams count its runs.
    pub fn post(&self, path: &str, payload: &[u8], within: Duration) -> Outcome {
        self.request(RequestType::Post, path, payload, within)
    }

    /// Holds a feed open until it is dropped.
    pub fn feed(&self, path: &str) -> Feed {
        Feed::open(self.shared.clone(), path)
    }

    /// Sends a request and returns what became of it.
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

    /// Returns the ticket that the next request carries.
    pub fn ticket(&self) -> Option<Vec<u8>> {
        self.shared.flow().ticket.clone()
    }

    /// Sets the ticket that the next request carries.
    pub fn set_ticket(&self, ticket: Option<Vec<u8>>) {
        self.shared.flow().ticket = ticket;
    }

    /// Forgets the flow, so that the next request begins a new one.
    pub fn release(&self) {
        let mut flow = self.shared.flow();
        flow.generation += 1;
        flow.ticket = None;
        flow.upstream = None;
        flow.heard = None;
    }

    /// Returns the upstream that the flow reaches.
    pub fn upstream(&self) -> Option<String> {
        self.shared.flow().upstream.clone()
    }

    /// Returns when the flow had its last answer.
    pub fn heard(&self) -> Option<Instant> {
        self.shared.flow().heard
    }

    /// Returns the address that daemons see when no fabric lies between.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.shared.socket.local_addr()
    }

    /// Sends any bytes to the service's address.
    pub fn send_raw(&self, buf: &[u8]) -> io::Result<usize> {
        self.shared.socket.send(buf)
    }

    /// Returns the moves of its flows between upstreams.
    pub fn moves(&self) -> Vec<Move> {
        self.shared.moves.lock().unwrap().clone()
    }

    /// Returns the counters.
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

    /// Hands answers to the requests that wait for them.
    fn read(&self) {
        let mut buf = vec![0; socket::DATAGRAM];
        while !self.ended.load(Ordering::Relaxed) {
            let Ok(Some((len, _))) = socket::read(&self.socket, &mut buf, TICK) else {
                continue;
            };
            if let Ok(packet) = Packet::from_bytes(&buf[..len]) {
                self.take(packet);
            }
        }
    }

    fn take(&self, packet: Packet) {
        if message::code(&packet).is_none() {
            return;
        }
        let waiting = self.waiting.lock().unwrap();
        if let Some(tx) = waiting.get(packet.get_token()) {
            // A request that ended just now takes no more answers.
            let _ = tx.send(packet);
            return;
        }
        drop(waiting);
        self.count_stray(&packet);
        if packet.header.get_type() == MessageType::NonConfirmable {
            self.send(&message::reset(packet.header.message_id));
        }
    }

    fn count_stray(&self, packet: &Packet) {
        let flow = self.flow();
        let token: Result<[u8; 8], _> = packet.get_token().try_into();
        let own = token.is_ok_and(|token| {
            (flow.first_token..flow.next_token).contains(&u64::from_be_bytes(token))
        });
        drop(flow);
        let mut counts = self.counts();
        match own {
            true => counts.late += 1,
            false => counts.foreign += 1,
        }
    }

    pub(crate) fn send(&self, packet: &Packet) {
        let buf = packet
            .to_bytes()
            .expect("a request of the stand-in is too long");
        // A service that is gone is a case under test; the retransmission follows.
        let _ = self.socket.send(&buf);
    }

    /// Returns a token that was never used.
    pub(crate) fn new_token(&self) -> Vec<u8> {
        let mut flow = self.flow();
        let token = flow.next_token;
        flow.next_token += 1;
        token.to_be_bytes().to_vec()
    }

    /// Directs answers with a token to a channel.
    pub(crate) fn wait_for(&self, token: &[u8]) -> Receiver<Packet> {
        let (tx, rx) = mpsc::channel();
        self.waiting.lock().unwrap().insert(token.to_vec(), tx);
        rx
    }

    /// Stops waiting for a token.
    pub(crate) fn forget(&self, token: &[u8]) {
        self.waiting.lock().unwrap().remove(token);
    }

    /// Builds a confirmable request of the flow as it is now.
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

    /// Draws the time before a first retransmission.
    pub(crate) fn first_wait(&self) -> Duration {
        let factor = self.flow().rng.random_range(1.0..ACK_RANDOM_FACTOR);
        self.spec.ack_timeout.mul_f64(factor)
    }

    /// Takes the ticket of an answer, unless the flow has ended since the request.
    pub(crate) fn renew(&self, packet: &Packet, generation: u64) {
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

    /// Ends the flow that a request belonged to, unless it has ended since.
    pub(crate) fn give_up(&self, generation: u64) {
        let mut flow = self.flow();
        if flow.generation != generation {
            return;
        }
        flow.generation += 1;
        flow.upstream = None;
        flow.heard = None;
        let held = flow.ticket.take().is_some();
        drop(flow);
        if held {
            self.counts().given_up += 1;
        }
    }

    /// Checks that an answer is one to this request, from the flow's own upstream.
    pub(crate) fn check(&self, payload: &[u8], path: &str, id: &str, generation: u64) {
        let Some(line) = Headline::parse(payload) else {
            self.counts().wrong_answer += 1;
            return;
        };
        let long = line.id == "-";
        let own = line.path == path
            && if long {
                body::is_whole(payload)
            } else {
                line.id == id
            };
        let service = line.service == self.spec.service;
        self.note_upstream(line.upstream, generation);
        let mut counts = self.counts();
        counts.wrong_answer += u64::from(!own);
        counts.wrong_service += u64::from(!service);
    }

    fn note_upstream(&self, upstream: String, generation: u64) {
        let mut flow = self.flow();
        if flow.generation != generation {
            return;
        }
        let now = Instant::now();
        flow.heard = Some(now);
        let before = flow.upstream.replace(upstream.clone());
        drop(flow);
        let left = before.filter(|before| *before != upstream);
        if let Some(from) = left {
            self.moves.lock().unwrap().push(Move {
                from,
                to: upstream,
                at: now,
            });
        }
    }
}

/// One request with all its messages.
struct Exchange<'a> {
    shared: &'a Shared,
    method: RequestType,
    path: &'a str,
    payload: &'a [u8],
    began: Instant,
    expires: Instant,
}

/// What one message of a request led to.
enum Step {
    Done(Outcome),
    Repeat,
    Content { packet: Packet, generation: u64 },
}

impl Exchange<'_> {
    fn run(&self) -> Outcome {
        for _ in 0..MAX_REPEATS {
            match self.whole() {
                Step::Done(outcome) => return outcome,
                Step::Repeat => {}
                Step::Content { .. } => unreachable!("a whole answer is done"),
            }
        }
        Outcome::TimedOut
    }

    /// Fetches the answer with all its blocks.
    fn whole(&self) -> Step {
        let id = hex(&self.shared.new_token());
        let (first, generation) = match self.step(None, &id) {
            Step::Content { packet, generation } => (packet, generation),
            other => return other,
        };
        let code = message::code(&first).unwrap_or(ResponseType::Content);
        let tag = message::bytes(&first, CoapOption::ETag).map(<[u8]>::to_vec);
        let mut block = Block::of(&first);
        let mut payload = first.payload;
        let mut blocks = 1;
        while let Some(last) = block.filter(|block| block.more) {
            let next = Block {
                number: last.number + 1,
                more: false,
                ..last
            };
            let packet = match self.step(Some(next), &id) {
                Step::Content { packet, .. } => packet,
                other => return other,
            };
            if message::bytes(&packet, CoapOption::ETag) != tag.as_deref() {
                self.shared.counts().changed += 1;
                return Step::Repeat;
            }
            block = Block::of(&packet);
            payload.extend_from_slice(&packet.payload);
            blocks += 1;
        }
        self.shared.check(&payload, self.path, &id, generation);
        Step::Done(Outcome::Answered(Answer {
            code,
            payload,
            blocks,
            took: self.began.elapsed(),
        }))
    }

    /// Sends one message, opening the flow first when there is none.
    fn step(&self, block: Option<Block>, id: &str) -> Step {
        let opening = self.shared.opening.lock().unwrap();
        if self.shared.flow().ticket.is_some() {
            drop(opening);
            return self.send(block, id);
        }
        self.send(block, id)
    }

    fn send(&self, block: Option<Block>, id: &str) -> Step {
        let token = self.shared.new_token();
        let Prepared {
            mut packet,
            generation,
        } = self.shared.prepare(self.method, self.path, &token);
        message::put_queries(&mut packet, &self.shared.spec.service, id);
        packet.payload = self.payload.to_vec();
        if let Some(block) = block {
            block.put(&mut packet);
        }
        let rx = self.shared.wait_for(&token);
        let answer = self.transmit(packet, &rx);
        self.shared.forget(&token);
        match answer {
            Some(answer) => self.judge(answer, generation),
            None => Step::Done(Outcome::TimedOut),
        }
    }

    /// Sends a message until it is answered or out of time.
    fn transmit(&self, mut packet: Packet, rx: &Receiver<Packet>) -> Option<Packet> {
        let mut wait = self.shared.first_wait();
        for sent in 0..=self.shared.spec.max_retransmit {
            let left = self.left()?;
            let option = CoapOption::Unknown(message::DEADLINE);
            message::put_uint(&mut packet, option, left.as_millis() as u64);
            self.shared.send(&packet);
            self.shared.counts().retransmissions += u64::from(sent > 0);
            if let Ok(answer) = rx.recv_timeout(wait.min(left)) {
                return Some(answer);
            }
            wait *= 2;
        }
        rx.recv_timeout(self.left()?).ok()
    }

    fn left(&self) -> Option<Duration> {
        let left = self.expires.checked_duration_since(Instant::now())?;
        (!left.is_zero()).then_some(left)
    }

    fn judge(&self, packet: Packet, generation: u64) -> Step {
        self.shared.renew(&packet, generation);
        match message::code(&packet) {
            Some(ResponseType::Unauthorized) if message::ticket(&packet).is_some() => Step::Repeat,
            Some(ResponseType::Unauthorized) => {
                self.shared.give_up(generation);
                Step::Done(Outcome::GivenUp)
            }
            Some(ResponseType::ServiceUnavailable) => Step::Done(Outcome::NotRun {
                come_back: message::max_age(&packet),
            }),
            Some(ResponseType::GatewayTimeout) => Step::Done(Outcome::Unknown),
            _ => Step::Content { packet, generation },
        }
    }
}

/// Writes bytes as hexadecimal digits.
pub fn hex(buf: &[u8]) -> String {
    buf.iter().map(|byte| format!("{byte:02x}")).collect()
}
