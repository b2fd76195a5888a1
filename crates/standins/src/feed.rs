//! A feed that a caller keeps registered (RFC 7641).

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

/// Longest interval between checks whether the feed was dropped.
const TICK: Duration = Duration::from_millis(50);
/// Share of Max-Age after which the feed is registered again.
const RENEW_SHARE: f64 = 0.5;
/// Time past Max-Age after which a feed without notifications is considered broken.
const MAX_AGE_GRACE: Duration = Duration::from_secs(1);
/// Deadline that a registration carries.
const REGISTER_DEADLINE: Duration = Duration::from_secs(2);
/// Half of the range of Observe values (RFC 7641, section 3.4).
const OBSERVE_HALF_RANGE: u64 = 1 << 23;
/// Range of Observe values.
const OBSERVE_RANGE: u64 = 1 << 24;

/// Why a feed broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The load balancer retired the flow.
    FlowRetired,
    /// No notification arrived within Max-Age and its grace period.
    Silent,
}

/// A break of a feed that was established.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Break {
    /// Cause of the break.
    pub reason: Reason,
    /// Time at which the break was detected.
    pub at: Instant,
    /// Time of the last notification.
    pub last_received: Instant,
    /// Name of the upstream that sent the last notification.
    pub upstream: String,
    /// What the caller sent and received since the last notification.
    pub trail: Vec<(Instant, Step)>,
}

/// A packet that a feed's caller sent or received, other than a notification.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The caller sent a new registration.
    Registered,
    /// The caller sent its registration again.
    Retransmitted,
    /// The caller got a notification that is older than the last one.
    Reordered,
    /// The caller got a new ticket, and sends its registration again with it.
    Challenged,
    /// The caller was told to come back later.
    Refused,
    /// The caller got another answer without a notification.
    Answered,
}

/// Maximum number of steps that are kept.
const TRAIL_MAX: usize = 64;

/// Statistics of a feed.
#[derive(Clone, Debug, Default)]
pub struct FeedStats {
    /// Notifications in order, answers to registrations included.
    pub notifications: u64,
    /// Notifications older than one received before.
    pub reordered: u64,
    /// Number of times that the feed was established with a new flow or token.
    pub established: u64,
    /// Registrations sent, renewals included, retransmissions left out.
    pub registrations: u64,
    /// Registrations refused as not run.
    pub refused: u64,
    /// Longest time between two notifications of an established feed, including the time since the last one.
    pub largest_gap: Duration,
    /// Time of the last notification.
    pub last_received: Option<Instant>,
    /// Breaks of the established feed, oldest first.
    pub breaks: Vec<Break>,
    /// Name of the upstream that serves the feed now.
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

/// A feed, which is cancelled when dropped.
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
        thread::spawn(move || keep_registered(&caller, &shared, &path));
        Feed { inner }
    }

    /// Returns the statistics so far.
    pub fn stats(&self) -> FeedStats {
        let mut stats = self.inner.stats().clone();
        let gap = stats
            .last_received
            .map(|last_received| last_received.elapsed());
        stats.largest_gap = stats.largest_gap.max(gap.unwrap_or_default());
        stats
    }

    /// Waits for at least `count` notifications in total; returns whether they arrived in time.
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
    /// Opens a feed and keeps it registered until it is dropped.
    pub fn feed(&self, path: &str) -> Feed {
        Feed::open(self.shared.clone(), path)
    }
}

impl Drop for Feed {
    fn drop(&mut self) {
        self.inner.ended.store(true, Ordering::Relaxed);
    }
}

/// Runs sessions until the feed is dropped, each with a new token.
fn keep_registered(caller: &Shared, inner: &Inner, path: &str) {
    while !inner.is_ended() {
        let token = caller.new_token();
        let rx = caller.wait_for(&token);
        let mut session = Session::new(caller, inner, path, token);
        session.run(&rx);
        caller.stop_waiting(&session.token);
    }
}

/// A registration that has no answer yet.
struct Pending {
    packet: Packet,
    retransmit_at: Instant,
    wait: Duration,
    retransmissions_left: u32,
}

