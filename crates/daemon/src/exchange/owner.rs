//! Ownership: requests of flows whose upstream this daemon owns.

use crate::{
    exchange::{
        flow::{
            FlowLookup,
            FlowStart, //
        },
        ingress::IncomingRequest,
        local_reply::LocalReply,
        ownership::Ownership,
        path::DataPath,
        request::Job,
        service::Service,
        token::CallerToken,
        upstream::Upstream, //
    },
    metrics::RequestDrop,
};
use foxtailhinge_policy::{
    coarse_time::CoarseInstant, //
    ledger::{
        Begin,
        FlowLedger, //
    },
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

/// How often daemons with differing views may pass a request on.
const BOUNCES_MAX: u8 = 2;

/// Time after which a draining upstream gets no requests of its flows any more.
pub const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// A request of a flow at its owner.
struct FlowRequest<'a> {
    arrived: &'a IncomingRequest<'a>,
    ticket: Ticket,
    up: &'a Rc<Upstream>,
    idempotent: bool,
    /// Whether the flow begins with this request.
    fresh: bool,
    /// Tag of the caller's address.
    caller_tag: u16,
    now: Instant,
}

impl FlowRequest<'_> {
    /// Whether the request comes from the address that the ticket was given to.
    fn is_from_ticket_address(&self) -> bool {
        self.caller_tag == self.ticket.caller_tag
    }

    fn start(&self) -> FlowStart {
        FlowStart {
            service: self.arrived.service.hash,
            upstream_hash: self.ticket.upstream,
            caller: self.arrived.caller,
        }
    }
}

impl DataPath {
    /// Takes in a request that was passed on to this daemon.
    pub fn on_forward(self: &Rc<Self>, forward: Forward) {
        let foreign = || self.metrics.requests_dropped.inc(RequestDrop::Foreign);
        let Some(service) = self.service(forward.service) else {
            return foreign();
        };
        let Ok(req) = Datagram::parse(&forward.datagram) else {
            return foreign();
        };
        let ticket = req.echo();
        let open = |value| {
            self.tickets
                .open_with_hash(value, service.hash, &service.name)
        };
        let Some(Ok(ticket)) = ticket.map(open) else {
            return foreign();
        };
        let arrived = IncomingRequest {
            service: &service,
            caller: forward.caller,
            req: &req,
            buf: &forward.datagram,
            bounces: forward.bounces,
        };
        self.serve_ticket(&arrived, &ticket);
    }

    /// Serves a request if its upstream is held here; `ticket` is the request's own.
    pub fn serve_ticket(self: &Rc<Self>, arrived: &IncomingRequest<'_>, ticket: &Ticket) {
        let service = arrived.service;
        let Some(named) = service.upstream(ticket.upstream) else {
            // What must not run twice may have run at the upstream while the document named it.
            self.reply_flow_retired(arrived, service.is_idempotent(arrived.req));
            return;
        };
        let held = match self.upstreams.borrow_mut().get_mut(&named.spec.address) {
            Some(Ownership::Held(up)) => Some(Rc::clone(up)),
            Some(claiming) => {
                if !claiming.buffer(RelayMessage::Forward(arrived.to_forward())) {
                    self.metrics.requests_dropped.inc(RequestDrop::Claiming);
                }
                return;
            }
            None => None,
        };
        match held {
            Some(up) => self.serve_flow(arrived, *ticket, &up),
            None => self.bounce(arrived, ticket),
        }
    }

    /// The upstream is not held here: its owner by this daemon's view gets the request.
    fn bounce(self: &Rc<Self>, arrived: &IncomingRequest<'_>, ticket: &Ticket) {
        if arrived.bounces >= BOUNCES_MAX {
            self.metrics.requests_dropped.inc(RequestDrop::Bounced);
            return;
        }
        let Some(named) = arrived.service.upstream(ticket.upstream) else {
            return;
        };
        let owner = self.owner(named.key, &named.spec.zone);
        match owner.filter(|owner| !self.is_me(owner)) {
            Some(owner) => {
                self.metrics.bounces.inc();
                let mut forward = arrived.to_forward();
                forward.bounces += 1;
                self.deliver(&owner, RelayMessage::Forward(forward));
            }
            None => self.metrics.requests_dropped.inc(RequestDrop::NotHeld),
        }
    }

