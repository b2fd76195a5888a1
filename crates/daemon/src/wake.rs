//! A flag that wakes a waiting task when it is set.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    future::poll_fn,
    task::{
        Poll,
        Waker, //
    },
};

/// A flag with at most one waiting task; setting it again before the wait has no effect.
#[derive(Debug, Default)]
pub struct Wake {
    set: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Wake {
    /// Sets the flag and wakes the waiting task.
    pub fn set(&self) {
        self.set.set(true);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Waits for the flag and clears it.
    pub async fn wait(&self) {
        poll_fn(|cx| {
            if self.set.take() {
                return Poll::Ready(());
            }
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }
}
