//! Stand-in for an upstream: answers flows directly, runs a few requests at a time, and registers itself.

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

/// Longest wait for a packet.
const TICK: Duration = Duration::from_millis(5);
/// Requests that wait for a slot.
const QUEUE: usize = 16;
/// Time between two heartbeats, which renew an entry that lapsed.
const HEARTBEAT: Duration = Duration::from_millis(400);
/// Bytes before each packet that name the upstream it is meant for.
const RECIPIENT: usize = 8;

/// What an upstream is.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Its id.
    pub id: u64,
    /// Its service.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// Where it listens.
    pub addr: SocketAddrV4,
    /// Requests that it runs at a time.
    pub slots: usize,
    /// Mean time that it spends on a request.
    pub work: Duration,
    /// How long it is cold after its start.
    pub warmup: Duration,
    /// Port at which callers take packets.
    pub callers_port: u16,
}

impl Spec {
    /// Key of its entry in the store.
    pub fn key(&self) -> String {
        format!("servers/i-{:010x}", self.id)
    }
}

/// What an upstream does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It serves.
    Serving,
    /// It takes no new work by its entry, and serves what it has.
    Draining,
    /// It hears nothing and says nothing.
    Silent,
    /// It has ended.
    Ended,
}

/// What upstreams saw.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Runs of each request, by its number.
    pub runs: HashMap<u64, u32>,
    /// Openings that were taken: when, by which upstream, and for which route.
    pub openings: Vec<Opening>,
    /// Packets that were changed on their way, or not whole.
    pub damaged: u64,
    /// Packets for another upstream at this address.
    pub foreign: u64,
}

/// A flow that was opened at an upstream.
#[derive(Clone, Debug)]
pub struct Opening {
    /// When its first packet arrived.
    pub at: Instant,
    /// The upstream.
    pub upstream: u64,
    /// The upstream's service.
    pub service: String,
    /// The upstream's zone.
    pub zone: String,
    /// Whether the upstream was cold.
    pub cold: bool,
    /// Port of the route.
    pub route: u16,
}

/// A running upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    spec: Arc<Spec>,
    mode: Arc<Mutex<Mode>>,
    store: Store,
}

impl Upstream {
    /// Starts an upstream, which registers itself.
    ///
    /// # Errors
    ///
    /// Fails when its address cannot be bound.
    pub fn start(spec: Spec, store: &Store, seen: &Arc<Mutex<Observations>>) -> io::Result<Self> {
        let socket = UdpSocket::bind(spec.addr)?;
        let upstream = Self {
            spec: Arc::new(spec),
            mode: Arc::new(Mutex::new(Mode::Serving)),
            store: store.clone(),
        };
        let work = Work {
            upstream: upstream.clone(),
            socket,
            seen: Arc::clone(seen),
            rng: SmallRng::seed_from_u64(upstream.spec.id),
            flows: HashMap::new(),
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
            warm_at: Instant::now() + upstream.spec.warmup,
        };
        upstream.register(upstream.spec.warmup);
        thread::spawn(move || work.run());
        Ok(upstream)
    }

    /// What it is.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// What it does now.
    pub fn mode(&self) -> Mode {
        *self.lock()
    }

    /// Whether it has ended or says nothing.
    pub fn is_gone(&self) -> bool {
        matches!(self.mode(), Mode::Silent | Mode::Ended)
    }

    /// Says that it takes no new work, and goes on serving.
    pub fn drain(&self) {
        *self.lock() = Mode::Draining;
        self.register(Duration::ZERO);
    }

    /// Falls silent without a word; its entry stays.
    pub fn silence(&self) {
        *self.lock() = Mode::Silent;
    }

    /// Ends; its entry goes.
    pub fn end(&self) {
        *self.lock() = Mode::Ended;
        self.store.remove(&self.spec.key());
    }

    fn lock(&self) -> MutexGuard<'_, Mode> {
        self.mode.lock().expect("no holder of the lock panics")
    }

    fn register(&self, warmup_left: Duration) {
        let state = match self.mode() {
            Mode::Draining => "draining",
            Mode::Serving | Mode::Silent | Mode::Ended => "ready",
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

struct Work {
    upstream: Upstream,
    socket: UdpSocket,
    seen: Arc<Mutex<Observations>>,
    rng: SmallRng,
    flows: HashMap<SocketAddrV4, Flow>,
    running: BTreeMap<(Instant, u64), Segment>,
    waiting: VecDeque<Request>,
    warm_at: Instant,
}

impl Work {
    fn run(mut self) {
        let mut buf = vec![0; socket::DATAGRAM_MAX];
        let mut heartbeat = Instant::now() + HEARTBEAT;
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
                self.take(&buf[..len]);
            }
            self.finish();
            let now = Instant::now();
            let became_warm = !was_warm && self.is_warm();
            if became_warm || (now >= heartbeat && self.is_unlisted()) {
                self.upstream.register(Duration::ZERO);
            }
            was_warm = self.is_warm();
            if now >= heartbeat {
                heartbeat = now + HEARTBEAT;
            }
        }
    }

    fn is_warm(&self) -> bool {
        Instant::now() >= self.warm_at
    }

    fn is_unlisted(&self) -> bool {
        !self.upstream.store.contains(&self.upstream.spec.key())
    }

    fn next_wait(&self) -> Duration {
        let next = self.running.keys().next();
        let rest = next.map_or(TICK, |(at, _)| at.saturating_duration_since(Instant::now()));
        rest.min(TICK)
    }

    fn take(&mut self, datagram: &[u8]) {
        let packet = datagram
            .first_chunk::<RECIPIENT>()
            .map(|id| u64::from_be_bytes(*id))
            .zip(datagram.get(RECIPIENT..).and_then(Segment::decode));
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
            self.ask(packet);
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

    fn ask(&mut self, packet: Segment) {
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
        } else if self.waiting.len() < QUEUE {
            self.waiting.push_back(request);
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
            self.answer(number, &packet);
            if let Some(next) = self.waiting.pop_front() {
                self.begin(next);
            }
        }
    }

    fn answer(&mut self, number: u64, packet: &Segment) {
        let Some(flow) = self.flows.get_mut(&packet.src) else {
            return;
        };
        let mut answer = packet.reply(ACK, flow.seq.wrapping_add(1), flow.received);
        answer.data.extend(number.to_be_bytes());
        answer.data.extend(self.upstream.spec.id.to_be_bytes());
        flow.seq = flow.seq.wrapping_add(answer.data.len() as u32);
        self.send(&answer);
    }

    fn send(&self, packet: &Segment) {
        let to = SocketAddrV4::new(*packet.dst.ip(), self.upstream.spec.callers_port);
        // A packet that cannot be sent is lost, as on a network.
        let _ = self.socket.send_to(&packet.encode(), to);
    }

    fn seen(&self) -> MutexGuard<'_, Observations> {
        self.seen.lock().expect("no holder of the lock panics")
    }
}
