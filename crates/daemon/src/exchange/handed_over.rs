//! What a former owner keeps of an upstream that it gave up.

use crate::exchange::upstream::Upstream;
use foxtailhinge_wire::message::HandOver;
use std::{
    cell::Cell,
    rc::Rc, //
};

/// An upstream that was handed over, until the next owner has taken all of it up.
pub struct HandedOver {
    /// The upstream.
    pub up: Rc<Upstream>,
    /// The claim that it was given to.
    pub claim: u64,
    /// What was given, for the case that it did not arrive.
    pub state: HandOver,
    /// Set when the next owner has taken all up.
    pub settled: Cell<bool>,
}

impl HandedOver {
    /// The next owner has taken all up, or never will.
    pub fn settle(&self) {
        self.settled.set(true);
        drop(self.up.feeds.borrow_mut().take());
    }
}
