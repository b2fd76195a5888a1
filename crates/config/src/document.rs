//! The document that a team keeps for its service.

use crate::{
    bounds,
    finding::Findings,
    name_pool::NamePool,
    reader::{
        decode_utf8,
        read_text,
        start,
        Fields,
        Quoted,
        Reader, //
    },
    seen::SeenNames, //
};
use foxtailhinge_wire::ticket::{
    name_hash,
    zone_hash, //
};
use jsonc_parser::ast::{
    Object,
    Value, //
};
use serde::Serialize;
use serde_with::{
    serde_as,
    DurationMilliSeconds,
    DurationSeconds, //
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

/// Everything a team declares about its service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServiceDocument {
    /// Name of the service.
    pub service: Arc<str>,
    /// Address that callers send to.
    pub address: SocketAddr,
    /// Availability zones of the service.
    pub zones: Vec<Zone>,
    /// Upstreams that serve it.
    pub upstreams: Vec<Upstream>,
    /// Allowance of an upstream that is new or returns.
    pub cold_start: ColdStart,
    /// Values for requests without a route of their own.
    pub defaults: Defaults,
    /// Values for requests by path.
    pub routes: Vec<Route>,
}

/// One availability zone of a service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Zone {
    /// Name of the zone.
    pub name: Arc<str>,
    /// Whether packets may be sent there.
    pub in_service: bool,
}

/// One upstream of a service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: Arc<str>,
    /// Address that receives requests.
    pub address: SocketAddr,
    /// Availability zone of the upstream.
    pub zone: Arc<str>,
    /// Requests that it serves at a time.
    pub slots: u32,
    /// Flows that it holds at a time.
    pub connections: u32,
    /// Whether it takes no new flows.
    pub draining: bool,
}

/// Allowance of an upstream in a cold start.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ColdStart {
    /// Requests at a time when the upstream is cold.
    pub slots: u32,
    /// Flows when the upstream is cold.
    pub connections: u32,
    /// Shortest time from cold to full load.
    #[serde(rename = "ramp_s")]
    #[serde_as(as = "DurationSeconds<u64>")]
    pub ramp: Duration,
}

impl Default for ColdStart {
    fn default() -> Self {
        Self {
            slots: 1,
            connections: 100,
            ramp: Duration::from_secs(30),
        }
    }
}

/// Values for requests without a route of their own.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Defaults {
    /// Time given to a request that brings no deadline.
    #[serde(rename = "deadline_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub deadline: Duration,
    /// Requests that may wait for a slot of an upstream.
    pub queue: u32,
    /// Retries as a share of the requests, in percent.
    pub retry_budget_percent: u32,
    /// Time after which a flow without packets ends.
    #[serde(rename = "idle_s")]
    #[serde_as(as = "DurationSeconds<u64>")]
    pub idle: Duration,
}

impl Default for Defaults {
    fn default() -> Self {
        Self {
            deadline: Duration::from_millis(2_000),
            queue: 16,
            retry_budget_percent: 10,
            idle: Duration::from_secs(3_600),
        }
    }
}

/// Values for the requests below a path.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Route {
    /// Path, matched as a whole or up to a segment boundary.
    pub path: Arc<str>,
    /// Whether a request may run twice; by default its method tells.
    pub idempotent: Option<bool>,
    /// Time given to a request that brings no deadline.
    #[serde(rename = "deadline_ms")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub deadline: Option<Duration>,
}

impl ServiceDocument {
    /// Reads a document; `file` names it in the findings.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        read_text(file, text, read_document)
    }

    /// Reads the document that was published for `service`, which must be the one it names.
    pub fn parse_published(service: &str, text: &str) -> Result<Self, Findings> {
        read_text(service, text, |reader, object| {
            let document = read_document(reader, object)?;
            if &*document.service != service {
                let fields = reader.entries(object);
                reader.report(
                    fields.optional("service").map_or(0, start),
                    format!(
                        "Write {} here; the document was published for it.",
                        Quoted(service)
                    ),
                );
            }
            Some(document)
        })
    }

    /// Reads a document from bytes that may not be UTF-8.
    pub fn parse_bytes(file: &str, bytes: &[u8]) -> Result<Self, Findings> {
        Self::parse(file, decode_utf8(file, bytes)?)
    }

    /// Replaces names that other documents have too, of zones and paths, by those of `names`.
    pub fn intern_names(&mut self, names: &mut NamePool) {
        let zones = self.zones.iter_mut().map(|zone| &mut zone.name);
        let of_upstreams = self.upstreams.iter_mut().map(|upstream| &mut upstream.zone);
        let paths = self.routes.iter_mut().map(|route| &mut route.path);
        for name in zones.chain(of_upstreams).chain(paths) {
            names.intern(name);
        }
    }

    /// Finds the route with the longest path that `path` lies at or below.
    pub fn route(&self, path: &str) -> Option<&Route> {
        let matching = self.routes.iter().filter(|r| r.matches(path));
        matching.max_by_key(|r| r.path.len())
    }

    /// Tells whether packets may be sent to `zone`.
    pub fn zone_in_service(&self, zone: &str) -> bool {
        self.zones.iter().any(|z| &*z.name == zone && z.in_service)
    }

    /// Finds an upstream by name.
    pub fn upstream(&self, name: &str) -> Option<&Upstream> {
        self.upstreams.iter().find(|u| &*u.name == name)
    }
}

