//! Small fleets: the stand-ins run in this process, each daemon in its own process.

pub(crate) mod block;
mod builder;
pub(crate) mod daemon;
mod deployment;
mod diagnostics;
pub mod document;
mod outages;
mod settings;

use crate::{
    caller::{
        Caller,
        CallerSpec, //
    },
    fabric::Fabric,
    fleet::{
        block::Block,
        daemon::{
            Daemon,
            Signal, //
        },
        document::{
            Allowance,
            Defaults,
            Route,
            ServiceDocument,
            UpstreamEntry, //
        },
        settings::{
            Limits,
            Peer,
            Settings,
            Testing, //
        }, //
    },
    platform::{
        Platform,
        Vm,
        VmState, //
    },
    upstream::{
        Spec,
        Upstream, //
    }, //
};
use anyhow::{
    bail,
    Context, //
};
use foxtailhinge_config::report::{
    AuditPage,
    DaemonState,
    MemberState,
    Status,
    UpstreamState,
    UpstreamStatus, //
};
use std::{
    collections::BTreeMap,
    fs,
    net::IpAddr,
    path::PathBuf,
    process::ExitStatus,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

pub use builder::Builder;
pub use daemon::Program;
pub use deployment::Deployment;
pub use settings::KeyName;

/// Time within which all daemons must be in sync after their start.
const START_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval at which the daemons' status is checked.
const TICK: Duration = Duration::from_millis(50);
/// Time for which the fabric still forwards packets to a daemon that has exited.
const FABRIC_LAG: Duration = Duration::from_secs(1);
/// Environment variable that, when set, keeps the daemons' logs after the run.
const KEEP_LOGS: &str = "FOXTAILHINGE_KEEP_LOGS";
/// Number of last lines of a daemon's log that an error shows.
const LOG_LINES: usize = 15;
/// Setting `drain_s`: seconds within which a stopping daemon must hand over.
const DRAIN_S: u64 = 5;
/// Setting `pause_ms`: delay of a tick from which a daemon concludes that it was paused, in milliseconds.
const PAUSE_MS: u64 = 1000;

/// Checks a daemon's status; returns what is wrong with it, if anything.
type Check = fn(&Fleet, &Status) -> Option<String>;

/// A running fleet with its stand-ins.
pub struct Fleet {
    deployment: Deployment,
    zones: Vec<String>,
    seed: u64,
    callers: u64,
    program: Program,
    dir: PathBuf,
    block: Block,
    platform: Platform,
    fabrics: Vec<Fabric>,
    upstreams: Vec<Upstream>,
    documents: Vec<ServiceDocument>,
    revisions: BTreeMap<String, u64>,
    daemons: Vec<Daemon>,
    publishes_vms: bool,
}

impl Fleet {
    /// Returns a builder with default values.
    pub fn builder() -> Builder {
        Builder::new()
    }

    pub(crate) fn launch(plan: Builder) -> anyhow::Result<Self> {
        let block = Block::claim()?;
        let names = plan.deployment.zones().iter().take(plan.zones);
        let zones: Vec<String> = names.map(|&name| name.to_owned()).collect();
        let dir = std::env::temp_dir().join(format!(
            "foxtailhinge-{}-{}",
            std::process::id(),
            block.daemon(0)
        ));
        fs::create_dir_all(&dir)?;
        let mut fleet = Fleet {
            deployment: plan.deployment,
            platform: Platform::start(block.platform())?,
            zones,
            seed: plan.seed,
            callers: 0,
            program: plan.program.clone(),
            dir,
            block,
            fabrics: Vec::new(),
            upstreams: Vec::new(),
            documents: Vec::new(),
            revisions: BTreeMap::new(),
            daemons: Vec::new(),
            publishes_vms: plan.publishes_vms,
        };
        fleet.start_upstreams(&plan)?;
        fleet.start_fabrics(&plan)?;
        fleet.create_daemons(plan.daemons)?;
        fleet.list_vms();
        for index in 0..fleet.daemons.len() {
            fleet.daemons[index].start(&fleet.program)?;
        }
        let synced = fleet.wait_synced(START_TIMEOUT);
        synced.context("the fleet did not start")?;
        Ok(fleet)
    }

    fn start_upstreams(&mut self, plan: &Builder) -> anyhow::Result<()> {
        let mut index = 0;
        for (number, service) in plan.deployment.services().into_iter().enumerate() {
            let mut entries = Vec::new();
            for place in 0..plan.upstreams[number] {
                let name = format!("{}-{}", plan.deployment.prefix(number), place + 1);
                let zone = &self.zones[self.zone_index(place)];
                let mut spec = Spec::new(service, &name, zone);
                spec.seed = plan.seed.wrapping_add(index as u64);
                (plan.customize_upstream)(&mut spec);
                entries.push(entry(&spec, self.block.upstream(index)));
                let upstream = Upstream::start(self.block.upstream(index), spec)?;
                self.upstreams.push(upstream);
                index += 1;
            }
            let mut document = self.document(number, service, entries);
            (plan.edit)(&mut document);
            self.documents.push(document);
            self.publish(service);
        }
        Ok(())
    }

    fn document(
        &self,
        number: usize,
        service: &str,
        upstreams: Vec<UpstreamEntry>,
    ) -> ServiceDocument {
        let zones = self.zones.iter().map(|zone| (zone.clone(), "in")).collect();
        ServiceDocument {
            service: service.into(),
            address: self.block.service(number),
            zones,
            upstreams,
            cold_start: Allowance {
                slots: 1,
                connections: 100,
                ramp_s: 10,
            },
            defaults: Defaults {
                deadline_ms: 2000,
                queue: 16,
                retry_budget_percent: 10,
                idle_s: 3600,
            },
            routes: vec![Route {
                path: self.deployment.post_path().into(),
                idempotent: false,
                deadline_ms: 5000,
            }],
        }
    }

    fn start_fabrics(&mut self, plan: &Builder) -> anyhow::Result<()> {
        for service in 0..self.documents.len() {
            let ingress = |daemon| self.block.ingress(daemon, service);
            let daemons: Vec<_> = (0..plan.daemons).map(ingress).collect();
            let seed = plan.seed.wrapping_add(service as u64);
            let fabric = Fabric::start(self.block.service(service), &daemons, seed)?;
            self.set_latencies(&fabric, plan.daemons);
            self.fabrics.push(fabric);
        }
        Ok(())
    }

    /// Sets the latencies between callers and daemons to those of the deployment.
    fn set_latencies(&self, fabric: &Fabric, daemons: usize) {
        fabric.set(|behaviour| {
            behaviour.latency = self.deployment.caller_latency();
            behaviour.zone_latency = self.deployment.zone_latency();
        });
        for daemon in 0..daemons {
            fabric.assign_zone(self.block.daemon(daemon), self.zone_index(daemon));
        }
        for zone in 0..self.zones.len() {
            fabric.assign_zone(self.block.callers(zone), zone);
        }
    }

    /// Returns the availability zone of a daemon or of a service's upstream, each counted from zero.
    fn zone_index(&self, place: usize) -> usize {
        place % self.zones.len()
    }

    fn create_daemons(&mut self, count: usize) -> anyhow::Result<()> {
        for index in 0..count {
            let zone = &self.zones[self.zone_index(index)];
            let vm = format!("vm-{}", index + 1);
            let daemon = Daemon::new(&vm, zone, self.block.admin(index), &self.dir);
            self.daemons.push(daemon);
        }
        for index in 0..count {
            self.write_settings(index, &[KeyName::Old])?;
        }
        Ok(())
    }

    /// Writes the keys that a daemon uses from its next start on; the first one signs.
    pub fn set_keys(&self, vm: &str, keys: &[KeyName]) -> anyhow::Result<()> {
        self.write_settings(self.index(vm), keys)
    }

    fn write_settings(&self, index: usize, keys: &[KeyName]) -> anyhow::Result<()> {
        let settings = self.settings(index, keys);
        let text = serde_json::to_string_pretty(&settings)?;
        fs::write(&self.daemons[index].settings, text)?;
        Ok(())
    }

    fn settings(&self, index: usize, keys: &[KeyName]) -> Settings {
        let others = (0..self.daemons.len()).filter(|&other| other != index);
        let peer = |other: usize| Peer {
            vm: self.daemons[other].vm.clone(),
            zone: self.daemons[other].zone.clone(),
            relay: self.block.relay(other),
            control: self.block.control(other),
        };
        Settings {
            vm: self.daemons[index].vm.clone(),
            zone: self.daemons[index].zone.clone(),
            listen: self.block.daemon(index),
            relay: self.block.relay(index),
            control: self.block.control(index),
            admin: self.block.admin(index),
            platform: self.block.platform(),
            fleet: self.deployment.name().into(),
            keys: keys.iter().map(|name| name.key(self.seed)).collect(),
            peers: others.map(peer).collect(),
            limits: Limits {
                drain_s: DRAIN_S,
                pause_ms: PAUSE_MS,
            },
            log: "info".into(),
            testing: Testing { faults: true },
        }
    }

    /// Publishes the list of VMs, all of them live, unless the fleet is built without it.
    fn list_vms(&self) {
        if !self.publishes_vms {
            return;
        }
        let vms = self.daemons.iter().enumerate().map(|(index, daemon)| Vm {
            id: daemon.vm.clone(),
            zone: daemon.zone.clone(),
            state: VmState::Live,
            relay: self.block.relay(index),
            control: self.block.control(index),
        });
        self.platform.set_vms(vms.collect());
    }

    /// Returns the deployment that the fleet reproduces.
    pub fn deployment(&self) -> Deployment {
        self.deployment
    }

    /// Returns the names of the availability zones that the fleet uses.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// Returns the platform stand-in.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Returns the upstreams of all services, those of the first service first.
    pub fn upstreams(&self) -> &[Upstream] {
        &self.upstreams
    }

    /// Finds an upstream by its name.
    pub fn upstream(&self, name: &str) -> Option<&Upstream> {
        self.upstreams.iter().find(|one| one.name() == name)
    }

    /// Returns the fabric in front of a service.
    pub fn fabric(&self, service: &str) -> &Fabric {
        &self.fabrics[self.number(service)]
    }

    /// Returns the ids of all VMs of the fleet, whether or not their daemons run.
    pub fn vms(&self) -> Vec<String> {
        self.daemons.iter().map(|one| one.vm.clone()).collect()
    }

    /// Returns the ids of the VMs whose daemon runs.
    pub fn running(&self) -> Vec<String> {
        let running = self.daemons.iter().filter(|one| one.pid().is_some());
        running.map(|one| one.vm.clone()).collect()
    }

    /// Returns the availability zone of a VM.
    pub fn zone_of(&self, vm: &str) -> &str {
        &self.daemon(vm).zone
    }

    /// Opens a caller of a service in the first availability zone.
    pub fn caller(&mut self, service: &str) -> anyhow::Result<Caller> {
        self.caller_in(service, 0)
    }

    /// Opens a caller of a service in an availability zone, counted from zero.
    pub fn caller_in(&mut self, service: &str, zone: usize) -> anyhow::Result<Caller> {
        self.callers += 1;
        let address = self.block.service(self.number(service));
        let seed = self.seed.wrapping_mul(1_000_003).wrapping_add(self.callers);
        let mut spec = CallerSpec::new(service, address, seed);
        spec.from = self.block.callers(zone);
        Ok(Caller::open(spec)?)
    }

    /// Returns the last published document of a service.
    pub fn document_of(&self, service: &str) -> &ServiceDocument {
        &self.documents[self.number(service)]
    }

    /// Edits a service's document, publishes it and returns its revision.
    pub fn edit(&mut self, service: &str, edit: impl FnOnce(&mut ServiceDocument)) -> u64 {
        let number = self.number(service);
        edit(&mut self.documents[number]);
        self.publish(service)
    }

    fn publish(&mut self, service: &str) -> u64 {
        let text = self.documents[self.number(service)].text();
        let revision = self.platform.publish(service, &text);
        self.revisions.insert(service.to_owned(), revision);
        revision
    }

    /// Takes an availability zone out of service for one service; returns the document's revision.
    pub fn zone_out(&mut self, service: &str, zone: &str) -> u64 {
        self.edit(service, |document| document.set_zone(zone, false))
    }

    /// Takes an availability zone back into service for one service.
    pub fn zone_in(&mut self, service: &str, zone: &str) -> u64 {
        self.edit(service, |document| document.set_zone(zone, true))
    }

    /// Kills a daemon; the fabric removes it one second later.
    pub fn kill(&mut self, vm: &str) {
        self.daemon_mut(vm).kill();
        self.remove_from_fabrics(vm);
    }

    /// Asks a daemon to shut down with SIGTERM, without waiting; see [`Fleet::await_end`].
    pub fn stop(&self, vm: &str) {
        self.daemon(vm).signal(Signal::Terminate);
    }

    /// Waits up to `within` until a daemon has exited; the fabric removes it one second later.
    pub fn await_end(&mut self, vm: &str, within: Duration) -> Option<ExitStatus> {
        let status = self.daemon_mut(vm).wait(within);
        if status.is_some() {
            self.remove_from_fabrics(vm);
        }
        status
    }

    /// Pauses a daemon.
    pub fn freeze(&mut self, vm: &str) {
        self.daemon_mut(vm).freeze();
    }

    /// Resumes a paused daemon.
    pub fn wake(&mut self, vm: &str) {
        self.daemon_mut(vm).wake();
    }

    /// Starts a daemon that was killed or stopped.
    pub fn start(&mut self, vm: &str) -> anyhow::Result<()> {
        let program = self.program.clone();
        let daemon = self.daemon_mut(vm);
        // A daemon that exited by itself is still recorded as running.
        daemon.kill();
        daemon.start(&program)?;
        self.add_to_fabrics(vm);
        Ok(())
    }

    /// Makes a daemon drop all traffic to and from these peers.
    pub fn deny(&self, vm: &str, peers: &[&str]) -> anyhow::Result<()> {
        self.daemon(vm).deny(peers)
    }

    /// Isolates an availability zone from the other zones and from the platform.
    pub fn isolate_zone(&self, zone: &str) -> anyhow::Result<()> {
        self.confine_callers(zone);
        let (inside, outside) = self.split_by_zone(zone);
        let mut peers = outside.clone();
        peers.push("platform");
        for vm in self.filter_running(&inside) {
            self.deny(vm, &peers)?;
        }
        for vm in self.filter_running(&outside) {
            self.deny(vm, &inside)?;
        }
        Ok(())
    }

    /// Ends the isolation of all zones.
    pub fn reconnect_zones(&self) -> anyhow::Result<()> {
        for zone in 0..self.zones.len() {
            for fabric in &self.fabrics {
                fabric.release(self.block.callers(zone));
            }
        }
        let vms = self.vms();
        let vms: Vec<&str> = vms.iter().map(String::as_str).collect();
        for vm in self.filter_running(&vms) {
            self.deny(vm, &[])?;
        }
        Ok(())
    }

    /// Makes the fabrics forward packets of callers in a zone only to daemons in that zone, and packets of other
    /// callers only to daemons outside of it.
    fn confine_callers(&self, zone: &str) {
        let (inside, outside) = self.split_by_zone(zone);
        for (index, name) in self.zones.iter().enumerate() {
            let side = if name == zone { &inside } else { &outside };
            let daemons: Vec<IpAddr> = side.iter().map(|vm| self.ip_of(vm)).collect();
            for fabric in &self.fabrics {
                fabric.confine(self.block.callers(index), &daemons);
            }
        }
    }

    fn split_by_zone(&self, zone: &str) -> (Vec<&str>, Vec<&str>) {
        let vms = self.daemons.iter();
        let (inside, outside): (Vec<&Daemon>, Vec<_>) = vms.partition(|one| one.zone == zone);
        (
            inside.into_iter().map(|one| one.vm.as_str()).collect(),
            outside.into_iter().map(|one| one.vm.as_str()).collect(),
        )
    }

    fn filter_running<'a>(&self, vms: &[&'a str]) -> Vec<&'a str> {
        let runs = |vm: &&&str| self.daemon(vm).pid().is_some();
        vms.iter().filter(runs).copied().collect()
    }

    /// Returns the IP address of a VM.
    pub fn ip_of(&self, vm: &str) -> IpAddr {
        self.block.daemon(self.index(vm))
    }

    /// Removes a VM from the fabrics, which still forward packets to it for `FABRIC_LAG`.
    fn remove_from_fabrics(&self, vm: &str) {
        for (service, fabric) in self.fabrics.iter().enumerate() {
            fabric.remove(self.block.ingress(self.index(vm), service), FABRIC_LAG);
        }
    }

    /// Adds a VM to the fabrics again.
    fn add_to_fabrics(&self, vm: &str) {
        for (service, fabric) in self.fabrics.iter().enumerate() {
            fabric.add(self.block.ingress(self.index(vm), service));
        }
    }

    /// Reads a daemon's status.
    pub fn status(&self, vm: &str) -> anyhow::Result<Status> {
        self.daemon(vm).read_json("/status")
    }

    /// Returns the number of upstreams that their owners report as warm.
    pub fn warm_upstreams(&self) -> usize {
        let running = self.running();
        let statuses = running.iter().filter_map(|vm| self.status(vm).ok());
        let upstreams = statuses.flat_map(|status| status.upstreams);
        let warm = |one: &UpstreamStatus| {
            let owned = one.owned.as_ref();
            owned.is_some_and(|owned| owned.state == UpstreamState::Warm)
        };
        upstreams.filter(warm).count()
    }

    /// Reads a daemon's audit trail.
    pub fn audit(&self, vm: &str) -> anyhow::Result<AuditPage> {
        self.daemon(vm).read_json("/audit?since=0")
    }

    /// Reads a daemon's metrics.
    pub fn metrics(&self, vm: &str) -> anyhow::Result<String> {
        self.daemon(vm).read("/metrics")
    }

    /// Returns the process id of a daemon that runs.
    pub fn pid(&self, vm: &str) -> Option<u32> {
        self.daemon(vm).pid()
    }

    /// Returns the last lines of a daemon's log.
    pub fn log(&self, vm: &str) -> String {
        self.daemon(vm).log_tail(LOG_LINES)
    }

    /// Waits until each running daemon applies the last published documents.
    pub fn wait_applied(&mut self, within: Duration) -> anyhow::Result<()> {
        self.wait_for(within, Self::missing_document)
    }

    /// Waits until each running daemon applies the last published documents, is serving, sees exactly the running
    /// daemons as live, and holds the upstreams that it owns.
    pub fn wait_synced(&mut self, within: Duration) -> anyhow::Result<()> {
        self.wait_applied(within)?;
        self.wait_for(within, Self::wrong_member_state)?;
        self.wait_for(within, Self::missing_upstream)
    }

    /// Waits until a check passes for every daemon that runs and is not paused.
    fn wait_for(&mut self, within: Duration, check: Check) -> anyhow::Result<()> {
        let deadline = Instant::now() + within;
        loop {
            let Some((vm, cause)) = self.first_failing(check) else {
                return Ok(());
            };
            if Instant::now() >= deadline {
                let log = self.log(&vm);
                bail!("{vm} is not in sync: {cause}; its log ends with\n{log}");
            }
            thread::sleep(TICK);
        }
    }

    fn first_failing(&mut self, check: Check) -> Option<(String, String)> {
        for index in 0..self.daemons.len() {
            let daemon = &mut self.daemons[index];
            if daemon.pid().is_none() || daemon.is_frozen() {
                continue;
            }
            let vm = daemon.vm.clone();
            if let Some(status) = daemon.try_wait() {
                return Some((vm, format!("it exited with {status}")));
            }
            let cause = match self.status(&vm) {
                Ok(status) => check(self, &status),
                Err(e) => Some(format!("{e:#}")),
            };
            if let Some(cause) = cause {
                return Some((vm, cause));
            }
        }
        None
    }

    fn missing_document(&self, status: &Status) -> Option<String> {
        let held = |service: &str| {
            let mut documents = status.documents.iter();
            let found = documents.find(|one| &*one.service == service)?;
            Some(found.revision)
        };
        let old = |(service, revision): &(&String, &u64)| held(service) != Some(**revision);
        let (service, revision) = self.revisions.iter().find(old)?;
        let held = held(service);
        Some(format!(
            "it has revision {held:?} of {service}, not {revision}"
        ))
    }

    fn wrong_member_state(&self, status: &Status) -> Option<String> {
        if status.state != DaemonState::Serving {
            return Some(format!("it is {}", status.state));
        }
        let live = |vm: &str| {
            let mut members = status.members.iter();
            members.any(|one| &*one.vm == vm && one.state == MemberState::Live)
        };
        let runs = |daemon: &&Daemon| daemon.pid().is_some() && !daemon.is_frozen();
        let wrong = self.daemons.iter().find(|one| live(&one.vm) != runs(one))?;
        let (vm, seen) = (&wrong.vm, live(&wrong.vm));
        Some(format!("it sees {vm} as live: {seen}"))
    }

    fn missing_upstream(&self, status: &Status) -> Option<String> {
        let own = |one: &&UpstreamStatus| one.owner.as_ref() == Some(&status.vm);
        let mut owned = status.upstreams.iter().filter(own);
        let lacking = owned.find(|one| one.owned.is_none())?;
        Some(format!("it does not hold {} yet", lacking.upstream))
    }

    fn number(&self, service: &str) -> usize {
        let services = self.deployment.services();
        let found = services.iter().position(|one| *one == service);
        found.unwrap_or_else(|| panic!("the deployment has no service {service}"))
    }

    fn index(&self, vm: &str) -> usize {
        let found = self.daemons.iter().position(|one| one.vm == vm);
        found.unwrap_or_else(|| panic!("the fleet has no {vm}"))
    }

    fn daemon(&self, vm: &str) -> &Daemon {
        &self.daemons[self.index(vm)]
    }

    fn daemon_mut(&mut self, vm: &str) -> &mut Daemon {
        let index = self.index(vm);
        &mut self.daemons[index]
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("{}", diagnostics::collect(self));
        }
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        if thread::panicking() || std::env::var_os(KEEP_LOGS).is_some() {
            eprintln!("the daemons' logs are in {}", self.dir.display());
            return;
        }
        // A directory that cannot be removed stays among the temporary files, where it does no harm.
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn entry(spec: &Spec, address: std::net::SocketAddr) -> UpstreamEntry {
    UpstreamEntry {
        name: spec.name.clone(),
        address,
        zone: spec.zone.clone(),
        slots: spec.slots,
        connections: spec.connections,
        state: "serving",
    }
}
