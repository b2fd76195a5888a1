//! Assignment of flow labels to upstreams.
//!
//! A label has half the bits of an id, so two upstreams may have the same one. The older upstream keeps it, whatever
//! becomes of its entry, because its open flows carry it, and the other one gets its alternate label.

use super::{
    directory::TrackedUpstream,
    entry::UpstreamId,
    packet::Label, //
};
use std::collections::{
    hash_map::Entry,
    HashMap, //
};

/// Labels of the known upstreams. An upstream keeps its label as long as it is known.
#[derive(Clone, Debug, Default)]
pub(super) struct Labels {
    upstreams: HashMap<Label, UpstreamId>,
    labels: HashMap<UpstreamId, Label>,
}

impl Labels {
    /// The upstream with a label.
    pub(super) fn upstream(&self, label: Label) -> Option<UpstreamId> {
        self.upstreams.get(&label).copied()
    }

    /// The label of an upstream; `None` if other upstreams have both of its labels.
    pub(super) fn of(&self, id: UpstreamId) -> Option<Label> {
        self.labels.get(&id).copied()
    }

    /// Removes upstreams that are no longer known, and assigns labels to those that have none, the oldest first.
    pub(super) fn assign(&mut self, known: &HashMap<UpstreamId, TrackedUpstream>) {
        self.upstreams.retain(|_, id| known.contains_key(id));
        self.labels.retain(|id, _| known.contains_key(id));
        let ids = known.keys().copied();
        let mut new: Vec<_> = ids.filter(|id| !self.labels.contains_key(id)).collect();
        new.sort_unstable_by_key(|id| (known[id].upstream.seniority, *id));
        for id in new {
            for label in [id.label(), id.alternate_label()] {
                if let Entry::Vacant(free) = self.upstreams.entry(label) {
                    free.insert(id);
                    self.labels.insert(id, label);
                    break;
                }
            }
        }
    }
}
