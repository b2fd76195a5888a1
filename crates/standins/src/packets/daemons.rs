//! Control of single daemons of a fleet that forwards packets, and access to their status, metrics and logs.

use super::fleet::{
    PacketFleet,
    WAIT_TIMEOUT, //
};
use crate::fleet::daemon::Signal;
use foxtailhinge_config::packet_report::{
    AdmissionReport,
    PacketStatus, //
};
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

    /// Asks a daemon to shut down, with SIGTERM.
    pub fn terminate(&self, index: usize) {
        self.daemons[index].signal(Signal::Terminate);
    }

    /// Makes a daemon read its settings again, with SIGHUP.
    pub fn reload(&self, index: usize) {
        self.daemons[index].signal(Signal::Hangup);
    }

    /// Waits up to ten seconds until a daemon has exited; returns its exit status.
    pub fn await_end(&mut self, index: usize) -> Option<ExitStatus> {
        self.daemons[index].wait(WAIT_TIMEOUT)
    }

    /// Returns the exit status of a daemon that has exited; later calls return `None`.
    pub fn try_wait(&mut self, index: usize) -> Option<ExitStatus> {
        self.daemons[index].try_wait()
    }

    /// Returns the peak memory of a running daemon, in kilobytes.
    pub fn peak_memory_kb(&self, index: usize) -> Option<u64> {
        self.daemons[index].peak_memory_kb()
    }

    /// Keeps the daemons' logs when the fleet is dropped, and returns their directory.
    pub fn keep_logs(&mut self) -> PathBuf {
        self.keep_logs = true;
        self.dir.clone()
    }

    /// Kills a daemon with SIGKILL.
    pub fn kill(&mut self, index: usize) {
        self.daemons[index].kill();
    }

    /// Pauses a daemon with SIGSTOP.
    pub fn freeze(&mut self, index: usize) {
        self.daemons[index].freeze();
    }

    /// Resumes a paused daemon.
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

    /// Reads a daemon's status.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not answer.
    pub fn status(&self, index: usize) -> anyhow::Result<PacketStatus> {
        self.daemons[index].read_json("/status")
    }

    /// Reads a daemon's metrics in their text format.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not answer.
    pub fn metrics(&self, index: usize) -> anyhow::Result<String> {
        self.daemons[index].read("/metrics")
    }

    /// Asks a daemon what it would do with the openings of a caller; `query` is the query string.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not answer, or refuses the query.
    pub fn explain_admission(&self, index: usize, query: &str) -> anyhow::Result<AdmissionReport> {
        self.daemons[index].read_json(&format!("/explain?{query}"))
    }

    /// Returns the lines of a daemon's log that record an event.
    pub fn events(&self, index: usize, event: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.daemons[index].log).unwrap_or_default();
        let wanted = format!(" event={event} ");
        let lines = log.lines().map(|line| format!("{line} "));
        let found = lines.filter(|line| line.contains(&wanted));
        found.map(|line| line.trim_end().to_owned()).collect()
    }
}
