//! Service documents in force; their revisions never decrease.
//!
//! A document is replaced only by one of a higher revision, whatever its source. Removals are stored
//! with their revision as tombstones, so that an old copy does not restore the document. A document
//! with findings is stored with its revision, while the last good one stays in force.

use crate::rendezvous::{
    mix,
    NameKey, //
    BUCKETS,
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    cmp::Ordering,
    collections::HashMap,
    rc::Rc, //
};

/// Number of bits of a revision below its era.
const ERA_SHIFT: u32 = 48;

/// Adds the era in which a revision was assigned to it.
///
/// A platform that was restored from a copy begins a new era and assigns revisions again. The era is in the upper bits,
/// so that revisions of a later era are higher.
pub fn with_era(era: u64, revision: u64) -> u64 {
    (era << ERA_SHIFT) | (revision & !(u64::MAX << ERA_SHIFT))
}

/// Splits a revision into its era and the revision that the platform assigned.
pub fn split_era(revision: u64) -> (u64, u64) {
    (revision >> ERA_SHIFT, revision & !(u64::MAX << ERA_SHIFT))
}

/// Outcome of offering a document or a removal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The document is now in force.
    Applied,
    /// A higher revision is already known.
    Older,
    /// This revision is already known.
    Same,
    /// The service is now removed.
    Removed,
    /// The document has findings; the last good one stays in force.
    Refused,
}

/// A document that was refused because of its findings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedDocument {
    /// Revision of the refused document.
    pub revision: u64,
    /// Problems of the document, each a whole sentence that names the place in the document.
    pub findings: Vec<String>,
    /// Text of the refused document, kept for other daemons.
    pub text: Rc<str>,
}

/// Revisions of one service that a daemon knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestEntry {
    /// Name of the service.
    pub service: Rc<str>,
    /// Revision in force, or of the removal; 0 if there is neither.
    pub in_force: u64,
    /// Highest revision seen, including that of a refused document.
    pub seen: u64,
}

/// Revisions of some or all services.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// One entry for each service, sorted by name.
    pub entries: Vec<DigestEntry>,
}

/// State of one service: its document in force or its removal, and a refused document if any.
#[derive(Clone, Debug)]
pub struct Entry<T> {
    /// Revision in force, or of the removal; 0 when only refused documents were seen.
    pub revision: u64,
    /// Document in force; `None` when the service is removed.
    pub document: Option<T>,
    /// Newest refused document, if newer than the one in force. Boxed because few services have one.
    pub refusal: Option<Box<RefusedDocument>>,
}

impl<T> Default for Entry<T> {
    fn default() -> Self {
        Self {
            revision: 0,
            document: None,
            refusal: None,
        }
    }
}

impl<T> Entry<T> {
    /// Returns the highest revision seen.
    pub fn seen(&self) -> u64 {
        let refused = self.refusal.as_ref().map_or(0, |r| r.revision);
        refused.max(self.revision)
    }
}

/// Service documents in force, removals and refused documents, by service.
#[derive(Clone, Debug)]
pub struct Documents<T> {
    entries: HashMap<Rc<str>, Entry<T>>,
    buckets: Vec<Vec<Rc<str>>>,
    sums: [u64; BUCKETS],
    synced: u64,
}

impl<T> Default for Documents<T> {
    fn default() -> Self {
        Self {
            entries: HashMap::new(),
            buckets: vec![Vec::new(); BUCKETS],
            sums: [0; BUCKETS],
            synced: 0,
        }
    }
}

impl<T> Documents<T> {
    /// Creates a set without services.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a document, or with `None` a removal, if its revision is higher than the known one.
    pub fn offer(&mut self, service: &Rc<str>, revision: u64, document: Option<T>) -> OfferOutcome {
        if let Some(known) = self.compare(service, revision) {
            return known;
        }
        let removed = document.is_none();
        self.update(service, |e| {
            e.revision = revision;
            e.document = document;
            e.refusal.take_if(|r| r.revision <= revision);
        });
        if removed {
            OfferOutcome::Removed
        } else {
            OfferOutcome::Applied
        }
    }

    /// Stores a refused document if its revision is the highest seen.
    pub fn refuse(
        &mut self,
        service: &Rc<str>,
        revision: u64,
        text: Rc<str>,
        findings: Vec<String>,
    ) -> OfferOutcome {
        let seen = self.entries.get(service).map_or(0, Entry::seen);
        match revision.cmp(&seen) {
            Ordering::Less => return OfferOutcome::Older,
            Ordering::Equal => return OfferOutcome::Same,
            Ordering::Greater => {}
        }
        self.update(service, |e| {
            e.refusal = Some(Box::new(RefusedDocument {
                revision,
                findings,
                text,
            }));
        });
        OfferOutcome::Refused
    }

    /// Returns the state of a service.
    pub fn entry(&self, service: &str) -> Option<&Entry<T>> {
        self.entries.get(service)
    }

    /// Returns the document in force of a service.
    pub fn get(&self, service: &str) -> Option<&T> {
        self.entries.get(service)?.document.as_ref()
    }

    /// Returns all known services, including removed ones.
    pub fn iter(&self) -> impl Iterator<Item = (&Rc<str>, &Entry<T>)> {
        self.entries.iter()
    }

