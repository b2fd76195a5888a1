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
    io,
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Time for which retransmissions of a request that moved to another upstream are dropped.
const MOVE_LEASE: Duration = Duration::from_secs(2);

/// Minimum time that a restart of an upstream takes; requests sent more recently may have reached the new
/// incarnation.
const RESTART_MIN: Duration = Duration::from_secs(1);

/// Time for which an abandoned request keeps its slot, since the upstream may still run it.
const ABANDONED_LEASE: Duration = Duration::from_secs(5);

/// An upstream that this daemon owns, or has handed over.
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
    /// Abandoned exchanges whose tokens are in use again.
    pub(super) replaced: RefCell<Vec<Pending>>,
    tokens: Cell<u64>,
    message_ids: Cell<u16>,
    incarnation: Cell<Option<u16>>,
    pub(super) last_answer: Cell<Instant>,
    state: Cell<Option<UpstreamState>>,
    probing: Cell<bool>,
    other_owner_since: Cell<Option<Instant>>,
    warm_hint: Cell<Option<u16>>,
    handed_over: Cell<bool>,
    finished: RefCell<Vec<FinishedRun>>,
    /// Flows held for this upstream.
    pub flows: RefCell<Flows>,
    /// Feeds held for this upstream.
    pub feeds: RefCell<Feeds>,
    /// Idempotent requests in progress, to detect their retransmissions.
    pub in_progress: RefCell<HashSet<CallerToken>>,
    /// Requests and feeds that recently moved to other upstreams, with the time of the move.
    moved: RefCell<HashMap<CallerToken, Instant>>,
}

impl Upstream {
    /// Creates an upstream; errors are those of its socket.
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
            other_owner_since: Cell::new(None),
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

    /// Key of the rendezvous hashing that selects the owner.
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

    /// Incarnation that the upstream last reported.
    pub fn incarnation(&self) -> Option<u16> {
        self.incarnation.get()
    }

    /// Sets the incarnation that the former owner knew.
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

    /// Counts, allowance and health, mutable.
    pub fn load_mut(&self) -> RefMut<'_, Load> {
        self.load.borrow_mut()
    }

    /// Returns a token that was not used before.
    pub fn next_token(&self) -> UpstreamToken {
        let token = self.tokens.get().wrapping_add(1);
        self.tokens.set(token);
        UpstreamToken(token)
    }

    /// Returns the next message ID of a request to the upstream.
    pub fn next_message_id(&self) -> u16 {
        let id = self.message_ids.get().wrapping_add(1);
        self.message_ids.set(id);
        id
    }

    /// Number of requests that run at the upstream, including abandoned ones.
    pub fn running(&self) -> u32 {
        self.load().admission().in_use()
    }

    /// When this daemon first saw another one as the owner of the upstream; after an offer, the time of the last offer.
    pub fn other_owner_since(&self) -> Option<Instant> {
        self.other_owner_since.get()
    }

    /// Sets when this daemon saw another one as the owner of the upstream.
    pub fn set_other_owner_since(&self, since: Option<Instant>) {
        self.other_owner_since.set(since);
    }

    /// Begins a probe; false while another one is in progress.
    pub fn begin_probe(&self) -> bool {
        !self.probing.replace(true)
    }

    /// Ends a probe and allows the next one.
    pub fn end_probe(&self) {
        self.probing.set(false);
    }

    /// When the upstream last answered a request.
    pub fn last_answer(&self) -> Instant {
        self.last_answer.get()
    }

    /// Stores the state that is reported now and returns the last one.
    pub fn replace_state(&self, state: UpstreamState) -> Option<UpstreamState> {
        self.state.replace(Some(state))
    }

    /// Stores the incarnation of the upstream that was warm according to a ticket of the former owner.
    pub fn set_warm_hint(&self, incarnation: u16) {
        if !self.load().is_full() {
            self.warm_hint.set(Some(incarnation));
        }
    }

    /// Updates the incarnation from a datagram of the upstream; true if the upstream restarted.
    pub fn update_incarnation(&self, rsp: &Datagram) -> bool {
        let reported = rsp.upstream_incarnation().unwrap_or(0);
        if self.warm_hint.take() == Some(reported) {
            self.load_mut().shorten_ramp();
        }
        let Some(now) = rsp.upstream_incarnation() else {
            return false;
        };
        let previous = self.incarnation.replace(Some(now));
        previous.is_some_and(|previous| previous != now)
    }

    /// Handles a restart of the upstream: requests that ran there are lost, and the allowance returns to the cold
    /// start.
    pub fn restart(&self) {
        let now = Instant::now();
        self.load_mut().restart(now);
        // Requests that were sent recently may run in the new incarnation and still hold their slots there.
        self.fail_pending(|pending| now.saturating_duration_since(pending.sent) >= RESTART_MIN);
    }

    /// Records that a request or feed moves to another upstream; false if it already did so recently, so that a
    /// retransmission does not open a second flow.
    pub fn begin_move(&self, key: CallerToken, now: Instant) -> bool {
        let mut moved = self.moved.borrow_mut();
        let is_recent = moved
            .get(&key)
            .is_some_and(|at| now.saturating_duration_since(*at) < MOVE_LEASE);
        if !is_recent {
            moved.insert(key, now);
        }
        !is_recent
    }

    /// Marks the upstream as handed over: running requests still finish here and are reported to the next owner, and
    /// waiting ones are forwarded to it.
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

    /// Stores the answer of a request that finished after the hand-over.
    pub fn record_finished(&self, flow: u32, token: &[u8], answer: &[u8]) {
        let run = FinishedRun {
            flow: self.flows.borrow().key(flow),
            token: token.to_vec(),
            answer: answer.to_vec(),
        };
        self.finished.borrow_mut().push(run);
    }

    /// Removes and returns the answers stored since the last call.
    pub fn take_finished(&self) -> Vec<FinishedRun> {
        self.finished.take()
    }

    /// Removes expired records of moves, and frees the slots of abandoned requests that the upstream can no longer be
    /// running.
    pub fn expire(self: &Rc<Self>, now: Instant) {
        self.moved
            .borrow_mut()
            .retain(|_, at| now.saturating_duration_since(*at) < MOVE_LEASE);
        self.expire_abandoned(now);
        self.promote(now);
    }
}

/// A slot of the upstream in use; dropping it releases the slot.
#[derive(Debug)]
pub struct Slot {
    upstream: Rc<Upstream>,
    /// Service time of the request, set once it was answered.
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

/// An exchange whose answer has not arrived.
#[derive(Debug)]
pub(super) struct Pending {
    /// Those who wait for the answer: several if a registration was sent again while it was in progress, none if all have
    /// given up.
    pub(super) waiters: SmallVec<[oneshot::Sender<Datagram>; 1]>,
    /// The slot in use; probes use none.
    pub(super) slot: Option<Slot>,
    pub(super) sent: Instant,
}

impl Pending {
    /// Whether the upstream can no longer be running the request.
    pub(super) fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.sent) >= ABANDONED_LEASE
    }
}
