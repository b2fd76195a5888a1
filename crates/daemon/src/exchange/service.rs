//! A service in force: its document, its socket and the selection of candidates.

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

/// Number of candidates drawn for a new flow.
pub const CANDIDATES: usize = 3;

/// Maximum time that a request may wait for its answer, even if its caller allows more.
const DEADLINE_MAX: Duration = Duration::from_secs(60);

/// Time reserved before a caller's deadline for sending the last possible answer.
const ANSWER_TIME: Duration = Duration::from_millis(50);

/// The time reserved for sending the answer is at most the caller's time divided by this.
const ANSWER_SHARE: u32 = 8;

/// Retries per second that a service may always make.
const RETRIES_MIN_PER_S: u32 = 1;

/// One service in force.
#[derive(Debug)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Hash of the name, as tickets and relayed datagrams carry it.
    pub hash: u32,
    /// The socket on which callers reach the service.
    pub socket: Rc<Socket>,
    /// Message IDs of answers sent from the socket.
    pub ids: MessageIds,
    doc: Rc<ServiceDocument>,
    /// One entry for each upstream, sorted by hash; a hash map would take four times the memory.
    index: Box<[UpstreamEntry]>,
    /// One state for each zone, in the document's order.
    zones: Box<[ZoneState]>,
    retry_delay: RefCell<RetryAfter>,
    sent_notifications: RefCell<HashMap<u16, SentNotification>>,
    draw: RefCell<Draw>,
    /// Budget that limits retries to a share of the requests.
    pub budget: RefCell<RetryBudget>,
}

/// The feed of a sent notification, to which a reset by message ID is matched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentNotification {
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Upstream token of the feed.
    pub token: UpstreamToken,
}

/// Index entry that locates an upstream in the document.
#[derive(Debug)]
struct UpstreamEntry {
    hash: u32,
    at: u32,
    key: Rc<str>,
    draining_since: Option<Instant>,
}

/// An upstream as declared by the service's document.
#[derive(Debug, Clone, Copy)]
pub struct ServiceUpstream<'a> {
    /// Declaration in the document.
    pub spec: &'a UpstreamSpec,
    /// Key of the rendezvous hashing that selects the owner, the same in every service.
    pub key: &'a Rc<str>,
}

/// Whether a zone is in service, and since when.
#[derive(Debug, Clone, Copy)]
struct ZoneState {
    in_service: bool,
    since: Instant,
}

/// How well a zone's daemons can be reached, in ascending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reachability {
    /// No daemon is live.
    None,
    /// Daemons are listed as live, but this daemon receives nothing from them.
    Uncertain,
    /// Daemons are live as far as this daemon knows.
    Reachable,
}

/// Selection of candidates, cached for one view of the members.
#[derive(Debug)]
struct Draw {
    version: Option<(u64, u64)>,
    placement: Placement,
    sequence: Sequence,
}

