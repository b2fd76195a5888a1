//! `foxtailctl view`, for daemons that forward packets.

use crate::{
    admin::AdminClient,
    daemon_report::{
        DaemonReport,
        Report, //
    },
    daemon_view::print_section,
    error::Outcome,
    packet_load,
    table::Table, //
};
use foxtailhinge_config::packet_report::{
    PacketStatus,
    PacketUpstream,
    StoreRole, //
};
use std::{
    net::SocketAddr,
    time::Duration, //
};

/// Prints the view that daemons have of the store and the upstreams.
pub(crate) fn run(
    admins: &[SocketAddr],
    service: Option<&str>,
    json: bool,
) -> anyhow::Result<Outcome> {
    let daemons = admins.iter().map(|admin| fetch(*admin, service));
    let report = Report {
        daemons: daemons.collect(),
    };
    report.print(json, print_text)
}

fn fetch(admin: SocketAddr, service: Option<&str>) -> DaemonReport<PacketStatus> {
    DaemonReport::new(admin, AdminClient::new(admin).view(), |status| {
        if let Some(service) = service {
            status.upstreams.retain(|u| *u.service == *service);
            status.loads.retain(|load| *load.service == *service);
        }
    })
}

fn print_text(report: &Report<PacketStatus>) {
    let mut daemons = Table::new([
        "vm",
        "zone",
        "ready",
        "revision",
        "age",
        "store",
        "reads",
        "configuration",
        "routes",
        "flows",
        "own delay",
    ]);
    let reported = report.daemons.iter().filter_map(|d| d.status.as_ref());
    for status in reported.clone() {
        daemons.push(daemon(status));
    }
    print_section("Daemons", &daemons);
    for status in reported {
        let mut upstreams = Table::new([
            "service",
            "upstream",
            "zone",
            "address",
            "standing",
            "in progress",
            "revision",
        ]);
        for reported in &status.upstreams {
            upstreams.push(upstream(reported));
        }
        println!();
        print_section(
            &format!("Load in {} as {} sees it", status.zone, status.vm),
            &packet_load::table(&status.loads),
        );
        println!();
        print_section(&format!("Upstreams as {} sees them", status.vm), &upstreams);
    }
    for error in report.daemons.iter().filter_map(|d| d.error.as_ref()) {
        println!("\n{error}");
    }
}

/// Describes how a daemon gets the contents of the store: from its own reads or from another daemon.
fn reads(status: &PacketStatus) -> String {
    match (status.role, &status.reader) {
        (StoreRole::Alone, _) => "for itself".to_owned(),
        (StoreRole::Reader, _) => format!("for {}", status.members),
        (StoreRole::Relay, Some(reader)) => format!("{reader} does, relayed"),
        (StoreRole::Follower, Some(reader)) => format!("{reader} does"),
        (StoreRole::Relay | StoreRole::Follower, None) => "no reader yet".to_owned(),
    }
}

fn daemon(status: &PacketStatus) -> [String; 11] {
    let store = match (status.store_lost, status.awaited) {
        (Some(lost), _) => format!("lost for {}", ms(lost)),
        (None, 0) => "answers".to_owned(),
        (None, awaited) => format!("restored, {awaited} to be written again"),
    };
    [
        status.vm.to_string(),
        status.zone.to_string(),
        if status.ready { "yes" } else { "no" }.to_owned(),
        version(status.era, status.revision),
        status.age.map_or_else(|| "-".to_owned(), ms),
        store,
        reads(status),
        status
            .configuration
            .map_or_else(|| "-".to_owned(), |version| version.to_string()),
        status.routes.to_string(),
        status.flows.to_string(),
        status
            .own_delay
            .map_or_else(|| "-".to_owned(), packet_load::ms),
    ]
}

fn upstream(reported: &PacketUpstream) -> [String; 7] {
    [
        reported.service.to_string(),
        reported.id.to_string(),
        reported.zone.to_string(),
        reported.address.to_string(),
        standing(reported),
        format!("{} of {}", reported.in_progress, reported.slots),
        reported.revision.to_string(),
    ]
}

/// Revision of the store, with the era if the store names one.
fn version(era: u64, revision: u64) -> String {
    match era {
        0 => revision.to_string(),
        era => format!("{era}:{revision}"),
    }
}

/// Standing of an upstream, and whether it rests on an entry that the restored store has lost.
fn standing(reported: &PacketUpstream) -> String {
    match reported.awaits_write {
        true => format!("{}, to be written again", reported.standing.as_str()),
        false => reported.standing.as_str().to_owned(),
    }
}

fn ms(duration: Duration) -> String {
    format!("{} ms", duration.as_millis())
}
