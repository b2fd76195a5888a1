//! What the head of a packet says.

use std::net::SocketAddrV4;

/// Number that both ends of a flow repeat in their packets; it names the flow's upstream.
pub type Label = u32;

/// The two ends of a flow, as its caller's packets name them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FlowId {
    /// The caller's end.
    pub caller: SocketAddrV4,
    /// The end that a route names.
    pub route: SocketAddrV4,
}

/// What a packet does to its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It opens the flow (SYN).
    Open,
    /// It belongs to an open flow.
    Data,
    /// It ends one direction (FIN).
    End,
    /// It ends the flow at once (RST).
    Reset,
}

/// Head of a caller's packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet {
    /// The flow.
    pub flow: FlowId,
    /// The label that the caller received last; zero in the first packet.
    pub label: Label,
    /// What it does.
    pub kind: Kind,
    /// Position of its data in the caller's bytes.
    pub seq: u32,
    /// Position up to which the caller has the upstream's bytes; in an opening packet the number of copies sent before.
    pub ack: u32,
    /// Bytes of data.
    pub len: u16,
}
