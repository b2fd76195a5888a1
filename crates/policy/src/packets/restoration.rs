//! Restoration of the store from a copy: which of the changes made since the copy stay in force.
//!
//! A restored store has lost its last changes, but the servers and operators that made them still exist and write them
//! again. Until then, the directory keeps what it knows to be newer than the copy: removed and draining upstreams stay
//! out, upstreams that registered since stay in use for [`LAPSE_GRACE`], and the configuration never goes back. A zone
//! stays out of service until its evacuation is written again and ends, or another daemon is found to have seen its end.
//! An entry that is later than the start of the era was written since and always applies.

mod list;

pub(super) use self::list::NewEra;

use self::list::{
    Listed,
    ListedState, //
};
use super::{
    directory::{
        Directory,
        TrackedUpstream,
        Zone,
        LAPSE_GRACE, //
    },
    entry::{
        Change,
        Configuration,
        Item,
        UpstreamId,
        UpstreamState, //
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

/// Time in which operators and upstreams write lost changes again, other than evacuations.
pub const REWRITE_TIME: Duration = Duration::from_secs(30);

/// Maximum age of a directory that is assumed to be newer than the copy even if the restored store has already passed
/// its revision.
const RECENT: Duration = Duration::from_secs(10);

/// The latest evacuation of a zone that a daemon knows of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// Name of the zone.
    pub zone: Rc<str>,
    /// Version at which it was written, in the era in which that was.
    pub version: Version,
    /// Whether its end is not known.
    pub is_in_force: bool,
}

/// The latest restoration of the store in the life of the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Restoration {
    /// Version of the directory before the restoration; zero if only another daemon has lived through it.
    pub before: Version,
    /// First version known of the new era.
    pub start: Version,
    /// When the directory learned of the restoration.
    pub at: Instant,
    /// Number of upstreams that stayed in use although the copy does not list them.
    pub kept: usize,
    /// Number of upstreams that stayed out although the copy lists them as serving.
    pub held_out: usize,
    /// Number of zones, and of configurations, that the copy contradicts.
    pub operator_entries: usize,
    /// Number of entries that were not written again in time.
    pub given_up: usize,
    is_settled: bool,
}

impl Restoration {
    fn new(before: Version, start: Version, awaited: &[Item], at: Instant) -> Self {
        let count =
            |wanted: fn(&Change) -> bool| awaited.iter().filter(|i| wanted(&i.change)).count();
        let kept = count(is_kept);
        let operator_entries =
            count(|change| matches!(change, Change::Zone { .. } | Change::Configured(_)));
        Self {
            before,
            start,
            at,
            kept,
            held_out: awaited.len() - kept - operator_entries,
            operator_entries,
            given_up: 0,
            is_settled: false,
        }
    }

    /// Number of revisions that the store went back by, if the new era has not passed the former one yet.
    pub fn lost_revisions(&self) -> Option<u64> {
        self.before.revision.checked_sub(self.start.revision)
    }
}

impl Directory {
    /// The latest restoration of the store that this directory has lived through.
    pub fn restoration(&self) -> Option<&Restoration> {
        self.restoration.as_ref()
    }

    /// Number of entries that are to be written again.
    pub fn awaited(&self) -> usize {
        let upstreams = self.upstreams.values().filter(|known| known.awaits_write);
        let zones = self.zones.values().filter(|zone| zone.awaits_write);
        upstreams.count() + zones.count() + usize::from(self.configuration_awaits_write)
    }

    /// Begins the era of a list if it is a new one. If the directory has lived through the former era, returns the
    /// states that stay in force although the list contradicts them.
    pub(super) fn begin_era(
        &mut self,
        era: NewEra,
        items: &[Item],
        now: Instant,
    ) -> Option<Vec<Item>> {
        let before = self.version();
        if before != Version::default() && era.start.era <= before.era {
            return None;
        }
        self.era_start = era.start;
        if before == Version::default() {
            return None;
        }
        let awaited = match era.is_passed_on_by_one_ahead_of(before) {
            true => Vec::new(),
            false => self.states_newer_than_copy(era, items, now),
        };
        self.restoration = Some(Restoration::new(before, era.start, &awaited, now));
        Some(awaited)
    }

    /// Ends the application of a list that began an era.
    pub(super) fn end_restoration(&mut self, awaited: &[Item], now: Instant) {
        self.record_recovery(now);
        self.keep_awaited(awaited, now);
    }

    /// States that are newer than the entries of a copy, each with the version of the list.
    ///
    /// A listed entry with a higher revision than the known state was written after it, in whichever era.
    fn states_newer_than_copy(&self, era: NewEra, items: &[Item], now: Instant) -> Vec<Item> {
        let listed = Listed::new(era.start, items);
        let mut changes = self.newer_upstreams(era.start, &listed, now);
        changes.extend(self.newer_zones(&listed));
        let cfg = self.configuration().filter(|known| {
            let listed = listed.configuration;
            listed.is_some_and(|version| version < known.version)
        });
        changes.extend(cfg.map(|known| Change::Configured((**known).clone())));
        let changes = changes.into_iter();
        changes
            .map(|change| Item::without_key(era.version, change))
            .collect()
    }

