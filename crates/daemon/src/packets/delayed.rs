//! Packets that are delayed and then decided about again.

use std::{
    collections::VecDeque,
    time::{
        Duration,
        Instant, //
    },
};

/// Maximum number of packets that are delayed at a time.
pub const DELAYED_MAX: usize = 4_096;

/// Longest time for which a packet is delayed. Its caller has retransmitted it twice by then, and gives up 1.4 s after the
/// first packet.
pub const DELAY_MAX: Duration = Duration::from_secs(1);

/// Delayed packet.
#[derive(Clone, Debug)]
pub struct DelayedPacket {
    /// When the packet arrived.
    pub arrived: Instant,
    /// End of the delay.
    pub until: Instant,
    /// The packet as it was received.
    pub datagram: Vec<u8>,
}

impl DelayedPacket {
    /// Whether the packet has been delayed for longer than [`DELAY_MAX`], as after a suspension of the daemon.
    pub fn is_expired(&self, now: Instant) -> bool {
        now > self.arrived + DELAY_MAX
    }
}

/// Queue of delayed packets, bounded in number and time.
#[derive(Debug, Default)]
pub struct DelayedPackets(VecDeque<DelayedPacket>);

impl DelayedPackets {
    /// Adds a packet; returns false if there is no room, or if its delay would be too long.
    pub fn push(&mut self, datagram: &[u8], arrived: Instant, until: Instant) -> bool {
        if self.0.len() >= DELAYED_MAX || until > arrived + DELAY_MAX {
            return false;
        }
        self.0.push_back(DelayedPacket {
            arrived,
            until,
            datagram: datagram.to_vec(),
        });
        true
    }

    /// Removes and returns the packet that was added first.
    pub fn pop(&mut self) -> Option<DelayedPacket> {
        self.0.pop_front()
    }
}
