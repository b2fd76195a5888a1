//! Starts, stops and memory limits of the daemons' processes.

use crate::{
    fault::Kind,
    promises::ProcessExit,
    soak::Soak, //
};
use std::time::Instant;

/// Memory limit of a daemon, in kilobytes: the users require 32 MB.
const MEMORY_MAX_KB: u64 = 32 * 1024;

impl Soak {
    pub(crate) fn kill(&mut self, daemon: usize) {
        self.fleet.kill(daemon);
        let proxied = &mut self.proxied_daemons[daemon];
        (proxied.running, proxied.paused, proxied.stopping) = (false, false, None);
    }

    pub(crate) fn stop(&mut self, daemon: usize) {
        let proxied = &mut self.proxied_daemons[daemon];
        if proxied.running && proxied.stopping.is_none() {
            proxied.stopping = Some((Instant::now(), proxied.paused));
            self.fleet.terminate(daemon);
        }
    }

    /// Records exits and memory above the limit, and restarts the daemons that no fault keeps down.
    pub(crate) fn check_processes(&mut self) -> anyhow::Result<()> {
        let kinds = self.kinds();
        for index in 0..self.proxied_daemons.len() {
            if let Some(status) = self.fleet.try_wait(index) {
                let proxied = &mut self.proxied_daemons[index];
                let stopped = proxied.stopping.take();
                self.checker.record_exit(ProcessExit {
                    daemon: index,
                    ok: status.success(),
                    took: stopped.map(|(stopped_at, _)| stopped_at.elapsed()),
                    paused: stopped.is_some_and(|(_, paused)| paused),
                });
                (proxied.running, proxied.paused) = (false, false);
            }
            // A daemon with wrong settings would fail to start.
            let keeps_down = |kind: &Kind| match kind {
                Kind::Killed(daemon)
                | Kind::Stopped(daemon)
                | Kind::Edited {
                    daemon,
                    wrong: true,
                    ..
                } => *daemon == index,
                Kind::ReadersKilled => self.readers.contains(&index),
                _ => false,
            };
            if !self.proxied_daemons[index].running && !kinds.iter().any(keeps_down) {
                self.fleet.start_daemon(index)?;
                self.proxied_daemons[index].running = true;
            }
            if let Some(memory) = self
                .fleet
                .peak_memory_kb(index)
                .filter(|kb| *kb > MEMORY_MAX_KB)
            {
                self.checker.record_memory(index, memory);
            }
        }
        Ok(())
    }
}
