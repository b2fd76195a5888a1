//! Scripted scenarios against real daemon processes.

use foxtailhinge_standins::scenario::Scenario;
use rstest::rstest;
use std::{
    path::PathBuf,
    sync::Mutex, //
};

/// One fleet at a time, so that a busy machine does not decide a script's outcome.
static ONE_FLEET: Mutex<()> = Mutex::new(());

#[rstest]
fn scenario(#[files("tests/scenarios/*.txt")] script: PathBuf) {
    let _turn = ONE_FLEET.lock().unwrap_or_else(|e| e.into_inner());
    let mut scenario = Scenario::new(env!("CARGO_BIN_EXE_foxtailhinge"));
    goldenscript::run(&mut scenario, script).unwrap();
}
