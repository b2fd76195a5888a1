//! Control state of one daemon: members, documents in force, and the fence.

use {
    super::{
        deny::Deny,
        event::{
            ControlEvent,
            Source, //
        },
        prober::{
            Prober,
            RelaySender, //
        },
        record,
        settings::ControlSettings,
        wake::Wake,
    },
    crate::{
        links::{
            exchange,
            push,
            server,
            LinkHandler,
            Links,
            Server, //
        },
        platform::Reader,
    },
    foxtailhinge_config::document::ServiceDocument,
    foxtailhinge_policy::{
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
        revisions::{
            Documents,
            Offer, //
        },
    },
    foxtailhinge_wire::message::{
        DocumentRecord,
        MemberUpdate, //
    },
    futures::join,
    rand::{
        rngs::SmallRng,
        SeedableRng, //
    },
    std::{
        cell::{
            Cell,
            Ref,
            RefCell,
            RefMut, //
        },
        fmt, io,
        rc::Rc,
        time::{
            Instant,
            SystemTime,
            UNIX_EPOCH, //
        },
    },
};

/// A document in force with its text, which is passed on to peers.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// Text as the platform gave it.
    pub text: Rc<str>,
    /// The document.
    pub document: Rc<ServiceDocument>,
}

/// With whom a daemon synced, which decides whether it may take work again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Voucher {
    /// A peer in service.
    Peer,
    /// A peer that is fenced too, as after a pause of both; counts together with the platform.
    FencedPeer,
    /// The platform, which does not tell who owns what; counts together with a fenced peer.
    Platform,
    /// The platform, when no other daemon of the zone is known.
    PlatformAlone,
}

/// Numbers of what the control part did.
#[derive(Debug, Default)]
pub struct ControlCounters {
    /// Calls of the platform.
    pub platform_calls: Cell<u64>,
    /// Calls of the platform that failed.
    pub platform_failures: Cell<u64>,
    /// Messages refused because they could not be opened.
    pub links_refused: Cell<u64>,
    /// Bytes sent on links.
    pub link_bytes_sent: Cell<u64>,
    /// Bytes received on links.
    pub link_bytes_received: Cell<u64>,
    /// Probes sent.
    pub probes_sent: Cell<u64>,
    /// Probes that were not answered in time.
    pub probes_missed: Cell<u64>,
    /// Exchanges with a peer that ended well.
    pub exchanges: Cell<u64>,
    /// Changes announced to peers.
    pub announcements: Cell<u64>,
    /// Requests for copies that were put off because the bytes for copies were spent.
    pub copies_deferred: Cell<u64>,
}

/// Adds to a counter.
pub(crate) fn count(counter: &Cell<u64>, n: u64) {
    counter.set(counter.get() + n);
}

/// Records or documents in one copy up to which they are passed on as news.
pub(crate) const NEWS_MAX: usize = 32;

type Listener = Rc<dyn Fn(&ControlEvent)>;

