//! Loads of services in the text output for daemons that forward packets.

use crate::table::Table;
use foxtailhinge_config::packet_report::{
    LeavingShare,
    ServiceLoadReport, //
};
use std::time::Duration;

/// Returns the table of the loads.
pub(crate) fn table(loads: &[ServiceLoadReport]) -> Table {
    let mut table = Table::new([
        "service",
        "slots",
        "utilization",
        "service time",
        "goal",
        "refused",
        "admitted",
        "leaving to",
        "seen by",
    ]);
    for load in loads {
        table.push([
            load.service.to_string(),
            load.slots.to_string(),
            format!("{:.2}", load.utilization),
            load.service_time.map_or_else(|| "-".to_owned(), ms),
            ms(load.goal),
            share(load.refusal_rate),
            share(load.admitted),
            leaving(&load.leaving),
            daemons(load.daemons),
        ]);
    }
    table
}

/// Describes the shares of flows that go to other zones.
pub(crate) fn leaving(shares: &[LeavingShare]) -> String {
    let shares: Vec<_> = shares
        .iter()
        .map(|leaving| format!("{} {}", leaving.zone, share(leaving.share)))
        .collect();
    match shares.is_empty() {
        true => "-".to_owned(),
        false => shares.join(", "),
    }
}

/// Formats a share in percent.
pub(crate) fn share(value: f64) -> String {
    format!("{:.1} %", value * 100.0)
}

/// Formats a time to a tenth of a millisecond.
pub(crate) fn ms(duration: Duration) -> String {
    format!("{:.1} ms", duration.as_secs_f64() * 1_000.0)
}

fn daemons(daemons: u32) -> String {
    match daemons {
        1 => "1 daemon".to_owned(),
        daemons => format!("{daemons} daemons"),
    }
}
