//! Messages between daemons: datagrams of the relay and messages of the links.

use {
    bincode::{
        Decode,
        Encode, //
    },
    std::net::SocketAddr,
};

pub use foxtailhinge_policy::ledger::{
    RunOutcome,
    RunRecord, //
};

/// Most candidate upstreams in one [`RelayMessage::Open`].
pub const CANDIDATES_MAX: usize = 4;

/// A sealed datagram between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum RelayMessage {
    /// A request without a ticket, to the owner of a candidate upstream.
    Open {
        /// Address of the caller.
        caller: SocketAddr,
        /// Hash of the service's name.
        service: u32,
        /// Hashes of the candidate upstreams in order, at most [`CANDIDATES_MAX`].
        candidates: Vec<u32>,
        /// Index of the candidate that is asked now.
        next: u8,
        /// The caller's datagram as it arrived.
        datagram: Vec<u8>,
    },
    /// A request with a ticket, to the owner of its upstream.
    Forward {
        /// Address of the caller.
        caller: SocketAddr,
        /// Hash of the service's name.
        service: u32,
        /// How often daemons with differing views have passed it on.
        bounces: u8,
        /// The caller's datagram as it arrived.
        datagram: Vec<u8>,
    },
    /// Asks whether the receiver is alive.
    Ping {
        /// Number that the answer repeats.
        seq: u32,
        /// News about members.
        updates: Vec<MemberUpdate>,
    },
    /// Answers a ping.
    Ack {
        /// Number of the ping.
        seq: u32,
        /// News about members.
        updates: Vec<MemberUpdate>,
    },
    /// Asks the receiver to ping a third daemon and to pass on its answer.
    PingRequest {
        /// Number that the answer repeats.
        seq: u32,
        /// Hash of the VM id of the daemon to ping.
        target: u32,
        /// News about members.
        updates: Vec<MemberUpdate>,
    },
}

/// Liveness of a member as others see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer lately; removal follows unless it refutes.
    Suspect,
    /// It stops as planned and takes no new work.
    Leaving,
    /// It is gone.
    Dead,
}

/// What one daemon says about a member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct MemberUpdate {
    /// VM id of the member.
    pub vm: String,
    /// Its availability zone.
    pub zone: String,
    /// Address of its relay socket.
    pub relay: SocketAddr,
    /// Address of its control listener.
    pub control: SocketAddr,
    /// Random number drawn at its start.
    pub incarnation: u32,
    /// Its state.
    pub state: MemberState,
    /// Raised by the member itself with every change or refutation within one incarnation.
    pub version: u32,
}

/// A message on a link between two daemons.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum LinkMessage {
    /// The revisions that the sender holds; the receiver answers with newer documents.
    Digest {
        /// Held documents, the removed ones included.
        documents: Vec<DocumentRevision>,
    },
    /// A summary of the held revisions, enough to see that nothing differs.
    DigestHash {
        /// Number of held documents, the removed ones included.
        count: u32,
        /// Hash over their names and revisions in name order.
        hash: u64,
    },
    /// Documents that are newer than the receiver's.
    Documents {
        /// The documents.
        records: Vec<DocumentRecord>,
    },
    /// News about members.
    Members {
        /// The news.
        updates: Vec<MemberUpdate>,
    },
    /// State of one upstream from its leaving owner to its next one.
    HandOver(HandOver),
    /// All upstreams were handed over and the sender is about to end.
    HandOverDone,
    /// The request was taken in.
    Ok,
}

/// Revision of one document.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct DocumentRevision {
    /// Name of the service.
    pub service: String,
    /// Revision that the platform gave.
    pub revision: u64,
}

/// One document of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct DocumentRecord {
    /// Name of the service.
    pub service: String,
    /// Revision that the platform gave.
    pub revision: u64,
    /// Text of the document, `None` when it was removed.
    pub text: Option<String>,
}

/// Load that an upstream may carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AllowanceRecord {
    /// Requests at once.
    pub slots: u32,
    /// Flows at once.
    pub connections: u32,
}

/// State of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HandOver {
    /// Hash of the service's name.
    pub service: u32,
    /// Hash of the upstream's name.
    pub upstream: u32,
    /// Incarnation of the upstream as last seen.
    pub upstream_incarnation: u16,
    /// Allowance that the upstream has reached.
    pub allowance: AllowanceRecord,
    /// Its flows.
    pub flows: Vec<FlowRecord>,
    /// Its feeds.
    pub feeds: Vec<FeedRecord>,
}

/// Name of a flow within the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct FlowKey {
    /// Hash of the VM id of the daemon that began the flow.
    pub owner: u32,
    /// Incarnation of that daemon.
    pub owner_incarnation: u32,
    /// Number of the flow within that incarnation.
    pub flow: u32,
}

/// State of one flow.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FlowRecord {
    /// Hash of the VM id of the daemon that began the flow.
    pub owner: u32,
    /// Incarnation of that daemon.
    pub owner_incarnation: u32,
    /// Number of the flow within that incarnation.
    pub flow: u32,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Epoch of the flow.
    pub epoch: u32,
    /// Highest epoch whose runs may have been forgotten.
    pub forgotten: u32,
    /// Remembered runs of requests that are not idempotent.
    pub runs: Vec<RunRecord>,
}

/// One feed.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FeedRecord {
    /// The flow that the feed belongs to.
    pub flow: FlowKey,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Token of the registration.
    pub token: Vec<u8>,
    /// The registration as the caller sent it.
    pub request: Vec<u8>,
}
