//! A soak of the packet mode: real daemons as processes of their own, faults from outside them that are drawn from a
//! seed, and promises that are checked by what callers and upstreams see.

mod fault;
mod hold;
mod lane;
mod link;
mod processes;
mod promises;
mod seat;
mod series;
mod spec;
mod stage;
mod verdict;

pub use self::{
    series::Series,
    spec::StageSpec,
    stage::Stage,
    verdict::Verdict, //
};
