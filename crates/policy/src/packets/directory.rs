//! Directory of the upstreams, zones and routes that the platform publishes.

use super::{
    change_set,
    entry::{
        Change,
        Configuration,
        Item,
        Upstream,
        UpstreamId,
        UpstreamState, //
    },
    packet::Label,
};
use smallvec::SmallVec;
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
    /// Revision of the last change to the entry.
    pub revision: u64,
    /// Revision of the last significant change, which must be sent to peers that have the previous state.
    pub announced_revision: u64,
    /// Latest end of the warm-up; an entry that is read late yields a later time.
    pub warm_at: Instant,
    /// Value of `warm_at` at the last significant change.
    pub announced_warm_at: Instant,
    /// When the entry was removed, if it was.
    pub unlisted: Option<Instant>,
    /// Time until which an entry removed in an outage may still return.
    pub lapse_deadline: Option<Instant>,
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
struct Zone {
    revision: u64,
    out: bool,
    /// When the zone last returned to service.
    returned: Option<Instant>,
}

/// Published upstreams, zones and routes. Nothing in it is ever replaced by an older revision.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    revision: u64,
    configuration: Option<(u64, Rc<Configuration>)>,
    upstreams: HashMap<UpstreamId, TrackedUpstream>,
    services: HashMap<Rc<str>, Vec<UpstreamId>>,
    labels: HashMap<Label, SmallVec<[UpstreamId; 1]>>,
    zones: HashMap<Rc<str>, Zone>,
    recovered_at: Option<Instant>,
    /// Time until which upstreams may still register again after a start of the daemon or an outage of the platform.
    settled_at: Option<Instant>,
    /// Time up to which no change is missing.
    as_of: Option<Instant>,
    /// Highest revision of a removal that is not recorded here, or was evicted.
    compacted_revision: u64,
}

