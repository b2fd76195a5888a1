//! Control state of one daemon: members, documents in force, and the fence.

use super::{
    counters::ControlCounters,
    deny::Deny,
    event::ControlEvent,
    partial_syncs::PartialSyncs, //
    record,
    settings::ControlSettings,
};
use crate::{
    links::Links,
    wake::Wake, //
};
use foxtailhinge_config::{
    document::ServiceDocument,
    name_pool::NamePool, //
};
use foxtailhinge_policy::{
    members::{
        Change,
        ChangeKind,
        Member,
        MemberState,
        Members, //
    },
    pause::{
        Fence,
        PauseDetector, //
    },
    revisions::Documents,
};
use foxtailhinge_wire::message::MemberUpdate;
use rand::{
    rngs::SmallRng,
    SeedableRng, //
};
use std::{
    cell::{
        Cell,
        Ref,
        RefCell,
        RefMut, //
    },
    fmt,
    rc::Rc,
    time::Instant,
};

/// A document in force with its text, which is sent to peers.
#[derive(Clone, Debug)]
pub struct AcceptedDocument {
    /// Text as published by the platform.
    pub text: Rc<str>,
    /// The parsed document.
    pub document: Rc<ServiceDocument>,
}

/// Maximum size of a batch of copied records or documents that is gossiped or announced; larger ones are not.
pub(crate) const GOSSIP_BATCH_MAX: usize = 32;

type Listener = Rc<dyn Fn(&ControlEvent)>;

/// Control state that the tasks of one daemon share.
pub struct Control {
    settings: ControlSettings,
    members: RefCell<Members>,
    documents: RefCell<Documents<AcceptedDocument>>,
    /// Interned names, which documents share.
    names: RefCell<NamePool>,
    pub(crate) pause: RefCell<PauseDetector>,
    deny: RefCell<Deny>,
    rng: RefCell<SmallRng>,
    listeners: RefCell<Vec<Listener>>,
    changed: RefCell<Vec<Rc<str>>>,
    confirmed: Cell<Option<Instant>>,
    /// Latest syncs that are not enough alone to open the fence.
    pub(crate) partial_syncs: PartialSyncs,
    links: Rc<Links>,
    counters: ControlCounters,
    /// Set when there are changed documents to announce.
    pub(crate) changed_wake: Wake,
    /// Set to start an exchange with a peer at once.
    pub(crate) exchange_wake: Wake,
    /// Set to start a round of probes at once.
    pub(crate) probe_wake: Wake,
}

impl fmt::Debug for Control {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Control")
            .field("vm", &self.settings.vm)
            .finish_non_exhaustive()
    }
}

