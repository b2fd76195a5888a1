//! What a soak is made of.

use crate::fault::Shape;
use foxtailhinge_standins::{
    fleet::{
        Deployment,
        Program, //
    },
    packets::{
        builder::Builder,
        fabric::HashKind, //
    },
};
use std::time::Duration;

/// What a soak is made of.
#[derive(Clone, Debug)]
pub struct SoakSpec {
    /// The daemon's program.
    pub program: Program,
    /// Zones, services and the way in which flows find their daemons.
    pub deployment: Deployment,
    /// Number of daemons.
    pub daemons: usize,
    /// Upstreams of the first service and the second one.
    pub upstreams: [usize; 2],
    /// Feeds of each zone.
    pub feeds: usize,
    /// Time in which faults come.
    pub fault_window: Duration,
}

impl SoakSpec {
    /// Eight daemons before eighteen upstreams, and faults for fourteen seconds.
    pub fn new(program: Program, deployment: Deployment) -> Self {
        Self {
            program,
            deployment,
            daemons: 8,
            upstreams: [14, 4],
            feeds: 16,
            fault_window: Duration::from_secs(14),
        }
    }

    pub(crate) fn shape(&self) -> Shape {
        Shape {
            daemons: self.daemons,
            zones: self.deployment.zones().len(),
            upstreams: self.upstreams[0],
        }
    }

    pub(crate) fn builder(&self) -> Builder {
        let [first, second] = self.upstreams;
        Builder::new(self.deployment)
            .daemons(self.daemons)
            .upstreams(first, second)
            .hash(HashKind::of(self.deployment))
    }
}
