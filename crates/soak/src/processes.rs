//! The daemons' processes: their ends, their starts and their memory.

use crate::{
    fault::Kind,
    promises::Ended,
    soak::Soak, //
};
use std::time::Instant;

/// Memory that a daemon may use, in kilobytes (letter 1: 32 MB).
const MEMORY_KB: u64 = 32 * 1024;

impl Soak {
    pub(crate) fn kill(&mut self, daemon: usize) {
        self.fleet.kill(daemon);
        let place = &mut self.places[daemon];
        (place.runs, place.paused, place.stopping) = (false, false, None);
    }

    pub(crate) fn stop(&mut self, daemon: usize) {
        let place = &mut self.places[daemon];
        if place.runs && place.stopping.is_none() {
            place.stopping = Some((Instant::now(), place.paused));
            self.fleet.terminate(daemon);
        }
    }

    /// Notes processes that have ended, starts those that are to run, and watches their memory.
    pub(crate) fn look_at_processes(&mut self) -> anyhow::Result<()> {
        let kinds = self.kinds();
        for index in 0..self.places.len() {
            if let Some(status) = self.fleet.try_wait(index) {
                let place = &mut self.places[index];
                let stopped = place.stopping.take();
                self.evidence.ended(Ended {
                    daemon: index,
                    ok: status.success(),
                    took: stopped.map(|(since, _)| since.elapsed()),
                    paused: stopped.is_some_and(|(_, paused)| paused),
                });
                (place.runs, place.paused) = (false, false);
            }
            // A daemon does not start with wrong settings.
            let down = |kind: &Kind| match kind {
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
            if !self.places[index].runs && !kinds.iter().any(down) {
                self.fleet.start_daemon(index)?;
                self.places[index].runs = true;
            }
            if let Some(memory) = self
                .fleet
                .peak_memory_kb(index)
                .filter(|kb| *kb > MEMORY_KB)
            {
                self.evidence.memory(index, memory);
            }
        }
        Ok(())
    }
}
