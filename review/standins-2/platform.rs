//! Stand-in for the platform around a small deployment in packet mode: the store, servers, clients and the on-call
//! engineer. It starts the daemons, plays one case, writes the record and ends the daemons.
//!
//! Uses the standard library only. Every address is a loopback address.

use std::{
    collections::BTreeMap,
    env,
    fs::{self, File},
    io::{BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, ExitCode, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

const SYN: u8 = 4;
const ACK: u8 = 2;
const FIN: u8 = 16;
const RST: u8 = 32;
const HEAD: usize = 32;

/// Bounds of the deployment, as in the example of the settings.
const EVACUATION_MS: u64 = 5_000;
const CONTACT_MS: u64 = 4_000;
/// Time for which a machine stands still.
const FREEZE: Duration = Duration::from_secs(4);
/// Entries of another writer, and the size of each: the settings allow values of 1,048,576 bytes.
const FOREIGN_ENTRIES: u32 = 18;
const FOREIGN_BYTES: usize = 1_000_000;
/// Time for which the store keeps its history.
const HISTORY: Duration = Duration::from_secs(20);
/// Size of a page of the list after which no further item is added, and the largest number of items.
const PAGE_BYTES: usize = 1_000_000;
const PAGE_ITEMS: usize = 500;

// ---------------------------------------------------------------- record

#[derive(Clone)]
struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    fn write(&self, line: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {line}");
    }
}

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct Item {
    text: Arc<str>,
    bytes: usize,
    revision: u64,
    created: u64,
}

#[derive(Clone)]
struct Event {
    at: Instant,
    key: Arc<str>,
    revision: u64,
    /// The written item; `None` when the key was removed.
    item: Option<Item>,
}

#[derive(Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<Arc<str>, Item>,
    history: Vec<Event>,
    /// Highest revision that is no longer in the history.
    dropped: u64,
}

#[derive(Clone)]
struct Store {
    inner: Arc<(Mutex<Contents>, Condvar)>,
    record: Record,
}

impl Store {
    fn put(&self, key: &str, value: &[u8]) -> u64 {
        let text: Arc<str> = base64(value).into();
        let (lock, changed) = &*self.inner;
        let mut c = lock.lock().unwrap();
        c.revision += 1;
        let revision = c.revision;
        let key: Arc<str> = key.into();
        let created = c.items.get(&key).map_or(revision, |item| item.created);
        let item = Item {
            text,
            bytes: value.len(),
            revision,
            created,
        };
        c.items.insert(key.clone(), item.clone());
        c.history.push(Event {
            at: Instant::now(),
            key,
            revision,
            item: Some(item),
        });
        changed.notify_all();
        revision
    }

