//! A feed that a caller holds open (RFC 7641).

use crate::{
    caller::{
        self,
        Caller,
        Prepared,
        Shared, //
    },
    message,
    upstream::body::Headline, //
};
use coap_lite::{
    CoapOption,
    MessageType,
    Packet,
    RequestType,
    ResponseType, //
};
use std::{
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        mpsc::{
            Receiver,
            RecvTimeoutError, //
        },
        Arc,
        Mutex,
        MutexGuard, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

/// Longest time between looks at whether the feed was dropped.
const TICK: Duration = Duration::from_millis(50);
/// Share of Max-Age after which a feed is registered again.
const RENEW_SHARE: f64 = 0.5;
/// Time past Max-Age after which a feed without notifications is broken.
const GRACE: Duration = Duration::from_secs(1);
/// Deadline of one registration.
const REGISTER_WITHIN: Duration = Duration::from_secs(2);
/// Half of the range of Observe values (RFC 7641, section 3.4).
const HALF_RANGE: u64 = 1 << 23;
/// Range of Observe values.
const RANGE: u64 = 1 << 24;

/// Why a feed broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The system gave the flow up.
    FlowRetired,
    /// No notification came before Max-Age ended.
    Silent,
}

/// A break of a feed that was established.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Break {
    /// Why.
    pub reason: Reason,
    /// When.
    pub at: Instant,
    /// When the last notification came.
    pub last_received: Instant,
    /// Upstream that the feed had reached.
    pub upstream: String,
}

/// What a feed saw.
#[derive(Clone, Debug, Default)]
pub struct FeedStats {
    /// Notifications that were news, answers to registrations included.
    pub notifications: u64,
    /// Notifications older than one that came before.
    pub reordered: u64,
    /// Times that the feed was established with a new flow or token.
    pub established: u64,
    /// Registrations sent, renewals included, retransmissions left out.
    pub registrations: u64,
    /// Registrations refused as not run.
    pub refused: u64,
    /// Largest time between two notifications of an established feed, the time since the last one included.
    pub largest_gap: Duration,
    /// When the last notification came.
    pub last_received: Option<Instant>,
    /// Breaks.
    pub breaks: Vec<Break>,
    /// Upstream that it reaches now.
    pub upstream: Option<String>,
}

struct Inner {
    stats: Mutex<FeedStats>,
    ended: AtomicBool,
}

impl Inner {
    fn stats(&self) -> MutexGuard<'_, FeedStats> {
        self.stats.lock().unwrap()
    }

    fn is_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }
}

/// A feed; dropping it cancels it.
pub struct Feed {
    inner: Arc<Inner>,
}

impl Feed {
    fn open(caller: Arc<Shared>, path: &str) -> Self {
        let inner = Arc::new(Inner {
            stats: Mutex::default(),
            ended: AtomicBool::new(false),
        });
        let (shared, path) = (inner.clone(), path.to_owned());
        thread::spawn(move || hold(&caller, &shared, &path));
        Feed { inner }
    }

    /// Returns what it saw so far.
    pub fn stats(&self) -> FeedStats {
        let mut stats = self.inner.stats().clone();
        let gap = stats
            .last_received
            .map(|last_received| last_received.elapsed());
        stats.largest_gap = stats.largest_gap.max(gap.unwrap_or_default());
        stats
    }

    /// Waits until it has had at least `count` notifications; returns whether it did in time.
    pub fn wait(&self, count: u64, within: Duration) -> bool {
        let end = Instant::now() + within;
        while Instant::now() < end {
            if self.inner.stats().notifications >= count {
                return true;
            }
            thread::sleep(TICK);
        }
        false
    }
}

impl Caller {
    /// Holds a feed open until it is dropped.
    pub fn feed(&self, path: &str) -> Feed {
        Feed::open(self.shared.clone(), path)
    }
}

impl Drop for Feed {
    fn drop(&mut self) {
        self.inner.ended.store(true, Ordering::Relaxed);
    }
}

/// Registers again and again, each time with a new token, until the feed is dropped.
fn hold(caller: &Shared, inner: &Inner, path: &str) {
    while !inner.is_ended() {
        let token = caller.new_token();
        let rx = caller.wait_for(&token);
        let mut session = Session::new(caller, inner, path, token);
        session.run(&rx);
        caller.forget(&session.token);
    }
}

/// A registration that waits for its answer.
struct Pending {
    packet: Packet,
    again: Instant,
    wait: Duration,
    left: u32,
}

/// A feed from its first registration to its break.
struct Session<'a> {
    caller: &'a Shared,
    inner: &'a Inner,
    path: &'a str,
    token: Vec<u8>,
    id: String,
    generation: u64,
    pending: Option<Pending>,
    renew: Instant,
    dies: Option<Instant>,
    last: Option<(Instant, u64)>,
    over: bool,
}

impl<'a> Session<'a> {
    fn new(caller: &'a Shared, inner: &'a Inner, path: &'a str, token: Vec<u8>) -> Self {
        Session {
            caller,
            inner,
            path,
            id: caller::hex(&token),
            token,
            generation: 0,
            pending: None,
            renew: Instant::now(),
            dies: None,
            last: None,
            over: false,
        }
    }

