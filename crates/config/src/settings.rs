//! Settings of a daemon that relays CoAP requests.

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
    seen::SeenNames, //
};
use foxtailhinge_wire::ticket::name_hash;
use jsonc_parser::ast::{
    Object,
    Value, //
};
use serde::{
    Serialize,
    Serializer, //
};
use serde_with::{
    serde_as,
    DurationMilliSeconds,
    DurationSeconds, //
};
use std::{
    fmt,
    net::{
        IpAddr,
        SocketAddr, //
    },
    sync::Arc,
    time::Duration, //
};

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Settings {
    /// Id of the VM, unique in the fleet.
    pub vm: Arc<str>,
    /// Availability zone of the VM.
    pub zone: Arc<str>,
    /// IP address at which services are bound; without it each service is bound at its own address.
    pub listen: Option<IpAddr>,
    /// Address for relayed datagrams and liveness probes (UDP).
    pub relay: SocketAddr,
    /// Address for links between daemons (TCP).
    pub control: SocketAddr,
    /// Address of the admin interface for operators (TCP).
    pub admin: SocketAddr,
    /// Address of the platform's configuration service.
    pub platform: Option<SocketAddr>,
    /// Name of the fleet; daemons of other fleets are refused.
    pub fleet: Arc<str>,
    /// Keys of the fleet: the first one signs, all are accepted.
    pub keys: Vec<Key>,
    /// Daemons to contact when the platform is unavailable.
    pub peers: Vec<Peer>,
    /// Limits of the process.
    pub limits: Limits,
    /// Minimum level of the log lines.
    pub log: LogLevel,
    /// Switches for tests.
    pub testing: Testing,
}

/// A key of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Key {
    /// Slot by which a ticket refers to the key.
    pub slot: u8,
    /// Secret from which the keys of tickets and envelopes are derived.
    pub secret: Secret,
}

/// A secret of 32 bytes that neither `Debug` nor serde shows.
#[derive(Clone, PartialEq)]
pub struct Secret([u8; SECRET_BYTES]);

const SECRET_BYTES: usize = 32;
const HIDDEN: &str = "(hidden)";

impl Secret {
    /// Wraps the bytes of a secret.
    pub fn new(bytes: [u8; SECRET_BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the secret.
    pub fn expose(&self) -> &[u8; SECRET_BYTES] {
        &self.0
    }

    fn from_hex(text: &str) -> Option<Self> {
        if text.len() != 2 * SECRET_BYTES || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return None;
        }
        let mut bytes = [0; SECRET_BYTES];
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
        }
        Some(Self(bytes))
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(HIDDEN)
    }
}

impl Serialize for Secret {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(HIDDEN)
    }
}

/// Addresses of another daemon of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Peer {
    /// Id of the peer's VM.
    pub vm: Arc<str>,
    /// Availability zone of the peer.
    pub zone: Arc<str>,
    /// Address for relayed datagrams and liveness probes (UDP).
    pub relay: SocketAddr,
    /// Address for links between daemons (TCP).
    pub control: SocketAddr,
}

/// Limits of the process.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Limits {
    /// Time given to a graceful shutdown.
    #[serde(rename = "drain_s")]
    #[serde_as(as = "DurationSeconds<u64>")]
    pub drain: Duration,
    /// Minimum delay of a timer tick at which the process is considered paused.
    #[serde(rename = "pause_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub pause: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            drain: Duration::from_secs(10),
            pause: Duration::from_millis(1_000),
        }
    }
}

/// Minimum level of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Failures from which the daemon recovers by itself.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Each decision.
    Debug,
    /// Each packet.
    Trace,
}

impl LogLevel {
    /// Name of the level in the settings.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }
}

/// Switches for tests.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Testing {
    /// Whether the admin interface accepts a list of peers to cut off.
    pub faults: bool,
}

impl Settings {
    /// Parses settings; `file` is their name in the findings.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        read_text(file, text, read_settings)
    }

    /// Parses settings from bytes; invalid UTF-8 is a finding.
    pub fn parse_bytes(file: &str, bytes: &[u8]) -> Result<Self, Findings> {
        Self::parse(file, decode_utf8(file, bytes)?)
    }
}

const SETTINGS_FIELDS: [&str; 13] = [
    "vm", "zone", "listen", "relay", "control", "admin", "platform", "fleet", "keys", "peers",
    "limits", "log", "testing",
];
const KEY_FIELDS: [&str; 2] = ["slot", "secret"];
const PEER_FIELDS: [&str; 4] = ["vm", "zone", "relay", "control"];
const LIMITS_FIELDS: [&str; 2] = ["drain_s", "pause_ms"];
const TESTING_FIELDS: [&str; 1] = ["faults"];
const LOG_LEVELS: [(&str, LogLevel); 5] = [
    ("error", LogLevel::Error),
    ("warn", LogLevel::Warn),
    ("info", LogLevel::Info),
    ("debug", LogLevel::Debug),
    ("trace", LogLevel::Trace),
];

