//! Peers whose traffic a test has cut off.

use foxtailhinge_wire::ticket::name_hash;
use std::{
    collections::HashSet,
    rc::Rc, //
};

/// Name that stands for the platform.
pub const PLATFORM: &str = "platform";

/// VM ids, and the platform, to and from which nothing passes.
#[derive(Debug, Default)]
pub struct Deny {
    names: HashSet<Rc<str>>,
    hashes: HashSet<u32>,
}

impl Deny {
    /// Cuts off the given names and no others.
    pub fn new(names: impl IntoIterator<Item = Rc<str>>) -> Self {
        let names: HashSet<Rc<str>> = names.into_iter().collect();
        let hashes = names.iter().map(|name| name_hash(name)).collect();
        Self { names, hashes }
    }

    /// Returns whether a VM, or the platform, is cut off.
    pub fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Returns whether the VM whose id has this hash is cut off.
    pub fn contains_hash(&self, hash: u32) -> bool {
        self.hashes.contains(&hash)
    }
}
