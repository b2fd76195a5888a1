//! Messages between daemons: relay datagrams and the records that links carry.

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

/// Maximum number of candidate upstreams in one [`RelayMessage::Open`].
pub const CANDIDATES_MAX: usize = 4;

/// A sealed datagram between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum RelayMessage {
    /// A request without a ticket, to the owner of a candidate upstream.
    Open(Open),
    /// A request with a ticket, to the owner of its upstream.
    Forward(Forward),
    /// A liveness probe of the receiver.
    Ping {
        /// Sequence number, which the [`RelayMessage::Ack`] repeats.
        seq: u32,
        /// Piggybacked updates about members.
        updates: Vec<MemberUpdate>,
    },
    /// The answer to a ping.
    Ack {
        /// Sequence number of the ping.
        seq: u32,
        /// Piggybacked updates about members.
        updates: Vec<MemberUpdate>,
    },
    /// An indirect probe: asks the receiver to ping a third daemon and to forward its answer.
    PingRequest {
        /// Sequence number, which the [`RelayMessage::Ack`] repeats.
        seq: u32,
        /// Hash of the VM id of the daemon to ping.
        target: u32,
        /// Piggybacked updates about members.
        updates: Vec<MemberUpdate>,
    },
}

/// A request that opens a flow.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Open {
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Hash of the service's name.
    pub service: u32,
    /// Hashes of the candidate upstreams in the order of the attempts, at most [`CANDIDATES_MAX`].
    pub candidates: Vec<u32>,
    /// Index of the current candidate, whose owner gets this message.
    pub next: u8,
    /// Whether the caller's address is confirmed; if so, the request is served at once.
    pub confirmed: bool,
    /// Whether the current candidate was chosen after all candidates were asked.
    pub chosen: bool,
    /// Offers of the candidates that were asked before.
    pub offers: Vec<CandidateOffer>,
    /// The caller's datagram as it arrived.
    pub datagram: Vec<u8>,
}

impl Open {
    /// Whether the current candidate is the last one.
    pub fn is_last(&self) -> bool {
        usize::from(self.next) + 1 >= self.candidates.len()
    }

    /// Index of the candidate that gets the flow after all were asked. `feed` is true for a request
    /// that registers a long-lived feed, which goes to the least connected candidate; other requests
    /// go to the least loaded one.
    ///
    /// When all candidates are down, the least bad one is chosen.
    pub fn choose(&self, feed: bool) -> Option<u8> {
        let offers: Vec<Offer> = self.offers.iter().map(|offer| offer.offer).collect();
        let best = if feed {
            admission::least_connected(&offers)
        } else {
            admission::least_loaded(&offers)
        };
        let best = best.or_else(|| self.least_bad())?;
        Some(self.offers[best].index)
    }

    fn least_bad(&self) -> Option<usize> {
        let views: Vec<HealthView> = self.offers.iter().map(|offer| offer.health).collect();
        let down = views.iter().filter(|view| view.state == HealthState::Down);
        if down.count() < self.candidates.len() {
            return None;
        }
        health::least_bad(&views)
    }
}

/// Load and health of a candidate whose owner did not take the flow.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct CandidateOffer {
    /// Index in [`Open::candidates`].
    pub index: u8,
    /// Load of the candidate.
    pub offer: Offer,
    /// Health of the candidate.
    pub health: HealthView,
}

impl Eq for CandidateOffer {}

/// A request within an open flow.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Forward {
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Hash of the service's name.
    pub service: u32,
    /// How many times daemons with differing views have forwarded the request.
    pub bounces: u8,
    /// The caller's datagram as it arrived.
    pub datagram: Vec<u8>,
}

/// Liveness of a member as others see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member missed probes; it is declared dead unless it refutes the suspicion.
    Suspect,
    /// The member shuts down gracefully and takes no new work.
    Leaving,
    /// The member has failed or left.
    Dead,
}

