//! Hand-over of upstreams between owners.
//!
//! A daemon that becomes the owner of an upstream claims it from the former owner, which gives up its
//! state and ends what it has in progress. A former owner that is gone gives nothing: the upstream then
//! starts at its cold-start allowance, and flows are learnt from their packets.

use crate::{
    data::{
        feed::Feed,
        flow::{
            FlowStart,
            Flows, //
        },
        load::{
            Load,
            LoadSpec, //
        },
        owner::Holding,
        path::DataPath,
        upstream::{
            CallerToken,
            Upstream, //
        },
    },
    links::{
        LinkHandler,
        LinkReply,
        LinkRequest, //
    },
    logging::Event,
    metrics::HandOverResult,
    supervisor::Restart, //
};
use foxtailhinge_policy::{
    ledger::FlowLedger,
    members::{
        Member,
        MemberState, //
    },
    rendezvous::score,
};
use foxtailhinge_wire::{
    coap::Datagram,
    message::{
        AllowanceRecord,
        FeedRecord,
        Finished,
        FlowRecord,
        HandOver,
        OwnerReply,
        OwnerRequest, //
    },
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Claims of one upstream before its former owner counts as gone.
const CLAIMS_MAX: u32 = 8;

/// Time that the former owner has to answer a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);

/// Wait between two claims.
const CLAIM_PAUSE: Duration = Duration::from_millis(200);

/// Time between two reports of what ended after a hand-over.
const PARTING_PERIOD: Duration = Duration::from_millis(50);

/// Time for which a former owner passes notifications on while the next owner takes feeds up.
const FEEDS_LEASE: Duration = Duration::from_secs(5);

/// An upstream that this daemon owns by its view.
#[derive(Debug, Clone)]
pub struct Owned {
    /// The name by which owners are drawn.
    pub key: Rc<str>,
    /// The upstream's availability zone.
    pub zone: Rc<str>,
    /// What the documents declare.
    pub spec: LoadSpec,
}

impl DataPath {
    /// Brings what this daemon holds in line with what it owns by its view and the documents.
    pub fn reconcile(self: &Rc<Self>) {
        let now = Instant::now();
        if !self.is_ready(now) {
            return;
        }
        for (addr, owned) in self.owned() {
            let held = match self.upstreams.borrow().get(&addr) {
                Some(Holding::Held(up)) => Some(Rc::clone(up)),
                Some(Holding::Claiming(_)) => continue,
                None => None,
            };
            match held {
                Some(up) => up.load_mut().set_spec(owned.spec, now),
                None => self.claim(addr, owned),
            }
        }
    }

    /// The upstreams of this availability zone that this daemon owns.
    fn owned(&self) -> HashMap<SocketAddr, Owned> {
        let mut owned: HashMap<SocketAddr, Owned> = HashMap::new();
        let settings = self.control.settings();
        for service in self.services.borrow().values() {
            for (_, named) in service.upstreams() {
                if *named.spec.zone != *settings.zone {
                    continue;
                }
                let owner = self.owner(named.key, &settings.zone);
                if !owner.is_some_and(|member| self.is_me(&member)) {
                    continue;
                }
                let spec = service.load_spec(named.spec);
                owned
                    .entry(named.spec.address)
                    .and_modify(|entry| entry.spec = entry.spec.both(spec))
                    .or_insert_with(|| Owned {
                        key: Rc::clone(named.key),
                        zone: Rc::clone(&settings.zone),
                        spec,
                    });
            }
        }
        owned
    }

    fn claim(self: &Rc<Self>, addr: SocketAddr, owned: Owned) {
        let holding = Holding::Claiming(Vec::new());
        self.upstreams.borrow_mut().insert(addr, holding);
        let path = Rc::clone(self);
        self.spawn("claim", async move {
            let former = path.ask_former(addr, &owned).await;
            path.take_up(addr, &owned, former);
        });
    }

    /// Asks the former owner for the upstream's state; nothing when it has none or is gone.
    async fn ask_former(&self, addr: SocketAddr, owned: &Owned) -> Option<(Member, HandOver)> {
        let claim = LinkRequest::Owner(OwnerRequest::Claim { upstream: addr });
        for _ in 0..CLAIMS_MAX {
            let former = self.former_owner(owned)?;
            let links = Rc::clone(self.control.links());
            let answer = links.request(&self.control, &former, &claim);
            match monoio::time::timeout(CLAIM_TIMEOUT, answer).await {
                Ok(Ok(LinkReply::Owner(OwnerReply::HandOver(state)))) => {
                    return Some((former, state));
                }
                Ok(Ok(LinkReply::Owner(OwnerReply::NotHeld))) => return None,
                _ => monoio::time::sleep(CLAIM_PAUSE).await,
            }
        }
        None
    }

    /// Claims the held upstreams from the daemons that may have taken them up during a pause.
    pub fn claim_again(self: &Rc<Self>) {
        for up in self.all_held() {
            self.join_holders(up);
        }
    }

    /// Takes over what another daemon has done with an upstream that this one holds too.
    fn join_holders(self: &Rc<Self>, up: Rc<Upstream>) {
        let owned = Owned {
            key: Rc::clone(up.key()),
            zone: Rc::clone(up.zone()),
            spec: up.load().spec(),
        };
        let path = Rc::clone(self);
        self.spawn("join_holders", async move {
            if let Some((member, state)) = path.ask_former(up.addr(), &owned).await {
                let (slots, in_use) = (state.allowance.slots, state.in_use);
                up.load_mut().join(slots, in_use, Instant::now());
                path.take_flows(&up, member, state);
            }
        });
    }

    /// Another daemon holds an upstream that this one owns by its view.
    fn on_offer(self: &Rc<Self>, addr: SocketAddr) {
        match self.held(addr) {
            Some(up) => self.join_holders(up),
            None => self.reconcile(),
        }
    }

    /// Offers an upstream to the daemon that owns it by this one's view, in case that does not know.
    pub fn offer_upstream(self: &Rc<Self>, up: &Rc<Upstream>, owner: Member) {
        let path = Rc::clone(self);
        let upstream = up.addr();
        self.spawn("offer", async move {
            path.tell(&owner, OwnerRequest::Offer { upstream }).await;
        });
    }

    /// The daemon that owned the upstream if this one had not been there.
    fn former_owner(&self, owned: &Owned) -> Option<Member> {
        let members = self.control.members();
        members
            .iter()
            .filter(|m| m.zone == owned.zone && m.state != MemberState::Dead && !self.is_me(m))
            .max_by_key(|m| score(&owned.key, &m.vm))
            .cloned()
    }

    fn take_up(
        self: &Rc<Self>,
        addr: SocketAddr,
        owned: &Owned,
        former: Option<(Member, HandOver)>,
    ) {
        let up = match self.build(addr, owned, former.as_ref().map(|(_, state)| state)) {
            Ok(up) => up,
            Err(err) => {
                Event::new("upstream_socket_failed")
                    .field("upstream", addr)
                    .field("cause", err)
                    .error();
                self.upstreams.borrow_mut().remove(&addr);
                return;
            }
        };
        let held = Holding::Held(Rc::clone(&up));
        let before = self.upstreams.borrow_mut().insert(addr, held);
        self.watch(&up);
        let me = Rc::clone(&self.control.settings().vm);
        let from = former.as_ref().map(|(member, _)| &*member.vm);
        self.record_owner(addr, from, Some(&me));
        if let Some((member, state)) = former {
            self.metrics.hand_overs.inc(HandOverResult::Received);
            Event::new("upstream_received")
                .field("upstream", addr)
                .field("from", &member.vm)
                .field("flows", state.flows.len())
                .field("feeds", state.feeds.len())
                .info();
            self.take_flows(&up, member, state);
        }
        if let Some(Holding::Claiming(waiting)) = before {
            for msg in waiting {
                self.on_relay(self.me, addr, msg);
            }
        }
    }

    fn build(
        &self,
        addr: SocketAddr,
        owned: &Owned,
        former: Option<&HandOver>,
    ) -> std::io::Result<Rc<Upstream>> {
        let now = Instant::now();
        let load = match former {
            Some(state) => Load::handed_over(owned.spec, state.allowance.slots, state.in_use, now),
            None => Load::cold(owned.spec, now),
        };
        let flows = Flows::new(self.me, self.incarnation, Rc::clone(&self.numbers));
        let up = Upstream::new(addr, Rc::clone(&owned.zone), load, flows)?;
        up.set_incarnation(former.and_then(|state| state.upstream_incarnation));
        Ok(up)
    }

    fn watch(self: &Rc<Self>, up: &Rc<Upstream>) {
        let path = Rc::clone(self);
        let up = Rc::clone(up);
        let name = format!("upstream {}", up.addr());
        self.supervisor.child(&name, Restart::OnFailure, move |_| {
            let path = Rc::clone(&path);
            let up = Rc::clone(&up);
            async move { Ok(path.read_upstream(up).await?) }
        });
    }

    fn take_flows(self: &Rc<Self>, up: &Rc<Upstream>, former: Member, state: HandOver) {
        let now = Instant::now();
        for record in state.flows {
            let start = FlowStart {
                service: record.service,
                name: record.name,
                caller: record.caller,
            };
            let ledger = FlowLedger::import(record.ledger, now);
            up.load_mut().adopt();
            up.flows
                .borrow_mut()
                .import(&record.keys, start, ledger, now);
        }
        for key in state.opened {
            up.flows.borrow_mut().import_opened(key, now);
        }
        let path = Rc::clone(self);
        let up = Rc::clone(up);
        self.spawn("take_feeds", async move {
            for record in state.feeds {
                path.take_feed(&up, record).await;
            }
            let upstream = up.addr();
            Event::new("feeds_taken_up")
                .field("upstream", upstream)
                .field("feeds", up.feeds.borrow().len())
                .info();
            path.tell(&former, OwnerRequest::Settled { upstream }).await;
        });
    }

    /// Registers a feed of the former owner at the upstream again.
    async fn take_feed(self: &Rc<Self>, up: &Rc<Upstream>, record: FeedRecord) {
        let Ok(request) = Datagram::parse(&record.request) else {
            return;
        };
        let Some((flow, start)) = up.flows.borrow_mut().resolve(record.flow) else {
            return;
        };
        let now = Instant::now();
        let caller = CallerToken::of(record.caller, &request);
        if up.feeds.borrow().token(&caller).is_some() {
            return;
        }
        let mut feed = Feed::new(caller, start.service, start.name, flow, request, now);
        feed.observe = record.observe;
        let token = up.next_token();
        up.feeds.borrow_mut().insert(token, feed);
        if let Some(job) = self.registration(up, token) {
            self.serve(&job).await;
        }
    }

    /// Answers a claim of another daemon.
    fn on_claim(self: &Rc<Self>, from: &Rc<str>, addr: SocketAddr) -> OwnerReply {
        let held = match self.upstreams.borrow().get(&addr) {
            Some(Holding::Held(up)) => Some(Rc::clone(up)),
            Some(Holding::Claiming(_)) | None => None,
        };
        let Some(up) = held else {
            return OwnerReply::NotHeld;
        };
        let owner = self.owner(up.key(), up.zone());
        if owner.is_none_or(|member| member.vm != *from) {
            return OwnerReply::NotYours;
        }
        self.upstreams.borrow_mut().remove(&addr);
        self.metrics.hand_overs.inc(HandOverResult::Confirmed);
        let me = Rc::clone(&self.control.settings().vm);
        self.record_owner(addr, Some(&me), Some(from));
        let state = export(&up);
        Event::new("upstream_handed_over")
            .field("upstream", addr)
            .field("to", from)
            .field("flows", state.flows.len())
            .field("feeds", state.feeds.len())
            .field("in_use", state.in_use)
            .info();
        self.part(up, from, state.in_use);
        OwnerReply::HandOver(state)
    }

    /// Ends what is in progress at an upstream that was handed over, and reports it to the next owner.
    fn part(self: &Rc<Self>, up: Rc<Upstream>, next: &Rc<str>, in_use: u32) {
        up.part();
        up.load_mut().part(in_use, Instant::now());
        let path = Rc::clone(self);
        let next = Rc::clone(next);
        self.parting.borrow_mut().insert(up.addr(), Rc::clone(&up));
        self.spawn("part", async move {
            path.report_finished(&up, &next, in_use).await;
            up.socket().close();
            let mut parting = path.parting.borrow_mut();
            let same = parting
                .get(&up.addr())
                .is_some_and(|other| Rc::ptr_eq(other, &up));
            if same {
                parting.remove(&up.addr());
            }
        });
    }

    async fn report_finished(&self, up: &Rc<Upstream>, next: &str, in_use: u32) {
        let since = Instant::now();
        let mut reported = in_use;
        loop {
            monoio::time::sleep(PARTING_PERIOD).await;
            if since.elapsed() >= FEEDS_LEASE {
                drop(up.feeds.borrow_mut().take());
            }
            let running = up.running();
            let slots = reported.saturating_sub(running);
            let runs = up.take_finished();
            if slots > 0 || !runs.is_empty() {
                reported = reported.min(running);
                up.load_mut().part(reported, Instant::now());
                let finished = Finished {
                    upstream: up.addr(),
                    slots,
                    runs,
                };
                let member = self.control.members().get(next).cloned();
                if let Some(member) = member {
                    self.tell(&member, OwnerRequest::Finished(finished)).await;
                }
            }
            if running == 0 && up.feeds.borrow().is_empty() {
                return;
            }
        }
    }

    async fn tell(&self, member: &Member, request: OwnerRequest) {
        let links = Rc::clone(self.control.links());
        let request = LinkRequest::Owner(request);
        if let Err(err) = links.request(&self.control, member, &request).await {
            Event::new("owner_report_lost")
                .field("vm", &member.vm)
                .field("cause", err)
                .warn();
        }
    }

    fn on_settled(&self, addr: SocketAddr) {
        if let Some(up) = self.parting.borrow().get(&addr) {
            drop(up.feeds.borrow_mut().take());
        }
    }

    fn on_finished(&self, finished: Finished) {
        let Some(up) = self.held(finished.upstream) else {
            return;
        };
        let now = Instant::now();
        up.load_mut().finish_elsewhere(finished.slots, now);
        up.promote(now);
        let mut flows = up.flows.borrow_mut();
        for run in finished.runs {
            if let Some((flow, _)) = flows.resolve(run.flow) {
                if let Some(entry) = flows.get_mut(flow) {
                    entry.ledger.finish(&run.token, run.answer.into(), now);
                }
            }
        }
    }

    /// The upstream with this address, if this daemon holds it.
    pub fn held(&self, addr: SocketAddr) -> Option<Rc<Upstream>> {
        match self.upstreams.borrow().get(&addr)? {
            Holding::Held(up) => Some(Rc::clone(up)),
            Holding::Claiming(_) => None,
        }
    }
}

impl LinkHandler for Rc<DataPath> {
    fn on_owner_request(
        &self,
        from: &Rc<str>,
        _incarnation: u32,
        request: OwnerRequest,
    ) -> OwnerReply {
        match request {
            OwnerRequest::Claim { upstream } => self.on_claim(from, upstream),
            OwnerRequest::Offer { upstream } => {
                self.on_offer(upstream);
                OwnerReply::Ok
            }
            OwnerRequest::Settled { upstream } => {
                self.on_settled(upstream);
                OwnerReply::Ok
            }
            OwnerRequest::Finished(finished) => {
                self.on_finished(finished);
                OwnerReply::Ok
            }
        }
    }
}

/// The upstream's state for its next owner; nothing new runs here afterwards.
fn export(up: &Rc<Upstream>) -> HandOver {
    let now = Instant::now();
    let (slots, connections) = up.load().allowance(now);
    let mut flows = up.flows.borrow_mut();
    let mut keys = flows.keys();
    let feeds = up
        .feeds
        .borrow()
        .iter()
        .map(|(_, feed)| FeedRecord {
            flow: flows.name(feed.flow),
            caller: feed.caller.caller,
            observe: feed.observe,
            request: feed.request.to_bytes(),
        })
        .collect();
    let opened = flows.take_opened();
    let flows = flows
        .iter_mut()
        .filter(|(_, entry)| entry.given_up.is_none())
        .map(|(flow, entry)| FlowRecord {
            keys: keys.remove(&flow).unwrap_or_default(),
            service: entry.service,
            name: entry.name,
            caller: entry.caller,
            ledger: entry.ledger.export(),
        })
        .collect();
    HandOver {
        upstream: up.addr(),
        upstream_incarnation: up.incarnation(),
        allowance: AllowanceRecord { slots, connections },
        in_use: up.running(),
        flows,
        opened,
        feeds,
    }
}
