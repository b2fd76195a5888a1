//! Launcher of small fleets that forward packets: the stand-ins in this process, the daemons as processes of their own.

use super::{
    builder::Builder,
    callers::Callers,
    fabric::Fabric,
    results::Plan,
    store::Store,
    upstream::{
        Seen,
        Spec,
        Upstream, //
    },
};
use crate::fleet::{
    block::Block,
    daemon::{
        Daemon,
        Signal, //
    },
    Program, //
};
use anyhow::{
    bail,
    Context, //
};
use foxtailhinge_config::packet_report::PacketStatus;
use serde_json::json;
use std::{
    fs,
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    path::PathBuf,
    process::ExitStatus,
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

/// Time between looks at something that is awaited.
const TICK: Duration = Duration::from_millis(10);
/// Longest wait for something that is to come soon.
const SOON: Duration = Duration::from_secs(10);
/// Port of the route to the first service; that of the second one follows.
pub const ROUTE_PORT: u16 = 443;
/// Time in which a lost answer of the store is to be noticed, in milliseconds.
const NOTICE_MS: u64 = 2_500;

/// A small fleet on this machine.
pub struct PacketFleet {
    pub(super) builder: Builder,
    pub(super) block: Block,
    pub(super) dir: PathBuf,
    pub(super) program: Program,
    pub(super) daemons: Vec<Daemon>,
    pub(super) version: u64,
    pub(super) keep_logs: bool,
    /// The store, to write to and to break.
    pub store: Store,
    /// The routers.
    pub fabric: Fabric,
    /// The upstreams, those of the first service first.
    pub upstreams: Vec<Upstream>,
    /// What the upstreams saw.
    pub seen: Arc<Mutex<Seen>>,
}

impl PacketFleet {
    /// Zones of the deployment.
    pub fn zones(&self) -> &'static [&'static str] {
        self.builder.deployment.zones()
    }

    /// Publishes a configuration that has these of the two services' routes and further ones to the first service.
    pub fn configure(&mut self, ports: &[u16]) {
        self.version += 3;
        let [first, second] = self.builder.deployment.services();
        let routes = ports.iter().map(|port| {
            let service = match *port == ROUTE_PORT + 1 {
                true => second,
                false => first,
            };
            json!({
                "name": format!("route-{port}"),
                "hostname": self.route(*port).ip().to_string(),
                "prefix": format!("/{port}/"),
                "type": "idempotent",
                "timeout_ms": 1_500,
                "target_latency_ms": 250,
                "priority": 1,
                "max_attempts": 2,
                "service": service,
            })
        });
        let services = [first, second].map(|name| {
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
    }

    /// Takes a zone out of service.
    pub fn take_out(&self, zone: &str) {
        self.store.put(&format!("op/evacuate/{zone}"), &json!({}));
    }

    /// Takes a zone in again.
    pub fn take_in(&self, zone: &str) {
        self.store.remove(&format!("op/evacuate/{zone}"));
    }

    /// Address of a route.
    pub fn route(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(std::net::Ipv4Addr::new(198, 18, 0, 1), port)
    }

    /// A plan for the callers of a zone, without load.
    pub fn plan(&self, zone: usize, seed: u64) -> Plan {
        Plan {
            zone: self.zones()[zone].to_owned(),
            addr: self.block.packet_callers(zone),
            feeds: 0,
            pause: Duration::from_millis(500),
            feed_route: self.route(ROUTE_PORT),
            posts_per_s: 0.0,
            post_route: self.route(ROUTE_PORT),
            aim: Duration::from_millis(250),
            budget: Duration::from_millis(1_500),
            seed,
        }
    }

    /// Lets callers work.
    ///
    /// # Errors
    ///
    /// Fails when their address cannot be bound.
    pub fn callers(&self, plan: Plan) -> anyhow::Result<Callers> {
        Ok(Callers::start(plan, &self.fabric)?)
    }

    /// Starts another upstream at the address of the one with this index, which has ended.
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
        let until = Instant::now() + SOON;
        loop {
            match Upstream::start(spec.clone(), &self.store, &self.seen) {
                Ok(upstream) => {
                    self.upstreams.push(upstream);
                    return Ok(());
                }
                Err(err) if Instant::now() >= until => return Err(err.into()),
                Err(_) => thread::sleep(TICK),
            }
        }
    }

    /// Starts an upstream that is cold at first.
    ///
    /// # Errors
    ///
    /// Fails when its address cannot be bound.
    pub fn add_upstream(&mut self, zone: usize, id: u64, warmup: Duration) -> anyhow::Result<()> {
        let index = self.upstreams.len();
        let spec = self.spec(index, zone, 0, id, warmup);
        let upstream = Upstream::start(spec, &self.store, &self.seen)?;
        self.upstreams.push(upstream);
        Ok(())
    }

    /// Number of daemons.
    pub fn len(&self) -> usize {
        self.daemons.len()
    }

    /// Whether there are no daemons.
    pub fn is_empty(&self) -> bool {
        self.daemons.is_empty()
    }

    /// Address at which a daemon finds the store.
    pub fn store_addr(&self, index: usize) -> SocketAddr {
        self.block.store(index)
    }

    /// Whether a daemon is in rotation.
    pub fn is_in_rotation(&self, index: usize) -> bool {
        self.fabric.has(self.block.packets(index))
    }

    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn start_daemon(&mut self, index: usize) -> anyhow::Result<()> {
        Ok(self.daemons[index].start(&self.program)?)
    }

    /// Asks a daemon to stop.
    pub fn terminate(&self, index: usize) {
        self.daemons[index].signal(Signal::Terminate);
    }

    /// Tells a daemon that its settings have changed.
    pub fn hang_up(&self, index: usize) {
        self.daemons[index].signal(Signal::Hangup);
    }

    /// Waits until a daemon has ended.
    pub fn await_end(&mut self, index: usize) -> Option<ExitStatus> {
        self.daemons[index].wait(SOON)
    }

    /// The exit status of a daemon that has ended since the last look.
    pub fn ended(&mut self, index: usize) -> Option<ExitStatus> {
        self.daemons[index].ended()
    }

    /// The most memory that a running daemon has used, in kilobytes.
    pub fn memory_kb(&self, index: usize) -> Option<u64> {
        self.daemons[index].memory_kb()
    }

    /// Name of a service, counted from zero.
    pub fn service(&self, index: usize) -> &'static str {
        self.builder.deployment.services()[index]
    }

    /// Keeps the daemons' logs after the fleet's end, and tells where.
    pub fn keep_logs(&mut self) -> PathBuf {
        self.keep_logs = true;
        self.dir.clone()
    }

    /// Kills a daemon.
    pub fn kill(&mut self, index: usize) {
        self.daemons[index].kill();
    }

    /// Pauses a daemon.
    pub fn freeze(&mut self, index: usize) {
        self.daemons[index].freeze();
    }

    /// Lets a daemon go on.
    pub fn wake(&mut self, index: usize) {
        self.daemons[index].wake();
    }

    /// Changes a daemon's settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or written.
    pub fn edit_settings(
        &self,
        index: usize,
        edit: impl FnOnce(String) -> String,
    ) -> anyhow::Result<()> {
        let path = &self.daemons[index].settings;
        let text = edit(fs::read_to_string(path)?);
        Ok(fs::write(path, text)?)
    }

    /// What a daemon knows.
    ///
    /// # Errors
    ///
    /// Fails when it does not answer.
    pub fn status(&self, index: usize) -> anyhow::Result<PacketStatus> {
        self.daemons[index].read_json("/status")
    }

    /// A daemon's metrics.
    ///
    /// # Errors
    ///
    /// Fails when it does not answer.
    pub fn metrics(&self, index: usize) -> anyhow::Result<String> {
        self.daemons[index].read("/metrics")
    }

    /// The lines of a daemon's log that tell of an event.
    pub fn events(&self, index: usize, event: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.daemons[index].log).unwrap_or_default();
        let wanted = format!(" event={event} ");
        let lines = log.lines().map(|line| format!("{line} "));
        let found = lines.filter(|line| line.contains(&wanted));
        found.map(|line| line.trim_end().to_owned()).collect()
    }

    /// Waits until something holds.
    ///
    /// # Errors
    ///
    /// Fails when it does not in ten seconds, with the ends of all logs.
    pub fn until(
        &self,
        what: &str,
        mut holds: impl FnMut(&Self) -> bool,
    ) -> anyhow::Result<Duration> {
        let began = Instant::now();
        while !holds(self) {
            if began.elapsed() >= SOON {
                let logs = self.daemons.iter().map(|d| d.log_end(30));
                bail!(
                    "{what}: not within {SOON:?}\n{}",
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
    /// Fails when one is not in ten seconds.
    pub fn await_rotation(&self) -> anyhow::Result<Duration> {
        self.until("all daemons are in rotation", |fleet| {
            (0..fleet.len()).all(|index| fleet.is_in_rotation(index))
        })
    }

    /// Waits until all daemons that run know the newest configuration.
    ///
    /// # Errors
    ///
    /// Fails when one does not in ten seconds.
    pub fn await_configuration(&self) -> anyhow::Result<Duration> {
        let version = self.version;
        self.until("all daemons know the configuration", |fleet| {
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
            slots: 4,
            work: self.builder.work,
            warmup,
            callers_port: self.block.packets(0).port(),
        }
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
            "limits": {"flow_s": 60, "grace_s": 6, "notice_ms": NOTICE_MS},
        });
        let text = serde_json::to_string_pretty(&settings)?;
        fs::write(&daemon.settings, text).context("the settings cannot be written")?;
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
            // What is left behind lies in the directory for temporary files.
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}
