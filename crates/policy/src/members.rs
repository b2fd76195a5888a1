//! Membership of the fleet: a SWIM-like failure detector with gossip.
//!
//! Each daemon probes a few random members a second. A member that misses probes becomes suspect
//! before it is removed. Records spread as gossip on the probes themselves. The platform's list is
//! used only as a source of names and addresses.
//!
//! Two records of one VM are ordered by `version`, then by state, then by incarnation. The
//! incarnation is a random number that identifies a process but does not show which process is
//! newer; a start time would compare the clocks of two machines. A restarted VM starts at version 1,
//! receives the record of its previous process from the first peer that answers it, and takes the
//! next version.

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

use self::record::change_kind;
pub use self::record::{
    Change,
    ChangeKind,
    ListedVm,
    Member,
    MemberState, //
};

/// Settings of the failure detector and the gossip.
#[derive(Clone, Copy, Debug)]
pub struct MembersSpec {
    /// Probes per round of members of this daemon's zone.
    pub near_probes: usize,
    /// Probes per round of members of other zones.
    pub far_probes: usize,
    /// Probes per round of VMs that are only known by name and have never answered.
    pub join_probes: usize,
    /// Number of consecutive missed probes after which a member is suspect.
    pub misses: u8,
    /// Time from suspicion to removal in a zone of a few members; it grows with the logarithm of
    /// their number.
    pub suspicion: Duration,
    /// Time after which the record of a dead member that is not listed is deleted.
    pub forget_after: Duration,
    /// Factor of the binary logarithm of the number of members; the product is the number of
    /// messages in which one record is sent as gossip.
    pub repeats: u32,
    /// Hash of a VM id, as used in tickets.
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

/// Number of alive records of another process with the same VM id that are refuted before that
/// process is considered to be running.
///
/// Records of a previous process may still arrive, each with a higher version than the last.
const CONFLICTS_MAX: u32 = 8;

#[derive(Debug)]
struct TrackedMember {
    member: Member,
    key: NameKey,
    listed: bool,
    listed_leaving: bool,
    misses: u8,
    /// Time at which the state or incarnation changed.
    changed_at: Instant,
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
    listed_only: Vec<usize>,
    dead: Vec<usize>,
}

/// Outcome of a merge: the slot of the record if it was newer, and the change if there is one to
/// report.
#[derive(Debug, Default)]
struct MergeResult {
    slot: Option<usize>,
    change: Option<Change>,
}

#[derive(Debug)]
struct GossipItem {
    slot: usize,
    /// Number of messages in which the record is still to be sent.
    remaining: u32,
}

/// One daemon's view of the fleet.
#[derive(Debug)]
pub struct Members {
    spec: MembersSpec,
    slots: Vec<Option<TrackedMember>>,
    free: Vec<usize>,
    by_name: HashMap<Rc<str>, usize>,
    by_hash: HashMap<u32, usize>,
    zones: HashMap<Rc<str>, Zone>,
    order: Option<ProbeOrder>,
    gossip_queue: Vec<GossipItem>,
    view_version: u64,
    sums: [u64; BUCKETS],
    conflicts: u32,
}

/// Slot of this daemon's own record.
const ME: usize = 0;

impl Members {
    /// Creates a view that holds only this daemon.
    pub fn new(me: Member, spec: MembersSpec) -> Self {
        let mut members = Self {
            spec,
            slots: Vec::new(),
            free: Vec::new(),
            by_name: HashMap::new(),
            by_hash: HashMap::new(),
            zones: HashMap::new(),
            order: None,
            gossip_queue: Vec::new(),
            view_version: 0,
            sums: [0; BUCKETS],
            conflicts: 0,
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
        &self.tracked(ME).member
    }

    /// Merges a record received from a peer and, if it is newer, queues it as gossip.
    pub fn merge(&mut self, update: Member, now: Instant) -> Option<Change> {
        let merged = self.merge_record(update, now);
        if let Some(slot) = merged.slot {
            self.announce(slot);
        }
        merged.change
    }

    /// Merges a record that other members already have, such as one from a copy of a peer's whole
    /// view.
    pub fn merge_without_gossip(&mut self, update: Member, now: Instant) -> Option<Change> {
        self.merge_record(update, now).change
    }

    /// Applies the names and addresses of the platform's list, which may be stale.
    ///
    /// New names are added as VMs to probe. A live member that is missing from the list is not
    /// removed, and a dead member that is on the list is not revived.
    pub fn apply_list(&mut self, list: impl IntoIterator<Item = ListedVm>, now: Instant) {
        for tracked in self.slots.iter_mut().flatten() {
            tracked.listed = false;
        }
        for listed in list {
            self.add_listed(listed, now);
        }
        self.order = None;
    }

    /// Adds one listed VM, such as a peer from the settings.
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
        let tracked = self.tracked_mut(slot);
        tracked.listed = true;
        tracked.listed_leaving = listed.leaving;
    }

