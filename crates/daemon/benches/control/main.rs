//! Growth of the control plane's memory, processor time and sent bytes with the number of members and documents.
//!
//! Run with `cargo bench -p foxtailhinge --bench control`. Processor time is that of this thread,
//! which runs both ends of a link.

mod documents;
#[allow(dead_code)]
#[path = "../../tests/control/fleet.rs"]
mod fleet;
mod links;
mod members;
mod meter;
mod probes;
mod spread;

fn main() {
    members::run();
    documents::run();
    probes::run();
    links::run();
    spread::run();
}
