//! Counters and logs of an upstream stand-in.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::Instant, //
};

/// Kinds of packets that an upstream receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketKind {
    /// Request of a caller.
    Request,
    /// Request to the health or load endpoint.
    Probe,
    /// Packet that is not a request, such as a reset.
    Other,
}

/// Arrival of a packet.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When the packet arrived.
    pub at: Instant,
    /// Kind of the packet.
    pub kind: PacketKind,
}

/// Arrival of a request while all slots of a cold start were busy.
#[derive(Clone, Copy, Debug)]
pub struct Overload {
    /// When the request arrived.
    pub at: Instant,
    /// Address of the daemon's socket that sent the request.
    pub from: SocketAddr,
    /// Number of requests that were running.
    pub running: usize,
}

/// Records of an upstream stand-in since it was created; a restart does not reset them.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Packets that arrived, in order.
    pub arrivals: Vec<Arrival>,
    /// Number of requests that ran, by method and path.
    pub runs: HashMap<String, u64>,
    /// How often each POST ran, by its payload.
    pub posts: HashMap<Vec<u8>, u32>,
    /// Number of requests that ran.
    pub run: u64,
    /// Requests that were refused without being run.
    pub shed: u64,
    /// Number of requests that arrived while all slots of a cold start were busy.
    pub cold_overload: u64,
    /// Each request that `cold_overload` counts.
    pub cold_overloads: Vec<Overload>,
    /// Requests whose deadline passed while they waited for a slot.
    pub expired: u64,
    /// Requests that name another service.
    pub foreign: u64,
    /// Duplicates of datagrams that had arrived before.
    pub duplicates: u64,
    /// Datagrams that are not valid CoAP messages.
    pub garbled: u64,
    /// Feeds that were registered, without renewals.
    pub feeds: u64,
    /// Feeds that were cancelled.
    pub cancelled: u64,
    /// Most requests that ran at a time.
    pub max_running: usize,
    /// Most requests that ran at a time in a cold start.
    pub max_running_cold: usize,
    /// Most feeds held at a time.
    pub max_feeds: usize,
}

impl Records {
    /// Returns the number of packets that arrived after a time.
    pub fn packets_after(&self, time: Instant) -> usize {
        self.arrivals
            .iter()
            .filter(|arrival| arrival.at > time)
            .count()
    }

    /// Returns the number of callers' requests that arrived after a time.
    pub fn requests_after(&self, time: Instant) -> usize {
        let request = |arrival: &&Arrival| arrival.at > time && arrival.kind == PacketKind::Request;
        self.arrivals.iter().filter(request).count()
    }

    /// Returns the payloads of POSTs that ran more than once.
    pub fn repeated_posts(&self) -> Vec<String> {
        let repeated = self.posts.iter().filter(|(_, &runs)| runs > 1);
        repeated
            .map(|(id, _)| String::from_utf8_lossy(id).into_owned())
            .collect()
    }
}
