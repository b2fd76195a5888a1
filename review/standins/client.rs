//! Stand-in for a client's machine with several users, each with one flow at a time.

use crate::judge::Judge;
use crate::packet::{Packet, ACK, FIN, RST, SYN};
use crate::router::Router;
use crate::util::Rng;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

/// How a user calls.
#[derive(Clone, Debug)]
pub struct Habit {
    pub route: SocketAddrV4,
    /// A retry after any failure, rather than only when the request has not run.
    pub is_idempotent: bool,
    /// One flow for many requests, rather than a flow for each.
    pub keeps_flow: bool,
    /// Pause between an answer and the next request.
    pub pause: Duration,
    pub budget: Duration,
    /// Time for which the user calls.
    pub lasts: Duration,
    /// Length to which the packet of a request is filled up, in bytes of data.
    pub fill: usize,
    /// Whether its requests count.
    pub is_counted: bool,
}

struct Flow {
    port: u16,
    label: u32,
    seq: u32,
    ack: u32,
    is_open: bool,
    /// Data packets of the server since the last acknowledgement.
    unacknowledged: u32,
}

enum Step {
    Resting { until: Instant },
    Opening { began: Instant, copies: u32 },
    Asking { packet: Packet, resend_at: Instant, rto: Duration },
}

struct User {
    habit: Habit,
    until: Instant,
    flow: Option<Flow>,
    step: Step,
    request: u64,
    first_try: Instant,
    tries: u32,
}

pub struct Machine {
    socket: UdpSocket,
    ip: Ipv4Addr,
    zone: String,
    router: Arc<Router>,
    judge: Judge,
    rng: Rng,
    next_port: u16,
    users: Vec<User>,
}

/// Retransmissions of a SYN, and the end of an attempt that nothing answers.
const SYN_AT: [u64; 2] = [200, 600];
const OPEN_WITHIN: Duration = Duration::from_millis(1_400);

const RTO_MAX: Duration = Duration::from_millis(1_600);

/// Largest distance of a reset's `seq` from the client's last `ack`.
const RESET_WINDOW: u32 = 76_800;

/// Starts a machine; users join through the returned channel.
pub fn start(
    at: SocketAddrV4,
    zone: &str,
    router: Arc<Router>,
    judge: Judge,
    stop: Arc<AtomicBool>,
) -> std::io::Result<mpsc::Sender<Habit>> {
    let socket = UdpSocket::bind(at)?;
    socket.set_read_timeout(Some(Duration::from_millis(2)))?;
    let (tx, rx) = mpsc::channel::<Habit>();
    let mut machine = Machine {
        socket,
        ip: *at.ip(),
        zone: zone.to_owned(),
        router,
        judge,
        rng: Rng::new(u64::from(u32::from(*at.ip()))),
        next_port: 1_024,
        users: Vec::new(),
    };
    std::thread::spawn(move || {
        let mut buf = [0u8; 4096];
        while !stop.load(Ordering::Relaxed) {
            for habit in rx.try_iter() {
                machine.join(habit);
            }
            if let Ok(len) = machine.socket.recv(&mut buf) {
                if let Some(packet) = Packet::decode(&buf[..len]) {
                    machine.take(&packet);
                }
            }
            machine.act(Instant::now());
        }
    });
    Ok(tx)
}

impl Machine {
    fn join(&mut self, habit: Habit) {
        let now = Instant::now();
        let until = now + habit.lasts;
        let start = now + habit.pause.mul_f64(self.rng.below(1_000) as f64 / 1_000.0);
        self.users.push(User {
            habit,
            until,
            flow: None,
            step: Step::Resting { until: start },
            request: 0,
            first_try: now,
            tries: 0,
        });
    }

    fn send(&self, packet: &Packet) {
        if let Some(to) = self.router.pick(&self.zone, packet.src, packet.dst) {
            let _ = self.socket.send_to(&packet.encode(), SocketAddr::V4(to));
        }
    }

