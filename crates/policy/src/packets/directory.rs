//! Directory of the upstreams, zones and routes that the platform publishes.

use super::{
    change_set,
    configuration_delta::{
        ConfigurationHistory,
        ConfigurationId, //
    },
    entry::{
        Change,
        Configuration,
        Item,
        Upstream,
        UpstreamId,
        UpstreamState, //
    },
    labels::Labels,
    packet::Label,
    restoration::{
        NewEra,
        Restoration, //
    },
    version::Version,
};
use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// How long an entry that lapsed in an outage of the platform may take to return: two seconds by the platform's
/// documentation, and a fifth of a second for the transfer.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_200);

/// How long upstreams of a zone that is back in service are treated as cold unless their entries are updated earlier:
/// two heartbeats, because only the second one reveals a warm-up that began just before the return.
pub const RETURN_GRACE: Duration = Duration::from_millis(2_500);

/// Time after the return of a zone by which each of its upstreams has updated its entry: one heartbeat, whose period is
/// only approximate.
pub const RETURN_HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Smallest number of entries removed together that is treated as a lapse.
const LAPSE_MIN: usize = 2;

/// Upstream with the state of its entry.
#[derive(Clone, Debug)]
pub struct TrackedUpstream {
    /// The entry as last published, kept after its removal.
    pub upstream: Upstream,
    /// Version of the last change to the entry.
    pub version: Version,
    /// Version of the last significant change, which must be sent to peers that have the previous state.
    pub announced: Version,
    /// Latest end of the warm-up; an entry that is read late yields a later time.
    pub warm_at: Instant,
    /// Value of `warm_at` at the last significant change.
    pub announced_warm_at: Instant,
    /// When the entry was removed, if it was.
    pub unlisted: Option<Instant>,
    /// Time until which an entry removed in an outage may still return.
    pub lapse_deadline: Option<Instant>,
    /// Whether this state is newer than the entry in a copy from which the store was restored, and stays in force until
    /// the entry is written again.
    pub awaits_write: bool,
}

impl TrackedUpstream {
    /// Whether the upstream accepts new flows according to its entry.
    pub fn is_serving(&self, now: Instant) -> bool {
        !self.is_gone(now) && self.upstream.state == UpstreamState::Serving
    }

    /// Whether the entry was removed, rather than only lapsed in an outage.
    pub fn is_gone(&self, now: Instant) -> bool {
        self.unlisted.is_some() && self.lapse_deadline.is_none_or(|until| now >= until)
    }

    /// The entry with the warm-up time that is left at `now`.
    pub(super) fn current(&self, now: Instant) -> Upstream {
        Upstream {
            warmup_left: self.warm_at.saturating_duration_since(now),
            ..self.upstream.clone()
        }
    }

    /// Whether the upstream is still warming up.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.warm_at
    }
}

/// Outcome of applying a change, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The change is in force.
    Applied,
    /// The change is older than the directory.
    Stale,
    /// The entry is unusable, for this reason.
    Refused(Rc<str>),
    /// The entry does not concern the balancer.
    Ignored,
}

/// Source of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// The platform's store.
    Store,
    /// Another daemon, which may have left out insignificant changes.
    Peer,
}

#[derive(Clone, Debug)]
pub(super) struct Zone {
    pub(super) version: Version,
    pub(super) out: bool,
    /// Version of the entry by which the zone last went out of service, in the era in which it was written.
    pub(super) evacuated: Version,
    /// When the zone last returned to service.
    pub(super) returned: Option<Instant>,
    /// Whether this state is newer than a copy from which the store was restored.
    pub(super) awaits_write: bool,
}

