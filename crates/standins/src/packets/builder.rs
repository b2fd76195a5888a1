//! Description of a fleet that forwards packets.

use super::fabric::HashKind;
use crate::fleet::Deployment;
use std::time::Duration;

/// Describes a fleet; `start` launches it.
#[derive(Clone, Debug)]
pub struct Builder {
    /// Deployment that sets the zones and services.
    pub deployment: Deployment,
    /// Number of zones that are used, the first ones of the deployment.
    pub zones: usize,
    /// Number of daemons, assigned to the zones in turn.
    pub daemons: usize,
    /// Numbers of upstreams of the two services, assigned to the zones in turn.
    pub upstreams: [usize; 2],
    /// How the routers choose the daemon of a flow.
    pub hash: HashKind,
    /// Most requests that an upstream runs at a time.
    pub slots: usize,
    /// Most requests that wait for a slot at an upstream.
    pub queue: usize,
    /// Mean service time of a request at an upstream.
    pub work: Duration,
    /// Whether the store names its era in each answer.
    pub names_eras: bool,
}

impl Builder {
    /// Describes a fleet with 8 daemons, and 14 and 4 upstreams of the two services.
    pub fn new(deployment: Deployment) -> Self {
        Self {
            deployment,
            zones: deployment.zones().len(),
            daemons: 8,
            upstreams: [14, 4],
            hash: HashKind::Rendezvous,
            slots: 4,
            queue: 16,
            work: Duration::from_millis(50),
            names_eras: false,
        }
    }

    /// Uses only the first zones of the deployment.
    pub fn zones(mut self, zones: usize) -> Self {
        self.zones = zones;
        self
    }

    /// Sets the number of daemons.
    pub fn daemons(mut self, daemons: usize) -> Self {
        self.daemons = daemons;
        self
    }

    /// Sets the numbers of upstreams of the two services.
    pub fn upstreams(mut self, first: usize, second: usize) -> Self {
        self.upstreams = [first, second];
        self
    }

    /// Sets how many requests an upstream runs at a time.
    pub fn slots(mut self, slots: usize) -> Self {
        self.slots = slots;
        self
    }

    /// Sets how many requests wait for a slot at an upstream.
    pub fn queue(mut self, queue: usize) -> Self {
        self.queue = queue;
        self
    }

    /// Lets the store name its era in each answer, so that it can be restored from a copy.
    pub fn name_eras(mut self, names_eras: bool) -> Self {
        self.names_eras = names_eras;
        self
    }

    /// Sets how the routers choose the daemon of a flow.
    pub fn hash(mut self, hash: HashKind) -> Self {
        self.hash = hash;
        self
    }
}
