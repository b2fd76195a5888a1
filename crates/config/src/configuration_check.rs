//! Rules on the entries of a configuration of packet mode, apart from the types of its values.

use crate::{
    configuration::{
        Configuration,
        Placed,
        Route,
        Service,
        Target, //
    },
    reader::{
        Quoted,
        Reader, //
    },
};
use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    sync::Arc,
    time::Duration, //
};

/// Reports what is wrong with the entries of a configuration, by themselves and against each other.
pub fn check_configuration(reader: &Reader<'_>, cfg: &Configuration) {
    let services = cfg.services.as_deref();
    check_names(
        reader,
        "route",
        cfg.routes.iter().filter_map(|r| r.name.as_ref()),
    );
    check_names(
        reader,
        "service",
        services.unwrap_or_default().iter().map(|s| &s.name),
    );
    check_addresses(reader, &cfg.routes);
    for route in &cfg.routes {
        check_address(reader, route);
        check_target_latency(reader, route);
        check_targets(reader, route);
    }
    if let Some(services) = services {
        check_references(reader, &cfg.routes, services);
        for service in services {
            check_warmup(reader, service);
        }
    }
    check_idle_timeout(reader, cfg);
}

/// Reports a version that does not rise above that of the configuration in force.
pub fn check_version(reader: &Reader<'_>, cfg: &Configuration, in_force: &Configuration) {
    let (Some(new), Some(old)) = (&cfg.version, &in_force.version) else {
        return;
    };
    let old = old.value;
    if new.value < old {
        reader.report(
            new.at,
            format!("Write a version above {old}, which is in force; daemons refuse a lower one."),
        );
    } else if new.value == old {
        reader.warn(
            new.at,
            format!("Write a version above {old}; the configuration in force has this one too."),
        );
    }
}

fn check_names<'a>(
    reader: &Reader<'_>,
    kind: &str,
    names: impl Iterator<Item = &'a Placed<Arc<str>>>,
) {
    let mut seen = HashSet::new();
    for name in names.filter(|name| !seen.insert(&name.value)) {
        let quoted = Quoted(&name.value);
        reader.report(
            name.at,
            format!("Rename or remove this {kind}; the name {quoted} is taken."),
        );
    }
}

fn check_addresses(reader: &Reader<'_>, routes: &[Route]) {
    let mut used = HashMap::new();
    for route in routes.iter().rev() {
        let Some(address) = route.address() else {
            continue;
        };
        let last = used.entry(address).or_insert(route);
        if last.at != route.at {
            let name = Quoted(last.label());
            reader.report(
                route.at,
                format!("Remove this route or change its address; it never matches, as route {name} below has {address} too."),
            );
        }
    }
}

fn check_address(reader: &Reader<'_>, route: &Route) {
    if let Some(ip) = route.ip.as_ref().filter(|ip| ip.value.is_unspecified()) {
        reader.warn(
            ip.at,
            "Write the address of the route; no packet arrives at 0.0.0.0.",
        );
    }
    if let Some(port) = route.port.as_ref().filter(|port| port.value == 0) {
        reader.warn(
            port.at,
            "Write a port from 1 to 65535; no packet arrives at port 0.",
        );
    }
}

fn check_target_latency(reader: &Reader<'_>, route: &Route) {
    let (Some(target), Some(timeout)) = (&route.target_latency, &route.timeout) else {
        return;
    };
    if target.value > timeout.value {
        let (target_ms, timeout_ms) = (target.value.as_millis(), timeout.value.as_millis());
        reader.warn(
            target.at,
            format!("Write at most {timeout_ms}, the time-out of the route in ms; a target of {target_ms} ms is beyond it."),
        );
    }
}

fn check_targets(reader: &Reader<'_>, route: &Route) {
    let Some(targets) = &route.targets else {
        return;
    };
    let Some(first) = targets.first() else {
        let name = Quoted(route.label());
        reader.report(
            route.at,
            format!("Name a service for the route {name}; it leads nowhere."),
        );
        return;
    };
    if targets.iter().all(|target| target.weight.value == 0) {
        reader.report(
            first.weight.at,
            "Write a weight above 0 for a service of this route; while all are 0, all flows go to the first one.",
        );
        return;
    }
    for target in targets.iter().filter(|target| target.weight.value == 0) {
        let service = Quoted(&target.service.value);
        reader.warn(
            target.weight.at,
            format!(
                "Remove {service} from this route or write a weight above 0; it gets no flows."
            ),
        );
    }
}

fn check_references(reader: &Reader<'_>, routes: &[Route], services: &[Service]) {
    let targets = || routes.iter().filter_map(|r| r.targets.as_ref()).flatten();
    let defined: HashSet<_> = services.iter().map(|s| &s.name.value).collect();
    let is_undefined = |target: &&Target| !defined.contains(&target.service.value);
    for Target { service, .. } in targets().filter(is_undefined) {
        let name = Quoted(&service.value);
        reader.report(
            service.at,
            format!("Define the service {name} or write another one; the services do not list it."),
        );
    }
    // Without all routes it is unknown which services they lead to.
    if routes.iter().any(|route| route.targets.is_none()) {
        return;
    }
    let reached: HashSet<_> = targets().map(|t| &t.service.value).collect();
    let unreached = services.iter().map(|s| &s.name);
    for name in unreached.filter(|name| !reached.contains(&name.value)) {
        let quoted = Quoted(&name.value);
        reader.warn(
            name.at,
            format!("Remove the service {quoted} or add a route; none leads to it."),
        );
    }
}

fn check_warmup(reader: &Reader<'_>, service: &Service) {
    let (Some(warmup), Some(rate)) = (&service.warmup_s, &service.warmup_rate) else {
        return;
    };
    if warmup.value > 0.0 && rate.value == 0.0 {
        let (name, s) = (Quoted(&service.name.value), warmup.value);
        reader.warn(
            rate.at,
            format!("Write a rate above 0, or no warm-up; an upstream of {name} gets no requests for {s} s after its start."),
        );
    }
}

fn check_idle_timeout(reader: &Reader<'_>, cfg: &Configuration) {
    let Some(Placed { at, value: idle }) = &cfg.idle_timeout else {
        return;
    };
    let timeout = |route: &Route| route.timeout.as_ref().map_or(Duration::ZERO, |t| t.value);
    let longer = cfg.routes.iter().filter(|route| timeout(route) > *idle);
    let Some(longest) = longer.clone().max_by_key(|route| timeout(route)) else {
        return;
    };
    let (name, ms) = (Quoted(longest.label()), timeout(longest).as_millis());
    let count = longer.count();
    reader.warn(
        *at,
        format!("Write at least {ms}, the time-out of the route {name} in ms; connections that wait for an answer end before it (routes with a longer time-out: {count})."),
    );
}
