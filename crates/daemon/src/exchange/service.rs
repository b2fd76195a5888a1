//! A service as every daemon knows it: its document, its socket and the draw of candidates.

use crate::{
    exchange::{
        load::LoadSpec,
        local_reply::MessageIds,
        token::UpstreamToken, //
    },
    socket::Socket, //
};
use foxtailhinge_config::document::{
    ServiceDocument,
    Upstream as UpstreamSpec, //
};
use foxtailhinge_policy::{
    allowance::{
        AllowanceSpec,
        Capacity, //
    },
    budget::RetryBudget,
    placement::{
        Placement,
        Sequence, //
    },
    retry_after::RetryAfter,
};
use foxtailhinge_wire::{
    coap::{
        Datagram,
        Method, //
    },
    ticket::name_hash, //
};
use rand::Rng;
use smallvec::SmallVec;
use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

/// Candidates drawn for a new flow.
pub const CANDIDATES: usize = 3;

/// Longest time that a request may wait for its answer, whatever its caller says.
const DEADLINE_MAX: Duration = Duration::from_secs(60);

/// Time kept before a caller's deadline for the way of the last answer to it.
const ANSWER_TIME: Duration = Duration::from_millis(50);

/// Largest part of a caller's time that is kept for the way of the answer.
const ANSWER_SHARE: u32 = 8;

/// Retries of a service that are always allowed, per second.
const RETRIES_MIN_PER_S: u32 = 1;

/// One service in force.
#[derive(Debug)]
pub struct Service {
    /// The service's name.
    pub name: Arc<str>,
    /// Hash of the name, as tickets and relayed datagrams carry it.
    pub hash: u32,
    /// The socket on which callers reach the service.
    pub socket: Rc<Socket>,
    /// Message ids of answers sent from the socket.
    pub ids: MessageIds,
    doc: Rc<ServiceDocument>,
    /// One entry for each upstream, sorted by hash; a table would take four times the room.
    index: Box<[Entry]>,
    /// One state for each zone, in the document's order.
    zones: Box<[ZoneState]>,
    comeback: RefCell<RetryAfter>,
    notified: RefCell<HashMap<u16, SentNotification>>,
    draw: RefCell<Draw>,
    /// Share of requests that may be sent again.
    pub budget: RefCell<RetryBudget>,
}

/// The feed whose notification had a message id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentNotification {
    /// The caller.
    pub caller: SocketAddr,
    /// The upstream.
    pub upstream: SocketAddr,
    /// The feed's token towards the upstream.
    pub token: UpstreamToken,
}

/// Where an upstream stands in the document.
#[derive(Debug)]
struct Entry {
    hash: u32,
    at: u32,
    key: Rc<str>,
    draining_since: Option<Instant>,
}

/// An upstream of the service.
#[derive(Debug, Clone, Copy)]
pub struct ServiceUpstream<'a> {
    /// What the document says of it.
    pub spec: &'a UpstreamSpec,
    /// The name by which its owner is drawn, the same in every service.
    pub key: &'a Rc<str>,
}

/// Since when a zone serves, or does not.
#[derive(Debug, Clone, Copy)]
struct ZoneState {
    in_service: bool,
    since: Instant,
}

/// How a zone's daemons can be reached, the best last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reachability {
    /// None of them is live.
    None,
    /// Nothing is heard of them.
    Uncertain,
    /// They are live as far as is known.
    Reachable,
}

/// The draw of candidates for one view of the members.
#[derive(Debug)]
struct Draw {
    version: Option<(u64, u64)>,
    placement: Placement,
    sequence: Sequence,
}

