//! Wire formats of foxtailhinge: flow tickets, authenticated envelopes, messages between daemons and
//! CoAP datagrams.

pub mod coap;
pub mod envelope;
mod keys;
pub mod message;
pub mod ticket;
