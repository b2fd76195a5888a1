//! Settings files of the daemons.

use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};
use serde::Serialize;
use std::{
    net::{
        IpAddr,
        SocketAddr, //
    },
    str::FromStr, //
};

/// Length of a key, in bytes.
const KEY_LEN: usize = 32;

/// Settings of a daemon.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Settings {
    pub(crate) vm: String,
    pub(crate) zone: String,
    pub(crate) listen: IpAddr,
    pub(crate) relay: SocketAddr,
    pub(crate) control: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) platform: SocketAddr,
    pub(crate) fleet: String,
    pub(crate) keys: Vec<Key>,
    pub(crate) peers: Vec<Peer>,
    pub(crate) limits: Limits,
    pub(crate) log: String,
    pub(crate) testing: Testing,
}

/// A key that a script names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyName {
    /// The key that the fleet begins with.
    Old,
    /// The key that replaces it.
    New,
}

impl KeyName {
    /// Draws the key itself; a fleet's seed gives the same one each time.
    pub(crate) fn key(self, seed: u64) -> Key {
        match self {
            KeyName::Old => Key::draw(0, seed),
            KeyName::New => Key::draw(1, !seed),
        }
    }
}

impl FromStr for KeyName {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "old" => Ok(KeyName::Old),
            "new" => Ok(KeyName::New),
            _ => Err(format!("write old or new, not {name}")),
        }
    }
}

/// A key of the fleet.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Key {
    pub(crate) slot: u8,
    pub(crate) secret: String,
}

impl Key {
    /// Draws a key.
    pub(crate) fn draw(slot: u8, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let secret: [u8; KEY_LEN] = rng.random();
        Key {
            slot,
            secret: crate::caller::hex(&secret),
        }
    }
}

/// A peer that a daemon asks when the platform is down.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Peer {
    pub(crate) vm: String,
    pub(crate) zone: String,
    pub(crate) relay: SocketAddr,
    pub(crate) control: SocketAddr,
}

/// Bounds of a daemon.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Limits {
    pub(crate) drain_s: u64,
    pub(crate) pause_ms: u64,
}

/// Means for tests.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Testing {
    pub(crate) faults: bool,
}
