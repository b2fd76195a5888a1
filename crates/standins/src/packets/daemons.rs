//! What is done to single daemons of a fleet that forwards packets, and what they tell.

use super::fleet::{
    PacketFleet,
    SOON, //
};
use crate::fleet::daemon::Signal;
use foxtailhinge_config::packet_report::PacketStatus;
use std::{
    fs,
    path::PathBuf,
    process::ExitStatus, //
};

impl PacketFleet {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn start_daemon(&mut self, index: usize) -> anyhow::Result<()> {
        Ok(self.daemons[index].start(&self.program)?)
    }

    /// Asks a daemon to stop.
    pub fn terminate(&self, index: usize) {
        self.daemons[index].signal(Signal::Terminate);
    }

    /// Tells a daemon that its settings have changed.
    pub fn reload(&self, index: usize) {
        self.daemons[index].signal(Signal::Hangup);
    }

    /// Waits until a daemon has ended.
    pub fn await_end(&mut self, index: usize) -> Option<ExitStatus> {
        self.daemons[index].wait(SOON)
    }

    /// The exit status of a daemon that has ended since the last look.
    pub fn try_wait(&mut self, index: usize) -> Option<ExitStatus> {
        self.daemons[index].try_wait()
    }

    /// The most memory that a running daemon has used, in kilobytes.
    pub fn peak_memory_kb(&self, index: usize) -> Option<u64> {
        self.daemons[index].peak_memory_kb()
    }

    /// Keeps the daemons' logs after the fleet's end, and tells where.
    pub fn keep_logs(&mut self) -> PathBuf {
        self.keep_logs = true;
        self.dir.clone()
    }

    /// Kills a daemon.
    pub fn kill(&mut self, index: usize) {
        self.daemons[index].kill();
    }

    /// Pauses a daemon.
    pub fn freeze(&mut self, index: usize) {
        self.daemons[index].freeze();
    }

    /// Lets a daemon go on.
    pub fn wake(&mut self, index: usize) {
        self.daemons[index].wake();
    }

    /// Changes a daemon's settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or written.
    pub fn edit_settings(
        &self,
        index: usize,
        edit: impl FnOnce(String) -> String,
    ) -> anyhow::Result<()> {
        let path = &self.daemons[index].settings;
        let text = edit(fs::read_to_string(path)?);
        Ok(fs::write(path, text)?)
    }

    /// What a daemon knows.
    ///
    /// # Errors
    ///
    /// Fails when it does not answer.
    pub fn status(&self, index: usize) -> anyhow::Result<PacketStatus> {
        self.daemons[index].read_json("/status")
    }

    /// A daemon's metrics.
    ///
    /// # Errors
    ///
    /// Fails when it does not answer.
    pub fn metrics(&self, index: usize) -> anyhow::Result<String> {
        self.daemons[index].read("/metrics")
    }

    /// The lines of a daemon's log that tell of an event.
    pub fn events(&self, index: usize, event: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.daemons[index].log).unwrap_or_default();
        let wanted = format!(" event={event} ");
        let lines = log.lines().map(|line| format!("{line} "));
        let found = lines.filter(|line| line.contains(&wanted));
        found.map(|line| line.trim_end().to_owned()).collect()
    }
}
