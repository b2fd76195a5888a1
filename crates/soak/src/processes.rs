//! The daemons' processes: their ends, their starts and their memory.

use crate::{
    fault::Kind,
    promises::Ended,
    stage::Stage, //
};
use std::time::Instant;

/// Memory that a daemon may use, in kilobytes (letter 1: 32 MB).
const MEMORY_KB: u64 = 32 * 1024;

impl Stage {
    pub(crate) fn kill(&mut self, daemon: usize) {
        self.fleet.kill(daemon);
        let seat = &mut self.seats[daemon];
        (seat.runs, seat.paused, seat.stopping) = (false, false, None);
    }

    pub(crate) fn stop(&mut self, daemon: usize) {
        let seat = &mut self.seats[daemon];
        if seat.runs && seat.stopping.is_none() {
            seat.stopping = Some((Instant::now(), seat.paused));
            self.fleet.terminate(daemon);
        }
    }

    /// Notes processes that have ended, starts those that are to run, and watches their memory.
    pub(crate) fn look_at_processes(&mut self) -> anyhow::Result<()> {
        let kinds = self.kinds();
        for index in 0..self.seats.len() {
            if let Some(status) = self.fleet.ended(index) {
                let seat = &mut self.seats[index];
                let stopped = seat.stopping.take();
                self.evidence.ended(Ended {
                    daemon: index,
                    ok: status.success(),
                    took: stopped.map(|(since, _)| since.elapsed()),
                    paused: stopped.is_some_and(|(_, paused)| paused),
                });
                (seat.runs, seat.paused) = (false, false);
            }
            let down = |kind: &Kind| match kind {
                Kind::Killed(daemon) | Kind::Stopped(daemon) => *daemon == index,
                _ => false,
            };
            if !self.seats[index].runs && !kinds.iter().any(down) && !self.has_wrong_settings(index)
            {
                self.fleet.start_daemon(index)?;
                self.seats[index].runs = true;
            }
            if let Some(memory) = self.fleet.memory_kb(index).filter(|kb| *kb > MEMORY_KB) {
                self.evidence.memory(index, memory);
            }
        }
        Ok(())
    }

    /// A daemon does not start with wrong settings.
    fn has_wrong_settings(&self, index: usize) -> bool {
        self.kinds().iter().any(
            |kind| matches!(kind, Kind::Edited { daemon, wrong: true, .. } if *daemon == index),
        )
    }
}
