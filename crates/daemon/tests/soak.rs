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

/// Faults beside the usual ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Extra {
    None,
    Restorations,
    Overloads,
}

#[rstest]
#[case(101, Deployment::Kalahari, Extra::None)]
#[case(102, Deployment::SouthernCross, Extra::None)]
#[case(103, Deployment::Kalahari, Extra::None)]
#[case(104, Deployment::SouthernCross, Extra::None)]
#[case::restored(105, Deployment::Kalahari, Extra::Restorations)]
#[case::restored(106, Deployment::SouthernCross, Extra::Restorations)]
#[case::links_cut(107, Deployment::SouthernCross, Extra::Overloads)]
#[case::uneven(108, Deployment::Kalahari, Extra::Overloads)]
#[case::overloaded(109, Deployment::SouthernCross, Extra::Overloads)]
fn promises_hold_under_randomized_faults(
    #[case] seed: u64,
    #[case] deployment: Deployment,
    #[case] extra: Extra,
) {
    let program = Program {
        path: env!("CARGO_BIN_EXE_foxtailhinge").into(),
        args: Vec::new(),
    };
    let mut spec = SoakSpec::new(program, deployment);
    spec.daemons = match extra {
        // Load reports need several daemons in each zone.
        Extra::Overloads => 8,
        _ => 4,
    };
    spec.upstreams = [8, 4];
    spec.feeds = 6;
    spec.fault_window = FAULT_PERIOD;
    spec.restorations = extra == Extra::Restorations;
    spec.overloads = extra == Extra::Overloads;
    let verdict = Soak::run_seed(&spec, seed).expect("the fleet starts");
    assert!(verdict.passed(), "{verdict}");
    assert!(
        verdict.requests[1] > 0,
        "no request was answered: {verdict}"
    );
}
