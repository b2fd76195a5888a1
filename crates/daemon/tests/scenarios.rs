//! Scripted scenarios against real daemon processes.

use foxtailhinge_standins::scenario::Scenario;
use rstest::rstest;
use std::{
    path::PathBuf,
    sync::Mutex, //
};

/// Runs one fleet at a time, so that the load of other scripts does not change a script's outcome.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

#[rstest]
fn scenario(#[files("tests/scenarios/*.txt")] script: PathBuf) {
    let _guard = FLEET_LOCK.lock().unwrap_or_else(|e| e.into_inner());
    let mut scenario = Scenario::new(env!("CARGO_BIN_EXE_foxtailhinge"));
    goldenscript::run(&mut scenario, script).unwrap();
}