impl Service {
    /// The service that `doc` declares, reached through `socket`; `before` is what was in force until now.
    pub fn new(
        doc: Rc<ServiceDocument>,
        socket: Rc<Socket>,
        before: Option<&Service>,
        now: Instant,
    ) -> Service {
        let mut index: Box<[Entry]> = (0..)
            .zip(&doc.upstreams)
            .map(|(at, spec)| Entry::new(at, spec, before, now))
            .collect();
        index.sort_unstable_by_key(|entry| entry.hash);
        let zones = doc
            .zones
            .iter()
            .map(|zone| zone_state(before, &zone.name, zone.in_service, now))
            .collect();
        let budget = RetryBudget::new(doc.defaults.retry_budget_percent, RETRIES_MIN_PER_S);
        Service {
            name: Arc::clone(&doc.service),
            hash: name_hash(&doc.service),
            socket,
            ids: MessageIds::new(rand::random()),
            index,
            zones,
            comeback: RefCell::default(),
            notified: RefCell::default(),
            draw: RefCell::new(Draw {
                version: None,
                placement: Placement::default(),
                sequence: Sequence::new(&mut rand::rng()),
            }),
            budget: RefCell::new(budget),
            doc,
        }
    }

    /// The document in force.
    pub fn doc(&self) -> &ServiceDocument {
        &self.doc
    }

