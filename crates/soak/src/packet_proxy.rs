//! UDP proxy in front of one daemon, which drops, duplicates, delays and reorders packets.

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

/// Time limit of each wait for a packet, and so the precision of delays.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// What the proxy does to packets. Faults are listed with the names of the fields.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct PacketMode {
    /// Probability that a packet is dropped.
    pub(crate) loss: f64,
    /// Probability that a packet is duplicated.
    pub(crate) twice: f64,
    /// Maximum delay of a packet.
    pub(crate) late: Duration,
}

/// A proxy for one daemon; dropping it ends its thread.
#[derive(Debug)]
pub(crate) struct PacketProxy {
    mode: Arc<Mutex<PacketMode>>,
    ended: Arc<AtomicBool>,
}

impl PacketProxy {
    /// Forwards packets from `listen` to the daemon at `daemon`.
    pub(crate) fn start(listen: SocketAddrV4, daemon: SocketAddrV4, seed: u64) -> io::Result<Self> {
        let socket = UdpSocket::bind(listen)?;
        let proxy = Self {
            mode: Arc::default(),
            ended: Arc::default(),
        };
        let (mode, ended) = (Arc::clone(&proxy.mode), Arc::clone(&proxy.ended));
        let rng = SmallRng::seed_from_u64(seed);
        thread::spawn(move || forward_packets(&socket, daemon, &mode, &ended, rng));
        Ok(proxy)
    }

    /// Sets the mode for the packets received from now on.
    pub(crate) fn set_mode(&self, mode: PacketMode) {
        *self.mode.lock().expect("no holder of the lock panics") = mode;
    }
}

impl Drop for PacketProxy {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

fn forward_packets(
    socket: &UdpSocket,
    daemon: SocketAddrV4,
    mode: &Mutex<PacketMode>,
    ended: &AtomicBool,
    mut rng: SmallRng,
) {
    let mut buf = vec![0; socket::DATAGRAM_MAX];
    let mut delayed: BTreeMap<(Instant, u64), Vec<u8>> = BTreeMap::new();
    let mut number = 0;
    while !ended.load(Ordering::Relaxed) {
        let now = Instant::now();
        while let Some(first) = delayed.first_entry().filter(|first| first.key().0 <= now) {
            // A packet that cannot be sent is dropped, as on a network.
            let _ = socket.send_to(&first.remove(), daemon);
        }
        let Ok(Some((len, _))) = socket::read(socket, &mut buf, POLL_INTERVAL) else {
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
            delayed.insert((at, number), buf[..len].to_vec());
        }
    }
}
