//! Slots of an upstream: who may send to it now, and who waits.

use crate::{
    exchange::upstream::{
        Slot,
        Upstream, //
    },
    timer::Timer, //
};
use foxtailhinge_policy::admission::{
    Refusal,
    Start, //
};
use local_sync::oneshot;
use std::{rc::Rc, time::Instant};

/// Why a request got no slot; it was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotError {
    /// The upstream can not take it.
    Refused(Refusal),
    /// The upstream was handed over, so the request belongs to the next owner.
    HandedOver,
}

impl Upstream {
    /// Waits for a slot until `deadline`; `feed` when the request registers for a feed.
    ///
    /// # Errors
    ///
    /// Why the request was not let through; it was not run.
    pub async fn acquire(
        self: &Rc<Self>,
        timer: &Rc<Timer>,
        deadline: Instant,
        feed: bool,
    ) -> Result<Slot, SlotError> {
        if self.is_handed_over() {
            return Err(SlotError::HandedOver);
        }
        let now = Instant::now();
        let start = self.load_mut().start(now, deadline, feed);
        match start {
            Start::Run => return Ok(Slot::new(self)),
            Start::Refuse(refusal) => return Err(SlotError::Refused(refusal)),
            Start::Wait => {}
        }
        let (tx, rx) = oneshot::channel();
        let latest = self.load().admission().latest_start(deadline);
        self.waiting.borrow_mut().push(latest, tx);
        match timer.timeout_at(latest, rx).await {
            // A slot given just before the hand-over goes back, to be used by the next owner.
            _ if self.is_handed_over() => Err(SlotError::HandedOver),
            Some(Ok(slot)) => Ok(slot),
            _ => {
                self.promote(Instant::now());
                Err(SlotError::Refused(Refusal::Deadline))
            }
        }
    }

    /// Gives free slots to the requests that wait.
    pub fn promote(self: &Rc<Self>, now: Instant) {
        let expired = self
            .load
            .borrow_mut()
            .expire(&mut self.waiting.borrow_mut(), now);
        drop(expired);
        loop {
            let next = self
                .load
                .borrow_mut()
                .promote(&mut self.waiting.borrow_mut(), now);
            match next {
                // A receiver that is gone gives the slot back by dropping it.
                Some(tx) => drop(tx.send(Slot::new(self))),
                None => return,
            }
        }
    }
}
