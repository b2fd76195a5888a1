//! Cache of computed owners.

use crate::members::Members;
use std::{
    collections::HashMap,
    rc::Rc, //
};

/// Cache of upstream owners; an entry is valid for one version of its zone's live members.
#[derive(Debug, Default)]
pub struct OwnerCache {
    owners: HashMap<Rc<str>, CachedOwner>,
}

#[derive(Debug)]
struct CachedOwner {
    zone_version: u64,
    vm: Option<Rc<str>>,
}

impl OwnerCache {
    /// Returns the owner of `upstream` among the live members of `zone`.
    pub fn owner(&mut self, members: &Members, upstream: &Rc<str>, zone: &str) -> Option<Rc<str>> {
        let zone_version = members.zone_version(zone);
        if let Some(cached) = self.owners.get(upstream) {
            if cached.zone_version == zone_version {
                return cached.vm.clone();
            }
        }
        let vm = members.owner(upstream, zone).map(|m| m.vm.clone());
        let cached = CachedOwner {
            zone_version,
            vm: vm.clone(),
        };
        self.owners.insert(upstream.clone(), cached);
        vm
    }

    /// Removes the entry of an upstream that no document names any more.
    pub fn forget(&mut self, upstream: &str) {
        self.owners.remove(upstream);
    }

    /// Returns the number of cached upstreams.
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Returns whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }
}
