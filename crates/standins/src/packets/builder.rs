//! What a fleet that forwards packets is made of.

use super::fabric::HashKind;
use crate::fleet::Deployment;
use std::time::Duration;

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct Builder {
    /// Zones and services.
    pub deployment: Deployment,
    /// Daemons, dealt to the zones in turn.
    pub daemons: usize,
    /// Upstreams of the two services, dealt to the zones in turn.
    pub upstreams: [usize; 2],
    /// How flows find their daemons.
    pub hash: HashKind,
    /// Mean time that an upstream spends on a request.
    pub work: Duration,
}

impl Builder {
    /// Eight daemons before fourteen and four upstreams.
    pub fn new(deployment: Deployment) -> Self {
        Self {
            deployment,
            daemons: 8,
            upstreams: [14, 4],
            hash: HashKind::Rendezvous,
            work: Duration::from_millis(50),
        }
    }

    /// With so many daemons.
    pub fn daemons(mut self, daemons: usize) -> Self {
        self.daemons = daemons;
        self
    }

    /// With so many upstreams of the two services.
    pub fn upstreams(mut self, first: usize, second: usize) -> Self {
        self.upstreams = [first, second];
        self
    }

    /// With flows that find their daemons so.
    pub fn hash(mut self, hash: HashKind) -> Self {
        self.hash = hash;
        self
    }
}