/// Published upstreams, zones and routes. Nothing in it is ever replaced by an older version.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    version: Version,
    pub(super) configuration: Option<(Version, Rc<Configuration>)>,
    pub(super) configuration_history: ConfigurationHistory,
    /// Whether the configuration is newer than a copy from which the store was restored.
    pub(super) configuration_awaits_write: bool,
    pub(super) upstreams: HashMap<UpstreamId, TrackedUpstream>,
    services: HashMap<Rc<str>, Vec<UpstreamId>>,
    labels: Labels,
    pub(super) zones: HashMap<Rc<str>, Zone>,
    /// First known version of the era: entries up to it may come from a copy, later ones were written in this era.
    pub(super) era_start: Version,
    pub(super) restoration: Option<Restoration>,
    recovered_at: Option<Instant>,
    /// Time until which upstreams may still register again after a start of the daemon or an outage of the platform.
    settled_at: Option<Instant>,
    /// Time up to which no change is missing.
    as_of: Option<Instant>,
    /// Highest version of a removal that is not recorded here, or was evicted.
    compacted: Version,
}

impl Directory {
    /// Whether an upstream accepts new flows at all.
    pub fn accepts_flows(&self, known: &TrackedUpstream, now: Instant) -> bool {
        let zone = &known.upstream.zone;
        let cold = known.is_cold(now) || self.has_returned(zone, now);
        known.is_serving(now) && !cold && !self.is_out(zone)
    }

    /// Version up to which the directory holds all changes.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Whether the directory holds a configuration.
    pub fn is_ready(&self) -> bool {
        self.configuration.is_some()
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&Rc<Configuration>> {
        self.configuration.as_ref().map(|(_, cfg)| cfg)
    }

    /// The configuration in force with its version in the store.
    pub(super) fn configured(&self) -> Option<(Version, &Rc<Configuration>)> {
        self.configuration
            .as_ref()
            .map(|(version, cfg)| (*version, cfg))
    }

    /// Identity of the configuration in force.
    pub fn configuration_id(&self) -> Option<ConfigurationId> {
        let (written, cfg) = self.configured()?;
        Some(ConfigurationId {
            written,
            version: cfg.version,
        })
    }

    /// Version after which all removals are recorded.
    pub(super) fn compacted(&self) -> Version {
        self.compacted
    }

    /// Returns an upstream, also one whose entry was removed.
    pub fn get(&self, id: UpstreamId) -> Option<&TrackedUpstream> {
        self.upstreams.get(&id)
    }

    /// All upstreams, including those whose entries were removed.
    pub fn upstreams(&self) -> impl Iterator<Item = (UpstreamId, &TrackedUpstream)> {
        self.upstreams.iter().map(|(id, known)| (*id, known))
    }

    /// Upstreams of a service, including those whose entries were removed.
    pub fn of_service(&self, service: &str) -> &[UpstreamId] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// The upstream whose flows carry a label.
    pub fn with_label(&self, label: Label) -> Option<UpstreamId> {
        self.labels.upstream(label).or_else(|| {
            // Daemons that know other upstreams than this one may give this upstream another of its labels.
            let known = self.upstreams.iter();
            let known = known.filter(|(id, _)| id.has_label(label));
            let oldest = known.min_by_key(|(id, known)| (known.upstream.seniority, **id));
            oldest.map(|(id, _)| *id)
        })
    }

    /// Label for new flows of an upstream; `None` if other upstreams have both of its labels.
    pub fn label_of(&self, id: UpstreamId) -> Option<Label> {
        self.labels.of(id)
    }

    /// Whether a zone is out of service.
    pub fn is_out(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|zone| zone.out)
    }

    /// Whether a zone returned to service so recently that its upstreams may be cold although their entries say
    /// otherwise.
    ///
    /// Returns false once the directory holds an update of each of them since the return, and after [`RETURN_GRACE`]
    /// at the latest.
    pub fn has_returned(&self, zone: &str, now: Instant) -> bool {
        let zone = self.zones.get(zone);
        zone.is_some_and(|zone| self.awaits_heartbeat(zone, now))
    }

