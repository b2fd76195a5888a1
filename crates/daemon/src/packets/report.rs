//! Status and metrics of a packet daemon, for operators.

use super::daemon::Daemon;
use crate::admin::{
    AdmissionError,
    AdmissionQuery,
    AdmissionTarget,
    PacketReports,
    Reports, //
};
use foxtailhinge_config::packet_report::{
    AdmissionReport,
    LeavingShare,
    OpeningReport,
    PacketStatus,
    PacketUpstream,
    RejectionReason,
    ServiceLoadReport,
    StoreRole,
    UpstreamStanding, //
};
use foxtailhinge_policy::packets::{
    directory::TrackedUpstream,
    entry::PRIORITY_LOWEST,
    AdmissionReason,
    Directory,
    Rejection,
    Role,
    Route,
    ServiceLoad,
    Target,
    UpstreamState, //
};
use smallvec::smallvec;
use std::{
    net::SocketAddrV4,
    sync::Arc,
    time::Instant, //
};

/// Maximum number of openings that one request explains; a service may have thousands of routes.
const OPENINGS_MAX: usize = 256;

/// Maximum of a reported utilization or share.
const REPORTED_MAX: f64 = 1e6;

impl Reports for Daemon {
    type Status = PacketStatus;

    fn metrics(&self) -> String {
        let status = self.status();
        let metrics = &self.metrics;
        let age = status.age.map_or(-1, |age| age.as_millis() as i64);
        metrics.view_age_ms.set(age);
        metrics.view_revision.set(status.revision as i64);
        metrics.awaited_entries.set(status.awaited as i64);
        metrics
            .configuration
            .set(status.configuration.unwrap_or(0) as i64);
        metrics.flows.set(status.flows as i64);
        metrics.zone_members.set(status.members as i64);
        metrics
            .upstreams
            .count(status.upstreams.iter().map(|u| u.standing));
        metrics
            .log_lines_lost
            .set(crate::logging::lines_lost() as i64);
        let balancer = self.path.balancer();
        metrics.set_loads(&balancer.service_loads(), balancer.own_delay());
        metrics.render()
    }

    fn status(&self) -> PacketStatus {
        let now = Instant::now();
        let directory = self.view.directory();
        let balancer = self.path.balancer();
        let settings = self.settings.get();
        let standing =
            |id, tracked: &TrackedUpstream| match published_standing(&directory, tracked, now) {
                UpstreamStanding::Good if balancer.is_silent(id, now) => UpstreamStanding::Silent,
                published => published,
            };
        let mut upstreams: Vec<_> = directory
            .upstreams()
            .map(|(id, tracked)| PacketUpstream {
                service: Arc::from(&*tracked.upstream.service),
                id: Arc::from(id.to_string()),
                address: tracked.upstream.address,
                zone: Arc::from(&*tracked.upstream.zone),
                standing: standing(id, tracked),
                in_progress: balancer.in_progress(id, now),
                slots: tracked.upstream.slots,
                revision: tracked.version.revision,
                awaits_write: tracked.awaits_write,
            })
            .collect();
        upstreams.sort_by(|a, b| (&a.service, &a.id).cmp(&(&b.service, &b.id)));
        let cfg = directory.configuration();
        PacketStatus {
            vm: settings.vm.clone(),
            zone: settings.zone.clone(),
            ready: self.is_ready(),
            era: directory.version().era,
            revision: directory.version().revision,
            awaited: directory.awaited(),
            age: self.view.age(now),
            store_lost: self
                .view
                .failing_since()
                .map(|since| now.duration_since(since)),
            role: self
                .zone
                .as_ref()
                .map_or(StoreRole::Alone, |z| reported_role(&z.role())),
            reader: self
                .zone
                .as_ref()
                .and_then(|z| z.followed())
                .map(|vm| Arc::from(&*vm)),
            members: self.zone.as_ref().map_or(1, |z| z.member_count()),
            configuration: cfg.map(|cfg| cfg.version),
            routes: cfg.map_or(0, |cfg| cfg.routes.len()),
            flows: balancer.flow_count(),
            own_delay: Some(balancer.own_delay()),
            loads: balancer.service_loads().iter().map(load_report).collect(),
            upstreams,
        }
    }
}

