//! Packets of flows as PROTOCOL.md lays them out, with a keyed sum that only clients and servers know.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const HEAD: usize = 32;
pub const SYN: u8 = 4;
pub const ACK: u8 = 2;
pub const FIN: u8 = 16;
pub const RST: u8 = 32;

#[derive(Clone, Debug)]
pub struct Packet {
    pub echo: u32,
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub seq: u32,
    pub ack: u32,
    pub flags: u8,
    pub sum: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn new(src: SocketAddrV4, dst: SocketAddrV4, flags: u8) -> Self {
        Packet { echo: 0, src, dst, seq: 0, ack: 0, flags, sum: 0, data: Vec::new() }
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Sum over all fields except `echo`, `pad` and BOUNCED.
    fn keyed_sum(&self) -> u32 {
        let mut sum: u32 = 0x5eed_1234;
        let mut add = |b: u8| sum = (sum ^ u32::from(b)).wrapping_mul(0x0100_0193);
        for end in [self.src, self.dst] {
            end.ip().octets().iter().for_each(|b| add(*b));
            end.port().to_be_bytes().iter().for_each(|b| add(*b));
        }
        for word in [self.seq, self.ack, self.data.len() as u32] {
            word.to_be_bytes().iter().for_each(|b| add(*b));
        }
        add(self.flags & 0x7f);
        self.data.iter().for_each(|b| add(*b));
        sum.max(1)
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEAD + self.data.len());
        out.extend(self.echo.to_be_bytes());
        for end in [self.src, self.dst] {
            out.extend(end.ip().octets());
            out.extend(end.port().to_be_bytes());
        }
        out.extend(self.seq.to_be_bytes());
        out.extend(self.ack.to_be_bytes());
        out.extend((self.data.len() as u16).to_be_bytes());
        out.extend([self.flags, 0]);
        out.extend(self.keyed_sum().to_be_bytes());
        out.extend(&self.data);
        out
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < HEAD {
            return None;
        }
        let word = |at: usize| u32::from_be_bytes(bytes[at..at + 4].try_into().unwrap());
        let half = |at: usize| u16::from_be_bytes(bytes[at..at + 2].try_into().unwrap());
        let end = |at: usize| SocketAddrV4::new(Ipv4Addr::from(word(at)), half(at + 4));
        (bytes.len() == HEAD + usize::from(half(24))).then(|| Packet {
            echo: word(0),
            src: end(4),
            dst: end(10),
            seq: word(16),
            ack: word(20),
            flags: bytes[26],
            sum: word(28),
            data: bytes[HEAD..].to_vec(),
        })
    }

    /// Whether the sender wrote the packet as it is here.
    pub fn is_genuine(&self) -> bool {
        self.sum == self.keyed_sum()
    }

    /// Whether this is a reset of the system's own: no data and `sum` 0.
    pub fn is_system_reset(&self) -> bool {
        self.has(RST) && self.sum == 0 && self.data.is_empty()
    }
}
