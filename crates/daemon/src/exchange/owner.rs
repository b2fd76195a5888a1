//! Requests of flows whose upstream this daemon owns.

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
    coarse_time::CoarseInstant,
    ledger::{
        Begin,
        FlowLedger, //
    }, //
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

/// Maximum number of times that daemons with differing views may forward a request.
const BOUNCES_MAX: u8 = 2;

/// Grace period after which a draining upstream gets no more requests of its flows.
pub const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// A request of a flow at its owner.
struct FlowRequest<'a> {
    incoming: &'a IncomingRequest<'a>,
    ticket: Ticket,
    up: &'a Rc<Upstream>,
    idempotent: bool,
    /// Whether this is the first request of the flow.
    is_first: bool,
    /// Tag of the caller's address.
    caller_tag: u16,
    now: Instant,
}

impl FlowRequest<'_> {
    /// Whether the request comes from the address that the ticket was issued to.
    fn is_from_ticket_address(&self) -> bool {
        self.caller_tag == self.ticket.caller_tag
    }

    fn start(&self) -> FlowStart {
        FlowStart {
            service: self.incoming.service.hash,
            upstream_hash: self.ticket.upstream,
            caller: self.incoming.caller,
        }
    }
}

impl DataPath {
    /// Handles a request that was forwarded to this daemon.
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
        let incoming = IncomingRequest {
            service: &service,
            caller: forward.caller,
            req: &req,
            buf: &forward.datagram,
            bounces: forward.bounces,
        };
        self.serve_ticket(&incoming, &ticket);
    }

    /// Serves a request if its upstream is held here, and forwards it otherwise; `ticket` is the request's ticket.
    pub fn serve_ticket(self: &Rc<Self>, incoming: &IncomingRequest<'_>, ticket: &Ticket) {
        let service = incoming.service;
        let Some(declared) = service.upstream(ticket.upstream) else {
            // A request that must not run twice may have run while the document still named the upstream.
            self.reply_flow_retired(incoming, service.is_idempotent(incoming.req));
            return;
        };
        let held = match self.upstreams.borrow_mut().get_mut(&declared.spec.address) {
            Some(Ownership::Held(up)) => Some(Rc::clone(up)),
            Some(claiming) => {
                if !claiming.buffer(RelayMessage::Forward(incoming.to_forward())) {
                    self.metrics.requests_dropped.inc(RequestDrop::Claiming);
                }
                return;
            }
            None => None,
        };
        match held {
            Some(up) => self.serve_flow(incoming, *ticket, &up),
            None => self.bounce(incoming, ticket),
        }
    }

    /// Forwards a request whose upstream is not held here to the owner according to this daemon's view.
    fn bounce(self: &Rc<Self>, incoming: &IncomingRequest<'_>, ticket: &Ticket) {
        if incoming.bounces >= BOUNCES_MAX {
            self.metrics.requests_dropped.inc(RequestDrop::Bounced);
            return;
        }
        let Some(declared) = incoming.service.upstream(ticket.upstream) else {
            return;
        };
        let owner = self.owner(declared.key, &declared.spec.zone);
        match owner.filter(|owner| !self.is_me(owner)) {
            Some(owner) => {
                self.metrics.bounces.inc();
                let mut forward = incoming.to_forward();
                forward.bounces += 1;
                self.deliver(&owner, RelayMessage::Forward(forward));
            }
            None => self.metrics.requests_dropped.inc(RequestDrop::NotHeld),
        }
    }

    fn serve_flow(
        self: &Rc<Self>,
        incoming: &IncomingRequest<'_>,
        ticket: Ticket,
        up: &Rc<Upstream>,
    ) {
        let found = up.flows.borrow().find(&ticket);
        let request = FlowRequest {
            incoming,
            ticket,
            up,
            idempotent: incoming.service.is_idempotent(incoming.req),
            is_first: matches!(found, FlowLookup::Opened { .. }),
            caller_tag: caller_tag(incoming.caller),
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
        self.update_caller(&request, flow);
        if request.idempotent {
            self.serve_idempotent(&request, flow);
        } else {
            self.serve_once(&request, flow, covered);
        }
    }

    /// Confirms an opened flow. If no connection is free, opens another flow for the request and returns false.
    fn confirm(self: &Rc<Self>, request: &FlowRequest<'_>, flow: u32) -> bool {
        let incoming = request.incoming;
        let confirmed = request.up.load_mut().confirm(request.now);
        if confirmed.is_err() {
            // The request did not run. Its ticket is invalidated, so that no retransmission of it runs either.
            if !request.idempotent {
                request.up.flows.borrow_mut().end_opened(flow);
            }
            self.open(incoming, request.idempotent);
            return false;
        }
        let mut flows = request.up.flows.borrow_mut();
        flows.confirm(flow, request.start(), request.now);
        true
    }

    /// Resumes a flow whose owner is gone, or that expired here because no packets arrived.
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

    fn update_caller(&self, request: &FlowRequest<'_>, flow: u32) {
        if let Some(entry) = request.up.flows.borrow_mut().get_mut(flow) {
            if !entry.retired {
                entry.last_seen = CoarseInstant::at(request.now);
            }
            if request.is_from_ticket_address() {
                entry.caller = request.incoming.caller;
            }
        }
    }

    /// Whether the flow has ended at this upstream: it is retired, or its zone is out of service.
    fn is_retired(&self, request: &FlowRequest<'_>, flow: u32) -> bool {
        let mut flows = request.up.flows.borrow_mut();
        let retired = flows.get_mut(flow).is_some_and(|entry| entry.retired);
        retired || !request.incoming.service.zone_in_service(request.up.zone())
    }

    /// Whether a request should move to another upstream; the first request of a flow is too early to move.
    fn should_move(&self, request: &FlowRequest<'_>) -> bool {
        let (service, upstream_hash) = (request.incoming.service, request.ticket.upstream);
        !request.is_first && self.must_move(request.up, service, upstream_hash, request.now)
    }

    /// Whether the upstream must get no more requests of this service, so that its flows move.
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
        let incoming = request.incoming;
        if self.is_retired(request, flow) {
            self.send_reply(incoming, LocalReply::FlowRetired);
            return;
        }
        if !request.is_from_ticket_address() {
            // The ticket was issued to another address; the present one is not confirmed yet.
            if let Some(ticket) = self.renewed_ticket(request, flow) {
                self.send_reply(incoming, LocalReply::Challenge(ticket));
            }
            return;
        }
        let key = CallerToken::of(incoming.caller, incoming.req);
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

    /// Opens a flow at another upstream for an idempotent request, and ends the feed here that it registers for.
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
        self.open(request.incoming, true);
    }

    /// Serves a request that must not run twice.
    fn serve_once(self: &Rc<Self>, request: &FlowRequest<'_>, flow: u32, covered: bool) {
        let incoming = request.incoming;
        let token = incoming.req.token();
        let begin = if covered {
            let mut flows = request.up.flows.borrow_mut();
            flows.get_mut(flow).map_or(Begin::Expired, |entry| {
                entry.ledger.begin(token, request.ticket.epoch, request.now)
            })
        } else {
            Begin::Expired
        };
        if !request.is_from_ticket_address() {
            self.refuse_unconfirmed(request, flow, &begin);
            return;
        }
        match begin {
            Begin::Run => self.run_once(request, flow),
            Begin::Join | Begin::Elsewhere => self.metrics.copies_joined.inc(),
            Begin::Moved => self.move_once(request),
            Begin::Answered(answer) => self.resend_answer(incoming, &answer),
            Begin::Refused | Begin::Full => {
                let after = request.up.load_mut().retry_after(request.now);
                // A full ledger no longer accepts the caller's ticket, so the caller needs a new one.
                let reply = match self.renewed_ticket(request, flow) {
                    Some(ticket) => LocalReply::NotRunWithTicket(after, ticket),
                    None => LocalReply::NotRun(after),
                };
                self.send_reply(incoming, reply);
            }
            Begin::Expired => {
                let ticket = self.renewed_ticket(request, flow);
                self.send_reply(incoming, LocalReply::Unknown(ticket));
            }
        }
    }

    /// Refuses a request that must not run twice and whose ticket was issued to another address.
    ///
    /// The present address is not confirmed, so no answer of the upstream is sent there.
    fn refuse_unconfirmed(&self, request: &FlowRequest<'_>, flow: u32, begin: &Begin) {
        match begin {
            Begin::Run => {
                self.with_ledger(request, flow, |ledger, token| ledger.mark_not_run(token));
                if let Some(ticket) = self.renewed_ticket(request, flow) {
                    self.send_reply(request.incoming, LocalReply::Challenge(ticket));
                }
            }
            Begin::Join | Begin::Elsewhere | Begin::Moved => self.metrics.copies_joined.inc(),
            _ => self.send_reply(request.incoming, LocalReply::Unknown(None)),
        }
    }

    fn run_once(self: &Rc<Self>, request: &FlowRequest<'_>, flow: u32) {
        let incoming = request.incoming;
        if self.is_retired(request, flow) {
            self.with_ledger(request, flow, |ledger, token| ledger.mark_not_run(token));
            self.send_reply(incoming, LocalReply::FlowRetired);
            return;
        }
        if self.should_move(request) {
            self.with_ledger(request, flow, |ledger, token| ledger.mark_moved(token));
            self.move_once(request);
            return;
        }
        self.start(request, flow);
    }

    /// Opens a flow at another upstream for a request that did not run; the caller repeats the request there with the
    /// new ticket.
    ///
    /// A later retransmission opens another flow, since the ticket may have been lost.
    fn move_once(self: &Rc<Self>, request: &FlowRequest<'_>) {
        let incoming = request.incoming;
        let key = CallerToken::of(incoming.caller, incoming.req);
        if request.up.begin_move(key, request.now) {
            self.open(incoming, false);
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
            change(&mut entry.ledger, request.incoming.req.token());
        }
    }

    fn start(self: &Rc<Self>, request: &FlowRequest<'_>, flow: u32) {
        let incoming = request.incoming;
        let job = Job {
            deadline: incoming.service.deadline(incoming.req, request.now),
            up: Rc::clone(request.up),
            service: Rc::clone(incoming.service),
            flow,
            upstream_hash: request.ticket.upstream,
            caller: incoming.caller,
            caller_tag: request.caller_tag,
            req: incoming.req.clone(),
            idempotent: request.idempotent,
        };
        self.spawn_job(job);
    }

    /// Answers a retransmission with the stored answer.
    fn resend_answer(&self, incoming: &IncomingRequest<'_>, answer: &[u8]) {
        self.metrics.copies_joined.inc();
        let Ok(mut rsp) = Datagram::parse(answer) else {
            return;
        };
        let service = incoming.service;
        rsp.set_reply_header(incoming.req, service.ids.next());
        service.socket.send_to(&rsp.to_bytes(), incoming.caller);
    }

    /// A new ticket of this owner, with which the caller can continue.
    fn renewed_ticket(&self, request: &FlowRequest<'_>, flow: u32) -> Option<[u8; 40]> {
        let mut flows = request.up.flows.borrow_mut();
        let key = flows.key(flow);
        let entry = flows.get_mut(flow)?;
        if entry.retired {
            return None;
        }
        let epoch = entry.ledger.epoch();
        Some(self.ticket(
            request.incoming.service,
            request.up,
            request.ticket.upstream,
            key,
            request.caller_tag,
            epoch,
        ))
    }
}
