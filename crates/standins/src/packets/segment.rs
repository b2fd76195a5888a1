//! Packets as their two ends write them.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

/// Bytes of the head.
pub const HEADER_LEN: usize = 32;

/// Opens a flow.
pub const SYN: u8 = 4;
/// Says that what came before has arrived.
pub const ACK: u8 = 2;
/// Ends one direction.
pub const FIN: u8 = 16;
/// Ends the flow at once.
pub const RST: u8 = 32;

/// A packet of a flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Segment {
    /// What the sender received last in this place, and repeats.
    pub echo: u32,
    /// The sender's end.
    pub src: SocketAddrV4,
    /// The receiver's end.
    pub dst: SocketAddrV4,
    /// Position of the data in the sender's bytes.
    pub seq: u32,
    /// Position up to which the sender has the other end's bytes.
    pub ack: u32,
    /// What the packet does.
    pub flags: u8,
    /// The data.
    pub data: Vec<u8>,
    /// Whether an end wrote it and not the balancer, which has no key for the sum.
    pub has_checksum: bool,
}

impl Segment {
    /// Whether all these flags are set.
    pub fn has(&self, flags: u8) -> bool {
        self.flags & flags == flags
    }

    /// A packet in the other direction without data.
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

    /// Position after the data.
    pub fn end(&self) -> u32 {
        self.seq.wrapping_add(self.data.len() as u32)
    }

    /// The bytes of the packet.
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
        bytes.extend(self.sum().to_be_bytes());
        bytes.extend(&self.data);
        bytes
    }

    /// Reads a packet; gives nothing when it was cut or when a sum other than zero is wrong.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let head: &[u8; HEADER_LEN] = bytes.first_chunk()?;
        let u32_at =
            |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let end_at = |at: usize| {
            let port = u16::from_be_bytes([head[at + 4], head[at + 5]]);
            SocketAddrV4::new(Ipv4Addr::from(u32_at(at)), port)
        };
        let segment = Self {
            echo: u32_at(0),
            src: end_at(4),
            dst: end_at(10),
            seq: u32_at(16),
            ack: u32_at(20),
            flags: head[26],
            data: bytes[HEADER_LEN..].to_vec(),
            has_checksum: u32_at(28) != 0,
        };
        let own_reset = !segment.has_checksum && segment.has(RST);
        (own_reset || u32_at(28) == segment.sum()).then_some(segment)
    }

    /// A sum over all but the echo, which finds out who changes a packet.
    fn sum(&self) -> u32 {
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
        bytes.fold(0x811c_9dc5, |sum: u32, byte| {
            (sum ^ u32::from(byte)).wrapping_mul(0x0100_0193)
        })
    }
}
