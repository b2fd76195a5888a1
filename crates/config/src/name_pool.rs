//! Interning of names that many documents have in common.

use std::{
    collections::HashSet,
    sync::Arc, //
};

/// Minimum number of names at which unused ones are evicted.
const EVICTION_MIN: usize = 64;

/// Pool of interned names; names that no document uses any more are evicted as the pool grows.
#[derive(Clone, Debug, Default)]
pub struct NamePool {
    interned: HashSet<Arc<str>>,
    /// Number of names at which unused names are evicted next.
    evict_at: usize,
}

impl NamePool {
    /// Replaces `name` by the equal name in the pool, or adds it to the pool.
    pub fn intern(&mut self, name: &mut Arc<str>) {
        if let Some(interned) = self.interned.get(name) {
            *name = Arc::clone(interned);
            return;
        }
        if self.interned.len() >= self.evict_at {
            self.interned
                .retain(|interned| Arc::strong_count(interned) > 1);
            self.evict_at = EVICTION_MIN.max(self.interned.len() * 2);
        }
        self.interned.insert(Arc::clone(name));
    }

    /// Number of names in the pool.
    pub fn len(&self) -> usize {
        self.interned.len()
    }

    /// Whether the pool is empty.
    pub fn is_empty(&self) -> bool {
        self.interned.is_empty()
    }
}
