//! Failure detection as in SWIM: liveness probes over the relay, with indirect probes through other members.

use super::{
    control::Control,
    counters::count,
    record, //
};
use crate::logging::Event;
use foxtailhinge_policy::{
    members::{
        Member,
        MemberState, //
    },
    suspect_zones::SuspectZones,
};
use foxtailhinge_wire::{
    message::{
        MemberUpdate,
        RelayMessage, //
    },
    ticket::name_hash,
};
use rand::seq::IteratorRandom;
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        HashMap,
        HashSet, //
    },
    net::SocketAddr,
    rc::Rc,
    time::Instant, //
};

/// Number of members that are asked to probe a member that missed a probe.
const INDIRECT_PROBES: usize = 2;

/// Maximum number of pending probes on behalf of other members.
const INDIRECT_MAX: usize = 256;

/// Sends datagrams on the relay socket.
pub trait RelaySender {
    /// Seals and sends `message` to the daemon whose VM id has the hash `to`.
    fn send(&self, to: u32, addr: SocketAddr, message: &RelayMessage);
}

#[derive(Debug)]
struct Pending {
    vm: Rc<str>,
    sent: Instant,
    direct: bool,
}

#[derive(Debug)]
struct IndirectProbe {
    origin: u32,
    addr: SocketAddr,
    seq: u32,
    sent: Instant,
}

/// Probes members, answers their probes and detects members and zones that do not answer.
pub struct Prober<S> {
    control: Rc<Control>,
    sender: S,
    next_seq: Cell<u32>,
    last_expiry: Cell<Instant>,
    last_contact: RefCell<HashMap<u32, Instant>>,
    /// Members that missed a direct probe and have sent nothing after it, by the hash of the VM id.
    silent: RefCell<HashSet<u32>>,
    zones: RefCell<SuspectZones>,
    on_demand_probes: Cell<u32>,
    pending: RefCell<HashMap<u32, Pending>>,
    indirect: RefCell<HashMap<u32, IndirectProbe>>,
}

impl<S: RelaySender> Prober<S> {
    /// Creates a prober that sends its messages through `sender`.
    pub fn new(control: Rc<Control>, sender: S) -> Rc<Self> {
        Rc::new(Self {
            next_seq: Cell::new(control.settings().incarnation),
            last_expiry: Cell::new(Instant::now()),
            last_contact: RefCell::default(),
            silent: RefCell::default(),
            zones: RefCell::default(),
            on_demand_probes: Cell::new(control.settings().limits.on_demand_probes),
            control,
            sender,
            pending: RefCell::default(),
            indirect: RefCell::default(),
        })
    }

    /// Probes a few random members in each interval; never returns.
    pub async fn run(&self) {
        let limits = self.control.settings().limits;
        let mut due = Instant::now();
        loop {
            let now = Instant::now();
            if now >= due {
                self.send_probes();
                due = now + limits.probe_interval;
            }
            let wake = self.control.probe_wake.wait();
            if monoio::time::timeout(limits.probe_check_interval, wake)
                .await
                .is_ok()
            {
                due = Instant::now();
            }
            self.expire(Instant::now());
            let changes = self.control.members_mut().tick(Instant::now());
            if !changes.is_empty() {
                self.control.probe_wake.set();
            }
            self.control.notify_member(changes);
        }
    }

    /// Probes a daemon that a packet is sent to, unless a packet from it came within `contact_ttl` or a probe is
    /// pending. `hash` is the hash of its VM id.
    ///
    /// The number of these probes per interval is limited: in a large fleet nearly each packet goes to a daemon without
    /// recent contact.
    pub fn probe_on_demand(&self, member: &Member, hash: u32) {
        let left = self.on_demand_probes.get();
        if left == 0 || self.has_recent_contact(hash) || self.has_pending_probe(member) {
            return;
        }
        let members = self.control.members();
        let live = members.get(&member.vm).is_some_and(Member::is_live);
        drop(members);
        if live {
            self.on_demand_probes.set(left - 1);
            self.ping(member);
        }
    }

    fn has_recent_contact(&self, vm: u32) -> bool {
        let ttl = self.control.settings().limits.contact_ttl;
        let last_contact = self.last_contact.borrow();
        let at = last_contact.get(&vm);
        at.is_some_and(|at| at.elapsed() < ttl)
    }

    fn has_pending_probe(&self, member: &Member) -> bool {
        let pending = self.pending.borrow();
        pending.values().any(|p| p.vm == member.vm)
    }