/// Control state that the tasks of one daemon share.
pub struct Control {
    settings: ControlSettings,
    members: RefCell<Members>,
    documents: RefCell<Documents<Accepted>>,
    pause: RefCell<PauseDetector>,
    deny: RefCell<Deny>,
    rng: RefCell<SmallRng>,
    listeners: RefCell<Vec<Listener>>,
    fresh: RefCell<Vec<Rc<str>>>,
    confirmed: Cell<Option<Instant>>,
    vouched_by_peer: Cell<Option<Instant>>,
    vouched_by_platform: Cell<Option<Instant>>,
    links: Rc<Links>,
    counters: ControlCounters,
    /// Set when there are changes to announce.
    pub(crate) fresh_wake: Wake,
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
            members.list_one(peer.clone(), now);
        }
        Rc::new(Self {
            members: RefCell::new(members),
            documents: RefCell::default(),
            pause: RefCell::new(PauseDetector::new(settings.pause, now)),
            deny: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(settings.seed)),
            listeners: RefCell::default(),
            fresh: RefCell::default(),
            confirmed: Cell::new(None),
            vouched_by_peer: Cell::new(None),
            vouched_by_platform: Cell::new(None),
            links: Rc::new(Links::new(settings.limits)),
            counters: ControlCounters::default(),
            fresh_wake: Wake::default(),
            exchange_wake: Wake::default(),
            probe_wake: Wake::default(),
            settings,
        })
    }

    /// Runs all control tasks; ends only when the control address cannot be bound.
    pub async fn run<S, H>(
        self: Rc<Self>,
        prober: Rc<Prober<S>>,
        handler: Rc<H>,
    ) -> Result<(), io::Error>
    where
        S: RelaySender + 'static,
        H: LinkHandler + 'static,
    {
        let listener = server::bind(self.settings.control)?;
        let server = Server::new(self.clone(), handler);
        let reader = Reader::new(self.clone());
        join!(
            server.run(listener),
            prober.run(),
            reader.run(),
            exchange::run(self.clone()),
            push::run(self.clone()),
            self.watch_pauses(),
        );
        Ok(())
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
    pub fn documents(&self) -> Ref<'_, Documents<Accepted>> {
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

    /// Takes a document, or a removal, from the platform or a peer.
    ///
    /// A change is told to peers, but not by a daemon that still copies what they have.
    pub fn apply_document(&self, record: DocumentRecord, source: &Source) -> Offer {
        let service: Rc<str> = record.service.into();
        let revision = record.revision;
        let known = self.documents.borrow().known(&service, revision);
        if let Some(offer) = known {
            return offer;
        }
        let document = match record.text {
            None => Ok(None),
            Some(text) => read_document(&service, text.into()).map(Some),
        };
        match document {
            Ok(document) => self.accept_document(service, revision, document, source),
            Err((text, findings)) => {
                self.refuse_document(service, revision, text, findings, source)
            }
        }
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
    pub fn learn_members(&self, updates: Vec<MemberUpdate>) {
        if updates.len() <= NEWS_MAX {
            return self.merge_members(updates);
        }
        let now = Instant::now();
        for update in updates {
            let update = record::from_wire(update);
            let change = self.members.borrow_mut().learn(update, now);
            self.notify_member(change);
        }
    }

    /// Returns this daemon's own record as it is sent.
    pub(crate) fn my_record(&self) -> MemberUpdate {
        record::to_wire(self.members.borrow().me())
    }

    pub(crate) fn members_mut(&self) -> RefMut<'_, Members> {
        self.members.borrow_mut()
    }

    pub(crate) fn documents_mut(&self) -> RefMut<'_, Documents<Accepted>> {
        self.documents.borrow_mut()
    }

    pub(crate) fn rng(&self) -> RefMut<'_, SmallRng> {
        self.rng.borrow_mut()
    }

    /// Takes the services that changed since the last call.
    pub fn take_fresh(&self) -> Vec<Rc<str>> {
        self.fresh.take()
    }

    /// Records that the platform confirmed the documents at `at`.
    pub(crate) fn confirm(&self, at: Instant) {
        if self.confirmed.get().is_none_or(|known| known < at) {
            self.confirmed.set(Some(at));
        }
    }

    /// Records a sync that began at `began`.
    pub(crate) fn synced(&self, by: Voucher, began: Instant) {
        let Fence::Closed(since) = self.pause.borrow().fence() else {
            return;
        };
        if began < since {
            return;
        }
        match by {
            Voucher::Peer | Voucher::PlatformAlone => return self.open_fence(),
            Voucher::FencedPeer => self.vouched_by_peer.set(Some(began)),
            Voucher::Platform => self.vouched_by_platform.set(Some(began)),
        }
        let fresh = |at: &Cell<Option<Instant>>| at.get().is_some_and(|at| at >= since);
        if fresh(&self.vouched_by_peer) && fresh(&self.vouched_by_platform) {
            self.open_fence();
        }
    }

    fn open_fence(&self) {
        self.pause.borrow_mut().synced();
        self.notify(&ControlEvent::Synced);
    }

    /// Records that a peer answered, so that a sync is worth waiting for.
    pub(crate) fn reached(&self, now: Instant) {
        self.pause.borrow_mut().reached(now);
    }

    pub(crate) fn notify_member(&self, change: impl IntoIterator<Item = Change>) {
        for change in change {
            if change.kind == ChangeKind::Refuted {
                self.probe_wake.set();
            }
            self.notify(&ControlEvent::Member(change));
        }
    }

    fn notify(&self, event: &ControlEvent) {
        let listeners = self.listeners.borrow().clone();
        for listener in listeners {
            listener(event);
        }
    }

    fn accept_document(
        &self,
        service: Rc<str>,
        revision: u64,
        document: Option<Accepted>,
        source: &Source,
    ) -> Offer {
        let new = document.as_ref().map(|d| d.document.clone());
        let old = self
            .documents
            .borrow()
            .get(&service)
            .map(|d| d.document.clone());
        let offer = self
            .documents
            .borrow_mut()
            .offer(&service, revision, document);
        self.announce(&service);
        self.notify(&ControlEvent::Document {
            service,
            revision,
            old,
            new,
            source: source.clone(),
        });
        offer
    }

    fn refuse_document(
        &self,
        service: Rc<str>,
        revision: u64,
        text: Rc<str>,
        findings: Vec<String>,
        source: &Source,
    ) -> Offer {
        let mut documents = self.documents.borrow_mut();
        let offer = documents.refuse(&service, revision, text, findings.clone());
        drop(documents);
        if offer == Offer::Refused {
            self.announce(&service);
            self.notify(&ControlEvent::Refused {
                service,
                revision,
                findings,
                source: source.clone(),
            });
        }
        offer
    }

    fn announce(&self, service: &Rc<str>) {
        if self.is_synced() {
            self.fresh.borrow_mut().push(service.clone());
            self.fresh_wake.set();
        }
    }

    async fn watch_pauses(&self) {
        loop {
            monoio::time::sleep(self.settings.limits.tick).await;
            let wall = SystemTime::now().duration_since(UNIX_EPOCH);
            let wall = wall.unwrap_or_default();
            let mut detector = self.pause.borrow_mut();
            detector.tick_with_wall(Instant::now(), wall);
            let pause = detector.take_pause();
            let waited = detector.fence() != Fence::Open && detector.admits(Instant::now());
            drop(detector);
            if waited {
                self.open_fence();
            }
            if let Some(pause) = pause {
                self.exchange_wake.set();
                self.notify(&ControlEvent::Paused(pause));
            }
        }
    }
}

fn read_document(service: &str, text: Rc<str>) -> Result<Accepted, (Rc<str>, Vec<String>)> {
    match ServiceDocument::parse(service, &text) {
        Ok(document) if document.service.as_ref() == service => Ok(Accepted {
            document: Rc::new(document),
            text,
        }),
        Ok(document) => {
            let finding = format!(
                "Write \"{service}\" as the service; the document names \"{}\".",
                document.service
            );
            Err((text, vec![finding]))
        }
        Err(findings) => {
            let findings = findings.iter().map(ToString::to_string).collect();
            Err((text, findings))
        }
    }
}