fn read_settings(reader: &Reader<'_>, object: &Object<'_>) -> Option<Settings> {
    let fields = reader.fields(object, &SETTINGS_FIELDS);
    let vm = fields.name("vm");
    let zone = fields.name("zone");
    let listen = optional(&fields, "listen", |v| reader.ip(v));
    let relay = fields.address("relay");
    let control = fields.address("control");
    let admin = fields.address("admin");
    let platform = optional(&fields, "platform", |v| reader.address(v));
    let fleet = fields.name("fleet");
    let keys = read_keys(reader, &fields);
    let peers = read_peers(reader, &fields, vm.as_ref());
    let limits = read_limits(reader, &fields);
    let log = read_log(reader, &fields);
    let testing = read_testing(reader, &fields);
    check_distinct(reader, &fields, "control", control, admin);
    Some(Settings {
        vm: vm?,
        zone: zone?,
        listen: listen?,
        relay: relay?,
        control: control?,
        admin: admin?,
        platform: platform?,
        fleet: fleet?,
        keys: keys?,
        peers: peers?,
        limits: limits?,
        log: log?,
        testing: testing?,
    })
}

/// Reads an optional field: `None` after a finding, `Some(None)` for an absent field.
pub(crate) fn optional<T>(
    fields: &Fields<'_, '_, '_>,
    name: &str,
    read: impl FnOnce(&Value<'_>) -> Option<T>,
) -> Option<Option<T>> {
    match fields.optional(name) {
        Some(value) => read(value).map(Some),
        None => Some(None),
    }
}

/// Reports an `admin` address that equals `other`, the address in the field `name`.
pub(crate) fn check_distinct(
    reader: &Reader<'_>,
    fields: &Fields<'_, '_, '_>,
    name: &str,
    other: Option<SocketAddr>,
    admin: Option<SocketAddr>,
) {
    let Some(value) = fields.optional("admin") else {
        return;
    };
    if admin.is_some() && admin == other {
        reader.report(
            start(value),
            format!("Write another port; \"{name}\" has this address."),
        );
    }
}

fn read_keys(reader: &Reader<'_>, fields: &Fields<'_, '_, '_>) -> Option<Vec<Key>> {
    let value = fields.required("keys")?;
    let list = reader.array(value, bounds::KEYS_MAX)?;
    if list.elements.is_empty() {
        reader.report(start(value), "List at least one key.");
    }
    let mut keys: Vec<Key> = Vec::new();
    for value in &list.elements {
        let Some(key) = read_key(reader, value) else {
            continue;
        };
        if keys.iter().any(|k| k.slot == key.slot) {
            reader.report(
                start(value),
                format!("Write another slot; {} is taken.", key.slot),
            );
        }
        keys.push(key);
    }
    Some(keys)
}

fn read_key(reader: &Reader<'_>, value: &Value<'_>) -> Option<Key> {
    let fields = reader.fields(reader.object(value)?, &KEY_FIELDS);
    let slot = fields.number("slot", &bounds::KEY_SLOT);
    let secret = fields
        .required("secret")
        .and_then(|v| read_secret(reader, v));
    Some(Key {
        slot: u8::try_from(slot?).ok()?,
        secret: secret?,
    })
}

fn read_secret(reader: &Reader<'_>, value: &Value<'_>) -> Option<Secret> {
    const WANTED: &str = "64 hexadecimal digits in quotes";
    let secret = Secret::from_hex(reader.string(value, WANTED)?);
    if secret.is_none() {
        reader.report(start(value), format!("Write {WANTED}."));
    }
    secret
}

fn read_peers(
    reader: &Reader<'_>,
    fields: &Fields<'_, '_, '_>,
    own: Option<&Arc<str>>,
) -> Option<Vec<Peer>> {
    let Some(value) = fields.optional("peers") else {
        return Some(Vec::new());
    };
    let list = reader.array(value, bounds::PEERS_MAX)?;
    let mut seen = SeenNames::new("VM", name_hash);
    if let Some(own) = own {
        seen.check(reader, fields.start(), own);
    }
    let mut peers: Vec<Peer> = Vec::new();
    for value in &list.elements {
        let Some(peer) = read_peer(reader, value) else {
            continue;
        };
        seen.check(reader, start(value), &peer.vm);
        peers.push(peer);
    }
    Some(peers)
}

fn read_peer(reader: &Reader<'_>, value: &Value<'_>) -> Option<Peer> {
    let fields = reader.fields(reader.object(value)?, &PEER_FIELDS);
    let vm = fields.name("vm");
    let zone = fields.name("zone");
    let relay = fields.address("relay");
    let control = fields.address("control");
    Some(Peer {
        vm: vm?,
        zone: zone?,
        relay: relay?,
        control: control?,
    })
}

fn read_limits(reader: &Reader<'_>, fields: &Fields<'_, '_, '_>) -> Option<Limits> {
    let default = Limits::default();
    let Some(value) = fields.optional("limits") else {
        return Some(default);
    };
    let fields = reader.fields(reader.object(value)?, &LIMITS_FIELDS);
    let drain = fields.seconds_or("drain_s", &bounds::DRAIN_S, default.drain);
    let pause = fields.millis_or("pause_ms", &bounds::PAUSE_MS, default.pause);
    Some(Limits {
        drain: drain?,
        pause: pause?,
    })
}

pub(crate) fn read_log(reader: &Reader<'_>, fields: &Fields<'_, '_, '_>) -> Option<LogLevel> {
    match fields.optional("log") {
        Some(value) => reader.one_of(value, &LOG_LEVELS),
        None => Some(LogLevel::default()),
    }
}

fn read_testing(reader: &Reader<'_>, fields: &Fields<'_, '_, '_>) -> Option<Testing> {
    let Some(value) = fields.optional("testing") else {
        return Some(Testing::default());
    };
    let fields = reader.fields(reader.object(value)?, &TESTING_FIELDS);
    let faults = match fields.optional("faults") {
        Some(value) => reader.boolean(value),
        None => Some(false),
    };
    Some(Testing { faults: faults? })
}