impl PacketReports for Daemon {
    fn explain_admission(&self, query: &AdmissionQuery) -> Result<AdmissionReport, AdmissionError> {
        let now = Instant::now();
        let directory = self.view.directory();
        let routes = directory.configuration().map(|cfg| &cfg.routes);
        let mut openings: Vec<_> = routes
            .into_iter()
            .flatten()
            .flat_map(|(addr, route)| route.targets.iter().map(move |t| (*addr, route, t)))
            .filter(|(addr, _, target)| match &query.target {
                AdmissionTarget::Service(service) => *target.service == **service,
                AdmissionTarget::Route(wanted) => addr == wanted,
            })
            .collect();
        if openings.is_empty() {
            return Err(match &query.target {
                AdmissionTarget::Service(service) => {
                    AdmissionError::UnknownService(service.clone())
                }
                AdmissionTarget::Route(addr) => AdmissionError::UnknownRoute(*addr),
            });
        }
        openings.sort_by(|a, b| (a.0, &a.2.service).cmp(&(b.0, &b.2.service)));
        let left_out = openings.len().saturating_sub(OPENINGS_MAX);
        openings.truncate(OPENINGS_MAX);
        let balancer = self.path.balancer();
        let loads = balancer.service_loads();
        let explain = |(addr, route, target): (SocketAddrV4, &Route, &Target)| {
            // The balancer explains the decision for the first target, so each one is asked about by itself.
            let route = Route {
                targets: smallvec![target.clone()],
                ..route.clone()
            };
            let reason = balancer.explain_admission(query.caller, &route, now);
            let load = loads.iter().find(|load| load.service == target.service);
            opening_report(addr, &route, target, &reason, load)
        };
        Ok(AdmissionReport {
            vm: self.settings.get().vm.clone(),
            caller: query.caller,
            openings: openings.into_iter().map(explain).collect(),
            left_out,
        })
    }
}

/// Returns the report of a service's load.
pub fn load_report(load: &ServiceLoad) -> ServiceLoadReport {
    ServiceLoadReport {
        service: Arc::from(&*load.service),
        slots: load.slots,
        utilization: finite(load.utilization),
        service_time: load.service_time,
        goal: load.goal,
        refusal_rate: finite(load.refusal_rate),
        admitted: finite(load.admitted),
        leaving: leaving_shares(load),
        daemons: load.daemons,
    }
}

/// Returns the report of what would become of a caller's opening on a route for one of its targets.
pub fn opening_report(
    addr: SocketAddrV4,
    route: &Route,
    target: &Target,
    reason: &AdmissionReason,
    load: Option<&ServiceLoad>,
) -> OpeningReport {
    OpeningReport {
        route: addr,
        name: Arc::from(&*route.name),
        service: Arc::from(&*target.service),
        priority: (reason.priority != PRIORITY_LOWEST).then_some(reason.priority),
        place: finite(reason.place),
        admitted: finite(reason.admitted),
        is_heavy: reason.is_heavy,
        rejected: reason.rejection().map(|rejection| match rejection {
            Rejection::HeavyCaller => RejectionReason::HeavyCaller,
            Rejection::Overload => RejectionReason::Overload,
            Rejection::OwnDelay => RejectionReason::OwnDelay,
        }),
        leaves: load.is_some_and(|load| reason.leaves_zone(load.leaving_share())),
        leaving: load.map_or_else(Vec::new, leaving_shares),
    }
}

fn leaving_shares(load: &ServiceLoad) -> Vec<LeavingShare> {
    let shares = load.leaving.iter();
    let shares = shares.map(|(zone, share)| LeavingShare {
        zone: Arc::from(&**zone),
        share: finite(*share),
    });
    shares.collect()
}

/// Bounds a value for JSON, which has no numbers that are not finite: the utilization without slots is infinite.
fn finite(value: f64) -> f64 {
    match value.is_nan() {
        true => 0.0,
        false => value.clamp(0.0, REPORTED_MAX),
    }
}

fn reported_role(role: &Role) -> StoreRole {
    match role {
        Role::Alone => StoreRole::Alone,
        Role::Reader => StoreRole::Reader,
        Role::Relay(_) => StoreRole::Relay,
        Role::Follower(_) => StoreRole::Follower,
    }
}

/// Standing of an upstream by its published state alone.
fn published_standing(
    directory: &Directory,
    tracked: &TrackedUpstream,
    now: Instant,
) -> UpstreamStanding {
    let zone = &tracked.upstream.zone;
    if tracked.upstream.state == UpstreamState::Draining {
        UpstreamStanding::Draining
    } else if !tracked.is_serving(now) {
        UpstreamStanding::Unlisted
    } else if directory.is_out(zone) {
        UpstreamStanding::Out
    } else if tracked.is_cold(now) || directory.has_returned(zone, now) {
        UpstreamStanding::Cold
    } else {
        UpstreamStanding::Good
    }
}