    fn newer_upstreams(&self, start: Version, listed: &Listed<'_>, now: Instant) -> Vec<Change> {
        let is_recent = start.revision <= self.version().revision
            || self.as_of().is_some_and(|as_of| now < as_of + RECENT);
        let newer = self.upstreams().filter_map(|(id, known)| {
            let unchanged = || Change::Listed(id, known.upstream.clone());
            let is_draining = known.upstream.state == UpstreamState::Draining;
            let (at, state) = match listed.upstreams.get(&id) {
                None => return (known.is_serving(now) && is_recent).then(unchanged),
                Some(listed) => *listed,
            };
            let is_written = match state {
                ListedState::Written => true,
                ListedState::Removed => false,
                ListedState::Serving | ListedState::Draining => at > known.version.revision,
            };
            match state {
                _ if is_written => None,
                _ if known.is_gone(now) => Some(Change::Unlisted(id, None)),
                ListedState::Draining => None,
                _ => is_draining.then(unchanged),
            }
        });
        // An entry from before the known version that is not known was removed in between, or else it was written in an
        // era that has passed unseen, and its next heartbeat brings it back.
        let removed = listed.upstreams.iter().filter(|(id, (at, state))| {
            let is_written = matches!(state, ListedState::Written);
            !is_written && *at <= self.version().revision && self.get(**id).is_none()
        });
        let removed = removed.map(|(id, _)| Change::Unlisted(*id, None));
        newer.chain(removed).collect()
    }

    /// Zones that stay out of service although the list lacks their evacuation.
    ///
    /// A listed evacuation always applies. It may be one that ended since the copy was taken, but the restored store gives
    /// revisions out again, so a new evacuation can look the same.
    fn newer_zones(&self, listed: &Listed<'_>) -> Vec<Change> {
        let out = self.zones.iter().filter(|(_, zone)| zone.out);
        let kept = out.filter(|(name, zone)| match listed.zones.get(&***name) {
            None => true,
            Some((at, is_out)) => !is_out && *at < zone.evacuated,
        });
        let kept = kept.map(|(name, _)| Change::Zone {
            zone: Rc::clone(name),
            out: true,
        });
        kept.collect()
    }

    /// Keeps states in force that are newer than the copy from which the store was restored.
    fn keep_awaited(&mut self, awaited: &[Item], now: Instant) {
        for item in awaited {
            match &item.change {
                Change::Listed(id, _) if is_kept(&item.change) => {
                    self.keep_upstream(*id, item, now);
                }
                Change::Listed(id, _) | Change::Unlisted(id, _) => {
                    self.hold_upstream_out(*id, item, now);
                }
                Change::Zone { zone, .. } => self.keep_zone_out(zone, item.version),
                Change::Configured(cfg) => self.keep_configuration(cfg, item.version),
                Change::Unusable(_) | Change::Foreign => (),
            }
        }
        if !awaited.is_empty() {
            self.rebuild_indexes();
        }
    }

    /// Keeps an upstream in use as if its entry had lapsed, unless an entry is known that was written since.
    fn keep_upstream(&mut self, id: UpstreamId, item: &Item, now: Instant) {
        let recovered_at = self.recovered_at().unwrap_or(now);
        let until = recovered_at + LAPSE_GRACE;
        let Change::Listed(_, upstream) = &item.change else {
            return;
        };
        let known = self.upstreams.get(&id);
        if now >= until || known.is_some_and(|known| known.version > item.version) {
            return;
        }
        let warm_at = (now + upstream.warmup_left).max(known.map_or(now, |known| known.warm_at));
        let kept = TrackedUpstream {
            upstream: upstream.clone(),
            version: item.version,
            announced: item.version,
            warm_at,
            announced_warm_at: warm_at,
            unlisted: Some(now),
            lapse_deadline: Some(until),
            awaits_write: true,
        };
        self.upstreams.insert(id, kept);
    }

    /// Keeps an upstream out that the copy lists as serving, unless an entry is known that was written since.
    fn hold_upstream_out(&mut self, id: UpstreamId, item: &Item, now: Instant) {
        let Some(known) = self.upstreams.get_mut(&id) else {
            return;
        };
        if known.version > item.version {
            return;
        }
        known.version = item.version;
        known.announced = item.version;
        known.awaits_write = true;
        known.lapse_deadline = None;
        match &item.change {
            Change::Listed(_, upstream) => known.upstream.state = upstream.state,
            _ => {
                known.unlisted.get_or_insert(now);
            }
        }
    }

    fn keep_configuration(&mut self, cfg: &Configuration, version: Version) {
        let is_newer = self
            .configured()
            .is_none_or(|(written, current)| (current.version, written) <= (cfg.version, version));
        if is_newer {
            self.replace_configuration(cfg, version);
            self.configuration_awaits_write = true;
        }
    }

