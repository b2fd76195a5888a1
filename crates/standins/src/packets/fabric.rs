//! Stand-in for the routers that forward a caller's packets to the daemons of its zone.

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

/// Interval of the readiness checks of a daemon.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time within which a readiness check must be answered.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Failed checks in a row after which a daemon is out of rotation.
const FAILURES_MAX: u32 = 2;

/// How a router chooses the daemon of a flow among those in rotation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HashKind {
    /// Rendezvous hashing: when a daemon leaves, only its flows move; when one joins, only flows to it move.
    Rendezvous,
    /// Hash modulo the number of daemons: most flows move whenever a daemon joins or leaves.
    Modulo,
}

impl HashKind {
    /// Returns the hashing of a deployment's routers.
    pub fn of(deployment: Deployment) -> Self {
        match deployment {
            Deployment::Kalahari => Self::Rendezvous,
            Deployment::SouthernCross => Self::Modulo,
        }
    }
}

#[derive(Debug)]
struct Target {
    listen: SocketAddrV4,
    ready: SocketAddr,
    zone: String,
    failures: u32,
}

/// The routers of all zones.
#[derive(Clone, Debug)]
pub struct Fabric {
    targets: Arc<Mutex<Vec<Target>>>,
    hash: HashKind,
}

impl Fabric {
    /// Starts routers that have no daemons yet.
    pub fn start(hash: HashKind) -> Self {
        let fabric = Self {
            targets: Arc::default(),
            hash,
        };
        let weak_targets = Arc::downgrade(&fabric.targets);
        thread::spawn(move || {
            while let Some(targets) = weak_targets.upgrade() {
                check_all(&targets);
                drop(targets);
                thread::sleep(CHECK_INTERVAL);
            }
        });
        fabric
    }

    /// Adds a daemon, which is in rotation once a readiness check succeeds.
    pub fn add(&self, zone: &str, listen: SocketAddrV4, ready: SocketAddr) {
        self.targets().push(Target {
            listen,
            ready,
            zone: zone.to_owned(),
            failures: FAILURES_MAX,
        });
    }

    /// Returns whether a daemon is in rotation.
    pub fn has(&self, listen: SocketAddrV4) -> bool {
        let targets = self.targets();
        targets
            .iter()
            .any(|p| p.listen == listen && p.failures < FAILURES_MAX)
    }

    /// Returns the daemon that gets the packets of a flow from `zone`.
    ///
    /// The daemon is one of the ready daemons of the zone. If fewer than half of the zone's daemons are ready, it is
    /// any daemon of the zone; if none is ready, it is one of the ready daemons of all zones.
    pub fn route(
        &self,
        zone: &str,
        caller: SocketAddrV4,
        route: SocketAddrV4,
    ) -> Option<SocketAddrV4> {
        let targets = self.targets();
        let in_zone: Vec<_> = targets.iter().filter(|p| p.zone == zone).collect();
        let ready: Vec<_> = in_zone
            .iter()
            .copied()
            .filter(|p| p.failures < FAILURES_MAX)
            .collect();
        let anywhere: Vec<_> = targets
            .iter()
            .filter(|p| p.failures < FAILURES_MAX)
            .collect();
        let chosen = match (ready.len(), anywhere.len()) {
            (0, 1..) => anywhere,
            (n, _) if n * 2 < in_zone.len() => in_zone,
            _ => ready,
        };
        let daemons = chosen.iter().map(|p| p.listen);
        match self.hash {
            HashKind::Rendezvous => daemons.max_by_key(|listen| hash(&(caller, route, listen))),
            HashKind::Modulo => {
                let index = hash(&(caller, route)) as usize % chosen.len().max(1);
                chosen.get(index).map(|p| p.listen)
            }
        }
    }

    fn targets(&self) -> MutexGuard<'_, Vec<Target>> {
        self.targets.lock().expect("no holder of the lock panics")
    }
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

fn check_all(targets: &Mutex<Vec<Target>>) {
    let ready: Vec<_> = {
        let targets = targets.lock().expect("no holder of the lock panics");
        targets.iter().map(|target| target.ready).collect()
    };
    let checks = ready
        .into_iter()
        .map(|addr| (addr, thread::spawn(move || is_ready(addr))));
    for (addr, answer) in checks.collect::<Vec<_>>() {
        let answer = answer.join().unwrap_or(false);
        let mut targets = targets.lock().expect("no holder of the lock panics");
        for target in targets.iter_mut().filter(|target| target.ready == addr) {
            target.failures = match answer {
                true => 0,
                false => target.failures.saturating_add(1),
            };
        }
    }
}

fn is_ready(addr: SocketAddr) -> bool {
    let agent = ureq::AgentBuilder::new().timeout(CHECK_TIMEOUT).build();
    agent
        .get(&format!("http://{addr}/api/ready"))
        .call()
        .is_ok()
}