/// One token's use for a feed, from its first registration to a break or its cancellation.
struct Session<'a> {
    caller: &'a Shared,
    inner: &'a Inner,
    path: &'a str,
    token: Vec<u8>,
    id: String,
    generation: u64,
    pending: Option<Pending>,
    renew_at: Instant,
    expires_at: Option<Instant>,
    last: Option<(Instant, u64)>,
    finished: bool,
    trail: Vec<(Instant, Step)>,
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
            renew_at: Instant::now(),
            expires_at: None,
            last: None,
            finished: false,
            trail: Vec::new(),
        }
    }

    fn record(&mut self, step: Step, now: Instant) {
        if self.trail.len() < TRAIL_MAX {
            self.trail.push((now, step));
        }
    }

    fn run(&mut self, rx: &Receiver<Packet>) {
        while !self.finished {
            if self.inner.is_ended() {
                self.cancel();
                return;
            }
            self.send_due(Instant::now());
            match rx.recv_timeout(self.wait()) {
                Ok(packet) => self.handle_packet(&packet),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn wait(&self) -> Duration {
        let retransmit_at = self.pending.as_ref().map(|pending| pending.retransmit_at);
        let next = retransmit_at.unwrap_or(self.renew_at);
        let wait = next.saturating_duration_since(Instant::now());
        wait.min(TICK)
    }

    /// Sends due registrations and retransmissions; ends the session after Max-Age and its grace period.
    fn send_due(&mut self, now: Instant) {
        if self.expires_at.is_some_and(|expires_at| now >= expires_at) {
            self.end_session(Reason::Silent);
            return;
        }
        match &mut self.pending {
            Some(pending) if now >= pending.retransmit_at && pending.retransmissions_left == 0 => {
                self.pending = None
            }
            Some(pending) if now >= pending.retransmit_at => {
                pending.retransmissions_left -= 1;
                pending.wait *= 2;
                pending.retransmit_at = now + pending.wait;
                self.caller.send(&pending.packet);
                self.caller.counts().retransmissions += 1;
                self.record(Step::Retransmitted, now);
            }
            None if now >= self.renew_at => self.register(now),
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
        let deadline = REGISTER_DEADLINE.as_millis() as u64;
        message::put_uint(
            &mut packet,
            CoapOption::Unknown(message::DEADLINE),
            deadline,
        );
        self.caller.send(&packet);
        self.inner.stats().registrations += 1;
        self.record(Step::Registered, now);
        let wait = self.caller.initial_timeout();
        self.pending = Some(Pending {
            packet,
            retransmit_at: now + wait,
            wait,
            retransmissions_left: self.caller.spec.max_retransmit,
        });
    }

    fn handle_packet(&mut self, packet: &Packet) {
        let now = Instant::now();
        let id = packet.header.message_id;
        let answers = |pending: &Pending| pending.packet.header.message_id == id;
        if self.pending.as_ref().is_some_and(answers) {
            self.pending = None;
        } else if packet.header.get_type() == MessageType::Acknowledgement {
            // A duplicate answer to an earlier registration: its message id is not outstanding (RFC 7252, 4.2).
            return;
        }
        self.caller.update_ticket(packet, self.generation);
        match message::code(packet) {
            Some(ResponseType::Content) => self.handle_notification(now, packet),
            Some(ResponseType::Unauthorized) if message::ticket(packet).is_some() => {
                self.pending = None;
                self.renew_at = now;
                self.record(Step::Challenged, now);
            }
            Some(ResponseType::Unauthorized) => {
                self.caller.retire(self.generation);
                self.end_session(Reason::FlowRetired);
            }
            Some(ResponseType::ServiceUnavailable) => {
                self.inner.stats().refused += 1;
                self.record(Step::Refused, now);
                self.renew_at = now + message::max_age(packet);
            }
            _ => {
                self.record(Step::Answered, now);
                self.renew_at = now + self.caller.spec.ack_timeout;
            }
        }
    }

    fn handle_notification(&mut self, now: Instant, packet: &Packet) {
        self.caller
            .check(&packet.payload, self.path, &self.id, self.generation);
        let upstream = Headline::parse(&packet.payload).map(|line| line.upstream);
        let value = message::uint(packet, CoapOption::Observe).unwrap_or(0);
        let age = message::max_age(packet);
        if self.last.is_none() || self.renew_at <= now {
            self.renew_at = now + age.mul_f64(RENEW_SHARE);
        }
        let mut stats = self.inner.stats();
        match self.last {
            None => stats.established += 1,
            Some((_, last)) if is_older(value, last) => {
                stats.reordered += 1;
                drop(stats);
                self.record(Step::Reordered, now);
                return;
            }
            Some((at, _)) => stats.largest_gap = stats.largest_gap.max(now - at),
        }
        stats.notifications += 1;
        stats.last_received = Some(now);
        stats.upstream = upstream;
        drop(stats);
        self.trail.clear();
        self.last = Some((now, value));
        self.expires_at = Some(now + age + MAX_AGE_GRACE);
    }

    /// Ends the session, and records a break if the feed was established.
    fn end_session(&mut self, reason: Reason) {
        self.finished = true;
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
                trail: std::mem::take(&mut self.trail),
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
    let ahead = (value + OBSERVE_RANGE - last) % OBSERVE_RANGE;
    ahead == 0 || ahead > OBSERVE_HALF_RANGE
}
