//! Opening of flows: candidates are asked in turn until the owner of one admits the flow.

use crate::{
    exchange::{
        flow::FlowStart,
        ingress::IncomingRequest,
        load::OpenRequest,
        local_reply::LocalReply,
        path::DataPath,
        request::{
            Job,
            OBSERVE_REGISTER, //
        },
        service::Service,
        token::CallerToken,
        upstream::Upstream, //
    },
    metrics::RequestOutcome,
};
use foxtailhinge_policy::{
    ledger::EPOCH_FIRST,
    members::Member, //
};
use foxtailhinge_wire::{
    coap::Datagram,
    message::{
        CandidateOffer,
        Open,
        RelayMessage, //
    },
    ticket::caller_tag, //
};
use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

impl DataPath {
    /// Opens a flow for a request without a ticket, or for one that moves to another upstream. `confirmed` is set
    /// if the caller's address is confirmed.
    pub fn open(self: &Rc<Self>, incoming: &IncomingRequest<'_>, confirmed: bool) {
        let reachability = |zone: &str| self.reachability(zone);
        let version = self.reachability_version();
        let service = incoming.service;
        let candidates = if is_registration(incoming.req) {
            let feed = CallerToken::of(incoming.caller, incoming.req).stable_hash();
            service.rank(version, reachability, feed)
        } else {
            service.draw(version, reachability, &mut rand::rng())
        };
        let open = Open {
            caller: incoming.caller,
            service: service.hash,
            candidates: candidates.to_vec(),
            next: 0,
            confirmed,
            chosen: false,
            offers: Vec::new(),
            datagram: incoming.buf.to_vec(),
        };
        self.ask_candidate(service, open);
    }

    /// Asks the owner of the next candidate that has one; if none is left, chooses among the offers.
    fn ask_candidate(self: &Rc<Self>, service: &Rc<Service>, mut open: Open) {
        while let Some(upstream_hash) = open.candidates.get(usize::from(open.next)) {
            if let Some(owner) = self.candidate_owner(service, *upstream_hash) {
                self.deliver(&owner, RelayMessage::Open(open));
                return;
            }
            if open.chosen {
                break;
            }
            open.next += 1;
        }
        let Ok(req) = Datagram::parse(&open.datagram) else {
            return;
        };
        self.choose(service, open, is_registration(&req));
    }

    fn candidate_owner(&self, service: &Service, upstream_hash: u32) -> Option<Member> {
        let declared = service.upstream(upstream_hash)?;
        self.owner(declared.key, &declared.spec.zone)
    }

    /// Decides, as the owner of a candidate, whether the flow is admitted.
    pub fn on_open(self: &Rc<Self>, mut open: Open) {
        let Some(service) = self.service(open.service) else {
            return;
        };
        let Ok(req) = Datagram::parse(&open.datagram) else {
            return;
        };
        let feed = is_registration(&req);
        let Some((up, upstream_hash)) = self.candidate(&service, &open) else {
            let last = open.chosen || open.is_last();
            if !(last && self.wait_for_claim(&service, &open)) {
                self.ask_next(&service, open, feed);
            }
            return;
        };
        if feed && self.renew_feed(&service, &up, upstream_hash, &open, &req) {
            return;
        }
        let now = Instant::now();
        let request = OpenRequest {
            deadline: service.deadline(&req, now),
            chosen: open.chosen,
        };
        // A feed is long-lived, so all candidates are asked before one is chosen.
        let ask_only = feed && !open.chosen;
        if !ask_only && up.load_mut().open(now, request).is_ok() {
            self.admit(&service, &up, upstream_hash, &open, req);
            return;
        }
        if open.chosen {
            let after = up.load_mut().retry_after(now);
            self.refuse_open(&service, &open, after);
            return;
        }
        let offer = up.load_mut().offer(now);
        let health = up.load().health(now);
        open.offers.push(CandidateOffer {
            index: open.next,
            offer,
            health,
        });
        self.ask_next(&service, open, feed);
    }

    /// Continues with a flow that was not admitted: forwards it to the next candidate or, after the last one, to the
    /// best of them.
    fn ask_next(self: &Rc<Self>, service: &Rc<Service>, mut open: Open, feed: bool) {
        if open.chosen || open.is_last() {
            self.choose(service, open, feed);
            return;
        }
        self.metrics.bounces.inc();
        open.next += 1;
        self.ask_candidate(service, open);
    }

    /// Forwards a flow to the best of the candidates that were asked, or refuses it.
    fn choose(self: &Rc<Self>, service: &Rc<Service>, mut open: Open, feed: bool) {
        match open.choose(feed) {
            Some(index) if !open.chosen => {
                open.chosen = true;
                open.next = index;
                self.ask_candidate(service, open);
            }
            _ => self.refuse_open(service, &open, service.retry_after(Instant::now())),
        }
    }

