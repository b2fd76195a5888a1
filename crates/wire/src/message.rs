//! Messages between daemons: datagrams of the relay and messages of the links.

use bincode::{
    Decode,
    Encode, //
};
use foxtailhinge_policy::{
    admission::{
        self,
        Offer, //
    },
    health::{
        self,
        HealthState,
        HealthView, //
    },
};
use std::net::SocketAddr;

pub use foxtailhinge_policy::ledger::{
    LedgerRecord,
    RunOutcome,
    RunRecord, //
};

/// Most candidate upstreams in one [`RelayMessage::Open`].
pub const CANDIDATES_MAX: usize = 4;

/// A sealed datagram between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum RelayMessage {
    /// A request without a ticket, to the owner of a candidate upstream.
    Open(Open),
    /// A request with a ticket, to the owner of its upstream.
    Forward(Forward),
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

/// A request that begins a flow.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Open {
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Hash of the service's name.
    pub service: u32,
    /// Hashes of the candidate upstreams in order, at most [`CANDIDATES_MAX`].
    pub candidates: Vec<u32>,
    /// Index of the candidate that is asked now.
    pub next: u8,
    /// Whether the caller's address is confirmed, so that the request is served at once.
    pub confirmed: bool,
    /// Whether the candidate that is asked now was chosen among all of them.
    pub chosen: bool,
    /// What the candidates asked before have told.
    pub offers: Vec<CandidateOffer>,
    /// The caller's datagram as it arrived.
    pub datagram: Vec<u8>,
}

impl Open {
    /// Whether no candidate follows the one that is asked now.
    pub fn is_last(&self) -> bool {
        usize::from(self.next) + 1 >= self.candidates.len()
    }

    /// Index of the candidate that takes the flow after all were asked; `feed` when it will last.
    ///
    /// When all are down it is the least bad one.
    pub fn choose(&self, feed: bool) -> Option<u8> {
        let offers: Vec<Offer> = self.offers.iter().map(|one| one.offer).collect();
        let best = if feed {
            admission::least_connected(&offers)
        } else {
            admission::least_loaded(&offers)
        };
        let best = best.or_else(|| self.least_bad())?;
        Some(self.offers[best].index)
    }

    fn least_bad(&self) -> Option<usize> {
        let views: Vec<HealthView> = self.offers.iter().map(|one| one.health).collect();
        let down = views.iter().filter(|view| view.state == HealthState::Down);
        if down.count() < self.candidates.len() {
            return None;
        }
        health::least_bad(&views)
    }
}

/// What a candidate's owner tells that has not taken a flow.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct CandidateOffer {
    /// Index of the candidate.
    pub index: u8,
    /// Its load.
    pub offer: Offer,
    /// Its health.
    pub health: HealthView,
}

impl Eq for CandidateOffer {}

/// A request of a flow.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Forward {
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Hash of the service's name.
    pub service: u32,
    /// How often daemons with differing views have passed it on.
    pub bounces: u8,
    /// The caller's datagram as it arrived.
    pub datagram: Vec<u8>,
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

/// A request about the ownership of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum OwnerRequest {
    /// The sender owns the upstream by its view and asks the former owner for its state.
    Claim {
        /// Address of the upstream.
        upstream: SocketAddr,
        /// Random number of the claim; it is the same each time the claim is sent again.
        id: u64,
    },
    /// The sender holds an upstream that the receiver owns by the sender's view.
    Offer {
        /// Address of the upstream.
        upstream: SocketAddr,
    },
    /// The sender has taken up the feeds of an upstream that was handed over.
    Settled {
        /// Address of the upstream.
        upstream: SocketAddr,
    },
    /// Requests that were in progress at the sender after it handed an upstream over have ended.
    Finished(Finished),
}

/// The answer to an [`OwnerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum OwnerReply {
    /// The upstream's state, which the answering daemon has given up.
    HandOver(HandOver),
    /// The answering daemon does not hold the upstream.
    NotHeld,
    /// By the answering daemon's view the claimant does not own the upstream.
    NotYours,
    /// The request was taken in.
    Ok,
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
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Incarnation of the upstream as last seen.
    pub upstream_incarnation: Option<u16>,
    /// Allowance that the upstream has reached.
    pub allowance: AllowanceRecord,
    /// Requests that still run at the upstream for the former owner.
    pub in_use: u32,
    /// Its flows.
    pub flows: Vec<FlowRecord>,
    /// Flows whose callers have not come back with their tickets yet.
    pub opened: Vec<FlowKey>,
    /// Its feeds.
    pub feeds: Vec<FeedRecord>,
}

/// Requests that ended at the former owner after the hand-over.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Finished {
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Number of the report, from 1; a report that was not confirmed is sent again.
    pub seq: u32,
    /// Slots that became free.
    pub slots: u32,
    /// Outcomes of runs that were handed over while in progress.
    pub runs: Vec<FinishedRun>,
}

/// Outcome of one run that ended after the hand-over.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FinishedRun {
    /// A key of the flow.
    pub flow: FlowKey,
    /// Token of the request.
    pub token: Vec<u8>,
    /// The answer as the caller got it.
    pub answer: Vec<u8>,
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
    /// Every key under which tickets may name the flow.
    pub keys: Vec<FlowKey>,
    /// Hash of the service's name.
    pub service: u32,
    /// Hash of the upstream's name within the service.
    pub upstream_hash: u32,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Runs of requests that are not idempotent.
    pub ledger: LedgerRecord,
}

/// One feed.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FeedRecord {
    /// A key of the flow that the feed belongs to.
    pub flow: FlowKey,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Observe value of the last notification that the caller was sent.
    pub observe: u32,
    /// The registration as the caller sent it.
    pub request: Vec<u8>,
}
