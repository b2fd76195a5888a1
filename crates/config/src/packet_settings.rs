//! Settings of a daemon that forwards packets.

use crate::{
    bounds,
    finding::Findings,
    reader::{
        decode_utf8,
        read_text,
        start,
        Fields,
        Reader, //
    },
    settings::{
        check_distinct,
        optional,
        read_log,
        LogLevel,
        Settings, //
    },
};
use jsonc_parser::ast::{
    BooleanLit,
    Object,
    Value, //
};
use serde::Serialize;
use serde_with::{
    serde_as,
    DurationMilliSeconds,
    DurationMilliSecondsWithFrac,
    DurationSecondsWithFrac, //
};
use std::{
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    sync::Arc,
    time::Duration, //
};

/// Value of `interface` that selects the packet interface.
const PACKETS: &str = "packets";

/// Settings of a daemon that forwards packets between callers and upstreams; upstreams repeat the
/// label of a packet in their answers.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PacketSettings {
    /// Id of the VM, unique in the fleet.
    pub vm: Arc<str>,
    /// Availability zone of the VM.
    pub zone: Arc<str>,
    /// Address at which packets arrive (UDP); callers receive packets at the same port.
    pub listen: SocketAddrV4,
    /// Address of the fabric's readiness check (TCP).
    pub ready: SocketAddr,
    /// Address of the admin interface for operators (TCP).
    pub admin: SocketAddr,
    /// Address of the store that lists upstreams, zones and routes (TCP).
    pub store: SocketAddr,
    /// Address for requests of the other daemons of the zone (TCP); without it the daemon reads the
    /// store by itself.
    pub control: Option<SocketAddr>,
    /// Control addresses of the daemons to contact first; some may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Limits of the process and its flows.
    pub limits: PacketLimits,
    /// Handling of services that cannot serve all their callers.
    pub load: PacketLoad,
    /// Minimum level of the log lines.
    pub log: LogLevel,
}

/// Limits of the process and its flows, and deadlines for changes.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PacketLimits {
    /// Age from which a flow may be evicted.
    #[serde(rename = "flow_s")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub flow: Duration,
    /// Time from the request to stop until the process exits.
    #[serde(rename = "grace_s")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub grace: Duration,
    /// Time within which a lost response of the store must be detected.
    #[serde(rename = "notice_ms")]
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    pub notice: Duration,
    /// Time within which a new configuration must be in force.
    #[serde(rename = "configure_ms")]
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    pub configure: Duration,
    /// Time within which a draining upstream must stop getting new flows.
    #[serde(rename = "drain_ms")]
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    pub drain: Duration,
    /// Time within which a zone that is taken out must stop getting new flows.
    #[serde(rename = "zone_out_ms")]
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    pub zone_out: Duration,
}

impl PacketLimits {
    /// Time within which any change must be in force: the shortest of the three deadlines.
    pub fn change_deadline(&self) -> Duration {
        self.configure.min(self.drain).min(self.zone_out)
    }
}

impl Default for PacketLimits {
    fn default() -> Self {
        Self {
            flow: Duration::from_secs(60),
            grace: Duration::from_secs(10),
            notice: Duration::from_secs(4),
            configure: Duration::from_secs(3),
            drain: Duration::from_secs(3),
            zone_out: Duration::from_secs(5),
        }
    }
}

/// Handling of services that cannot serve all their callers.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PacketLoad {
    /// Whether openings are rejected when a service cannot serve all its callers.
    pub shed: bool,
    /// Whether flows leave the zone when its upstreams are overloaded.
    pub spill: bool,
    /// Time that a flow must save to leave the zone.
    #[serde(rename = "zone_price_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub zone_price: Duration,
}

impl Default for PacketLoad {
    fn default() -> Self {
        Self {
            shed: true,
            spill: true,
            zone_price: Duration::from_millis(5),
        }
    }
}

impl PacketSettings {
    /// Parses settings; `file` is their name in the findings.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        read_text(file, text, read_settings)
    }
}

impl PacketSettings {
    /// Parses settings from bytes; invalid UTF-8 is a finding.
    pub fn parse_bytes(file: &str, bytes: &[u8]) -> Result<Self, Findings> {
        Self::parse(file, decode_utf8(file, bytes)?)
    }

    /// Applies those fields of `new` that may change while the process runs, and returns the names
    /// of the changed fields that may not.
    pub fn merge(&self, new: Self) -> (Self, Vec<&'static str>) {
        let fixed = [
            ("vm", self.vm != new.vm),
            ("zone", self.zone != new.zone),
            ("listen", self.listen != new.listen),
            ("ready", self.ready != new.ready),
            ("admin", self.admin != new.admin),
            ("control", self.control != new.control),
            ("seeds", self.seeds != new.seeds),
        ];
        let fixed = fixed.iter().filter(|(_, changed)| *changed);
        let fixed = fixed.map(|(name, _)| *name).collect();
        let merged = Self {
            store: new.store,
            limits: new.limits,
            load: new.load,
            log: new.log,
            ..self.clone()
        };
        (merged, fixed)
    }
}

/// Settings of a daemon of either interface.
#[derive(Clone, Debug)]
pub enum AnySettings {
    /// Settings of a daemon that relays CoAP requests and responses.
    Exchange(Box<Settings>),
    /// Settings of a daemon that forwards packets.
    Packets(Box<PacketSettings>),
}

impl AnySettings {
    /// Parses settings from bytes; invalid UTF-8 is a finding. `file` is their name in findings.
    pub fn parse_bytes(file: &str, bytes: &[u8]) -> Result<Self, Findings> {
        Self::parse(file, decode_utf8(file, bytes)?)
    }

