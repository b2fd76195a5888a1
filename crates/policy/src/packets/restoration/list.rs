//! A list that begins an era, and what may come from the copy in it.

use crate::packets::{
    directory::Origin,
    entry::{
        Change,
        Item,
        UpstreamId,
        UpstreamState, //
    },
    version::Version,
};
use std::collections::HashMap;

/// Beginning of an era, as a list shows it.
#[derive(Clone, Copy, Debug)]
pub(in crate::packets) struct NewEra {
    /// Version of the list.
    pub(in crate::packets) version: Version,
    /// First known version of the era.
    pub(in crate::packets) start: Version,
    /// Where the list comes from.
    pub(in crate::packets) origin: Origin,
    /// Version that the daemon that passes the list on had before the era.
    pub(in crate::packets) before: Version,
}

impl NewEra {
    /// The beginning of an era in a list of the store.
    pub(in crate::packets) fn of_store(version: Version) -> Self {
        Self {
            version,
            start: version,
            origin: Origin::Store,
            before: Version::default(),
        }
    }

    /// Whether another daemon passes the list on that knew at least as much of the former era: it has kept what is newer
    /// than the copy, and says so.
    pub(super) fn is_passed_on_by_one_ahead_of(self, version: Version) -> bool {
        self.before.era == version.era && self.before >= version
    }
}

/// State of an upstream in a list.
#[derive(Clone, Copy, Debug)]
pub(super) enum ListedState {
    /// Serving, possibly by the copy alone.
    Serving,
    /// Draining, possibly by the copy alone.
    Draining,
    /// Written since the restoration.
    Written,
    /// Removed; a reader passes this on for an upstream that may return.
    Removed,
}

/// Entries of a list with their revisions.
pub(super) struct Listed<'i> {
    pub(super) upstreams: HashMap<UpstreamId, (u64, ListedState)>,
    /// Versions of the entries of zones, and whether they are out of service; a reader also passes on those that returned.
    pub(super) zones: HashMap<&'i str, (Version, bool)>,
    /// Version of the configuration.
    pub(super) configuration: Option<u64>,
}

impl<'i> Listed<'i> {
    /// Collects the entries of a list; those up to `start` may come from the copy.
    pub(super) fn new(start: Version, items: &'i [Item]) -> Self {
        let mut listed = Self {
            upstreams: HashMap::new(),
            zones: HashMap::new(),
            configuration: None,
        };
        for item in items {
            let at = item.version.revision;
            match &item.change {
                Change::Listed(id, upstream) => {
                    let state = match upstream.state {
                        _ if item.version > start => ListedState::Written,
                        UpstreamState::Serving => ListedState::Serving,
                        UpstreamState::Draining => ListedState::Draining,
                    };
                    listed.upstreams.insert(*id, (at, state));
                }
                Change::Unlisted(id, _) => {
                    listed.upstreams.insert(*id, (at, ListedState::Removed));
                }
                Change::Zone { zone, out } => {
                    listed.zones.insert(zone, (item.version, *out));
                }
                Change::Configured(cfg) => {
                    listed.configuration = Some(cfg.version);
                }
                Change::Unusable(_) | Change::Foreign => (),
            }
        }
        listed
    }
}
