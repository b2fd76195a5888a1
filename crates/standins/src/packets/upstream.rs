//! Stand-in for an upstream: answers callers directly, runs a few requests at a time, and registers in the store.

use super::{
    segment::{
        Segment,
        ACK,
        FIN,
        RST,
        SYN, //
    },
    store::Store,
};
use crate::socket;
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};
use serde_json::json;
use std::{
    collections::{
        BTreeMap,
        HashMap,
        VecDeque, //
    },
    io,
    net::{
        SocketAddrV4,
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
    },
};

/// Longest wait for one packet.
const TICK: Duration = Duration::from_millis(5);
/// Length of an answer, in bytes. It begins with the number of the request and ends with the id of the upstream.
const ANSWER_LEN: usize = 700;
/// Length of a refusal, in bytes: like a response of status 503 without content, it is shorter than any answer.
pub(super) const REFUSAL_LEN: usize = 160;
/// Interval of heartbeats, which write the entry again when it has expired.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Length of the prefix of each packet that names the upstream it is for, in bytes.
const RECIPIENT_LEN: usize = 8;

/// Describes an upstream.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Id, unique among the upstreams of a fleet.
    pub id: u64,
    /// Name of the service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Address at which the upstream receives packets.
    pub addr: SocketAddrV4,
    /// Most requests that run at a time.
    pub slots: usize,
    /// Most requests that wait for a slot; further ones are refused without running.
    pub queue: usize,
    /// Mean service time of a request.
    pub work: Duration,
    /// Time after the start during which the upstream is cold.
    pub warmup: Duration,
    /// Port at which callers receive packets.
    pub callers_port: u16,
}

impl Spec {
    /// Returns the key of the upstream's entry in the store.
    pub fn key(&self) -> String {
        format!("servers/i-{:010x}", self.id)
    }
}

/// State of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Serves all requests.
    Serving,
    /// Is registered as draining, but serves whatever arrives.
    Draining,
    /// Drops every packet and all its requests, and sends nothing.
    Silent,
    /// Has stopped, with its entry removed.
    Ended,
}

/// Observations of all upstreams of a fleet.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// How often each request ran, by its number.
    pub runs: HashMap<u64, u32>,
    /// How often each request was refused because the queue was full, by its number.
    pub refused: HashMap<u64, u32>,
    /// Openings that upstreams accepted, retransmissions included.
    pub openings: Vec<Opening>,
    /// Packets that were truncated or changed on the way.
    pub damaged: u64,
    /// Packets for another upstream than the one at their address.
    pub foreign: u64,
}

/// An opening packet that an upstream accepted.
#[derive(Clone, Debug)]
pub struct Opening {
    /// When the packet arrived.
    pub at: Instant,
    /// Id of the upstream.
    pub upstream: u64,
    /// Service of the upstream.
    pub service: String,
    /// Availability zone of the upstream.
    pub zone: String,
    /// Whether the upstream was cold.
    pub cold: bool,
    /// Port of the flow's route.
    pub route: u16,
}

/// Handle to an upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    spec: Arc<Spec>,
    mode: Arc<Mutex<Mode>>,
    store: Store,
}

impl Upstream {
    /// Starts an upstream and registers it in the store.
    ///
    /// # Errors
    ///
    /// Fails when the upstream's address cannot be bound.
    pub fn start(spec: Spec, store: &Store, seen: &Arc<Mutex<Observations>>) -> io::Result<Self> {
        let socket = UdpSocket::bind(spec.addr)?;
        let upstream = Self {
            spec: Arc::new(spec),
            mode: Arc::new(Mutex::new(Mode::Serving)),
            store: store.clone(),
        };
        let worker = Worker {
            upstream: upstream.clone(),
            socket,
            seen: Arc::clone(seen),
            rng: SmallRng::seed_from_u64(upstream.spec.id),
            flows: HashMap::new(),
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
            warm_at: Instant::now() + upstream.spec.warmup,
            era: store.era(),
        };
        upstream.register(upstream.spec.warmup);
        thread::spawn(move || worker.run());
        Ok(upstream)
    }

