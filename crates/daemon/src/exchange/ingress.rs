//! Ingress: datagrams from callers, routed by their tickets alone.

use crate::{
    exchange::{
        local_reply::LocalReply,
        path::{
            DataPath,
            EarlyDatagram, //
        },
        service::Service, //
    },
    metrics::{
        DatagramResult,
        RequestDrop,
        RequestOutcome, //
    },
    socket::Socket, //
};
use foxtailhinge_policy::members::Member;
use foxtailhinge_wire::{
    coap::{
        Datagram,
        Kind, //
    },
    message::{
        Forward,
        RelayMessage, //
    },
    ticket::{
        Ticket,
        TicketError, //
    },
};
use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Grace period after which nothing more is sent to an availability zone that is out of service.
const ZONE_OUT_GRACE: Duration = Duration::from_secs(1);

/// A request from a caller, parsed and as received.
pub struct IncomingRequest<'a> {
    /// The service that the request was sent to.
    pub service: &'a Rc<Service>,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// The parsed request.
    pub req: &'a Datagram,
    /// The datagram as received.
    pub buf: &'a [u8],
    /// Number of times that daemons with differing views have forwarded the request.
    pub bounces: u8,
}

impl IncomingRequest<'_> {
    /// Builds the message in which the request is forwarded to another daemon, or buffered.
    pub fn to_forward(&self) -> Forward {
        Forward {
            caller: self.caller,
            service: self.service.hash,
            bounces: self.bounces,
            datagram: self.buf.to_vec(),
        }
    }
}

impl DataPath {
    /// Reads the socket of a service until it fails.
    pub async fn read_service(self: Rc<Self>, hash: u32, socket: Rc<Socket>) -> io::Result<()> {
        let handle = |buf: &[u8], caller| match self.service(hash) {
            Some(service) => self.on_caller_datagram(&service, buf, caller),
            None => self.metrics.datagrams.inc(DatagramResult::NoService),
        };
        socket.read_each(handle, || {}).await
    }

    /// Handles a datagram from a caller.
    pub fn on_caller_datagram(
        self: &Rc<Self>,
        service: &Rc<Service>,
        buf: &[u8],
        caller: SocketAddr,
    ) {
        let now = Instant::now();
        if !self.is_ready(now) {
            self.buffer_early(EarlyDatagram {
                service: service.hash,
                caller,
                buf: buf.into(),
            });
            return;
        }
        if !self.control.admits(now) {
            self.metrics.requests_dropped.inc(RequestDrop::Fenced);
            return;
        }
        let Ok(req) = Datagram::parse(buf) else {
            self.metrics.datagrams.inc(DatagramResult::Malformed);
            return;
        };
        if req.method().is_none() {
            self.on_non_request(service, &req, caller);
            return;
        }
        let incoming = IncomingRequest {
            service,
            caller,
            req: &req,
            buf,
            bounces: 0,
        };
        let Some(value) = req.echo() else {
            self.metrics.datagrams.inc(DatagramResult::Accepted);
            self.open(&incoming, false);
            return;
        };
        match self
            .tickets
            .open_with_hash(value, service.hash, &service.name)
        {
            Ok(ticket) => {
                self.metrics.datagrams.inc(DatagramResult::Accepted);
                self.route(&incoming, &ticket);
            }
            Err(err) => self.refuse_ticket(&incoming, err),
        }
    }

    /// Handles an empty message or a response from a caller. Only a reset has an effect, if its feed is held here.
    fn on_non_request(&self, service: &Service, msg: &Datagram, caller: SocketAddr) {
        if msg.kind() == Kind::Rst {
            self.on_caller_reset(service, caller, msg.message_id());
        } else if msg.kind() != Kind::Ack {
            self.metrics.datagrams.inc(DatagramResult::Malformed);
        }
    }

