//! A short soak: randomized faults against real daemons, with the promises checked from outside.
//!
//! `cargo run --release -p foxtailhinge-soak --example soak` plays more seeds, for longer and with more daemons.

use foxtailhinge_soak::{
    Soak,
    SoakSpec, //
};
use foxtailhinge_standins::fleet::{
    Deployment,
    Program, //
};
use rstest::rstest;
use std::time::Duration;

/// Time in which faults come.
const TIME: Duration = Duration::from_secs(6);

#[rstest]
#[case(101, Deployment::Kalahari)]
#[case(102, Deployment::SouthernCross)]
#[case(103, Deployment::Kalahari)]
#[case(104, Deployment::SouthernCross)]
fn promises_hold_under_randomized_faults(#[case] seed: u64, #[case] deployment: Deployment) {
    let program = Program {
        path: env!("CARGO_BIN_EXE_foxtailhinge").into(),
        args: Vec::new(),
    };
    let mut spec = SoakSpec::new(program, deployment);
    spec.daemons = 4;
    spec.upstreams = [8, 4];
    spec.feeds = 6;
    spec.fault_window = TIME;
    let verdict = Soak::run_seed(&spec, seed).expect("the fleet starts");
    assert!(verdict.passed(), "{verdict}");
    assert!(verdict.requests[1] > 0, "nothing was asked: {verdict}");
}