    /// Returns the description that the upstream was started with.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Returns the current state.
    pub fn mode(&self) -> Mode {
        *self.lock()
    }

    /// Returns whether the upstream is silent or has ended.
    pub fn is_gone(&self) -> bool {
        matches!(self.mode(), Mode::Silent | Mode::Ended)
    }

    /// Registers the upstream as draining; it still serves what arrives.
    pub fn drain(&self) {
        *self.lock() = Mode::Draining;
        self.register(Duration::ZERO);
    }

    /// Makes the upstream drop all packets; its entry stays in the store.
    pub fn silence(&self) {
        *self.lock() = Mode::Silent;
    }

    /// Stops the upstream and removes its entry from the store.
    pub fn end(&self) {
        let mut mode = self.lock();
        *mode = Mode::Ended;
        self.store.remove(&self.spec.key());
    }

    fn lock(&self) -> MutexGuard<'_, Mode> {
        self.mode.lock().expect("no holder of the lock panics")
    }

    /// Writes the entry, unless the upstream has ended; the lock keeps `end` from removing it in between.
    fn register(&self, warmup_left: Duration) {
        let mode = self.lock();
        let state = match *mode {
            Mode::Ended => return,
            Mode::Draining => "draining",
            Mode::Serving | Mode::Silent => "ready",
        };
        let spec = &self.spec;
        let entry = json!({
            "service": spec.service,
            "address": spec.addr.to_string(),
            "zone": spec.zone,
            "version": "v1",
            "slots": spec.slots,
            "state": state,
            "warmup_left_ms": warmup_left.as_millis() as u64,
            "sequence": 1,
            "born": 1,
        });
        self.store.put(&spec.key(), &entry);
    }
}

#[derive(Debug)]
struct Flow {
    seq: u32,
    received: u32,
}

#[derive(Debug)]
struct Request {
    number: u64,
    packet: Segment,
}

struct Worker {
    upstream: Upstream,
    socket: UdpSocket,
    seen: Arc<Mutex<Observations>>,
    rng: SmallRng,
    flows: HashMap<SocketAddrV4, Flow>,
    running: BTreeMap<(Instant, u64), Segment>,
    waiting: VecDeque<Request>,
    warm_at: Instant,
    /// Era of the store in which the entry was written last.
    era: Option<u64>,
}

impl Worker {
    fn run(mut self) {
        let mut buf = vec![0; socket::DATAGRAM_MAX];
        let mut heartbeat = Instant::now() + HEARTBEAT_INTERVAL;
        let mut was_warm = self.is_warm();
        loop {
            let mode = self.upstream.mode();
            if mode == Mode::Ended {
                return;
            }
            let read = socket::read(&self.socket, &mut buf, self.next_wait());
            let Ok(read) = read else {
                return;
            };
            if mode == Mode::Silent {
                self.flows.clear();
                self.running.clear();
                self.waiting.clear();
                continue;
            }
            if let Some((len, _)) = read {
                self.handle_datagram(&buf[..len]);
            }
            self.finish();
            let now = Instant::now();
            let became_warm = !was_warm && self.is_warm();
            if became_warm || (now >= heartbeat && self.is_lost_from_store()) {
                let warmup_left = self.warm_at.saturating_duration_since(now);
                self.upstream.register(warmup_left);
                self.era = self.upstream.store.era();
            }
            was_warm = self.is_warm();
            if now >= heartbeat {
                heartbeat = now + HEARTBEAT_INTERVAL;
            }
        }
    }

    fn is_warm(&self) -> bool {
        Instant::now() >= self.warm_at
    }

    /// Whether the store has no entry of this upstream, or was restored from a copy since the last one was written.
    fn is_lost_from_store(&self) -> bool {
        let store = &self.upstream.store;
        store.era() != self.era || !store.contains(&self.upstream.spec.key())
    }

    fn next_wait(&self) -> Duration {
        let next = self.running.keys().next();
        let left = next.map_or(TICK, |(at, _)| at.saturating_duration_since(Instant::now()));
        left.min(TICK)
    }