    /// Records that a packet from a daemon was received; `from` is the hash of its VM id.
    pub fn on_received(&self, from: u32) {
        self.last_contact.borrow_mut().insert(from, Instant::now());
        self.silent.borrow_mut().remove(&from);
        let members = self.control.members();
        if let Some(member) = members.by_hash(from) {
            let mut zones = self.zones.borrow_mut();
            zones.on_received(&member.zone, Instant::now());
        }
    }

    /// Returns whether a zone may be unreachable from this daemon.
    pub fn is_suspect(&self, zone: &str) -> bool {
        self.zones.borrow().is_suspect(zone)
    }

    /// Returns a number that increases whenever the result of [`is_suspect`](Self::is_suspect) changes for a zone.
    pub fn suspect_version(&self) -> u64 {
        self.zones.borrow().version()
    }

    /// Returns whether the member whose VM id has this hash missed a direct probe and has sent nothing after it.
    pub fn is_silent(&self, vm: u32) -> bool {
        self.silent.borrow().contains(&vm)
    }

    /// Draws a live member, itself not silent, through which `to` may still be reachable.
    pub fn alternate_relay(&self, to: &Member) -> Option<Member> {
        let silent = self.silent.borrow();
        let members = self.control.members();
        let others = members.iter().skip(1).filter(|member| {
            let responsive = !silent.contains(&name_hash(&member.vm));
            responsive && member.vm != to.vm && member.state == MemberState::Alive
        });
        others.choose(&mut *self.control.rng()).cloned()
    }

    /// Sends one round of probes and resets the limit of on-demand probes.
    pub fn send_probes(&self) {
        let limits = self.control.settings().limits;
        let ttl = limits.contact_ttl;
        self.on_demand_probes.set(limits.on_demand_probes);
        self.last_contact
            .borrow_mut()
            .retain(|_, at| at.elapsed() < ttl);
        let mut members = self.control.members_mut();
        let known = |vm: &u32| members.by_hash(*vm).is_some_and(Member::is_live);
        self.silent.borrow_mut().retain(known);
        let targets = members.probe_targets(&mut *self.control.rng());
        drop(members);
        for target in targets {
            self.ping(&target);
        }
    }

    /// Handles probes that were not answered in time; each member is probed once more, also through others.
    ///
    /// No probe is recorded as missed if this process itself did not run, because answers may still be unread.
    pub fn expire(&self, now: Instant) {
        let timeout = self.control.settings().limits.probe_timeout;
        let late = |sent: Instant| now.saturating_duration_since(sent) >= timeout;
        let missed: Vec<_> = self
            .pending
            .borrow_mut()
            .extract_if(|_, pending| late(pending.sent))
            .filter(|(_, pending)| pending.direct)
            .map(|(_, pending)| (pending.vm, pending.sent))
            .collect();
        self.indirect.borrow_mut().retain(|_, p| !late(p.sent));
        let limits = self.control.settings().limits;
        let since_last = now.saturating_duration_since(self.last_expiry.replace(now));
        if since_last > 2 * limits.probe_interval {
            return;
        }
        for (vm, sent) in missed {
            self.on_miss(&vm, sent, now);
        }
    }

    /// Handles a relay message that belongs to probes and ignores all others.
    pub fn on_message(&self, from: u32, addr: SocketAddr, message: RelayMessage) {
        if self.control.is_denied_hash(from) {
            return;
        }
        match message {
            RelayMessage::Ping { seq, updates } => {
                self.control.merge_members(updates);
                self.ack(from, addr, seq);
            }
            RelayMessage::Ack { seq, updates } => {
                self.control.merge_members(updates);
                self.on_ack(from, seq);
            }
            RelayMessage::PingRequest {
                seq,
                target,
                updates,
            } => {
                self.control.merge_members(updates);
                self.ping_on_behalf(from, addr, seq, target);
            }
            RelayMessage::Open { .. } | RelayMessage::Forward { .. } => {}
        }
    }

    fn ping(&self, target: &Member) {
        let seq = self.take_seq();
        self.register_pending(seq, target, true);
        count(&self.control.counters().probes_sent, 1);
        let updates = self.updates_for(target);
        self.send(target, &RelayMessage::Ping { seq, updates });
    }

