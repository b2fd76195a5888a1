//! Slots of an upstream: which requests may run now, and which wait.

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

/// Reason why a request got no slot; it was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotError {
    /// The upstream cannot accept the request.
    Refused(Refusal),
    /// The upstream was handed over, so the request belongs to the next owner.
    HandedOver,
}

impl Upstream {
    /// Waits for a slot until `deadline`; `feed` is set if the request registers for a feed.
    ///
    /// # Errors
    ///
    /// The reason why the request got no slot; it was not run.
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
            // A slot granted just before the hand-over is released, so that the next owner can use it.
            _ if self.is_handed_over() => Err(SlotError::HandedOver),
            Some(Ok(slot)) => Ok(slot),
            _ => {
                self.promote(Instant::now());
                Err(SlotError::Refused(Refusal::Deadline))
            }
        }
    }

    /// Grants free slots to waiting requests.
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
                // If the receiver is gone, dropping the slot releases it.
                Some(tx) => drop(tx.send(Slot::new(self))),
                None => return,
            }
        }
    }
}