impl Directory {
    /// Revision up to which the directory holds all changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether the directory holds a configuration.
    pub fn is_ready(&self) -> bool {
        self.configuration.is_some()
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&Rc<Configuration>> {
        self.configuration.as_ref().map(|(_, cfg)| cfg)
    }

    /// The configuration in force with its revision.
    pub(super) fn configured(&self) -> Option<(u64, &Rc<Configuration>)> {
        self.configuration
            .as_ref()
            .map(|(revision, cfg)| (*revision, cfg))
    }

    /// Recorded zones, with the revision of the last change and whether the zone is out of service.
    pub(super) fn zones(&self) -> impl Iterator<Item = (&Rc<str>, u64, bool)> {
        let zones = self.zones.iter();
        zones.map(|(name, zone)| (name, zone.revision, zone.out))
    }

    /// Revision after which all removals are recorded.
    pub(super) fn compacted_revision(&self) -> u64 {
        self.compacted_revision
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

    /// Upstreams with a label; the first one gets the flows.
    pub fn with_label(&self, label: Label) -> &[UpstreamId] {
        self.labels.get(&label).map_or(&[], SmallVec::as_slice)
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

    /// Applies changes up to `revision`.
    pub fn apply(&mut self, revision: u64, items: &[Item], now: Instant) -> Vec<Outcome> {
        self.detect_mass_lapse(items, now);
        self.apply_items(revision, items, Origin::Store, now)
    }

    /// Applies changes up to `revision` without checking whether entries lapsed.
    pub(super) fn apply_items(
        &mut self,
        revision: u64,
        items: &[Item],
        origin: Origin,
        now: Instant,
    ) -> Vec<Outcome> {
        self.settled_at.get_or_insert(now + LAPSE_GRACE);
        let outcomes = items.iter().map(|item| self.update(item, origin, now));
        let outcomes = outcomes.collect();
        self.revision = self.revision.max(revision);
        // Without changes, the order of upstreams with one label can only differ because the deadline of a lapsed entry
        // has passed.
        if !items.is_empty()
            || self
                .upstreams
                .values()
                .any(|known| known.lapse_deadline.is_some())
        {
            self.rebuild_indexes(now);
        }
        outcomes
    }

    /// Applies a full list whose first page has `revision`; entries that are not in it are removed.
    ///
    /// Returns `None` if the list is older than the directory.
    pub fn replace(&mut self, revision: u64, items: &[Item], now: Instant) -> Option<Vec<Outcome>> {
        let all = self.add_implied_removals(revision, items)?;
        Some(self.apply(revision, &all, now))
    }

    /// Returns the removals that a full list implies, followed by its entries; `None` if it is older than the
    /// directory.
    pub(super) fn add_implied_removals(
        &mut self,
        revision: u64,
        items: &[Item],
    ) -> Option<Vec<Item>> {
        if revision < self.revision {
            return None;
        }
        self.raise_compacted_revision(revision);
        let mut all = self.implied_removals(revision, items);
        all.extend_from_slice(items);
        Some(all)
    }

    /// Records that removals up to `revision` may be missing here.
    fn raise_compacted_revision(&mut self, revision: u64) {
        self.compacted_revision = self.compacted_revision.max(revision);
    }

    /// Evicts upstreams whose entries were removed longer than `keep` ago.
    pub fn evict(&mut self, keep: Duration, now: Instant) {
        let before = self.upstreams.len();
        let mut compacted_revision = 0;
        self.upstreams.retain(|_, known| {
            let is_kept = known.unlisted.is_none_or(|at| now < at + keep);
            if !is_kept {
                compacted_revision = compacted_revision.max(known.revision);
            }
            is_kept
        });
        self.raise_compacted_revision(compacted_revision);
        if self.upstreams.len() < before {
            self.rebuild_indexes(now);
        }
    }

    /// Removals implied by a full list.
    fn implied_removals(&self, revision: u64, items: &[Item]) -> Vec<Item> {
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
        let item = |change| Item {
            key: "".into(),
            revision,
            change,
        };
        let gone = self
            .upstreams
            .iter()
            .filter(|(id, known)| known.unlisted.is_none() && !upstreams.contains(id))
            .map(|(id, _)| item(Change::Unlisted(*id, None)));
        let back = self
            .zones
            .iter()
            .filter(|(name, zone)| zone.out && !zones.contains(name.as_ref()))
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
            Change::Listed(id, upstream) => self.list(*id, upstream, item.revision, origin, now),
            Change::Unlisted(id, reason) => {
                let outcome = self.unlist(*id, item.revision, now);
                match reason {
                    Some(reason) => Outcome::Refused(Rc::clone(reason)),
                    None => outcome,
                }
            }
            Change::Configured(cfg) => self.configure(cfg, item.revision),
            Change::Zone { zone, out } => self.set_zone(zone, *out, item.revision, now),
            Change::Unusable(reason) => Outcome::Refused(Rc::clone(reason)),
            Change::Foreign => Outcome::Ignored,
        }
    }

    fn list(
        &mut self,
        id: UpstreamId,
        upstream: &Upstream,
        revision: u64,
        origin: Origin,
        now: Instant,
    ) -> Outcome {
        let mut announced_revision = revision;
        let mut warm_at = now + upstream.warmup_left;
        let mut announced_warm_at = warm_at;
        if let Some(known) = self.upstreams.get(&id) {
            if revision <= known.revision {
                return Outcome::Stale;
            }
            if origin == Origin::Store && change_set::is_unchanged(known, upstream, now) {
                announced_revision = known.announced_revision;
                announced_warm_at = known.announced_warm_at;
                warm_at = warm_at.min(known.warm_at);
            }
        }
        let known = TrackedUpstream {
            upstream: upstream.clone(),
            revision,
            announced_revision,
            warm_at,
            announced_warm_at,
            unlisted: None,
            lapse_deadline: None,
        };
        self.upstreams.insert(id, known);
        Outcome::Applied
    }

    fn unlist(&mut self, id: UpstreamId, revision: u64, now: Instant) -> Outcome {
        let Some(known) = self.upstreams.get_mut(&id) else {
            self.raise_compacted_revision(revision);
            return Outcome::Ignored;
        };
        if revision < known.revision {
            return Outcome::Stale;
        }
        if known.unlisted.is_some() {
            // The entry was listed again in the meantime and removed once more; only the second removal arrived here.
            known.revision = revision;
            known.announced_revision = revision;
            return Outcome::Stale;
        }
        let lapse_deadline = self.recovered_at.map(|at| at + LAPSE_GRACE);
        known.lapse_deadline = lapse_deadline.filter(|until| now < *until);
        known.revision = revision;
        known.announced_revision = revision;
        known.unlisted = Some(now);
        Outcome::Applied
    }

    fn configure(&mut self, cfg: &Configuration, revision: u64) -> Outcome {
        if let Some((known, current)) = &self.configuration {
            if revision <= *known || cfg.version < current.version {
                return Outcome::Stale;
            }
        }
        self.configuration = Some((revision, Rc::new(cfg.clone())));
        Outcome::Applied
    }

    fn set_zone(&mut self, name: &Rc<str>, out: bool, revision: u64, now: Instant) -> Outcome {
        let known = self.zones.get(name);
        if known.is_some_and(|zone| revision < zone.revision) {
            return Outcome::Stale;
        }
        let was_out = known.is_some_and(|zone| zone.out);
        let returned = match was_out && !out {
            true => Some(now),
            false => known.and_then(|zone| zone.returned),
        };
        let zone = Zone {
            revision,
            out,
            returned,
        };
        self.zones.insert(Rc::clone(name), zone);
        Outcome::Applied
    }

    /// Rebuilds the indexes by service and label.
    ///
    /// Of several upstreams with one label, those with a serving entry come first, then older ones (lower ids), so that
    /// all daemons choose the same one.
    fn rebuild_indexes(&mut self, now: Instant) {
        self.services.clear();
        self.labels.clear();
        let mut ids: Vec<_> = self.upstreams.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            let known = &self.upstreams[&id];
            let service = Rc::clone(&known.upstream.service);
            self.services.entry(service).or_default().push(id);
            self.labels.entry(id.label()).or_default().push(id);
        }
        let upstreams = &self.upstreams;
        for ids in self.labels.values_mut().filter(|ids| ids.len() > 1) {
            ids.sort_by_key(|id| (!upstreams[id].is_serving(now), *id));
        }
    }
}
