//! Encoding of a change set for other daemons: each name once, then short records that refer to the names.

use bincode::{
    Decode,
    Encode, //
};
use foxtailhinge_policy::packets::{
    Change,
    ChangeSet,
    Configuration,
    ConfigurationDelta,
    ConfigurationId,
    Evacuation,
    Item,
    Route,
    Seniority,
    Target,
    Upstream,
    UpstreamId,
    UpstreamState,
    Version, //
};
use std::{
    collections::HashMap,
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    rc::Rc,
    time::Duration, //
};

/// Index of a name in [`ChangeSetRecord::names`].
type Name = u32;

/// The encoded form of a [`ChangeSet`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ChangeSetRecord {
    /// Version up to which the change set is complete.
    pub version: VersionRecord,
    /// First version that the sender knows of the era.
    pub era_start: VersionRecord,
    /// Version that the sender had before the era; zero if it started in this era.
    pub before_era: VersionRecord,
    /// Whether these are all entries of the directory.
    pub is_whole: bool,
    /// Names of services, zones and routes, without duplicates.
    pub names: Vec<String>,
    /// Changed entries.
    pub items: Vec<ItemRecord>,
    /// Changes of the configuration that the asker has.
    pub delta: Option<Box<DeltaRecord>>,
    /// States of upstreams, and the configuration, that the sender keeps in force although the store was restored from an
    /// older copy.
    pub awaited: Vec<ItemRecord>,
    /// What the sender knows of evacuations that a restored store may have lost.
    pub evacuations: Vec<EvacuationRecord>,
}

/// The latest evacuation of a zone that the sender knows of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EvacuationRecord {
    zone: Name,
    version: VersionRecord,
    is_in_force: bool,
}

/// A version of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct VersionRecord {
    era: u64,
    revision: u64,
}

impl From<Version> for VersionRecord {
    fn from(version: Version) -> Self {
        Self {
            era: version.era,
            revision: version.revision,
        }
    }
}

impl From<VersionRecord> for Version {
    fn from(record: VersionRecord) -> Self {
        Self::new(record.era, record.revision)
    }
}

/// Identity of a configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationIdRecord {
    written: VersionRecord,
    version: u64,
}

impl From<ConfigurationId> for ConfigurationIdRecord {
    fn from(id: ConfigurationId) -> Self {
        Self {
            written: id.written.into(),
            version: id.version,
        }
    }
}

impl From<ConfigurationIdRecord> for ConfigurationId {
    fn from(record: ConfigurationIdRecord) -> Self {
        Self {
            written: record.written.into(),
            version: record.version,
        }
    }
}

/// The difference between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct DeltaRecord {
    base: ConfigurationIdRecord,
    id: ConfigurationIdRecord,
    changed: Vec<RouteRecord>,
    removed: Vec<([u8; 4], u16)>,
    awaits_write: bool,
}

/// A changed entry.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ItemRecord {
    /// Version of the entry's last change.
    pub version: VersionRecord,
    /// New state of the entry.
    pub change: ChangeRecord,
}

/// New state of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ChangeRecord {
    /// An upstream is listed.
    Listed(UpstreamRecord),
    /// The upstream with this id is not listed any more.
    Unlisted(u64),
    /// The configuration was replaced.
    Configured {
        /// Version of the configuration.
        version: u64,
        /// Routes of the configuration.
        routes: Vec<RouteRecord>,
    },
    /// A zone goes out of service, or back into service.
    Zone {
        /// Name of the zone.
        zone: Name,
        /// Whether the zone is out of service.
        out: bool,
    },
}

/// The entry of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct UpstreamRecord {
    id: u64,
    service: Name,
    zone: Name,
    ip: [u8; 4],
    port: u16,
    slots: u32,
    is_draining: bool,
    warmup_left_ms: u32,
    started_ms: u64,
    created: u64,
}

/// A route of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RouteRecord {
    name: Name,
    ip: [u8; 4],
    port: u16,
    targets: Vec<(Name, u32)>,
    aim_ms: u32,
    is_idempotent: bool,
    priority: u8,
}

