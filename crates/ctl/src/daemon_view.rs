//! Text output of `foxtailctl status` for one daemon.

use crate::{
    rows,
    table::Table, //
};
use foxtailhinge_config::report::Status;

/// Prints the status of one daemon.
pub(crate) fn print(status: &Status) {
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

/// Prints a title and its table, or that the table has no rows.
pub(crate) fn print_section(title: &str, table: &Table) {
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

fn members(status: &Status) -> Table {
    let mut table = Table::new(rows::MEMBER_TITLES);
    status
        .members
        .iter()
        .for_each(|m| table.push(rows::member(m)));
    table
}

fn documents(status: &Status) -> Table {
    let mut table = Table::new(rows::DOCUMENT_TITLES);
    let documents = status.documents.iter();
    documents.for_each(|d| table.push(rows::document(d)));
    table
}

fn zones(status: &Status) -> Table {
    let mut table = Table::new(rows::ZONE_TITLES);
    status.zones.iter().for_each(|z| table.push(rows::zone(z)));
    table
}

fn upstreams(status: &Status) -> Table {
    let mut table = Table::new(rows::UPSTREAM_TITLES);
    let upstreams = status.upstreams.iter();
    upstreams.for_each(|u| table.push(rows::upstream(u, u.owned.as_ref())));
    table
}

fn print_refused(status: &Status) {
    for refused in &status.refused {
        println!("\n{}", rows::refused(refused));
    }
}
