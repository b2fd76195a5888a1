//! What a daemon knows of upstreams, zones and routes.

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

/// How long an entry that lapsed in an outage of the platform may take to return: the platform names two seconds,
/// and a fifth of a second is for the way here.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_200);

/// How long upstreams of a returned zone count as cold unless their entries say how they are: two heartbeats,
/// the second of which shows a warm-up that began just before the return.
pub const RETURN_GRACE: Duration = Duration::from_millis(2_500);

/// Time after the return of a zone by which each of its upstreams has said how it is: one heartbeat, which the platform
/// keeps approximately.
pub const RETURN_HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Fewest entries that must vanish together to be taken for a lapse.
const LAPSE_MIN: usize = 2;

/// An upstream with what is known of its entry.
#[derive(Clone, Debug)]
pub struct TrackedUpstream {
    /// The entry as it was last.
    pub upstream: Upstream,
    /// Revision of its last change.
    pub revision: u64,
    /// Revision of the last change that is worth telling those who know the state before.
    pub announced_revision: u64,
    /// When it will be warm, at the latest: an entry that is read late makes it later.
    pub warm_at: Instant,
    /// The same when it was worth telling last.
    pub announced_warm_at: Instant,
    /// When its entry went, if it did.
    pub unlisted: Option<Instant>,
    /// Until when an entry that vanished in an outage may still return.
    pub lapse_deadline: Option<Instant>,
}

impl TrackedUpstream {
    /// Whether new flows may go there by its own word.
    pub fn is_serving(&self, now: Instant) -> bool {
        !self.is_gone(now) && self.upstream.state == UpstreamState::Serving
    }

    /// Whether its entry has gone, and not just lapsed in an outage.
    pub fn is_gone(&self, now: Instant) -> bool {
        self.unlisted.is_some() && self.lapse_deadline.is_none_or(|until| now >= until)
    }

    /// Whether it is still cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.warm_at
    }
}

/// What taking a change over did, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is in force.
    Applied,
    /// It is older than what is known.
    Stale,
    /// It cannot be used, for this reason.
    Refused(Rc<str>),
    /// It is not for the balancer.
    Ignored,
}

/// Where changes come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// The platform's store.
    Store,
    /// Another daemon, which may have left out what it did not find worth telling.
    Peer,
}

#[derive(Clone, Debug)]
struct Zone {
    revision: u64,
    out: bool,
    /// When it was taken back.
    returned: Option<Instant>,
}

/// Upstreams, zones and routes as published; nothing in it ever goes back to an older revision.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    revision: u64,
    configuration: Option<(u64, Rc<Configuration>)>,
    upstreams: HashMap<UpstreamId, TrackedUpstream>,
    services: HashMap<Rc<str>, Vec<UpstreamId>>,
    labels: HashMap<Label, SmallVec<[UpstreamId; 1]>>,
    zones: HashMap<Rc<str>, Zone>,
    recovered_at: Option<Instant>,
    /// Until when upstreams may be on their way back after a start or an outage of the platform.
    settles: Option<Instant>,
    /// Time up to which no change is missing.
    as_of: Option<Instant>,
    /// Highest revision of a removal that is not known, or no longer.
    compacted_revision: u64,
}

impl Directory {
    /// Revision up to which everything is known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether there is a configuration to serve by.
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

    /// Zones that were ever out of service, with the revision of the last change and whether they are.
    pub(super) fn zones(&self) -> impl Iterator<Item = (&Rc<str>, u64, bool)> {
        let zones = self.zones.iter();
        zones.map(|(name, zone)| (name, zone.revision, zone.out))
    }

    /// Revision from which on all removals are known.
    pub(super) fn compacted_revision(&self) -> u64 {
        self.compacted_revision
    }

    /// One upstream, also one whose entry has gone.
    pub fn get(&self, id: UpstreamId) -> Option<&TrackedUpstream> {
        self.upstreams.get(&id)
    }

    /// All upstreams, also those whose entries have gone.
    pub fn upstreams(&self) -> impl Iterator<Item = (UpstreamId, &TrackedUpstream)> {
        self.upstreams.iter().map(|(id, known)| (*id, known))
    }

    /// Upstreams of a service.
    pub fn of_service(&self, service: &str) -> &[UpstreamId] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Upstreams with a label, the one that takes the flows first.
    pub fn with_label(&self, label: Label) -> &[UpstreamId] {
        self.labels.get(&label).map_or(&[], SmallVec::as_slice)
    }

