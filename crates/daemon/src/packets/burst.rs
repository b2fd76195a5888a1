//! Order of the packets of one burst: those of open flows are handled before openings.
//!
//! A caller whose opening is late tries again through another daemon, but the packets of an open flow have to wait here.

use crate::socket::BURST_MAX;
use foxtailhinge_policy::packets::{
    Kind,
    Packet, //
};

/// Number of packets at the start of a burst that are handled in the order of arrival. Ordinary bursts have no more, so
/// that their openings are not copied.
pub const DIRECT_MAX: usize = 4;

/// Room for openings that are held back, in bytes. An opening without data has 32 bytes.
const HELD_BYTES_MAX: usize = 8 * 1024;

/// When to handle a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// Immediately.
    Now,
    /// After the openings that are held back, which have to be handled immediately.
    AfterHeld,
    /// At the end of the burst; the packet was copied.
    Held,
}

/// Openings that are held back until the end of the current burst. Its buffers are allocated once.
#[derive(Debug)]
pub struct Burst {
    /// Number of packets in the burst so far.
    packets: usize,
    /// Whether the previous burst had the maximum length, so that more packets were waiting.
    is_backlog: bool,
    /// Openings that are held back, and the ends of their datagrams in `bytes`.
    held: Vec<(Packet, usize)>,
    bytes: Vec<u8>,
}

impl Default for Burst {
    fn default() -> Self {
        Self {
            packets: 0,
            is_backlog: false,
            held: Vec::with_capacity(BURST_MAX),
            bytes: Vec::with_capacity(HELD_BYTES_MAX),
        }
    }
}

impl Burst {
    /// Decides when the next packet of the burst is handled, and copies it if that is later.
    ///
    /// A packet never overtakes an opening of its own flow: the flow would be known as open when the opening comes, which
    /// would then be sent to another upstream and count as unanswered there.
    pub fn next(&mut self, packet: &Packet, datagram: &[u8]) -> Turn {
        self.packets += 1;
        if packet.kind != Kind::Open {
            let overtakes = self.held.iter().any(|(held, _)| held.flow == packet.flow);
            return match overtakes {
                true => Turn::AfterHeld,
                false => Turn::Now,
            };
        }
        if !self.is_backlog && self.packets <= DIRECT_MAX {
            return Turn::Now;
        }
        if self.held.len() >= BURST_MAX || self.bytes.len() + datagram.len() > HELD_BYTES_MAX {
            return Turn::AfterHeld;
        }
        self.bytes.extend_from_slice(datagram);
        self.held.push((*packet, self.bytes.len()));
        Turn::Held
    }

    /// Openings that are held back, in the order of arrival.
    pub fn held(&self) -> impl Iterator<Item = (&Packet, &[u8])> {
        let mut start = 0;
        self.held.iter().map(move |(packet, end)| {
            let datagram = &self.bytes[start..*end];
            start = *end;
            (packet, datagram)
        })
    }

    /// Removes the openings that are held back.
    pub fn clear(&mut self) {
        self.held.clear();
        self.bytes.clear();
    }

    /// Ends the burst, after its openings were handled.
    pub fn end(&mut self) {
        self.clear();
        self.is_backlog = self.packets >= BURST_MAX;
        self.packets = 0;
    }
}
