//! A daemon of the fleet, with the proxies before it.

use crate::{
    packet_proxy::PacketProxy,
    store_proxy::StoreProxy, //
};
use anyhow::Context;
use foxtailhinge_standins::packets::fleet::PacketFleet;
use serde_json::{
    json,
    Value, //
};
use std::{
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    time::Instant,
};

/// Port at which a daemon takes packets behind its proxy.
const DIRECT: u16 = 6_001;
/// Port at which a daemon's proxy to the store listens.
const STORE_PROXY: u16 = 6_002;

/// A daemon of the fleet, with what stands before it.
pub(crate) struct Place {
    pub(crate) store_proxy: StoreProxy,
    pub(crate) packet_proxy: PacketProxy,
    pub(crate) store: SocketAddr,
    pub(crate) runs: bool,
    pub(crate) paused: bool,
    /// When it was asked to stop, and whether it was paused since.
    pub(crate) stopping: Option<(Instant, bool)>,
}

impl Place {
    /// Puts the proxies before a daemon, which has its settings and does not run yet.
    pub(crate) fn take(fleet: &PacketFleet, index: usize, seed: u64) -> anyhow::Result<Self> {
        let mut listen = None;
        fleet.edit_settings(index, |text| {
            let mut settings: Value = serde_json::from_str(&text).unwrap_or_default();
            let addr: Option<SocketAddrV4> =
                settings["listen"].as_str().and_then(|s| s.parse().ok());
            listen = addr;
            if let Some(addr) = addr {
                settings["listen"] = json!(SocketAddrV4::new(*addr.ip(), DIRECT).to_string());
                settings["store"] = json!(SocketAddrV4::new(*addr.ip(), STORE_PROXY).to_string());
            }
            serde_json::to_string_pretty(&settings).unwrap_or(text)
        })?;
        let listen = listen.context("the settings name no address for packets")?;
        let store = fleet.store_addr(index);
        let proxy = SocketAddrV4::new(*listen.ip(), STORE_PROXY);
        let behind = SocketAddrV4::new(*listen.ip(), DIRECT);
        Ok(Place {
            store_proxy: StoreProxy::start(proxy.into(), store)?,
            packet_proxy: PacketProxy::start(listen, behind, seed + index as u64)?,
            store,
            runs: true,
            paused: false,
            stopping: None,
        })
    }
}