impl Service {
    /// Creates the service that `doc` declares; `previous` is the version in force so far.
    pub fn new(
        doc: Rc<ServiceDocument>,
        socket: Rc<Socket>,
        previous: Option<&Service>,
        now: Instant,
    ) -> Service {
        let mut index: Box<[UpstreamEntry]> = (0..)
            .zip(&doc.upstreams)
            .map(|(at, spec)| UpstreamEntry::new(at, spec, previous, now))
            .collect();
        index.sort_unstable_by_key(|entry| entry.hash);
        let zones = doc
            .zones
            .iter()
            .map(|zone| zone_state(previous, &zone.name, zone.in_service, now))
            .collect();
        let budget = RetryBudget::new(doc.defaults.retry_budget_percent, RETRIES_MIN_PER_S);
        Service {
            name: Arc::clone(&doc.service),
            hash: name_hash(&doc.service),
            socket,
            ids: MessageIds::new(rand::random()),
            index,
            zones,
            retry_delay: RefCell::default(),
            sent_notifications: RefCell::default(),
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
        self.entry(hash).map(|entry| self.declared(entry))
    }

    fn entry(&self, hash: u32) -> Option<&UpstreamEntry> {
        let at = self.index.binary_search_by_key(&hash, |entry| entry.hash);
        at.ok().map(|at| &self.index[at])
    }

    /// All upstreams with the hashes of their names.
    pub fn upstreams(&self) -> impl Iterator<Item = (u32, ServiceUpstream<'_>)> {
        self.index
            .iter()
            .map(|entry| (entry.hash, self.declared(entry)))
    }

    fn declared<'a>(&'a self, entry: &'a UpstreamEntry) -> ServiceUpstream<'a> {
        ServiceUpstream {
            spec: &self.doc.upstreams[entry.at as usize],
            key: &entry.key,
        }
    }

    /// Allocates a message ID for a notification and stores the feed, so that a reset can end it.
    pub fn next_notification(&self, sent: SentNotification) -> u16 {
        let id = self.ids.next();
        self.sent_notifications.borrow_mut().insert(id, sent);
        id
    }

    /// The feed whose notification to `caller` had this message ID.
    pub fn sent_notification(&self, caller: SocketAddr, id: u16) -> Option<SentNotification> {
        let sent = self.sent_notifications.borrow().get(&id).copied();
        sent.filter(|sent| sent.caller == caller)
    }

    /// Time for which the upstream has been draining; `None` if it is not.
    pub fn draining_for(&self, hash: u32, now: Instant) -> Option<Duration> {
        let since = self.entry(hash)?.draining_since?;
        Some(now.saturating_duration_since(since))
    }

    /// Whether running the request twice has the effect of running it once, by the document's route or else by the
    /// method.
    pub fn is_idempotent(&self, req: &Datagram) -> bool {
        let route = self.doc.route(&req.path());
        let method = req.method();
        route
            .and_then(|route| route.idempotent)
            .unwrap_or_else(|| method.is_none_or(Method::is_idempotent))
    }

    /// Deadline for answering a request that arrives `now`, less the time reserved for sending the answer.
    pub fn deadline(&self, req: &Datagram, now: Instant) -> Instant {
        let route = self.doc.route(&req.path());
        let default_deadline = route
            .and_then(|route| route.deadline)
            .unwrap_or(self.doc.defaults.deadline);
        let left = req.deadline().unwrap_or(default_deadline).min(DEADLINE_MAX);
        now + left - ANSWER_TIME.min(left / ANSWER_SHARE)
    }

    /// Counts an admitted flow; admissions determine how the retries of refused callers are spread.
    pub fn on_admitted(&self, now: Instant) {
        self.retry_delay.borrow_mut().on_admitted(now);
    }

    /// Time after which a caller should retry whose request no upstream could accept.
    pub fn retry_after(&self, now: Instant) -> Duration {
        let mut retry_delay = self.retry_delay.borrow_mut();
        retry_delay.delay(now, 0.0, &mut rand::rng())
    }

    /// Limits that the service's document declares for one of its upstreams.
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

    /// Whether the document declares the zone as in service.
    pub fn zone_in_service(&self, zone: &str) -> bool {
        self.zone(zone).is_some_and(|state| state.in_service)
    }

    /// Time for which the zone has been out of service; `None` if it is in service.
    pub fn zone_out_for(&self, zone: &str, now: Instant) -> Option<Duration> {
        let state = self.zone(zone)?;
        (!state.in_service).then(|| now.saturating_duration_since(state.since))
    }

    fn zone(&self, zone: &str) -> Option<&ZoneState> {
        let at = self.doc.zones.iter().position(|known| *known.name == *zone);
        at.map(|at| &self.zones[at])
    }

    /// Draws candidate upstreams for a new flow, and returns the hashes of their names.
    ///
    /// `reachability` is called for the zones of the upstreams, whose daemons own them, each time `version` has
    /// changed.
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

    /// Candidate upstreams for a feed, as hashes of their names. They are the same for each retransmission of the
    /// registration, so that a late one finds the upstream that has the feed.
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

    /// Weights of the upstreams; those in zones that may be unreachable count only if there are no others.
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

impl UpstreamEntry {
    fn new(
        at: u32,
        spec: &UpstreamSpec,
        previous: Option<&Service>,
        now: Instant,
    ) -> UpstreamEntry {
        let hash = name_hash(&spec.name);
        let known = previous.and_then(|service| service.entry(hash));
        let since = known.and_then(|entry| entry.draining_since);
        UpstreamEntry {
            hash,
            at,
            key: Rc::from(spec.address.to_string()),
            draining_since: spec.draining.then(|| since.unwrap_or(now)),
        }
    }
}

fn zone_state(previous: Option<&Service>, zone: &str, in_service: bool, now: Instant) -> ZoneState {
    match previous.and_then(|service| service.zone(zone)) {
        Some(state) if state.in_service == in_service => *state,
        _ => ZoneState {
            in_service,
            since: now,
        },
    }
}
