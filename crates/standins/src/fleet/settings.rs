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

/// Length of a secret, in bytes.
const SECRET_LEN: usize = 32;

/// Settings file of a daemon.
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

/// Keys that a scenario can refer to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyName {
    /// Key that the fleet starts with.
    Old,
    /// Key that replaces the old one.
    New,
}

impl KeyName {
    /// Generates the key; the same seed always gives the same key.
    pub(crate) fn key(self, seed: u64) -> Key {
        match self {
            KeyName::Old => Key::generate(0, seed),
            KeyName::New => Key::generate(1, !seed),
        }
    }
}

impl FromStr for KeyName {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "old" => Ok(KeyName::Old),
            "new" => Ok(KeyName::New),
            _ => Err(format!("expected old or new, not {name}")),
        }
    }
}

/// Key that the daemons of a fleet share.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Key {
    pub(crate) slot: u8,
    pub(crate) secret: String,
}

impl Key {
    /// Generates a key from a seed.
    pub(crate) fn generate(slot: u8, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let secret: [u8; SECRET_LEN] = rng.random();
        Key {
            slot,
            secret: crate::caller::hex(&secret),
        }
    }
}

/// Peer that a daemon contacts when the platform is down.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Peer {
    pub(crate) vm: String,
    pub(crate) zone: String,
    pub(crate) relay: SocketAddr,
    pub(crate) control: SocketAddr,
}

/// Limits in a daemon's settings.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Limits {
    pub(crate) drain_s: u64,
    pub(crate) pause_ms: u64,
}

/// Settings that only tests use.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Testing {
    pub(crate) faults: bool,
}
