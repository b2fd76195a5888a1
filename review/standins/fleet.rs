//! The daemons under test as processes, and the stand-ins around them.

use crate::client::{self, Habit};
use crate::judge::Judge;
use crate::router::{Router, Target};
use crate::server::{self, Handle, Spec};
use crate::store::Store;
use crate::util::{pause, signal, Record, Rng, SIGTERM};
use std::collections::HashMap;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::time::{Duration, Instant};

const PROGRAM: &str = "target/release/foxtailhinge";

/// Delay after which the platform starts a process that has ended.
const RESTART_MS: u64 = 300;

/// `grace_period_s` of the small installations.
const GRACE: Duration = Duration::from_secs(6);

pub struct Daemon {
    pub name: String,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    /// Whether an end of the process is the scenario's doing.
    is_stopping: AtomicBool,
    /// When the process was last started or told to stop.
    pub touched: Mutex<Instant>,
    pub own_ends: Mutex<u32>,
}

/// Zones with their numbers of daemons; services with their numbers of servers by zone.
pub struct Plan {
    pub zones: Vec<(&'static str, usize)>,
    pub services: Vec<(&'static str, Vec<usize>)>,
    pub work: Duration,
    /// Ids of the first servers, instead of random ones.
    pub ids: Vec<u64>,
}

pub struct Fleet {
    pub daemons: Vec<Arc<Daemon>>,
    pub data_addrs: Vec<SocketAddrV4>,
    pub servers: Vec<Spec>,
    pub store: Store,
    pub router: Arc<Router>,
    pub machines: Vec<(String, mpsc::Sender<Habit>)>,
    pub judge: Judge,
    pub record: Arc<Record>,
    pub stop: Arc<AtomicBool>,
    pub client_port: u16,
    dir: PathBuf,
    block: u8,
    version: Mutex<u64>,
    routes: Mutex<Vec<(SocketAddrV4, String, bool)>>,
    handles: Mutex<HashMap<u64, Handle>>,
}

impl Fleet {
    pub fn start(plan: &Plan, record: Arc<Record>) -> std::io::Result<Fleet> {
        if !Path::new(PROGRAM).exists() {
            return Err(std::io::Error::other(format!("no {PROGRAM}; run the build line of the deploy file")));
        }
        let mut rng = Rng::new(u64::from(std::process::id()) ^ 0xfeed);
        let (block, ports) = claim(&mut rng)?;
        let at = |group: u8, n: usize, port: u16| {
            SocketAddrV4::new(Ipv4Addr::new(127, block, group, n as u8 + 1), port)
        };
        let [data_port, ready_port, control_port, admin_port, store_port, server_port] = ports;
        let stop = Arc::new(AtomicBool::new(false));
        let judge = Judge::new(Arc::clone(&record));
        let store = Store::start(at(2, 0, store_port))?;
        let dir = std::env::temp_dir().join(format!("review-{}-{block}", std::process::id()));
        std::fs::create_dir_all(&dir)?;

        let places: Vec<&str> =
            plan.zones.iter().flat_map(|(zone, n)| std::iter::repeat_n(*zone, *n)).collect();
        let seeds: Vec<String> =
            (0..places.len().min(3)).map(|n| format!("\"{}\"", at(1, n, control_port))).collect();
        let mut daemons = Vec::new();
        let mut targets = Vec::new();
        let mut data_addrs = Vec::new();
        for (n, zone) in places.iter().enumerate() {
            let name = format!("frontend-{zone}-{n}");
            let settings = dir.join(format!("{name}.jsonc"));
            let (data, ready) = (at(1, n, data_port), at(1, n, ready_port));
            std::fs::write(
                &settings,
                format!(
                    "{{\n  \"interface\": \"packets\",\n  \"vm\": \"{name}\",\n  \"zone\": \"{zone}\",\n  \
                     \"listen\": \"{data}\",\n  \"ready\": \"{ready}\",\n  \"admin\": \"{}\",\n  \
                     \"control\": \"{}\",\n  \"seeds\": [{}],\n  \"limits\": {{ \"flow_s\": 60, \"grace_s\": 6, \
                     \"notice_ms\": 4000, \"configure_ms\": 3000, \"drain_ms\": 3000, \"zone_out_ms\": 5000 }},\n  \
                     \"store\": \"{}\"\n}}\n",
                    at(1, n, admin_port),
                    at(1, n, control_port),
                    seeds.join(","),
                    at(2, 0, store_port),
                ),
            )?;
            targets.push(Target::new(&name, zone, data, ready));
            data_addrs.push(data);
            daemons.push(Arc::new(Daemon {
                log: dir.join(format!("{name}.log")),
                name,
                settings,
                child: Mutex::new(None),
                is_stopping: AtomicBool::new(false),
                touched: Mutex::new(Instant::now()),
                own_ends: Mutex::new(0),
            }));
        }
        let zones = plan.zones.iter().map(|(zone, _)| (*zone).to_owned()).collect();
        let router = Router::start(targets, zones, Arc::clone(&record), Arc::clone(&stop));

        let mut servers = Vec::new();
        for (service, counts) in &plan.services {
            for ((zone, _), count) in plan.zones.iter().zip(counts) {
                for _ in 0..*count {
                    let n = servers.len();
                    let id = plan.ids.get(n).copied().unwrap_or_else(|| rng.next() >> 24);
                    servers.push(Spec {
                        id,
                        service: (*service).to_owned(),
                        zone: (*zone).to_owned(),
                        addr: at(3, n, server_port),
                        slots: 4,
                        queue: 16,
                        work: plan.work,
                    });
                }
            }
        }
        let mut machines = Vec::new();
        for (zone, _) in &plan.zones {
            for _ in 0..4 {
                let addr = at(4, machines.len(), data_port);
                let tx = client::start(addr, zone, Arc::clone(&router), judge.clone(), Arc::clone(&stop))?;
                machines.push(((*zone).to_owned(), tx));
            }
        }
        let fleet = Fleet {
            daemons,
            data_addrs,
            servers,
            store,
            router,
            machines,
            judge,
            record,
            stop,
            client_port: data_port,
            dir,
            block,
            version: Mutex::new(1),
            routes: Mutex::default(),
            handles: Mutex::default(),
        };
        for spec in &fleet.servers {
            fleet.start_server(spec)?;
        }
        Ok(fleet)
    }

    pub fn start_server(&self, spec: &Spec) -> std::io::Result<()> {
        let handle = server::start(spec.clone(), self.client_port, self.judge.clone(), Arc::clone(&self.stop))?;
        self.handles.lock().unwrap().insert(spec.id, handle);
        let (key, value) = spec.entry("ready", 1);
        let revision = self.store.write(&key, Some(value));
        self.record.line(&format!("{key} of {} at {} acked, revision {revision}", spec.service, spec.addr));
        Ok(())
    }

    /// A server reports `draining`, serves on for `serves_on` and leaves.
    pub fn drain_server(&self, spec: &Spec, serves_on: Duration) {
        let handle = self.handles.lock().unwrap()[&spec.id].clone();
        let (key, value) = spec.entry("draining", 2);
        let revision = self.store.write(&key, Some(value));
        handle.is_draining.store(true, Ordering::Relaxed);
        self.record.say(&format!("{key} draining, acked, revision {revision}"));
        let (store, record) = (self.store.clone(), Arc::clone(&self.record));
        std::thread::spawn(move || {
            std::thread::sleep(serves_on);
            handle.is_ended.store(true, Ordering::Relaxed);
            store.write(&key, None);
            record.line(&format!("{key} has left"));
        });
    }

    /// Adds a route and writes the configuration; returns the route's address after the ack.
    pub fn add_route(&self, service: &str, is_idempotent: bool) -> SocketAddrV4 {
        let mut routes = self.routes.lock().unwrap();
        let addr = SocketAddrV4::new(Ipv4Addr::new(127, self.block, 5, 1 + routes.len() as u8), 8443);
        routes.push((addr, service.to_owned(), is_idempotent));
        drop(routes);
        self.write_config();
        addr
    }

    pub fn write_config(&self) {
        let mut version = self.version.lock().unwrap();
        *version += 3;
        let routes = self.routes.lock().unwrap();
        let texts: Vec<String> = routes
            .iter()
            .enumerate()
            .map(|(n, (addr, service, is_idempotent))| {
                let (kind, budget, aim) = match is_idempotent {
                    true => ("idempotent", 2_500, 250),
                    false => ("non_idempotent", 3_000, 300),
                };
                format!(
                    "{{\"name\":\"r-{n}\",\"hostname\":\"{}\",\"prefix\":\"/{}/\",\"type\":\"{kind}\",\"timeout_ms\":{budget},\
                     \"target_latency_ms\":{aim},\"priority\":2,\"service\":\"{service}\",\"max_attempts\":2}}",
                    addr.ip(),
                    addr.port()
                )
            })
            .collect();
        let value = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[],\"limits\":{{\"max_header_bytes\":16384,\
             \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
            texts.join(",")
        );
        let revision = self.store.write("op/config", Some(value));
        self.record.line(&format!("version {version} acked, revision {revision}, {} routes", routes.len()));
    }

    /// Lets `n` users join on the machines in turn.
    pub fn users(&self, n: usize, habit: &Habit) {
        for at in 0..n {
            let _ = self.machines[at % self.machines.len()].1.send(habit.clone());
        }
    }

    pub fn start_daemons(&self) -> bool {
        for daemon in &self.daemons {
            daemon.run(&self.record);
            self.keep_running(daemon);
        }
        let until = Instant::now() + Duration::from_secs(15);
        while !self.router.all_ready() && Instant::now() < until {
            pause(50);
        }
        self.router.all_ready()
    }

    /// Starts the process again whenever it ends, as the platform does.
    fn keep_running(&self, daemon: &Arc<Daemon>) {
        let (daemon, record, stop) = (Arc::clone(daemon), Arc::clone(&self.record), Arc::clone(&self.stop));
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                pause(20);
                let mut child = daemon.child.lock().unwrap();
                let Some(Ok(Some(status))) = child.as_mut().map(Child::try_wait) else {
                    continue;
                };
                *child = None;
                drop(child);
                let is_planned = daemon.is_stopping.swap(false, Ordering::Relaxed);
                match is_planned {
                    true => record.say(&format!("{} has ended ({status})", daemon.name)),
                    false => {
                        *daemon.own_ends.lock().unwrap() += 1;
                        record.say(&format!("{} has ended BY ITSELF ({status})", daemon.name));
                    }
                }
                pause(RESTART_MS);
                if !stop.load(Ordering::Relaxed) {
                    daemon.run(&record);
                }
            }
        });
    }

    /// Ends the daemons and the stand-ins.
    pub fn end(&self) {
        if self.stop.swap(true, Ordering::Relaxed) {
            return;
        }
        pause(600);
        for daemon in &self.daemons {
            if let Some(mut child) = daemon.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        match std::env::var_os("KEEP") {
            Some(_) => println!("logs in {}", self.dir.display()),
            None => drop(std::fs::remove_dir_all(&self.dir)),
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.end();
    }
}

impl Daemon {
    fn run(&self, record: &Record) {
        let log = File::options().create(true).append(true).open(&self.log).expect("log file");
        let errors = log.try_clone().expect("log file");
        let child = Command::new(PROGRAM)
            .arg("--settings")
            .arg(&self.settings)
            .env("FOXTAILHINGE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the daemon's program; run the build of the deploy file first");
        record.line(&format!("{} started", self.name));
        *self.touched.lock().unwrap() = Instant::now();
        *self.child.lock().unwrap() = Some(child);
    }

    /// SIGTERM, and SIGKILL after the grace period; returns at once.
    pub fn terminate(self: &Arc<Self>, record: &Arc<Record>) {
        self.is_stopping.store(true, Ordering::Relaxed);
        let Some(pid) = self.child.lock().unwrap().as_ref().map(Child::id) else {
            return;
        };
        record.say(&format!("SIGTERM to {}", self.name));
        signal(pid, SIGTERM);
        let daemon = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(GRACE);
            let mut child = daemon.child.lock().unwrap();
            if let Some(child) = child.as_mut().filter(|child| child.id() == pid) {
                let _ = child.kill();
            }
        });
    }

    /// SIGKILL.
    pub fn kill(&self, record: &Record) {
        self.is_stopping.store(true, Ordering::Relaxed);
        if let Some(child) = self.child.lock().unwrap().as_mut() {
            record.say(&format!("SIGKILL to {}", self.name));
            let _ = child.kill();
        }
    }
}

/// Finds a block of loopback addresses and ports that nobody uses.
fn claim(rng: &mut Rng) -> std::io::Result<(u8, [u16; 6])> {
    let mut last = None;
    for _ in 0..50 {
        let block = 64 + rng.below(180) as u8;
        let first = 12_000 + 6 * rng.below(3_000) as u16;
        let ports = [first, first + 1, first + 2, first + 3, first + 4, first + 5];
        let ip = Ipv4Addr::new(127, block, 1, 1);
        let free = ports.iter().try_for_each(|port| {
            TcpListener::bind((Ipv4Addr::UNSPECIFIED, *port))?;
            UdpSocket::bind((Ipv4Addr::UNSPECIFIED, *port))?;
            TcpListener::bind((ip, *port)).map(drop)
        });
        match free {
            Ok(()) => return Ok((block, ports)),
            Err(err) => last = Some(err),
        }
    }
    Err(last.unwrap_or_else(|| std::io::Error::other("no free ports")))
}
