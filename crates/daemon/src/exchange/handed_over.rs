//! State that a former owner keeps after handing an upstream over.

use crate::exchange::upstream::Upstream;
use foxtailhinge_wire::message::HandOver;
use std::{
    cell::Cell,
    rc::Rc, //
};

/// An upstream that was handed over, kept until the next owner has imported everything.
pub struct HandedOver {
    /// The upstream, which may still have requests in progress.
    pub up: Rc<Upstream>,
    /// ID of the claim that was answered with the state.
    pub claim: u64,
    /// The exported state, to be sent again if the first answer was lost.
    pub state: HandOver,
    /// Whether the next owner has imported everything, or never will.
    pub settled: Cell<bool>,
}

impl HandedOver {
    /// Drops the feeds and marks the hand-over as settled: the next owner has imported everything, or never will.
    pub fn settle(&self) {
        self.settled.set(true);
        drop(self.up.feeds.borrow_mut().take());
    }
}