    fn serve(self, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            let store = self.clone();
            thread::spawn(move || {
                let _ = store.serve_connection(stream);
            });
        }
    }

    fn serve_connection(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut out = stream;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let target = line.split(' ').nth(1).unwrap_or("").to_owned();
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header)? == 0 || header.trim().is_empty() {
                    break;
                }
            }
            let (status, body) = self.answer(&target);
            if status != 200 || body.len() > 1_000_000 {
                let call = target.split('?').next().unwrap_or("");
                self.record.write(&format!(
                    "store answers {call}: {status}, {} bytes",
                    body.len()
                ));
            }
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            out.write_all(head.as_bytes())?;
            out.write_all(body.as_bytes())?;
        }
    }

    fn answer(&self, target: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let get = |name: &str| {
            query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(key, _)| *key == name)
                .map(|(_, value)| decode_percent(value))
        };
        let prefix = get("prefix").unwrap_or_default();
        // An answer takes 4 ms.
        thread::sleep(Duration::from_millis(4));
        match path {
            "/api/kv-range" => (200, self.list(&prefix, get("after").as_deref())),
            "/api/kv-watch" => {
                let after = get("after").and_then(|v| v.parse().ok()).unwrap_or(0);
                let wait = get("wait_ms").and_then(|v| v.parse().ok()).unwrap_or(0);
                self.watch(&prefix, after, Duration::from_millis(wait))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn list(&self, prefix: &str, after: Option<&str>) -> String {
        let c = self.inner.0.lock().unwrap();
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (key, item) in &c.items {
            if !key.starts_with(prefix) || after.is_some_and(|after| &**key <= after) {
                continue;
            }
            if items.len() >= PAGE_ITEMS || (bytes > 0 && bytes + item.bytes > PAGE_BYTES) {
                has_more = true;
                break;
            }
            bytes += item.bytes;
            items.push(item_json(key, item));
        }
        format!(
            "{{\"items\":[{}],\"has_more\":{has_more},\"store_revision\":{}}}",
            items.join(","),
            c.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let (lock, changed) = &*self.inner;
        let until = Instant::now() + wait;
        let mut c = lock.lock().unwrap();
        loop {
            let now = Instant::now();
            while c.history.first().is_some_and(|e| now > e.at + HISTORY) {
                c.dropped = c.history.remove(0).revision;
            }
            if after < c.dropped {
                return (410, "{}".to_owned());
            }
            let events: Vec<_> = c
                .history
                .iter()
                .filter(|e| e.revision > after && e.key.starts_with(prefix))
                .map(|e| match &e.item {
                    Some(item) => item_json(&e.key, item),
                    None => format!(
                        "{{\"key\":\"{}\",\"revision\":{},\"tombstone\":true}}",
                        e.key, e.revision
                    ),
                })
                .collect();
            if !events.is_empty() || now >= until {
                let body = format!(
                    "{{\"events\":[{}],\"store_revision\":{}}}",
                    events.join(","),
                    c.revision
                );
                return (200, body);
            }
            c = changed.wait_timeout(c, until - now).unwrap().0;
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created_rev\":{},\"lease\":0}}",
        item.text, item.revision, item.created
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let n = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for i in 0..4 {
            match i <= chunk.len() {
                true => text.push(char::from(DIGITS[(n >> (18 - 6 * i) & 63) as usize])),
                false => text.push('='),
            }
        }
    }
    text
}

fn decode_percent(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        match byte {
            b'%' => {
                let hex: Vec<u8> = bytes.by_ref().take(2).collect();
                let hex = String::from_utf8_lossy(&hex).into_owned();
                out.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
            }
            byte => out.push(byte),
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

// ---------------------------------------------------------------- packets

#[derive(Clone, Debug)]
struct Packet {
    echo: u32,
    src: SocketAddrV4,
    dst: SocketAddrV4,
    seq: u32,
    ack: u32,
    flags: u8,
    data: Vec<u8>,
}

impl Packet {
    fn encode(&self) -> Vec<u8> {
        let mut b = Vec::with_capacity(HEAD + self.data.len());
        b.extend(self.echo.to_be_bytes());
        for addr in [self.src, self.dst] {
            b.extend(addr.ip().octets());
            b.extend(addr.port().to_be_bytes());
        }
        b.extend(self.seq.to_be_bytes());
        b.extend(self.ack.to_be_bytes());
        b.extend((self.data.len() as u16).to_be_bytes());
        b.push(self.flags);
        b.push(0);
        b.extend(0x1234_5678_u32.to_be_bytes());
        b.extend(&self.data);
        b
    }

    fn decode(b: &[u8]) -> Option<Self> {
        let u32_at = |at: usize| Some(u32::from_be_bytes(b.get(at..at + 4)?.try_into().ok()?));
        let u16_at = |at: usize| Some(u16::from_be_bytes(b.get(at..at + 2)?.try_into().ok()?));
        let addr = |at: usize| {
            Some(SocketAddrV4::new(
                Ipv4Addr::from(u32_at(at)?),
                u16_at(at + 4)?,
            ))
        };
        Some(Self {
            echo: u32_at(0)?,
            src: addr(4)?,
            dst: addr(10)?,
            seq: u32_at(16)?,
            ack: u32_at(20)?,
            flags: *b.get(26)?,
            data: b.get(HEAD..HEAD + usize::from(u16_at(24)?))?.to_vec(),
        })
    }

    fn reply(&self, flags: u8, seq: u32, data: Vec<u8>) -> Self {
        let len = self.data.len() as u32 + u32::from(self.flags & (SYN | FIN) != 0);
        Self {
            echo: self.echo,
            src: self.dst,
            dst: self.src,
            seq,
            ack: self.seq.wrapping_add(len),
            flags,
            data,
        }
    }
}

/// A server: accepts flows, answers each request and forgets a flow that ends.
struct Server {
    name: &'static str,
    id: u64,
    socket: UdpSocket,
    port: u16,
    /// Number of opening packets that arrived, and when each of them did.
    openings: Arc<Mutex<Vec<Instant>>>,
    record: Record,
}

impl Server {
    fn run(self) {
        let mut flows: BTreeMap<SocketAddrV4, u32> = BTreeMap::new();
        let mut buf = [0; 2048];
        loop {
            let Ok((len, _)) = self.socket.recv_from(&mut buf) else {
                return;
            };
            let id = buf.first_chunk().map(|id| u64::from_be_bytes(*id));
            let Some(packet) = Packet::decode(&buf[8.min(len)..len]) else {
                continue;
            };
            if id != Some(self.id) && id != Some(0) {
                continue;
            }
            let caller = packet.src;
            let reply = if packet.flags & SYN != 0 {
                self.openings.lock().unwrap().push(Instant::now());
                self.record
                    .write(&format!("{} takes the opening of {caller}", self.name));
                flows.insert(caller, 1_000);
                packet.reply(SYN | ACK, 999, Vec::new())
            } else if packet.flags & RST != 0 {
                flows.remove(&caller);
                continue;
            } else if packet.flags & FIN != 0 {
                let seq = flows.remove(&caller).unwrap_or(packet.ack);
                packet.reply(ACK, seq, Vec::new())
            } else if packet.data.is_empty() {
                continue;
            } else if let Some(seq) = flows.get_mut(&caller) {
                self.record
                    .write(&format!("{} runs the request of {caller}", self.name));
                let answer = vec![b'x'; 600];
                let at = *seq;
                *seq += answer.len() as u32;
                packet.reply(ACK, at, answer)
            } else {
                packet.reply(RST, packet.ack, Vec::new())
            };
            let to = SocketAddrV4::new(*reply.dst.ip(), self.port);
            let _ = self.socket.send_to(&reply.encode(), to);
        }
    }
}

/// Clients that open a flow for each request through one daemon.
struct Clients {
    socket: UdpSocket,
    ip: Ipv4Addr,
    route: SocketAddrV4,
    daemon: SocketAddrV4,
    answered: Arc<AtomicU64>,
    reset: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    record: Record,
}

impl Clients {
    fn run(self) {
        let _ = self.socket.set_read_timeout(Some(Duration::from_millis(5)));
        let mut port = 2_000_u16;
        let mut next = Instant::now();
        let mut buf = [0; 2048];
        while !self.stop.load(Ordering::Relaxed) {
            if Instant::now() >= next {
                next += Duration::from_millis(50);
                port += 1;
                let src = SocketAddrV4::new(self.ip, port);
                self.record.write(&format!("client {src} opens a flow"));
                self.send(&Packet {
                    echo: 0,
                    src,
                    dst: self.route,
                    seq: 500,
                    ack: 0,
                    flags: SYN,
                    data: Vec::new(),
                });
            }
            let Ok((len, _)) = self.socket.recv_from(&mut buf) else {
                continue;
            };
            let Some(packet) = Packet::decode(&buf[..len]) else {
                continue;
            };
            let src = packet.dst;
            if packet.flags & RST != 0 {
                self.reset.fetch_add(1, Ordering::Relaxed);
                self.record.write(&format!("client {src} is reset"));
            } else if packet.flags & SYN != 0 {
                let request = b"GET /item HTTP/1.1\r\n\r\n".to_vec();
                let mut reply = packet.reply(ACK, packet.ack, request);
                reply.ack = packet.seq.wrapping_add(1);
                self.send(&reply);
            } else if !packet.data.is_empty() {
                self.answered.fetch_add(1, Ordering::Relaxed);
                self.record.write(&format!("client {src} has its answer"));
                self.send(&packet.reply(FIN | ACK, packet.ack, Vec::new()));
            }
        }
    }

    fn send(&self, packet: &Packet) {
        let _ = self.socket.send_to(&packet.encode(), self.daemon);
    }
}

// ---------------------------------------------------------------- daemons

struct Daemons(Vec<Child>);

impl Drop for Daemons {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Fills in the template of the settings: sections are present, and placeholders have the given values.
fn fill(template: &str, values: &[(&str, String)]) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        out.push_str(before);
        let Some((name, tail)) = after.split_once("}}") else {
            break;
        };
        if !name.starts_with(['#', '/']) {
            let value = values.iter().find(|(known, _)| *known == name);
            out.push_str(value.map_or("", |(_, value)| value));
        }
        rest = tail;
    }
    out.push_str(rest);
    out
}

fn signal(pid: u32, name: &str) -> Result<(), String> {
    let done = Command::new("kill").args([name, &pid.to_string()]).status();
    match done {
        Ok(status) if status.success() => Ok(()),
        other => Err(format!("kill {name} failed: {other:?}")),
    }
}

fn is_ready(addr: SocketAddrV4) -> bool {
    let ask = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&addr.into(), Duration::from_millis(500))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        stream.write_all(b"GET /api/ready HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n")?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    };
    ask().is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
}

/// A port that is free on all addresses, for UDP and for TCP.
fn free_port(ips: &[Ipv4Addr]) -> Option<u16> {
    (0..200).find_map(|_| {
        let port = TcpListener::bind((ips[0], 0))
            .ok()?
            .local_addr()
            .ok()?
            .port();
        let is_free = |ip: &Ipv4Addr| {
            UdpSocket::bind((*ip, port)).is_ok() && TcpListener::bind((*ip, port)).is_ok()
        };
        ips.iter().all(is_free).then_some(port)
    })
}

// ---------------------------------------------------------------- the case

fn entry(service: &str, addr: SocketAddrV4, zone: &str) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":4,\
         \"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":4,\"born\":1765000000000}}"
    )
}