    /// Whether a zone is out of service.
    pub fn is_out(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|zone| zone.out)
    }

    /// Whether the upstreams of a zone may have become cold unseen, since it was taken back just now.
    ///
    /// It is over as soon as the view holds what each of them said since, and after [`RETURN_GRACE`] at the latest.
    pub fn has_returned(&self, zone: &str, now: Instant) -> bool {
        let zone = self.zones.get(zone);
        zone.is_some_and(|zone| self.is_unheard(zone, now))
    }

    /// When to look at what the upstreams of a returned zone say, if one has returned just now.
    pub fn recheck_at(&self, now: Instant) -> Option<Instant> {
        let zones = self.zones.values();
        let unheard = zones.filter(|zone| self.is_unheard(zone, now));
        unheard
            .filter_map(|zone| zone.returned)
            .map(|at| at + RETURN_HEARTBEAT)
            .min()
    }

    fn is_unheard(&self, zone: &Zone, now: Instant) -> bool {
        zone.returned.is_some_and(|at| {
            now < at + RETURN_GRACE && self.as_of.is_none_or(|as_of| as_of < at + RETURN_HEARTBEAT)
        })
    }

    /// Notes that no change up to `at` is missing.
    pub fn confirm(&mut self, at: Instant) {
        self.as_of = self.as_of.max(Some(at));
    }

    /// Time up to which no change is missing; nothing before the first whole answer.
    pub fn as_of(&self) -> Option<Instant> {
        self.as_of
    }

    /// Notes that the platform answers again after an outage.
    pub fn record_recovery(&mut self, now: Instant) {
        self.recovered_at = Some(now);
        self.settles = Some(now + LAPSE_GRACE);
    }

    /// When the platform answered again after its last outage.
    pub fn recovered_at(&self) -> Option<Instant> {
        self.recovered_at
    }

    /// Whether an upstream that is not listed now is gone, and not just on its way back.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.settles.is_some_and(|until| now >= until)
    }

    /// Takes over changes up to `revision`.
    pub fn apply(&mut self, revision: u64, items: &[Item], now: Instant) -> Vec<Outcome> {
        self.note_mass_lapse(items, now);
        self.apply_items(revision, items, Origin::Store, now)
    }

    /// Takes over changes up to `revision` without a look at whether entries lapsed.
    pub(super) fn apply_items(
        &mut self,
        revision: u64,
        items: &[Item],
        origin: Origin,
        now: Instant,
    ) -> Vec<Outcome> {
        self.settles.get_or_insert(now + LAPSE_GRACE);
        let outcomes = items.iter().map(|item| self.take(item, origin, now));
        let outcomes = outcomes.collect();
        self.revision = self.revision.max(revision);
        // Without changes the order can differ only for upstreams whose lapse is over.
        if !items.is_empty()
            || self
                .upstreams
                .values()
                .any(|known| known.lapse_deadline.is_some())
        {
            self.index(now);
        }
        outcomes
    }

    /// Takes over a full list whose first page has `revision`; what it lacks is gone.
    ///
    /// Returns nothing when the list is older than what is known.
    pub fn replace(&mut self, revision: u64, items: &[Item], now: Instant) -> Option<Vec<Outcome>> {
        let all = self.add_implied_removals(revision, items)?;
        Some(self.apply(revision, &all, now))
    }

    /// The entries of a full list after the removals that it implies; nothing when it is older than what is known.
    pub(super) fn add_implied_removals(
        &mut self,
        revision: u64,
        items: &[Item],
    ) -> Option<Vec<Item>> {
        if revision < self.revision {
            return None;
        }
        self.note_unknown(revision);
        let mut all = self.missing(revision, items);
        all.extend_from_slice(items);
        Some(all)
    }

    /// Notes that removals up to `revision` may be unknown here.
    fn note_unknown(&mut self, revision: u64) {
        self.compacted_revision = self.compacted_revision.max(revision);
    }

    /// Forgets upstreams whose entries went longer than `keep` ago.
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
        self.note_unknown(compacted_revision);
        if self.upstreams.len() < before {
            self.index(now);
        }
    }

    /// Removals that a full list implies.
    fn missing(&self, revision: u64, items: &[Item]) -> Vec<Item> {
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

    /// Takes entries that vanish together for a lapse, since servers do not crash together but their leases do end
    /// together when the platform does not hear them.
    fn note_mass_lapse(&mut self, items: &[Item], now: Instant) {
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

    fn take(&mut self, item: &Item, origin: Origin, now: Instant) -> Outcome {
        match &item.change {
            Change::Listed(id, upstream) => self.list(*id, upstream, item.revision, origin, now),
            Change::Unlisted(id, reason) => {
                let taken = self.unlist(*id, item.revision, now);
                match reason {
                    Some(reason) => Outcome::Refused(Rc::clone(reason)),
                    None => taken,
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
            if origin == Origin::Store && change_set::is_same(known, upstream, now) {
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
            self.note_unknown(revision);
            return Outcome::Ignored;
        };
        if revision < known.revision {
            return Outcome::Stale;
        }
        if known.unlisted.is_some() {
            // It was listed again meanwhile, which was not seen here.
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

    /// Rebuilds the indexes.
    ///
    /// Of two upstreams with one label the one with a live entry, then the older entry, comes first, so that all
    /// daemons choose the same one.
    fn index(&mut self, now: Instant) {
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
