//! Mechanisms that documents can switch off.

use foxtailhinge_standins::fleet::document::ServiceDocument;
use std::{
    fmt,
    str::FromStr, //
};

/// Shortest ramp that a document may have, in seconds.
const SHORTEST_RAMP_S: u64 = 1;

/// A mechanism that is switched off by the documents of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Without {
    /// A returning upstream receives its full load at once.
    Ramp,
    /// No request is retried.
    Retries,
    /// No request waits for a slot.
    Queue,
}

impl Without {
    const ALL: [Without; 3] = [Without::Ramp, Without::Retries, Without::Queue];

    fn name(self) -> &'static str {
        match self {
            Without::Ramp => "ramp",
            Without::Retries => "retries",
            Without::Queue => "queue",
        }
    }

    /// Changes a document so that it switches the mechanism off.
    pub(crate) fn edit(self, document: &mut ServiceDocument) {
        match self {
            Without::Ramp => lift_cold_start(document),
            Without::Retries => document.defaults.retry_budget_percent = 0,
            Without::Queue => document.defaults.queue = 0,
        }
    }
}

impl fmt::Display for Without {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Without {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|one| one.name() == name);
        found.ok_or_else(|| format!("write ramp, retries or queue, not {name}"))
    }
}

/// Raises the cold-start limits to the largest upstream's full limits.
fn lift_cold_start(document: &mut ServiceDocument) {
    let upstreams = document.upstreams.iter();
    let most = upstreams.map(|one| (one.slots, one.connections)).max();
    if let Some((slots, connections)) = most {
        document.cold_start.slots = slots;
        document.cold_start.connections = connections;
    }
    document.cold_start.ramp_s = SHORTEST_RAMP_S;
}
