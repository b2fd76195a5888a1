//! Replies that the daemon itself sends to callers.

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

/// Generator of message IDs for responses that are not piggybacked.
#[derive(Debug)]
pub struct MessageIds(Cell<u16>);

impl MessageIds {
    /// Starts after `first`, which should be random.
    pub fn new(first: u16) -> MessageIds {
        MessageIds(Cell::new(first))
    }

    /// Returns the next message ID; IDs wrap around.
    pub fn next(&self) -> u16 {
        let id = self.0.get().wrapping_add(1);
        self.0.set(id);
        id
    }
}

/// A response that the daemon sends in place of an upstream's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LocalReply {
    /// 4.01 with Echo: the caller must repeat the request with this ticket.
    Challenge([u8; TICKET_LEN]),
    /// 4.01: the flow has ended; the caller must open a new one, without a ticket.
    FlowRetired,
    /// 5.03 with Max-Age: the request was not run; the caller may retry after this time.
    NotRun(Duration),
    /// Like [`LocalReply::NotRun`], with a ticket for the retry.
    NotRunWithTicket(Duration, [u8; TICKET_LEN]),
    /// 5.04: it is unknown whether the request ran. The ticket, if any, is for later requests.
    Unknown(Option<[u8; TICKET_LEN]>),
}

impl LocalReply {
    /// Builds the response to `req`.
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
