//! Messages on the links and their encoding.

use bincode::{
    config,
    Decode,
    Encode, //
};
use foxtailhinge_policy::{
    rendezvous::BUCKETS,
    revisions::{
        Digest,
        DigestEntry, //
    },
};
use foxtailhinge_wire::message::{
    DocumentRecord,
    MemberUpdate,
    OwnerReply,
    OwnerRequest, //
};

/// Maximum body size, in bytes, of a message from a peer that has proved that it holds the fleet's key.
pub const BODY_MAX: usize = 8 << 20;

/// Maximum body size of the first message on a link, in bytes.
pub const FIRST_BODY_MAX: usize = 4 << 10;

/// Maximum number of revisions or members in one message; one that covers whole buckets may exceed it.
pub const PAGE: usize = 256;

/// Size of the documents in one answer, in bytes, at which no further document is added.
pub const DOCUMENTS_BYTES: usize = 32 << 10;

/// Maximum memory of a decoded message, in bytes.
///
/// Short names take far more memory when decoded than in the message, so the limit does not depend on
/// the message's length.
const DECODED_MAX: usize = 2 * BODY_MAX;

/// Revisions known of one service.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Revision {
    /// Name of the service.
    pub service: String,
    /// Revision in force, or that of the removal; 0 if there is none.
    pub in_force: u64,
    /// Highest revision seen, including that of a refused document.
    pub seen: u64,
}

/// Sums over a whole view, which show in a few bytes whether two views are equal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Glance {
    /// Sum of all documents.
    pub documents: u64,
    /// Sum of all members.
    pub members: u64,
    /// When the platform last confirmed the documents.
    pub freshness: Freshness,
}

/// How recently the platform confirmed a daemon's documents, and whether the daemon is in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Freshness {
    /// Platform revision up to which all documents are known.
    pub synced: u64,
    /// Milliseconds since the platform last confirmed the documents, if it ever did.
    pub age_ms: Option<u64>,
    /// Whether the daemon has synced since its start or its last pause.
    pub in_service: bool,
}

/// The sum of one bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct BucketSum {
    /// Number of the bucket.
    pub bucket: u8,
    /// Sum over the items of the bucket.
    pub sum: u64,
}

/// Sums of the sender's view by bucket, which show where two views differ.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Sums {
    /// Sums of the documents, without those of empty buckets.
    pub documents: Vec<BucketSum>,
    /// Sums of the members, without those of empty buckets.
    pub members: Vec<BucketSum>,
    /// When the platform last confirmed the documents.
    pub freshness: Freshness,
}

/// What differs between the views of two daemons.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Difference {
    /// Sums of the answering daemon.
    pub sums: Sums,
    /// Buckets, one bit each, that `revisions` covers.
    pub document_buckets: u64,
    /// Revisions of the covered buckets.
    pub revisions: Vec<Revision>,
    /// Buckets, one bit each, that `members` covers.
    pub member_buckets: u64,
    /// Members of the covered buckets.
    pub members: Vec<MemberUpdate>,
    /// Whether further buckets differ.
    pub more: bool,
}

/// A request on a link.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum LinkRequest {
    /// Opens a link with the sender's own record.
    Hello(MemberUpdate),
    /// Compares the sums of both daemons' whole views.
    Glance(Glance),
    /// Compares the views of both daemons by bucket.
    Compare(Box<Sums>),
    /// Announces changed documents; the answer names the services whose documents are wanted.
    Announce(Vec<Revision>),
    /// Sends documents.
    Push(Vec<DocumentRecord>),
    /// Requests the documents of these services.
    Fetch(Vec<String>),
    /// Sends records of members.
    Members(Vec<MemberUpdate>),
    /// Requests information about, or a change of, the ownership of one upstream.
    Owner(OwnerRequest),
}

/// The answer to a request on a link.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum LinkReply {
    /// The request was processed.
    Ok,
    /// The answering daemon's byte budget for copies is used up; retry after this many milliseconds.
    Busy(u64),
    /// Sums over the answering daemon's whole view.
    Glance(Glance),
    /// Differences between the views.
    Difference(Box<Difference>),
    /// Services whose announced documents are wanted.
    Wanted(Vec<String>),
    /// Answers a request about ownership.
    Owner(OwnerReply),
    /// Documents; fewer than requested if the answer would be too long.
    Documents(Vec<DocumentRecord>),
}

/// Converts a digest to the wire format.
pub fn to_revisions(digest: Digest) -> Vec<Revision> {
    let entries = digest.entries.into_iter();
    entries
        .map(|e| Revision {
            service: e.service.to_string(),
            in_force: e.in_force,
            seen: e.seen,
        })
        .collect()
}

/// Converts received revisions to a digest.
pub fn to_digest(revisions: Vec<Revision>) -> Digest {
    let entries = revisions.into_iter().map(|r| DigestEntry {
        service: r.service.into(),
        in_force: r.in_force,
        seen: r.seen,
    });
    Digest {
        entries: entries.collect(),
    }
}

/// Converts sums to the wire format, without those of empty buckets.
pub fn to_bucket_sums(sums: &[u64; BUCKETS]) -> Vec<BucketSum> {
    let filled = (0..).zip(sums).filter(|(_, &sum)| sum != 0);
    filled
        .map(|(bucket, &sum)| BucketSum { bucket, sum })
        .collect()
}

/// Combines the sums of all buckets into one, which depends on the position of each bucket.
pub fn fold(sums: &[u64; BUCKETS]) -> u64 {
    let numbered = (1..).zip(sums);
    numbered.fold(0, |all: u64, (bucket, sum)| {
        all.rotate_left(5) ^ sum.wrapping_mul(2 * bucket + 1)
    })
}

/// Converts received sums; buckets that are absent have the sum 0.
pub fn from_bucket_sums(sums: &[BucketSum]) -> [u64; BUCKETS] {
    let mut all = [0; BUCKETS];
    for entry in sums {
        if let Some(sum) = all.get_mut(usize::from(entry.bucket)) {
            *sum = entry.sum;
        }
    }
    all
}

/// Encodes a message.
pub fn encode<T: Encode>(message: &T) -> Vec<u8> {
    bincode::encode_to_vec(message, config::standard())
        .expect("Messages encode into memory without errors.")
}

/// Decodes an authentic message; returns `None` if it is invalid or bytes are left over.
pub fn decode<T: Decode<()>>(buf: &[u8]) -> Option<T> {
    decode_within::<T, DECODED_MAX>(buf)
}

/// Decodes a message that may take up to `MAX` bytes of memory; returns `None` if it is invalid or bytes are left over.
pub fn decode_within<T: Decode<()>, const MAX: usize>(buf: &[u8]) -> Option<T> {
    let cfg = config::standard().with_limit::<MAX>();
    let (message, len) = bincode::decode_from_slice(buf, cfg).ok()?;
    (len == buf.len()).then_some(message)
}