    fn handle_datagram(&mut self, datagram: &[u8]) {
        let packet = datagram
            .first_chunk::<RECIPIENT_LEN>()
            .map(|id| u64::from_be_bytes(*id))
            .zip(datagram.get(RECIPIENT_LEN..).and_then(Segment::decode));
        let Some((id, packet)) = packet else {
            self.seen().damaged += 1;
            return;
        };
        if id != 0 && id != self.upstream.spec.id {
            self.seen().foreign += 1;
            return;
        }
        if packet.has(SYN) {
            self.open(&packet);
        } else if packet.has(RST) {
            self.flows.remove(&packet.src);
        } else if packet.has(FIN) {
            self.flows.remove(&packet.src);
            self.send(&packet.reply(ACK, packet.ack, packet.seq.wrapping_add(1)));
        } else if self.flows.contains_key(&packet.src) {
            self.handle_request(packet);
        } else if !packet.data.is_empty() {
            self.send(&packet.reply(RST, packet.ack, packet.end()));
        }
    }

    fn open(&mut self, packet: &Segment) {
        let seq = self.rng.random();
        let flow = self.flows.entry(packet.src).or_insert(Flow {
            seq,
            received: packet.seq.wrapping_add(1),
        });
        let (seq, received) = (flow.seq, flow.received);
        let spec = Arc::clone(&self.upstream.spec);
        let opening = Opening {
            at: Instant::now(),
            upstream: spec.id,
            service: spec.service.clone(),
            zone: spec.zone.clone(),
            cold: !self.is_warm(),
            route: packet.dst.port(),
        };
        self.seen().openings.push(opening);
        self.send(&packet.reply(SYN | ACK, seq, received));
    }

    fn handle_request(&mut self, packet: Segment) {
        let Some(flow) = self.flows.get_mut(&packet.src) else {
            return;
        };
        if packet.data.len() < 8 || packet.seq != flow.received {
            return;
        }
        flow.received = packet.end();
        let number = packet
            .data
            .first_chunk()
            .map_or(0, |n| u64::from_be_bytes(*n));
        let request = Request { number, packet };
        if self.running.len() < self.upstream.spec.slots {
            self.begin(request);
        } else if self.waiting.len() < self.upstream.spec.queue {
            self.waiting.push_back(request);
        } else {
            *self.seen().refused.entry(number).or_default() += 1;
            self.answer(number, &request.packet, REFUSAL_LEN);
        }
    }

    fn begin(&mut self, request: Request) {
        *self.seen().runs.entry(request.number).or_default() += 1;
        let work = self
            .upstream
            .spec
            .work
            .mul_f64(self.rng.random_range(0.5..1.5));
        let key = (Instant::now() + work, request.number);
        self.running.insert(key, request.packet);
    }

    fn finish(&mut self) {
        let now = Instant::now();
        while self
            .running
            .first_key_value()
            .is_some_and(|((at, _), _)| *at <= now)
        {
            let Some(((_, number), packet)) = self.running.pop_first() else {
                return;
            };
            self.answer(number, &packet, ANSWER_LEN);
            if let Some(next) = self.waiting.pop_front() {
                self.begin(next);
            }
        }
    }

    fn answer(&mut self, number: u64, packet: &Segment, len: usize) {
        let Some(flow) = self.flows.get_mut(&packet.src) else {
            return;
        };
        let mut answer = packet.reply(ACK, flow.seq.wrapping_add(1), flow.received);
        let id = self.upstream.spec.id.to_be_bytes();
        answer.data.extend(number.to_be_bytes());
        answer.data.resize(len - id.len(), 0);
        answer.data.extend(id);
        flow.seq = flow.seq.wrapping_add(answer.data.len() as u32);
        self.send(&answer);
    }

    fn send(&self, packet: &Segment) {
        let to = SocketAddrV4::new(*packet.dst.ip(), self.upstream.spec.callers_port);
        // A packet that cannot be sent is lost, as on a real network.
        let _ = self.socket.send_to(&packet.encode(), to);
    }

    fn seen(&self) -> MutexGuard<'_, Observations> {
        self.seen.lock().expect("no holder of the lock panics")
    }
}
