//! Members of the fleet, their liveness and incarnations.
//!
//! Liveness comes from probing a few random members a second, with suspicion before removal, and
//! spreads as gossip on the probes themselves. The platform's list only gives names.
//!
//! Two records of one VM are ordered by `version`, then by state, then by incarnation. The
//! incarnation is random and says which process life is meant, not which one is newer: a start
//! time would compare the clocks of two machines. A restarted VM starts at version 1, learns the
//! record of its earlier life from the first peer that answers it, and takes the next version.

use crate::rendezvous::{
    mix,
    score_keys,
    NameKey,
    BUCKETS, //
};
use rand::{
    seq::{
        index,
        SliceRandom, //
    },
    Rng,
};
use smallvec::SmallVec;
use std::{
    cmp::Reverse,
    collections::HashMap,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

mod record;

use self::record::kind_of;
pub use self::record::{
    Change,
    ChangeKind,
    ListedVm,
    Member,
    MemberState, //
};

/// Limits of the membership.
#[derive(Clone, Copy, Debug)]
pub struct MembersSpec {
    /// Probes of members of the own zone in each round.
    pub near_probes: usize,
    /// Probes of members of other zones in each round.
    pub far_probes: usize,
    /// Probes of names never heard of in each round.
    pub join_probes: usize,
    /// Probes missed in a row after which a member is suspect.
    pub misses: u8,
    /// Time between suspicion and removal in a zone of a few members; it grows with their logarithm.
    pub suspicion: Duration,
    /// Time after which a member that is gone and not listed is forgotten.
    pub forget_after: Duration,
    /// Gossip repeats of one record, times the binary logarithm of the members.
    pub repeats: u32,
    /// Hash by which a ticket names a VM.
    pub name_hash: fn(&str) -> u32,
}

impl Default for MembersSpec {
    fn default() -> Self {
        Self {
            near_probes: 3,
            far_probes: 1,
            join_probes: 4,
            misses: 2,
            suspicion: Duration::from_secs(1),
            forget_after: Duration::from_secs(6 * 3600),
            repeats: 2,
            name_hash: |name| NameKey::new(name).get() as u32,
        }
    }
}

/// Times that another process with the same VM id may raise its version before it is held alive.
///
/// Records of an earlier life may still arrive, each with a version higher than the one before.
const CONTESTS: u32 = 8;

#[derive(Debug)]
struct Known {
    member: Member,
    key: NameKey,
    listed: bool,
    listed_leaving: bool,
    misses: u8,
    since: Instant,
}

#[derive(Debug, Default)]
struct Zone {
    version: u64,
    live: Vec<(NameKey, usize)>,
}

#[derive(Debug, Default)]
struct ProbeOrder {
    near: Vec<usize>,
    far: Vec<usize>,
    unheard: Vec<usize>,
    gone: Vec<usize>,
}

/// Outcome of a merge: the slot of a record that was newer, and the change.
#[derive(Debug, Default)]
struct Taken {
    slot: Option<usize>,
    change: Option<Change>,
}

#[derive(Debug)]
struct News {
    slot: usize,
    left: u32,
}

/// View of the fleet that one daemon has.
#[derive(Debug)]
pub struct Members {
    spec: MembersSpec,
    slots: Vec<Option<Known>>,
    free: Vec<usize>,
    by_name: HashMap<Rc<str>, usize>,
    by_hash: HashMap<u32, usize>,
    zones: HashMap<Rc<str>, Zone>,
    order: Option<ProbeOrder>,
    news: Vec<News>,
    view_version: u64,
    sums: [u64; BUCKETS],
    contests: u32,
}

const ME: usize = 0;

impl Members {
    /// Creates a view with this daemon alone.
    pub fn new(me: Member, spec: MembersSpec) -> Self {
        let mut members = Self {
            spec,
            slots: Vec::new(),
            free: Vec::new(),
            by_name: HashMap::new(),
            by_hash: HashMap::new(),
            zones: HashMap::new(),
            order: None,
            news: Vec::new(),
            view_version: 0,
            sums: [0; BUCKETS],
            contests: 0,
        };
        let me = Member {
            version: me.version.max(1),
            ..me
        };
        members.insert(me, Instant::now());
        members
    }

    /// Returns this daemon's own record.
    pub fn me(&self) -> &Member {
        &self.known(ME).member
    }

    /// Merges a record heard from a peer and, if it is newer, passes it on as news.
    pub fn merge(&mut self, update: Member, now: Instant) -> Option<Change> {
        let taken = self.take(update, now);
        if let Some(slot) = taken.slot {
            self.announce(slot);
        }
        taken.change
    }

    /// Merges a record that others know already, as from a copy of a peer's whole view.
    pub fn merge_without_gossip(&mut self, update: Member, now: Instant) -> Option<Change> {
        self.take(update, now).change
    }

    /// Takes names and addresses from the platform's list, which may be stale.
    ///
    /// A name never heard of becomes one to probe. A live member is not removed by its absence,
    /// and one that is gone is not revived by its presence.
    pub fn apply_list(&mut self, list: impl IntoIterator<Item = ListedVm>, now: Instant) {
        for known in self.slots.iter_mut().flatten() {
            known.listed = false;
        }
        for listed in list {
            self.add_listed(listed, now);
        }
        self.order = None;
    }

    /// Adds one name with its addresses, such as a peer from the settings.
    pub fn add_listed(&mut self, listed: ListedVm, now: Instant) {
        let slot = match self.by_name.get(&listed.vm) {
            Some(&slot) => slot,
            None => {
                let member = Member {
                    vm: listed.vm,
                    zone: listed.zone,
                    relay: listed.relay,
                    control: listed.control,
                    incarnation: 0,
                    state: MemberState::Dead,
                    version: 0,
                };
                self.insert(member, now)
            }
        };
        let known = self.known_mut(slot);
        known.listed = true;
        known.listed_leaving = listed.leaving;
    }

    /// Draws the members to probe in this round.
    pub fn probe_targets(&mut self, rng: &mut impl Rng) -> SmallVec<[Member; 8]> {
        let order = match self.order.take() {
            Some(order) => order,
            None => self.order_probes(),
        };
        let mut slots: SmallVec<[usize; 8]> = SmallVec::new();
        draw(&order.near, self.spec.near_probes, rng, &mut slots);
        draw(&order.far, self.spec.far_probes, rng, &mut slots);
        draw(&order.unheard, self.spec.join_probes, rng, &mut slots);
        draw(&order.gone, 1, rng, &mut slots);
        self.order = Some(order);
        slots.shuffle(rng);
        slots
            .into_iter()
            .map(|slot| self.known(slot).member.clone())
            .collect()
    }

    /// Records an answer to a probe.
    pub fn on_ack(&mut self, vm: &str) {
        if let Some(&slot) = self.by_name.get(vm) {
            self.known_mut(slot).misses = 0;
        }
    }

    /// Records a probe that was not answered in time.
    pub fn on_missed(&mut self, vm: &str, now: Instant) -> Option<Change> {
        let &slot = self.by_name.get(vm)?;
        if slot == ME {
            return None;
        }
        let misses = self.spec.misses;
        let known = self.known_mut(slot);
        known.misses = known.misses.saturating_add(1);
        if known.misses < misses {
            return None;
        }
        let state = match known.member.state {
            MemberState::Alive => MemberState::Suspect,
            MemberState::Leaving => MemberState::Dead,
            MemberState::Suspect | MemberState::Dead => return None,
        };
        Some(self.judge(slot, state, now))
    }

    /// Returns whether the last probe of `vm` was missed, so that it is worth another at once.
    pub fn has_missed_probe(&self, vm: &str) -> bool {
        let slot = self.by_name.get(vm);
        slot.is_some_and(|&slot| {
            let known = self.known(slot);
            known.misses > 0 && known.misses < self.spec.misses && known.member.is_live()
        })
    }

    /// Removes members that stayed suspect, and forgets those gone for long.
    pub fn tick(&mut self, now: Instant) -> Vec<Change> {
        let mut expired = Vec::new();
        let mut forgotten = Vec::new();
        let suspicion = self.suspicion();
        for (slot, known) in self.occupied().skip(1) {
            let age = now.saturating_duration_since(known.since);
            match known.member.state {
                MemberState::Suspect if age >= suspicion => expired.push(slot),
                MemberState::Dead if age >= self.spec.forget_after && !known.listed => {
                    forgotten.push(slot);
                }
                _ => {}
            }
        }
        for slot in forgotten {
            self.remove(slot);
        }
        expired
            .into_iter()
            .map(|slot| self.judge(slot, MemberState::Dead, now))
            .collect()
    }

    /// Time between suspicion and removal: a refutation needs longer to reach everyone in a larger zone.
    fn suspicion(&self) -> Duration {
        let peers = self.live_in_zone(&self.me().zone).count().max(2);
        let rounds = f64::from(peers.ilog2()) / 2.0;
        self.spec.suspicion.mul_f64(rounds.max(1.0))
    }

    /// Returns up to `max` records to pass on, newest first; each is repeated a bounded number of times.
    pub fn gossip(&mut self, max: usize) -> Vec<Member> {
        let taken: Vec<Member> = self
            .news
            .iter_mut()
            .rev()
            .take(max)
            .filter_map(|news| {
                news.left -= 1;
                Some(self.slots[news.slot].as_ref()?.member.clone())
            })
            .collect();
        self.news.retain(|news| news.left > 0);
        taken
    }

    /// Returns whether there is more news than fits into one message of `max` records.
    pub fn has_gossip_backlog(&self, max: usize) -> bool {
        self.news.len() > max
    }

    /// Returns the live members of a zone, this daemon included.
    pub fn live_in_zone(&self, zone: &str) -> impl Iterator<Item = &Member> {
        let live = self.zones.get(zone).map_or(&[][..], |z| &z.live);
        live.iter().map(|&(_, slot)| &self.known(slot).member)
    }

    /// Returns the owner of `upstream` among the live members of `zone`.
    pub fn owner(&self, upstream: &str, zone: &str) -> Option<&Member> {
        let upstream = NameKey::new(upstream);
        let live = self.zones.get(zone)?.live.iter();
        let scored = live.map(|&(key, slot)| (score_keys(upstream, key), slot));
        let name = |slot: usize| &self.known(slot).member.vm;
        let best = scored.max_by(|a, b| {
            let by_score = a.0.cmp(&b.0);
            by_score.then_with(|| name(b.1).cmp(name(a.1)))
        });
        best.map(|(_, slot)| &self.known(slot).member)
    }

    /// Returns the next owner of `upstream` in `zone` if `vm` were gone.
    pub fn owner_without(&self, upstream: &str, zone: &str, vm: &str) -> Option<&Member> {
        let upstream = NameKey::new(upstream);
        let others = self.live_in_zone(zone).filter(|m| m.vm.as_ref() != vm);
        others.max_by_key(|m| (score_keys(upstream, NameKey::new(&m.vm)), Reverse(&m.vm)))
    }

    /// Returns the record of a VM, whatever its state.
    pub fn get(&self, vm: &str) -> Option<&Member> {
        let &slot = self.by_name.get(vm)?;
        Some(&self.known(slot).member)
    }

    /// Returns the record of a VM by the hash in a ticket.
    pub fn by_hash(&self, hash: u32) -> Option<&Member> {
        let &slot = self.by_hash.get(&hash)?;
        Some(&self.known(slot).member)
    }

    /// Returns whether the platform's list marks the VM as leaving.
    pub fn is_listed_leaving(&self, vm: &str) -> bool {
        let slot = self.by_name.get(vm);
        slot.is_some_and(|&slot| self.known(slot).listed_leaving)
    }

    /// Returns all records, this daemon's own first.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.occupied().map(|(_, known)| &known.member)
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether this daemon is the only record.
    pub fn is_empty(&self) -> bool {
        self.len() <= 1
    }

    /// Returns the version of the live set, raised whenever it changes.
    pub fn view_version(&self) -> u64 {
        self.view_version
    }

    /// Returns the version of the live set of one zone.
    pub fn zone_version(&self, zone: &str) -> u64 {
        self.zones.get(zone).map_or(0, |z| z.version)
    }

    /// Returns one sum of the records heard for each bucket of names; equal sums mean equal views.
    pub fn sums(&self) -> &[u64; BUCKETS] {
        &self.sums
    }

    /// Returns the records heard in the given buckets, one bit each.
    pub fn records_in(&self, buckets: u64) -> impl Iterator<Item = &Member> {
        self.occupied()
            .filter(move |(_, known)| buckets >> known.key.bucket() & 1 == 1)
            .map(|(_, known)| &known.member)
            .filter(|m| m.version > 0)
    }

    /// Marks this daemon as leaving and makes it news.
    pub fn leave(&mut self) -> Member {
        let mut me = self.me().clone();
        if me.state != MemberState::Leaving {
            me.state = MemberState::Leaving;
            me.version += 1;
            self.replace_own(me.clone());
        }
        me
    }

    fn take(&mut self, update: Member, now: Instant) -> Taken {
        let Some(&slot) = self.by_name.get(&update.vm) else {
            return self.take_new(update, now);
        };
        if slot == ME {
            let change = self.merge_own(update);
            return Taken { slot: None, change };
        }
        let known = &self.known(slot).member;
        if update.precedence() <= known.precedence() {
            return Taken::default();
        }
        let kind = kind_of(known, &update);
        self.replace(slot, update, now);
        self.taken(slot, kind)
    }

    fn take_new(&mut self, update: Member, now: Instant) -> Taken {
        if update.version == 0 {
            self.insert(update, now);
            return Taken::default();
        }
        let kind = match update.state {
            MemberState::Alive | MemberState::Suspect => Some(ChangeKind::Joined),
            MemberState::Leaving => Some(ChangeKind::Leaving),
            MemberState::Dead => None,
        };
        let slot = self.insert(update, now);
        self.taken(slot, kind)
    }

    fn taken(&self, slot: usize, kind: Option<ChangeKind>) -> Taken {
        let member = self.known(slot).member.clone();
        Taken {
            slot: Some(slot),
            change: kind.map(|kind| Change { kind, member }),
        }
    }

    fn merge_own(&mut self, update: Member) -> Option<Change> {
        let me = self.me();
        if update.precedence() <= me.precedence() {
            return None;
        }
        let mut kind = ChangeKind::Refuted;
        if update.incarnation != me.incarnation && update.state == MemberState::Alive {
            self.contests += 1;
            if self.contests > CONTESTS && update.incarnation > self.me().incarnation {
                kind = ChangeKind::Superseded;
            }
        }
        if kind == ChangeKind::Refuted {
            let mut me = self.me().clone();
            me.version = update.version.saturating_add(1);
            self.replace_own(me);
        }
        Some(Change {
            kind,
            member: update,
        })
    }

    fn judge(&mut self, slot: usize, state: MemberState, now: Instant) -> Change {
        let member = Member {
            state,
            ..self.known(slot).member.clone()
        };
        self.replace(slot, member.clone(), now);
        self.announce(slot);
        let kind = match state {
            MemberState::Suspect => ChangeKind::Suspected,
            _ => ChangeKind::Died,
        };
        Change { kind, member }
    }

    fn replace_own(&mut self, me: Member) {
        let since = self.known(ME).since;
        self.replace(ME, me, since);
        self.announce(ME);
    }

    fn insert(&mut self, member: Member, now: Instant) -> usize {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.by_name.insert(member.vm.clone(), slot);
        self.by_hash.insert((self.spec.name_hash)(&member.vm), slot);
        let key = NameKey::new(&member.vm);
        self.sums[key.bucket()] ^= sum_of(key, &member);
        if member.is_live() {
            self.add_live(&member.zone, key, slot);
        }
        self.slots[slot] = Some(Known {
            key,
            member,
            listed: false,
            listed_leaving: false,
            misses: 0,
            since: now,
        });
        self.order = None;
        slot
    }

    fn replace(&mut self, slot: usize, member: Member, now: Instant) {
        let known = self.known_mut(slot);
        let old = std::mem::replace(&mut known.member, member.clone());
        if old.state != member.state || old.incarnation != member.incarnation {
            known.since = now;
            known.misses = 0;
        }
        let key = self.known(slot).key;
        self.sums[key.bucket()] ^= sum_of(key, &old) ^ sum_of(key, &member);
        if old.state != member.state || old.zone != member.zone || old.version == 0 {
            self.order = None;
        }
        let life = |m: &Member| (m.is_live(), m.zone.clone(), m.incarnation, m.relay);
        if life(&old) == life(&member) {
            return;
        }
        let key = self.known(slot).key;
        self.remove_live(&old.zone, slot);
        if member.is_live() {
            self.add_live(&member.zone, key, slot);
        }
    }

    fn remove(&mut self, slot: usize) {
        let Some(known) = self.slots[slot].take() else {
            return;
        };
        self.by_name.remove(&known.member.vm);
        self.by_hash
            .remove(&(self.spec.name_hash)(&known.member.vm));
        self.free.push(slot);
        self.sums[known.key.bucket()] ^= sum_of(known.key, &known.member);
        self.news.retain(|news| news.slot != slot);
        self.order = None;
    }

    fn add_live(&mut self, zone: &Rc<str>, key: NameKey, slot: usize) {
        self.view_version += 1;
        let zone = self.zones.entry(zone.clone()).or_default();
        zone.version = self.view_version;
        zone.live.push((key, slot));
    }

    fn remove_live(&mut self, zone: &Rc<str>, slot: usize) {
        let Some(zone) = self.zones.get_mut(zone) else {
            return;
        };
        let before = zone.live.len();
        zone.live.retain(|&(_, s)| s != slot);
        if zone.live.len() != before {
            self.view_version += 1;
            zone.version = self.view_version;
        }
    }

    fn announce(&mut self, slot: usize) {
        let members = self.by_name.len() as u32 + 1;
        self.news.retain(|news| news.slot != slot);
        self.news.push(News {
            slot,
            left: self.spec.repeats * (members.ilog2() + 1),
        });
    }

    fn order_probes(&self) -> ProbeOrder {
        let mut order = ProbeOrder::default();
        let my_zone = &self.me().zone;
        for (slot, known) in self.occupied().skip(1) {
            let member = &known.member;
            let list = match member.state {
                MemberState::Dead if member.version == 0 => &mut order.unheard,
                MemberState::Dead => &mut order.gone,
                _ if member.zone == *my_zone => &mut order.near,
                _ => &mut order.far,
            };
            list.push(slot);
        }
        order
    }

    fn occupied(&self) -> impl Iterator<Item = (usize, &Known)> {
        self.slots
            .iter()
            .enumerate()
            .filter_map(|(slot, known)| Some((slot, known.as_ref()?)))
    }

    fn known(&self, slot: usize) -> &Known {
        self.slots[slot].as_ref().expect("A slot in use is filled.")
    }

    fn known_mut(&mut self, slot: usize) -> &mut Known {
        self.slots[slot].as_mut().expect("A slot in use is filled.")
    }
}

fn sum_of(key: NameKey, member: &Member) -> u64 {
    if member.version == 0 {
        return 0;
    }
    let life = u64::from(member.version) << 32 | u64::from(member.incarnation);
    mix(key.get() ^ mix(life) ^ member.state as u64)
}

fn draw(from: &[usize], n: usize, rng: &mut impl Rng, into: &mut SmallVec<[usize; 8]>) {
    let picked = index::sample(rng, from.len(), n.min(from.len()));
    into.extend(picked.into_iter().map(|i| from[i]));
}