    fn refuse_ticket(&self, incoming: &IncomingRequest<'_>, err: TicketError) {
        let result = match err {
            TicketError::Length | TicketError::Version => DatagramResult::Garbled,
            TicketError::UnknownKey => DatagramResult::ExpiredKey,
            TicketError::ForeignService => DatagramResult::ForeignService,
            TicketError::Forged => DatagramResult::Forged,
        };
        self.metrics.datagrams.inc(result);
        match err {
            // The key of the ticket was removed, but the request may have run while the key was valid.
            TicketError::UnknownKey if !incoming.service.is_idempotent(incoming.req) => {
                self.send_reply(incoming, LocalReply::Unknown(None));
            }
            _ => self.send_reply(incoming, LocalReply::FlowRetired),
        }
    }

    /// Routes a request with a ticket to the daemon that may serve it.
    pub fn route(self: &Rc<Self>, incoming: &IncomingRequest<'_>, ticket: &Ticket) {
        let service = incoming.service;
        let idempotent = service.is_idempotent(incoming.req);
        let Some(declared) = service.upstream(ticket.upstream) else {
            self.route_undeclared(incoming, ticket, idempotent);
            return;
        };
        let out = service.zone_out_for(&declared.spec.zone, Instant::now());
        let issuer = self.incarnation_of(ticket.owner, ticket.owner_incarnation);
        if out.is_some_and(|time| time >= ZONE_OUT_GRACE) {
            // Only the issuer of the ticket knows whether a request that must not run twice has run.
            match issuer {
                Some(member) if !idempotent => self.forward(incoming, &member),
                _ => self.reply_flow_retired(incoming, idempotent),
            }
            return;
        }
        let owner = || self.owner(declared.key, &declared.spec.zone);
        let target = if idempotent {
            owner()
        } else {
            issuer.or_else(owner)
        };
        match target {
            Some(member) if self.is_me(&member) => self.serve_ticket(incoming, ticket),
            Some(member) => self.forward(incoming, &member),
            None => self.reply_no_owner(incoming, idempotent),
        }
    }

    /// Forwards a request to `member`.
    pub fn forward(self: &Rc<Self>, incoming: &IncomingRequest<'_>, member: &Member) {
        self.deliver(member, RelayMessage::Forward(incoming.to_forward()));
    }

    /// Routes a request whose upstream is no longer in the document; the flow moves to another upstream.
    fn route_undeclared(
        self: &Rc<Self>,
        incoming: &IncomingRequest<'_>,
        ticket: &Ticket,
        idempotent: bool,
    ) {
        if idempotent {
            self.open(incoming, true);
            return;
        }
        match self.incarnation_of(ticket.owner, ticket.owner_incarnation) {
            Some(member) if incoming.bounces == 0 => self.forward(incoming, &member),
            _ => self.reply_flow_retired(incoming, false),
        }
    }

    /// Replies that the flow has ended, or that the outcome is unknown if the request may have run before.
    pub fn reply_flow_retired(&self, incoming: &IncomingRequest<'_>, idempotent: bool) {
        if idempotent {
            self.send_reply(incoming, LocalReply::FlowRetired);
        } else {
            self.metrics.requests.inc(RequestOutcome::Unknown);
            self.send_reply(incoming, LocalReply::Unknown(None));
        }
    }

    /// Replies to a request for which no daemon in the upstream's availability zone is reachable.
    fn reply_no_owner(&self, incoming: &IncomingRequest<'_>, idempotent: bool) {
        if !idempotent {
            self.metrics.requests.inc(RequestOutcome::Unknown);
            self.send_reply(incoming, LocalReply::Unknown(None));
            return;
        }
        self.metrics.requests.inc(RequestOutcome::NotRun);
        let after = incoming.service.retry_after(Instant::now());
        self.send_reply(incoming, LocalReply::NotRun(after));
    }

    /// Sends a local reply to the caller of a request.
    pub fn send_reply(&self, incoming: &IncomingRequest<'_>, reply: LocalReply) {
        let service = incoming.service;
        let rsp = reply.answer(incoming.req, &service.ids);
        service.socket.send_to(&rsp.to_bytes(), incoming.caller);
    }
}
