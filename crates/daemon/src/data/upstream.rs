//! One upstream that this daemon owns: its slots, its exchanges, its flows and its feeds.

use crate::{
    data::{
        feed::Feeds,
        flow::Flows,
        load::{
            Load,
            Outcome, //
        },
        number_hash::NumberState,
        socket::Socket, //
    },
    timer::Timer,
};
use foxtailhinge_config::report::UpstreamState;
use foxtailhinge_policy::admission::{
    Refusal,
    Start,
    WaitingList, //
};
use foxtailhinge_wire::{
    coap::{
        Datagram,
        Method,
        Status, //
    },
    message::FinishedRun,
    ticket::zone_hash, //
};
use local_sync::oneshot;
use smallvec::SmallVec;
use std::{
    cell::{
        Cell,
        Ref,
        RefCell,
        RefMut, //
    },
    collections::{
        HashMap,
        HashSet, //
    },
    hash::{
        DefaultHasher,
        Hash,
        Hasher, //
    },
    io,
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// How long a request that was given up keeps its slot while the upstream may still run it.
const ABANDONED_LEASE: Duration = Duration::from_secs(5);

/// Time for which copies of a request that went to another upstream are dropped.
const MOVE_LEASE: Duration = Duration::from_secs(2);

/// Shortest time that a restart of an upstream takes, as seen by what was sent before it.
const RESTART_MIN: Duration = Duration::from_secs(1);

/// Path of an upstream's own health endpoint.
const HEALTH_PATH: &str = "/health";

/// A token towards the upstream, never used twice by one daemon incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct UpstreamToken(u64);

impl UpstreamToken {
    fn read(token: &[u8]) -> Option<UpstreamToken> {
        let bytes = token.try_into().ok()?;
        Some(UpstreamToken(u64::from_be_bytes(bytes)))
    }

    /// The token's bytes on the wire.
    pub fn bytes(self) -> [u8; 8] {
        self.0.to_be_bytes()
    }
}

/// A caller's request, by which copies of it are known.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CallerToken {
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Token that the caller chose.
    pub token: SmallVec<[u8; 8]>,
}

impl CallerToken {
    /// The key of `req` from `caller`.
    pub fn of(caller: SocketAddr, req: &Datagram) -> CallerToken {
        CallerToken {
            caller,
            token: SmallVec::from_slice(req.token()),
        }
    }

    /// A hash that is the same on all daemons.
    pub fn hash_value(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

/// Why a request got no slot; it was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotError {
    /// The upstream can not take it.
    Refused(Refusal),
    /// The upstream was handed over, so the request belongs to the next owner.
    HandedOver,
}

/// Why an exchange with the upstream brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeError {
    /// No answer came in time.
    TimedOut,
    /// The upstream's host refused the datagram, or the upstream restarted.
    Refused,
}

/// What arrived from the upstream besides answers to exchanges.
#[derive(Debug)]
pub enum Arrival {
    /// A notification of a feed.
    Notification(UpstreamToken, Datagram),
    /// An answer that nobody waits for any more.
    Late,
    /// A notification with this message id of a feed that is not held.
    Stray(u16),
    /// Nothing that concerns others.
    Handled,
}

/// A slot of the upstream in use; dropping it gives it back.
#[derive(Debug)]
pub struct Slot {
    upstream: Rc<Upstream>,
    service_time: Cell<Option<Duration>>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = Instant::now();
        self.upstream
            .load_mut()
            .finish(now, self.service_time.get());
        self.upstream.promote(now);
    }
}

/// An exchange whose answer has not come.
#[derive(Debug)]
struct Pending {
    answer: Option<oneshot::Sender<Datagram>>,
    /// The slot in use; probes use none.
    slot: Option<Slot>,
    sent: Instant,
}

impl Pending {
    /// Whether the upstream no longer runs the request, had it been lost.
    fn is_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.sent) >= ABANDONED_LEASE
    }
}

