//! Starts a fleet that forwards packets.

use super::{
    builder::Builder,
    fabric::Fabric,
    fleet::{
        PacketFleet,
        ROUTE_PORT, //
    },
    store::Store, //
};
use crate::fleet::{
    block::Block,
    Program, //
};
use serde_json::Value;
use std::{
    fs,
    sync::Arc, //
};

impl Builder {
    /// Starts the stand-ins and the daemons, and waits until all daemons are in rotation.
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

    /// Starts the stand-ins and writes the daemons' settings, but starts no daemon.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub fn prepare(self, program: &Program) -> anyhow::Result<PacketFleet> {
        let block = Block::claim()?;
        let addrs = (0..self.daemons).map(|index| block.store(index));
        let store = Store::start(addrs.collect())?;
        if self.names_eras {
            store.name_eras();
        }
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
            configuration: Value::Null,
            keep_logs: false,
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
