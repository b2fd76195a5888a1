//! Cost of one daemon process by services in force and by owned upstreams: processor time, memory, open files.
//!
//! Run with `cargo bench -p foxtailhinge --bench services`. A stand-in for the platform publishes the documents,
//! each with two upstreams; the daemon is a real process that is measured through `/proc`. `-- parts` only breaks
//! down the memory of one service, within this process; `-- services`, `-- full`, `-- churn` or `-- owned` only
//! prints that table.

#[path = "../common/mod.rs"]
mod common;
#[path = "../../tests/memory/fixture.rs"]
mod fixture;
mod heap;
mod parts;

use common::{
    cpu_of,
    serve,
    us, //
};
use fixture::{
    document,
    name,
    unowned_upstreams, //
};
use foxtailhinge_standins::platform::{
    Platform,
    Vm,
    VmState, //
};
use std::{
    fs,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    path::PathBuf,
    process::{
        Child,
        Command,
        Stdio, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

const SERVICES: [usize; 4] = [1, 500, 2_000, 7_300];
const OWNED: [usize; 4] = [0, 25, 50, 100];
/// Documents that are changed one by one, to measure the processor time of a change.
const CHANGES: u32 = 20;
/// Design size: number of VMs.
const VMS: usize = 2_400;
/// Design size: number of availability zones.
const ZONES: usize = 7;
/// Number of services whose documents are all replaced in each round.
const CHURNED: usize = 2_000;
/// Number of rounds of replacements.
const ROUNDS: u32 = 5;
/// Time over which the processor time of an idle daemon is measured.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// Longest wait for a metric.
const TIMEOUT: Duration = Duration::from_secs(150);
/// Interval at which a metric is polled.
const METRIC_INTERVAL: Duration = Duration::from_millis(20);
/// Loopback blocks of the `parts`, `churn` and `full` tables.
const PARTS_BLOCK: u8 = 20;
const CHURN_BLOCK: u8 = 21;
const FULL_BLOCK: u8 = 22;
const UPSTREAM_PORT: u16 = 5683;

/// Block of loopback addresses of one daemon and its stand-ins.
struct Block(u8);

impl Block {
    fn ip(&self, host: u8) -> Ipv4Addr {
        let third = (std::process::id() % 250) as u8;
        Ipv4Addr::new(127, 200 + self.0, third, host)
    }

    fn addr(&self, host: u8, port: u16) -> SocketAddr {
        (self.ip(host), port).into()
    }
}

/// A daemon process that is killed when this value is dropped.
struct Daemon {
    child: Child,
    settings: PathBuf,
}

impl Daemon {
    fn start(block: &Block, platform: SocketAddr) -> Daemon {
        let text = format!(
            r#"{{ "vm": "vm-1", "zone": "windhoek-1", "listen": "{}", "relay": "{}", "control": "{}",
                "admin": "{}", "platform": "{platform}", "fleet": "bench",
                "keys": [ {{ "slot": 0, "secret": "{}" }} ] }}"#,
            block.addr(1, 0).ip(),
            block.addr(1, 7000),
            block.addr(1, 7001),
            block.addr(1, 7002),
            "07".repeat(32)
        );
        let name = format!("foxtailhinge-bench-{}-{}.json", std::process::id(), block.0);
        let settings = std::env::temp_dir().join(name);
        fs::write(&settings, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_foxtailhinge"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Daemon { child, settings }
    }

    fn pid(&self) -> u32 {
        self.child.id()
    }

    fn cpu(&self) -> Duration {
        cpu_of(self.pid())
    }

    fn open_files(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.pid())).map_or(0, Iterator::count)
    }

    /// Reads the size `what` of the process from `/proc`, in MB.
    fn size_mb(&self, what: &str) -> f64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap();
        let line = text.lines().find(|line| line.starts_with(what)).unwrap();
        let kb: f64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
        kb / 1024.0
    }

    /// Formats the resident size, its part of mapped files, and the peak resident size.
    fn sizes(&self) -> String {
        let sizes = ["VmRSS:", "RssFile:", "VmHWM:"].map(|what| self.size_mb(what));
        let [resident, files, peak] = sizes.map(|mb| format!("{mb:>8.1} MB"));
        format!("{resident} {files} {peak}")
    }

    /// Waits until the sum of a metric's samples is at least `n`; returns how long it took.
    fn wait(&self, block: &Block, metric: &str, n: usize) -> Option<Duration> {
        let began = Instant::now();
        while began.elapsed() < TIMEOUT {
            if read_metric(block, metric).is_some_and(|value| value >= n as f64) {
                return Some(began.elapsed());
            }
            thread::sleep(METRIC_INTERVAL);
        }
        None
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Returns the sum of the samples of a metric.
fn read_metric(block: &Block, metric: &str) -> Option<f64> {
    let url = format!("http://{}/metrics", block.addr(1, 7002));
    let text = ureq::get(&url).call().ok()?.into_string().ok()?;
    let lines = text.lines().filter(|line| line.starts_with(metric));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    Some(values.sum())
}

fn publish(platform: &Platform, i: usize, note: u32) -> u64 {
    let text = document(i, note, &unowned_upstreams(i));
    platform.publish(&name(i), &text)
}

fn publish_all(platform: &Platform, n: usize, note: u32) {
    for i in 0..n {
        publish(platform, i, note);
    }
}

/// Measures the share of one core that the idle daemon uses, in percent.
fn idle_percent(daemon: &Daemon) -> f64 {
    let before = daemon.cpu();
    thread::sleep(IDLE_TIME);
    (daemon.cpu() - before).as_secs_f64() / IDLE_TIME.as_secs_f64() * 100.0
}

/// Measures a daemon with `n` services in force.
fn services(block: &Block, n: usize) {
    let platform = Platform::start(block.addr(250, 8080)).unwrap();
    publish_all(&platform, n, 0);
    let daemon = Daemon::start(block, platform.addr());
    let took = daemon.wait(block, "foxtailhinge_documents_applied_total", n);
    let start = daemon.cpu();
    let took = seconds(took);
    thread::sleep(Duration::from_secs(4));
    let calm = idle_percent(&daemon);
    let before = daemon.cpu();
    let pause = Duration::from_millis(150);
    for note in 1..=CHANGES {
        publish(&platform, note as usize % n, note);
        thread::sleep(pause);
    }
    let changes = daemon.cpu() - before;
    let idle = (pause * CHANGES).mul_f64(calm / 100.0);
    let change = us(changes.saturating_sub(idle)) / f64::from(CHANGES);
    println!(
        "{n:>8} {took:>9} {:>9.2} s {} {:>7} {calm:>8.2} % {change:>10.0} us",
        start.as_secs_f64(),
        daemon.sizes(),
        daemon.open_files(),
    );
}

fn seconds(took: Option<Duration>) -> String {
    took.map_or(String::from("not all"), |took| {
        format!("{:.2} s", took.as_secs_f64())
    })
}

/// Returns VMs of seven zones for the platform's list. Only the measured daemon's own VM runs a daemon.
fn listed_vms(block: &Block, n: usize) -> Vec<Vm> {
    let third = |i: usize| (i / 200) as u8;
    let ip = |i: usize| Ipv4Addr::new(127, 200 + block.0 + 1, third(i), (i % 200) as u8 + 1);
    let vm = |i: usize| Vm {
        id: format!("vm-{i}"),
        zone: format!("windhoek-{}", i % ZONES + 1),
        relay: (ip(i), 7000).into(),
        control: (ip(i), 7001).into(),
        state: VmState::Live,
    };
    (0..n).filter(|i| *i != 1).map(vm).collect()
}

/// Measures a daemon with all services and the platform's complete list of VMs.
fn full(block: &Block, n: usize, vms: usize) {
    let platform = Platform::start(block.addr(250, 8080)).unwrap();
    platform.set_vms(listed_vms(block, vms));
    publish_all(&platform, n, 0);
    let daemon = Daemon::start(block, platform.addr());
    let took = daemon.wait(block, "foxtailhinge_documents_applied_total", n);
    thread::sleep(Duration::from_secs(4));
    let calm = idle_percent(&daemon);
    println!(
        "{n:>8} {vms:>8} {:>9} {} {:>7} {calm:>8.2} %",
        seconds(took),
        daemon.sizes(),
        daemon.open_files(),
    );
}

/// Replaces all documents several times, as changes over a year do, and prints the memory in use afterwards.
fn churn(block: &Block, n: usize) {
    let platform = Platform::start(block.addr(250, 8080)).unwrap();
    publish_all(&platform, n, 0);
    let daemon = Daemon::start(block, platform.addr());
    for round in 0..=ROUNDS {
        let applied = n * (round as usize + 1);
        let took = daemon.wait(block, "foxtailhinge_documents_applied_total", applied);
        thread::sleep(Duration::from_secs(2));
        println!("{round:>8} {:>9} {}", seconds(took), daemon.sizes());
        publish_all(&platform, n, round + 1);
    }
}

/// Measures a daemon that owns `n` upstreams.
fn owned(block: &Block, n: usize) {
    let platform = Platform::start(block.addr(250, 8080)).unwrap();
    let upstreams: Vec<_> = (0..n)
        .map(|i| (block.addr(100 + i as u8, UPSTREAM_PORT), "windhoek-1"))
        .collect();
    for (addr, _) in &upstreams {
        serve(*addr);
    }
    platform.publish("syncdesk-api-0000", &document(0, 0, &upstreams));
    let daemon = Daemon::start(block, platform.addr());
    let took = daemon.wait(block, "foxtailhinge_upstreams", n);
    thread::sleep(Duration::from_secs(4));
    let calm = idle_percent(&daemon);
    println!(
        "{n:>8} {:>9} {} {:>7} {calm:>8.2} %",
        if took.is_some() { "yes" } else { "no" },
        daemon.sizes(),
        daemon.open_files(),
    );
}

fn main() {
    let only = std::env::args().skip(1).find(|arg| !arg.starts_with('-'));
    let wants = |what| only.as_deref().is_none_or(|only| only == what);
    if wants("parts") {
        parts::run(&Block(PARTS_BLOCK), SERVICES[3]);
        println!();
    }
    if wants("services") {
        all_services();
        println!();
    }
    if wants("full") {
        println!(
            "{:>8} {:>8} {:>9} {:>11} {:>11} {:>11} {:>7} {:>10}",
            "services", "VMs", "in force", "resident", "mapped", "peak", "files", "calm"
        );
        full(&Block(FULL_BLOCK), SERVICES[3], VMS);
        println!();
    }
    if wants("churn") {
        println!(
            "{:>8} {:>9} {:>11} {:>11} {:>11}",
            "replaced", "in force", "resident", "mapped", "peak"
        );
        churn(&Block(CHURN_BLOCK), CHURNED);
        println!();
    }
    if wants("owned") {
        all_owned();
    }
}

fn all_services() {
    println!(
        "{:>8} {:>9} {:>11} {:>11} {:>11} {:>11} {:>7} {:>10} {:>13}",
        "services",
        "in force",
        "cpu of it",
        "resident",
        "mapped",
        "peak",
        "files",
        "calm",
        "a change"
    );
    for (i, n) in SERVICES.into_iter().enumerate() {
        services(&Block(i as u8), n);
    }
}

fn all_owned() {
    println!(
        "{:>8} {:>9} {:>11} {:>11} {:>11} {:>7} {:>10}",
        "owned", "held", "resident", "mapped", "peak", "files", "calm"
    );
    for (i, n) in OWNED.into_iter().enumerate() {
        owned(&Block((SERVICES.len() + i) as u8), n);
    }
}