    fn on_miss(&self, vm: &str, sent: Instant, now: Instant) {
        count(&self.control.counters().probes_missed, 1);
        self.silent.borrow_mut().insert(name_hash(vm));
        self.record_zone_miss(vm, sent);
        let change = self.control.members_mut().on_missed(vm, now);
        self.control.notify_member(change);
        if !self.control.members().has_missed_probe(vm) {
            return;
        }
        let Some(target) = self.control.members().get(vm).cloned() else {
            return;
        };
        self.ping(&target);
        self.probe_indirectly(&target);
    }

    /// Records a missed probe, sent at `sent`, against the zone of its target, unless that is this daemon's own zone.
    fn record_zone_miss(&self, vm: &str, sent: Instant) {
        let members = self.control.members();
        let target = members.get(vm).filter(|target| target.is_live());
        let Some(target) = target.filter(|target| target.zone != members.me().zone) else {
            return;
        };
        if self.zones.borrow_mut().on_missed(&target.zone, sent) {
            Event::new("zone_quiet")
                .field("zone", &target.zone)
                .field("missed", vm)
                .info();
        }
    }

    fn probe_indirectly(&self, target: &Member) {
        let helpers = {
            let members = self.control.members();
            let me = members.me().vm.clone();
            let others = members
                .live_in_zone(&members.me().zone)
                .filter(|m| m.vm != me && m.vm != target.vm && m.state == MemberState::Alive)
                .cloned();
            others.choose_multiple(&mut *self.control.rng(), INDIRECT_PROBES)
        };
        for helper in helpers {
            let seq = self.take_seq();
            self.register_pending(seq, target, false);
            let target = name_hash(&target.vm);
            let updates = self.updates_for(&helper);
            let message = RelayMessage::PingRequest {
                seq,
                target,
                updates,
            };
            self.send(&helper, &message);
        }
    }

    /// Registers a pending probe; only a direct one can be recorded as missed.
    fn register_pending(&self, seq: u32, target: &Member, direct: bool) {
        let pending = Pending {
            vm: target.vm.clone(),
            sent: Instant::now(),
            direct,
        };
        self.pending.borrow_mut().insert(seq, pending);
    }

    fn ping_on_behalf(&self, origin: u32, addr: SocketAddr, seq: u32, target: u32) {
        if self.indirect.borrow().len() >= INDIRECT_MAX {
            return;
        }
        let Some(target) = self.control.members().by_hash(target).cloned() else {
            return;
        };
        let own = self.take_seq();
        let request = IndirectProbe {
            origin,
            addr,
            seq,
            sent: Instant::now(),
        };
        self.indirect.borrow_mut().insert(own, request);
        let updates = self.updates_for(&target);
        self.send(&target, &RelayMessage::Ping { seq: own, updates });
    }

    fn on_ack(&self, from: u32, seq: u32) {
        if let Some(request) = self.indirect.borrow_mut().remove(&seq) {
            self.ack(request.origin, request.addr, request.seq);
            return;
        }
        let Some(pending) = self.pending.borrow_mut().remove(&seq) else {
            return;
        };
        if !pending.direct || name_hash(&pending.vm) == from {
            self.control.members_mut().on_ack(&pending.vm);
        }
    }

    fn ack(&self, to: u32, addr: SocketAddr, seq: u32) {
        let about = self.control.members().by_hash(to).cloned();
        let updates = match about {
            Some(member) => self.updates_for(&member),
            None => self.updates(),
        };
        let message = RelayMessage::Ack { seq, updates };
        if !self.control.is_denied_hash(to) {
            self.sender.send(to, addr, &message);
        }
    }

    fn send(&self, to: &Member, message: &RelayMessage) {
        if !self.control.is_denied(&to.vm) {
            self.sender.send(name_hash(&to.vm), to.relay, message);
        }
    }

    /// Returns this daemon's record, gossip, and the record held of `peer`, so that it can refute it.
    fn updates_for(&self, peer: &Member) -> Vec<MemberUpdate> {
        let mut updates = self.updates();
        if peer.version > 0 {
            updates.push(record::to_wire(peer));
        }
        updates
    }

    fn updates(&self) -> Vec<MemberUpdate> {
        let gossip = self.control.settings().limits.gossip;
        let mut members = self.control.members_mut();
        let mut updates = vec![record::to_wire(members.me())];
        let gossiped = members.gossip(gossip);
        updates.extend(
            gossiped
                .iter()
                .skip_while(|m| m.vm == members.me().vm)
                .map(record::to_wire),
        );
        updates
    }

    fn take_seq(&self) -> u32 {
        let seq = self.next_seq.get();
        self.next_seq.set(seq.wrapping_add(1));
        seq
    }
}