impl Route {
    fn matches(&self, path: &str) -> bool {
        if &*self.path == "/" {
            return true;
        }
        match path.strip_prefix(&*self.path) {
            Some(rest) => rest.is_empty() || rest.starts_with('/'),
            None => false,
        }
    }
}

const DOCUMENT_FIELDS: [&str; 7] = [
    "service",
    "address",
    "zones",
    "upstreams",
    "cold_start",
    "defaults",
    "routes",
];
const UPSTREAM_FIELDS: [&str; 6] = ["name", "address", "zone", "slots", "connections", "state"];
const COLD_START_FIELDS: [&str; 3] = ["slots", "connections", "ramp_s"];
const DEFAULTS_FIELDS: [&str; 4] = ["deadline_ms", "queue", "retry_budget_percent", "idle_s"];
const ROUTE_FIELDS: [&str; 3] = ["path", "idempotent", "deadline_ms"];

fn read_document(reader: &Reader<'_>, object: &Object<'_>) -> Option<ServiceDocument> {
    let fields = reader.fields(object, &DOCUMENT_FIELDS);
    let service = fields.name("service");
    let address = fields.address("address");
    let zones = read_zones(reader, &fields);
    let upstreams = read_upstreams(reader, &fields, address, zones.as_deref());
    let cold_start = read_cold_start(reader, &fields);
    let defaults = read_defaults(reader, &fields);
    let routes = read_routes(reader, &fields);
    Some(ServiceDocument {
        service: service?,
        address: address?,
        zones: zones?,
        upstreams: upstreams?,
        cold_start: cold_start?,
        defaults: defaults?,
        routes: routes?,
    })
}

fn read_zones(reader: &Reader<'_>, fields: &Fields<'_, '_, '_>) -> Option<Vec<Zone>> {
    let value = fields.required("zones")?;
    let entries = reader.entries(reader.object(value)?);
    let mut seen = SeenNames::new("zone", zone_hash);
    let mut zones = Vec::with_capacity(entries.iter().count());
    for (at, name, state) in entries.iter() {
        let name = reader.check_name(at, name);
        let in_service = reader.one_of(state, &[("in", true), ("out", false)]);
        let Some(name) = name else {
            continue;
        };
        seen.check(reader, at, &name);
        zones.push(Zone {
            name,
            in_service: in_service.unwrap_or(false),
        });
    }
    if !(1..=bounds::ZONES_MAX).contains(&entries.iter().count()) {
        reader.report(
            entries.start(),
            format!("List from 1 to {} zones.", bounds::ZONES_MAX),
        );
    }
    Some(zones)
}

fn read_upstreams(
    reader: &Reader<'_>,
    fields: &Fields<'_, '_, '_>,
    service: Option<SocketAddr>,
    zones: Option<&[Zone]>,
) -> Option<Vec<Upstream>> {
    let value = fields.required("upstreams")?;
    let list = reader.array(value, bounds::UPSTREAMS_MAX)?;
    if list.elements.is_empty() {
        reader.report(start(value), "List at least one upstream.");
    }
    let mut seen = SeenUpstreams::new(service);
    let mut upstreams = Vec::with_capacity(list.elements.len());
    for value in &list.elements {
        let Some(upstream) = read_upstream(reader, value, zones) else {
            continue;
        };
        seen.check(reader, start(value), &upstream);
        upstreams.push(upstream);
    }
    Some(upstreams)
}

fn read_upstream(
    reader: &Reader<'_>,
    value: &Value<'_>,
    zones: Option<&[Zone]>,
) -> Option<Upstream> {
    let fields = reader.fields(reader.object(value)?, &UPSTREAM_FIELDS);
    let name = fields.name("name");
    let address = fields.address("address");
    let zone = read_listed_zone(reader, &fields, zones);
    let slots = fields.number("slots", &bounds::SLOTS);
    let connections = fields.number("connections", &bounds::CONNECTIONS);
    let draining = match fields.optional("state") {
        Some(value) => reader.one_of(value, &[("serving", false), ("draining", true)]),
        None => Some(false),
    };
    Some(Upstream {
        name: name?,
        address: address?,
        zone: zone?,
        slots: slots?,
        connections: connections?,
        draining: draining?,
    })
}

fn read_listed_zone(
    reader: &Reader<'_>,
    fields: &Fields<'_, '_, '_>,
    zones: Option<&[Zone]>,
) -> Option<Arc<str>> {
    let value = fields.required("zone")?;
    let zone = reader.name(value)?;
    let Some(zones) = zones.filter(|zones| !zones.is_empty()) else {
        return Some(zone);
    };
    if let Some(listed) = zones.iter().find(|z| z.name == zone) {
        return Some(listed.name.clone());
    }
    let listed: Vec<_> = zones.iter().map(|z| &*z.name).collect();
    reader.report(
        start(value),
        format!(
            "Add the zone {} to \"zones\" or write one of those listed: {}.",
            Quoted(&zone),
            listed.join(", ")
        ),
    );
    Some(zone)
}

