//! Events of a simulation, in the order of their times.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::Instant, //
};

/// Events that are still to happen; those of the same time happen in the order in which they were added.
pub(crate) struct Agenda<E> {
    entries: BinaryHeap<Reverse<Entry<E>>>,
    added: u64,
}

impl<E> Agenda<E> {
    pub(crate) fn new() -> Self {
        Self {
            entries: BinaryHeap::new(),
            added: 0,
        }
    }

    /// Adds an event.
    pub(crate) fn push(&mut self, at: Instant, event: E) {
        self.added += 1;
        self.entries.push(Reverse(Entry {
            at,
            order: self.added,
            event,
        }));
    }

    /// Removes the next event and returns it with its time.
    pub(crate) fn pop(&mut self) -> Option<(Instant, E)> {
        let Reverse(entry) = self.entries.pop()?;
        Some((entry.at, entry.event))
    }
}

struct Entry<E> {
    at: Instant,
    order: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}
impl<E> Eq for Entry<E> {}
impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}
