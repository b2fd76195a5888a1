//! Names that many documents have in common, held once.

use std::{
    collections::HashSet,
    sync::Arc, //
};

/// Names up to which nothing is forgotten.
const KEPT_MIN: usize = 64;

/// Pool of names; those that no document has any more are forgotten as it grows.
#[derive(Clone, Debug, Default)]
pub struct NamePool {
    known: HashSet<Arc<str>>,
    /// Length at which the pool is next looked through.
    full: usize,
}

impl NamePool {
    /// Replaces `name` by the equal one that the pool holds, or adds it.
    pub fn intern(&mut self, name: &mut Arc<str>) {
        if let Some(known) = self.known.get(name) {
            *name = Arc::clone(known);
            return;
        }
        if self.known.len() >= self.full {
            self.known.retain(|known| Arc::strong_count(known) > 1);
            self.full = KEPT_MIN.max(self.known.len() * 2);
        }
        self.known.insert(Arc::clone(name));
    }

    /// Number of names held.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no name is held.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
