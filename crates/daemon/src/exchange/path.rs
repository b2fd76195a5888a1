//! State shared by the tasks of the data path.

use crate::{
    audit::Audit,
    exchange::{
        flow::FlowNumbers,
        handed_over::HandedOver,
        number_hash::NumberState,
        ownership::Ownership,
        relay::Relay,
        replay_buffer::ReplayBuffer,
        service::{
            Reachability,
            Service, //
        },
        upstream::Upstream, //
    },
    logging::{
        panic_message,
        Event, //
    },
    members::{
        prober::Prober,
        Control, //
    },
    metrics::{
        Metrics,
        RequestDrop, //
    },
    supervisor::Supervisor,
    timer::Timer, //
};
use foxtailhinge_policy::{
    members::{
        Member,
        MemberState, //
    },
    owner_cache::OwnerCache,
};
use foxtailhinge_wire::{
    coap::Datagram,
    message::{
        FlowKey,
        RelayMessage, //
    },
    ticket::{
        name_hash,
        Ticket,
        TicketKeys,
        TICKET_LEN, //
    },
};
use futures::FutureExt;
use std::{
    cell::{
        Cell,
        OnceCell,
        RefCell, //
    },
    collections::HashMap,
    future::Future,
    net::{
        IpAddr,
        SocketAddr, //
    },
    panic::AssertUnwindSafe,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Time after which a daemon serves even if it has found no live peer in its zone.
const PEER_WAIT_MAX: Duration = Duration::from_secs(3);

/// Maximum number of datagrams buffered while a daemon starts.
const EARLY_MAX: usize = 1024;

/// A caller's datagram that arrived before the daemon was ready.
pub struct EarlyDatagram {
    /// Hash of the service's name.
    pub service: u32,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// The datagram as received.
    pub buf: Box<[u8]>,
}

/// State of everything that serves callers on this daemon.
pub struct DataPath {
    /// Members and documents.
    pub control: Rc<Control>,
    /// Metrics of the daemon.
    pub metrics: Rc<Metrics>,
    /// Audit trail of the daemon.
    pub audit: Rc<Audit>,
    /// Keys of the flow tickets.
    pub tickets: TicketKeys,
    /// Hash of this daemon's VM id.
    pub me: u32,
    /// Incarnation of this daemon.
    pub incarnation: u32,
    /// Address on which services are bound; if unset, each service binds its own address.
    pub listen: Option<IpAddr>,
    /// The socket between daemons.
    pub relay: Relay,
    /// Generator of numbers for flows opened here.
    pub numbers: Rc<FlowNumbers>,
    /// Services in force, by the hash of their names.
    pub services: RefCell<HashMap<u32, Rc<Service>, NumberState>>,
    /// Upstreams that this daemon owns, by their address.
    pub upstreams: RefCell<HashMap<SocketAddr, Ownership>>,
    /// Upstreams that were handed over and are not imported by the next owner yet, or still have requests in progress
    /// here.
    pub handed_over: RefCell<HashMap<SocketAddr, Rc<HandedOver>>>,
    /// Supervisor of the long-lived tasks of the data path.
    pub supervisor: Supervisor,
    /// Timer shared by all tasks.
    pub timer: Rc<Timer>,
    /// Set once the daemon is stopping.
    pub stopping: Cell<bool>,
    started: Instant,
    /// When this daemon last synced after its start or a pause.
    pub rejoined: Cell<Instant>,
    /// When upkeep last checked all services.
    pub last_full_round: Cell<Instant>,
    ready: Cell<bool>,
    /// Datagrams from callers that arrived before this daemon was ready.
    early: RefCell<Vec<EarlyDatagram>>,
    owners: RefCell<OwnerCache>,
    /// Requests sent to owners that may be dead.
    replay_buffer: RefCell<ReplayBuffer>,
    prober: OnceCell<Rc<Prober<Rc<DataPath>>>>,
}

/// Dependencies of the data path.
pub struct Parts {
    /// Members and documents.
    pub control: Rc<Control>,
    /// Metrics of the daemon.
    pub metrics: Rc<Metrics>,
    /// Audit trail of the daemon.
    pub audit: Rc<Audit>,
    /// Keys of the flow tickets.
    pub tickets: TicketKeys,
    /// Address on which services are bound; if unset, each service binds its own address.
    pub listen: Option<IpAddr>,
    /// The socket between daemons.
    pub relay: Relay,
    /// Supervisor of the long-lived tasks of the data path.
    pub supervisor: Supervisor,
    /// Timer shared by all tasks.
    pub timer: Rc<Timer>,
}

impl DataPath {
    /// Creates a data path without services.
    pub fn new(parts: Parts) -> Rc<DataPath> {
        let settings = parts.control.settings();
        let me = name_hash(&settings.vm);
        let incarnation = settings.incarnation;
        let path = Rc::new(DataPath {
            me,
            incarnation,
            control: parts.control,
            metrics: parts.metrics,
            audit: parts.audit,
            tickets: parts.tickets,
            listen: parts.listen,
            relay: parts.relay,
            supervisor: parts.supervisor,
            timer: parts.timer,
            numbers: Rc::default(),
            services: RefCell::default(),
            upstreams: RefCell::default(),
            handed_over: RefCell::default(),
            stopping: Cell::new(false),
            started: Instant::now(),
            rejoined: Cell::new(Instant::now()),
            last_full_round: Cell::new(Instant::now()),
            ready: Cell::new(false),
            early: RefCell::default(),
            owners: RefCell::default(),
            replay_buffer: RefCell::default(),
            prober: OnceCell::new(),
        });
        let prober = Prober::new(Rc::clone(&path.control), Rc::clone(&path));
        let _ = path.prober.set(prober);
        path
    }

    /// The prober, which sends its messages through this data path's relay.
    pub fn prober(&self) -> &Rc<Prober<Rc<DataPath>>> {
        self.prober.get().expect("the prober is set in new")
    }

    /// Whether this daemon knows enough of its fleet to serve: it is synced and has found a live peer in its zone, or
    /// has waited for one long enough. Once ready, it claims its upstreams and serves the buffered datagrams.
    pub fn is_ready(self: &Rc<Self>, now: Instant) -> bool {
        if !self.ready.get() && self.knows_fleet(now) {
            self.ready.set(true);
            self.reconcile();
            self.serve_early();
        }
        self.ready.get()
    }

    fn knows_fleet(&self, now: Instant) -> bool {
        if !self.control.admits(now) {
            return false;
        }
        let members = self.control.members();
        let zone = &members.me().zone;
        let has_peer = members.iter().filter(|m| m.zone == *zone).count() > 1;
        let has_live_peer = members.live_in_zone(zone).count() > 1;
        has_live_peer || !has_peer || now.saturating_duration_since(self.started) >= PEER_WAIT_MAX
    }

    /// Buffers a datagram until this daemon is ready.
    pub fn buffer_early(&self, early: EarlyDatagram) {
        let mut held = self.early.borrow_mut();
        if held.len() < EARLY_MAX {
            held.push(early);
        }
    }

    fn serve_early(self: &Rc<Self>) {
        for early in self.early.take() {
            if let Some(service) = self.service(early.service) {
                self.on_caller_datagram(&service, &early.buf, early.caller);
            }
        }
    }

    /// The service whose name has this hash.
    pub fn service(&self, hash: u32) -> Option<Rc<Service>> {
        self.services.borrow().get(&hash).cloned()
    }

    /// The daemon that owns the upstream with this key in `zone`, if one is live there.
    pub fn owner(&self, key: &Rc<str>, zone: &str) -> Option<Member> {
        let members = self.control.members();
        let vm = self.owners.borrow_mut().owner(&members, key, zone)?;
        members.get(&vm).cloned()
    }

    /// The daemon of this incarnation, unless it is gone or leaving.
    pub fn incarnation_of(&self, vm: u32, incarnation: u32) -> Option<Member> {
        let members = self.control.members();
        let member = members.by_hash(vm)?;
        // A leaving daemon hands its flows over to the next owner.
        let is_available = member.incarnation == incarnation && member.is_live();
        is_available.then(|| member.clone())
    }

    /// Whether any daemon of the zone is live.
    pub fn is_reachable(&self, zone: &str) -> bool {
        self.control.members().live_in_zone(zone).next().is_some()
    }

    /// How well a zone's daemons can be reached.
    pub fn reachability(&self, zone: &str) -> Reachability {
        match (self.is_reachable(zone), self.prober().is_suspect(zone)) {
            (false, _) => Reachability::None,
            (true, true) => Reachability::Uncertain,
            (true, false) => Reachability::Reachable,
        }
    }

    /// Version of the view of the zones and their daemons.
    pub fn reachability_version(&self) -> (u64, u64) {
        let members = self.control.members().view_version();
        (members, self.prober().suspect_version())
    }

    /// Whether `member` is this daemon.
    pub fn is_me(&self, member: &Member) -> bool {
        member.vm == self.control.settings().vm
    }

    /// Spawns a task that ends by itself; a panic is logged and ends only this task.
    pub fn spawn(&self, name: &'static str, task: impl Future<Output = ()> + 'static) {
        // Combinators store the task once; an async block would store it a second time while awaiting it.
        let guarded = AssertUnwindSafe(task).catch_unwind();
        monoio::spawn(guarded.map(move |res| {
            if let Err(panic) = res {
                Event::new("task_panicked")
                    .field("task", name)
                    .field("cause", panic_message(&*panic))
                    .error();
            }
        }));
    }

    /// Delivers a message to a daemon, which may be this one.
    pub fn deliver(self: &Rc<Self>, to: &Member, msg: RelayMessage) {
        if self.is_me(to) {
            self.on_relay(self.me, to.relay, msg);
            return;
        }
        let vm = name_hash(&to.vm);
        self.metrics.relay_sent.inc();
        self.prober().probe_on_demand(to, vm);
        self.send_to(vm, to.relay, &msg);
        let silent = self.prober().is_silent(vm);
        if silent && matches!(msg, RelayMessage::Forward(_)) {
            self.send_by_alternate(to, &msg);
        }
        if let RelayMessage::Forward(forward) = msg {
            // The message may never reach the owner.
            if silent || to.state == MemberState::Suspect {
                let mut replay_buffer = self.replay_buffer.borrow_mut();
                replay_buffer.buffer(vm, forward, Instant::now());
            }
        }
    }

    /// Sends the buffered requests of a daemon that is gone to the next owners.
    ///
    /// Requests that must not run twice get an unknown outcome there, like any other retransmission.
    pub fn replay_requests(self: &Rc<Self>, gone: &Member) {
        let now = Instant::now();
        let kept = self
            .replay_buffer
            .borrow_mut()
            .take(name_hash(&gone.vm), now);
        for (age, mut forward) in kept {
            let Some(service) = self.service(forward.service) else {
                continue;
            };
            let Ok(mut req) = Datagram::parse(&forward.datagram) else {
                continue;
            };
            let left = service.deadline(&req, now).saturating_duration_since(now);
            if left <= age {
                continue;
            }
            req.set_deadline(left - age);
            forward.datagram = req.to_bytes();
            self.on_forward(forward);
        }
    }

    /// Sends a request through another daemon as well, because its owner does not answer this daemon but is live
    /// according to others.
    ///
    /// Duplicates run only once, so it does no harm if both arrive.
    fn send_by_alternate(&self, to: &Member, msg: &RelayMessage) {
        if let Some(other) = self.prober().alternate_relay(to) {
            self.metrics.relay_around.inc();
            self.send_to(name_hash(&other.vm), other.relay, msg);
        }
    }

    /// Handles a message from a daemon.
    pub fn on_relay(self: &Rc<Self>, from: u32, addr: SocketAddr, msg: RelayMessage) {
        match msg {
            RelayMessage::Open(_) | RelayMessage::Forward(_)
                if !self.control.admits(Instant::now()) =>
            {
                self.metrics.requests_dropped.inc(RequestDrop::Fenced);
            }
            RelayMessage::Open(open) => self.on_open(open),
            RelayMessage::Forward(forward) => self.on_forward(forward),
            msg => self.prober().on_message(from, addr, msg),
        }
    }

    /// Whether this daemon holds upstreams that another one can claim, or has requests in progress.
    pub fn is_busy(&self) -> bool {
        let zone = &self.control.settings().zone;
        let held = self.is_reachable(zone) && !self.upstreams.borrow().is_empty();
        held || !self.handed_over.borrow().is_empty() || self.metrics.requests_in_progress.get() > 0
    }

    /// Seals a ticket for a flow of `up`; `upstream_hash` is the hash of its name within `service`.
    pub fn ticket(
        &self,
        service: &Service,
        up: &Upstream,
        upstream_hash: u32,
        flow: FlowKey,
        caller_tag: u16,
        epoch: u32,
    ) -> [u8; TICKET_LEN] {
        let ticket = Ticket {
            warm: up.load().is_full(),
            service: service.hash,
            upstream: upstream_hash,
            upstream_incarnation: up.incarnation().unwrap_or(0),
            zone: up.zone_hash(),
            owner: flow.owner,
            owner_incarnation: flow.owner_incarnation,
            flow: flow.flow,
            epoch,
            caller_tag,
        };
        self.tickets.seal(&ticket, &service.name)
    }
}
