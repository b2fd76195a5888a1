//! Soak test of the packet mode: daemons run as processes, faults drawn from a seed are injected from outside, and
//! promises are checked by what callers and upstreams observe.

mod fault;
mod lasting_faults;
mod link_cut;
mod packet_proxy;
mod processes;
mod promises;
mod proxied_daemon;
mod schedule;
mod soak;
mod spec;
mod store_proxy;
mod verdict;

pub use self::{
    schedule::FaultSchedule,
    soak::Soak,
    spec::SoakSpec,
    verdict::Verdict, //
};
