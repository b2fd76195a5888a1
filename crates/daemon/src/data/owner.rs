//! Ownership: requests of flows whose upstream this daemon owns.

use crate::data::{
    answer::Notice,
    flow::{
        FlowStart,
        Found, //
    },
    ingress::Arrived,
    path::DataPath,
    request::Job,
    service::Service,
    upstream::{
        CallerToken,
        Upstream, //
    },
};
use foxtailhinge_policy::ledger::{
    Begin,
    FlowLedger, //
};
use foxtailhinge_wire::{
    coap::Datagram,
    message::{
        Forward,
        RelayMessage, //
    },
    ticket::{
        caller_tag,
        Ticket, //
    },
};
use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Requests held while an upstream is claimed from its former owner.
const HELD_MAX: usize = 256;

/// How often daemons with differing views may pass a request on.
const BOUNCES_MAX: u8 = 2;

/// Time after which a draining upstream gets no requests of its flows any more.
pub const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// How this daemon holds an upstream.
#[derive(Debug)]
pub enum Holding {
    /// It owns it.
    Held(Rc<Upstream>),
    /// It has asked the former owner for it; requests that arrived since then wait.
    Claiming(Vec<RelayMessage>),
}

impl Holding {
    /// Keeps a message until the claim has ended; false when the upstream is held already or too many wait.
    pub fn keep(&mut self, msg: RelayMessage) -> bool {
        match self {
            Holding::Claiming(waiting) if waiting.len() < HELD_MAX => {
                waiting.push(msg);
                true
            }
            Holding::Claiming(_) | Holding::Held(_) => false,
        }
    }
}

/// A request of a flow at its owner.
struct Visit<'a> {
    arrived: &'a Arrived<'a>,
    ticket: Ticket,
    up: &'a Rc<Upstream>,
    idempotent: bool,
    /// Whether the flow begins with this request.
    fresh: bool,
    now: Instant,
}

impl Visit<'_> {
    /// Whether the request comes from the address that the ticket was given to.
    fn is_at_home(&self) -> bool {
        caller_tag(self.arrived.caller) == self.ticket.caller_tag
    }

    fn start(&self) -> FlowStart {
        FlowStart {
            service: self.arrived.service.hash,
            name: self.ticket.upstream,
            caller: self.arrived.caller,
        }
    }
}

impl DataPath {
    /// Takes in a request that was passed on to this daemon.
    pub fn on_forward(self: &Rc<Self>, forward: Forward) {
        let Some(service) = self.service(forward.service) else {
            return;
        };
        let Ok(req) = Datagram::parse(&forward.datagram) else {
            return;
        };
        let Some(Ok(ticket)) = req
            .echo()
            .map(|value| self.tickets.open(value, &service.name))
        else {
            return;
        };
        let Some(addr) = service
            .upstream(ticket.upstream)
            .map(|named| named.spec.address)
        else {
            self.on_removed_upstream(&service, forward, &req);
            return;
        };
        let held = match self.upstreams.borrow_mut().get_mut(&addr) {
            Some(Holding::Held(up)) => Some(Rc::clone(up)),
            Some(claiming) => {
                claiming.keep(RelayMessage::Forward(forward));
                return;
            }
            None => None,
        };
        let arrived = Arrived {
            service: &service,
            caller: forward.caller,
            req: &req,
            buf: &forward.datagram,
            bounces: forward.bounces,
        };
        match held {
            Some(up) => self.visit(&arrived, ticket, &up),
            None => self.bounce(arrived, &ticket),
        }
    }

    /// The upstream is not held here: its owner by this daemon's view gets the request.
    fn bounce(self: &Rc<Self>, mut arrived: Arrived<'_>, ticket: &Ticket) {
        if arrived.bounces >= BOUNCES_MAX {
            return;
        }
        arrived.bounces += 1;
        let Some(named) = arrived.service.upstream(ticket.upstream) else {
            return;
        };
        let Some(owner) = self.owner(named.key, &named.spec.zone) else {
            return;
        };
        if !self.is_me(&owner) {
            self.metrics.bounces.inc();
            self.forward(&arrived, &owner);
        }
    }