/// An upstream, by its address.
#[derive(Debug)]
pub struct Upstream {
    addr: SocketAddr,
    key: Rc<str>,
    zone: Rc<str>,
    zone_hash: u16,
    socket: Socket,
    load: RefCell<Load>,
    waiting: RefCell<WaitingList<oneshot::Sender<Slot>>>,
    pending: RefCell<HashMap<UpstreamToken, Pending, NumberState>>,
    /// Given up exchanges whose tokens are in use again.
    replaced: RefCell<Vec<Pending>>,
    tokens: Cell<u64>,
    message_ids: Cell<u16>,
    incarnation: Cell<Option<u16>>,
    last_answer: Cell<Instant>,
    state: Cell<Option<UpstreamState>>,
    probing: Cell<bool>,
    foreign_since: Cell<Option<Instant>>,
    warm_hint: Cell<Option<u16>>,
    handed_over: Cell<bool>,
    finished: RefCell<Vec<FinishedRun>>,
    /// Flows that are held.
    pub flows: RefCell<Flows>,
    /// Feeds that are held.
    pub feeds: RefCell<Feeds>,
    /// Idempotent requests in progress, by which their copies are known.
    pub in_progress: RefCell<HashSet<CallerToken>>,
    /// Requests and feeds that went to other upstreams lately.
    moved: RefCell<HashMap<CallerToken, Instant>>,
}

impl Upstream {
    /// Takes up an upstream; errors are those of its socket.
    pub fn new(
        addr: SocketAddr,
        zone: Rc<str>,
        load: Load,
        flows: Flows,
    ) -> io::Result<Rc<Upstream>> {
        Ok(Rc::new(Upstream {
            addr,
            key: Rc::from(addr.to_string()),
            zone_hash: zone_hash(&zone),
            zone,
            socket: Socket::connect(addr)?,
            load: RefCell::new(load),
            waiting: RefCell::default(),
            pending: RefCell::default(),
            replaced: RefCell::default(),
            tokens: Cell::new(rand::random()),
            message_ids: Cell::new(rand::random()),
            incarnation: Cell::new(None),
            last_answer: Cell::new(Instant::now()),
            state: Cell::new(None),
            probing: Cell::new(false),
            foreign_since: Cell::new(None),
            warm_hint: Cell::new(None),
            handed_over: Cell::new(false),
            finished: RefCell::default(),
            flows: RefCell::new(flows),
            feeds: RefCell::default(),
            in_progress: RefCell::default(),
            moved: RefCell::default(),
        }))
    }

    /// Address of the upstream.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The name by which owners are drawn.
    pub fn key(&self) -> &Rc<str> {
        &self.key
    }

    /// The upstream's availability zone.
    pub fn zone(&self) -> &Rc<str> {
        &self.zone
    }

    /// Hash of the zone's name, as tickets carry it.
    pub fn zone_hash(&self) -> u16 {
        self.zone_hash
    }

    /// Incarnation that the upstream last told.
    pub fn incarnation(&self) -> Option<u16> {
        self.incarnation.get()
    }

    /// Takes over the incarnation that the former owner knew.
    pub fn set_incarnation(&self, incarnation: Option<u16>) {
        self.incarnation.set(incarnation);
    }

    /// The socket towards the upstream.
    pub fn socket(&self) -> &Socket {
        &self.socket
    }