    /// Picks random members to probe in this round.
    pub fn probe_targets(&mut self, rng: &mut impl Rng) -> SmallVec<[Member; 8]> {
        let order = match self.order.take() {
            Some(order) => order,
            None => self.order_probes(),
        };
        let mut slots: SmallVec<[usize; 8]> = SmallVec::new();
        sample(&order.near, self.spec.near_probes, rng, &mut slots);
        sample(&order.far, self.spec.far_probes, rng, &mut slots);
        sample(&order.listed_only, self.spec.join_probes, rng, &mut slots);
        sample(&order.dead, 1, rng, &mut slots);
        self.order = Some(order);
        slots.shuffle(rng);
        slots
            .into_iter()
            .map(|slot| self.tracked(slot).member.clone())
            .collect()
    }

    /// Records an answer to a probe.
    pub fn on_ack(&mut self, vm: &str) {
        if let Some(&slot) = self.by_name.get(vm) {
            self.tracked_mut(slot).misses = 0;
        }
    }

    /// Records a probe that was not answered in time.
    pub fn on_missed(&mut self, vm: &str, now: Instant) -> Option<Change> {
        let &slot = self.by_name.get(vm)?;
        if slot == ME {
            return None;
        }
        let misses = self.spec.misses;
        let tracked = self.tracked_mut(slot);
        tracked.misses = tracked.misses.saturating_add(1);
        if tracked.misses < misses {
            return None;
        }
        let state = match tracked.member.state {
            MemberState::Alive => MemberState::Suspect,
            MemberState::Leaving => MemberState::Dead,
            MemberState::Suspect | MemberState::Dead => return None,
        };
        Some(self.set_state(slot, state, now))
    }

    /// Returns whether the live member `vm` missed its last probe, but not enough of them to become
    /// suspect. Another probe should then be sent at once.
    pub fn has_missed_probe(&self, vm: &str) -> bool {
        let slot = self.by_name.get(vm);
        slot.is_some_and(|&slot| {
            let tracked = self.tracked(slot);
            tracked.misses > 0 && tracked.misses < self.spec.misses && tracked.member.is_live()
        })
    }

    /// Marks members whose suspicion has timed out as dead, and deletes old records of dead members.
    pub fn tick(&mut self, now: Instant) -> Vec<Change> {
        let mut expired = Vec::new();
        let mut obsolete = Vec::new();
        let suspicion = self.suspicion();
        for (slot, tracked) in self.occupied().skip(1) {
            let age = now.saturating_duration_since(tracked.changed_at);
            match tracked.member.state {
                MemberState::Suspect if age >= suspicion => expired.push(slot),
                MemberState::Dead if age >= self.spec.forget_after && !tracked.listed => {
                    obsolete.push(slot);
                }
                _ => {}
            }
        }
        for slot in obsolete {
            self.remove(slot);
        }
        expired
            .into_iter()
            .map(|slot| self.set_state(slot, MemberState::Dead, now))
            .collect()
    }

    /// Time from suspicion to removal; longer in a larger zone, where a refutation needs longer to
    /// reach every member.
    fn suspicion(&self) -> Duration {
        let peers = self.live_in_zone(&self.me().zone).count().max(2);
        let rounds = f64::from(peers.ilog2()) / 2.0;
        self.spec.suspicion.mul_f64(rounds.max(1.0))
    }

    /// Returns up to `max` records to send as gossip, newest first; each is sent a bounded number of
    /// times.
    pub fn gossip(&mut self, max: usize) -> Vec<Member> {
        let records: Vec<Member> = self
            .gossip_queue
            .iter_mut()
            .rev()
            .take(max)
            .filter_map(|item| {
                item.remaining -= 1;
                Some(self.slots[item.slot].as_ref()?.member.clone())
            })
            .collect();
        self.gossip_queue.retain(|item| item.remaining > 0);
        records
    }

