//! Placement and admission under load: a discrete-event simulation of each policy.
//!
//! `cargo bench -p foxtailhinge-policy --bench placement [-- NAME...]` prints Markdown tables.
//! All policies of a table are run with the same arrivals.

mod agenda;
mod herd;
mod least_bad;
mod overload;
mod overload_loads;
mod overload_sim;
mod report;
mod scenarios;
mod setup;
mod sim;
mod trace;
mod upstream_model;

use scenarios::SCENARIOS;

fn main() {
    let names: Vec<String> = std::env::args()
        .skip(1)
        .filter(|arg| !arg.starts_with('-'))
        .collect();
    for scenario in SCENARIOS {
        let wanted = names.is_empty() || names.iter().any(|name| name == scenario.name);
        if wanted {
            (scenario.run)();
        }
    }
}
