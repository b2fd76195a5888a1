//! Text output of `foxtailctl status` for several daemons: equal rows are merged into one, which names the daemons
//! that reported it.

use crate::{
    daemon_report::DaemonReport,
    daemon_view::print_section,
    rows,
    table::Table, //
};
use foxtailhinge_config::report::{
    OwnedUpstream,
    Status,
    UpstreamStatus, //
};
use std::collections::{
    BTreeMap,
    BTreeSet, //
};

/// Printed in place of the names when all daemons that answered reported a row.
const ALL: &str = "all";
const SEEN_BY: &str = "seen by";

/// Prints the status of several daemons.
pub(crate) fn print(daemons: &[DaemonReport<Status>]) {
    let statuses: Vec<_> = daemons.iter().filter_map(|d| d.status.as_ref()).collect();
    print_section("Daemons", &answered(&statuses));
    for error in daemons.iter().filter_map(|d| d.error.as_ref()) {
        println!("{error}");
    }
    println!();
    print_section("Members", &members(&statuses));
    println!();
    print_section("Documents in force", &documents(&statuses));
    println!();
    print_section("Zones", &zones(&statuses));
    println!();
    print_section("Upstreams", &upstreams(&statuses));
    print_refused(&statuses);
}

fn answered(statuses: &[&Status]) -> Table {
    let mut table = Table::new(["vm", "zone", "state", "incarnation", "revision"]);
    for status in statuses {
        table.push([
            status.vm.to_string(),
            status.zone.to_string(),
            status.state.to_string(),
            status.incarnation.to_string(),
            status.platform.revision.to_string(),
        ]);
    }
    table
}

fn members(statuses: &[&Status]) -> Table {
    let mut merged = MergedRows::default();
    for status in statuses {
        let members = status.members.iter();
        members.for_each(|m| merged.add(rows::member(m), status));
    }
    merged.table(rows::MEMBER_TITLES, statuses.len())
}

fn documents(statuses: &[&Status]) -> Table {
    let mut merged = MergedRows::default();
    for status in statuses {
        let documents = status.documents.iter();
        documents.for_each(|d| merged.add(rows::document(d), status));
    }
    merged.table(rows::DOCUMENT_TITLES, statuses.len())
}

fn zones(statuses: &[&Status]) -> Table {
    let mut merged = MergedRows::default();
    for status in statuses {
        let zones = status.zones.iter();
        zones.for_each(|z| merged.add(rows::zone(z), status));
    }
    merged.table(rows::ZONE_TITLES, statuses.len())
}

/// An upstream has several rows if the daemons disagree on its owner.
fn upstreams(statuses: &[&Status]) -> Table {
    let mut merged = MergedRows::default();
    for status in statuses {
        for upstream in &status.upstreams {
            merged.add(rows::upstream(upstream, owned(statuses, upstream)), status);
        }
    }
    merged.table(rows::UPSTREAM_TITLES, statuses.len())
}

/// State of an upstream as reported by its owner; nothing if the owner was not queried.
fn owned<'a>(statuses: &[&'a Status], upstream: &UpstreamStatus) -> Option<&'a OwnedUpstream> {
    let owner = statuses
        .iter()
        .find(|s| Some(&s.vm) == upstream.owner.as_ref())?;
    let is_same =
        |u: &&UpstreamStatus| (&u.service, &u.upstream) == (&upstream.service, &upstream.upstream);
    owner.upstreams.iter().find(is_same)?.owned.as_ref()
}

fn print_refused(statuses: &[&Status]) {
    let refused = statuses.iter().flat_map(|s| &s.refused).map(rows::refused);
    let texts: BTreeSet<_> = refused.collect();
    texts.iter().for_each(|text| println!("\n{text}"));
}

/// Rows, each with the VMs of the daemons that reported it.
struct MergedRows<const N: usize>(BTreeMap<[String; N], Vec<String>>);

impl<const N: usize> Default for MergedRows<N> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<const N: usize> MergedRows<N> {
    fn add(&mut self, row: [String; N], status: &Status) {
        self.0.entry(row).or_default().push(status.vm.to_string());
    }

    fn table(self, titles: [&str; N], daemons: usize) -> Table {
        let mut table = Table::new(titles.into_iter().chain([SEEN_BY]));
        for (row, vms) in self.0 {
            let reporters = match vms.len() == daemons {
                true => ALL.to_string(),
                false => vms.join(" "),
            };
            table.push(row.into_iter().chain([reporters]));
        }
        table
    }
}
