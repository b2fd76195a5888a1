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
    upstream::REFUSAL_LEN,
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

/// Longest wait for one packet.
const TICK: Duration = Duration::from_millis(5);
/// Times after the first packet of an opening at which it is retransmitted.
const OPENING_RETRANSMISSIONS: [Duration; 2] =
    [Duration::from_millis(200), Duration::from_millis(600)];
/// Time after which an unanswered opening fails.
const OPENING_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Time before the first retransmission of a request; doubles with each one.
const RETRANSMIT_AFTER: Duration = Duration::from_millis(200);
/// Longest time between two retransmissions of a request.
const RETRANSMIT_AFTER_MAX: Duration = Duration::from_millis(1_600);
/// Attempts of a request after the first one.
const RETRIES: u32 = 2;
/// Lowest source port of flows.
const FIRST_PORT: u16 = 1_024;

/// Handle to the running callers of a zone.
#[derive(Debug)]
pub struct Callers {
    /// Requests per second that open flows.
    posts_per_s: Arc<Mutex<f64>>,
    results: Arc<Mutex<Results>>,
    stopping: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Callers {
    /// Starts callers that run until `stop` is called.
    ///
    /// # Errors
    ///
    /// Fails when the callers' address cannot be bound.
    pub fn start(plan: Plan, fabric: &Fabric) -> io::Result<Self> {
        let socket = UdpSocket::bind(plan.addr)?;
        let results = Arc::new(Mutex::new(Results::default()));
        let stopping = Arc::new(AtomicBool::new(false));
        let posts_per_s = Arc::new(Mutex::new(plan.posts_per_s));
        let worker = Worker {
            rng: SmallRng::seed_from_u64(plan.seed),
            number: plan.seed << 40,
            posts_per_s: Arc::clone(&posts_per_s),
            plan,
            socket,
            fabric: fabric.clone(),
            flows: HashMap::new(),
            port: FIRST_PORT,
            results: Arc::clone(&results),
        };
        let stop_flag = Arc::clone(&stopping);
        let thread = thread::spawn(move || worker.run(&stop_flag));
        Ok(Self {
            posts_per_s,
            results,
            stopping,
            thread: Some(thread),
        })
    }

    /// Returns the results so far.
    pub fn results(&self) -> Results {
        self.results
            .lock()
            .expect("no holder of the lock panics")
            .clone()
    }

    /// Changes the number of requests per second that open flows.
    pub fn set_posts_per_s(&self, posts_per_s: f64) {
        *self.posts_per_s.lock().expect("no holder panics") = posts_per_s;
    }

    /// Starts no new requests from now on; those in progress continue.
    pub fn end_load(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Starts no new requests, waits for those in progress, and returns the results.
    pub fn stop(mut self) -> Results {
        self.end_load();
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the callers do not panic");
        }
        self.results()
    }
}

#[derive(Clone, Debug)]
struct PendingRequest {
    number: u64,
    asked: Instant,
    is_feed: bool,
    attempts: u32,
}

/// How an attempt ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Attempt {
    /// The flow was open, so the request may have run.
    Open,
    /// The opening was not answered in time.
    Unanswered,
    /// The opening was reset, or the upstream refused the request.
    NotRun,
}

#[derive(Debug)]
enum State {
    Opening {
        retransmissions: usize,
        began: Instant,
    },
    Open,
}

#[derive(Debug)]
struct Flow {
    route: SocketAddrV4,
    state: State,
    echo: u32,
    /// Sequence number of the next request.
    sent: u32,
    /// Sequence number of the next byte expected from the upstream.
    received: u32,
    request: Option<PendingRequest>,
    /// When the request is retransmitted, and the time from then to the next retransmission.
    retransmission: Option<(Instant, Duration)>,
    /// When the feed sends its next request.
    next_request: Option<Instant>,
    upstream: Option<u64>,
}

struct Worker {
    plan: Plan,
    posts_per_s: Arc<Mutex<f64>>,
    socket: UdpSocket,
    fabric: Fabric,
    rng: SmallRng,
    flows: HashMap<u16, Flow>,
    port: u16,
    number: u64,
    results: Arc<Mutex<Results>>,
}

