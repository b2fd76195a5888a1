//! Stand-in for the platform's routers: probes `ready` twice a second and hashes flows over the daemons in rotation.

use crate::util::{hash, Record};
use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between two probes of a daemon, and misses after which it is out of rotation.
const PROBE: Duration = Duration::from_millis(500);
const MISSES: u32 = 2;

pub struct Target {
    pub name: String,
    pub zone: String,
    pub data: SocketAddrV4,
    pub ready: SocketAddrV4,
    misses: AtomicU32,
}

impl Target {
    pub fn new(name: &str, zone: &str, data: SocketAddrV4, ready: SocketAddrV4) -> Self {
        Target { name: name.to_owned(), zone: zone.to_owned(), data, ready, misses: AtomicU32::new(MISSES) }
    }

    fn is_in_rotation(&self) -> bool {
        self.misses.load(Ordering::Relaxed) < MISSES
    }
}

pub struct Router {
    targets: Vec<Target>,
    /// Zones in the order in which they stand in for each other.
    zones: Vec<String>,
}

impl Router {
    pub fn start(targets: Vec<Target>, zones: Vec<String>, record: Arc<Record>, stop: Arc<AtomicBool>) -> Arc<Self> {
        let router = Arc::new(Router { targets, zones });
        for at in 0..router.targets.len() {
            let (router, record, stop) = (Arc::clone(&router), Arc::clone(&record), Arc::clone(&stop));
            std::thread::spawn(move || {
                let target = &router.targets[at];
                let mut due = Instant::now();
                while !stop.load(Ordering::Relaxed) {
                    let was = target.is_in_rotation();
                    match probe(target.ready) {
                        true => target.misses.store(0, Ordering::Relaxed),
                        false => {
                            target.misses.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                    if target.is_in_rotation() != was {
                        record.line(&format!("{} in rotation: {}", target.name, !was));
                    }
                    due += PROBE;
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                }
            });
        }
        router
    }

    pub fn all_ready(&self) -> bool {
        self.targets.iter().all(Target::is_in_rotation)
    }

    pub fn in_rotation(&self) -> usize {
        self.targets.iter().filter(|target| target.is_in_rotation()).count()
    }

    /// The data-plane address that gets the packets of this flow, for a client in `zone`.
    pub fn pick(&self, zone: &str, src: SocketAddrV4, dst: SocketAddrV4) -> Option<SocketAddrV4> {
        let all = || self.targets.iter();
        let mut fits: Vec<&Target> = all().filter(|t| t.zone == zone && t.is_in_rotation()).collect();
        let of_zone = all().filter(|t| t.zone == zone).count();
        if fits.is_empty() {
            let other = self.zones.iter().find(|z| all().any(|t| t.zone == **z && t.is_in_rotation()))?;
            fits = all().filter(|t| t.zone == *other && t.is_in_rotation()).collect();
        } else if fits.len() * 2 < of_zone {
            fits = all().filter(|t| t.zone == zone).collect();
        }
        let flow = [src, dst].map(|end| u64::from(u32::from(*end.ip())) << 16 | u64::from(end.port()));
        let score = |t: &&Target| hash(&[flow[0], flow[1], u64::from(u32::from(*t.data.ip()))]);
        fits.into_iter().max_by_key(score).map(|target| target.data)
    }
}

fn probe(addr: SocketAddrV4) -> bool {
    let limit = Duration::from_millis(400);
    let Ok(mut stream) = TcpStream::connect_timeout(&SocketAddr::V4(addr), limit) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(limit));
    let request = format!("GET /api/ready HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n");
    if stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    let mut head = [0u8; 12];
    stream.read_exact(&mut head).is_ok() && &head == b"HTTP/1.1 200"
}
