//! Claims: a daemon that becomes the owner of an upstream takes it over from the former owner.
//!
//! A former owner that is gone gives nothing: the upstream then starts at its cold-start allowance, and flows
//! are learnt from their packets.

use crate::{
    exchange::{
        feed::Feed,
        flow::{
            FlowStart,
            Flows, //
        },
        load::{
            Load,
            LoadSpec, //
        },
        ownership::Ownership,
        path::DataPath,
        token::{
            CallerToken,
            UpstreamToken, //
        },
        upstream::Upstream, //
    },
    links::{
        LinkReply,
        LinkRequest, //
    },
    logging::Event,
    metrics::HandOverResult,
    supervisor::Restart, //
};
use foxtailhinge_policy::{
    former_owners::FormerOwner,
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
        FeedRecord,
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

/// An upstream that this daemon owns by its view.
#[derive(Debug, Clone)]
pub struct UpstreamClaim {
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
                Some(Ownership::Held(up)) => Some(Rc::clone(up)),
                Some(Ownership::Claiming(_)) => continue,
                None => None,
            };
            match held {
                Some(up) => up.load_mut().set_spec(owned.spec, now),
                None => self.claim(addr, owned),
            }
        }
    }

    /// The upstreams of this availability zone that this daemon owns.
    fn owned(&self) -> HashMap<SocketAddr, UpstreamClaim> {
        let mut owned: HashMap<SocketAddr, UpstreamClaim> = HashMap::new();
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
                    .and_modify(|entry| entry.spec = entry.spec.strictest(spec))
                    .or_insert_with(|| UpstreamClaim {
                        key: Rc::clone(named.key),
                        zone: Rc::clone(&settings.zone),
                        spec,
                    });
            }
        }
        owned
    }

    fn claim(self: &Rc<Self>, addr: SocketAddr, owned: UpstreamClaim) {
        let ownership = Ownership::Claiming(Vec::new());
        self.upstreams.borrow_mut().insert(addr, ownership);
        let path = Rc::clone(self);
        self.spawn("claim", async move {
            let former = path.ask_former(addr, &owned).await;
            path.take_up(addr, &owned, former);
        });
    }

    /// Asks the former owner for the upstream's state; nothing when it has none or is gone.
    async fn ask_former(
        &self,
        addr: SocketAddr,
        owned: &UpstreamClaim,
    ) -> Option<(Member, HandOver)> {
        let claim = LinkRequest::Owner(OwnerRequest::Claim {
            upstream: addr,
            id: rand::random(),
        });
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
    pub fn reclaim_held(self: &Rc<Self>) {
        for up in self.held_upstreams() {
            self.join_holders(up);
        }
    }

    /// Takes over what another daemon has done with an upstream that this one holds too.
    fn join_holders(self: &Rc<Self>, up: Rc<Upstream>) {
        let owned = UpstreamClaim {
            key: Rc::clone(up.key()),
            zone: Rc::clone(up.zone()),
            spec: up.load().spec(),
        };
        let path = Rc::clone(self);
        self.spawn("join_holders", async move {
            if let Some((member, state)) = path.ask_former(up.addr(), &owned).await {
                up.load_mut()
                    .merge_former(state.allowance.slots, Instant::now());
                path.take_flows(&up, member, state);
            }
        });
    }

    /// Another daemon holds an upstream that this one owns by its view.
    pub fn on_offer(self: &Rc<Self>, addr: SocketAddr) {
        match self.held_upstream(addr) {
            Some(up) => self.join_holders(up),
            None => self.reconcile(),
        }
    }

    /// Offers an upstream to the daemon that owns it by this one's view, in case that does not know.
    pub fn offer_upstream(self: &Rc<Self>, up: &Rc<Upstream>, owner: Member) {
        let path = Rc::clone(self);
        let upstream = up.addr();
        self.spawn("offer", async move {
            path.send_owner_request(&owner, OwnerRequest::Offer { upstream })
                .await;
        });
    }

    /// The daemon that owned the upstream if this one had not been there.
    fn former_owner(&self, owned: &UpstreamClaim) -> Option<Member> {
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
        owned: &UpstreamClaim,
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
        let held = Ownership::Held(Rc::clone(&up));
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
        if let Some(Ownership::Claiming(waiting)) = before {
            for msg in waiting {
                self.on_relay(self.me, addr, msg);
            }
        }
    }

    fn build(
        &self,
        addr: SocketAddr,
        owned: &UpstreamClaim,
        former: Option<&HandOver>,
    ) -> std::io::Result<Rc<Upstream>> {
        let now = Instant::now();
        let load = match former {
            Some(state) => Load::handed_over(owned.spec, state.allowance.slots, now),
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
        let owner = FormerOwner {
            vm: Rc::clone(&former.vm),
            incarnation: former.incarnation,
        };
        up.load_mut().add_former_owner(owner, state.in_use, now);
        for record in state.flows {
            let start = FlowStart {
                service: record.service,
                upstream_hash: record.upstream_hash,
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
            let feeds = state.feeds.into_iter();
            let tokens = feeds.filter_map(|record| path.take_feed(&up, record));
            let tokens = tokens.collect();
            path.register_feeds(&up, tokens).await;
            let upstream = up.addr();
            Event::new("feeds_taken_up")
                .field("upstream", upstream)
                .field("feeds", up.feeds.borrow().len())
                .info();
            path.send_owner_request(&former, OwnerRequest::Settled { upstream })
                .await;
        });
    }

    /// Keeps a feed of the former owner; gives its token unless the caller has registered again meanwhile.
    fn take_feed(&self, up: &Rc<Upstream>, record: FeedRecord) -> Option<UpstreamToken> {
        let request = Datagram::parse(&record.request).ok()?;
        let (flow, start) = up.flows.borrow_mut().resolve(record.flow)?;
        let caller = CallerToken::of(record.caller, &request);
        if up.feeds.borrow().token(&caller).is_some() {
            return None;
        }
        let now = Instant::now();
        let mut feed = Feed::new(
            caller,
            start.service,
            start.upstream_hash,
            flow,
            request,
            now,
        );
        feed.observe = record.observe;
        let token = up.next_token();
        up.feeds.borrow_mut().insert(token, feed);
        Some(token)
    }
}