impl Worker {
    fn run(mut self, stopping: &AtomicBool) {
        let mut buf = vec![0; socket::DATAGRAM_MAX];
        let mut next_post = Instant::now();
        let mut feeds = 0;
        loop {
            let stop = stopping.load(Ordering::Relaxed);
            let now = Instant::now();
            if !stop && feeds < self.plan.feeds {
                let request = self.new_request(true);
                self.open(request);
                feeds += 1;
            }
            let posts_per_s = *self.posts_per_s.lock().expect("no holder panics");
            if !stop && now >= next_post && posts_per_s > 0.0 {
                let request = self.new_request(false);
                self.open(request);
                let gap = -self.rng.random::<f64>().max(1e-9).ln() / posts_per_s;
                next_post = now + Duration::from_secs_f64(gap);
            }
            match socket::read(&self.socket, &mut buf, TICK.min(Duration::from_millis(1))) {
                Ok(Some((len, _))) => self.handle_datagram(&buf[..len]),
                Ok(None) => (),
                Err(_) => return,
            }
            self.check_flows(stop);
            if stop && self.flows.values().all(|flow| flow.request.is_none()) {
                return;
            }
        }
    }

    fn new_request(&mut self, is_feed: bool) -> PendingRequest {
        self.number += 1;
        PendingRequest {
            number: self.number,
            asked: Instant::now(),
            is_feed,
            attempts: 0,
        }
    }

    fn open(&mut self, mut request: PendingRequest) {
        request.attempts += 1;
        let route = match request.is_feed {
            true => self.plan.feed_route,
            false => self.plan.post_route,
        };
        let port = self.next_port();
        let seq = self.rng.random();
        let now = Instant::now();
        let flow = Flow {
            route,
            state: State::Opening {
                retransmissions: 0,
                began: now,
            },
            echo: 0,
            sent: seq,
            received: 0,
            request: Some(request),
            retransmission: None,
            next_request: None,
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
            // A packet that cannot be sent is lost, as on a real network.
            let _ = self.socket.send_to(&segment.encode(), daemon);
        }
    }

    fn send_request(&self, port: u16) {
        let flow = &self.flows[&port];
        if let Some(request) = &flow.request {
            let data = request.number.to_be_bytes().to_vec();
            self.send(port, ACK, flow.received, data);
        }
    }

    fn handle_datagram(&mut self, datagram: &[u8]) {
        let Some(segment) = Segment::decode(datagram) else {
            self.results.lock().expect("no holder panics").wrong += 1;
            return;
        };
        let port = segment.dst.port();
        if !self.flows.contains_key(&port) {
            return;
        }
        if segment.has(RST) {
            self.handle_reset(port, &segment);
        } else if segment.has(SYN | ACK) {
            self.handle_opened(port, &segment);
        } else if !segment.data.is_empty() {
            self.handle_answer(port, &segment);
        }
    }

    fn handle_opened(&mut self, port: u16, segment: &Segment) {
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
        flow.retransmission = Some((Instant::now() + RETRANSMIT_AFTER, RETRANSMIT_AFTER * 2));
        self.send_request(port);
    }

    fn handle_answer(&mut self, port: u16, segment: &Segment) {
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
        let Some((request, (number, id))) = flow.request.take().zip(numbers) else {
            return;
        };
        let mut results = self.results.lock().expect("no holder panics");
        if request.number != number || flow.upstream.is_some_and(|expected| expected != id) {
            results.wrong += 1;
        }
        let is_refused = segment.data.len() <= REFUSAL_LEN;
        results.refusals += u64::from(is_refused);
        if !is_refused || request.is_feed {
            results.outcomes.push(Outcome {
                number: request.number,
                asked: request.asked,
                is_feed: request.is_feed,
                took: (!is_refused).then(|| now - request.asked),
                upstream: Some(id),
                attempts: request.attempts,
                not_run: is_refused,
            });
        }
        drop(results);
        flow.upstream = Some(id);
        flow.sent = segment.ack;
        flow.received = segment.end();
        flow.retransmission = None;
        if request.is_feed {
            flow.next_request = Some(now + pause);
            return;
        }
        let received = flow.received;
        self.send(port, FIN | ACK, received, Vec::new());
        self.flows.remove(&port);
        if is_refused {
            self.end_attempt(Some(request), Attempt::NotRun);
        }
    }