    /// The upstream whose name has this hash.
    pub fn upstream(&self, hash: u32) -> Option<ServiceUpstream<'_>> {
        self.entry(hash).map(|entry| self.named(entry))
    }

    fn entry(&self, hash: u32) -> Option<&Entry> {
        let at = self.index.binary_search_by_key(&hash, |entry| entry.hash);
        at.ok().map(|at| &self.index[at])
    }

    /// All upstreams with the hashes of their names.
    pub fn upstreams(&self) -> impl Iterator<Item = (u32, ServiceUpstream<'_>)> {
        self.index
            .iter()
            .map(|entry| (entry.hash, self.named(entry)))
    }

    fn named<'a>(&'a self, entry: &'a Entry) -> ServiceUpstream<'a> {
        ServiceUpstream {
            spec: &self.doc.upstreams[entry.at as usize],
            key: &entry.key,
        }
    }

    /// Takes a message id for a notification and remembers the feed, so that a reset can end it.
    pub fn next_notification(&self, notified: SentNotification) -> u16 {
        let id = self.ids.next();
        self.notified.borrow_mut().insert(id, notified);
        id
    }

    /// The feed whose notification to `caller` had this message id.
    pub fn sent_notification(&self, caller: SocketAddr, id: u16) -> Option<SentNotification> {
        let notified = self.notified.borrow().get(&id).copied();
        notified.filter(|notified| notified.caller == caller)
    }

    /// For how long the upstream has been draining; nothing when it serves.
    pub fn draining_for(&self, hash: u32, now: Instant) -> Option<Duration> {
        let since = self.entry(hash)?.draining_since?;
        Some(now.saturating_duration_since(since))
    }

    /// Whether running the request twice has the effect of running it once: the document's route
    /// says so, else the method.
    pub fn is_idempotent(&self, req: &Datagram) -> bool {
        let route = self.doc.route(&req.path());
        let method = req.method();
        route
            .and_then(|route| route.idempotent)
            .unwrap_or_else(|| method.is_none_or(Method::is_idempotent))
    }

    /// When the caller of a request that arrives `now` no longer waits for its answer.
    pub fn deadline(&self, req: &Datagram, now: Instant) -> Instant {
        let route = self.doc.route(&req.path());
        let usual = route
            .and_then(|route| route.deadline)
            .unwrap_or(self.doc.defaults.deadline);
        let left = req.deadline().unwrap_or(usual).min(DEADLINE_MAX);
        now + left - ANSWER_TIME.min(left / ANSWER_SHARE)
    }

    /// Counts a flow that was admitted, by which refused callers are spread.
    pub fn on_admitted(&self, now: Instant) {
        self.comeback.borrow_mut().on_admitted(now);
    }

    /// When a caller should come back that no upstream could take.
    pub fn retry_after(&self, now: Instant) -> Duration {
        let mut comeback = self.comeback.borrow_mut();
        comeback.delay(now, 0.0, &mut rand::rng())
    }

    /// What the service's document declares of one of its upstreams.
    pub fn load_spec(&self, spec: &UpstreamSpec) -> LoadSpec {
        let cold = &self.doc.cold_start;
        LoadSpec {
            allowance: AllowanceSpec {
                full: Capacity {
                    slots: spec.slots,
                    connections: spec.connections,
                },
                cold_slots: cold.slots,
                cold_connections: cold.connections,
                ramp: cold.ramp,
            },
            queue: self.doc.defaults.queue,
            draining: spec.draining,
        }
    }

    /// Whether the document has the zone in service.
    pub fn zone_in_service(&self, zone: &str) -> bool {
        self.zone(zone).is_some_and(|state| state.in_service)
    }

    /// For how long the zone has been out of service; nothing when it is in.
    pub fn zone_out_for(&self, zone: &str, now: Instant) -> Option<Duration> {
        let state = self.zone(zone)?;
        (!state.in_service).then(|| now.saturating_duration_since(state.since))
    }

    fn zone(&self, zone: &str) -> Option<&ZoneState> {
        let at = self.doc.zones.iter().position(|known| *known.name == *zone);
        at.map(|at| &self.zones[at])
    }

    /// Draws candidate upstreams for a new flow, by hash of their names.
    ///
    /// `reachability` tells how a zone's daemons, which own them, can be reached; it is asked again when `version` changes.
    pub fn draw(
        &self,
        version: (u64, u64),
        reachability: impl Fn(&str) -> Reachability,
        rng: &mut impl Rng,
    ) -> SmallVec<[u32; 4]> {
        let mut draw = self.draw.borrow_mut();
        self.refresh(&mut draw, version, reachability);
        let point = draw.sequence.next_point();
        let drawn = draw.placement.draw_at(point, CANDIDATES, rng);
        drawn.into_iter().map(|at| self.hash_at(at)).collect()
    }

    /// Candidate upstreams for a feed, by hash of their names: the same ones for each copy of its registration, so
    /// that a late one finds the upstream that has the feed.
    pub fn rank(
        &self,
        version: (u64, u64),
        reachability: impl Fn(&str) -> Reachability,
        feed: u64,
    ) -> SmallVec<[u32; 4]> {
        let mut draw = self.draw.borrow_mut();
        self.refresh(&mut draw, version, reachability);
        let name = |at| u64::from(self.hash_at(at));
        let ranked = draw.placement.rank(feed, CANDIDATES, name);
        ranked.into_iter().map(|at| self.hash_at(at)).collect()
    }

    fn refresh(
        &self,
        draw: &mut Draw,
        version: (u64, u64),
        reachability: impl Fn(&str) -> Reachability,
    ) {
        if draw.version != Some(version) {
            draw.placement = Placement::new(self.weights(reachability));
            draw.version = Some(version);
        }
    }

    fn hash_at(&self, at: usize) -> u32 {
        name_hash(&self.doc.upstreams[at].name)
    }

    /// Weights of the upstreams; those of zones that may be cut off count only when there are no others.
    fn weights<'a>(
        &'a self,
        reachability: impl Fn(&str) -> Reachability,
    ) -> impl Iterator<Item = f64> + 'a {
        let reachability = |spec: &UpstreamSpec| {
            let is_open = !spec.draining && self.zone_in_service(&spec.zone);
            if is_open {
                reachability(&spec.zone)
            } else {
                Reachability::None
            }
        };
        let reached: Vec<_> = self.doc.upstreams.iter().map(reachability).collect();
        let best = reached.iter().copied().max();
        let best = best.filter(|best| *best != Reachability::None);
        let upstreams = self.doc.upstreams.iter().zip(reached);
        upstreams.map(move |(spec, reachability)| {
            if Some(reachability) == best {
                f64::from(spec.slots)
            } else {
                0.0
            }
        })
    }
}

impl Entry {
    fn new(at: u32, spec: &UpstreamSpec, before: Option<&Service>, now: Instant) -> Entry {
        let hash = name_hash(&spec.name);
        let known = before.and_then(|service| service.entry(hash));
        let since = known.and_then(|entry| entry.draining_since);
        Entry {
            hash,
            at,
            key: Rc::from(spec.address.to_string()),
            draining_since: spec.draining.then(|| since.unwrap_or(now)),
        }
    }
}

fn zone_state(before: Option<&Service>, zone: &str, in_service: bool, now: Instant) -> ZoneState {
    match before.and_then(|service| service.zone(zone)) {
        Some(state) if state.in_service == in_service => *state,
        _ => ZoneState {
            in_service,
            since: now,
        },
    }
}