fn play(root: &Path, folder: &Path, trouble: bool) -> Result<bool, String> {
    let fail = |err: std::io::Error| err.to_string();
    let file = File::create(folder.join("record.txt")).map_err(fail)?;
    let record = Record {
        start: Instant::now(),
        file: Arc::new(Mutex::new(file)),
    };
    let zones = ["room-a", "room-b"];
    let daemon_ips = [Ipv4Addr::new(127, 41, 1, 1), Ipv4Addr::new(127, 41, 2, 1)];
    let server_ips = [Ipv4Addr::new(127, 42, 1, 1), Ipv4Addr::new(127, 42, 2, 1)];
    let client_ip = Ipv4Addr::new(127, 43, 1, 1);
    let store_ip = Ipv4Addr::new(127, 44, 0, 1);
    let all: Vec<_> = daemon_ips
        .iter()
        .chain(&server_ips)
        .chain([&client_ip, &store_ip])
        .copied()
        .collect();
    let port = || free_port(&all).ok_or_else(|| "no free port".to_owned());
    let (data, ready, control, admin) = (port()?, port()?, port()?, port()?);
    let route = SocketAddrV4::new(Ipv4Addr::new(127, 45, 0, 1), 443);

    let listener = TcpListener::bind((store_ip, 0)).map_err(fail)?;
    let store_addr = listener.local_addr().map_err(fail)?;
    let store = Store {
        inner: Arc::default(),
        record: record.clone(),
    };
    let serving = store.clone();
    thread::spawn(move || serving.serve(listener));

    let mut openings = Vec::new();
    for (i, name) in ["server a", "server b"].into_iter().enumerate() {
        let socket = UdpSocket::bind((server_ips[i], 0)).map_err(fail)?;
        let std::net::SocketAddr::V4(addr) = socket.local_addr().map_err(fail)? else {
            return Err("no IPv4 address".to_owned());
        };
        let id = 0x7f3a_91c0 + i as u64;
        let seen = Arc::new(Mutex::new(Vec::new()));
        openings.push(Arc::clone(&seen));
        let server = Server {
            name,
            id,
            socket,
            port: data,
            openings: seen,
            record: record.clone(),
        };
        thread::spawn(move || server.run());
        let key = format!("servers/i-{id:08x}");
        store.put(&key, entry("desk", addr, zones[i]).as_bytes());
    }
    let cfg = format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"hostname\":\"{}\",\"prefix\":\"/443/\",\"type\":\"idempotent\",\
         \"timeout_ms\":1500,\"target_latency_ms\":250,\"priority\":2,\"service\":\"desk\",\"max_attempts\":2}}],\
         \"services\":[{{\"name\":\"desk\",\"health_check_path\":\"/health\",\"max_connections\":2000,\"protocol\":\"h1\",\
         \"tls\":false,\"warmup_s\":2.0,\"warmup_per_s\":0.0}}],\"limits\":{{\"idle_timeout_ms\":15000}}}}",
        route.ip()
    );
    store.put("op/config", cfg.as_bytes());

    let template = fs::read_to_string(root.join("platform/settings.jsonc")).map_err(fail)?;
    let dir = env::temp_dir().join(format!("review-2-{}", std::process::id()));
    fs::create_dir_all(&dir).map_err(fail)?;
    let mut daemons = Daemons(Vec::new());
    for (i, zone) in zones.iter().enumerate() {
        let ip = daemon_ips[i];
        let seeds: Vec<_> = daemon_ips
            .iter()
            .map(|ip| format!("\"{ip}:{control}\""))
            .collect();
        let values = [
            ("node_name", format!("frontend-{zone}-1")),
            ("zone", (*zone).to_owned()),
            ("listen_addrs.data_plane_addr", format!("{ip}:{data}")),
            ("listen_addrs.ready", format!("{ip}:{ready}")),
            ("ip", ip.to_string()),
            ("internal_port_range.0", admin.to_string()),
            ("listen_addrs.control", format!("{ip}:{control}")),
            ("seeds|json", format!("[{}]", seeds.join(","))),
            ("bounds.flow_max_s", "60".to_owned()),
            ("bounds.grace_period_s", "6".to_owned()),
            ("bounds.contact_ms", CONTACT_MS.to_string()),
            ("bounds.config_apply_ms", "3000".to_owned()),
            ("bounds.drain_timeout_ms", "3000".to_owned()),
            ("bounds.evacuation_ms", EVACUATION_MS.to_string()),
            ("platform.address", store_addr.to_string()),
        ];
        let settings: PathBuf = dir.join(format!("{zone}.yaml"));
        fs::write(&settings, fill(&template, &values)).map_err(fail)?;
        let log = File::create(dir.join(format!("{zone}.log"))).map_err(fail)?;
        let child = Command::new(root.join("target/release/foxtailhinge"))
            .arg("--settings")
            .arg(&settings)
            .current_dir(root)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(fail)?)
            .stderr(log)
            .spawn()
            .map_err(fail)?;
        daemons.0.push(child);
    }
    let until = Instant::now() + Duration::from_secs(10);
    while !daemon_ips
        .iter()
        .all(|ip| is_ready(SocketAddrV4::new(*ip, ready)))
    {
        if Instant::now() > until {
            return Err("the daemons did not become ready".to_owned());
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.write("both daemons are ready");

    let (answered, reset) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let stop = Arc::new(AtomicBool::new(false));
    let clients = Clients {
        socket: UdpSocket::bind((client_ip, data)).map_err(fail)?,
        ip: client_ip,
        route,
        daemon: SocketAddrV4::new(daemon_ips[0], data),
        answered: Arc::clone(&answered),
        reset: Arc::clone(&reset),
        stop: Arc::clone(&stop),
        record: record.clone(),
    };
    let clients = thread::spawn(move || clients.run());
    thread::sleep(Duration::from_secs(5));
    if openings[0].lock().unwrap().is_empty() {
        return Err("server a got no flows before the evacuation".to_owned());
    }

    // The daemon in room-a freezes for 4 s, and meanwhile another writer writes 18 entries that cannot be read.
    let pid = daemons.0[0].id();
    if trouble {
        signal(pid, "-STOP")?;
        record.write("the daemon in room-a freezes");
    }
    let value: Vec<u8> = (0..FOREIGN_BYTES as u32)
        .map(|n| (n.wrapping_mul(2_654_435_761) >> 24) as u8)
        .collect();
    let frozen = Instant::now();
    thread::sleep(Duration::from_millis(300));
    for i in 0..FOREIGN_ENTRIES {
        if trouble {
            let revision = store.put(&format!("servers/x-{:08x}", 0xdead_0000_u32 + i), &value);
            record.write(&format!(
                "another writer wrote entry {i}, revision {revision}"
            ));
        }
        thread::sleep(Duration::from_millis(180));
    }
    thread::sleep((frozen + FREEZE).saturating_duration_since(Instant::now()));
    if trouble {
        signal(pid, "-CONT")?;
        record.write("the daemon in room-a wakes");
    }
    // From here on, the machine is in touch again.
    thread::sleep(Duration::from_millis(CONTACT_MS + 500));
    store.put("op/evacuate/room-a", b"{}");
    let acked = Instant::now();
    record.write("evacuation of room-a acked by the store");
    thread::sleep(Duration::from_millis(EVACUATION_MS + 8_000));
    stop.store(true, Ordering::Relaxed);
    let _ = clients.join();

    let bound = acked + Duration::from_millis(EVACUATION_MS);
    let late: Vec<Duration> = openings[0]
        .lock()
        .unwrap()
        .iter()
        .filter(|at| **at > bound)
        .map(|at| *at - acked)
        .collect();
    let served_b = openings[1].lock().unwrap().len();
    let served_a = openings[0].lock().unwrap().len();
    for child in &mut daemons.0 {
        if let Ok(Some(status)) = child.try_wait() {
            return Err(format!("a daemon ended by itself: {status}"));
        }
    }
    record.write(&format!(
        "openings at server a: {served_a}, at server b: {served_b}; answered {}, reset {}",
        answered.load(Ordering::Relaxed),
        reset.load(Ordering::Relaxed)
    ));
    record.write(&format!(
        "EVAC: {} openings reached room-a later than {EVACUATION_MS} ms after the ack; the last one after {} ms",
        late.len(),
        late.last().map_or(0, Duration::as_millis)
    ));
    drop(daemons);
    for zone in zones {
        let log = fs::read_to_string(dir.join(format!("{zone}.log"))).unwrap_or_default();
        for line in log.lines().filter(|line| {
            ["store_", "view_", "zone_out", "task_failed"]
                .iter()
                .any(|name| line.contains(&format!("event={name}")))
        }) {
            record.write(&format!("log of the daemon in {zone}: {line}"));
        }
    }
    let _ = fs::remove_dir_all(&dir);
    Ok(!late.is_empty())
}

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let (Some(root), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: platform ROOT FOLDER");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    match play(Path::new(root), Path::new(folder), trouble) {
        Ok(true) => {
            println!("broken: see record.txt");
            ExitCode::from(1)
        }
        Ok(false) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("the case could not run: {err}");
            ExitCode::from(2)
        }
    }
}
