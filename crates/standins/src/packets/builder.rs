//! What a fleet that forwards packets is made of, and its start.

use super::{
    fabric::{
        Fabric,
        HashKind, //
    },
    fleet::{
        PacketFleet,
        ROUTE_PORT, //
    },
    store::Store, //
};
use crate::fleet::{
    block::Block,
    Deployment,
    Program, //
};
use std::{
    fs,
    sync::Arc,
    time::Duration, //
};

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
            hash: HashKind::Steady,
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

    /// Starts everything and waits until all daemons are in rotation.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound or a daemon does not start.
    pub fn start(self, program: &Program) -> anyhow::Result<PacketFleet> {
        let mut fleet = self.prepare(program)?;
        for index in 0..fleet.len() {
            fleet.start_daemon(index)?;
        }
        fleet.await_rotation()?;
        Ok(fleet)
    }

    /// Starts the stand-ins only; the daemons have their settings and are not running.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub fn prepare(self, program: &Program) -> anyhow::Result<PacketFleet> {
        let block = Block::claim()?;
        let addrs = (0..self.daemons).map(|index| block.store(index));
        let store = Store::start(addrs.collect())?;
        let dir = std::env::temp_dir().join(format!(
            "foxtailhinge-packets-{}-{}",
            std::process::id(),
            block.packets(0).ip()
        ));
        fs::create_dir_all(&dir)?;
        let mut fleet = PacketFleet {
            fabric: Fabric::start(self.hash),
            program: program.clone(),
            seen: Arc::default(),
            daemons: Vec::new(),
            upstreams: Vec::new(),
            version: 0,
            builder: self,
            store,
            block,
            dir,
        };
        fleet.start_upstreams()?;
        fleet.configure(&[ROUTE_PORT, ROUTE_PORT + 1]);
        for index in 0..fleet.builder.daemons {
            fleet.add_daemon(index)?;
        }
        Ok(fleet)
    }
}
