//! Headers of the packets that callers send.

use std::net::SocketAddrV4;

/// Number that both ends of a flow repeat in every packet; it identifies the flow's upstream.
pub type Label = u32;

/// Source and destination address of a flow, from the caller's side.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FlowId {
    /// Address of the caller.
    pub caller: SocketAddrV4,
    /// Address and port of the route.
    pub route: SocketAddrV4,
}

/// Kind of a packet, by its effect on the flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Opens the flow (SYN).
    Open,
    /// Belongs to an open flow.
    Data,
    /// Closes one direction (FIN).
    End,
    /// Aborts the flow (RST).
    Reset,
}

/// Header of a caller's packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet {
    /// Flow that the packet belongs to.
    pub flow: FlowId,
    /// Label that the caller received last; zero in the first packet.
    pub label: Label,
    /// Effect on the flow.
    pub kind: Kind,
    /// Sequence number of the first data byte.
    pub seq: u32,
    /// Number of the next byte that the caller expects from the upstream; in an opening packet, the number of copies
    /// sent before.
    pub ack: u32,
    /// Length of the data in bytes.
    pub len: u16,
}
