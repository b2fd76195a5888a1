//! Deployments of the first two users.

use std::{
    str::FromStr,
    time::Duration, //
};

/// Deployment that a fleet reproduces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Kalahari Cue Systems: four availability zones in Windhoek.
    Kalahari,
    /// Southern Cross Parking Signs Co-operative: three availability zones in Queensland.
    SouthernCross,
}

impl Deployment {
    /// Returns the name of the deployment's fleet.
    pub fn name(self) -> &'static str {
        match self {
            Deployment::Kalahari => "kalahari",
            Deployment::SouthernCross => "southern-cross",
        }
    }

    /// Returns the availability zones.
    pub fn zones(self) -> &'static [&'static str] {
        match self {
            Deployment::Kalahari => &["windhoek-1", "windhoek-2", "windhoek-3", "windhoek-4"],
            Deployment::SouthernCross => &["queensland-1", "queensland-2", "queensland-3"],
        }
    }

    /// Returns the one-way latency between two availability zones.
    pub fn zone_latency(self) -> Duration {
        match self {
            Deployment::Kalahari => Duration::from_micros(1500),
            Deployment::SouthernCross => Duration::from_micros(500),
        }
    }

    /// Returns the one-way latency between a caller and an entry VM.
    pub fn caller_latency(self) -> Duration {
        Duration::from_millis(1)
    }

    /// Returns the two services, the one with feeds first.
    pub fn services(self) -> [&'static str; 2] {
        match self {
            Deployment::Kalahari => ["syncdesk-api", "certvault"],
            Deployment::SouthernCross => ["countkeeper", "layoutstore"],
        }
    }

    /// Returns the prefix of the names of a service's upstreams.
    pub fn prefix(self, service: usize) -> &'static str {
        match (self, service) {
            (Deployment::Kalahari, 0) => "syncdesk",
            (Deployment::Kalahari, _) => "certvault",
            (Deployment::SouthernCross, 0) => "countkeeper",
            (Deployment::SouthernCross, _) => "layoutstore",
        }
    }

    /// Returns the path of the first service's feeds.
    pub fn feed_path(self) -> &'static str {
        match self {
            Deployment::Kalahari => "/cues",
            Deployment::SouthernCross => "/counts",
        }
    }

    /// Returns the path of the first service's non-idempotent requests.
    pub fn post_path(self) -> &'static str {
        match self {
            Deployment::Kalahari => "/clearances",
            Deployment::SouthernCross => "/reports",
        }
    }

    /// Returns the path of the second service's reads.
    pub fn read_path(self) -> &'static str {
        match self {
            Deployment::Kalahari => "/certificates",
            Deployment::SouthernCross => "/layouts",
        }
    }
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let all = [Deployment::Kalahari, Deployment::SouthernCross];
        let found = all.into_iter().find(|deployment| deployment.name() == name);
        found.ok_or_else(|| format!("expected kalahari or southern-cross, not {name}"))
    }
}
