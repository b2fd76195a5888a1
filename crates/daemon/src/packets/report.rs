//! Status and metrics of a packet daemon, for operators.

use super::daemon::Daemon;
use crate::admin::Reports;
use foxtailhinge_config::packet_report::{
    PacketStatus,
    PacketUpstream,
    StoreRole,
    UpstreamStanding, //
};
use foxtailhinge_policy::packets::{
    directory::TrackedUpstream,
    Directory,
    Role,
    UpstreamState, //
};
use std::{
    sync::Arc,
    time::Instant, //
};

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
            upstreams,
        }
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