/// Names and addresses of the upstreams read so far.
struct SeenUpstreams {
    service: Option<SocketAddr>,
    names: SeenNames<u32>,
    addresses: HashMap<SocketAddr, Arc<str>>,
}

impl SeenUpstreams {
    fn new(service: Option<SocketAddr>) -> Self {
        Self {
            service,
            names: SeenNames::new("upstream", name_hash),
            addresses: HashMap::new(),
        }
    }

    fn check(&mut self, reader: &Reader<'_>, at: usize, upstream: &Upstream) {
        let Upstream { name, address, .. } = upstream;
        self.names.check(reader, at, name);
        let name = Quoted(name);
        if self.service == Some(*address) {
            reader.report(
                at,
                format!("Give {name} an address of its own; {address} is the service's."),
            );
        }
        if let Some(other) = self.addresses.insert(*address, upstream.name.clone()) {
            reader.report(
                at,
                format!(
                    "Give {name} an address of its own; {} has {address}.",
                    Quoted(&other)
                ),
            );
        }
    }
}

fn read_cold_start(reader: &Reader<'_>, fields: &Fields<'_, '_, '_>) -> Option<ColdStart> {
    let default = ColdStart::default();
    let Some(value) = fields.optional("cold_start") else {
        return Some(default);
    };
    let fields = reader.fields(reader.object(value)?, &COLD_START_FIELDS);
    let slots = fields.number_or("slots", &bounds::SLOTS, default.slots);
    let connections = fields.number_or("connections", &bounds::CONNECTIONS, default.connections);
    let ramp = fields.seconds_or("ramp_s", &bounds::RAMP_S, default.ramp);
    Some(ColdStart {
        slots: slots?,
        connections: connections?,
        ramp: ramp?,
    })
}

fn read_defaults(reader: &Reader<'_>, fields: &Fields<'_, '_, '_>) -> Option<Defaults> {
    let default = Defaults::default();
    let Some(value) = fields.optional("defaults") else {
        return Some(default);
    };
    let fields = reader.fields(reader.object(value)?, &DEFAULTS_FIELDS);
    let deadline = fields.millis_or("deadline_ms", &bounds::DEADLINE_MS, default.deadline);
    let queue = fields.number_or("queue", &bounds::QUEUE, default.queue);
    let retry_budget_percent = fields.number_or(
        "retry_budget_percent",
        &bounds::RETRY_BUDGET_PERCENT,
        default.retry_budget_percent,
    );
    let idle = fields.seconds_or("idle_s", &bounds::IDLE_S, default.idle);
    Some(Defaults {
        deadline: deadline?,
        queue: queue?,
        retry_budget_percent: retry_budget_percent?,
        idle: idle?,
    })
}

fn read_routes(reader: &Reader<'_>, fields: &Fields<'_, '_, '_>) -> Option<Vec<Route>> {
    let Some(value) = fields.optional("routes") else {
        return Some(Vec::new());
    };
    let list = reader.array(value, bounds::ROUTES_MAX)?;
    let mut routes: Vec<Route> = Vec::with_capacity(list.elements.len());
    for value in &list.elements {
        let Some(route) = read_route(reader, value) else {
            continue;
        };
        if routes.iter().any(|r| r.path == route.path) {
            reader.report(
                start(value),
                format!("Remove the second route {}.", Quoted(&route.path)),
            );
        }
        routes.push(route);
    }
    Some(routes)
}

fn read_route(reader: &Reader<'_>, value: &Value<'_>) -> Option<Route> {
    let fields = reader.fields(reader.object(value)?, &ROUTE_FIELDS);
    let path = fields.required("path").and_then(|v| read_path(reader, v));
    let idempotent = match fields.optional("idempotent") {
        Some(value) => reader.boolean(value).map(Some),
        None => Some(None),
    };
    let deadline = match fields.optional("deadline_ms") {
        Some(value) => {
            let millis = reader.number(value, &bounds::DEADLINE_MS);
            millis.map(|ms| Some(Duration::from_millis(ms)))
        }
        None => Some(None),
    };
    Some(Route {
        path: path?,
        idempotent: idempotent?,
        deadline: deadline?,
    })
}

fn read_path(reader: &Reader<'_>, value: &Value<'_>) -> Option<Arc<str>> {
    let text = reader.string(value, "a path in quotes such as \"/clearances\"")?;
    if is_path(text) {
        return Some(text.into());
    }
    reader.report(
        start(value),
        format!(
            "Write a path of at most {} bytes such as \"/clearances\", with no empty segment.",
            bounds::PATH_BYTES_MAX
        ),
    );
    None
}

fn is_path(text: &str) -> bool {
    if text == "/" {
        return true;
    }
    let Some(segments) = text.strip_prefix('/') else {
        return false;
    };
    text.len() <= bounds::PATH_BYTES_MAX && segments.split('/').all(|s| !s.is_empty())
}
