//! Stand-in for a server reached in the form `echo`.

use crate::judge::{FlowKey, Judge, Opening};
use crate::packet::{Packet, ACK, FIN, RST, SYN};
use crate::util::Rng;
use std::collections::{HashMap, VecDeque};
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
pub struct Spec {
    pub id: u64,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddrV4,
    /// Requests that it processes concurrently, and further ones that it queues.
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
}

impl Spec {
    /// Its entry in the store.
    pub fn entry(&self, state: &str, sequence: u64) -> (String, String) {
        let value = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\
             \"warmup_left_ms\":0,\"sequence\":{sequence},\"born\":1780000000000}}",
            self.service, self.addr, self.zone, self.slots
        );
        (format!("servers/i-{:010x}", self.id), value)
    }
}

struct Flow {
    isn: u32,
    is_open: bool,
    echo: u32,
    /// Next byte that the server expects, and the next that it sends.
    expected: u32,
    next: u32,
    answer: Option<Answer>,
}

struct Answer {
    packet: Packet,
    resend_at: Instant,
    rto: Duration,
    left: u32,
}

struct Job {
    key: FlowKey,
    id: u64,
    done: Instant,
}

/// Control of a running server.
#[derive(Clone, Default)]
pub struct Handle {
    /// The process ends and forgets everything.
    pub is_ended: Arc<AtomicBool>,
    /// The server closes each flow after its next response.
    pub is_draining: Arc<AtomicBool>,
}

pub struct Server {
    handle: Handle,
    spec: Spec,
    socket: UdpSocket,
    client_port: u16,
    judge: Judge,
    rng: Rng,
    flows: HashMap<FlowKey, Flow>,
    running: Vec<Job>,
    waiting: VecDeque<(FlowKey, u64)>,
}

/// Starts a server; it ends when `stop` or its handle says so.
pub fn start(spec: Spec, client_port: u16, judge: Judge, stop: Arc<AtomicBool>) -> std::io::Result<Handle> {
    let socket = UdpSocket::bind(spec.addr)?;
    socket.set_read_timeout(Some(Duration::from_millis(2)))?;
    let rng = Rng::new(spec.id);
    let handle = Handle::default();
    let mut server = Server {
        handle: handle.clone(),
        spec,
        socket,
        client_port,
        judge,
        rng,
        flows: HashMap::new(),
        running: Vec::new(),
        waiting: VecDeque::new(),
    };
    std::thread::spawn(move || {
        let mut buf = [0u8; 4096];
        while !stop.load(Ordering::Relaxed) && !server.handle.is_ended.load(Ordering::Relaxed) {
            if let Ok((len, from)) = server.socket.recv_from(&mut buf) {
                server.take(&buf[..len], from);
            }
            server.work(Instant::now());
        }
        for key in server.flows.into_keys() {
            server.judge.ended(key);
        }
    });
    Ok(handle)
}

impl Server {
    fn take(&mut self, datagram: &[u8], from: SocketAddr) {
        if datagram.len() < 8 {
            return;
        }
        let intended = u64::from_be_bytes(datagram[..8].try_into().unwrap());
        if intended != 0 && intended != self.spec.id {
            return;
        }
        let Some(packet) = Packet::decode(&datagram[8..]) else {
            return;
        };
        let key = (packet.src, packet.dst);
        self.judge.arrived(key, self.spec.id, packet.is_genuine());
        if packet.has(SYN) {
            let (server, zone) = (self.spec.id, self.spec.zone.clone());
            self.judge.took_opening(Opening { at: Instant::now(), server, zone, from });
            return self.open(key, &packet);
        }
        let Some(flow) = self.flows.get_mut(&key) else {
            return self.refuse(key, &packet);
        };
        if packet.has(RST) {
            self.flows.remove(&key);
            return self.judge.ended(key);
        }
        if !flow.is_open {
            if packet.ack != flow.isn.wrapping_add(1) {
                return self.refuse(key, &packet);
            }
            flow.is_open = true;
            self.judge.opened(key, self.spec.id);
        }
        flow.echo = packet.echo;
        if flow.answer.is_some() && packet.ack == flow.next {
            flow.answer = None;
        }
        if !packet.data.is_empty() {
            match packet.seq == flow.expected {
                true => {
                    flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
                    self.request(key, &packet);
                }
                false => {
                    if let Some(answer) = &mut flow.answer {
                        answer.resend_at = Instant::now();
                    }
                }
            }
        }
        if packet.has(FIN) {
            if let Some(flow) = self.flows.remove(&key) {
                self.judge.ended(key);
                let mut bye = Packet::new(key.1, key.0, FIN | ACK);
                (bye.echo, bye.seq, bye.ack) = (flow.echo, flow.next, flow.expected.wrapping_add(1));
                self.send(&bye);
            }
        }
    }

