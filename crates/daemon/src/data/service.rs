//! A service as every daemon knows it: its document, its socket and the draw of candidates.

use {
    crate::data::{
        answer::MessageIds,
        socket::Socket, //
    },
    foxtailhinge_config::document::{
        ServiceDocument,
        Upstream as UpstreamSpec, //
    },
    foxtailhinge_policy::{
        budget::RetryBudget,
        placement::Placement, //
    },
    foxtailhinge_wire::ticket::name_hash,
    rand::Rng,
    smallvec::SmallVec,
    std::{
        cell::RefCell,
        collections::HashMap,
        rc::Rc,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Candidates drawn for a new flow.
pub const CANDIDATES: usize = 3;

/// Retries of a service that are always allowed, per second.
const RETRIES_MIN_PER_S: u32 = 1;

/// One service in force.
#[derive(Debug)]
pub struct Service {
    /// The service's name.
    pub name: Rc<str>,
    /// Hash of the name, as tickets and relayed datagrams carry it.
    pub hash: u32,
    /// The socket on which callers reach the service.
    pub socket: Rc<Socket>,
    /// Message ids of answers sent from the socket.
    pub ids: MessageIds,
    doc: Rc<ServiceDocument>,
    index: HashMap<u32, usize>,
    zones: HashMap<Rc<str>, ZoneState>,
    /// Share of requests that may be sent again.
    pub budget: RefCell<RetryBudget>,
}

/// Since when a zone serves, or does not.
#[derive(Debug, Clone, Copy)]
struct ZoneState {
    in_service: bool,
    since: Instant,
    /// Whether the zone served before this state began; a returning zone ramps.
    changed: bool,
}

impl Service {
    /// The service that `doc` declares, reached through `socket`; `before` is what was in force until now.
    pub fn new(
        doc: Rc<ServiceDocument>,
        socket: Rc<Socket>,
        before: Option<&Service>,
        now: Instant,
    ) -> Service {
        let index = doc
            .upstreams
            .iter()
            .enumerate()
            .map(|(i, spec)| (name_hash(&spec.name), i))
            .collect();
        let zones = doc
            .zones
            .iter()
            .map(|zone| {
                let state = zone_state(before, &zone.name, zone.in_service, now);
                (Rc::from(&*zone.name), state)
            })
            .collect();
        let budget = RetryBudget::new(doc.defaults.retry_budget_percent, RETRIES_MIN_PER_S);
        Service {
            name: Rc::from(&*doc.service),
            hash: name_hash(&doc.service),
            socket,
            ids: MessageIds::new(rand::random()),
            index,
            zones,
            budget: RefCell::new(budget),
            doc,
        }
    }

    /// The document in force.
    pub fn doc(&self) -> &ServiceDocument {
        &self.doc
    }

    /// The upstream whose name has this hash.
    pub fn upstream(&self, hash: u32) -> Option<&UpstreamSpec> {
        self.index.get(&hash).map(|i| &self.doc.upstreams[*i])
    }

    /// Whether the document has the zone in service.
    pub fn zone_in_service(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|state| state.in_service)
    }

    /// For how long the zone has been out of service; nothing when it is in.
    pub fn zone_out_for(&self, zone: &str, now: Instant) -> Option<Duration> {
        let state = self.zones.get(zone)?;
        (!state.in_service).then(|| now.saturating_duration_since(state.since))
    }

    /// Share of a zone's capacity that new flows may use: it ramps after the zone's return.
    fn zone_share(&self, zone: &str, now: Instant) -> f64 {
        let Some(state) = self.zones.get(zone) else {
            return 0.0;
        };
        if !state.in_service {
            return 0.0;
        }
        if !state.changed {
            return 1.0;
        }
        let ramp = self.doc.cold_start.ramp.as_secs_f64();
        let done = now.saturating_duration_since(state.since).as_secs_f64();
        let floor = 1.0 / f64::from(self.max_slots().max(1));
        if ramp <= 0.0 {
            1.0
        } else {
            (done / ramp).clamp(floor, 1.0)
        }
    }

    fn max_slots(&self) -> u32 {
        self.doc
            .upstreams
            .iter()
            .map(|spec| spec.slots)
            .max()
            .unwrap_or(1)
    }

    /// Draws candidate upstreams for a new flow, by hash of their names; `reachable` tells whether a
    /// zone has a daemon that could own them.
    pub fn draw(
        &self,
        now: Instant,
        reachable: impl Fn(&str) -> bool,
        rng: &mut impl Rng,
    ) -> SmallVec<[u32; 4]> {
        let weights = self.doc.upstreams.iter().map(|spec| {
            if spec.draining || !reachable(&spec.zone) {
                return 0.0;
            }
            f64::from(spec.slots) * self.zone_share(&spec.zone, now)
        });
        Placement::new(weights)
            .draw(CANDIDATES, rng)
            .into_iter()
            .map(|i| name_hash(&self.doc.upstreams[i].name))
            .collect()
    }
}

fn zone_state(before: Option<&Service>, zone: &str, in_service: bool, now: Instant) -> ZoneState {
    match before.and_then(|service| service.zones.get(zone)) {
        Some(state) if state.in_service == in_service => *state,
        Some(_) => ZoneState {
            in_service,
            since: now,
            changed: true,
        },
        None => ZoneState {
            in_service,
            since: now,
            changed: false,
        },
    }
}