    /// Time by which the upstreams of a recently returned zone have updated their entries; `None` if no zone just
    /// returned.
    pub fn recheck_at(&self, now: Instant) -> Option<Instant> {
        let zones = self.zones.values();
        let returning = zones.filter(|zone| self.awaits_heartbeat(zone, now));
        returning
            .filter_map(|zone| zone.returned)
            .map(|at| at + RETURN_HEARTBEAT)
            .min()
    }

    fn awaits_heartbeat(&self, zone: &Zone, now: Instant) -> bool {
        zone.returned.is_some_and(|at| {
            now < at + RETURN_GRACE && self.as_of.is_none_or(|as_of| as_of < at + RETURN_HEARTBEAT)
        })
    }

    /// Records that no change up to `at` is missing.
    pub fn confirm(&mut self, at: Instant) {
        self.as_of = self.as_of.max(Some(at));
    }

    /// Time up to which no change is missing; `None` before the first complete answer.
    pub fn as_of(&self) -> Option<Instant> {
        self.as_of
    }

    /// Records that the platform answers again after an outage.
    pub fn record_recovery(&mut self, now: Instant) {
        self.recovered_at = Some(now);
        self.settled_at = Some(now + LAPSE_GRACE);
    }

    /// When the platform recovered from its last outage.
    pub fn recovered_at(&self) -> Option<Instant> {
        self.recovered_at
    }