impl Control {
    /// Creates the control state of a daemon that knows only its settings.
    pub fn new(settings: ControlSettings) -> Rc<Self> {
        let now = Instant::now();
        let me = Member {
            vm: settings.vm.clone(),
            zone: settings.zone.clone(),
            relay: settings.relay,
            control: settings.control,
            incarnation: settings.incarnation,
            state: MemberState::Alive,
            version: 1,
        };
        let mut members = Members::new(me, settings.members);
        for peer in &settings.peers {
            members.add_listed(peer.clone(), now);
        }
        Rc::new(Self {
            members: RefCell::new(members),
            documents: RefCell::default(),
            names: RefCell::default(),
            pause: RefCell::new(PauseDetector::new(settings.pause, now)),
            deny: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(settings.seed)),
            listeners: RefCell::default(),
            changed: RefCell::default(),
            confirmed: Cell::new(None),
            partial_syncs: PartialSyncs::default(),
            links: Rc::new(Links::new(settings.limits)),
            counters: ControlCounters::default(),
            changed_wake: Wake::default(),
            exchange_wake: Wake::default(),
            probe_wake: Wake::default(),
            settings,
        })
    }

    /// Returns the settings, which never change.
    pub fn settings(&self) -> &ControlSettings {
        &self.settings
    }

    /// Borrows the members; the borrow must not be held across an await.
    pub fn members(&self) -> Ref<'_, Members> {
        self.members.borrow()
    }

    /// Borrows the documents in force; the borrow must not be held across an await.
    pub fn documents(&self) -> Ref<'_, Documents<AcceptedDocument>> {
        self.documents.borrow()
    }

    /// Returns the links to peers.
    pub fn links(&self) -> &Rc<Links> {
        &self.links
    }

    /// Returns the counters of the control plane.
    pub fn counters(&self) -> &ControlCounters {
        &self.counters
    }

    /// Returns when the platform last confirmed the documents, directly or through peers.
    pub fn confirmed(&self) -> Option<Instant> {
        self.confirmed.get()
    }

    /// Registers `listener`, which is called after each change has become visible.
    pub fn subscribe(&self, listener: impl Fn(&ControlEvent) + 'static) {
        self.listeners.borrow_mut().push(Rc::new(listener));
    }

    /// Blocks traffic with the given VMs only, and with the platform if `names` contains `platform`.
    pub fn set_deny(&self, names: impl IntoIterator<Item = Rc<str>>) {
        *self.deny.borrow_mut() = Deny::new(names);
        self.links.close_all();
    }

    /// Returns whether traffic with a VM, or the platform, is blocked.
    pub fn is_denied(&self, name: &str) -> bool {
        self.deny.borrow().contains(name)
    }

    /// Returns whether traffic with the VM whose id has this hash is blocked.
    pub fn is_denied_hash(&self, hash: u32) -> bool {
        self.deny.borrow().contains_hash(hash)
    }

    /// Returns whether this daemon may accept new work at `now`.
    pub fn admits(&self, now: Instant) -> bool {
        self.pause.borrow_mut().admits(now)
    }

    /// Returns whether this daemon has synced since its start or its last pause.
    pub fn is_synced(&self) -> bool {
        self.pause.borrow().fence() == Fence::Open
    }

    /// Marks this daemon as leaving and spreads this at once by probes and an exchange.
    pub fn leave(&self) {
        self.members.borrow_mut().leave();
        self.probe_wake.set();
        self.exchange_wake.set();
    }

    /// Merges updates of members from a peer, which are gossiped further.
    pub fn merge_members(&self, updates: impl IntoIterator<Item = MemberUpdate>) {
        let now = Instant::now();
        for update in updates {
            let update = record::from_wire(update);
            let change = self.members.borrow_mut().merge(update, now);
            self.notify_member(change);
        }
    }

    /// Merges members from a copy of a peer's view.
    ///
    /// Up to `GOSSIP_BATCH_MAX` records are gossiped further; more are not, because other daemons know them already.
    pub fn merge_peer_view(&self, updates: Vec<MemberUpdate>) {
        if updates.len() <= GOSSIP_BATCH_MAX {
            return self.merge_members(updates);
        }
        let now = Instant::now();
        for update in updates {
            let update = record::from_wire(update);
            let change = self.members.borrow_mut().merge_without_gossip(update, now);
            self.notify_member(change);
        }
    }

    /// Returns the present rate limit of copies in bytes per second.
    pub(crate) fn copy_rate(&self) -> u64 {
        let limits = self.settings.limits;
        match self.members.borrow().has_gossip_backlog(limits.gossip) {
            true => limits.copy_rate_busy,
            false => limits.copy_rate,
        }
    }

    /// Returns this daemon's own record in its wire format.
    pub(crate) fn my_record(&self) -> MemberUpdate {
        record::to_wire(self.members.borrow().me())
    }

    pub(crate) fn members_mut(&self) -> RefMut<'_, Members> {
        self.members.borrow_mut()
    }

    pub(crate) fn documents_mut(&self) -> RefMut<'_, Documents<AcceptedDocument>> {
        self.documents.borrow_mut()
    }

    pub(crate) fn names_mut(&self) -> RefMut<'_, NamePool> {
        self.names.borrow_mut()
    }

    pub(crate) fn rng(&self) -> RefMut<'_, SmallRng> {
        self.rng.borrow_mut()
    }

    /// Queues the announcement of a service's changed document.
    pub(crate) fn push_changed(&self, service: &Rc<str>) {
        self.changed.borrow_mut().push(service.clone());
        self.changed_wake.set();
    }

    /// Removes and returns the queued services whose documents changed.
    pub fn take_changed(&self) -> Vec<Rc<str>> {
        self.changed.take()
    }

    /// Records that the platform confirmed the documents at `at`.
    pub(crate) fn confirm(&self, at: Instant) {
        if self.confirmed.get().is_none_or(|known| known < at) {
            self.confirmed.set(Some(at));
        }
    }

    pub(crate) fn notify_member(&self, change: impl IntoIterator<Item = Change>) {
        for change in change {
            if change.kind == ChangeKind::Refuted {
                self.probe_wake.set();
            }
            self.notify(&ControlEvent::Member(change));
        }
    }

    /// Calls all listeners.
    pub(crate) fn notify(&self, event: &ControlEvent) {
        let listeners = self.listeners.borrow().clone();
        for listener in listeners {
            listener(event);
        }
    }
}
