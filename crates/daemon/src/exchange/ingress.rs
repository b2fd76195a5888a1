//! Ingress: datagrams of callers, routed by their tickets alone.

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

/// Time after which nothing is sent towards an availability zone that is out of service.
const ZONE_OUT_GRACE: Duration = Duration::from_secs(1);

/// A caller's datagram with what was read of it.
pub struct IncomingRequest<'a> {
    /// The service that it was sent to.
    pub service: &'a Rc<Service>,
    /// The caller.
    pub caller: SocketAddr,
    /// The request.
    pub req: &'a Datagram,
    /// The bytes as they arrived.
    pub buf: &'a [u8],
    /// How often daemons with differing views have passed it on.
    pub bounces: u8,
}

impl IncomingRequest<'_> {
    /// The request as it is passed on to another daemon, or kept.
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

    /// Takes in a caller's datagram.
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
            self.on_reply(service, &req, caller);
            return;
        }
        let arrived = IncomingRequest {
            service,
            caller,
            req: &req,
            buf,
            bounces: 0,
        };
        let Some(value) = req.echo() else {
            self.metrics.datagrams.inc(DatagramResult::Accepted);
            self.open(&arrived, false);
            return;
        };
        match self
            .tickets
            .open_with_hash(value, service.hash, &service.name)
        {
            Ok(ticket) => {
                self.metrics.datagrams.inc(DatagramResult::Accepted);
                self.route(&arrived, &ticket);
            }
            Err(err) => self.refuse_ticket(&arrived, err),
        }
    }

    /// An empty message or a response of a caller: only a reset means something, if its feed is held here.
    fn on_reply(&self, service: &Service, msg: &Datagram, caller: SocketAddr) {
        if msg.kind() == Kind::Rst {
            self.on_caller_reset(service, caller, msg.message_id());
        } else if msg.kind() != Kind::Ack {
            self.metrics.datagrams.inc(DatagramResult::Malformed);
        }
    }

    fn refuse_ticket(&self, arrived: &IncomingRequest<'_>, err: TicketError) {
        let result = match err {
            TicketError::Length | TicketError::Version => DatagramResult::Garbled,
            TicketError::UnknownKey => DatagramResult::ExpiredKey,
            TicketError::ForeignService => DatagramResult::ForeignService,
            TicketError::Forged => DatagramResult::Forged,
        };
        self.metrics.datagrams.inc(result);
        match err {
            // A request sealed with a retired key may have run while the key was good.
            TicketError::UnknownKey if !arrived.service.is_idempotent(arrived.req) => {
                self.send_reply(arrived, LocalReply::Unknown(None));
            }
            _ => self.send_reply(arrived, LocalReply::FlowRetired),
        }
    }

    /// Sends a request with a ticket to the daemon that may serve it.
    pub fn route(self: &Rc<Self>, arrived: &IncomingRequest<'_>, ticket: &Ticket) {
        let service = arrived.service;
        let idempotent = service.is_idempotent(arrived.req);
        let Some(named) = service.upstream(ticket.upstream) else {
            self.leave_upstream(arrived, ticket, idempotent);
            return;
        };
        let out = service.zone_out_for(&named.spec.zone, Instant::now());
        let issuer = self.incarnation_of(ticket.owner, ticket.owner_incarnation);
        if out.is_some_and(|time| time >= ZONE_OUT_GRACE) {
            // Only the ticket's issuer knows whether a request that must not run twice has run.
            match issuer {
                Some(member) if !idempotent => self.forward(arrived, &member),
                _ => self.reply_flow_retired(arrived, idempotent),
            }
            return;
        }
        let owner = || self.owner(named.key, &named.spec.zone);
        let target = if idempotent {
            owner()
        } else {
            issuer.or_else(owner)
        };
        match target {
            Some(member) if self.is_me(&member) => self.serve_ticket(arrived, ticket),
            Some(member) => self.forward(arrived, &member),
            None => self.lack_owner(arrived, idempotent),
        }
    }

    /// Passes a request on to `member`.
    pub fn forward(self: &Rc<Self>, arrived: &IncomingRequest<'_>, member: &Member) {
        self.deliver(member, RelayMessage::Forward(arrived.to_forward()));
    }

    /// The ticket's upstream is not in the document any more: the flow goes on at another one.
    fn leave_upstream(
        self: &Rc<Self>,
        arrived: &IncomingRequest<'_>,
        ticket: &Ticket,
        idempotent: bool,
    ) {
        if idempotent {
            self.open(arrived, true);
            return;
        }
        match self.incarnation_of(ticket.owner, ticket.owner_incarnation) {
            Some(member) if arrived.bounces == 0 => self.forward(arrived, &member),
            _ => self.reply_flow_retired(arrived, false),
        }
    }

    /// Tells a caller that its flow is over; a request that may have run before has an unknown outcome.
    pub fn reply_flow_retired(&self, arrived: &IncomingRequest<'_>, idempotent: bool) {
        if idempotent {
            self.send_reply(arrived, LocalReply::FlowRetired);
        } else {
            self.metrics.requests.inc(RequestOutcome::Unknown);
            self.send_reply(arrived, LocalReply::Unknown(None));
        }
    }

    /// No daemon of the upstream's availability zone can be reached.
    fn lack_owner(&self, arrived: &IncomingRequest<'_>, idempotent: bool) {
        if !idempotent {
            self.metrics.requests.inc(RequestOutcome::Unknown);
            self.send_reply(arrived, LocalReply::Unknown(None));
            return;
        }
        self.metrics.requests.inc(RequestOutcome::NotRun);
        let after = arrived.service.retry_after(Instant::now());
        self.send_reply(arrived, LocalReply::NotRun(after));
    }

    /// Sends a notice to the caller of a request.
    pub fn send_reply(&self, arrived: &IncomingRequest<'_>, notice: LocalReply) {
        let service = arrived.service;
        let rsp = notice.answer(arrived.req, &service.ids);
        service.socket.send_to(&rsp.to_bytes(), arrived.caller);
    }
}
