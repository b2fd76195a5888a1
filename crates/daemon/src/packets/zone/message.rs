//! Messages between the daemons of a zone.

use super::{
    change_set::{
        ChangeSetRecord,
        ConfigurationIdRecord,
        VersionRecord, //
    },
    load_record::LoadRecord,
};
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

/// Version of the messages, sent as their first byte. A daemon rejects messages of another version, so daemons of
/// different versions each read the store themselves.
const VERSION: u8 = 6;

/// Maximum number of member updates in one message.
pub(super) const MEMBER_UPDATES_MAX: usize = 8;

/// Maximum number of members in one answer to [`ZoneRequest::Meet`].
pub(super) const MEMBERS_MAX: usize = 64;

/// Maximum number of failed openings, and of silent upstreams, in one message: at ten messages a second they take
/// 2 KB/s.
pub(super) const EVIDENCE_MAX: usize = 16;

/// Maximum number of services in one load report.
pub(super) const LOAD_SERVICES_MAX: usize = 32;

/// Maximum number of pools in one load report; with services and names of the maximum number and length it takes 11 KB.
pub(super) const LOAD_POOLS_MAX: usize = 32;

/// Maximum length of a name in a load report, in bytes.
pub(super) const LOAD_NAME_MAX: usize = 128;

/// Memory that a decoded message may claim, in bytes.
const DECODED_MAX: usize = 2 * super::BODY_MAX;

/// A request to another daemon.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ZoneRequest {
    /// Sends members, the sender first, and asks for those of its zone.
    Meet(Vec<MemberUpdate>),
    /// Asks for changes after a version.
    Watch {
        /// Version up to which the asker's view is complete.
        after: VersionRecord,
        /// Whether the asker's view comes from the last answer of the daemon that it asks.
        is_here: bool,
        /// Configuration that the asker has, which need not be sent again in full.
        configuration: Option<ConfigurationIdRecord>,
        /// Number of the last report on an upstream that the asker has from the daemon that it asks.
        belief: u64,
        /// How long to wait for an answer of the store, in milliseconds; zero when the asker needs the current state at
        /// once.
        wait_ms: u32,
        /// Member updates, the sender first.
        members: Vec<MemberUpdate>,
    },
    /// Reports openings that failed.
    Tell(Vec<FailedOpeningRecord>),
    /// Reports the load that the sender and its followers observe, and asks for that of others.
    Load(LoadRecord),
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
    /// Encodes a failed opening for a message sent at `now`.
    pub fn new(failed: &FailedOpening, now: Instant) -> Self {
        let age = now.saturating_duration_since(failed.at);
        Self {
            upstream: failed.upstream.0,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Decodes a record received at `now`; `None` if the failure is too old to be used.
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
    /// Known members of the asker's zone, the sender first.
    Met(Vec<MemberUpdate>),
    /// Changes after the version asked for.
    Changes(Changes),
    /// The changes are many, and the daemon sends such answers to others now. Holds those that must not wait.
    Busy(ChangeSetRecord),
    /// The request needs no other answer, or is not answered because the daemons disagree on their roles.
    Noted,
    /// Load that the answering daemon and others observe, without that of the asker.
    Load(LoadRecord),
}

/// Changes after a version, and how fresh they are.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Changes {
    /// How long the request was held, in milliseconds.
    pub held_ms: u32,
    /// Age of the newest state known to be complete, in milliseconds; `None` when none is.
    pub age_ms: Option<u64>,
    /// Time since the store recovered from an outage, in milliseconds.
    pub regained_ms: Option<u64>,
    /// Changed entries.
    pub news: ChangeSetRecord,
    /// Upstreams that are considered silent, after the report that the asker named.
    pub silent: Vec<FailedOpeningRecord>,
    /// Number of the last report.
    pub belief: u64,
    /// Member updates, the sender first.
    pub members: Vec<MemberUpdate>,
}

/// Encodes a message.
pub fn encode<T: Encode>(message: &T) -> Vec<u8> {
    message::encode(&(VERSION, message))
}

/// Decodes a message; `None` when it is malformed, has another version or trailing bytes.
pub fn decode<T: Decode<()>>(buf: &[u8]) -> Option<T> {
    let (version, message) = message::decode_within::<(u8, T), DECODED_MAX>(buf)?;
    (version == VERSION).then_some(message)
}