/// A record uses an index that is not in the list of names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("The change set uses a name that is not in its list of names.")]
pub struct NameError;

impl ChangeSetRecord {
    /// Encodes a change set; leaves out entries that cannot be used.
    pub fn new<'c>(changes: &'c ChangeSet) -> Self {
        let mut names = Names::default();
        let mut records = |items: &'c [Item]| {
            let records = items.iter().filter_map(|item| {
                Some(ItemRecord {
                    version: item.version.into(),
                    change: change_record(&item.change, &mut names)?,
                })
            });
            records.collect()
        };
        let (items, awaited) = (records(&changes.items), records(&changes.awaited));
        let delta = changes.delta.as_ref();
        let delta = delta.map(|delta| Box::new(delta_record(delta, &mut names)));
        let evacuations = changes
            .evacuations
            .iter()
            .map(|evacuation| EvacuationRecord {
                zone: names.index(&evacuation.zone),
                version: evacuation.version.into(),
                is_in_force: evacuation.is_in_force,
            });
        let evacuations = evacuations.collect();
        Self {
            version: changes.version.into(),
            era_start: changes.era_start.into(),
            before_era: changes.before_era.into(),
            is_whole: changes.is_whole,
            names: names.list,
            items,
            delta,
            awaited,
            evacuations,
        }
    }

    /// Whether the sender knows the state from before the era.
    pub fn lived_through(&self) -> bool {
        self.before_era != VersionRecord::default()
    }

    /// Decodes the change set.
    ///
    /// # Errors
    ///
    /// Fails when a record uses an index that is not in the list of names.
    pub fn decode(&self) -> Result<ChangeSet, NameError> {
        let names: Vec<Rc<str>> = self.names.iter().map(|name| Rc::from(&**name)).collect();
        let items = |records: &[ItemRecord]| -> Result<Vec<_>, _> {
            records.iter().map(|record| item(record, &names)).collect()
        };
        Ok(ChangeSet {
            version: self.version.into(),
            era_start: self.era_start.into(),
            before_era: self.before_era.into(),
            is_whole: self.is_whole,
            items: items(&self.items)?,
            delta: self
                .delta
                .as_ref()
                .map(|record| delta(record, &names))
                .transpose()?,
            awaited: items(&self.awaited)?,
            evacuations: self
                .evacuations
                .iter()
                .map(|record| {
                    Ok(Evacuation {
                        zone: name(&names, record.zone)?,
                        version: record.version.into(),
                        is_in_force: record.is_in_force,
                    })
                })
                .collect::<Result<_, _>>()?,
        })
    }
}

/// Names in the order of their first use.
#[derive(Default)]
struct Names<'n> {
    list: Vec<String>,
    indexes: HashMap<&'n str, Name>,
}

impl<'n> Names<'n> {
    fn index(&mut self, name: &'n str) -> Name {
        let list = &mut self.list;
        *self.indexes.entry(name).or_insert_with(|| {
            list.push(name.to_owned());
            (list.len() - 1) as Name
        })
    }
}

fn change_record<'n>(change: &'n Change, names: &mut Names<'n>) -> Option<ChangeRecord> {
    Some(match change {
        Change::Listed(id, upstream) => ChangeRecord::Listed(UpstreamRecord {
            id: id.0,
            service: names.index(&upstream.service),
            zone: names.index(&upstream.zone),
            ip: upstream.address.ip().octets(),
            port: upstream.address.port(),
            slots: upstream.slots,
            is_draining: upstream.state == UpstreamState::Draining,
            warmup_left_ms: millis(upstream.warmup_left),
            started_ms: upstream.seniority.started_ms,
            created: upstream.seniority.created,
        }),
        Change::Unlisted(id, _) => ChangeRecord::Unlisted(id.0),
        Change::Configured(cfg) => ChangeRecord::Configured {
            version: cfg.version,
            routes: cfg
                .routes
                .iter()
                .map(|(address, route)| route_record(address, route, names))
                .collect(),
        },
        Change::Zone { zone, out } => ChangeRecord::Zone {
            zone: names.index(zone),
            out: *out,
        },
        Change::Unusable(_) | Change::Foreign => return None,
    })
}

