//! Answers that the daemon itself gives to callers.

use foxtailhinge_wire::{
    coap::{
        Datagram,
        Status, //
    },
    ticket::TICKET_LEN,
};
use std::{
    cell::Cell,
    time::Duration, //
};

/// Message ids for answers that are not piggybacked.
#[derive(Debug)]
pub struct MessageIds(Cell<u16>);

impl MessageIds {
    /// Starts at `first`, which should be random.
    pub fn new(first: u16) -> MessageIds {
        MessageIds(Cell::new(first))
    }

    /// The next message id.
    pub fn next(&self) -> u16 {
        let id = self.0.get().wrapping_add(1);
        self.0.set(id);
        id
    }
}

/// What the daemon tells a caller when no upstream's answer is passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LocalReply {
    /// Repeat the request with this ticket: 4.01 with Echo.
    Challenge([u8; TICKET_LEN]),
    /// The flow is given up; begin a new one without a ticket: 4.01.
    FlowRetired,
    /// The request was not run; come back after this time: 5.03 with Max-Age.
    NotRun(Duration),
    /// As [`LocalReply::NotRun`], but the caller should come back with this ticket.
    NotRunWithTicket(Duration, [u8; TICKET_LEN]),
    /// Whether the request ran is unknown: 5.04.
    Unknown(Option<[u8; TICKET_LEN]>),
}

impl LocalReply {
    /// The answer to `req` that carries the notice.
    pub fn answer(&self, req: &Datagram, ids: &MessageIds) -> Datagram {
        let status = match self {
            LocalReply::Challenge(_) | LocalReply::FlowRetired => Status::Unauthorized,
            LocalReply::NotRun(_) | LocalReply::NotRunWithTicket(..) => Status::ServiceUnavailable,
            LocalReply::Unknown(_) => Status::GatewayTimeout,
        };
        let mut rsp = Datagram::response_to(req, status, ids.next());
        match self {
            LocalReply::Challenge(echo) | LocalReply::Unknown(Some(echo)) => rsp.set_echo(echo),
            LocalReply::NotRun(after) => rsp.set_max_age(*after),
            LocalReply::NotRunWithTicket(after, ticket) => {
                rsp.set_max_age(*after);
                rsp.set_echo(ticket);
            }
            LocalReply::FlowRetired | LocalReply::Unknown(None) => {}
        }
        rsp
    }
}
