//! Small fleets that forward packets: the stand-ins run in this process, each daemon in its own process.

use super::{
    builder::Builder,
    callers::Callers,
    fabric::Fabric,
    results::Plan,
    store::Store,
    upstream::{
        Observations,
        Spec,
        Upstream, //
    },
};
use crate::fleet::{
    block::Block,
    daemon::Daemon,
    Program, //
};
use anyhow::{
    bail,
    Context, //
};
use serde_json::{
    json,
    Value, //
};
use std::{
    fs,
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    path::PathBuf,
    sync::{
        Arc,
        Mutex, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// Interval at which an awaited condition is checked.
const TICK: Duration = Duration::from_millis(10);
/// Time within which an awaited condition must hold.
pub(super) const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Port of the route to the first service; the next port is the route to the second service.
pub const ROUTE_PORT: u16 = 443;
/// Time within which a daemon must notice that an answer of the store was lost, in milliseconds.
const NOTICE_MS: u64 = 2_500;

/// Number of daemons whose addresses are in the settings of every daemon.
const SEED_COUNT: usize = 3;

/// A small fleet on this machine.
pub struct PacketFleet {
    pub(super) builder: Builder,
    pub(super) block: Block,
    pub(super) dir: PathBuf,
    pub(super) program: Program,
    pub(super) daemons: Vec<Daemon>,
    pub(super) version: u64,
    /// The last published configuration.
    pub(super) configuration: Value,
    pub(super) keep_logs: bool,
    /// The store, which tests write to and inject faults into.
    pub store: Store,
    /// The routers between the callers and the daemons.
    pub fabric: Fabric,
    /// The upstreams, those of the first service first.
    pub upstreams: Vec<Upstream>,
    /// What the upstreams observed.
    pub seen: Arc<Mutex<Observations>>,
}

impl PacketFleet {
    /// Returns the names of the zones that are used.
    pub fn zones(&self) -> &'static [&'static str] {
        &self.builder.deployment.zones()[..self.builder.zones]
    }

    /// Publishes a configuration with a route of priority 1 at each of these ports. The port after `ROUTE_PORT` belongs to
    /// the second service, all others belong to the first.
    pub fn configure(&mut self, ports: &[u16]) {
        let routes: Vec<_> = ports.iter().map(|port| (*port, 1)).collect();
        self.configure_priorities(&routes);
    }

    /// Publishes a configuration with a route at each of these ports, with its priority.
    pub fn configure_priorities(&mut self, routes: &[(u16, u8)]) {
        self.version += 3;
        let routes = routes.iter().map(|(port, priority)| {
            json!({
                "name": format!("route-{port}"),
                "hostname": self.route(*port).ip().to_string(),
                "prefix": format!("/{port}/"),
                "type": "idempotent",
                "timeout_ms": 1_500,
                "target_latency_ms": 250,
                "priority": priority,
                "max_attempts": 2,
                "service": self.service_of(*port),
            })
        });
        let services = self.builder.deployment.services().map(|name| {
            json!({"name": name, "health_check_path": "/health", "max_connections": 2_000,
                "protocol": "h1", "tls": false, "warmup_s": 2.0, "warmup_per_s": 0.0})
        });
        let configuration = json!({
            "version": self.version,
            "routes": routes.collect::<Vec<_>>(),
            "services": services,
            "limits": {"idle_timeout_ms": 15_000},
        });
        self.store.put("op/config", &configuration);
        self.configuration = configuration;
    }

    /// Writes the last configuration again, as operators do after a restoration of the store.
    pub fn configure_again(&self) {
        self.store.put("op/config", &self.configuration);
    }

    /// Returns the version of the last published configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the service of the route at a port.
    pub fn service_of(&self, port: u16) -> &'static str {
        let [first, second] = self.builder.deployment.services();
        match port == ROUTE_PORT + 1 {
            true => second,
            false => first,
        }
    }

    /// Takes a zone out of service.
    pub fn evacuate(&self, zone: &str) {
        self.store.put(&format!("op/evacuate/{zone}"), &json!({}));
    }

    /// Takes a zone back into service.
    pub fn end_evacuation(&self, zone: &str) {
        self.store.remove(&format!("op/evacuate/{zone}"));
    }

    /// Returns the address of the route at a port.
    pub fn route(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(std::net::Ipv4Addr::new(198, 18, 0, 1), port)
    }

    /// Returns a plan for the callers of a zone, with no feeds and no requests.
    pub fn plan(&self, zone: usize, seed: u64) -> Plan {
        Plan {
            zone: self.zones()[zone].to_owned(),
            addr: self.block.packet_callers(zone),
            feeds: 0,
            feed_interval: Duration::from_millis(500),
            feed_route: self.route(ROUTE_PORT),
            posts_per_s: 0.0,
            post_route: self.route(ROUTE_PORT),
            target_latency: Duration::from_millis(250),
            give_up_after: Duration::from_millis(1_500),
            seed,
        }
    }

    /// Returns the address of further callers, counted from zero over all zones; those with the index of a zone share
    /// the address with the plan for the zone.
    pub fn callers_addr(&self, index: usize) -> SocketAddrV4 {
        self.block.packet_callers(index)
    }

    /// Starts callers.
    ///
    /// # Errors
    ///
    /// Fails when the callers' address cannot be bound.
    pub fn callers(&self, plan: Plan) -> anyhow::Result<Callers> {
        Ok(Callers::start(plan, &self.fabric)?)
    }

    /// Starts another upstream at the address of the upstream with this index, which must have ended.
    ///
    /// # Errors
    ///
    /// Fails when the address is still bound.
    pub fn reuse_address(&mut self, index: usize, service: usize, id: u64) -> anyhow::Result<()> {
        let old = self.upstreams[index].spec().clone();
        let spec = Spec {
            id,
            service: self.builder.deployment.services()[service].to_owned(),
            warmup: Duration::ZERO,
            ..old
        };
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            match Upstream::start(spec.clone(), &self.store, &self.seen) {
                Ok(upstream) => {
                    self.upstreams.push(upstream);
                    return Ok(());
                }
                Err(err) if Instant::now() >= deadline => return Err(err.into()),
                Err(_) => thread::sleep(TICK),
            }
        }
    }

    /// Starts an upstream of the first service that is cold for `warmup`.
    ///
    /// # Errors
    ///
    /// Fails when the upstream's address cannot be bound.
    pub fn add_upstream(&mut self, zone: usize, id: u64, warmup: Duration) -> anyhow::Result<()> {
        let index = self.upstreams.len();
        let spec = self.spec(index, zone, 0, id, warmup);
        let upstream = Upstream::start(spec, &self.store, &self.seen)?;
        self.upstreams.push(upstream);
        Ok(())
    }

    /// Returns the number of daemons, running or not.
    pub fn len(&self) -> usize {
        self.daemons.len()
    }

    /// Returns whether there are no daemons.
    pub fn is_empty(&self) -> bool {
        self.daemons.is_empty()
    }

    /// Returns the address at which a daemon reaches the store.
    pub fn store_addr(&self, index: usize) -> SocketAddr {
        self.block.store(index)
    }

    /// Returns whether the routers send packets to a daemon.
    pub fn is_in_rotation(&self, index: usize) -> bool {
        self.fabric.has(self.block.packets(index))
    }

    /// Waits until a condition holds and returns how long that took.
    ///
    /// # Errors
    ///
    /// Fails when the condition does not hold within ten seconds; the error shows the last lines of each daemon's log.
    pub fn wait_until(
        &self,
        what: &str,
        mut holds: impl FnMut(&Self) -> bool,
    ) -> anyhow::Result<Duration> {
        let began = Instant::now();
        while !holds(self) {
            if began.elapsed() >= WAIT_TIMEOUT {
                let logs = self.daemons.iter().map(|d| d.log_tail(30));
                bail!(
                    "{what}: timed out after {WAIT_TIMEOUT:?}\n{}",
                    logs.collect::<Vec<_>>().join("\n")
                );
            }
            thread::sleep(TICK);
        }
        Ok(began.elapsed())
    }

    /// Waits until all daemons are in rotation.
    ///
    /// # Errors
    ///
    /// Fails when a daemon is not in rotation within ten seconds.
    pub fn await_rotation(&self) -> anyhow::Result<Duration> {
        self.wait_until("all daemons are in rotation", |fleet| {
            (0..fleet.len()).all(|index| fleet.is_in_rotation(index))
        })
    }

    /// Waits until all running daemons have the last published configuration.
    ///
    /// # Errors
    ///
    /// Fails when a running daemon does not have it within ten seconds.
    pub fn await_configuration(&self) -> anyhow::Result<Duration> {
        let version = self.version;
        self.wait_until("all daemons have the configuration", |fleet| {
            let running = (0..fleet.len()).filter(|i| fleet.daemons[*i].pid().is_some());
            running
                .map(|index| fleet.status(index))
                .all(|status| status.is_ok_and(|s| s.configuration == Some(version)))
        })
    }

    pub(super) fn start_upstreams(&mut self) -> anyhow::Result<()> {
        let [first, second] = self.builder.upstreams;
        for index in 0..first + second {
            let service = usize::from(index >= first);
            let zone = (index - service * first) % self.zones().len();
            let id = 0x70_0000_0001 + ((index as u64) << 8);
            let spec = self.spec(index, zone, service, id, Duration::ZERO);
            self.upstreams
                .push(Upstream::start(spec, &self.store, &self.seen)?);
        }
        Ok(())
    }

    fn spec(&self, index: usize, zone: usize, service: usize, id: u64, warmup: Duration) -> Spec {
        Spec {
            id,
            service: self.builder.deployment.services()[service].to_owned(),
            zone: self.zones()[zone].to_owned(),
            addr: self.block.packet_upstream(index),
            slots: self.builder.slots,
            queue: self.builder.queue,
            work: self.builder.work,
            warmup,
            callers_port: self.block.packets(0).port(),
        }
    }

    /// Address at which a daemon receives packets.
    pub fn packets_addr(&self, index: usize) -> SocketAddrV4 {
        self.block.packets(index)
    }

    /// Returns the address at which a daemon answers the other daemons of its zone.
    pub fn zone_addr(&self, index: usize) -> SocketAddr {
        self.block.relay(index)
    }

    pub(super) fn add_daemon(&mut self, index: usize) -> anyhow::Result<()> {
        let zone = self.zones()[index % self.zones().len()];
        let vm = format!("vm-{}", index + 1);
        let (listen, ready) = (self.block.packets(index), self.block.control(index));
        let daemon = Daemon::new(&vm, zone, self.block.admin(index), &self.dir);
        let settings = json!({
            "interface": "packets",
            "vm": vm,
            "zone": zone,
            "listen": listen.to_string(),
            "ready": ready.to_string(),
            "admin": self.block.admin(index).to_string(),
            "store": self.block.store(index).to_string(),
            "control": self.zone_addr(index).to_string(),
            "seeds": (0..SEED_COUNT).map(|seed| self.zone_addr(seed).to_string()).collect::<Vec<_>>(),
            "limits": {"flow_s": 60, "grace_s": 6, "notice_ms": NOTICE_MS},
        });
        let text = serde_json::to_string_pretty(&settings)?;
        fs::write(&daemon.settings, text).context("could not write the settings file")?;
        self.daemons.push(daemon);
        self.fabric.add(zone, listen, ready);
        Ok(())
    }
}

impl Drop for PacketFleet {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        for upstream in &self.upstreams {
            upstream.end();
        }
        self.store.end();
        if !self.keep_logs {
            // Files that cannot be removed stay in the directory for temporary files.
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}
