//! Scenario language for tests of fleets, run by `goldenscript`.
//!
//! A script starts a fleet, runs commands on it and reports the results. Reports contain outcomes
//! but no durations, so that a script has the same output on every run.

mod batch;
mod command;
mod execute;
mod report;
mod tally;

use crate::{
    caller::Caller,
    feed::Feed,
    fleet::Fleet,
    load::Load,
    scenario::{
        command::ScriptCommand,
        tally::Tally, //
    }, //
};
use anyhow::Context;
use std::{
    collections::BTreeMap,
    error::Error,
    path::PathBuf,
    sync::Arc, //
};

/// A script in progress.
pub struct Scenario {
    binary: PathBuf,
    fleet: Option<Fleet>,
    callers: BTreeMap<String, Vec<Arc<Caller>>>,
    feeds: Vec<(Caller, Feed)>,
    load: Option<Load>,
    tally: Tally,
}

impl Scenario {
    /// Prepares a script whose daemons run the given executable.
    pub fn new(binary: impl Into<PathBuf>) -> Self {
        Scenario {
            binary: binary.into(),
            fleet: None,
            callers: BTreeMap::new(),
            feeds: Vec::new(),
            load: None,
            tally: Tally::default(),
        }
    }

    fn fleet(&mut self) -> anyhow::Result<&mut Fleet> {
        self.fleet
            .as_mut()
            .context("start the fleet first: fleet daemons=8")
    }
}

impl goldenscript::Runner for Scenario {
    type Command = ScriptCommand;

    fn run(
        &mut self,
        command: &ScriptCommand,
        _: &goldenscript::Context,
    ) -> Result<String, Box<dyn Error>> {
        self.execute(command).map_err(|e| format!("{e:#}").into())
    }
}
