//! One upstream that this daemon owns: its slots, its exchanges, its flows and its feeds.

use crate::{
    exchange::{
        feed::Feeds,
        flow::Flows,
        load::Load,
        number_hash::NumberState,
        token::{
            CallerToken,
            UpstreamToken, //
        },
    },
    socket::Socket, //
};
use foxtailhinge_config::report::UpstreamState;
use foxtailhinge_policy::admission::WaitingList;
use foxtailhinge_wire::{
    coap::Datagram,
    message::FinishedRun,
    ticket::zone_hash, //
};
use local_sync::oneshot;
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
    io,
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Time for which copies of a request that went to another upstream are dropped.
const MOVE_LEASE: Duration = Duration::from_secs(2);

/// Shortest time that a restart of an upstream takes, as seen by what was sent before it.
const RESTART_MIN: Duration = Duration::from_secs(1);

/// How long a request that was given up keeps its slot while the upstream may still run it.
const ABANDONED_LEASE: Duration = Duration::from_secs(5);

/// An upstream, by its address.
#[derive(Debug)]
pub struct Upstream {
    addr: SocketAddr,
    key: Rc<str>,
    zone: Rc<str>,
    zone_hash: u16,
    pub(super) socket: Socket,
    pub(super) load: RefCell<Load>,
    pub(super) waiting: RefCell<WaitingList<oneshot::Sender<Slot>>>,
    pub(super) pending: RefCell<HashMap<UpstreamToken, Pending, NumberState>>,
    /// Given up exchanges whose tokens are in use again.
    pub(super) replaced: RefCell<Vec<Pending>>,
    tokens: Cell<u64>,
    message_ids: Cell<u16>,
    incarnation: Cell<Option<u16>>,
    pub(super) last_answer: Cell<Instant>,
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
    pub fn set_warm_hint(&self, incarnation: u16) {
        if !self.load().is_full() {
            self.warm_hint.set(Some(incarnation));
        }
    }

    /// Notes the incarnation that a datagram of the upstream carries; true when the upstream restarted.
    pub fn update_incarnation(&self, rsp: &Datagram) -> bool {
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
    pub fn record_finished(&self, flow: u32, token: &[u8], answer: &[u8]) {
        let run = FinishedRun {
            flow: self.flows.borrow().key(flow),
            token: token.to_vec(),
            answer: answer.to_vec(),
        };
        self.finished.borrow_mut().push(run);
    }

    /// Takes the answers kept since the last call.
    pub fn take_finished(&self) -> Vec<FinishedRun> {
        self.finished.take()
    }

    /// Forgets what is over, and frees the slots of requests that were given up long ago.
    pub fn expire(self: &Rc<Self>, now: Instant) {
        self.moved
            .borrow_mut()
            .retain(|_, at| now.saturating_duration_since(*at) < MOVE_LEASE);
        self.expire_abandoned(now);
        self.promote(now);
    }
}

/// A slot of the upstream in use; dropping it gives it back.
#[derive(Debug)]
pub struct Slot {
    upstream: Rc<Upstream>,
    /// Time that the request took, once it was answered.
    pub(super) service_time: Cell<Option<Duration>>,
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

impl Slot {
    pub(super) fn new(upstream: &Rc<Upstream>) -> Slot {
        Slot {
            upstream: Rc::clone(upstream),
            service_time: Cell::new(None),
        }
    }
}

/// An exchange whose answer has not come.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) answer: Option<oneshot::Sender<Datagram>>,
    /// The slot in use; probes use none.
    pub(super) slot: Option<Slot>,
    pub(super) sent: Instant,
}

impl Pending {
    /// Whether the upstream no longer runs the request, had it been lost.
    pub(super) fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.sent) >= ABANDONED_LEASE
    }
}
