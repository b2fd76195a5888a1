//! A soak of the packet mode: real daemons as processes of their own, faults from outside them that are drawn from a
//! seed, and promises that are checked by what callers and upstreams see.

mod fault;
mod lane;
mod link;
mod promises;
mod series;
mod stage;
mod verdict;

pub use self::{
    series::Series,
    stage::{
        Stage,
        StageSpec, //
    },
    verdict::Verdict, //
};
