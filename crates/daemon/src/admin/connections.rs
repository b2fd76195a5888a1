//! Limit on the number of connections to the admin interface.

use futures::channel::oneshot;
use std::{
    cell::RefCell,
    collections::VecDeque, //
};

/// Open connections, oldest first.
pub struct Connections {
    max: usize,
    open: RefCell<VecDeque<oneshot::Sender<()>>>,
}

impl Connections {
    /// Creates an empty set that holds at most `max` connections.
    pub fn new(max: usize) -> Self {
        Self {
            max,
            open: RefCell::default(),
        }
    }

    /// Adds a connection and evicts the oldest if there are too many.
    ///
    /// The connection must end once the returned receiver is ready.
    pub fn admit(&self) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        let mut open = self.open.borrow_mut();
        open.retain(|tx| !tx.is_canceled());
        if open.len() >= self.max {
            open.pop_front();
        }
        open.push_back(tx);
        rx
    }
}
