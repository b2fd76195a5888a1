//! Bound on the connections of operators.

use futures::channel::oneshot;
use std::{
    cell::RefCell,
    collections::VecDeque, //
};

/// Connections in the order of their admission.
pub struct Connections {
    most: usize,
    open: RefCell<VecDeque<oneshot::Sender<()>>>,
}

impl Connections {
    /// Starts without a connection; at most `most` are held.
    pub fn new(most: usize) -> Self {
        Self {
            most,
            open: RefCell::default(),
        }
    }

    /// Admits a connection, which must end once the returned receiver is ready.
    pub fn admit(&self) -> oneshot::Receiver<()> {
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