    fn act(&mut self, now: Instant) {
        for at in 0..self.users.len() {
            self.act_for(at, now);
        }
        let judge = &self.judge;
        let ip = self.ip;
        self.users.retain(|user| {
            let is_done = now >= user.until && matches!(user.step, Step::Resting { .. });
            if let Some(flow) = user.flow.as_ref().filter(|_| is_done) {
                judge.ended((SocketAddrV4::new(ip, flow.port), user.habit.route));
            }
            !is_done
        });
    }

    fn act_for(&mut self, at: usize, now: Instant) {
        let user = &mut self.users[at];
        match &mut user.step {
            Step::Resting { until } if now >= *until && now < user.until => {
                user.request = self.rng.next();
                user.first_try = now;
                user.tries = 0;
                if user.habit.is_counted {
                    self.judge.asked(user.request, user.habit.route);
                }
                match user.flow.is_some() {
                    true => self.ask(at, now),
                    false => self.open(at, now),
                }
            }
            Step::Resting { .. } => (),
            Step::Opening { began, copies } => {
                let age = now - *began;
                if age >= OPEN_WITHIN {
                    return self.fail(at, false, "the flow did not open", now);
                }
                let due = SYN_AT.get(*copies as usize).map(|ms| Duration::from_millis(*ms));
                if due.is_some_and(|due| age >= due) {
                    *copies += 1;
                    let copies = *copies;
                    let syn = self.syn(at, copies);
                    self.send(&syn);
                }
            }
            Step::Asking { packet, resend_at, rto } => {
                if now >= user.first_try + user.habit.budget {
                    return self.fail(at, true, "the time budget is over", now);
                }
                if now >= *resend_at {
                    *rto = (*rto * 2).min(RTO_MAX);
                    *resend_at = now + *rto;
                    if let Some(flow) = &user.flow {
                        packet.echo = flow.label;
                    }
                    let packet = packet.clone();
                    self.judge.record.line(&format!("request of {} sent again", packet.src));
                    self.send(&packet);
                }
            }
        }
    }

    fn syn(&self, at: usize, copies: u32) -> Packet {
        let user = &self.users[at];
        let flow = user.flow.as_ref().unwrap();
        let mut syn = Packet::new(SocketAddrV4::new(self.ip, flow.port), user.habit.route, SYN);
        (syn.seq, syn.ack) = (flow.seq.wrapping_sub(1), copies);
        syn
    }

    fn open(&mut self, at: usize, now: Instant) {
        self.next_port = match self.next_port {
            60_000.. => 1_024,
            port => port + 1,
        };
        let flow = Flow {
            port: self.next_port,
            label: 0,
            seq: self.rng.next() as u32,
            ack: 0,
            is_open: false,
            unacknowledged: 0,
        };
        let user = &mut self.users[at];
        user.flow = Some(flow);
        user.tries += 1;
        user.step = Step::Opening { began: now, copies: 0 };
        let syn = self.syn(at, 0);
        self.send(&syn);
    }

    fn ask(&mut self, at: usize, now: Instant) {
        let user = &mut self.users[at];
        let flow = user.flow.as_mut().unwrap();
        let verb = match user.habit.is_idempotent {
            true => "GET",
            false => "POST",
        };
        let mut packet = Packet::new(SocketAddrV4::new(self.ip, flow.port), user.habit.route, ACK);
        let mut text = format!("{verb} /x HTTP/1.1\r\nHost: review\r\nRequest-Id: {:016x}\r\n", user.request);
        if user.habit.fill > text.len() {
            let fill = user.habit.fill - text.len() - "Cookie: \r\n\r\n".len();
            text.push_str(&format!("Cookie: {}\r\n", "c".repeat(fill)));
        }
        text.push_str("\r\n");
        packet.data = text.into_bytes();
        (packet.echo, packet.seq, packet.ack) = (flow.label, flow.seq, flow.ack);
        flow.seq = flow.seq.wrapping_add(packet.data.len() as u32);
        flow.unacknowledged = 0;
        let rto = Duration::from_millis(200);
        user.step = Step::Asking { packet: packet.clone(), resend_at: now + rto, rto };
        self.send(&packet);
    }

