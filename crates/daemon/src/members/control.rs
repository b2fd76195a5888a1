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

/// A document in force with its text, which is passed on to peers.
#[derive(Clone, Debug)]
pub struct AcceptedDocument {
    /// Text as the platform gave it.
    pub text: Rc<str>,
    /// The document.
    pub document: Rc<ServiceDocument>,
}

/// Records or documents in one copy up to which they are passed on as news.
pub(crate) const GOSSIP_BATCH_MAX: usize = 32;

type Listener = Rc<dyn Fn(&ControlEvent)>;

/// Control state that the tasks of one daemon share.
pub struct Control {
    settings: ControlSettings,
    members: RefCell<Members>,
    documents: RefCell<Documents<AcceptedDocument>>,
    /// Names that documents have in common.
    names: RefCell<NamePool>,
    pub(crate) pause: RefCell<PauseDetector>,
    deny: RefCell<Deny>,
    rng: RefCell<SmallRng>,
    listeners: RefCell<Vec<Listener>>,
    fresh: RefCell<Vec<Rc<str>>>,
    confirmed: Cell<Option<Instant>>,
    /// Who vouched for this daemon so far.
    pub(crate) partial_syncs: PartialSyncs,
    links: Rc<Links>,
    counters: ControlCounters,
    /// Set when there are changes to announce.
    pub(crate) changed_wake: Wake,
    /// Set when an exchange with a peer is wanted at once.
    pub(crate) exchange_wake: Wake,
    /// Set when a round of probes is wanted at once.
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
            fresh: RefCell::default(),
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

    /// Returns the settings.
    pub fn settings(&self) -> &ControlSettings {
        &self.settings
    }

    /// Returns the members; not to be held across an await.
    pub fn members(&self) -> Ref<'_, Members> {
        self.members.borrow()
    }

    /// Returns the documents in force; not to be held across an await.
    pub fn documents(&self) -> Ref<'_, Documents<AcceptedDocument>> {
        self.documents.borrow()
    }

    /// Returns the links to peers.
    pub fn links(&self) -> &Rc<Links> {
        &self.links
    }

    /// Returns the counters.
    pub fn counters(&self) -> &ControlCounters {
        &self.counters
    }

    /// Returns when the platform last confirmed the documents, directly or through peers.
    pub fn confirmed(&self) -> Option<Instant> {
        self.confirmed.get()
    }

    /// Calls `listener` at each change, after the change is visible.
    pub fn subscribe(&self, listener: impl Fn(&ControlEvent) + 'static) {
        self.listeners.borrow_mut().push(Rc::new(listener));
    }

    /// Cuts off the given VMs and, by the name `platform`, the platform.
    pub fn set_deny(&self, names: impl IntoIterator<Item = Rc<str>>) {
        *self.deny.borrow_mut() = Deny::new(names);
        self.links.close_all();
    }

    /// Returns whether a VM, or the platform, is cut off.
    pub fn is_denied(&self, name: &str) -> bool {
        self.deny.borrow().contains(name)
    }

    /// Returns whether the VM whose id has this hash is cut off.
    pub fn is_denied_hash(&self, hash: u32) -> bool {
        self.deny.borrow().contains_hash(hash)
    }

    /// Returns whether new work may be taken now.
    pub fn admits(&self, now: Instant) -> bool {
        self.pause.borrow_mut().admits(now)
    }

    /// Returns whether this daemon has synced since its start or its last pause.
    pub fn is_synced(&self) -> bool {
        self.pause.borrow().fence() == Fence::Open
    }

    /// Marks this daemon as leaving and tells the others at once.
    pub fn leave(&self) {
        self.members.borrow_mut().leave();
        self.probe_wake.set();
        self.exchange_wake.set();
    }

    /// Takes news about members from a peer.
    pub fn merge_members(&self, updates: impl IntoIterator<Item = MemberUpdate>) {
        let now = Instant::now();
        for update in updates {
            let update = record::from_wire(update);
            let change = self.members.borrow_mut().merge(update, now);
            self.notify_member(change);
        }
    }

    /// Takes members from a copy of a peer's view; few records count as news, many do not.
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

    /// Returns the bytes a second that copies may take now.
    pub(crate) fn copy_rate(&self) -> u64 {
        let limits = self.settings.limits;
        match self.members.borrow().has_gossip_backlog(limits.gossip) {
            true => limits.copy_rate_busy,
            false => limits.copy_rate,
        }
    }

    /// Returns this daemon's own record as it is sent.
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

    /// Adds a service to those that changed.
    pub(crate) fn push_changed(&self, service: &Rc<str>) {
        self.fresh.borrow_mut().push(service.clone());
        self.changed_wake.set();
    }

    /// Takes the services that changed since the last call.
    pub fn take_changed(&self) -> Vec<Rc<str>> {
        self.fresh.take()
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

    /// Tells all listeners.
    pub(crate) fn notify(&self, event: &ControlEvent) {
        let listeners = self.listeners.borrow().clone();
        for listener in listeners {
            listener(event);
        }
    }
}
