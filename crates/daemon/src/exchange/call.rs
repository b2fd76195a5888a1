//! Exchanges with an upstream: sends requests and matches answers to them.

use crate::{
    exchange::{
        load::Outcome,
        token::UpstreamToken,
        upstream::{
            Pending,
            Slot,
            Upstream, //
        },
    },
    timer::Timer,
};
use foxtailhinge_wire::coap::{
    Datagram,
    Method,
    Status, //
};
use local_sync::oneshot;
use smallvec::{
    smallvec,
    SmallVec, //
};
use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Path of an upstream's health endpoint.
const HEALTH_PATH: &str = "/health";

/// Reason why a request to the upstream got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeError {
    /// No answer arrived before the timeout.
    TimedOut,
    /// The upstream's host rejected the datagram, or the upstream restarted.
    Refused,
}

/// Result of processing a datagram from the upstream.
#[derive(Debug)]
pub enum UpstreamEvent {
    /// A notification of a held feed.
    Notification(UpstreamToken, Datagram),
    /// An answer that no request waits for any more, or an outdated notification.
    Late,
    /// A notification of a feed that is not held, with its message ID.
    UnknownFeed(u16),
    /// The datagram needs no further processing.
    Handled,
}

impl Upstream {
    /// Sends a request and waits for its answer. After a timeout the slot stays in use for as long as the upstream
    /// may still run the request.
    ///
    /// # Errors
    ///
    /// Fails when no answer arrives; unless the request is idempotent, its outcome is then unknown.
    pub async fn exchange(
        &self,
        timer: &Rc<Timer>,
        slot: Slot,
        token: UpstreamToken,
        req: &Datagram,
        timeout: Duration,
    ) -> Result<Datagram, ExchangeError> {
        let answer = self.send(Some(slot), token, req);
        self.wait(timer, answer, token, timeout).await
    }

    /// Queries the upstream's health endpoint, without using a slot.
    ///
    /// # Errors
    ///
    /// Fails when no answer arrives.
    pub async fn probe(
        &self,
        timer: &Rc<Timer>,
        timeout: Duration,
    ) -> Result<Datagram, ExchangeError> {
        let token = self.next_token();
        let req = Datagram::request(Method::Get, HEALTH_PATH)
            .with_token(&token.bytes())
            .with_message_id(self.next_message_id());
        let answer = self.send(None, token, &req);
        let res = self.wait(timer, answer, token, timeout).await;
        self.pending.borrow_mut().remove(&token);
        res
    }

    fn send(
        &self,
        slot: Option<Slot>,
        token: UpstreamToken,
        req: &Datagram,
    ) -> oneshot::Receiver<Datagram> {
        let (tx, rx) = oneshot::channel();
        let mut pending = Pending {
            waiters: smallvec![tx],
            slot,
            sent: Instant::now(),
        };
        let mut all = self.pending.borrow_mut();
        if let Some(mut previous) = all.remove(&token) {
            // The answer is for both, but the upstream may still run the earlier attempt.
            pending.waiters.append(&mut previous.waiters);
            self.replaced.borrow_mut().push(previous);
        }
        all.insert(token, pending);
        drop(all);
        // A refusal reported here belongs to an earlier datagram; the task that reads the socket sees it as well.
        let _ = self.socket.send(&req.to_bytes());
        rx
    }

    async fn wait(
        &self,
        timer: &Rc<Timer>,
        answer: oneshot::Receiver<Datagram>,
        token: UpstreamToken,
        timeout: Duration,
    ) -> Result<Datagram, ExchangeError> {
        let deadline = Instant::now() + timeout;
        match timer.timeout_at(deadline, answer).await {
            Some(Ok(rsp)) => Ok(rsp),
            Some(Err(_)) => Err(ExchangeError::Refused),
            None => {
                self.abandon(token, timeout);
                Err(ExchangeError::TimedOut)
            }
        }
    }

    fn abandon(&self, token: UpstreamToken, waited: Duration) {
        if let Some(pending) = self.pending.borrow_mut().get_mut(&token) {
            pending.waiters.retain(|waiter| !waiter.is_closed());
        }
        let mut load = self.load_mut();
        if load.is_overdue(waited) {
            load.record_outcome(Outcome::TimedOut, Instant::now());
        }
    }

    /// Matches a datagram from the upstream to its request or feed.
    pub fn on_datagram(&self, mut rsp: Datagram) -> UpstreamEvent {
        let Some(token) = UpstreamToken::read(rsp.token()) else {
            return UpstreamEvent::Handled;
        };
        let pending = self.pending.borrow_mut().remove(&token);
        if let Some(pending) = pending {
            if let Some(feed) = self.feeds.borrow_mut().get_mut(token) {
                feed.assign_answer_observe(&mut rsp);
            }
            return self.on_answer(pending, rsp);
        }
        if let Some(feed) = self.feeds.borrow_mut().get_mut(token) {
            return if feed.assign_observe(&mut rsp) {
                UpstreamEvent::Notification(token, rsp)
            } else {
                UpstreamEvent::Late
            };
        }
        match rsp.observe() {
            Some(_) => UpstreamEvent::UnknownFeed(rsp.message_id()),
            None => UpstreamEvent::Late,
        }
    }

    fn on_answer(&self, pending: Pending, rsp: Datagram) -> UpstreamEvent {
        let Pending {
            waiters,
            slot,
            sent,
        } = pending;
        if let Some(slot) = slot {
            self.record_answer(&slot, sent, &rsp);
            drop(slot);
        }
        if waiters.is_empty() {
            return UpstreamEvent::Late;
        }
        for waiter in waiters {
            // A waiter that has just given up needs no answer.
            let _ = waiter.send(rsp.clone());
        }
        UpstreamEvent::Handled
    }

    fn record_answer(&self, slot: &Slot, sent: Instant, rsp: &Datagram) {
        let now = Instant::now();
        let latency = now.saturating_duration_since(sent);
        let outcome = if rsp.status() == Some(Status::ServiceUnavailable) {
            Outcome::Shed
        } else {
            slot.service_time.set(Some(latency));
            Outcome::Answered(latency)
        };
        self.last_answer.set(now);
        self.load_mut().record_outcome(outcome, now);
    }

    /// Records that nothing listens on the upstream's port, and fails all pending requests.
    pub fn on_refused(&self) {
        self.load_mut()
            .record_outcome(Outcome::Refused, Instant::now());
        self.fail_pending(|_| true);
        drop(self.replaced.take());
    }

    /// Fails the exchanges that are lost, as if the upstream had refused them.
    pub(super) fn fail_pending(&self, is_lost: impl Fn(&Pending) -> bool) {
        let mut pending = self.pending.borrow_mut();
        let lost = pending.extract_if(|_, one| is_lost(one));
        let lost: Vec<_> = lost.collect();
        drop(pending);
        drop(lost);
    }

    /// Frees the slots of abandoned requests that the upstream can no longer be running.
    pub(super) fn expire_abandoned(&self, now: Instant) {
        let abandoned: SmallVec<[UpstreamToken; 4]> = self
            .pending
            .borrow()
            .iter()
            .filter(|(_, pending)| pending.waiters.is_empty() && pending.is_expired(now))
            .map(|(token, _)| *token)
            .collect();
        for token in abandoned {
            let pending = self.pending.borrow_mut().remove(&token);
            drop(pending);
        }
        let mut replaced = self.replaced.borrow_mut();
        let expired: Vec<Pending> = replaced.extract_if(.., |one| one.is_expired(now)).collect();
        drop(replaced);
        drop(expired);
    }
}
