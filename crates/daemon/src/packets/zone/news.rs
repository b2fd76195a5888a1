//! News of the directory as daemons pass them on: names once, then short records.

use bincode::{
    Decode,
    Encode, //
};
use foxtailhinge_policy::packets::{
    Change,
    ChangeSet,
    Configuration,
    Item,
    Route,
    Target,
    Upstream,
    UpstreamId,
    UpstreamState, //
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

/// Index of a name in [`NewsRecord::names`].
type Name = u32;

/// What has changed after a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct NewsRecord {
    /// Revision up to which nothing is missing.
    pub revision: u64,
    /// Whether these are all entries there are.
    pub is_whole: bool,
    /// Names of services, zones and routes, each one once.
    pub names: Vec<String>,
    /// Entries.
    pub items: Vec<ItemRecord>,
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ItemRecord {
    /// Revision of its last change.
    pub revision: u64,
    /// What it says.
    pub change: ChangeRecord,
}

/// What an entry says.
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
        /// Its routes.
        routes: Vec<RouteRecord>,
    },
    /// A zone is taken out of service, or back into it.
    Zone {
        /// Its name.
        zone: Name,
        /// Whether it is out of service.
        out: bool,
    },
}

/// An upstream.
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
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RouteRecord {
    name: Name,
    ip: [u8; 4],
    port: u16,
    targets: Vec<(Name, u32)>,
    aim_ms: u32,
    is_idempotent: bool,
}

/// A record that names something that it does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("The news use a name that is not among theirs.")]
pub struct NameError;

impl NewsRecord {
    /// News as they are sent; entries that cannot be used are left out.
    pub fn new(news: &ChangeSet) -> Self {
        let mut names = Names::default();
        let items = news.items.iter().filter_map(|item| {
            Some(ItemRecord {
                revision: item.revision,
                change: change_record(&item.change, &mut names)?,
            })
        });
        let items = items.collect();
        Self {
            revision: news.revision,
            is_whole: news.is_whole,
            names: names.list,
            items,
        }
    }

    /// The news.
    ///
    /// # Errors
    ///
    /// Fails when a record uses a name that is not there.
    pub fn decode(&self) -> Result<ChangeSet, NameError> {
        let names: Vec<Rc<str>> = self.names.iter().map(|name| Rc::from(&**name)).collect();
        let items = self.items.iter().map(|record| item(record, &names));
        Ok(ChangeSet {
            revision: self.revision,
            is_whole: self.is_whole,
            items: items.collect::<Result<_, _>>()?,
        })
    }
}

/// Names in the order in which they were met first.
#[derive(Default)]
struct Names<'n> {
    list: Vec<String>,
    known: HashMap<&'n str, Name>,
}

impl<'n> Names<'n> {
    fn index(&mut self, name: &'n str) -> Name {
        let list = &mut self.list;
        *self.known.entry(name).or_insert_with(|| {
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
        ChangeRecord::Listed(one) => {
            let id = UpstreamId(one.id);
            (id.to_string(), Change::Listed(id, upstream(one, names)?))
        }
        ChangeRecord::Unlisted(id) => {
            let id = UpstreamId(*id);
            (id.to_string(), Change::Unlisted(id, None))
        }
        ChangeRecord::Configured { version, routes } => {
            let routes = routes.iter().map(|one| route(one, names));
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
        revision: record.revision,
        change,
    })
}

fn upstream(one: &UpstreamRecord, names: &[Rc<str>]) -> Result<Upstream, NameError> {
    Ok(Upstream {
        service: name(names, one.service)?,
        address: SocketAddrV4::new(Ipv4Addr::from(one.ip), one.port),
        zone: name(names, one.zone)?,
        slots: one.slots,
        state: match one.is_draining {
            true => UpstreamState::Draining,
            false => UpstreamState::Serving,
        },
        warmup_left: Duration::from_millis(one.warmup_left_ms.into()),
    })
}

fn route(one: &RouteRecord, names: &[Rc<str>]) -> Result<(SocketAddrV4, Route), NameError> {
    let targets = one.targets.iter().map(|(service, weight)| {
        Ok(Target {
            service: name(names, *service)?,
            weight: *weight,
        })
    });
    let route = Route {
        name: name(names, one.name)?,
        targets: targets.collect::<Result<_, _>>()?,
        target_latency: Duration::from_millis(one.aim_ms.into()),
        is_idempotent: one.is_idempotent,
    };
    let address = SocketAddrV4::new(Ipv4Addr::from(one.ip), one.port);
    Ok((address, route))
}