    /// Returns the documents in force with their services and revisions.
    pub fn in_force(&self) -> impl Iterator<Item = (&Rc<str>, u64, &T)> {
        self.entries
            .iter()
            .filter_map(|(s, e)| Some((s, e.revision, e.document.as_ref()?)))
    }

    /// Returns the number of known services, including removed ones.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no service is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the revision of the platform up to which all changes are known.
    pub fn synced(&self) -> u64 {
        self.synced
    }

    /// Records that all changes up to the platform's `revision` are known.
    pub fn set_synced(&mut self, revision: u64) {
        self.synced = self.synced.max(revision);
    }

    /// Returns a checksum of each bucket; equal checksums mean equal revisions.
    pub fn sums(&self) -> &[u64; BUCKETS] {
        &self.sums
    }

    /// Returns the buckets whose checksums differ from `sums`, as a bit mask.
    pub fn differing_buckets(&self, sums: &[u64; BUCKETS]) -> u64 {
        differing_buckets(&self.sums, sums)
    }

    /// Returns the revisions of all services.
    pub fn digest(&self) -> Digest {
        self.digest_in(u64::MAX)
    }

    /// Returns the revisions of the services in the given buckets.
    pub fn digest_in(&self, buckets: u64) -> Digest {
        let mut entries: Vec<_> = self
            .entries_in(buckets)
            .map(|(service, e)| DigestEntry {
                service: service.clone(),
                in_force: e.revision,
                seen: e.seen(),
            })
            .collect();
        entries.sort_unstable_by(|a, b| a.service.cmp(&b.service));
        Digest { entries }
    }

    /// Returns the services of which `digest` has a higher revision than this set.
    pub fn missing(&self, digest: &Digest) -> Vec<Rc<str>> {
        digest
            .entries
            .iter()
            .filter(|theirs| {
                let ours = self.entries.get(&theirs.service);
                let in_force = ours.map_or(0, |e| e.revision);
                let seen = ours.map_or(0, Entry::seen);
                theirs.in_force > in_force || theirs.seen > seen
            })
            .map(|theirs| theirs.service.clone())
            .collect()
    }

    /// Returns the services of which this set has a higher revision than `digest`.
    pub fn newer_than(&self, digest: &Digest) -> Vec<Rc<str>> {
        self.newer_in(u64::MAX, digest)
    }

    /// Like [`newer_than`](Self::newer_than), for a digest of only the given buckets.
    pub fn newer_in(&self, buckets: u64, digest: &Digest) -> Vec<Rc<str>> {
        let theirs: HashMap<&str, &DigestEntry> = digest
            .entries
            .iter()
            .map(|e| (e.service.as_ref(), e))
            .collect();
        let mut newer: Vec<_> = self
            .entries_in(buckets)
            .filter(|(service, ours)| {
                let theirs = theirs.get(service.as_ref());
                let in_force = theirs.map_or(0, |e| e.in_force);
                let seen = theirs.map_or(0, |e| e.seen);
                ours.revision > in_force || ours.seen() > seen
            })
            .map(|(service, _)| service.clone())
            .collect();
        newer.sort_unstable();
        newer
    }

    /// Returns the outcome of offering this revision if it is already known; `None` if it is new.
    pub fn known_outcome(&self, service: &str, revision: u64) -> Option<OfferOutcome> {
        let entry = self.entries.get(service)?;
        let refused = entry.refusal.as_ref().map(|r| r.revision);
        if refused == Some(revision) {
            return Some(OfferOutcome::Same);
        }
        self.compare(service, revision)
    }

    fn compare(&self, service: &str, revision: u64) -> Option<OfferOutcome> {
        let entry = self.entries.get(service)?;
        match revision.cmp(&entry.revision) {
            Ordering::Less => Some(OfferOutcome::Older),
            Ordering::Equal => Some(OfferOutcome::Same),
            Ordering::Greater => None,
        }
    }

    fn entries_in(&self, buckets: u64) -> impl Iterator<Item = (&Rc<str>, &Entry<T>)> {
        let wanted = (0..BUCKETS).filter(move |i| buckets >> i & 1 == 1);
        let names = wanted.flat_map(|i| &self.buckets[i]);
        names.filter_map(|service| Some((service, self.entries.get(service)?)))
    }

    fn update(&mut self, service: &Rc<str>, change: impl FnOnce(&mut Entry<T>)) {
        let key = NameKey::new(service);
        let bucket = key.bucket();
        if !self.entries.contains_key(service) {
            self.buckets[bucket].push(service.clone());
        }
        let entry = self.entries.entry(service.clone()).or_default();
        self.sums[bucket] ^= sum_of(key, entry.revision, entry.seen());
        change(entry);
        self.sums[bucket] ^= sum_of(key, entry.revision, entry.seen());
    }
}

/// Returns the buckets whose checksums differ, as a bit mask.
pub fn differing_buckets(a: &[u64; BUCKETS], b: &[u64; BUCKETS]) -> u64 {
    let unlike = (0..BUCKETS).filter(|&i| a[i] != b[i]);
    unlike.fold(0, |buckets, i| buckets | 1 << i)
}

fn sum_of(service: NameKey, in_force: u64, seen: u64) -> u64 {
    if seen == 0 {
        return 0;
    }
    mix(service.get() ^ mix(in_force).rotate_left(17) ^ mix(!seen))
}
