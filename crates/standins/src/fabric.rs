//! Stand-in for the fabric, which may deliver any packet of a caller to any daemon.

use crate::{
    delay::DelayLine,
    socket, //
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
        SocketAddr,
        UdpSocket, //
    },
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

/// Interval at which the threads check whether the fabric was dropped.
const TICK: Duration = Duration::from_millis(50);

/// Delays, losses and duplicates that the fabric adds to the packets of callers.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// One-way latency between a caller and the daemons.
    pub latency: Duration,
    /// Additional one-way latency between different availability zones.
    pub zone_latency: Duration,
    /// Upper bound of a random delay of each packet, which reorders packets.
    pub jitter: Duration,
    /// Number of copies delivered of each packet from a caller.
    pub copies: u32,
    /// Probability that a packet is lost, in either direction, from 0 to 1.
    pub loss: f64,
    /// If set, only these daemons receive packets.
    pub only: Option<Vec<IpAddr>>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Behaviour {
            latency: Duration::from_millis(1),
            zone_latency: Duration::ZERO,
            jitter: Duration::ZERO,
            copies: 1,
            loss: 0.0,
            only: None,
        }
    }
}

/// Counters of a fabric.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Packets delivered to daemons, copies included.
    pub to_daemons: u64,
    /// Packets delivered to callers.
    pub to_callers: u64,
    /// Packets lost by `Behaviour::loss`, in both directions.
    pub lost: u64,
    /// Packets dropped because no daemon may receive them.
    pub undeliverable: u64,
    /// Packets delivered from one availability zone into another, in both directions.
    pub crossed: u64,
}

struct State {
    daemons: Vec<SocketAddr>,
    leaving: Vec<(SocketAddr, Instant)>,
    allowed_daemons: HashMap<IpAddr, Vec<IpAddr>>,
    zones: HashMap<IpAddr, usize>,
    behaviour: Behaviour,
    counts: Counts,
    rng: SmallRng,
}

impl State {
    /// Picks a random daemon for one packet of a caller.
    fn pick_daemon(&mut self, caller: SocketAddr) -> Option<SocketAddr> {
        self.remove_departed();
        let only = self.behaviour.only.as_ref();
        let allowed_here = self.allowed_daemons.get(&caller.ip());
        let allowed = |daemon: &&SocketAddr| {
            let listed = |list: &Vec<IpAddr>| list.contains(&daemon.ip());
            only.is_none_or(listed) && allowed_here.is_none_or(listed)
        };
        let daemons: Vec<_> = self.daemons.iter().filter(allowed).collect();
        let pick = self.rng.random_range(0..daemons.len().max(1));
        daemons.get(pick).map(|daemon| **daemon)
    }

    fn remove_departed(&mut self) {
        let now = Instant::now();
        let due = |one: &(SocketAddr, Instant)| one.1 <= now;
        let gone: Vec<_> = self.leaving.extract_if(.., |one| due(one)).collect();
        self.daemons
            .retain(|daemon| gone.iter().all(|one| one.0 != *daemon));
    }

    /// Draws whether one packet is lost, and counts the loss.
    fn draw_loss(&mut self) -> bool {
        let lost = self.rng.random_bool(self.behaviour.loss);
        self.counts.lost += u64::from(lost);
        lost
    }

    /// Draws the delay of one packet between a caller and a daemon.
    fn delay(&mut self, caller: IpAddr, daemon: IpAddr) -> Duration {
        let extra = self.behaviour.jitter.mul_f64(self.rng.random());
        let latency = self.behaviour.latency + extra;
        if !self.is_cross_zone(caller, daemon) {
            return latency;
        }
        self.counts.crossed += 1;
        latency + self.behaviour.zone_latency
    }

    /// Returns whether both availability zones are known and differ.
    fn is_cross_zone(&self, caller: IpAddr, daemon: IpAddr) -> bool {
        let zones = (self.zones.get(&caller), self.zones.get(&daemon));
        matches!(zones, (Some(one), Some(other)) if one != other)
    }
}

struct Shared {
    service: Arc<UdpSocket>,
    line: DelayLine,
    state: Mutex<State>,
    ended: AtomicBool,
}

impl Shared {
    fn is_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }
}

/// The fabric in front of one service address.
pub struct Fabric {
    shared: Arc<Shared>,
}