    fn open(&mut self, key: FlowKey, syn: &Packet) {
        if syn.has(ACK) {
            return self.judge.mixed("a server got a SYN+ACK");
        }
        let isn = self.rng.next() as u32;
        let expected = syn.seq.wrapping_add(1);
        let flow = self.flows.entry(key).or_insert(Flow {
            isn,
            is_open: false,
            echo: syn.echo,
            expected,
            next: isn.wrapping_add(1),
            answer: None,
        });
        let mut reply = Packet::new(key.1, key.0, SYN | ACK);
        (reply.echo, reply.seq, reply.ack) = (syn.echo, flow.isn, expected);
        self.send(&reply);
    }

    /// Answers a packet of a flow that this server does not hold.
    fn refuse(&mut self, key: FlowKey, packet: &Packet) {
        if packet.has(RST) {
            return;
        }
        self.judge.server_reset(key, self.spec.id);
        let mut rst = Packet::new(key.1, key.0, RST);
        (rst.echo, rst.seq) = (packet.echo, packet.ack);
        self.send(&rst);
    }

    fn request(&mut self, key: FlowKey, packet: &Packet) {
        let text = String::from_utf8_lossy(&packet.data).into_owned();
        let id = text.split("Request-Id: ").nth(1).and_then(|rest| rest.get(..16));
        let id = id.and_then(|hex| u64::from_str_radix(hex, 16).ok()).unwrap_or(0);
        if self.running.len() < self.spec.slots {
            self.run(key, id);
        } else if self.waiting.len() < self.spec.queue {
            self.waiting.push_back((key, id));
        } else {
            self.answer(key, id, "503 Service Unavailable\r\nNot-Executed: 1");
        }
    }

    fn run(&mut self, key: FlowKey, id: u64) {
        self.judge.ran(id, self.spec.id);
        // Half to one and a half times the mean.
        let share = 0.5 + self.rng.below(1_000) as f64 / 1_000.0;
        let done = Instant::now() + self.spec.work.mul_f64(share);
        self.running.push(Job { key, id, done });
    }

    fn work(&mut self, now: Instant) {
        while let Some(at) = self.running.iter().position(|job| job.done <= now) {
            let job = self.running.swap_remove(at);
            self.answer(job.key, job.id, "200 OK");
            if let Some((key, id)) = self.waiting.pop_front() {
                self.run(key, id);
            }
        }
        let mut again = Vec::new();
        for flow in self.flows.values_mut() {
            let Some(answer) = flow.answer.as_mut().filter(|a| a.resend_at <= now && a.left > 0) else {
                continue;
            };
            answer.left -= 1;
            answer.rto = (answer.rto * 2).min(Duration::from_millis(1_600));
            answer.resend_at = now + answer.rto;
            answer.packet.echo = flow.echo;
            again.push(answer.packet.clone());
        }
        again.iter().for_each(|packet| self.send(packet));
    }

    fn answer(&mut self, key: FlowKey, id: u64, status: &str) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let mut packet = Packet::new(key.1, key.0, ACK);
        let body = "x".repeat(400);
        let text = format!(
            "HTTP/1.1 {status}\r\nServer-Signature: {:x}\r\nRequest-Id: {id:016x}\r\nContent-Length: {}\r\n\r\n{body}",
            self.spec.id,
            body.len()
        );
        packet.data = text.into_bytes();
        (packet.echo, packet.seq, packet.ack) = (flow.echo, flow.next, flow.expected);
        flow.next = flow.next.wrapping_add(packet.data.len() as u32);
        let rto = Duration::from_millis(200);
        let resend_at = Instant::now() + rto;
        flow.answer = Some(Answer { packet: packet.clone(), resend_at, rto, left: 8 });
        self.send(&packet);
        if self.handle.is_draining.load(Ordering::Relaxed) {
            let flow = self.flows.remove(&key).unwrap();
            self.judge.ended(key);
            let mut bye = Packet::new(key.1, key.0, FIN | ACK);
            (bye.echo, bye.seq, bye.ack) = (flow.echo, flow.next, flow.expected);
            self.send(&bye);
        }
    }

    fn send(&self, packet: &Packet) {
        let to = SocketAddr::from((*packet.dst.ip(), self.client_port));
        let _ = self.socket.send_to(&packet.encode(), to);
    }
}
