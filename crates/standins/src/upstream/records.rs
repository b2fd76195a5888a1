//! What an upstream stand-in saw.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::Instant, //
};

/// Kinds of packets that an upstream receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketKind {
    /// A request of a caller.
    Request,
    /// A request for its health or load.
    Probe,
    /// A cancellation, a reset or a packet that is no request.
    Other,
}

/// A packet that arrived.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When it arrived.
    pub at: Instant,
    /// Its kind.
    pub kind: PacketKind,
}

/// A request that came while a cold start carried all it could.
#[derive(Clone, Copy, Debug)]
pub struct Overload {
    /// When it came.
    pub at: Instant,
    /// The daemon's socket that sent it.
    pub from: SocketAddr,
    /// Requests that ran then.
    pub running: usize,
}

/// What an upstream stand-in saw since its process began, restarts included.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Packets that arrived.
    pub arrivals: Vec<Arrival>,
    /// Requests that ran, by method and path.
    pub runs: HashMap<String, u64>,
    /// Runs of each POST, by its payload.
    pub posts: HashMap<Vec<u8>, u32>,
    /// Requests that ran in all.
    pub run: u64,
    /// Requests refused as not run.
    pub shed: u64,
    /// Requests that came while a cold start carried all it could.
    pub cold_overload: u64,
    /// When such requests came, and from which address.
    pub cold_overloads: Vec<Overload>,
    /// Requests whose time was over before they ran.
    pub expired: u64,
    /// Requests that were meant for another service.
    pub foreign: u64,
    /// Copies of a datagram that had arrived before.
    pub duplicates: u64,
    /// Datagrams that are no CoAP.
    pub garbled: u64,
    /// Feeds that were registered, renewals left out.
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
    /// Counts the packets that arrived after a time.
    pub fn packets_after(&self, time: Instant) -> usize {
        self.arrivals.iter().filter(|one| one.at > time).count()
    }

    /// Counts the requests that arrived after a time.
    pub fn requests_after(&self, time: Instant) -> usize {
        let request = |one: &&Arrival| one.at > time && one.kind == PacketKind::Request;
        self.arrivals.iter().filter(request).count()
    }

    /// Returns the payloads of POSTs that ran more than once.
    pub fn repeated_posts(&self) -> Vec<String> {
        let over = self.posts.iter().filter(|(_, &runs)| runs > 1);
        over.map(|(id, _)| String::from_utf8_lossy(id).into_owned())
            .collect()
    }
}