    /// Buffers a flow whose last candidate is being claimed; false if it is not buffered.
    fn wait_for_claim(&self, service: &Service, open: &Open) -> bool {
        let upstream_hash = open.candidates.get(usize::from(open.next));
        let addr = upstream_hash
            .and_then(|upstream_hash| service.upstream(*upstream_hash))
            .map(|declared| declared.spec.address);
        let mut upstreams = self.upstreams.borrow_mut();
        let ownership = addr.and_then(|addr| upstreams.get_mut(&addr));
        ownership.is_some_and(|ownership| ownership.buffer(RelayMessage::Open(open.clone())))
    }

    fn candidate(&self, service: &Service, open: &Open) -> Option<(Rc<Upstream>, u32)> {
        let upstream_hash = *open.candidates.get(usize::from(open.next))?;
        let declared = service.upstream(upstream_hash)?;
        if !service.zone_in_service(&declared.spec.zone) || self.stopping.get() {
            return None;
        }
        Some((self.held_upstream(declared.spec.address)?, upstream_hash))
    }

    fn admit(
        self: &Rc<Self>,
        service: &Rc<Service>,
        up: &Rc<Upstream>,
        upstream_hash: u32,
        open: &Open,
        req: Datagram,
    ) {
        let now = Instant::now();
        self.metrics.flows_opened.inc();
        service.on_admitted(now);
        let flow = up.flows.borrow_mut().open(now);
        // A duplicate of this message may reach another candidate, so only idempotent requests are served at once.
        if open.confirmed && service.is_idempotent(&req) {
            self.serve_opened(service, up, upstream_hash, flow, open, req);
            return;
        }
        let key = up.flows.borrow().key(flow);
        let tag = caller_tag(open.caller);
        let ticket = self.ticket(service, up, upstream_hash, key, tag, EPOCH_FIRST);
        let rsp = LocalReply::Challenge(ticket).answer(&req, &service.ids);
        service.socket.send_to(&rsp.to_bytes(), open.caller);
    }

    /// Serves the request of a new flow whose caller's address is already confirmed.
    fn serve_opened(
        self: &Rc<Self>,
        service: &Rc<Service>,
        up: &Rc<Upstream>,
        upstream_hash: u32,
        flow: u32,
        open: &Open,
        req: Datagram,
    ) {
        let now = Instant::now();
        if up.load_mut().confirm(now).is_err() {
            self.refuse_open(service, open, up.load_mut().retry_after(now));
            return;
        }
        let start = FlowStart {
            service: service.hash,
            upstream_hash,
            caller: open.caller,
        };
        up.flows.borrow_mut().confirm(flow, start, now);
        self.spawn_job(opening_job(service, up, upstream_hash, flow, open, req));
    }

    /// Serves a repeated registration for a feed that is already held; false if the feed is not held.
    fn renew_feed(
        self: &Rc<Self>,
        service: &Rc<Service>,
        up: &Rc<Upstream>,
        upstream_hash: u32,
        open: &Open,
        req: &Datagram,
    ) -> bool {
        let key = CallerToken::of(open.caller, req);
        let feeds = up.feeds.borrow();
        let token = feeds.token(&key).filter(|_| open.confirmed);
        let Some(feed) = token.and_then(|token| feeds.get(token)) else {
            return false;
        };
        let flow = feed.flow;
        drop(feeds);
        if !up.in_progress.borrow_mut().insert(key) {
            self.metrics.copies_joined.inc();
            return true;
        }
        self.spawn_job(opening_job(
            service,
            up,
            upstream_hash,
            flow,
            open,
            req.clone(),
        ));
        true
    }

    fn refuse_open(&self, service: &Service, open: &Open, after: Duration) {
        let Ok(req) = Datagram::parse(&open.datagram) else {
            return;
        };
        self.metrics.requests.inc(RequestOutcome::NotRun);
        let rsp = LocalReply::NotRun(after).answer(&req, &service.ids);
        service.socket.send_to(&rsp.to_bytes(), open.caller);
    }
}

/// Builds the job for the idempotent request that opened a flow.
fn opening_job(
    service: &Rc<Service>,
    up: &Rc<Upstream>,
    upstream_hash: u32,
    flow: u32,
    open: &Open,
    req: Datagram,
) -> Job {
    Job {
        deadline: service.deadline(&req, Instant::now()),
        up: Rc::clone(up),
        service: Rc::clone(service),
        flow,
        upstream_hash,
        caller: open.caller,
        caller_tag: caller_tag(open.caller),
        req,
        idempotent: true,
    }
}

/// Whether the request registers for a feed.
fn is_registration(req: &Datagram) -> bool {
    req.observe() == Some(OBSERVE_REGISTER)
}