    fn serve_flow(
        self: &Rc<Self>,
        arrived: &IncomingRequest<'_>,
        ticket: Ticket,
        up: &Rc<Upstream>,
    ) {
        let found = up.flows.borrow().find(&ticket);
        let request = FlowRequest {
            arrived,
            ticket,
            up,
            idempotent: arrived.service.is_idempotent(arrived.req),
            fresh: matches!(found, FlowLookup::Opened { .. }),
            caller_tag: caller_tag(arrived.caller),
            now: Instant::now(),
        };
        let (flow, covered) = match found {
            FlowLookup::Held { flow, ledger } => (flow, ledger),
            FlowLookup::Opened { flow } => {
                if !self.confirm(&request, flow) {
                    return;
                }
                (flow, true)
            }
            FlowLookup::Unknown => (self.resume(&request), false),
        };
        self.note_caller(&request, flow);
        if request.idempotent {
            self.serve_idempotent(&request, flow);
        } else {
            self.serve_once(&request, flow, covered);
        }
    }

    /// Turns an opened flow into a held one; false when no connection was left, and the caller was told.
    fn confirm(self: &Rc<Self>, request: &FlowRequest<'_>, flow: u32) -> bool {
        let arrived = request.arrived;
        let confirmed = request.up.load_mut().confirm(request.now);
        if confirmed.is_err() {
            // The request did not run; its ticket ends, so that no copy of it runs either.
            if !request.idempotent {
                request.up.flows.borrow_mut().end_opened(flow);
            }
            self.open(arrived, request.idempotent);
            return false;
        }
        let mut flows = request.up.flows.borrow_mut();
        flows.confirm(flow, request.start(), request.now);
        true
    }

    /// Takes over a flow whose owner is gone, or that ended here for want of packets.
    fn resume(&self, request: &FlowRequest<'_>) -> u32 {
        request.up.load_mut().adopt();
        if request.ticket.warm {
            request
                .up
                .set_warm_hint(request.ticket.upstream_incarnation);
        }
        let mut flows = request.up.flows.borrow_mut();
        flows.resume(&request.ticket, request.start(), request.now)
    }

    fn note_caller(&self, request: &FlowRequest<'_>, flow: u32) {
        if let Some(entry) = request.up.flows.borrow_mut().get_mut(flow) {
            if !entry.retired {
                entry.last_seen = CoarseInstant::at(request.now);
            }
            if request.is_from_ticket_address() {
                entry.caller = request.arrived.caller;
            }
        }
    }

    /// Whether the flow is over at this upstream: given up, or its zone is out of service.
    fn is_retired(&self, request: &FlowRequest<'_>, flow: u32) -> bool {
        let mut flows = request.up.flows.borrow_mut();
        let retired = flows.get_mut(flow).is_some_and(|entry| entry.retired);
        retired || !request.arrived.service.zone_in_service(request.up.zone())
    }

    /// Whether a request should go to another upstream, for which its flow's first one is too early.
    fn should_move(&self, request: &FlowRequest<'_>) -> bool {
        let (service, upstream_hash) = (request.arrived.service, request.ticket.upstream);
        !request.fresh && self.must_move(request.up, service, upstream_hash, request.now)
    }

    /// Whether the upstream should not get requests of this service any more, so that its flows move.
    pub fn must_move(
        &self,
        up: &Upstream,
        service: &Service,
        upstream_hash: u32,
        now: Instant,
    ) -> bool {
        let draining = service
            .draining_for(upstream_hash, now)
            .is_some_and(|time| time >= DRAIN_GRACE);
        draining || up.load().is_down(now)
    }

    fn serve_idempotent(self: &Rc<Self>, request: &FlowRequest<'_>, flow: u32) {
        let arrived = request.arrived;
        if self.is_retired(request, flow) {
            self.send_reply(arrived, LocalReply::FlowRetired);
            return;
        }
        if !request.is_from_ticket_address() {
            // The ticket came from another address, which is not confirmed yet.
            if let Some(ticket) = self.renewed(request, flow) {
                self.send_reply(arrived, LocalReply::Challenge(ticket));
            }
            return;
        }
        let key = CallerToken::of(arrived.caller, arrived.req);
        if self.should_move(request) {
            self.move_request(request, key);
            return;
        }
        if !request.up.in_progress.borrow_mut().insert(key) {
            self.metrics.copies_joined.inc();
            return;
        }
        self.start(request, flow);
    }

    /// Serves an idempotent request at another upstream, and ends the feed here that it registers for.
    fn move_request(self: &Rc<Self>, request: &FlowRequest<'_>, key: CallerToken) {
        if !request.up.begin_move(key.clone(), request.now) {
            self.metrics.copies_joined.inc();
            return;
        }
        let mut feeds = request.up.feeds.borrow_mut();
        if let Some(token) = feeds.token(&key) {
            feeds.remove(token);
        }
        drop(feeds);
        self.open(request.arrived, true);
    }

