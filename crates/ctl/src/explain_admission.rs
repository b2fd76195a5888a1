//! `foxtailctl explain --caller`, for a daemon that forwards packets.

use crate::{
    admin::AdminClient,
    error::Outcome,
    output::print_json,
    packet_load::{
        leaving,
        share, //
    },
    table::Table, //
};
use foxtailhinge_config::packet_report::{
    AdmissionReport,
    OpeningReport, //
};
use std::net::{
    Ipv4Addr,
    SocketAddr, //
};

/// Prints what a daemon would do with the next openings of a caller, and why.
pub(crate) fn run(
    admin: SocketAddr,
    caller: Ipv4Addr,
    target: &str,
    json: bool,
) -> anyhow::Result<Outcome> {
    let report = AdminClient::new(admin).explain_admission(caller, target)?;
    match json {
        true => print_json(&report)?,
        false => print_text(&report),
    }
    Ok(Outcome::Success)
}

fn print_text(report: &AdmissionReport) {
    println!("{}", summary(report));
    let mut table = Table::new([
        "route", "name", "service", "priority", "place", "admitted", "verdict",
    ]);
    for opening in &report.openings {
        table.push([
            opening.route.to_string(),
            opening.name.to_string(),
            opening.service.to_string(),
            opening
                .priority
                .map_or_else(|| "lowest".to_owned(), |priority| priority.to_string()),
            format!("{:.3}", opening.place),
            share(opening.admitted),
            verdict(opening),
        ]);
    }
    print!("\n{table}");
    if report.left_out > 0 {
        println!("\n{} more are not shown; name a route.", report.left_out);
    }
}

fn summary(report: &AdmissionReport) -> String {
    let AdmissionReport {
        vm,
        caller,
        openings,
        ..
    } = report;
    let admitted = openings.iter().filter(|o| o.rejected.is_none()).count();
    let decision = match (admitted, openings.len()) {
        (0, _) => format!("rejects caller {caller}"),
        (admitted, all) if admitted == all => format!("admits caller {caller}"),
        (admitted, all) => format!("admits caller {caller} in {admitted} of {all} cases"),
    };
    format!(
        "{vm} {decision} now. A caller's place, 0 (admitted first) to 1, changes every few seconds."
    )
}

fn verdict(opening: &OpeningReport) -> String {
    match opening.rejected {
        Some(reason) => format!("rejected: {}", reason.as_str()),
        None => {
            let heavy = match opening.is_heavy {
                true => ", ranked lower as a heavy caller",
                false => "",
            };
            match opening.leaves {
                true => format!(
                    "admitted{heavy}, leaves the zone ({})",
                    leaving(&opening.leaving)
                ),
                false => format!("admitted{heavy}, stays in the zone"),
            }
        }
    }
}
