//! Difference between a configuration of packet mode and the one in force.

use crate::configuration::{
    Configuration,
    Field,
    Role,
    Route,
    Service, //
};
use serde::Serialize;
use std::{
    collections::{
        BTreeMap,
        HashMap,
        HashSet, //
    },
    fmt,
    net::SocketAddrV4,
    sync::Arc, //
};

/// What happened to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Only the new configuration has it.
    Added,
    /// Only the configuration in force has it.
    Removed,
    /// Both have it, with different values.
    Changed,
}

/// What an entry describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Subject {
    /// The configuration as a whole.
    Configuration,
    /// A route.
    Route,
    /// A service.
    Service,
    /// The limits.
    Limits,
}

/// What a change does to open flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// No route has their address any more, so they are reset.
    OpenFlowsReset,
    /// They stay at their upstreams; only new flows go elsewhere.
    OpenFlowsStay,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Added => "added",
            Self::Removed => "removed",
            Self::Changed => "changed",
        })
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Configuration => "configuration",
            Self::Route => "route",
            Self::Service => "service",
            Self::Limits => "limits",
        })
    }
}

impl fmt::Display for Effect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::OpenFlowsReset => "open flows are reset",
            Self::OpenFlowsStay => "open flows stay where they are",
        })
    }
}

/// An entry that was added or removed, or one of its fields that changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// What happened.
    pub kind: Kind,
    /// What the entry describes.
    pub subject: Subject,
    /// Name of the entry, if it has one.
    pub name: Option<Arc<str>>,
    /// Field that changed; `None` for an entry as a whole.
    pub field: Option<Arc<str>>,
    /// Value in force; for a route as a whole its address.
    pub in_force: Option<String>,
    /// New value; for a route as a whole its address.
    pub new: Option<String>,
    /// What the change does to open flows.
    pub effect: Option<Effect>,
}

/// Lists what differs between the configuration in force and a new one: routes first, in the order of the new text.
///
/// Routes are paired by their address, as flows are, and the rest by their name.
pub fn difference(in_force: &Configuration, new: &Configuration) -> Vec<Change> {
    let mut changes = Vec::new();
    compare_routes(&in_force.routes, &new.routes, &mut changes);
    compare_services(in_force, new, &mut changes);
    let limits = (in_force.limits.as_slice(), new.limits.as_slice());
    compare_fields(Subject::Limits, None, limits, |_| None, &mut changes);
    let others = (in_force.others.as_slice(), new.others.as_slice());
    compare_fields(Subject::Configuration, None, others, |_| None, &mut changes);
    changes
}

fn compare_routes(in_force: &[Route], new: &[Route], changes: &mut Vec<Change>) {
    let (in_force, new) = (used(in_force), used(new));
    let by_address: HashMap<SocketAddrV4, usize> = indices(&in_force, |r| r.address());
    let by_name: HashMap<Arc<str>, usize> = indices(&in_force, name_of);
    let mut pairs: Vec<Option<usize>> = new
        .iter()
        .map(|r| by_address.get(&r.address()?).copied())
        .collect();
    let mut paired: HashSet<usize> = pairs.iter().flatten().copied().collect();
    for (pair, route) in pairs
        .iter_mut()
        .zip(&new)
        .filter(|(pair, _)| pair.is_none())
    {
        let old = name_of(route).and_then(|name| by_name.get(&name).copied());
        *pair = old.filter(|old| paired.insert(*old));
    }
    for (pair, route) in pairs.iter().zip(&new) {
        match pair {
            Some(old) => compare_route(in_force[*old], route, changes),
            None => changes.push(whole_route(Kind::Added, route)),
        }
    }
    let removed = in_force.iter().enumerate();
    let removed = removed.filter(|(index, _)| !paired.contains(index));
    changes.extend(removed.map(|(_, route)| whole_route(Kind::Removed, route)));
}

/// Routes without those that a later one with the same address hides.
fn used(routes: &[Route]) -> Vec<&Route> {
    let mut seen = HashSet::new();
    let last = routes.iter().rev();
    let mut used: Vec<_> = last
        .filter(|r| r.address().is_none_or(|address| seen.insert(address)))
        .collect();
    used.reverse();
    used
}