/// State of a member of the fleet as one daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct MemberUpdate {
    /// VM id of the member.
    pub vm: String,
    /// Availability zone of the member.
    pub zone: String,
    /// Address of the member's relay socket.
    pub relay: SocketAddr,
    /// Address of the member's control listener.
    pub control: SocketAddr,
    /// Random number that the member drew when it started.
    pub incarnation: u32,
    /// State of the member.
    pub state: MemberState,
    /// Version within the incarnation; the member raises it with every change or refutation.
    pub version: u32,
}

/// A request about the ownership of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum OwnerRequest {
    /// In the sender's view it owns the upstream; it asks the former owner for the state.
    Claim {
        /// Address of the upstream.
        upstream: SocketAddr,
        /// Random number of the claim, the same in each retransmission.
        id: u64,
    },
    /// The sender holds an upstream that the receiver owns in the sender's view.
    Offer {
        /// Address of the upstream.
        upstream: SocketAddr,
    },
    /// The sender has resumed the feeds of an upstream that was handed over to it.
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
    /// State of the upstream, whose ownership the answering daemon has released.
    HandOver(HandOver),
    /// The answering daemon does not hold the upstream.
    NotHeld,
    /// In the answering daemon's view the claimant does not own the upstream.
    NotYours,
    /// The request was applied.
    Ok,
}

/// A service document of the platform, or its removal.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct DocumentRecord {
    /// Name of the service.
    pub service: String,
    /// Revision that the platform assigned.
    pub revision: u64,
    /// Text of the document, `None` if it was removed.
    pub text: Option<String>,
}

/// Load that an upstream may carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AllowanceRecord {
    /// Concurrent requests.
    pub slots: u32,
    /// Concurrent flows.
    pub connections: u32,
}

/// State of an upstream that passes to its new owner.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HandOver {
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Incarnation of the upstream as last seen.
    pub upstream_incarnation: Option<u16>,
    /// Current allowance of the upstream, which may still ramp up.
    pub allowance: AllowanceRecord,
    /// Requests that still run at the upstream for the former owner.
    pub in_use: u32,
    /// Flows of the upstream.
    pub flows: Vec<FlowRecord>,
    /// Opened flows whose callers have not sent a request with the ticket yet.
    pub opened: Vec<FlowKey>,
    /// Feeds of the upstream.
    pub feeds: Vec<FeedRecord>,
}

/// Requests that ended at the former owner after the hand-over.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Finished {
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Number of the report, counted from 1; a report is retransmitted until it is confirmed.
    pub seq: u32,
    /// Slots that became free.
    pub slots: u32,
    /// Outcomes of the runs that were in progress at the hand-over.
    pub runs: Vec<FinishedRun>,
}

/// Outcome of one run that ended after the hand-over.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FinishedRun {
    /// One of the flow's keys.
    pub flow: FlowKey,
    /// Token of the request.
    pub token: Vec<u8>,
    /// The answer as it was sent to the caller.
    pub answer: Vec<u8>,
}

/// Identifier of a flow, unique in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct FlowKey {
    /// Hash of the VM id of the daemon that opened the flow.
    pub owner: u32,
    /// Incarnation of that daemon.
    pub owner_incarnation: u32,
    /// Number of the flow within that incarnation.
    pub flow: u32,
}

/// State of one flow.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FlowRecord {
    /// All keys by which tickets may identify the flow.
    pub keys: Vec<FlowKey>,
    /// Hash of the service's name.
    pub service: u32,
    /// Hash of the upstream's name within the service.
    pub upstream_hash: u32,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Runs of the flow's requests that are not idempotent.
    pub ledger: LedgerRecord,
}

/// State of one feed (CoAP observation).
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FeedRecord {
    /// One of the keys of the feed's flow.
    pub flow: FlowKey,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Observe value of the last notification sent to the caller.
    pub observe: u32,
    /// The caller's registration request as it arrived.
    pub request: Vec<u8>,
}