    /// A request that is not idempotent, for an upstream that is not in the document any more.
    fn on_removed_upstream(
        self: &Rc<Self>,
        service: &Rc<Service>,
        forward: Forward,
        req: &Datagram,
    ) {
        let arrived = Arrived {
            service,
            caller: forward.caller,
            req,
            buf: &forward.datagram,
            bounces: forward.bounces,
        };
        self.give_up(&arrived, service.is_idempotent(req));
    }

    fn visit(self: &Rc<Self>, arrived: &Arrived<'_>, ticket: Ticket, up: &Rc<Upstream>) {
        let found = up.flows.borrow().find(&ticket);
        let visit = Visit {
            arrived,
            ticket,
            up,
            idempotent: arrived.service.is_idempotent(arrived.req),
            fresh: matches!(found, Found::Opened { .. }),
            now: Instant::now(),
        };
        let (flow, covered) = match found {
            Found::Held { flow, ledger } => (flow, ledger),
            Found::Opened { flow } => {
                if !self.confirm(&visit, flow) {
                    return;
                }
                (flow, true)
            }
            Found::Unknown => (self.take_over(&visit), false),
        };
        self.greet(&visit, flow);
        if visit.idempotent {
            self.visit_idempotent(&visit, flow);
        } else {
            self.visit_once(&visit, flow, covered);
        }
    }

    /// Turns an opened flow into a held one; false when no connection was left, and the caller was told.
    fn confirm(self: &Rc<Self>, visit: &Visit<'_>, flow: u32) -> bool {
        let arrived = visit.arrived;
        let confirmed = visit.up.load_mut().confirm(visit.now);
        if confirmed.is_err() {
            // The request did not run; its ticket ends, so that no copy of it runs either.
            if !visit.idempotent {
                visit.up.flows.borrow_mut().end_opened(flow);
            }
            self.open(arrived, visit.idempotent);
            return false;
        }
        let mut flows = visit.up.flows.borrow_mut();
        flows.confirm(flow, visit.start(), visit.now);
        true
    }

    /// Takes over a flow whose owner is gone, or that ended here for want of packets.
    fn take_over(&self, visit: &Visit<'_>) -> u32 {
        visit.up.load_mut().adopt();
        if visit.ticket.warm {
            visit.up.hint_warm(visit.ticket.upstream_incarnation);
        }
        let mut flows = visit.up.flows.borrow_mut();
        flows.take_over(&visit.ticket, visit.start(), visit.now)
    }

    fn greet(&self, visit: &Visit<'_>, flow: u32) {
        if let Some(entry) = visit.up.flows.borrow_mut().get_mut(flow) {
            entry.last_seen = visit.now;
            if visit.is_at_home() {
                entry.caller = visit.arrived.caller;
            }
        }
    }

    /// Whether the flow is over at this upstream: given up, or its zone is out of service.
    fn is_over(&self, visit: &Visit<'_>, flow: u32) -> bool {
        let mut flows = visit.up.flows.borrow_mut();
        let given_up = flows
            .get_mut(flow)
            .is_some_and(|entry| entry.given_up.is_some());
        given_up || !visit.arrived.service.zone_in_service(visit.up.zone())
    }

    /// Whether a request should go to another upstream, for which its flow's first one is too early.
    fn should_move(&self, visit: &Visit<'_>) -> bool {
        let (service, name) = (visit.arrived.service, visit.ticket.upstream);
        !visit.fresh && self.must_move(visit.up, service, name, visit.now)
    }

    /// Whether the upstream should not get requests of this service any more, so that its flows move.
    pub fn must_move(&self, up: &Upstream, service: &Service, name: u32, now: Instant) -> bool {
        let draining = service
            .draining_for(name, now)
            .is_some_and(|time| time >= DRAIN_GRACE);
        draining || up.load().is_down(now)
    }

    fn visit_idempotent(self: &Rc<Self>, visit: &Visit<'_>, flow: u32) {
        let arrived = visit.arrived;
        if self.is_over(visit, flow) {
            self.notify(arrived, Notice::GivenUp);
            return;
        }
        if !visit.is_at_home() {
            // The ticket came from another address, which is not confirmed yet.
            if let Some(ticket) = self.renewed(visit, flow) {
                self.notify(arrived, Notice::Challenge(ticket));
            }
            return;
        }
        if self.should_move(visit) {
            self.open(arrived, true);
            return;
        }
        let key = CallerToken::of(arrived.caller, arrived.req);
        if !visit.up.in_progress.borrow_mut().insert(key) {
            self.metrics.copies_joined.inc();
            return;
        }
        self.start(visit, flow);
    }