    /// Parses settings; `file` is their name in the findings.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        match selects_packets(text) {
            true => PacketSettings::parse(file, text).map(|s| Self::Packets(Box::new(s))),
            false => Settings::parse(file, text).map(|s| Self::Exchange(Box::new(s))),
        }
    }
}

/// Whether settings select the packet interface.
fn selects_packets(text: &str) -> bool {
    let found = read_text("", text, |reader, object| {
        let interface = reader.entries(object).optional("interface")?;
        matches!(interface, Value::StringLit(choice) if choice.value == PACKETS).then_some(())
    });
    found.is_ok()
}

/// Maximum number of seeds.
const SEEDS_MAX: usize = 8;

const FIELDS: [&str; 12] = [
    "interface",
    "vm",
    "zone",
    "listen",
    "ready",
    "admin",
    "store",
    "control",
    "seeds",
    "limits",
    "load",
    "log",
];
const LIMITS_FIELDS: [&str; 6] = [
    "flow_s",
    "grace_s",
    "notice_ms",
    "configure_ms",
    "drain_ms",
    "zone_out_ms",
];
const LOAD_FIELDS: [&str; 3] = ["shed", "spill", "zone_price_ms"];

/// Units of the limits, in seconds.
const SECOND_S: f64 = 1.0;
const MILLI_S: f64 = 0.001;

fn read_settings(reader: &Reader<'_>, object: &Object<'_>) -> Option<PacketSettings> {
    let fields = reader.fields(object, &FIELDS);
    let interface = fields
        .required("interface")
        .and_then(|value| reader.one_of(value, &[(PACKETS, ())]));
    let vm = fields.name("vm");
    let zone = fields.name("zone");
    let listen = read_listen(reader, &fields);
    let ready = fields.address("ready");
    let admin = fields.address("admin");
    let store = fields.address("store");
    let control = optional(&fields, "control", |value| reader.address(value));
    let seeds = read_seeds(reader, &fields);
    let limits = read_limits(reader, &fields);
    let load = read_load(reader, &fields);
    let log = read_log(reader, &fields);
    check_distinct(reader, &fields, "ready", ready, admin);
    check_distinct(reader, &fields, "control", control.flatten(), admin);
    interface?;
    Some(PacketSettings {
        vm: vm?,
        zone: zone?,
        listen: listen?,
        ready: ready?,
        admin: admin?,
        store: store?,
        control: control?,
        seeds: seeds?,
        limits: limits?,
        load: load?,
        log: log?,
    })
}

fn read_seeds(reader: &Reader<'_>, fields: &Fields<'_, '_, '_>) -> Option<Vec<SocketAddr>> {
    let Some(value) = fields.optional("seeds") else {
        return Some(Vec::new());
    };
    let seeds = &reader.array(value, SEEDS_MAX)?.elements;
    let seeds: Vec<_> = seeds.iter().map(|seed| reader.address(seed)).collect();
    seeds.into_iter().collect()
}

fn read_listen(reader: &Reader<'_>, fields: &Fields<'_, '_, '_>) -> Option<SocketAddrV4> {
    match fields.address("listen")? {
        SocketAddr::V4(address) => Some(address),
        SocketAddr::V6(_) => {
            let at = fields.optional("listen").map_or(fields.start(), start);
            reader.report(at, "Write an IPv4 address; packets carry no others.");
            None
        }
    }
}

fn read_limits(reader: &Reader<'_>, fields: &Fields<'_, '_, '_>) -> Option<PacketLimits> {
    let default = PacketLimits::default();
    let Some(value) = fields.optional("limits") else {
        return Some(default);
    };
    let fields = reader.fields(reader.object(value)?, &LIMITS_FIELDS);
    let limit = |name, bounds, unit_s, default| match fields.optional(name) {
        // `true` stands for a limit without a figure of its own.
        None | Some(Value::BooleanLit(BooleanLit { value: true, .. })) => Some(default),
        Some(value) => reader.decimal_duration(value, bounds, unit_s),
    };
    let flow = limit("flow_s", &bounds::FLOW_S, SECOND_S, default.flow);
    let grace = limit("grace_s", &bounds::GRACE_S, SECOND_S, default.grace);
    let notice = limit("notice_ms", &bounds::NOTICE_MS, MILLI_S, default.notice);
    let in_force = |name, default| limit(name, &bounds::CHANGE_DEADLINE_MS, MILLI_S, default);
    let configure = in_force("configure_ms", default.configure);
    let drain = in_force("drain_ms", default.drain);
    let zone_out = in_force("zone_out_ms", default.zone_out);
    Some(PacketLimits {
        flow: flow?,
        grace: grace?,
        notice: notice?,
        configure: configure?,
        drain: drain?,
        zone_out: zone_out?,
    })
}

fn read_load(reader: &Reader<'_>, fields: &Fields<'_, '_, '_>) -> Option<PacketLoad> {
    let default = PacketLoad::default();
    let Some(value) = fields.optional("load") else {
        return Some(default);
    };
    let fields = reader.fields(reader.object(value)?, &LOAD_FIELDS);
    let boolean = |name, default| match fields.optional(name) {
        Some(value) => reader.boolean(value),
        None => Some(default),
    };
    let shed = boolean("shed", default.shed);
    let spill = boolean("spill", default.spill);
    let zone_price = fields.millis_or("zone_price_ms", &bounds::ZONE_PRICE_MS, default.zone_price);
    Some(PacketLoad {
        shed: shed?,
        spill: spill?,
        zone_price: zone_price?,
    })
}