    /// Returns whether more gossip is queued than fits into one message of `max` records.
    pub fn has_gossip_backlog(&self, max: usize) -> bool {
        self.gossip_queue.len() > max
    }

    /// Returns the live members of a zone, this daemon included.
    pub fn live_in_zone(&self, zone: &str) -> impl Iterator<Item = &Member> {
        let live = self.zones.get(zone).map_or(&[][..], |z| &z.live);
        live.iter().map(|&(_, slot)| &self.tracked(slot).member)
    }

    /// Returns the owner of `upstream` among the live members of `zone`.
    pub fn owner(&self, upstream: &str, zone: &str) -> Option<&Member> {
        let upstream = NameKey::new(upstream);
        let live = self.zones.get(zone)?.live.iter();
        let scored = live.map(|&(key, slot)| (score_keys(upstream, key), slot));
        let name = |slot: usize| &self.tracked(slot).member.vm;
        let best = scored.max_by(|a, b| {
            let by_score = a.0.cmp(&b.0);
            by_score.then_with(|| name(b.1).cmp(name(a.1)))
        });
        best.map(|(_, slot)| &self.tracked(slot).member)
    }

    /// Returns the owner that `upstream` would have in `zone` without `vm`.
    pub fn owner_without(&self, upstream: &str, zone: &str, vm: &str) -> Option<&Member> {
        let upstream = NameKey::new(upstream);
        let others = self.live_in_zone(zone).filter(|m| m.vm.as_ref() != vm);
        others.max_by_key(|m| (score_keys(upstream, NameKey::new(&m.vm)), Reverse(&m.vm)))
    }

    /// Returns the record of a VM, whatever its state.
    pub fn get(&self, vm: &str) -> Option<&Member> {
        let &slot = self.by_name.get(vm)?;
        Some(&self.tracked(slot).member)
    }

    /// Returns the record of a VM by the hash of its id, as used in tickets.
    pub fn by_hash(&self, hash: u32) -> Option<&Member> {
        let &slot = self.by_hash.get(&hash)?;
        Some(&self.tracked(slot).member)
    }

    /// Returns whether the platform's list marks the VM as leaving.
    pub fn is_listed_leaving(&self, vm: &str) -> bool {
        let slot = self.by_name.get(vm);
        slot.is_some_and(|&slot| self.tracked(slot).listed_leaving)
    }

    /// Returns all records; the first one is this daemon's own.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.occupied().map(|(_, tracked)| &tracked.member)
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether this daemon is the only record.
    pub fn is_empty(&self) -> bool {
        self.len() <= 1
    }

    /// Returns the version of the set of live members, which is raised at each change of the set.
    pub fn view_version(&self) -> u64 {
        self.view_version
    }

    /// Returns the version of the set of live members of one zone.
    pub fn zone_version(&self, zone: &str) -> u64 {
        self.zones.get(zone).map_or(0, |z| z.version)
    }

    /// Returns a checksum of the records in each bucket of names, without those known only from the
    /// list. Equal checksums mean equal views.
    pub fn sums(&self) -> &[u64; BUCKETS] {
        &self.sums
    }

    /// Returns the records in the buckets whose bits are set, without those known only from the list.
    pub fn records_in(&self, buckets: u64) -> impl Iterator<Item = &Member> {
        self.occupied()
            .filter(move |(_, tracked)| buckets >> tracked.key.bucket() & 1 == 1)
            .map(|(_, tracked)| &tracked.member)
            .filter(|m| m.version > 0)
    }

    /// Marks this daemon as leaving and queues its record as gossip.
    pub fn leave(&mut self) -> Member {
        let mut me = self.me().clone();
        if me.state != MemberState::Leaving {
            me.state = MemberState::Leaving;
            me.version += 1;
            self.replace_own(me.clone());
        }
        me
    }

    fn merge_record(&mut self, update: Member, now: Instant) -> MergeResult {
        let Some(&slot) = self.by_name.get(&update.vm) else {
            return self.merge_new(update, now);
        };
        if slot == ME {
            let change = self.merge_own(update);
            return MergeResult { slot: None, change };
        }
        let tracked = &self.tracked(slot).member;
        if update.precedence() <= tracked.precedence() {
            return MergeResult::default();
        }
        let kind = change_kind(tracked, &update);
        self.replace(slot, update, now);
        self.merged(slot, kind)
    }

