//! Stand-in for the callers of one zone: feeds that stay open, and requests that each open a flow.

use super::{
    fabric::Fabric,
    results::{
        Outcome,
        Plan,
        ReceivedReset,
        Results, //
    },
    segment::{
        Segment,
        ACK,
        FIN,
        RST,
        SYN, //
    },
};
use crate::socket;
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};
use std::{
    collections::HashMap,
    io,
    net::{
        SocketAddrV4,
        UdpSocket, //
    },
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// Longest wait for a packet.
const TICK: Duration = Duration::from_millis(5);
/// Ages of an opening at which its copies are sent.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
/// Age at which an opening is given up.
const OPENING: Duration = Duration::from_millis(1_400);
/// First pause before data is sent again; it doubles.
const REPEAT: Duration = Duration::from_millis(200);
/// Longest pause before data is sent again.
const REPEAT_MAX: Duration = Duration::from_millis(1_600);
/// Further attempts of a request.
const RETRIES: u32 = 2;
/// First port of callers.
const FIRST_PORT: u16 = 1_024;

/// Callers at work.
#[derive(Debug)]
pub struct Callers {
    results: Arc<Mutex<Results>>,
    stopping: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Callers {
    /// Lets callers work until they are stopped.
    ///
    /// # Errors
    ///
    /// Fails when their address cannot be bound.
    pub fn start(plan: Plan, fabric: &Fabric) -> io::Result<Self> {
        let socket = UdpSocket::bind(plan.addr)?;
        let results = Arc::new(Mutex::new(Results::default()));
        let stopping = Arc::new(AtomicBool::new(false));
        let work = Work {
            rng: SmallRng::seed_from_u64(plan.seed),
            number: plan.seed << 40,
            plan,
            socket,
            fabric: fabric.clone(),
            flows: HashMap::new(),
            port: FIRST_PORT,
            results: Arc::clone(&results),
        };
        let told = Arc::clone(&stopping);
        let thread = thread::spawn(move || work.run(&told));
        Ok(Self {
            results,
            stopping,
            thread: Some(thread),
        })
    }

    /// What they saw so far.
    pub fn results(&self) -> Results {
        self.results
            .lock()
            .expect("no holder of the lock panics")
            .clone()
    }

    /// Asks nothing new, waits for what is in progress, and gives what they saw.
    pub fn stop(mut self) -> Results {
        self.stopping.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the callers do not panic");
        }
        self.results()
    }
}

#[derive(Clone, Debug)]
struct Ask {
    number: u64,
    asked: Instant,
    is_feed: bool,
    attempts: u32,
}

#[derive(Debug)]
enum State {
    Opening { copies: usize, began: Instant },
    Open,
}

#[derive(Debug)]
struct Flow {
    route: SocketAddrV4,
    state: State,
    echo: u32,
    /// Position up to which was sent and received.
    sent: u32,
    received: u32,
    ask: Option<Ask>,
    /// When the request is sent again, and the pause after that.
    again: Option<(Instant, Duration)>,
    /// When the feed asks next.
    next: Option<Instant>,
    upstream: Option<u64>,
}

struct Work {
    plan: Plan,
    socket: UdpSocket,
    fabric: Fabric,
    rng: SmallRng,
    flows: HashMap<u16, Flow>,
    port: u16,
    number: u64,
    results: Arc<Mutex<Results>>,
}

impl Work {
    fn run(mut self, stopping: &AtomicBool) {
        let mut buf = vec![0; socket::DATAGRAM_MAX];
        let mut post = Instant::now();
        let mut feeds = 0;
        loop {
            let stop = stopping.load(Ordering::Relaxed);
            let now = Instant::now();
            if !stop && feeds < self.plan.feeds {
                let ask = self.ask(true);
                self.open(ask);
                feeds += 1;
            }
            if !stop && now >= post && self.plan.posts_per_s > 0.0 {
                let ask = self.ask(false);
                self.open(ask);
                let gap = -self.rng.random::<f64>().max(1e-9).ln() / self.plan.posts_per_s;
                post = now + Duration::from_secs_f64(gap);
            }
            match socket::read(&self.socket, &mut buf, TICK.min(Duration::from_millis(1))) {
                Ok(Some((len, _))) => self.take(&buf[..len]),
                Ok(None) => (),
                Err(_) => return,
            }
            self.look_at_flows(stop);
            if stop && self.flows.values().all(|flow| flow.ask.is_none()) {
                return;
            }
        }
    }

    fn ask(&mut self, is_feed: bool) -> Ask {
        self.number += 1;
        Ask {
            number: self.number,
            asked: Instant::now(),
            is_feed,
            attempts: 0,
        }
    }

    fn open(&mut self, mut ask: Ask) {
        ask.attempts += 1;
        let route = match ask.is_feed {
            true => self.plan.feed_route,
            false => self.plan.post_route,
        };
        let port = self.next_port();
        let seq = self.rng.random();
        let now = Instant::now();
        let flow = Flow {
            route,
            state: State::Opening {
                copies: 0,
                began: now,
            },
            echo: 0,
            sent: seq,
            received: 0,
            ask: Some(ask),
            again: None,
            next: None,
            upstream: None,
        };
        self.flows.insert(port, flow);
        self.send(port, SYN, 0, Vec::new());
    }

    fn next_port(&mut self) -> u16 {
        loop {
            self.port = self.port.checked_add(1).unwrap_or(FIRST_PORT);
            if !self.flows.contains_key(&self.port) {
                return self.port;
            }
        }
    }

    fn send(&self, port: u16, flags: u8, ack: u32, data: Vec<u8>) {
        let flow = &self.flows[&port];
        let caller = SocketAddrV4::new(*self.plan.addr.ip(), port);
        let segment = Segment {
            echo: flow.echo,
            src: caller,
            dst: flow.route,
            seq: flow.sent,
            ack,
            flags,
            data,
            has_checksum: true,
        };
        if let Some(daemon) = self.fabric.route(&self.plan.zone, caller, flow.route) {
            // A packet that cannot be sent is lost, as on a network.
            let _ = self.socket.send_to(&segment.encode(), daemon);
        }
    }

    fn send_request(&self, port: u16) {
        let flow = &self.flows[&port];
        if let Some(ask) = &flow.ask {
            let data = ask.number.to_be_bytes().to_vec();
            self.send(port, ACK, flow.received, data);
        }
    }

    fn take(&mut self, datagram: &[u8]) {
        let Some(segment) = Segment::decode(datagram) else {
            self.results.lock().expect("no holder panics").wrong += 1;
            return;
        };
        let port = segment.dst.port();
        if !self.flows.contains_key(&port) {
            return;
        }
        if segment.has(RST) {
            self.reset(port, &segment);
        } else if segment.has(SYN | ACK) {
            self.opened(port, &segment);
        } else if !segment.data.is_empty() {
            self.answered(port, &segment);
        }
    }

    fn opened(&mut self, port: u16, segment: &Segment) {
        let Some(flow) = self.flows.get_mut(&port) else {
            return;
        };
        if !matches!(flow.state, State::Opening { .. }) {
            return;
        }
        flow.state = State::Open;
        flow.echo = segment.echo;
        flow.sent = segment.ack;
        flow.received = segment.seq.wrapping_add(1);
        flow.again = Some((Instant::now() + REPEAT, REPEAT * 2));
        self.send_request(port);
    }

    fn answered(&mut self, port: u16, segment: &Segment) {
        let now = Instant::now();
        let pause = self
            .plan
            .feed_interval
            .mul_f64(self.rng.random_range(0.5..1.5));
        let Some(flow) = self.flows.get_mut(&port) else {
            return;
        };
        if segment.seq != flow.received {
            return;
        }
        let numbers = segment
            .data
            .first_chunk::<8>()
            .zip(segment.data.last_chunk::<8>());
        let numbers = numbers.map(|(n, id)| (u64::from_be_bytes(*n), u64::from_be_bytes(*id)));
        let Some((ask, (number, id))) = flow.ask.take().zip(numbers) else {
            return;
        };
        let mut results = self.results.lock().expect("no holder panics");
        if ask.number != number || flow.upstream.is_some_and(|known| known != id) {
            results.wrong += 1;
        }
        results.outcomes.push(Outcome {
            number: ask.number,
            asked: ask.asked,
            is_feed: ask.is_feed,
            took: Some(now - ask.asked),
            upstream: Some(id),
            attempts: ask.attempts,
        });
        drop(results);
        flow.upstream = Some(id);
        flow.sent = segment.ack;
        flow.received = segment.end();
        flow.again = None;
        if ask.is_feed {
            flow.next = Some(now + pause);
        } else {
            let received = flow.received;
            self.send(port, FIN | ACK, received, Vec::new());
            self.flows.remove(&port);
        }
    }

    fn reset(&mut self, port: u16, segment: &Segment) {
        let Some(flow) = self.flows.remove(&port) else {
            return;
        };
        let is_open = matches!(flow.state, State::Open);
        self.results
            .lock()
            .expect("no holder panics")
            .resets
            .push(ReceivedReset {
                at: Instant::now(),
                upstream: flow.upstream,
                by_balancer: !segment.has_checksum,
                route: flow.route.port(),
            });
        self.end_attempt(flow, is_open);
    }

    /// Tries a request again that may be repeated or never reached an upstream, else records its end.
    fn end_attempt(&mut self, flow: Flow, was_open: bool) {
        let Some(ask) = flow.ask else {
            let ask = self.ask(true);
            return self.open(ask);
        };
        let over = ask.asked.elapsed() >= self.plan.give_up_after || ask.attempts > RETRIES;
        if !over && (ask.is_feed || !was_open) {
            return self.open(ask);
        }
        self.give_up(&ask);
    }

    fn give_up(&mut self, ask: &Ask) {
        self.results
            .lock()
            .expect("no holder panics")
            .outcomes
            .push(Outcome {
                number: ask.number,
                asked: ask.asked,
                is_feed: ask.is_feed,
                took: None,
                upstream: None,
                attempts: ask.attempts,
            });
    }

    fn look_at_flows(&mut self, stop: bool) {
        let now = Instant::now();
        let ports: Vec<_> = self.flows.keys().copied().collect();
        for port in ports {
            self.look_at(port, now, stop);
        }
    }

    fn look_at(&mut self, port: u16, now: Instant, stop: bool) {
        let Some(flow) = self.flows.get_mut(&port) else {
            return;
        };
        let late = flow
            .ask
            .as_ref()
            .is_some_and(|ask| now >= ask.asked + self.plan.give_up_after);
        if late {
            let Some(mut flow) = self.flows.remove(&port) else {
                return;
            };
            if let Some(ask) = flow.ask.take() {
                self.give_up(&ask);
                if ask.is_feed && !stop {
                    let ask = self.ask(true);
                    self.open(ask);
                }
            }
            return;
        }
        match &mut flow.state {
            State::Opening { copies, began } => {
                if now >= *began + OPENING {
                    if let Some(flow) = self.flows.remove(&port) {
                        self.end_attempt(flow, false);
                    }
                } else if COPIES.get(*copies).is_some_and(|age| now >= *began + *age) {
                    *copies += 1;
                    let copy = *copies as u32;
                    self.send(port, SYN, copy, Vec::new());
                }
            }
            State::Open => {
                if let Some((_, pause)) = flow.again.filter(|(at, _)| now >= *at) {
                    flow.again = Some((now + pause, (pause * 2).min(REPEAT_MAX)));
                    self.send_request(port);
                } else if flow.next.is_some_and(|at| now >= at) && !stop {
                    flow.next = None;
                    flow.again = Some((now + REPEAT, REPEAT * 2));
                    let ask = self.ask(true);
                    if let Some(flow) = self.flows.get_mut(&port) {
                        flow.ask = Some(Ask { attempts: 1, ..ask });
                    }
                    self.send_request(port);
                }
            }
        }
    }
}