impl Fabric {
    /// Listens on a service's address and spreads its packets over the daemons' addresses.
    pub fn start(service: SocketAddr, daemons: &[SocketAddr], seed: u64) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            service: Arc::new(UdpSocket::bind(service)?),
            line: DelayLine::start(),
            state: Mutex::new(State {
                daemons: daemons.to_vec(),
                leaving: Vec::new(),
                allowed_daemons: HashMap::new(),
                zones: HashMap::new(),
                behaviour: Behaviour::default(),
                counts: Counts::default(),
                rng: SmallRng::seed_from_u64(seed),
            }),
            ended: AtomicBool::new(false),
        });
        let listener = shared.clone();
        thread::spawn(move || listen(&listener));
        Ok(Fabric { shared })
    }

    /// Changes the behaviour for later packets.
    pub fn set(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.shared.state.lock().unwrap().behaviour);
    }

    /// Adds a daemon to the receivers of packets, and cancels its pending removal.
    pub fn add(&self, daemon: SocketAddr) {
        let mut state = self.shared.state.lock().unwrap();
        state.leaving.retain(|one| one.0 != daemon);
        if !state.daemons.contains(&daemon) {
            state.daemons.push(daemon);
        }
    }

    /// Removes a daemon from the receivers of packets after the given time.
    pub fn remove(&self, daemon: SocketAddr, after: Duration) {
        let mut state = self.shared.state.lock().unwrap();
        state.leaving.push((daemon, Instant::now() + after));
    }

    /// Sets the availability zone of callers or a daemon by IP address; without one, `zone_latency` does not apply.
    pub fn assign_zone(&self, ip: IpAddr, zone: usize) {
        self.shared.state.lock().unwrap().zones.insert(ip, zone);
    }

    /// Delivers packets of the callers at an IP address only to the given daemons, as in a partitioned zone.
    pub fn confine(&self, caller: IpAddr, daemons: &[IpAddr]) {
        let mut state = self.shared.state.lock().unwrap();
        state.allowed_daemons.insert(caller, daemons.to_vec());
    }

    /// Delivers packets of the callers at an IP address to any daemon again.
    pub fn release(&self, caller: IpAddr) {
        self.shared
            .state
            .lock()
            .unwrap()
            .allowed_daemons
            .remove(&caller);
    }

    /// Returns a copy of the counters.
    pub fn counts(&self) -> Counts {
        self.shared.state.lock().unwrap().counts
    }
}

impl Drop for Fabric {
    fn drop(&mut self) {
        self.shared.ended.store(true, Ordering::Relaxed);
    }
}

/// Receives packets from callers; each caller gets its own socket towards the daemons.
fn listen(shared: &Arc<Shared>) {
    let mut sockets = HashMap::new();
    let mut buf = vec![0; socket::DATAGRAM_MAX];
    while !shared.is_ended() {
        let Ok(Some((len, caller))) = socket::read(&shared.service, &mut buf, TICK) else {
            continue;
        };
        let socket = sockets
            .entry(caller)
            .or_insert_with(|| open_caller_socket(shared, caller));
        forward(shared, socket, caller, &buf[..len]);
    }
}

/// Opens the socket of one caller towards the daemons, and starts the thread that returns its answers.
fn open_caller_socket(shared: &Arc<Shared>, caller: SocketAddr) -> Arc<UdpSocket> {
    let socket = UdpSocket::bind((caller.ip(), 0)).expect("no free UDP port for a caller");
    let socket = Arc::new(socket);
    let (shared, inner) = (shared.clone(), socket.clone());
    thread::spawn(move || return_answers(&shared, &inner, caller));
    socket
}

/// Sends each copy of a caller's packet to a random daemon.
fn forward(shared: &Shared, socket: &Arc<UdpSocket>, caller: SocketAddr, payload: &[u8]) {
    let mut state = shared.state.lock().unwrap();
    for _ in 0..state.behaviour.copies {
        if state.draw_loss() {
            continue;
        }
        let Some(daemon) = state.pick_daemon(caller) else {
            state.counts.undeliverable += 1;
            continue;
        };
        let delay = state.delay(caller.ip(), daemon.ip());
        state.counts.to_daemons += 1;
        shared.line.send(socket, daemon, payload, delay);
    }
}

/// Forwards answers from any daemon to one caller.
fn return_answers(shared: &Shared, socket: &UdpSocket, caller: SocketAddr) {
    let mut buf = vec![0; socket::DATAGRAM_MAX];
    while !shared.is_ended() {
        let Ok(Some((len, daemon))) = socket::read(socket, &mut buf, TICK) else {
            continue;
        };
        let mut state = shared.state.lock().unwrap();
        if state.draw_loss() {
            continue;
        }
        let delay = state.delay(caller.ip(), daemon.ip());
        state.counts.to_callers += 1;
        let payload = &buf[..len];
        shared.line.send(&shared.service, caller, payload, delay);
    }
}
