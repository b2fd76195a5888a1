//! What a daemon passes on of its directory.

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

/// Largest difference in the end of a warm-up that is not worth telling: half a heartbeat, which is how late an entry can be.
const WARM_DRIFT: Duration = Duration::from_millis(500);

/// Changes after some revision, each entry as it is now, however often it has changed since.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChangeSet {
    /// Revision up to which nothing is missing.
    pub revision: u64,
    /// Whether these are all entries there are, so that what is not among them is gone.
    pub is_whole: bool,
    /// Entries; a removed one that may still return is told as it was and then as removed.
    pub items: Vec<Item>,
}

/// From whom an asker has what it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncedFrom {
    /// From the daemon that it asks, in its last answer.
    ThisDaemon,
    /// From the store or another daemon, which may have told it of states that are not known here.
    Other,
}

impl Directory {
    /// What has changed after a revision, or everything when that is no longer known.
    pub fn changes_since(&self, after: u64, heard: SyncedFrom, now: Instant) -> ChangeSet {
        let is_whole = after < self.compacted_revision();
        let is_news = |revision: u64| is_whole || revision > after;
        let mut items = Vec::new();
        if let Some((revision, cfg)) = self.configured().filter(|(at, _)| is_news(*at)) {
            items.push(item(revision, Change::Configured((**cfg).clone())));
        }
        for (zone, revision, out) in self.zones().filter(|(_, at, _)| is_news(*at)) {
            let zone = Rc::clone(zone);
            items.push(item(revision, Change::Zone { zone, out }));
        }
        let changed = |known: &TrackedUpstream| match heard {
            SyncedFrom::ThisDaemon => known.announced_revision,
            SyncedFrom::Other => known.revision,
        };
        for (id, known) in self
            .upstreams()
            .filter(|(_, known)| is_news(changed(known)))
        {
            tell(id, known, is_whole, now, &mut items);
        }
        ChangeSet {
            revision: self.revision(),
            is_whole,
            items,
        }
    }

    /// Takes over what another daemon passes on; nothing when it is older than what is known. Whether entries that went
    /// together have lapsed is judged by who saw them go.
    pub fn merge_changes(&mut self, news: &ChangeSet, now: Instant) -> Option<Vec<Outcome>> {
        let revision = news.revision;
        match news.is_whole {
            true => {
                let all = self.add_implied_removals(revision, &news.items)?;
                Some(self.apply_items(revision, &all, Origin::Peer, now))
            }
            false => Some(self.apply_items(revision, &news.items, Origin::Peer, now)),
        }
    }
}

/// Whether an entry says the same as before, for others that know when its warm-up ends.
pub(super) fn is_same(known: &TrackedUpstream, upstream: &Upstream, now: Instant) -> bool {
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
        && (is_warm || last - first <= WARM_DRIFT)
}

fn tell(
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