    fn run(&mut self, rx: &Receiver<Packet>) {
        while !self.over {
            if self.inner.is_ended() {
                self.cancel();
                return;
            }
            self.act(Instant::now());
            match rx.recv_timeout(self.wait()) {
                Ok(packet) => self.take(&packet),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn wait(&self) -> Duration {
        let again = self.pending.as_ref().map(|pending| pending.again);
        let next = again.unwrap_or(self.renew);
        let wait = next.saturating_duration_since(Instant::now());
        wait.min(TICK)
    }

    /// Sends what is due, and ends the session when the feed is silent for too long.
    fn act(&mut self, now: Instant) {
        if self.dies.is_some_and(|dies| now >= dies) {
            self.break_off(Reason::Silent);
            return;
        }
        match &mut self.pending {
            Some(pending) if now >= pending.again && pending.left == 0 => self.pending = None,
            Some(pending) if now >= pending.again => {
                pending.left -= 1;
                pending.wait *= 2;
                pending.again = now + pending.wait;
                self.caller.send(&pending.packet);
                self.caller.counts().retransmissions += 1;
            }
            None if now >= self.renew => self.register(now),
            _ => {}
        }
    }

    fn register(&mut self, now: Instant) {
        let Prepared {
            mut packet,
            generation,
        } = self
            .caller
            .prepare(RequestType::Get, self.path, &self.token);
        self.generation = generation;
        message::put_queries(&mut packet, &self.caller.spec.service, &self.id);
        message::put_uint(&mut packet, CoapOption::Observe, 0);
        let deadline = REGISTER_WITHIN.as_millis() as u64;
        message::put_uint(
            &mut packet,
            CoapOption::Unknown(message::DEADLINE),
            deadline,
        );
        self.caller.send(&packet);
        self.inner.stats().registrations += 1;
        let wait = self.caller.first_wait();
        self.pending = Some(Pending {
            packet,
            again: now + wait,
            wait,
            left: self.caller.spec.max_retransmit,
        });
    }

    fn take(&mut self, packet: &Packet) {
        let now = Instant::now();
        let id = packet.header.message_id;
        let answers = |pending: &Pending| pending.packet.header.message_id == id;
        if self.pending.as_ref().is_some_and(answers) {
            self.pending = None;
        } else if packet.header.get_type() == MessageType::Acknowledgement {
            // A copy of an answer to an earlier registration; its message id is not outstanding (RFC 7252, 4.2).
            return;
        }
        self.caller.renew(packet, self.generation);
        match message::code(packet) {
            Some(ResponseType::Content) => self.take_notification(now, packet),
            Some(ResponseType::Unauthorized) if message::ticket(packet).is_some() => {
                self.pending = None;
                self.renew = now;
            }
            Some(ResponseType::Unauthorized) => {
                self.caller.retire(self.generation);
                self.break_off(Reason::FlowRetired);
            }
            Some(ResponseType::ServiceUnavailable) => {
                self.inner.stats().refused += 1;
                self.renew = now + message::max_age(packet);
            }
            _ => self.renew = now + self.caller.spec.ack_timeout,
        }
    }

    fn take_notification(&mut self, now: Instant, packet: &Packet) {
        self.caller
            .check(&packet.payload, self.path, &self.id, self.generation);
        let upstream = Headline::parse(&packet.payload).map(|line| line.upstream);
        let value = message::uint(packet, CoapOption::Observe).unwrap_or(0);
        let age = message::max_age(packet);
        if self.last.is_none() || self.renew <= now {
            self.renew = now + age.mul_f64(RENEW_SHARE);
        }
        let mut stats = self.inner.stats();
        match self.last {
            None => stats.established += 1,
            Some((_, last)) if is_older(value, last) => {
                stats.reordered += 1;
                return;
            }
            Some((at, _)) => stats.largest_gap = stats.largest_gap.max(now - at),
        }
        stats.notifications += 1;
        stats.last_received = Some(now);
        stats.upstream = upstream;
        drop(stats);
        self.last = Some((now, value));
        self.dies = Some(now + age + GRACE);
    }

    /// Ends the session, and notes a break when the feed was established.
    fn break_off(&mut self, reason: Reason) {
        self.over = true;
        let mut stats = self.inner.stats();
        let upstream = stats.upstream.take();
        stats.last_received = None;
        if let Some((last_received, _)) = self.last {
            stats.largest_gap = stats.largest_gap.max(last_received.elapsed());
            stats.breaks.push(Break {
                reason,
                at: Instant::now(),
                last_received,
                upstream: upstream.unwrap_or_default(),
            });
        }
        drop(stats);
        if reason == Reason::Silent {
            self.caller.retire(self.generation);
        }
    }

    fn cancel(&mut self) {
        let Prepared { mut packet, .. } =
            self.caller
                .prepare(RequestType::Get, self.path, &self.token);
        message::put_queries(&mut packet, &self.caller.spec.service, &self.id);
        message::put_uint(&mut packet, CoapOption::Observe, 1);
        self.caller.send(&packet);
    }
}

/// Returns whether an Observe value is older than another (RFC 7641, section 3.4).
fn is_older(value: u64, last: u64) -> bool {
    let ahead = (value + RANGE - last) % RANGE;
    ahead == 0 || ahead > HALF_RANGE
}