    /// Ends an attempt without an answer, and retries if that is allowed.
    fn fail(&mut self, at: usize, was_open: bool, why: &str, now: Instant) {
        let ip = self.ip;
        let user = &mut self.users[at];
        if let Some(flow) = user.flow.take().filter(|flow| flow.is_open) {
            self.judge.ended((SocketAddrV4::new(ip, flow.port), user.habit.route));
        }
        let may_retry = user.habit.is_idempotent || !was_open;
        let has_time = now < user.first_try + user.habit.budget;
        if may_retry && has_time && user.tries < 3 {
            return self.open(at, now);
        }
        if user.habit.is_counted {
            self.judge.failed(user.request, why);
        }
        user.step = Step::Resting { until: now + user.habit.pause };
    }

    fn take(&mut self, packet: &Packet) {
        let found = self.users.iter().position(|user| {
            let flow = user.flow.as_ref();
            flow.is_some_and(|flow| flow.port == packet.dst.port()) && user.habit.route == packet.src
        });
        let Some(at) = found else {
            return;
        };
        let now = Instant::now();
        let is_of_system = packet.is_system_reset();
        if !is_of_system && !packet.is_genuine() {
            return self.judge.mixed("a client got a packet changed on its way");
        }
        let key = (packet.dst, packet.src);
        let user = &mut self.users[at];
        let flow = user.flow.as_mut().unwrap();
        if packet.has(RST) {
            let distance = packet.seq.wrapping_sub(flow.ack);
            if flow.is_open && distance.min(distance.wrapping_neg()) > RESET_WINDOW {
                return;
            }
            let was_open = flow.is_open;
            let is_asking = matches!(user.step, Step::Asking { .. });
            let why = match is_asking {
                true => "waiting for an answer",
                false => "idle",
            };
            self.judge.client_reset(key, is_of_system, why);
            return match &user.step {
                Step::Resting { .. } => user.flow = None,
                _ => self.fail(at, was_open, "reset", now),
            };
        }
        if packet.has(SYN) {
            if let Step::Opening { .. } = user.step {
                flow.label = packet.echo;
                flow.ack = packet.seq.wrapping_add(1);
                flow.is_open = true;
                self.ask(at, now);
            }
            return;
        }
        flow.label = packet.echo;
        if packet.has(FIN) {
            self.judge.ended(key);
            if let Step::Resting { .. } = user.step {
                user.flow = None;
            }
            return;
        }
        if packet.data.is_empty() || packet.seq != flow.ack {
            if !packet.data.is_empty() {
                self.acknowledge(at);
            }
            return;
        }
        flow.ack = flow.ack.wrapping_add(packet.data.len() as u32);
        flow.unacknowledged += 1;
        let text = String::from_utf8_lossy(&packet.data).into_owned();
        let id = format!("Request-Id: {:016x}", user.request);
        if !matches!(user.step, Step::Asking { .. }) || !text.contains(&id) {
            return self.judge.mixed("a client got an answer that is not its own");
        }
        match text.starts_with("HTTP/1.1 200") {
            _ if !user.habit.is_counted => (),
            true => self.judge.answered(user.request),
            false => self.judge.failed(user.request, "shed by the server"),
        }
        user.step = Step::Resting { until: now + user.habit.pause };
        if !user.habit.keeps_flow || now >= user.until {
            self.close(at);
        }
    }

    fn acknowledge(&mut self, at: usize) {
        let user = &self.users[at];
        let flow = user.flow.as_ref().unwrap();
        let mut packet = Packet::new(SocketAddrV4::new(self.ip, flow.port), user.habit.route, ACK);
        (packet.echo, packet.seq, packet.ack) = (flow.label, flow.seq, flow.ack);
        self.send(&packet);
    }

    fn close(&mut self, at: usize) {
        let user = &mut self.users[at];
        let flow = user.flow.take().unwrap();
        let mut fin = Packet::new(SocketAddrV4::new(self.ip, flow.port), user.habit.route, FIN | ACK);
        (fin.echo, fin.seq, fin.ack) = (flow.label, flow.seq, flow.ack);
        self.judge.ended((fin.src, user.habit.route));
        self.send(&fin);
    }
}