    /// Keeps a zone out of service, unless an entry is known that was written since.
    fn keep_zone_out(&mut self, name: &Rc<str>, version: Version) {
        let known = self.zones.get(name);
        if known.is_some_and(|zone| zone.version > version) {
            return;
        }
        let zone = Zone {
            version,
            out: true,
            evacuated: known.map_or(Version::default(), |zone| zone.evacuated),
            returned: known.and_then(|zone| zone.returned),
            awaits_write: true,
        };
        self.zones.insert(Rc::clone(name), zone);
    }

    /// What is known of the latest evacuation of each zone, if it was written in a former era.
    pub fn former_evacuations(&self) -> Vec<Evacuation> {
        let era = self.version().era;
        let is_former = |version: Version| version != Version::default() && version.era < era;
        let zones = self.zones.iter().filter(|(_, z)| is_former(z.evacuated));
        let evacuations = zones.map(|(name, zone)| Evacuation {
            zone: Rc::clone(name),
            version: zone.evacuated,
            is_in_force: zone.out,
        });
        evacuations.collect()
    }

    /// Applies what another daemon of the same era knows of evacuations of former eras: of two evacuations the later one
    /// counts, and a daemon that has seen its end knows more than one that has not.
    pub(super) fn merge_evacuations(
        &mut self,
        evacuations: &[Evacuation],
        version: Version,
        now: Instant,
    ) {
        for Evacuation {
            zone,
            version: evacuated,
            is_in_force,
        } in evacuations
        {
            let known = self.zones.get(zone);
            let known_at = known.map_or(Version::default(), |zone| zone.evacuated);
            let is_out = known.is_some_and(|zone| zone.out);
            match is_in_force {
                true if known_at < *evacuated || (known_at == *evacuated && is_out) => {
                    self.keep_zone_out(zone, version);
                    self.restoration_learned(&[], now).is_settled = false;
                }
                false if known_at <= *evacuated && is_out => {
                    self.set_zone(zone, false, self.version(), now);
                }
                _ => (),
            }
            if let Some(zone) = self.zones.get_mut(zone) {
                zone.evacuated = zone.evacuated.max(*evacuated);
            }
        }
    }

    /// Applies the states of upstreams and the configuration that another daemon of the same era keeps in force, unless
    /// they have been given up here.
    pub(super) fn merge_awaited(&mut self, awaited: &[Item], now: Instant) {
        if awaited.is_empty() {
            return;
        }
        let restoration = self.restoration_learned(awaited, now);
        if now < restoration.at + REWRITE_TIME {
            restoration.is_settled = false;
            self.keep_awaited(awaited, now);
        }
    }

    /// The latest restoration, which this daemon may have learned of from another one.
    fn restoration_learned(&mut self, awaited: &[Item], now: Instant) -> &mut Restoration {
        let (before, start) = (Version::default(), self.era_start);
        self.restoration
            .get_or_insert_with(|| Restoration::new(before, start, awaited, now))
    }

    /// Gives up entries that were not written again in time.
    ///
    /// Returns the restoration once, when no entry is awaited any more.
    pub fn expire_awaited(&mut self, now: Instant) -> Option<Restoration> {
        let mut restoration = self.restoration.filter(|one| !one.is_settled)?;
        for known in self.upstreams.values_mut().filter(|k| k.awaits_write) {
            let is_kept = known.lapse_deadline.is_some();
            if known.lapse_deadline.is_some_and(|until| now >= until)
                || (!is_kept && now >= restoration.at + REWRITE_TIME)
            {
                known.awaits_write = false;
                restoration.given_up += 1;
            }
        }
        if now >= restoration.at + REWRITE_TIME {
            restoration.given_up +=
                usize::from(std::mem::take(&mut self.configuration_awaits_write));
        }
        restoration.is_settled = self.awaited() == 0;
        self.restoration = Some(restoration);
        Some(restoration).filter(|one| one.is_settled)
    }

    /// States of upstreams that stay in force until their entries are written again, which has not happened up to the
    /// current version.
    pub(super) fn awaited_items(&self, now: Instant) -> Vec<Item> {
        if self.restoration.is_none_or(|one| one.is_settled) {
            return Vec::new();
        }
        let version = self.version();
        let upstreams = self.upstreams().filter(|(_, known)| known.awaits_write);
        let upstreams = upstreams.map(|(id, known)| {
            let is_held_out = known.unlisted.is_some() && known.lapse_deadline.is_none();
            let change = match is_held_out {
                true => Change::Unlisted(id, None),
                false => Change::Listed(id, known.current(now)),
            };
            Item::without_key(version, change)
        });
        upstreams.collect()
    }
}

/// Whether a change in force keeps an upstream in use.
fn is_kept(change: &Change) -> bool {
    matches!(change, Change::Listed(_, upstream) if upstream.state == UpstreamState::Serving)
}
