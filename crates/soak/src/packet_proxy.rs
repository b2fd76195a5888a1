//! A proxy before the socket at which a daemon takes packets: some are lost, or come late and out of order.

use foxtailhinge_standins::socket;
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};
use std::{
    collections::BTreeMap,
    io,
    net::{
        SocketAddrV4,
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
    },
};

/// Longest wait for a packet.
const TICK: Duration = Duration::from_millis(1);

/// What a proxy does to packets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct PacketMode {
    /// Share of packets that are lost.
    pub(crate) loss: f64,
    /// Share of packets that come twice.
    pub(crate) twice: f64,
    /// Longest time by which a packet comes later.
    pub(crate) late: Duration,
}

/// A proxy before one daemon.
#[derive(Debug)]
pub(crate) struct PacketProxy {
    mode: Arc<Mutex<PacketMode>>,
    ended: Arc<AtomicBool>,
}

impl PacketProxy {
    /// Takes packets at `listen` for the daemon at `daemon`.
    pub(crate) fn start(listen: SocketAddrV4, daemon: SocketAddrV4, seed: u64) -> io::Result<Self> {
        let socket = UdpSocket::bind(listen)?;
        let proxy = Self {
            mode: Arc::default(),
            ended: Arc::default(),
        };
        let (mode, ended) = (Arc::clone(&proxy.mode), Arc::clone(&proxy.ended));
        let rng = SmallRng::seed_from_u64(seed);
        thread::spawn(move || pass_on(&socket, daemon, &mode, &ended, rng));
        Ok(proxy)
    }

    /// Treats packets so from now on.
    pub(crate) fn set(&self, mode: PacketMode) {
        *self.mode.lock().expect("no holder of the lock panics") = mode;
    }
}

impl Drop for PacketProxy {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

fn pass_on(
    socket: &UdpSocket,
    daemon: SocketAddrV4,
    mode: &Mutex<PacketMode>,
    ended: &AtomicBool,
    mut rng: SmallRng,
) {
    let mut buf = vec![0; socket::DATAGRAM_MAX];
    let mut late: BTreeMap<(Instant, u64), Vec<u8>> = BTreeMap::new();
    let mut number = 0;
    while !ended.load(Ordering::Relaxed) {
        let now = Instant::now();
        while let Some(first) = late.first_entry().filter(|first| first.key().0 <= now) {
            // A packet that cannot be sent is lost, as on a network.
            let _ = socket.send_to(&first.remove(), daemon);
        }
        let Ok(Some((len, _))) = socket::read(socket, &mut buf, TICK) else {
            continue;
        };
        let mode = *mode.lock().expect("no holder of the lock panics");
        if rng.random_bool(mode.loss) {
            continue;
        }
        let copies = 1 + u64::from(rng.random_bool(mode.twice));
        for _ in 0..copies {
            if mode.late.is_zero() {
                let _ = socket.send_to(&buf[..len], daemon);
                continue;
            }
            number += 1;
            let at = Instant::now() + mode.late.mul_f64(rng.random());
            late.insert((at, number), buf[..len].to_vec());
        }
    }
}
