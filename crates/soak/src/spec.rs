//! Parameters of a soak.

use crate::{
    fault::FleetShape,
    schedule::FaultSchedule, //
};
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

/// Parameters of a soak.
#[derive(Clone, Debug)]
pub struct SoakSpec {
    /// Program of the daemons.
    pub program: Program,
    /// Zones, services and the hashing that assigns flows to daemons.
    pub deployment: Deployment,
    /// Number of daemons.
    pub daemons: usize,
    /// Numbers of upstreams of the first and the second service.
    pub upstreams: [usize; 2],
    /// Number of feeds in each zone.
    pub feeds: usize,
    /// Time from the first fault's earliest start to the last fault's latest end.
    pub fault_window: Duration,
    /// Whether the store is also restored from copies. The other faults of a seed are the same with and without.
    pub restorations: bool,
    /// Whether there are also more requests than slots. The other faults of a seed are the same with and without.
    pub overloads: bool,
}

impl SoakSpec {
    /// Creates parameters with eight daemons, eighteen upstreams and fourteen seconds of faults.
    pub fn new(program: Program, deployment: Deployment) -> Self {
        Self {
            program,
            deployment,
            daemons: 8,
            upstreams: [14, 4],
            feeds: 16,
            fault_window: Duration::from_secs(14),
            restorations: false,
            overloads: false,
        }
    }

    pub(crate) fn shape(&self) -> FleetShape {
        FleetShape {
            daemons: self.daemons,
            zones: self.deployment.zones().len(),
            upstreams: self.upstreams[0],
        }
    }

    /// Draws the faults of a seed.
    pub(crate) fn schedule(&self, seed: u64) -> FaultSchedule {
        let schedule = FaultSchedule::draw(seed, self.fault_window, self.shape());
        let schedule = match self.restorations {
            true => schedule.with_restorations(seed),
            false => schedule,
        };
        match self.overloads {
            true => schedule.with_overloads(seed, self.shape()),
            false => schedule,
        }
    }

    pub(crate) fn builder(&self) -> Builder {
        let [first, second] = self.upstreams;
        Builder::new(self.deployment)
            .daemons(self.daemons)
            .upstreams(first, second)
            .hash(HashKind::of(self.deployment))
            .name_eras(self.restorations)
            .slots(self.slots())
            .queue(self.queue())
    }

    /// Requests that wait for a slot. With long queues, a living upstream leaves requests unanswered for longer than the
    /// failure detector waits.
    fn queue(&self) -> usize {
        match self.overloads {
            true => 32,
            false => 16,
        }
    }

    /// Slots of an upstream. With few slots, a few hundred requests a second are several times what they can serve.
    fn slots(&self) -> usize {
        match self.overloads {
            true => 2,
            false => 4,
        }
    }

    /// Requests per second that the slots of a service can serve.
    pub(crate) fn capacity_per_s(&self, service: usize) -> f64 {
        let slots = self.upstreams[service] * self.slots();
        slots as f64 / self.builder().work.as_secs_f64()
    }
}
