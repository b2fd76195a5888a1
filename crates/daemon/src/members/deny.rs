//! Fault injection for tests: peers whose traffic is blocked.

use foxtailhinge_wire::ticket::name_hash;
use std::{
    collections::HashSet,
    rc::Rc, //
};

/// Name of the platform in the list of blocked peers.
pub const PLATFORM: &str = "platform";

/// VM ids, and possibly [`PLATFORM`], whose traffic is blocked in both directions.
#[derive(Debug, Default)]
pub struct Deny {
    names: HashSet<Rc<str>>,
    hashes: HashSet<u32>,
}

impl Deny {
    /// Creates the set that blocks exactly `names`.
    pub fn new(names: impl IntoIterator<Item = Rc<str>>) -> Self {
        let names: HashSet<Rc<str>> = names.into_iter().collect();
        let hashes = names.iter().map(|name| name_hash(name)).collect();
        Self { names, hashes }
    }

    /// Returns whether traffic with a VM, or the platform, is blocked.
    pub fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Returns whether traffic with the VM whose id has this hash is blocked.
    pub fn contains_hash(&self, hash: u32) -> bool {
        self.hashes.contains(&hash)
    }
}
