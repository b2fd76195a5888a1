//! Bound on the connections of operators.

use futures::channel::oneshot;
use std::{
    cell::RefCell,
    collections::VecDeque, //
};

/// Connections in the order of their admission.
pub(super) struct Connections {
    most: usize,
    open: RefCell<VecDeque<oneshot::Sender<()>>>,
}

impl Connections {
    pub(super) fn new(most: usize) -> Self {
        Self {
            most,
            open: RefCell::default(),
        }
    }

    /// Admits a connection, which must end once the returned receiver is ready.
    pub(super) fn admit(&self) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        let mut open = self.open.borrow_mut();
        open.retain(|tx| !tx.is_canceled());
        if open.len() >= self.most {
            open.pop_front();
        }
        open.push_back(tx);
        rx
    }
}