    /// A request that must not run twice.
    fn serve_once(self: &Rc<Self>, request: &FlowRequest<'_>, flow: u32, covered: bool) {
        let arrived = request.arrived;
        let token = arrived.req.token();
        let begin = if covered {
            let mut flows = request.up.flows.borrow_mut();
            flows.get_mut(flow).map_or(Begin::Expired, |entry| {
                entry.ledger.begin(token, request.ticket.epoch, request.now)
            })
        } else {
            Begin::Expired
        };
        if !request.is_from_ticket_address() {
            self.refuse_once_from_elsewhere(request, flow, &begin);
            return;
        }
        match begin {
            Begin::Run => self.run_once(request, flow),
            Begin::Join | Begin::Elsewhere => self.metrics.copies_joined.inc(),
            Begin::Moved => self.move_once(request),
            Begin::Answered(answer) => self.repeat(arrived, &answer),
            Begin::Refused | Begin::Full => {
                let after = request.up.load_mut().retry_after(request.now);
                // A full ledger has ended the right of the caller's ticket, so it needs another one.
                let notice = match self.renewed(request, flow) {
                    Some(ticket) => LocalReply::NotRunWithTicket(after, ticket),
                    None => LocalReply::NotRun(after),
                };
                self.send_reply(arrived, notice);
            }
            Begin::Expired => {
                let ticket = self.renewed(request, flow);
                self.send_reply(arrived, LocalReply::Unknown(ticket));
            }
        }
    }

    /// A request that must not run twice, with a ticket that was given to another address.
    ///
    /// The present address is not confirmed, so no answer of the upstream goes there.
    fn refuse_once_from_elsewhere(&self, request: &FlowRequest<'_>, flow: u32, begin: &Begin) {
        match begin {
            Begin::Run => {
                self.with_ledger(request, flow, |ledger, token| ledger.mark_not_run(token));
                if let Some(ticket) = self.renewed(request, flow) {
                    self.send_reply(request.arrived, LocalReply::Challenge(ticket));
                }
            }
            Begin::Join | Begin::Elsewhere | Begin::Moved => self.metrics.copies_joined.inc(),
            _ => self.send_reply(request.arrived, LocalReply::Unknown(None)),
        }
    }

    fn run_once(self: &Rc<Self>, request: &FlowRequest<'_>, flow: u32) {
        let arrived = request.arrived;
        if self.is_retired(request, flow) {
            self.with_ledger(request, flow, |ledger, token| ledger.mark_not_run(token));
            self.send_reply(arrived, LocalReply::FlowRetired);
            return;
        }
        if self.should_move(request) {
            self.with_ledger(request, flow, |ledger, token| ledger.mark_moved(token));
            self.move_once(request);
            return;
        }
        self.start(request, flow);
    }

    /// Begins a flow at another upstream for a request that did not run; its caller asks there with a ticket.
    ///
    /// A later copy begins one again, since the ticket may have been lost.
    fn move_once(self: &Rc<Self>, request: &FlowRequest<'_>) {
        let arrived = request.arrived;
        let key = CallerToken::of(arrived.caller, arrived.req);
        if request.up.begin_move(key, request.now) {
            self.open(arrived, false);
        } else {
            self.metrics.copies_joined.inc();
        }
    }

    fn with_ledger(
        &self,
        request: &FlowRequest<'_>,
        flow: u32,
        change: impl FnOnce(&mut FlowLedger, &[u8]),
    ) {
        if let Some(entry) = request.up.flows.borrow_mut().get_mut(flow) {
            change(&mut entry.ledger, request.arrived.req.token());
        }
    }

    fn start(self: &Rc<Self>, request: &FlowRequest<'_>, flow: u32) {
        let arrived = request.arrived;
        let job = Job {
            deadline: arrived.service.deadline(arrived.req, request.now),
            up: Rc::clone(request.up),
            service: Rc::clone(arrived.service),
            flow,
            upstream_hash: request.ticket.upstream,
            caller: arrived.caller,
            caller_tag: request.caller_tag,
            req: arrived.req.clone(),
            idempotent: request.idempotent,
        };
        self.spawn_job(job);
    }

    /// Sends the answer of the first copy to a later one.
    fn repeat(&self, arrived: &IncomingRequest<'_>, answer: &[u8]) {
        self.metrics.copies_joined.inc();
        let Ok(mut rsp) = Datagram::parse(answer) else {
            return;
        };
        let service = arrived.service;
        rsp.set_reply_header(arrived.req, service.ids.next());
        service.socket.send_to(&rsp.to_bytes(), arrived.caller);
    }

    /// A ticket in this owner's name, with which the caller may go on.
    fn renewed(&self, request: &FlowRequest<'_>, flow: u32) -> Option<[u8; 40]> {
        let mut flows = request.up.flows.borrow_mut();
        let key = flows.key(flow);
        let entry = flows.get_mut(flow)?;
        if entry.retired {
            return None;
        }
        let epoch = entry.ledger.epoch();
        Some(self.ticket(
            request.arrived.service,
            request.up,
            request.ticket.upstream,
            key,
            request.caller_tag,
            epoch,
        ))
    }
}
