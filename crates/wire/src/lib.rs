//! Wire formats of foxtailhinge: flow tickets, sealed envelopes, messages between daemons and CoAP datagrams.

pub mod coap;
pub mod envelope;
pub mod message;
pub mod ticket;