fn indices<K: Eq + std::hash::Hash>(
    routes: &[&Route],
    key: impl Fn(&Route) -> Option<K>,
) -> HashMap<K, usize> {
    let routes = routes.iter().enumerate();
    routes
        .filter_map(|(index, r)| Some((key(r)?, index)))
        .collect()
}

fn name_of(route: &Route) -> Option<Arc<str>> {
    route.name.as_ref().map(|name| name.value.clone())
}

fn compare_route(old: &Route, new: &Route, changes: &mut Vec<Change>) {
    let has_other_targets = shares(old) != shares(new);
    // A port may be written in several ways, and one that could not be read moves no route.
    let has_moved = new.address().is_some() && old.address() != new.address();
    let effect = |role| match role {
        Role::Address => has_moved.then_some(Effect::OpenFlowsReset),
        Role::Targets => has_other_targets.then_some(Effect::OpenFlowsStay),
        Role::Other => None,
    };
    let fields = (old.fields.as_slice(), new.fields.as_slice());
    let name = name_of(new).or_else(|| name_of(old));
    compare_fields(Subject::Route, name, fields, effect, changes);
}

/// Services that get flows, with their weights.
fn shares(route: &Route) -> BTreeMap<Arc<str>, u64> {
    let mut shares = BTreeMap::new();
    let targets = route.targets.iter().flatten();
    for target in targets.filter(|target| target.weight.value > 0) {
        *shares.entry(target.service.value.clone()).or_default() += u64::from(target.weight.value);
    }
    // The weight of a single service has no meaning.
    if let (1, Some(mut only)) = (shares.len(), shares.first_entry()) {
        only.insert(1);
    }
    shares
}

fn whole_route(kind: Kind, route: &Route) -> Change {
    let address = route.address().map(|address| address.to_string());
    let (in_force, new, effect) = match kind {
        Kind::Removed => (address, None, Some(Effect::OpenFlowsReset)),
        Kind::Added | Kind::Changed => (None, address, None),
    };
    Change {
        kind,
        subject: Subject::Route,
        name: name_of(route),
        field: None,
        in_force,
        new,
        effect,
    }
}

fn compare_services(in_force: &Configuration, new: &Configuration, changes: &mut Vec<Change>) {
    let (old, new) = (
        in_force.services.iter().flatten(),
        new.services.iter().flatten(),
    );
    let mut olds: BTreeMap<&Arc<str>, &Service> = old.map(|s| (&s.name.value, s)).collect();
    let mut seen = HashSet::new();
    for service in new.filter(|s| seen.insert(&s.name.value)) {
        let name = &service.name.value;
        match olds.remove(name) {
            Some(old) => {
                let fields = (old.fields.as_slice(), service.fields.as_slice());
                compare_fields(
                    Subject::Service,
                    Some(name.clone()),
                    fields,
                    |_| None,
                    changes,
                );
            }
            None => changes.push(whole_service(Kind::Added, name)),
        }
    }
    changes.extend(
        olds.into_keys()
            .map(|name| whole_service(Kind::Removed, name)),
    );
}

fn whole_service(kind: Kind, name: &Arc<str>) -> Change {
    Change {
        kind,
        subject: Subject::Service,
        name: Some(name.clone()),
        field: None,
        in_force: None,
        new: None,
        effect: None,
    }
}

/// Lists the fields that differ between the two lists of `fields`, the one in force first.
fn compare_fields(
    subject: Subject,
    name: Option<Arc<str>>,
    (in_force, new): (&[Field], &[Field]),
    effect: impl Fn(Role) -> Option<Effect>,
    changes: &mut Vec<Change>,
) {
    let mut olds: BTreeMap<&str, &Field> = in_force.iter().map(|f| (&*f.name, f)).collect();
    let mut push = |old: Option<&Field>, new: Option<&Field>| {
        let Some(field) = new.or(old) else { return };
        changes.push(Change {
            kind: Kind::Changed,
            subject,
            name: name.clone(),
            field: Some(field.name.clone()),
            in_force: old.map(|f| f.value.clone()),
            new: new.map(|f| f.value.clone()),
            effect: effect(field.role),
        });
    };
    for field in new {
        let old = olds.remove(&*field.name);
        if old.is_none_or(|old| old.value != field.value) {
            push(old, Some(field));
        }
    }
    for old in olds.into_values() {
        push(Some(old), None);
    }
}
