//! Liveness probes over the relay.

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

/// Members asked to probe a member that missed a probe.
const HELPERS: usize = 2;

/// Probes for others that are remembered at a time.
const ON_BEHALF_MAX: usize = 256;

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
struct OnBehalf {
    origin: u32,
    addr: SocketAddr,
    seq: u32,
    sent: Instant,
}

/// Probes members and answers their probes.
pub struct Prober<S> {
    control: Rc<Control>,
    sender: S,
    next_seq: Cell<u32>,
    last_expiry: Cell<Instant>,
    heard: RefCell<HashMap<u32, Instant>>,
    /// Members that missed a direct probe and were not heard since.
    silent: RefCell<HashSet<u32>>,
    zones: RefCell<SuspectZones>,
    on_demand_probes: Cell<u32>,
    pending: RefCell<HashMap<u32, Pending>>,
    on_behalf: RefCell<HashMap<u32, OnBehalf>>,
}

impl<S: RelaySender> Prober<S> {
    /// Creates a prober that sends through `sender`.
    pub fn new(control: Rc<Control>, sender: S) -> Rc<Self> {
        Rc::new(Self {
            next_seq: Cell::new(control.settings().incarnation),
            last_expiry: Cell::new(Instant::now()),
            heard: RefCell::default(),
            silent: RefCell::default(),
            zones: RefCell::default(),
            on_demand_probes: Cell::new(control.settings().limits.on_demand_probes),
            control,
            sender,
            pending: RefCell::default(),
            on_behalf: RefCell::default(),
        })
    }

