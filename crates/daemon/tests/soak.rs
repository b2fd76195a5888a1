//! A short soak test: randomized faults against real daemon processes, with the guarantees checked from outside.
//!
//! `cargo run --release -p foxtailhinge-soak --example soak` runs more seeds, for longer and with more daemons.

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

/// Time during which faults are injected.
const FAULT_PERIOD: Duration = Duration::from_secs(6);

#[rstest]
#[case(101, Deployment::Kalahari, false)]
#[case(102, Deployment::SouthernCross, false)]
#[case(103, Deployment::Kalahari, false)]
#[case(104, Deployment::SouthernCross, false)]
#[case::restored(105, Deployment::Kalahari, true)]
#[case::restored(106, Deployment::SouthernCross, true)]
fn promises_hold_under_randomized_faults(
    #[case] seed: u64,
    #[case] deployment: Deployment,
    #[case] restorations: bool,
) {
    let program = Program {
        path: env!("CARGO_BIN_EXE_foxtailhinge").into(),
        args: Vec::new(),
    };
    let mut spec = SoakSpec::new(program, deployment);
    spec.daemons = 4;
    spec.upstreams = [8, 4];
    spec.feeds = 6;
    spec.fault_window = FAULT_PERIOD;
    spec.restorations = restorations;
    let verdict = Soak::run_seed(&spec, seed).expect("the fleet starts");
    assert!(verdict.passed(), "{verdict}");
    assert!(
        verdict.requests[1] > 0,
        "no request was answered: {verdict}"
    );
}