    fn handle_reset(&mut self, port: u16, segment: &Segment) {
        let Some(flow) = self.flows.remove(&port) else {
            return;
        };
        let opening_took = match flow.state {
            State::Opening { began, .. } => Some(began.elapsed()),
            State::Open => None,
        };
        let is_open = opening_took.is_none();
        self.results
            .lock()
            .expect("no holder panics")
            .resets
            .push(ReceivedReset {
                at: Instant::now(),
                upstream: flow.upstream,
                by_balancer: !segment.has_checksum,
                was_open: is_open,
                route: flow.route.port(),
                request: flow.request.as_ref().map(|request| request.number),
                opening_took,
            });
        let attempt = match is_open {
            true => Attempt::Open,
            false => Attempt::NotRun,
        };
        self.end_attempt(flow.request, attempt);
    }

    /// Retries a request in a new flow if it may run twice or never ran at an upstream, until its time or its attempts
    /// are used up; otherwise records it as failed. A feed without a request in progress opens a new flow.
    fn end_attempt(&mut self, request: Option<PendingRequest>, attempt: Attempt) {
        let Some(request) = request else {
            let request = self.new_request(true);
            return self.open(request);
        };
        let is_exhausted =
            request.asked.elapsed() >= self.plan.give_up_after || request.attempts > RETRIES;
        if !is_exhausted && (request.is_feed || attempt != Attempt::Open) {
            return self.open(request);
        }
        self.record_failure(&request, attempt == Attempt::NotRun);
    }

    fn record_failure(&mut self, request: &PendingRequest, not_run: bool) {
        self.results
            .lock()
            .expect("no holder panics")
            .outcomes
            .push(Outcome {
                number: request.number,
                asked: request.asked,
                is_feed: request.is_feed,
                took: None,
                upstream: None,
                attempts: request.attempts,
                not_run,
            });
    }

    fn check_flows(&mut self, stop: bool) {
        let now = Instant::now();
        let ports: Vec<_> = self.flows.keys().copied().collect();
        for port in ports {
            self.check_flow(port, now, stop);
        }
    }

    fn check_flow(&mut self, port: u16, now: Instant, stop: bool) {
        let Some(flow) = self.flows.get_mut(&port) else {
            return;
        };
        let timed_out = flow
            .request
            .as_ref()
            .is_some_and(|request| now >= request.asked + self.plan.give_up_after);
        if timed_out {
            let Some(mut flow) = self.flows.remove(&port) else {
                return;
            };
            if let Some(request) = flow.request.take() {
                self.record_failure(&request, false);
                if request.is_feed && !stop {
                    let request = self.new_request(true);
                    self.open(request);
                }
            }
            return;
        }
        match &mut flow.state {
            State::Opening {
                retransmissions,
                began,
            } => {
                if now >= *began + OPENING_TIMEOUT {
                    if let Some(flow) = self.flows.remove(&port) {
                        self.end_attempt(flow.request, Attempt::Unanswered);
                    }
                } else if OPENING_RETRANSMISSIONS
                    .get(*retransmissions)
                    .is_some_and(|age| now >= *began + *age)
                {
                    *retransmissions += 1;
                    let copy = *retransmissions as u32;
                    self.send(port, SYN, copy, Vec::new());
                }
            }
            State::Open => {
                if let Some((_, pause)) = flow.retransmission.filter(|(at, _)| now >= *at) {
                    flow.retransmission =
                        Some((now + pause, (pause * 2).min(RETRANSMIT_AFTER_MAX)));
                    self.send_request(port);
                } else if flow.next_request.is_some_and(|at| now >= at) && !stop {
                    flow.next_request = None;
                    flow.retransmission = Some((now + RETRANSMIT_AFTER, RETRANSMIT_AFTER * 2));
                    let request = self.new_request(true);
                    if let Some(flow) = self.flows.get_mut(&port) {
                        flow.request = Some(PendingRequest {
                            attempts: 1,
                            ..request
                        });
                    }
                    self.send_request(port);
                }
            }
        }
    }
}
