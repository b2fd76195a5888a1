//! Messages between the daemons of a zone.

use super::news::NewsRecord;
use crate::links::message;
use bincode::{
    Decode,
    Encode, //
};
use foxtailhinge_policy::packets::{
    shared_evidence::REPORT_TTL,
    FailedOpening,
    UpstreamId, //
};
use foxtailhinge_wire::message::MemberUpdate;
use std::time::{
    Duration,
    Instant, //
};

/// Version of the messages, their first byte: a daemon of another version is not understood, and each reads by itself.
const VERSION: u8 = 1;

/// Most news about members in one message.
pub(super) const MEMBER_NEWS_MAX: usize = 8;

/// Most members in one answer to a meeting.
pub(super) const MEMBERS_MAX: usize = 64;

/// Most failed openings, and most beliefs, in one message: with ten messages a second they take 2 KB/s.
pub(super) const EVIDENCE_MAX: usize = 16;

/// Memory that a decoded message may claim, in bytes.
const DECODED_MAX: usize = 2 * super::BODY_MAX;

/// A request to another daemon.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ZoneRequest {
    /// Tells of members, the sender first, and asks for those of its zone.
    Meet(Vec<MemberUpdate>),
    /// Asks for what has changed after a revision.
    Watch {
        /// The revision.
        after: u64,
        /// Whether the asker knows what it does from the last answer of the daemon that it asks.
        is_here: bool,
        /// Number of the last belief about an upstream that the asker has from the daemon that it asks.
        belief: u64,
        /// How long to wait for an answer of the store, in milliseconds; none when the asker needs whatever is known.
        wait_ms: u32,
        /// News about members, the sender first.
        members: Vec<MemberUpdate>,
    },
    /// Tells of openings that failed.
    Tell(Vec<FailedOpeningRecord>),
}

/// An opening that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FailedOpeningRecord {
    /// Id of the upstream.
    pub upstream: u64,
    /// Time since the opening was forwarded, in milliseconds.
    pub age_ms: u32,
}

impl FailedOpeningRecord {
    /// The record as it is sent at `now`.
    pub fn new(failed: &FailedOpening, now: Instant) -> Self {
        let age = now.saturating_duration_since(failed.at);
        Self {
            upstream: failed.upstream.0,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// What came at `now`; nothing when it is too old to be of use.
    pub fn decode(&self, now: Instant) -> Option<FailedOpening> {
        let age = Duration::from_millis(self.age_ms.into());
        let at = now.checked_sub(age).filter(|_| age < REPORT_TTL)?;
        let upstream = UpstreamId(self.upstream);
        Some(FailedOpening { upstream, at })
    }
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ZoneReply {
    /// Members of the asker's zone, as far as they are known.
    Met(Vec<MemberUpdate>),
    /// What is known.
    Changes(Changes),
    /// What was told is taken in.
    Noted,
}

/// What has changed after a revision.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Changes {
    /// How long the request was held, in milliseconds.
    pub held_ms: u32,
    /// Age of the newest state known to be whole, in milliseconds; nothing when none is.
    pub age_ms: Option<u64>,
    /// Time since the store came back after an outage, in milliseconds.
    pub regained_ms: Option<u64>,
    /// The changes.
    pub news: NewsRecord,
    /// Upstreams that count as silent, after the belief that the asker named.
    pub silent: Vec<FailedOpeningRecord>,
    /// Number of the last of them.
    pub belief: u64,
    /// News about members.
    pub members: Vec<MemberUpdate>,
}

/// Encodes a message.
pub fn encode<T: Encode>(message: &T) -> Vec<u8> {
    message::encode(&(VERSION, message))
}

/// Decodes a message; `None` when it is none, is of another version or has bytes left over.
pub fn decode<T: Decode<()>>(buf: &[u8]) -> Option<T> {
    let (version, message) = message::decode_within::<(u8, T), DECODED_MAX>(buf)?;
    (version == VERSION).then_some(message)
}