    /// Probes a few random members in each interval, without end.
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
            if monoio::time::timeout(limits.probe_tick, wake).await.is_ok() {
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

    /// Probes a daemon that a packet goes to, unless it was heard of lately or is probed already; `hash` is that of
    /// its VM id.
    ///
    /// In a large fleet nearly each packet goes to a daemon not heard of lately, hence the limit.
    pub fn probe_on_demand(&self, member: &Member, hash: u32) {
        let left = self.on_demand_probes.get();
        if left == 0 || self.is_heard(hash) || self.is_probed(member) {
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

    fn is_heard(&self, vm: u32) -> bool {
        let fresh = self.control.settings().limits.contact_ttl;
        let heard = self.heard.borrow();
        let at = heard.get(&vm);
        at.is_some_and(|at| at.elapsed() < fresh)
    }

    fn is_probed(&self, member: &Member) -> bool {
        let pending = self.pending.borrow();
        pending.values().any(|p| p.vm == member.vm)
    }

    /// Notes that a daemon was heard of.
    pub fn on_received(&self, from: u32) {
        self.heard.borrow_mut().insert(from, Instant::now());
        self.silent.borrow_mut().remove(&from);
        let members = self.control.members();
        if let Some(member) = members.by_hash(from) {
            let mut zones = self.zones.borrow_mut();
            zones.on_received(&member.zone, Instant::now());
        }
    }

    /// Whether a zone may be cut off from here.
    pub fn is_suspect(&self, zone: &str) -> bool {
        self.zones.borrow().is_suspect(zone)
    }

    /// Raised whenever a zone becomes quiet or is heard again.
    pub fn suspect_version(&self) -> u64 {
        self.zones.borrow().version()
    }

    /// Whether the member with this hash of its VM id missed a direct probe and was not heard since.
    pub fn is_silent(&self, vm: u32) -> bool {
        self.silent.borrow().contains(&vm)
    }

    /// A live member that is not silent, by which `to` may still be reached.
    pub fn alternate_relay(&self, to: &Member) -> Option<Member> {
        let silent = self.silent.borrow();
        let members = self.control.members();
        let others = members.iter().skip(1).filter(|member| {
            let heard = !silent.contains(&name_hash(&member.vm));
            heard && member.vm != to.vm && member.state == MemberState::Alive
        });
        others.choose(&mut *self.control.rng()).cloned()
    }

    /// Sends one round of probes.
    pub fn send_probes(&self) {
        let limits = self.control.settings().limits;
        let fresh = limits.contact_ttl;
        self.on_demand_probes.set(limits.on_demand_probes);
        self.heard.borrow_mut().retain(|_, at| at.elapsed() < fresh);
        let mut members = self.control.members_mut();
        let known = |vm: &u32| members.by_hash(*vm).is_some_and(Member::is_live);
        self.silent.borrow_mut().retain(known);
        let targets = members.probe_targets(&mut *self.control.rng());
        drop(members);
        for target in targets {
            self.ping(&target);
        }
    }

    /// Counts probes that were not answered in time; each is tried once more, also by others.
    ///
    /// Nothing is counted when this process itself did not run: the answers may still be unread.
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
        self.on_behalf.borrow_mut().retain(|_, p| !late(p.sent));
        let limits = self.control.settings().limits;
        let asleep = now.saturating_duration_since(self.last_expiry.replace(now));
        if asleep > 2 * limits.probe_interval {
            return;
        }
        for (vm, sent) in missed {
            self.miss(&vm, sent, now);
        }
    }

    /// Takes a message of the relay that is about probes; others are ignored.
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
        self.await_answer(seq, target, true);
        count(&self.control.counters().probes_sent, 1);
        let updates = self.updates_for(target);
        self.send(target, &RelayMessage::Ping { seq, updates });
    }

    fn miss(&self, vm: &str, sent: Instant, now: Instant) {
        count(&self.control.counters().probes_missed, 1);
        self.silent.borrow_mut().insert(name_hash(vm));
        self.miss_zone(vm, sent);
        let change = self.control.members_mut().on_missed(vm, now);
        self.control.notify_member(change);
        if !self.control.members().has_missed_probe(vm) {
            return;
        }
        let Some(target) = self.control.members().get(vm).cloned() else {
            return;
        };
        self.ping(&target);
        self.ask_helpers(&target);
    }

    /// Notes what a missed probe that was sent at `sent` tells about its zone, if that is not this daemon's own.
    fn miss_zone(&self, vm: &str, sent: Instant) {
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

    fn ask_helpers(&self, target: &Member) {
        let helpers = {
            let members = self.control.members();
            let me = members.me().vm.clone();
            let others = members
                .live_in_zone(&members.me().zone)
                .filter(|m| m.vm != me && m.vm != target.vm && m.state == MemberState::Alive)
                .cloned();
            others.choose_multiple(&mut *self.control.rng(), HELPERS)
        };
        for helper in helpers {
            let seq = self.take_seq();
            self.await_answer(seq, target, false);
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

    /// Only a direct probe that is not answered counts as missed.
    fn await_answer(&self, seq: u32, target: &Member, direct: bool) {
        let pending = Pending {
            vm: target.vm.clone(),
            sent: Instant::now(),
            direct,
        };
        self.pending.borrow_mut().insert(seq, pending);
    }

    fn ping_on_behalf(&self, origin: u32, addr: SocketAddr, seq: u32, target: u32) {
        if self.on_behalf.borrow().len() >= ON_BEHALF_MAX {
            return;
        }
        let Some(target) = self.control.members().by_hash(target).cloned() else {
            return;
        };
        let own = self.take_seq();
        let request = OnBehalf {
            origin,
            addr,
            seq,
            sent: Instant::now(),
        };
        self.on_behalf.borrow_mut().insert(own, request);
        let updates = self.updates_for(&target);
        self.send(&target, &RelayMessage::Ping { seq: own, updates });
    }

    fn on_ack(&self, from: u32, seq: u32) {
        if let Some(request) = self.on_behalf.borrow_mut().remove(&seq) {
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

    /// Returns this daemon's record and news; and what is held of `peer`, for it to refute.
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
        let news = members.gossip(gossip);
        updates.extend(
            news.iter()
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
