//! Difference between two configurations, which a daemon passes on instead of the whole newer one.

use super::{
    entry::{
        Configuration,
        Route, //
    },
    version::Version,
};
use std::{
    collections::{
        HashSet,
        VecDeque, //
    },
    net::SocketAddrV4,
};

/// Largest number of configurations whose differences are kept.
const STEPS_MAX: usize = 64;

/// Largest number of route addresses that are kept, about 100 KB.
const ADDRESSES_MAX: usize = 16_384;

/// Identity of a configuration in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationId {
    /// Version of the store at which it was written.
    pub written: Version,
    /// Its own version.
    pub version: u64,
}

/// Difference of a configuration from an earlier one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigurationDelta {
    /// The earlier configuration.
    pub base: ConfigurationId,
    /// The newer configuration.
    pub id: ConfigurationId,
    /// Routes that the earlier configuration lacks, or has with other contents.
    pub changed: Vec<(SocketAddrV4, Route)>,
    /// Addresses of routes that the newer configuration lacks.
    pub removed: Vec<SocketAddrV4>,
    /// Whether the newer configuration stays in force although a restored store has lost it.
    pub awaits_write: bool,
}

impl ConfigurationDelta {
    /// Creates the newer configuration from the earlier one.
    pub fn apply(&self, base: &Configuration) -> Configuration {
        let mut cfg = base.clone();
        cfg.version = self.id.version;
        cfg.routes.extend(self.changed.iter().cloned());
        for address in &self.removed {
            cfg.routes.remove(address);
        }
        cfg
    }
}

/// Addresses of the routes in which a configuration differs from the one before it.
#[derive(Clone, Debug)]
struct Step {
    base: ConfigurationId,
    addresses: Vec<SocketAddrV4>,
}

/// Differences between successive configurations, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct ConfigurationHistory {
    steps: VecDeque<Step>,
}

impl ConfigurationHistory {
    /// Records that the configuration with the identity `id` is replaced.
    pub(super) fn record(
        &mut self,
        id: ConfigurationId,
        before: &Configuration,
        after: &Configuration,
    ) {
        let removed = before.routes.keys();
        let removed = removed.filter(|address| !after.routes.contains_key(address));
        let changed = after.routes.iter();
        let changed = changed.filter(|(address, route)| before.routes.get(address) != Some(route));
        let changed = changed.map(|(address, _)| address);
        self.steps.push_back(Step {
            base: id,
            addresses: removed.chain(changed).copied().collect(),
        });
        while self.steps.len() > STEPS_MAX || self.address_count() > ADDRESSES_MAX {
            self.steps.pop_front();
        }
    }

    /// Difference of the current configuration from the one with the identity `base`; `None` if it is not known, or not
    /// much smaller than the current configuration.
    pub(super) fn delta(
        &self,
        base: ConfigurationId,
        id: ConfigurationId,
        cfg: &Configuration,
    ) -> Option<ConfigurationDelta> {
        let first = self.steps.iter().position(|step| step.base == base)?;
        let steps = self.steps.range(first..);
        let addresses: HashSet<_> = steps.flat_map(|step| &step.addresses).copied().collect();
        if addresses.len() * 2 > cfg.routes.len() {
            return None;
        }
        let mut delta = ConfigurationDelta {
            base,
            id,
            ..ConfigurationDelta::default()
        };
        for address in addresses {
            match cfg.routes.get(&address) {
                Some(route) => delta.changed.push((address, route.clone())),
                None => delta.removed.push(address),
            }
        }
        Some(delta)
    }

    fn address_count(&self) -> usize {
        self.steps.iter().map(|step| step.addresses.len()).sum()
    }
}
