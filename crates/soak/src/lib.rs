//! A soak of the packet mode: real daemons as processes of their own, faults from outside them that are drawn from a
//! seed, and promises that are checked by what callers and upstreams see.

mod fault;
mod hold;
mod packet_proxy;
mod place;
mod processes;
mod promises;
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
