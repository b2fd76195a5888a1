//! Changes of the directory that a daemon passes on to another one.

use super::{
    configuration_delta::{
        ConfigurationDelta,
        ConfigurationId, //
    },
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
        UpstreamId,
        UpstreamState, //
    },
    restoration::{
        Evacuation,
        NewEra, //
    },
    version::Version,
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

/// Changes after a version, with the current state of each changed entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChangeSet {
    /// Version up to which the changes are complete.
    pub version: Version,
    /// First version that the sender knows of the era.
    pub era_start: Version,
    /// Version that the sender had before the era; zero if it started in this era.
    pub before_era: Version,
    /// Whether these are all existing entries, so that any other entry has been removed.
    pub is_whole: bool,
    /// Changed entries; a removed one that may still return is listed with its last state, and then as removed.
    pub items: Vec<Item>,
    /// The configuration, instead of an entry with the whole one, if the asker has the configuration before it.
    pub delta: Option<ConfigurationDelta>,
    /// States of upstreams, and the configuration, that the sender keeps in force although the store was restored from an
    /// older copy.
    pub awaited: Vec<Item>,
    /// What the sender knows of evacuations that a restored store may have lost.
    pub evacuations: Vec<Evacuation>,
}

impl ChangeSet {
    /// The changes that must not wait for the others: evacuations, and upstreams that drain. They can be applied to a
    /// directory that is complete up to `after`, which they do not make complete up to a later version.
    pub fn into_urgent(self, after: Version) -> Self {
        let is_urgent = |item: &Item| match &item.change {
            Change::Zone { out, .. } => *out,
            Change::Listed(_, upstream) => upstream.state == UpstreamState::Draining,
            Change::Unlisted(..)
            | Change::Configured(_)
            | Change::Unusable(_)
            | Change::Foreign => false,
        };
        let mut items = self.items;
        items.retain(|item| item.version.era == after.era && is_urgent(item));
        Self {
            version: after,
            items,
            ..Self::default()
        }
    }
}

/// The configuration in the form in which it is passed on.
enum ConfigurationChange {
    /// The routes that differ from the asker's configuration.
    Delta(ConfigurationDelta),
    /// All routes.
    Whole(Item),
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
    /// Returns the changes after a version, or all entries if the removals since then are no longer known.
    ///
    /// The configuration is large, so a daemon that has the configuration `known` gets none if it is the current one, and
    /// only the routes that differ if their number is small.
    pub fn changes_since(
        &self,
        after: Version,
        synced_from: SyncedFrom,
        known: Option<ConfigurationId>,
        now: Instant,
    ) -> ChangeSet {
        let is_whole = after < self.compacted();
        let is_newer = |version: Version| is_whole || version > after;
        let mut items = Vec::new();
        let mut awaited = self.awaited_items(now);
        let delta = match self.configuration_change(known, is_newer) {
            Some(ConfigurationChange::Delta(delta)) => Some(delta),
            Some(ConfigurationChange::Whole(item)) if self.configuration_awaits_write => {
                awaited.push(item);
                None
            }
            Some(ConfigurationChange::Whole(item)) => {
                items.push(item);
                None
            }
            None => None,
        };
        let zones = self.zones.iter().filter(|(_, zone)| !zone.awaits_write);
        for (name, zone) in zones.filter(|(_, zone)| is_newer(zone.version)) {
            let change = Change::Zone {
                zone: Rc::clone(name),
                out: zone.out,
            };
            items.push(Item::without_key(zone.version, change));
        }
        let changed = |known: &TrackedUpstream| match synced_from {
            SyncedFrom::ThisDaemon => known.announced,
            SyncedFrom::Other => known.version,
        };
        for (id, known) in self
            .upstreams()
            .filter(|(_, known)| is_newer(changed(known)))
        {
            push_entry(id, known, is_whole, now, &mut items);
        }
        ChangeSet {
            version: self.version(),
            era_start: self.era_start,
            before_era: self
                .restoration()
                .map_or(Version::default(), |one| one.before),
            is_whole,
            items,
            delta,
            awaited,
            evacuations: self.former_evacuations(),
        }
    }

    /// The current configuration for a daemon that has the configuration `known`; `None` if that daemon does not lack it.
    fn configuration_change(
        &self,
        known: Option<ConfigurationId>,
        is_newer: impl Fn(Version) -> bool,
    ) -> Option<ConfigurationChange> {
        let (written, cfg) = self.configured()?;
        let id = self.configuration_id()?;
        if known == Some(id) || !(self.configuration_awaits_write || is_newer(written)) {
            return None;
        }
        let delta = known.and_then(|known| self.configuration_history.delta(known, id, cfg));
        Some(match delta {
            Some(delta) => ConfigurationChange::Delta(ConfigurationDelta {
                awaits_write: self.configuration_awaits_write,
                ..delta
            }),
            None => {
                let change = Change::Configured((**cfg).clone());
                ConfigurationChange::Whole(Item::without_key(written, change))
            }
        })
    }

    /// Replaces the difference between configurations in a change set by an entry with the whole configuration; returns
    /// false if it is the difference from another configuration than the one in force.
    pub fn expand_delta(&self, changes: &mut ChangeSet) -> bool {
        let Some(delta) = changes.delta.take() else {
            return true;
        };
        let Some((written, cfg)) = self.configured() else {
            return false;
        };
        if written >= delta.id.written {
            return true;
        }
        if self.configuration_id() != Some(delta.base) {
            return false;
        }
        let change = Change::Configured(delta.apply(cfg));
        let items = match delta.awaits_write {
            true => &mut changes.awaited,
            false => &mut changes.items,
        };
        items.push(Item::without_key(delta.id.written, change));
        true
    }

    /// Applies the changes that another daemon passes on; returns `None` if they are older than the directory, or of an
    /// earlier era.
    ///
    /// Does not check for lapsed entries: the daemon that read their removal from the store does so.
    pub fn merge_changes(&mut self, changes: &ChangeSet, now: Instant) -> Option<Vec<Outcome>> {
        let version = changes.version;
        let outcomes = match changes.is_whole {
            true => {
                let era = NewEra {
                    version,
                    start: changes.era_start,
                    origin: Origin::Peer,
                    before: changes.before_era,
                };
                self.replace_all(era, &changes.items, now)?
            }
            false if version.era != self.version().era => return None,
            false => self.apply_items(version, &changes.items, Origin::Peer, now),
        };
        self.merge_awaited(&changes.awaited, now);
        self.merge_evacuations(&changes.evacuations, version, now);
        Some(outcomes)
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
        items.push(Item::without_key(
            known.version,
            Change::Listed(id, known.current(now)),
        ));
    }
    let is_implied = is_whole && known.is_gone(now);
    if !is_listed && !is_implied {
        items.push(Item::without_key(known.version, Change::Unlisted(id, None)));
    }
}
