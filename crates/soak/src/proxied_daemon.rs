//! A daemon of the fleet with its proxies.

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

/// Port at which a daemon receives packets from its proxy.
const DAEMON_PORT: u16 = 6_001;
/// Port at which the proxy between a daemon and the store listens.
const STORE_PROXY_PORT: u16 = 6_002;

/// A daemon with its proxies and the state of its process.
pub(crate) struct ProxiedDaemon {
    pub(crate) store_proxy: StoreProxy,
    pub(crate) packet_proxy: PacketProxy,
    /// Address at which this daemon finds the store, which can refuse each daemon by its address.
    pub(crate) store: SocketAddr,
    pub(crate) running: bool,
    pub(crate) paused: bool,
    /// When the daemon was sent SIGTERM, and whether it was paused at that time or later.
    pub(crate) stopping: Option<(Instant, bool)>,
}

impl ProxiedDaemon {
    /// Starts the proxies of a daemon and points its settings at them. The daemon must not run yet.
    pub(crate) fn start_proxies(
        fleet: &PacketFleet,
        index: usize,
        seed: u64,
    ) -> anyhow::Result<Self> {
        let mut listen = None;
        fleet.edit_settings(index, |text| {
            let mut settings: Value = serde_json::from_str(&text).unwrap_or_default();
            let addr: Option<SocketAddrV4> =
                settings["listen"].as_str().and_then(|s| s.parse().ok());
            listen = addr;
            if let Some(addr) = addr {
                settings["listen"] = json!(SocketAddrV4::new(*addr.ip(), DAEMON_PORT).to_string());
                settings["store"] =
                    json!(SocketAddrV4::new(*addr.ip(), STORE_PROXY_PORT).to_string());
            }
            serde_json::to_string_pretty(&settings).unwrap_or(text)
        })?;
        let listen = listen.context("the settings name no address for packets")?;
        let store = fleet.store_addr(index);
        let proxy = SocketAddrV4::new(*listen.ip(), STORE_PROXY_PORT);
        let daemon_addr = SocketAddrV4::new(*listen.ip(), DAEMON_PORT);
        Ok(ProxiedDaemon {
            store_proxy: StoreProxy::start(proxy.into(), store)?,
            packet_proxy: PacketProxy::start(listen, daemon_addr, seed + index as u64)?,
            store,
            running: true,
            paused: false,
            stopping: None,
        })
    }
}