    /// Whether an upstream without an entry is gone, rather than about to register again.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.settled_at.is_some_and(|until| now >= until)
    }

    /// Applies changes up to `version`.
    pub fn apply(&mut self, version: Version, items: &[Item], now: Instant) -> Vec<Outcome> {
        self.detect_mass_lapse(items, now);
        self.apply_items(version, items, Origin::Store, now)
    }

    /// Applies changes up to `version` without checking whether entries lapsed.
    pub(super) fn apply_items(
        &mut self,
        version: Version,
        items: &[Item],
        origin: Origin,
        now: Instant,
    ) -> Vec<Outcome> {
        self.settled_at.get_or_insert(now + LAPSE_GRACE);
        let outcomes = items.iter().map(|item| self.update(item, origin, now));
        let outcomes = outcomes.collect();
        self.version = self.version.max(version);
        if !items.is_empty() {
            self.rebuild_indexes();
        }
        outcomes
    }

    /// Applies a full list whose first page has `version`; entries that are not in it are removed, unless the list
    /// begins a new era and they may be newer than the copy from which the store was restored.
    ///
    /// Returns `None` if the list is older than the directory.
    pub fn replace(
        &mut self,
        version: Version,
        items: &[Item],
        now: Instant,
    ) -> Option<Vec<Outcome>> {
        self.replace_all(NewEra::of_store(version), items, now)
    }

    /// Applies a full list of the store or of another daemon, as [`Directory::replace`] does.
    pub(super) fn replace_all(
        &mut self,
        era: NewEra,
        items: &[Item],
        now: Instant,
    ) -> Option<Vec<Outcome>> {
        let all = self.add_implied_removals(era.version, items)?;
        let awaited = self.begin_era(era, items, now);
        let outcomes = match era.origin {
            Origin::Store => self.apply(era.version, &all, now),
            Origin::Peer => self.apply_items(era.version, &all, Origin::Peer, now),
        };
        if let Some(awaited) = awaited {
            self.end_restoration(&awaited, now);
        }
        Some(outcomes)
    }

    /// Returns the removals that a full list implies, followed by its entries; `None` if it is older than the
    /// directory.
    fn add_implied_removals(&mut self, version: Version, items: &[Item]) -> Option<Vec<Item>> {
        if version < self.version {
            return None;
        }
        self.raise_compacted(version);
        let mut all = self.implied_removals(version, items);
        all.extend_from_slice(items);
        Some(all)
    }

    /// Records that removals up to `version` may be missing here.
    fn raise_compacted(&mut self, version: Version) {
        self.compacted = self.compacted.max(version);
    }

    /// Evicts upstreams whose entries were removed longer than `keep` ago.
    pub fn evict(&mut self, keep: Duration, now: Instant) {
        let before = self.upstreams.len();
        let mut compacted = Version::default();
        self.upstreams.retain(|_, known| {
            let is_kept = known.unlisted.is_none_or(|at| now < at + keep);
            if !is_kept {
                compacted = compacted.max(known.version);
            }
            is_kept
        });
        self.raise_compacted(compacted);
        if self.upstreams.len() < before {
            self.rebuild_indexes();
        }
    }

    /// Removals implied by a full list.
    fn implied_removals(&self, version: Version, items: &[Item]) -> Vec<Item> {
        let mut upstreams = HashSet::new();
        let mut zones: HashSet<&str> = HashSet::new();
        for item in items {
            match &item.change {
                Change::Listed(id, _) | Change::Unlisted(id, _) => {
                    upstreams.insert(*id);
                }
                Change::Zone { zone, .. } => {
                    zones.insert(zone);
                }
                Change::Configured(_) | Change::Unusable(_) | Change::Foreign => (),
            }
        }
        let item = |change| Item::without_key(version, change);
        let gone = self
            .upstreams
            .iter()
            .filter(|(id, known)| known.unlisted.is_none() && !upstreams.contains(id))
            .map(|(id, _)| item(Change::Unlisted(*id, None)));
        let back = self
            .zones
            .iter()
            // A restored store may have lost the evacuation of a former era.
            .filter(|(_, zone)| zone.out && zone.evacuated.era == version.era)
            .filter(|(name, _)| !zones.contains(name.as_ref()))
            .map(|(name, _)| {
                item(Change::Zone {
                    zone: Rc::clone(name),
                    out: false,
                })
            });
        gone.chain(back).collect()
    }

    /// Treats entries that are removed together as lapsed: servers do not crash together, but their leases do expire
    /// together when the platform does not receive their heartbeats.
    fn detect_mass_lapse(&mut self, items: &[Item], now: Instant) {
        let mut gone: HashMap<&Rc<str>, usize> = HashMap::new();
        for item in items {
            let Change::Unlisted(id, None) = &item.change else {
                continue;
            };
            let Some(known) = self.upstreams.get(id).filter(|k| k.is_serving(now)) else {
                continue;
            };
            *gone.entry(&known.upstream.service).or_default() += 1;
        }
        let lapse = gone.iter().any(|(service, gone)| {
            let all = self.of_service(service).iter();
            let serving = all.filter(|id| self.upstreams[id].is_serving(now)).count();
            *gone >= LAPSE_MIN && gone * 2 > serving
        });
        if lapse {
            self.record_recovery(now);
        }
    }

    fn update(&mut self, item: &Item, origin: Origin, now: Instant) -> Outcome {
        match &item.change {
            Change::Listed(id, upstream) => self.list(*id, upstream, item.version, origin, now),
            Change::Unlisted(id, reason) => {
                let outcome = self.unlist(*id, item.version, now);
                match reason {
                    Some(reason) => Outcome::Refused(Rc::clone(reason)),
                    None => outcome,
                }
            }
            Change::Configured(cfg) => self.configure(cfg, item.version),
            Change::Zone { zone, out } => self.set_zone(zone, *out, item.version, now),
            Change::Unusable(reason) => Outcome::Refused(Rc::clone(reason)),
            Change::Foreign => Outcome::Ignored,
        }
    }

    fn list(
        &mut self,
        id: UpstreamId,
        upstream: &Upstream,
        version: Version,
        origin: Origin,
        now: Instant,
    ) -> Outcome {
        let mut announced = version;
        let mut warm_at = now + upstream.warmup_left;
        let mut announced_warm_at = warm_at;
        if let Some(known) = self.upstreams.get(&id) {
            if version <= known.version {
                return Outcome::Stale;
            }
            let is_of_copy = version.era > known.version.era
                && version <= self.era_start
                && version.revision <= known.version.revision;
            if origin == Origin::Store && is_of_copy {
                // The entry may show a warm-up that began or ended since the copy was taken.
                warm_at = warm_at.max(known.warm_at);
                announced_warm_at = warm_at;
            } else if origin == Origin::Store
                && !self.is_first_of_era(known.version)
                && change_set::is_unchanged(known, upstream, now)
            {
                announced = known.announced;
                announced_warm_at = known.announced_warm_at;
                warm_at = warm_at.min(known.warm_at);
            }
        }
        let known = TrackedUpstream {
            upstream: upstream.clone(),
            version,
            announced,
            warm_at,
            announced_warm_at,
            unlisted: None,
            lapse_deadline: None,
            awaits_write: false,
        };
        self.upstreams.insert(id, known);
        Outcome::Applied
    }

    /// Whether the next change of an entry is the first one that was surely written in the era, for which other daemons
    /// may wait.
    fn is_first_of_era(&self, known: Version) -> bool {
        self.era_start.era > 0 && known <= self.era_start
    }

    fn unlist(&mut self, id: UpstreamId, version: Version, now: Instant) -> Outcome {
        let Some(known) = self.upstreams.get_mut(&id) else {
            self.raise_compacted(version);
            return Outcome::Ignored;
        };
        if version < known.version {
            return Outcome::Stale;
        }
        known.version = version;
        known.announced = version;
        known.awaits_write = false;
        if known.unlisted.is_some() {
            // The entry was listed again in the meantime and removed once more; only the second removal arrived here.
            return Outcome::Stale;
        }
        let lapse_deadline = self.recovered_at.map(|at| at + LAPSE_GRACE);
        known.lapse_deadline = lapse_deadline.filter(|until| now < *until);
        known.unlisted = Some(now);
        Outcome::Applied
    }

    fn configure(&mut self, cfg: &Configuration, version: Version) -> Outcome {
        let id = self.configuration_id();
        if id.is_some_and(|id| version <= id.written || cfg.version < id.version) {
            return Outcome::Stale;
        }
        self.replace_configuration(cfg, version);
        self.configuration_awaits_write = false;
        Outcome::Applied
    }

    /// Replaces the configuration in force, and records in which routes they differ.
    pub(super) fn replace_configuration(&mut self, cfg: &Configuration, version: Version) {
        if let Some((id, (_, current))) = self.configuration_id().zip(self.configuration.as_ref()) {
            self.configuration_history.record(id, current, cfg);
        }
        self.configuration = Some((version, Rc::new(cfg.clone())));
    }

    pub(super) fn set_zone(
        &mut self,
        name: &Rc<str>,
        out: bool,
        version: Version,
        now: Instant,
    ) -> Outcome {
        let known = self.zones.get(name);
        if known.is_some_and(|zone| version < zone.version) {
            return Outcome::Stale;
        }
        let was_out = known.is_some_and(|zone| zone.out);
        let returned = match was_out && !out {
            true => Some(now),
            false => known.and_then(|zone| zone.returned),
        };
        let zone = Zone {
            version,
            out,
            evacuated: match out {
                true => version,
                false => known.map_or(Version::default(), |zone| zone.evacuated),
            },
            returned,
            awaits_write: false,
        };
        self.zones.insert(Rc::clone(name), zone);
        Outcome::Applied
    }

    /// Rebuilds the index by service, and assigns labels to new upstreams.
    pub(super) fn rebuild_indexes(&mut self) {
        self.services.clear();
        let mut ids: Vec<_> = self.upstreams.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            let known = &self.upstreams[&id];
            let service = Rc::clone(&known.upstream.service);
            self.services.entry(service).or_default().push(id);
        }
        self.labels.assign(&self.upstreams);
    }
}