    fn merge_new(&mut self, update: Member, now: Instant) -> MergeResult {
        if update.version == 0 {
            self.insert(update, now);
            return MergeResult::default();
        }
        let kind = match update.state {
            MemberState::Alive | MemberState::Suspect => Some(ChangeKind::Joined),
            MemberState::Leaving => Some(ChangeKind::Leaving),
            MemberState::Dead => None,
        };
        let slot = self.insert(update, now);
        self.merged(slot, kind)
    }

    fn merged(&self, slot: usize, kind: Option<ChangeKind>) -> MergeResult {
        let member = self.tracked(slot).member.clone();
        MergeResult {
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
            self.conflicts += 1;
            if self.conflicts > CONFLICTS_MAX && update.incarnation > self.me().incarnation {
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

    fn set_state(&mut self, slot: usize, state: MemberState, now: Instant) -> Change {
        let member = Member {
            state,
            ..self.tracked(slot).member.clone()
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
        let changed_at = self.tracked(ME).changed_at;
        self.replace(ME, me, changed_at);
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
        self.slots[slot] = Some(TrackedMember {
            key,
            member,
            listed: false,
            listed_leaving: false,
            misses: 0,
            changed_at: now,
        });
        self.order = None;
        slot
    }

    fn replace(&mut self, slot: usize, member: Member, now: Instant) {
        let tracked = self.tracked_mut(slot);
        let old = std::mem::replace(&mut tracked.member, member.clone());
        if old.state != member.state || old.incarnation != member.incarnation {
            tracked.changed_at = now;
            tracked.misses = 0;
        }
        let key = self.tracked(slot).key;
        self.sums[key.bucket()] ^= sum_of(key, &old) ^ sum_of(key, &member);
        if old.state != member.state || old.zone != member.zone || old.version == 0 {
            self.order = None;
        }
        let identity = |m: &Member| (m.is_live(), m.zone.clone(), m.incarnation, m.relay);
        if identity(&old) == identity(&member) {
            return;
        }
        let key = self.tracked(slot).key;
        self.remove_live(&old.zone, slot);
        if member.is_live() {
            self.add_live(&member.zone, key, slot);
        }
    }

    fn remove(&mut self, slot: usize) {
        let Some(tracked) = self.slots[slot].take() else {
            return;
        };
        self.by_name.remove(&tracked.member.vm);
        self.by_hash
            .remove(&(self.spec.name_hash)(&tracked.member.vm));
        self.free.push(slot);
        self.sums[tracked.key.bucket()] ^= sum_of(tracked.key, &tracked.member);
        self.gossip_queue.retain(|item| item.slot != slot);
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
        self.gossip_queue.retain(|item| item.slot != slot);
        self.gossip_queue.push(GossipItem {
            slot,
            remaining: self.spec.repeats * (members.ilog2() + 1),
        });
    }

    fn order_probes(&self) -> ProbeOrder {
        let mut order = ProbeOrder::default();
        let my_zone = &self.me().zone;
        for (slot, tracked) in self.occupied().skip(1) {
            let member = &tracked.member;
            let list = match member.state {
                MemberState::Dead if member.version == 0 => &mut order.listed_only,
                MemberState::Dead => &mut order.dead,
                _ if member.zone == *my_zone => &mut order.near,
                _ => &mut order.far,
            };
            list.push(slot);
        }
        order
    }

    fn occupied(&self) -> impl Iterator<Item = (usize, &TrackedMember)> {
        self.slots
            .iter()
            .enumerate()
            .filter_map(|(slot, tracked)| Some((slot, tracked.as_ref()?)))
    }

    fn tracked(&self, slot: usize) -> &TrackedMember {
        self.slots[slot].as_ref().expect("A slot in use is filled.")
    }

    fn tracked_mut(&mut self, slot: usize) -> &mut TrackedMember {
        self.slots[slot].as_mut().expect("A slot in use is filled.")
    }
}

fn sum_of(key: NameKey, member: &Member) -> u64 {
    if member.version == 0 {
        return 0;
    }
    let identity = u64::from(member.version) << 32 | u64::from(member.incarnation);
    mix(key.get() ^ mix(identity) ^ member.state as u64)
}

fn sample(from: &[usize], n: usize, rng: &mut impl Rng, into: &mut SmallVec<[usize; 8]>) {
    let picked = index::sample(rng, from.len(), n.min(from.len()));
    into.extend(picked.into_iter().map(|i| from[i]));
}
