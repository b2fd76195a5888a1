//! Encoding of the packets that callers and upstreams exchange.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

/// Length of the packet header, in bytes.
pub const HEADER_LEN: usize = 32;

/// Opens a flow.
pub const SYN: u8 = 4;
/// Acknowledges the bytes before `Segment::ack`.
pub const ACK: u8 = 2;
/// Ends one direction of a flow.
pub const FIN: u8 = 16;
/// Aborts a flow.
pub const RST: u8 = 32;

/// A packet of a flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Flow label, which a caller or an upstream copies from the last packet that it received.
    pub echo: u32,
    /// Address of the sender.
    pub src: SocketAddrV4,
    /// Address of the receiver.
    pub dst: SocketAddrV4,
    /// Sequence number of the first byte of data.
    pub seq: u32,
    /// Sequence number of the next byte that the sender expects from the receiver.
    pub ack: u32,
    /// Any of `SYN`, `ACK`, `FIN` and `RST`.
    pub flags: u8,
    /// Payload after the header.
    pub data: Vec<u8>,
    /// Whether the packet has a checksum, as those of callers and upstreams do. The balancer has no key for the
    /// checksum and leaves it zero.
    pub has_checksum: bool,
}

impl Segment {
    /// Returns whether all these flags are set.
    pub fn has(&self, flags: u8) -> bool {
        self.flags & flags == flags
    }

    /// Returns a packet without data in the other direction.
    pub fn reply(&self, flags: u8, seq: u32, ack: u32) -> Self {
        Self {
            echo: self.echo,
            src: self.dst,
            dst: self.src,
            seq,
            ack,
            flags,
            data: Vec::new(),
            has_checksum: true,
        }
    }

    /// Returns the sequence number after the last byte of data.
    pub fn end(&self) -> u32 {
        self.seq.wrapping_add(self.data.len() as u32)
    }

    /// Encodes the header and the data.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_LEN + self.data.len());
        bytes.extend(self.echo.to_be_bytes());
        for end in [self.src, self.dst] {
            bytes.extend(end.ip().octets());
            bytes.extend(end.port().to_be_bytes());
        }
        bytes.extend(self.seq.to_be_bytes());
        bytes.extend(self.ack.to_be_bytes());
        bytes.extend((self.data.len() as u16).to_be_bytes());
        bytes.extend([self.flags, 0]);
        bytes.extend(self.checksum().to_be_bytes());
        bytes.extend(&self.data);
        bytes
    }

    /// Decodes a packet; returns `None` when it is truncated or its checksum is wrong. A reset may lack a checksum.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let head: &[u8; HEADER_LEN] = bytes.first_chunk()?;
        let u32_at =
            |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let addr_at = |at: usize| {
            let port = u16::from_be_bytes([head[at + 4], head[at + 5]]);
            SocketAddrV4::new(Ipv4Addr::from(u32_at(at)), port)
        };
        let segment = Self {
            echo: u32_at(0),
            src: addr_at(4),
            dst: addr_at(10),
            seq: u32_at(16),
            ack: u32_at(20),
            flags: head[26],
            data: bytes[HEADER_LEN..].to_vec(),
            has_checksum: u32_at(28) != 0,
        };
        let is_balancer_reset = !segment.has_checksum && segment.has(RST);
        (is_balancer_reset || u32_at(28) == segment.checksum()).then_some(segment)
    }

    /// Computes an FNV-1a checksum over all fields but the echo, to detect packets that were changed on the way.
    fn checksum(&self) -> u32 {
        let ends = [self.src, self.dst];
        let ends = ends.iter().flat_map(|end| {
            let port = end.port().to_be_bytes();
            end.ip().octets().into_iter().chain(port)
        });
        let rest = [self.seq.to_be_bytes(), self.ack.to_be_bytes()];
        let bytes = ends
            .chain(rest.into_iter().flatten())
            .chain([self.flags])
            .chain(self.data.iter().copied());
        bytes.fold(0x811c_9dc5, |checksum: u32, byte| {
            (checksum ^ u32::from(byte)).wrapping_mul(0x0100_0193)
        })
    }
}
