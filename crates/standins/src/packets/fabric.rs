//! Stand-in for the routers that hand a caller's packets to the daemons of its zone.

use crate::fleet::Deployment;
use std::{
    hash::{
        DefaultHasher,
        Hash,
        Hasher, //
    },
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    thread,
    time::Duration,
};

/// Time between two questions whether a daemon takes packets.
const PERIOD: Duration = Duration::from_millis(500);
/// Time for an answer.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Refusals after which a daemon gets no more packets.
const MISSES: u32 = 2;

/// How a flow finds its daemon among those in rotation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HashKind {
    /// Only flows of a daemon that leaves are moved.
    Rendezvous,
    /// Most flows move whenever a daemon joins or leaves.
    Modulo,
}

impl HashKind {
    /// That of a deployment's routers.
    pub fn of(deployment: Deployment) -> Self {
        match deployment {
            Deployment::Kalahari => Self::Rendezvous,
            Deployment::SouthernCross => Self::Modulo,
        }
    }
}

#[derive(Debug)]
struct Port {
    listen: SocketAddrV4,
    ready: SocketAddr,
    zone: String,
    misses: u32,
}

/// The routers of all zones.
#[derive(Clone, Debug)]
pub struct Fabric {
    ports: Arc<Mutex<Vec<Port>>>,
    hash: HashKind,
}

impl Fabric {
    /// Starts routers without daemons.
    pub fn start(hash: HashKind) -> Self {
        let fabric = Self {
            ports: Arc::default(),
            hash,
        };
        let asking = Arc::downgrade(&fabric.ports);
        thread::spawn(move || {
            while let Some(ports) = asking.upgrade() {
                ask_all(&ports);
                drop(ports);
                thread::sleep(PERIOD);
            }
        });
        fabric
    }

    /// Adds a daemon, which gets packets once it says that it takes them.
    pub fn add(&self, zone: &str, listen: SocketAddrV4, ready: SocketAddr) {
        self.ports().push(Port {
            listen,
            ready,
            zone: zone.to_owned(),
            misses: MISSES,
        });
    }

    /// Whether a daemon is in rotation.
    pub fn has(&self, listen: SocketAddrV4) -> bool {
        let ports = self.ports();
        ports
            .iter()
            .any(|p| p.listen == listen && p.misses < MISSES)
    }

    /// The daemon that gets the packets of a flow from `zone`.
    pub fn route(
        &self,
        zone: &str,
        caller: SocketAddrV4,
        route: SocketAddrV4,
    ) -> Option<SocketAddrV4> {
        let ports = self.ports();
        let own: Vec<_> = ports.iter().filter(|p| p.zone == zone).collect();
        let ready: Vec<_> = own.iter().copied().filter(|p| p.misses < MISSES).collect();
        let elsewhere: Vec<_> = ports.iter().filter(|p| p.misses < MISSES).collect();
        let chosen = match (ready.len(), elsewhere.len()) {
            (0, 1..) => elsewhere,
            (n, _) if n * 2 < own.len() => own,
            _ => ready,
        };
        let daemons = chosen.iter().map(|p| p.listen);
        match self.hash {
            HashKind::Rendezvous => daemons.max_by_key(|listen| hash(&(caller, route, listen))),
            HashKind::Modulo => {
                let place = hash(&(caller, route)) as usize % chosen.len().max(1);
                chosen.get(place).map(|p| p.listen)
            }
        }
    }

    fn ports(&self) -> MutexGuard<'_, Vec<Port>> {
        self.ports.lock().expect("no holder of the lock panics")
    }
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

fn ask_all(ports: &Mutex<Vec<Port>>) {
    let ready: Vec<_> = {
        let ports = ports.lock().expect("no holder of the lock panics");
        ports.iter().map(|port| port.ready).collect()
    };
    let asked = ready
        .into_iter()
        .map(|addr| (addr, thread::spawn(move || is_ready(addr))));
    for (addr, answer) in asked.collect::<Vec<_>>() {
        let answer = answer.join().unwrap_or(false);
        let mut ports = ports.lock().expect("no holder of the lock panics");
        for port in ports.iter_mut().filter(|port| port.ready == addr) {
            port.misses = match answer {
                true => 0,
                false => port.misses.saturating_add(1),
            };
        }
    }
}

fn is_ready(addr: SocketAddr) -> bool {
    let agent = ureq::AgentBuilder::new().timeout(TIMEOUT).build();
    agent
        .get(&format!("http://{addr}/api/ready"))
        .call()
        .is_ok()
}
