//! Changes of the directory that a daemon passes on to another one.

use super::{
    directory::{
        Directory,
        Origin,
        Outcome,
        TrackedUpstream, //
    },
    entry::{
        Change,
        Item,
        Upstream,
        UpstreamId, //
    },
};
use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Largest insignificant shift of the end of a warm-up: half a heartbeat, which is the largest delay of an entry.
const WARMUP_DRIFT_MAX: Duration = Duration::from_millis(500);

/// Changes after a revision, with the current state of each changed entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChangeSet {
    /// Revision up to which the changes are complete.
    pub revision: u64,
    /// Whether these are all existing entries, so that any other entry has been removed.
    pub is_whole: bool,
    /// Changed entries; a removed one that may still return is listed with its last state, and then as removed.
    pub items: Vec<Item>,
}

/// Source of the state that the asking daemon has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncedFrom {
    /// The last answer of the daemon that it asks now.
    ThisDaemon,
    /// The store or another daemon, which may have reported states that are not known here.
    Other,
}

impl Directory {
    /// Returns the changes after a revision, or all entries if the removals since then are no longer known.
    pub fn changes_since(&self, after: u64, synced_from: SyncedFrom, now: Instant) -> ChangeSet {
        let is_whole = after < self.compacted_revision();
        let is_newer = |revision: u64| is_whole || revision > after;
        let mut items = Vec::new();
        if let Some((revision, cfg)) = self.configured().filter(|(at, _)| is_newer(*at)) {
            items.push(item(revision, Change::Configured((**cfg).clone())));
        }
        for (zone, revision, out) in self.zones().filter(|(_, at, _)| is_newer(*at)) {
            let zone = Rc::clone(zone);
            items.push(item(revision, Change::Zone { zone, out }));
        }
        let changed = |known: &TrackedUpstream| match synced_from {
            SyncedFrom::ThisDaemon => known.announced_revision,
            SyncedFrom::Other => known.revision,
        };
        for (id, known) in self
            .upstreams()
            .filter(|(_, known)| is_newer(changed(known)))
        {
            push_entry(id, known, is_whole, now, &mut items);
        }
        ChangeSet {
            revision: self.revision(),
            is_whole,
            items,
        }
    }

    /// Applies the changes that another daemon passes on; returns `None` if they are older than the directory.
    ///
    /// Does not check for lapsed entries: the daemon that read their removal from the store does so.
    pub fn merge_changes(&mut self, changes: &ChangeSet, now: Instant) -> Option<Vec<Outcome>> {
        let revision = changes.revision;
        match changes.is_whole {
            true => {
                let all = self.add_implied_removals(revision, &changes.items)?;
                Some(self.apply_items(revision, &all, Origin::Peer, now))
            }
            false => Some(self.apply_items(revision, &changes.items, Origin::Peer, now)),
        }
    }
}

/// Whether an updated entry is equivalent to the previous one for peers that know the end of its warm-up.
pub(super) fn is_unchanged(known: &TrackedUpstream, upstream: &Upstream, now: Instant) -> bool {
    let warm_at = now + upstream.warmup_left;
    let (first, last) = (
        warm_at.min(known.announced_warm_at),
        warm_at.max(known.announced_warm_at),
    );
    let is_warm = last <= now;
    let as_before = Upstream {
        warmup_left: known.upstream.warmup_left,
        ..upstream.clone()
    };
    known.unlisted.is_none()
        && as_before == known.upstream
        && (is_warm || last - first <= WARMUP_DRIFT_MAX)
}

fn push_entry(
    id: UpstreamId,
    known: &TrackedUpstream,
    is_whole: bool,
    now: Instant,
    items: &mut Vec<Item>,
) {
    let is_listed = known.unlisted.is_none();
    if is_listed || !known.is_gone(now) {
        let upstream = Upstream {
            warmup_left: known.warm_at.saturating_duration_since(now),
            ..known.upstream.clone()
        };
        items.push(item(known.revision, Change::Listed(id, upstream)));
    }
    let is_implied = is_whole && known.is_gone(now);
    if !is_listed && !is_implied {
        items.push(item(known.revision, Change::Unlisted(id, None)));
    }
}

fn item(revision: u64, change: Change) -> Item {
    Item {
        key: "".into(),
        revision,
        change,
    }
}