    /// Counts, allowance and health.
    pub fn load(&self) -> Ref<'_, Load> {
        self.load.borrow()
    }

    /// Counts, allowance and health, to change them.
    pub fn load_mut(&self) -> RefMut<'_, Load> {
        self.load.borrow_mut()
    }

    /// A token not used before.
    pub fn next_token(&self) -> UpstreamToken {
        let token = self.tokens.get().wrapping_add(1);
        self.tokens.set(token);
        UpstreamToken(token)
    }

    /// A message id towards the upstream.
    pub fn next_message_id(&self) -> u16 {
        let id = self.message_ids.get().wrapping_add(1);
        self.message_ids.set(id);
        id
    }

    /// Requests that run at the upstream, those given up included.
    pub fn running(&self) -> u32 {
        self.load().admission().in_use()
    }

    /// Waits for a slot until `deadline`; `feed` when the request registers for a feed.
    ///
    /// # Errors
    ///
    /// Why the request was not let through; it was not run.
    pub async fn acquire(
        self: &Rc<Self>,
        timer: &Rc<Timer>,
        deadline: Instant,
        feed: bool,
    ) -> Result<Slot, SlotError> {
        if self.is_handed_over() {
            return Err(SlotError::HandedOver);
        }
        let now = Instant::now();
        let start = self.load_mut().start(now, deadline, feed);
        match start {
            Start::Run => return Ok(Slot::new(self)),
            Start::Refuse(refusal) => return Err(SlotError::Refused(refusal)),
            Start::Wait => {}
        }
        let (tx, rx) = oneshot::channel();
        let latest = self.load().admission().latest_start(deadline);
        self.waiting.borrow_mut().push(latest, tx);
        match timer.timeout_at(latest, rx).await {
            // A slot given just before the hand-over goes back, to be used by the next owner.
            _ if self.is_handed_over() => Err(SlotError::HandedOver),
            Some(Ok(slot)) => Ok(slot),
            _ => {
                self.promote(Instant::now());
                Err(SlotError::Refused(Refusal::Deadline))
            }
        }
    }

    /// Gives free slots to the requests that wait.
    pub fn promote(self: &Rc<Self>, now: Instant) {
        let expired = self
            .load
            .borrow_mut()
            .expire(&mut self.waiting.borrow_mut(), now);
        drop(expired);
        loop {
            let next = self
                .load
                .borrow_mut()
                .promote(&mut self.waiting.borrow_mut(), now);
            match next {
                // A receiver that is gone gives the slot back by dropping it.
                Some(tx) => drop(tx.send(Slot::new(self))),
                None => return,
            }
        }
    }

    /// Sends a request and waits for its answer; the slot stays in use until the upstream is done with it.
    ///
    /// # Errors
    ///
    /// Why no answer came; unless the request is idempotent its outcome is then unknown.
    pub async fn exchange(
        &self,
        timer: &Rc<Timer>,
        slot: Slot,
        token: UpstreamToken,
        req: &Datagram,
        timeout: Duration,
    ) -> Result<Datagram, ExchangeError> {
        let answer = self.send(Some(slot), token, req);
        self.wait(timer, answer, token, timeout).await
    }

    /// Asks the upstream's own endpoint for its health, without a slot.
    ///
    /// # Errors
    ///
    /// Why no answer came.
    pub async fn probe(
        &self,
        timer: &Rc<Timer>,
        timeout: Duration,
    ) -> Result<Datagram, ExchangeError> {
        let token = self.next_token();
        let req = Datagram::request(Method::Get, HEALTH_PATH)
            .with_token(&token.bytes())
            .with_message_id(self.next_message_id());
        let answer = self.send(None, token, &req);
        let res = self.wait(timer, answer, token, timeout).await;
        self.pending.borrow_mut().remove(&token);
        res
    }

    fn send(
        &self,
        slot: Option<Slot>,
        token: UpstreamToken,
        req: &Datagram,
    ) -> oneshot::Receiver<Datagram> {
        let (tx, rx) = oneshot::channel();
        let pending = Pending {
            answer: Some(tx),
            slot,
            sent: Instant::now(),
        };
        let before = self.pending.borrow_mut().insert(token, pending);
        // The upstream may still run an earlier attempt with the same token.
        self.replaced.borrow_mut().extend(before);
        // A refusal reported here belongs to an earlier datagram; the reading task sees it as well.
        let _ = self.socket.send(&req.to_bytes());
        rx
    }

    async fn wait(
        &self,
        timer: &Rc<Timer>,
        answer: oneshot::Receiver<Datagram>,
        token: UpstreamToken,
        timeout: Duration,
    ) -> Result<Datagram, ExchangeError> {
        let due = Instant::now() + timeout;
        match timer.timeout_at(due, answer).await {
            Some(Ok(rsp)) => Ok(rsp),
            Some(Err(_)) => Err(ExchangeError::Refused),
            None => {
                self.abandon(token, timeout);
                Err(ExchangeError::TimedOut)
            }
        }
    }

    fn abandon(&self, token: UpstreamToken, waited: Duration) {
        if let Some(pending) = self.pending.borrow_mut().get_mut(&token) {
            pending.answer = None;
        }
        let mut load = self.load_mut();
        if load.is_overdue(waited) {
            load.learn(Outcome::TimedOut, Instant::now());
        }
    }

    /// Takes in a datagram from the upstream.
    pub fn on_datagram(&self, mut rsp: Datagram) -> Arrival {
        let Some(token) = UpstreamToken::read(rsp.token()) else {
            return Arrival::Handled;
        };
        let pending = self.pending.borrow_mut().remove(&token);
        if let Some(pending) = pending {
            if let Some(feed) = self.feeds.borrow_mut().get_mut(token) {
                feed.stamp_answer(&mut rsp);
            }
            return self.on_answer(pending, rsp);
        }
        if let Some(feed) = self.feeds.borrow_mut().get_mut(token) {
            return if feed.stamp(&mut rsp) {
                Arrival::Notification(token, rsp)
            } else {
                Arrival::Late
            };
        }
        match rsp.observe() {
            Some(_) => Arrival::Stray(rsp.message_id()),
            None => Arrival::Late,
        }
    }

    fn on_answer(&self, pending: Pending, rsp: Datagram) -> Arrival {
        let Pending { answer, slot, sent } = pending;
        if let Some(slot) = slot {
            self.learn_answer(&slot, sent, &rsp);
            drop(slot);
        }
        match answer {
            Some(tx) => {
                let _ = tx.send(rsp);
                Arrival::Handled
            }
            None => Arrival::Late,
        }
    }

    fn learn_answer(&self, slot: &Slot, sent: Instant, rsp: &Datagram) {
        let now = Instant::now();
        let latency = now.saturating_duration_since(sent);
        let outcome = if rsp.status() == Some(Status::ServiceUnavailable) {
            Outcome::Shed
        } else {
            slot.service_time.set(Some(latency));
            Outcome::Answered(latency)
        };
        self.last_answer.set(now);
        self.load_mut().learn(outcome, now);
    }

    /// Since when another daemon owns the upstream by this one's view.
    pub fn foreign_since(&self) -> Option<Instant> {
        self.foreign_since.get()
    }

    /// Notes since when another daemon owns the upstream by this one's view.
    pub fn set_foreign_since(&self, since: Option<Instant>) {
        self.foreign_since.set(since);
    }

    /// Begins a probe; false while another one is in progress.
    pub fn begin_probe(&self) -> bool {
        !self.probing.replace(true)
    }

    /// Allows the next probe.
    pub fn end_probe(&self) {
        self.probing.set(false);
    }

    /// When the upstream last answered a request.
    pub fn last_answer(&self) -> Instant {
        self.last_answer.get()
    }

    /// The state that was reported last; `state` is now.
    pub fn replace_state(&self, state: UpstreamState) -> Option<UpstreamState> {
        self.state.replace(Some(state))
    }

    /// A ticket of the former owner says that this incarnation of the upstream was warm.
    pub fn hint_warm(&self, incarnation: u16) {
        if !self.load().is_full() {
            self.warm_hint.set(Some(incarnation));
        }
    }

    /// Notes the incarnation that a datagram of the upstream carries; true when the upstream restarted.
    pub fn note_incarnation(&self, rsp: &Datagram) -> bool {
        let told = rsp.upstream_incarnation().unwrap_or(0);
        if self.warm_hint.take() == Some(told) {
            self.load_mut().recover();
        }
        let Some(now) = rsp.upstream_incarnation() else {
            return false;
        };
        let before = self.incarnation.replace(Some(now));
        before.is_some_and(|before| before != now)
    }

    /// The upstream restarted: what ran there is lost, and it carries its cold-start allowance.
    pub fn restart(&self) {
        let now = Instant::now();
        self.load_mut().restart(now);
        // What was sent lately may run in the new incarnation and still hold its slot there.
        self.fail_pending(|pending| now.saturating_duration_since(pending.sent) >= RESTART_MIN);
    }

    /// The upstream's host says that nothing listens.
    pub fn on_refused(&self) {
        self.load_mut().learn(Outcome::Refused, Instant::now());
        self.fail_pending(|_| true);
        drop(self.replaced.take());
    }

    fn fail_pending(&self, is_lost: impl Fn(&Pending) -> bool) {
        let mut pending = self.pending.borrow_mut();
        let lost = pending.extract_if(|_, one| is_lost(one));
        let lost: Vec<_> = lost.collect();
        drop(pending);
        drop(lost);
    }

    /// Notes that a request or feed goes to another upstream; false when it went there lately, so that a copy
    /// does not take up a second place.
    pub fn begin_move(&self, key: CallerToken, now: Instant) -> bool {
        let mut moved = self.moved.borrow_mut();
        let lately = moved
            .get(&key)
            .is_some_and(|at| now.saturating_duration_since(*at) < MOVE_LEASE);
        if !lately {
            moved.insert(key, now);
        }
        !lately
    }

    /// Marks the upstream as handed over: what runs still ends here, for the next owner to hear of, and what
    /// waits is passed on to it.
    pub fn set_handed_over(&self) {
        self.handed_over.set(true);
        let waiting = self.waiting.take();
        for _ in 0..waiting.len() {
            self.load_mut().leave_queue();
        }
        drop(waiting);
    }

    /// Whether the upstream was handed over.
    pub fn is_handed_over(&self) -> bool {
        self.handed_over.get()
    }

    /// Keeps the answer of a run that ended after the hand-over.
    pub fn note_finished(&self, flow: u32, token: &[u8], answer: &[u8]) {
        let run = FinishedRun {
            flow: self.flows.borrow().name(flow),
            token: token.to_vec(),
            answer: answer.to_vec(),
        };
        self.finished.borrow_mut().push(run);
    }

    /// Takes the answers kept since the last call.
    pub fn take_finished(&self) -> Vec<FinishedRun> {
        self.finished.take()
    }

    /// Frees the slots of requests that were given up long ago.
    pub fn collect(self: &Rc<Self>, now: Instant) {
        let abandoned: SmallVec<[UpstreamToken; 4]> = self
            .pending
            .borrow()
            .iter()
            .filter(|(_, pending)| pending.answer.is_none() && pending.is_over(now))
            .map(|(token, _)| *token)
            .collect();
        let mut replaced = self.replaced.borrow_mut();
        let over = replaced.extract_if(.., |one| one.is_over(now));
        let over: Vec<Pending> = over.collect();
        drop(replaced);
        drop(over);
        self.moved
            .borrow_mut()
            .retain(|_, at| now.saturating_duration_since(*at) < MOVE_LEASE);
        for token in abandoned {
            let pending = self.pending.borrow_mut().remove(&token);
            drop(pending);
        }
        self.promote(now);
    }
}

impl Slot {
    fn new(upstream: &Rc<Upstream>) -> Slot {
        Slot {
            upstream: Rc::clone(upstream),
            service_time: Cell::new(None),
        }
    }
}
