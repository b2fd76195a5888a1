//! `foxtailctl status`.

use crate::{
    admin::{
        AdminClient,
        AdminError, //
    },
    error::Outcome,
    output::print_json,
    table::Table, //
};
use foxtailhinge_config::report::{
    OwnedUpstream,
    Status, //
};
use serde::Serialize;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc, //
};

#[derive(Serialize)]
struct Report {
    daemons: Vec<DaemonReport>,
}

#[derive(Serialize)]
struct DaemonReport {
    admin: SocketAddr,
    status: Option<Status>,
    error: Option<String>,
}

/// Prints what daemons know.
pub(crate) fn run(
    admins: &[SocketAddr],
    service: Option<&str>,
    json: bool,
) -> anyhow::Result<Outcome> {
    if let [admin] = admins {
        let status = AdminClient::new(*admin).status()?;
        let report = Report {
            daemons: vec![report(*admin, Ok(status), service)],
        };
        return print(&report, json);
    }
    let daemons = admins.iter().map(|admin| {
        let status = AdminClient::new(*admin).status();
        report(*admin, status, service)
    });
    let report = Report {
        daemons: daemons.collect(),
    };
    print(&report, json)
}

fn report(
    admin: SocketAddr,
    status: Result<Status, AdminError>,
    service: Option<&str>,
) -> DaemonReport {
    match status {
        Ok(mut status) => {
            if let Some(service) = service {
                keep_service(&mut status, service);
            }
            DaemonReport {
                admin,
                status: Some(status),
                error: None,
            }
        }
        Err(e) => DaemonReport {
            admin,
            status: None,
            error: Some(e.to_string()),
        },
    }
}

fn keep_service(status: &mut Status, service: &str) {
    status.zones.retain(|z| &*z.service == service);
    status.upstreams.retain(|u| &*u.service == service);
    status.documents.retain(|d| &*d.service == service);
    status.refused.retain(|r| &*r.service == service);
}

fn print(report: &Report, json: bool) -> anyhow::Result<Outcome> {
    if json {
        print_json(report)?;
    } else {
        print_text(report);
    }
    let all_answered = report.daemons.iter().all(|d| d.error.is_none());
    Ok(match all_answered {
        true => Outcome::Success,
        false => Outcome::Findings,
    })
}

fn print_text(report: &Report) {
    if report.daemons.len() > 1 {
        print_section("Documents in force on each daemon", &revisions(report));
        println!();
    }
    for (i, daemon) in report.daemons.iter().enumerate() {
        if i > 0 {
            println!();
        }
        match (&daemon.status, &daemon.error) {
            (Some(status), _) => print_status(status),
            (None, Some(error)) => println!("{error}"),
            (None, None) => {}
        }
    }
}

/// Revision of each service on each daemon, so that uneven ones show.
fn revisions(report: &Report) -> Table<3> {
    let mut by_service: BTreeMap<Arc<str>, BTreeMap<u64, Vec<Arc<str>>>> = BTreeMap::new();
    for status in report.daemons.iter().filter_map(|d| d.status.as_ref()) {
        for document in &status.documents {
            let by_revision = by_service.entry(document.service.clone()).or_default();
            let vms = by_revision.entry(document.revision).or_default();
            vms.push(status.vm.clone());
        }
    }
    let mut table = Table::new(["service", "revision", "daemons"]);
    for (service, by_revision) in by_service {
        for (revision, vms) in by_revision {
            table.push([service.to_string(), revision.to_string(), vms.join(" ")]);
        }
    }
    table
}

fn print_status(status: &Status) {
    println!("{}", summary(status));
    println!();
    print_section("Members", &members(status));
    println!();
    print_section("Documents in force", &documents(status));
    println!();
    print_section("Zones", &zones(status));
    println!();
    print_section("Upstreams", &upstreams(status));
    print_refused(status);
}

fn print_section<const N: usize>(title: &str, table: &Table<N>) {
    if table.is_empty() {
        println!("{title}: none");
        return;
    }
    print!("{title}\n{table}");
}

fn summary(status: &Status) -> String {
    let Status {
        vm,
        zone,
        fleet,
        incarnation,
        state,
        platform,
        ..
    } = status;
    let reachable = match platform.reachable {
        Some(true) => "reachable",
        Some(false) => "unreachable",
        None => "not asked",
    };
    let reader = match platform.reader {
        true => "watched by this daemon",
        false => "learned from peers",
    };
    format!(
        "Daemon {vm} of fleet {fleet} in zone {zone}: {state}, incarnation {incarnation}\n\
         Platform: {reachable}, {reader}, revision {}",
        platform.revision
    )
}

fn members(status: &Status) -> Table<4> {
    let mut table = Table::new(["vm", "zone", "state", "incarnation"]);
    for member in &status.members {
        let incarnation = member.incarnation.map(|i| i.to_string());
        table.push([
            member.vm.to_string(),
            member.zone.to_string(),
            member.state.to_string(),
            incarnation.unwrap_or_else(dash),
        ]);
    }
    table
}

fn documents(status: &Status) -> Table<2> {
    let mut table = Table::new(["service", "revision"]);
    for document in &status.documents {
        table.push([document.service.to_string(), document.revision.to_string()]);
    }
    table
}

fn zones(status: &Status) -> Table<3> {
    let mut table = Table::new(["service", "zone", "state"]);
    for zone in &status.zones {
        let state = if zone.in_service { "in" } else { "out" };
        table.push([
            zone.service.to_string(),
            zone.zone.to_string(),
            state.to_string(),
        ]);
    }
    table
}

fn upstreams(status: &Status) -> Table<8> {
    let mut table = Table::new([
        "service",
        "upstream",
        "zone",
        "owner",
        "state",
        "slots",
        "connections",
        "queued",
    ]);
    for upstream in &status.upstreams {
        let owned = |cell: fn(&OwnedUpstream) -> String| {
            upstream.owned.as_ref().map(cell).unwrap_or_else(dash)
        };
        table.push([
            upstream.service.to_string(),
            upstream.upstream.to_string(),
            upstream.zone.to_string(),
            upstream.owner.as_deref().unwrap_or("-").to_string(),
            owned(|o| o.state.to_string()),
            owned(|o| o.slots.to_string()),
            owned(|o| o.connections.to_string()),
            owned(|o| o.queued.to_string()),
        ]);
    }
    table
}

fn print_refused(status: &Status) {
    for refused in &status.refused {
        let (service, revision) = (&refused.service, refused.revision);
        println!("\nRefused: revision {revision} of {service}; the document in force stays");
        for finding in &refused.findings {
            println!("    {finding}");
        }
    }
}

fn dash() -> String {
    "-".to_string()
}