    /// A request that must not run twice.
    fn visit_once(self: &Rc<Self>, visit: &Visit<'_>, flow: u32, covered: bool) {
        let arrived = visit.arrived;
        let token = arrived.req.token();
        let begin = if covered {
            let mut flows = visit.up.flows.borrow_mut();
            flows.get_mut(flow).map_or(Begin::Expired, |entry| {
                entry.ledger.begin(token, visit.ticket.epoch, visit.now)
            })
        } else {
            Begin::Expired
        };
        if !visit.is_at_home() {
            self.visit_once_from_elsewhere(visit, flow, &begin);
            return;
        }
        match begin {
            Begin::Run => self.run_once(visit, flow),
            Begin::Join | Begin::Elsewhere => self.metrics.copies_joined.inc(),
            Begin::Answered(answer) => self.repeat(arrived, &answer),
            Begin::Refused | Begin::Full => {
                let after = visit.up.load_mut().come_back(visit.now);
                self.notify(arrived, Notice::NotRun(after));
            }
            Begin::Expired => {
                let ticket = self.renewed(visit, flow);
                self.notify(arrived, Notice::Unknown(ticket));
            }
        }
    }

    /// A request that must not run twice, with a ticket that was given to another address.
    ///
    /// The present address is not confirmed, so no answer of the upstream goes there.
    fn visit_once_from_elsewhere(&self, visit: &Visit<'_>, flow: u32, begin: &Begin) {
        match begin {
            Begin::Run => {
                self.with_ledger(visit, flow, |ledger, token| ledger.not_run(token));
                if let Some(ticket) = self.renewed(visit, flow) {
                    self.notify(visit.arrived, Notice::Challenge(ticket));
                }
            }
            Begin::Join | Begin::Elsewhere => self.metrics.copies_joined.inc(),
            _ => self.notify(visit.arrived, Notice::Unknown(None)),
        }
    }

    fn run_once(self: &Rc<Self>, visit: &Visit<'_>, flow: u32) {
        let arrived = visit.arrived;
        if self.is_over(visit, flow) {
            self.with_ledger(visit, flow, |ledger, token| ledger.not_run(token));
            self.notify(arrived, Notice::GivenUp);
            return;
        }
        if self.should_move(visit) {
            self.with_ledger(visit, flow, |ledger, token| ledger.moved(token));
            self.open(arrived, false);
            return;
        }
        self.start(visit, flow);
    }

    fn with_ledger(
        &self,
        visit: &Visit<'_>,
        flow: u32,
        change: impl FnOnce(&mut FlowLedger, &[u8]),
    ) {
        if let Some(entry) = visit.up.flows.borrow_mut().get_mut(flow) {
            change(&mut entry.ledger, visit.arrived.req.token());
        }
    }

    fn start(self: &Rc<Self>, visit: &Visit<'_>, flow: u32) {
        let arrived = visit.arrived;
        let job = Job {
            deadline: arrived.service.deadline(arrived.req, visit.now),
            up: Rc::clone(visit.up),
            service: Rc::clone(arrived.service),
            flow,
            name: visit.ticket.upstream,
            caller: arrived.caller,
            req: arrived.req.clone(),
        };
        self.begin(job);
    }

    /// Sends the answer of the first copy to a later one.
    fn repeat(&self, arrived: &Arrived<'_>, answer: &[u8]) {
        self.metrics.copies_joined.inc();
        let Ok(mut rsp) = Datagram::parse(answer) else {
            return;
        };
        let service = arrived.service;
        rsp.address_to(arrived.req, service.ids.next());
        service.socket.send_to(&rsp.to_bytes(), arrived.caller);
    }

    /// A ticket in this owner's name, with which the caller may go on.
    fn renewed(&self, visit: &Visit<'_>, flow: u32) -> Option<[u8; 40]> {
        let mut flows = visit.up.flows.borrow_mut();
        let key = flows.name(flow);
        let entry = flows.get_mut(flow)?;
        if entry.given_up.is_some() {
            return None;
        }
        let epoch = entry.ledger.epoch();
        Some(self.ticket(
            visit.arrived.service,
            visit.up,
            visit.ticket.upstream,
            key,
            visit.arrived.caller,
            epoch,
        ))
    }
}