fn route_record<'n>(
    address: &SocketAddrV4,
    route: &'n Route,
    names: &mut Names<'n>,
) -> RouteRecord {
    let targets = route.targets.iter();
    let targets = targets.map(|target| (names.index(&target.service), target.weight));
    let targets = targets.collect();
    RouteRecord {
        name: names.index(&route.name),
        ip: address.ip().octets(),
        port: address.port(),
        targets,
        aim_ms: millis(route.target_latency),
        is_idempotent: route.is_idempotent,
        priority: route.priority,
    }
}

fn delta_record<'n>(delta: &'n ConfigurationDelta, names: &mut Names<'n>) -> DeltaRecord {
    let changed = delta.changed.iter();
    let removed = delta.removed.iter();
    DeltaRecord {
        base: delta.base.into(),
        id: delta.id.into(),
        changed: changed
            .map(|(address, route)| route_record(address, route, names))
            .collect(),
        removed: removed
            .map(|address| (address.ip().octets(), address.port()))
            .collect(),
        awaits_write: delta.awaits_write,
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn name(names: &[Rc<str>], at: Name) -> Result<Rc<str>, NameError> {
    names.get(at as usize).cloned().ok_or(NameError)
}

fn item(record: &ItemRecord, names: &[Rc<str>]) -> Result<Item, NameError> {
    let (key, change) = match &record.change {
        ChangeRecord::Listed(record) => {
            let id = UpstreamId(record.id);
            (id.to_string(), Change::Listed(id, upstream(record, names)?))
        }
        ChangeRecord::Unlisted(id) => {
            let id = UpstreamId(*id);
            (id.to_string(), Change::Unlisted(id, None))
        }
        ChangeRecord::Configured { version, routes } => {
            let routes = routes.iter().map(|record| route(record, names));
            let cfg = Configuration {
                version: *version,
                routes: routes.collect::<Result<_, _>>()?,
            };
            ("configuration".to_owned(), Change::Configured(cfg))
        }
        ChangeRecord::Zone { zone, out } => {
            let zone = name(names, *zone)?;
            (zone.to_string(), Change::Zone { zone, out: *out })
        }
    };
    Ok(Item {
        key: key.into(),
        version: record.version.into(),
        change,
    })
}

fn delta(record: &DeltaRecord, names: &[Rc<str>]) -> Result<ConfigurationDelta, NameError> {
    let changed = record.changed.iter().map(|record| route(record, names));
    let removed = record.removed.iter();
    Ok(ConfigurationDelta {
        base: record.base.into(),
        id: record.id.into(),
        changed: changed.collect::<Result<_, _>>()?,
        removed: removed
            .map(|(ip, port)| SocketAddrV4::new(Ipv4Addr::from(*ip), *port))
            .collect(),
        awaits_write: record.awaits_write,
    })
}

fn upstream(record: &UpstreamRecord, names: &[Rc<str>]) -> Result<Upstream, NameError> {
    Ok(Upstream {
        service: name(names, record.service)?,
        address: SocketAddrV4::new(Ipv4Addr::from(record.ip), record.port),
        zone: name(names, record.zone)?,
        slots: record.slots,
        state: match record.is_draining {
            true => UpstreamState::Draining,
            false => UpstreamState::Serving,
        },
        warmup_left: Duration::from_millis(record.warmup_left_ms.into()),
        seniority: Seniority {
            started_ms: record.started_ms,
            created: record.created,
        },
    })
}

fn route(record: &RouteRecord, names: &[Rc<str>]) -> Result<(SocketAddrV4, Route), NameError> {
    let targets = record.targets.iter().map(|(service, weight)| {
        Ok(Target {
            service: name(names, *service)?,
            weight: *weight,
        })
    });
    let route = Route {
        name: name(names, record.name)?,
        targets: targets.collect::<Result<_, _>>()?,
        target_latency: Duration::from_millis(record.aim_ms.into()),
        is_idempotent: record.is_idempotent,
        priority: record.priority,
    };
    let address = SocketAddrV4::new(Ipv4Addr::from(record.ip), record.port);
    Ok((address, route))
}
