//! Claims: a daemon that becomes the owner of an upstream requests its state from the former owner.
//!
//! If the former owner is gone, there is no state: the upstream starts at its cold-start allowance, and flows are
//! rebuilt from their packets.

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

/// Attempts to claim an upstream before its former owner is considered gone.
const CLAIM_ATTEMPTS_MAX: u32 = 8;

/// Time that the former owner has to answer a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay between two attempts.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(200);

/// An upstream that this daemon owns according to its view of the members.
#[derive(Debug, Clone)]
pub struct UpstreamClaim {
    /// Key of the rendezvous hashing that selects the owner.
    pub key: Rc<str>,
    /// The upstream's availability zone.
    pub zone: Rc<str>,
    /// Limits that the documents declare.
    pub spec: LoadSpec,
}

impl DataPath {
    /// Claims the upstreams that this daemon owns but does not hold, and applies the declared limits to the held
    /// ones.
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

    /// The upstreams of this availability zone that this daemon owns according to its view of the members.
    fn owned(&self) -> HashMap<SocketAddr, UpstreamClaim> {
        let mut owned: HashMap<SocketAddr, UpstreamClaim> = HashMap::new();
        let settings = self.control.settings();
        for service in self.services.borrow().values() {
            for (_, declared) in service.upstreams() {
                if *declared.spec.zone != *settings.zone {
                    continue;
                }
                let owner = self.owner(declared.key, &settings.zone);
                if !owner.is_some_and(|member| self.is_me(&member)) {
                    continue;
                }
                let spec = service.load_spec(declared.spec);
                owned
                    .entry(declared.spec.address)
                    .and_modify(|entry| entry.spec = entry.spec.strictest(spec))
                    .or_insert_with(|| UpstreamClaim {
                        key: Rc::clone(declared.key),
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
            let former = path.request_hand_over(addr, &owned).await;
            path.finish_claim(addr, &owned, former);
        });
    }

    /// Requests the upstream's state from the former owner; `None` if that is gone or does not hold the upstream.
    async fn request_hand_over(
        &self,
        addr: SocketAddr,
        owned: &UpstreamClaim,
    ) -> Option<(Member, HandOver)> {
        let claim = LinkRequest::Owner(OwnerRequest::Claim {
            upstream: addr,
            id: rand::random(),
        });
        for _ in 0..CLAIM_ATTEMPTS_MAX {
            let former = self.former_owner(owned)?;
            let links = Rc::clone(self.control.links());
            let answer = links.request(&self.control, &former, &claim);
            match monoio::time::timeout(CLAIM_TIMEOUT, answer).await {
                Ok(Ok(LinkReply::Owner(OwnerReply::HandOver(state)))) => {
                    return Some((former, state));
                }
                Ok(Ok(LinkReply::Owner(OwnerReply::NotHeld))) => return None,
                _ => monoio::time::sleep(CLAIM_RETRY_DELAY).await,
            }
        }
        None
    }

    /// Claims the held upstreams from other daemons that may have become their owners while this one was paused.
    pub fn reclaim_held(self: &Rc<Self>) {
        for up in self.held_upstreams() {
            self.merge_holder(up);
        }
    }

    /// Merges the state of another daemon that holds the same upstream.
    fn merge_holder(self: &Rc<Self>, up: Rc<Upstream>) {
        let owned = UpstreamClaim {
            key: Rc::clone(up.key()),
            zone: Rc::clone(up.zone()),
            spec: up.load().spec(),
        };
        let path = Rc::clone(self);
        self.spawn("join_holders", async move {
            if let Some((member, state)) = path.request_hand_over(up.addr(), &owned).await {
                up.load_mut()
                    .merge_former(state.allowance.slots, Instant::now());
                path.import_state(&up, member, state);
            }
        });
    }

    /// Handles an offer: another daemon holds an upstream that this one owns according to its view.
    pub fn on_offer(self: &Rc<Self>, addr: SocketAddr) {
        match self.held_upstream(addr) {
            Some(up) => self.merge_holder(up),
            None => self.reconcile(),
        }
    }

    /// Offers an upstream to its owner according to this daemon's view, in case the owner does not know that it owns
    /// it.
    pub fn offer_upstream(self: &Rc<Self>, up: &Rc<Upstream>, owner: Member) {
        let path = Rc::clone(self);
        let upstream = up.addr();
        self.spawn("offer", async move {
            path.send_owner_request(&owner, OwnerRequest::Offer { upstream })
                .await;
        });
    }

    /// The daemon that would own the upstream if this one did not exist.
    fn former_owner(&self, owned: &UpstreamClaim) -> Option<Member> {
        let members = self.control.members();
        members
            .iter()
            .filter(|m| m.zone == owned.zone && m.state != MemberState::Dead && !self.is_me(m))
            .max_by_key(|m| score(&owned.key, &m.vm))
            .cloned()
    }

    fn finish_claim(
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
        let previous = self.upstreams.borrow_mut().insert(addr, held);
        self.spawn_reader(&up);
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
            self.import_state(&up, member, state);
        }
        if let Some(Ownership::Claiming(waiting)) = previous {
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

    fn spawn_reader(self: &Rc<Self>, up: &Rc<Upstream>) {
        let path = Rc::clone(self);
        let up = Rc::clone(up);
        let name = format!("upstream {}", up.addr());
        self.supervisor.child(&name, Restart::OnFailure, move |_| {
            let path = Rc::clone(&path);
            let up = Rc::clone(&up);
            async move { Ok(path.read_upstream(up).await?) }
        });
    }

    fn import_state(self: &Rc<Self>, up: &Rc<Upstream>, former: Member, state: HandOver) {
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
            let tokens = feeds.filter_map(|record| path.import_feed(&up, record));
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

    /// Imports a feed of the former owner and returns its token; `None` if the caller has registered again in the
    /// meantime.
    fn import_feed(&self, up: &Rc<Upstream>, record: FeedRecord) -> Option<UpstreamToken> {
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
