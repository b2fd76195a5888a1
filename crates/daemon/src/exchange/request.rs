//! Processing of one request at the owner, from acquiring a slot to sending the answer.

use crate::{
    exchange::{
        call::ExchangeError,
        feed::Feed,
        local_reply::LocalReply,
        path::DataPath,
        service::Service,
        slot::SlotError,
        token::{
            CallerToken,
            UpstreamToken, //
        },
        upstream::Upstream, //
    },
    metrics::{
        FlowEnd,
        Metrics,
        RequestOutcome, //
    },
};
use foxtailhinge_wire::{
    coap::{
        Datagram,
        Kind,
        Status, //
    },
    message::{
        Forward,
        RelayMessage, //
    },
    ticket::TICKET_LEN,
};
use std::{
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Minimum time for one attempt of an idempotent request.
const ATTEMPT_MIN: Duration = Duration::from_millis(200);

/// Delay before a request that the upstream shed is retried.
const SHED_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Observe value with which a caller registers for a feed (RFC 7641).
pub const OBSERVE_REGISTER: u32 = 0;

/// A request to be answered by an upstream.
pub struct Job {
    /// The upstream that runs the request.
    pub up: Rc<Upstream>,
    /// The service that the request was sent to.
    pub service: Rc<Service>,
    /// Number of the flow that the request belongs to.
    pub flow: u32,
    /// Hash of the upstream's name within the service.
    pub upstream_hash: u32,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Tag of the caller's address, as tickets carry it.
    pub caller_tag: u16,
    /// The request as the caller sent it.
    pub req: Datagram,
    /// Whether running it twice has the effect of running it once.
    pub idempotent: bool,
    /// When the caller stops waiting for an answer.
    pub deadline: Instant,
}

impl Job {
    /// The request with the time left until its deadline.
    fn with_time_left(&self) -> Datagram {
        let mut req = self.req.clone();
        req.set_deadline(self.deadline.saturating_duration_since(Instant::now()));
        req
    }
}

/// Result of a request.
enum Ending {
    /// The upstream answered.
    Answered(Datagram),
    /// The request was not run; the caller may retry after this time.
    NotRun(Duration),
    /// The upstream shed the request and has not answered the flow before.
    ShedAtOnce(Duration),
    /// It is unknown whether the request ran.
    Unknown,
    /// The upstream is gone and the request idempotent: another upstream should answer.
    Move,
    /// The request was not sent before the upstream was handed over: the next owner should answer.
    NextOwner,
}

/// Guard that counts a request as in progress until it is dropped, also by a panic.
struct InProgress<'a>(&'a Metrics);

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.0.requests_in_progress.dec();
    }
}

/// Guard of a request whose retransmissions wait for its answer; dropping it, for example by a panic, ends the
/// request with an unknown outcome.
struct Unfinished<'a> {
    path: &'a Rc<DataPath>,
    job: &'a Job,
    idempotent: bool,
    ending: Option<Ending>,
}

impl Unfinished<'_> {
    fn finish(mut self, ending: Ending) {
        self.ending = Some(ending);
    }
}

impl Drop for Unfinished<'_> {
    fn drop(&mut self) {
        let ending = self.ending.take().unwrap_or(Ending::Unknown);
        if self.idempotent {
            let key = CallerToken::of(self.job.caller, &self.job.req);
            self.job.up.in_progress.borrow_mut().remove(&key);
            self.path.answer(self.job, ending);
        } else {
            self.path.answer_once(self.job, ending);
        }
    }
}

impl DataPath {
    /// Spawns a task that serves `job`.
    pub fn spawn_job(self: &Rc<Self>, job: Job) {
        let path = Rc::clone(self);
        self.metrics.requests_in_progress.inc();
        self.spawn("request", async move {
            let _counted = InProgress(&path.metrics);
            path.serve(&job).await;
        });
    }

    /// Serves `job` until it is answered, moved or forwarded.
    pub async fn serve(self: &Rc<Self>, job: &Job) {
        let idempotent = job.idempotent;
        let token = self.upstream_token(job, idempotent);
        let unfinished = Unfinished {
            path: self,
            job,
            idempotent,
            ending: None,
        };
        let ending = self.attempt(job, token, idempotent).await;
        self.settle_feed(job, token, &ending);
        let is_forwarded = matches!(ending, Ending::NextOwner);
        unfinished.finish(ending);
        if job.req.is_release() && !is_forwarded {
            self.release(job);
        }
    }

    /// Sends the request, with retries, until it is answered or refused or its caller stops waiting.
    async fn attempt(&self, job: &Job, mut token: UpstreamToken, idempotent: bool) -> Ending {
        job.service.budget.borrow_mut().on_request(Instant::now());
        let feed = job.req.observe() == Some(OBSERVE_REGISTER);
        // An unanswered attempt may have run, whatever the result of the next one is.
        let mut unanswered = false;
        let mut sent = false;
        loop {
            let slot = job.up.acquire(&self.timer, job.deadline, feed).await;
            let left = job.deadline.saturating_duration_since(Instant::now());
            let slot = match slot {
                Ok(slot) if !left.is_zero() && !self.is_zone_out(job) => slot,
                Err(SlotError::HandedOver) if idempotent || !sent => return Ending::NextOwner,
                _ => return self.ending_without_answer(job, unanswered),
            };
            let timeout = attempt_timeout(left, idempotent);
            self.record_sent(job);
            sent = true;
            let req = self.upstream_request(job, token, left);
            let exchange = job.up.exchange(&self.timer, slot, token, &req, timeout);
            match exchange.await {
                Ok(rsp) if rsp.status() == Some(Status::ServiceUnavailable) => {
                    if unanswered || !self.may_retry(job, SHED_RETRY_DELAY) {
                        return self.ending_without_answer(job, unanswered);
                    }
                    if !self.was_answered(job) {
                        return Ending::ShedAtOnce(job.up.load_mut().retry_after(Instant::now()));
                    }
                    self.timer.sleep(SHED_RETRY_DELAY).await;
                }
                Ok(rsp) => return Ending::Answered(rsp),
                Err(_) if !idempotent => return Ending::Unknown,
                Err(ExchangeError::Refused) => return Ending::Move,
                Err(ExchangeError::TimedOut) => {
                    if !self.may_retry(job, Duration::ZERO) {
                        return Ending::Unknown;
                    }
                    unanswered = true;
                    // With a new token, a late answer frees the slot of its own attempt; a feed keeps its token.
                    if !feed {
                        token = job.up.next_token();
                    }
                }
            }
        }
    }

    /// Records in the flow's ledger that the request may run from now on.
    fn record_sent(&self, job: &Job) {
        if let Some(flow) = job.up.flows.borrow_mut().get_mut(job.flow) {
            flow.ledger.mark_sent(job.req.token());
        }
    }

    /// The result of a request that gets no further attempt.
    fn ending_without_answer(&self, job: &Job, unanswered: bool) -> Ending {
        if unanswered {
            return Ending::Unknown;
        }
        Ending::NotRun(job.up.load_mut().retry_after(Instant::now()))
    }

    /// Whether the upstream's zone went out of service while the request waited.
    fn is_zone_out(&self, job: &Job) -> bool {
        let service = self.service(job.service.hash);
        service.is_some_and(|service| !service.zone_in_service(job.up.zone()))
    }

    /// Whether the service's retry budget and the request's deadline allow another attempt after `pause`.
    fn may_retry(&self, job: &Job, pause: Duration) -> bool {
        let now = Instant::now();
        if now + pause + ATTEMPT_MIN > job.deadline {
            return false;
        }
        let allowed = job.service.budget.borrow_mut().try_retry(now);
        if allowed {
            self.metrics.retries.inc();
        }
        allowed
    }

    /// Whether the upstream has answered the flow before.
    fn was_answered(&self, job: &Job) -> bool {
        let mut flows = job.up.flows.borrow_mut();
        flows.get_mut(job.flow).is_some_and(|flow| flow.answered)
    }

    /// Builds the request that is sent to the upstream.
    fn upstream_request(&self, job: &Job, token: UpstreamToken, left: Duration) -> Datagram {
        let mut req = job.req.without_echo(&token.bytes());
        req.set_kind(Kind::Non);
        req.set_message_id(job.up.next_message_id());
        req.set_deadline(left);
        req
    }

    /// The upstream token of the request; a registration keeps the token of its feed.
    fn upstream_token(&self, job: &Job, idempotent: bool) -> UpstreamToken {
        let observe = job.req.observe().filter(|_| idempotent);
        let caller = CallerToken::of(job.caller, &job.req);
        let Some(observe) = observe else {
            return job.up.next_token();
        };
        let existing = job.up.feeds.borrow().token(&caller);
        let token = existing.unwrap_or_else(|| job.up.next_token());
        let mut feeds = job.up.feeds.borrow_mut();
        if observe != OBSERVE_REGISTER {
            feeds.remove(token);
        } else if existing.is_none() {
            let now = Instant::now();
            let feed = Feed::new(
                caller,
                job.service.hash,
                job.upstream_hash,
                job.flow,
                job.req.clone(),
                now,
            );
            feeds.insert(token, feed);
        }
        token
    }

    /// Keeps the feed if the upstream accepted the registration, and removes it otherwise.
    fn settle_feed(&self, job: &Job, token: UpstreamToken, ending: &Ending) {
        if job.req.observe() != Some(OBSERVE_REGISTER) {
            return;
        }
        let mut feeds = job.up.feeds.borrow_mut();
        match ending {
            Ending::Answered(rsp) if rsp.observe().is_some() => {
                if let Some(feed) = feeds.get_mut(token) {
                    feed.renew(rsp.max_age(), Instant::now());
                }
            }
            // An unanswered registration leaves an earlier one of the same feed in place.
            Ending::Unknown | Ending::NotRun(_) | Ending::NextOwner => {}
            Ending::Answered(_) | Ending::Move | Ending::ShedAtOnce(_) => {
                feeds.remove(token);
            }
        }
    }

    /// Answers an idempotent request.
    fn answer(self: &Rc<Self>, job: &Job, ending: Ending) {
        let rsp = match ending {
            Ending::Answered(rsp) => self.forwarded_answer(job, rsp),
            Ending::NotRun(after) => self.local_answer(job, LocalReply::NotRun(after)),
            Ending::Unknown => {
                let ticket = self.next_ticket(job, false);
                self.local_answer(job, LocalReply::Unknown(ticket))
            }
            Ending::Move => {
                self.reopen(job);
                return;
            }
            Ending::ShedAtOnce(_) => {
                self.drop_flow(job);
                self.reopen(job);
                return;
            }
            Ending::NextOwner => {
                self.forward_to_next_owner(job);
                return;
            }
        };
        job.service.socket.send_to(&rsp.to_bytes(), job.caller);
    }

    /// Answers a request that must not run twice, and stores the answer for retransmissions.
    fn answer_once(self: &Rc<Self>, job: &Job, ending: Ending) {
        let token = job.req.token();
        if let Ending::ShedAtOnce(_) = ending {
            if let Some(flow) = job.up.flows.borrow_mut().get_mut(job.flow) {
                flow.ledger.mark_moved(token);
            }
            self.reopen(job);
            return;
        }
        let (rsp, ran) = match ending {
            Ending::NextOwner => {
                self.forward_to_next_owner(job);
                return;
            }
            Ending::Answered(rsp) => (self.forwarded_answer(job, rsp), true),
            Ending::NotRun(after) | Ending::ShedAtOnce(after) => {
                (self.local_answer(job, LocalReply::NotRun(after)), false)
            }
            Ending::Unknown | Ending::Move => {
                let ticket = self.next_ticket(job, true);
                (self.local_answer(job, LocalReply::Unknown(ticket)), true)
            }
        };
        let bytes = rsp.to_bytes();
        if job.up.is_handed_over() && ran {
            job.up.record_finished(job.flow, token, &bytes);
        }
        if let Some(flow) = job.up.flows.borrow_mut().get_mut(job.flow) {
            if ran {
                flow.ledger
                    .finish(token, Rc::from(&bytes[..]), Instant::now());
            } else {
                flow.ledger.mark_not_run(token);
            }
        }
        job.service.socket.send_to(&bytes, job.caller);
    }

    /// Builds the caller's answer from the answer of the upstream.
    fn forwarded_answer(&self, job: &Job, mut rsp: Datagram) -> Datagram {
        self.metrics.requests.inc(RequestOutcome::Answered);
        if let Some(flow) = job.up.flows.borrow_mut().get_mut(job.flow) {
            flow.answered = true;
        }
        let once = !job.idempotent;
        rsp.clear_upstream_incarnation();
        rsp.set_token(job.req.token());
        rsp.set_reply_header(&job.req, job.service.ids.next());
        match self.next_ticket(job, once) {
            Some(ticket) => rsp.set_echo(&ticket),
            None => rsp.remove_echo(),
        }
        rsp
    }

    fn local_answer(&self, job: &Job, reply: LocalReply) -> Datagram {
        let outcome = match reply {
            LocalReply::NotRun(_) => RequestOutcome::NotRun,
            _ => RequestOutcome::Unknown,
        };
        self.metrics.requests.inc(outcome);
        reply.answer(&job.req, &job.service.ids)
    }

    /// The flow's next ticket; `None` if the flow is no longer held here.
    fn next_ticket(&self, job: &Job, once: bool) -> Option<[u8; TICKET_LEN]> {
        let mut flows = job.up.flows.borrow_mut();
        let key = flows.key(job.flow);
        let flow = flows.get_mut(job.flow)?;
        if flow.retired {
            return None;
        }
        let epoch = if once {
            flow.ledger.answer_epoch()
        } else {
            flow.ledger.epoch()
        };
        Some(self.ticket(
            &job.service,
            &job.up,
            job.upstream_hash,
            key,
            job.caller_tag,
            epoch,
        ))
    }

    /// Ends a flow that its caller has released.
    fn release(&self, job: &Job) {
        if self.drop_flow(job) {
            self.metrics.flows_ended.inc(FlowEnd::Released);
        }
    }

    /// Ends a flow; false if it had ended before.
    fn drop_flow(&self, job: &Job) -> bool {
        let ended = job.up.flows.borrow_mut().remove(job.flow);
        let held = ended.is_some_and(|flow| !flow.retired);
        if held {
            job.up.load_mut().disconnect();
        }
        held
    }

    /// Forwards a request that was not sent yet to the next owner of its upstream.
    fn forward_to_next_owner(self: &Rc<Self>, job: &Job) {
        let owner = self.owner(job.up.key(), job.up.zone());
        let ticket = self.next_ticket(job, false);
        let (Some(owner), Some(ticket)) = (owner, ticket) else {
            let after = job.up.load_mut().retry_after(Instant::now());
            let rsp = self.local_answer(job, LocalReply::NotRun(after));
            job.service.socket.send_to(&rsp.to_bytes(), job.caller);
            return;
        };
        let mut req = job.with_time_left();
        req.set_echo(&ticket);
        let forward = Forward {
            caller: job.caller,
            service: job.service.hash,
            bounces: 0,
            datagram: req.to_bytes(),
        };
        self.deliver(&owner, RelayMessage::Forward(forward));
    }

    /// Opens a new flow for a request whose upstream is gone or did not run it.
    fn reopen(self: &Rc<Self>, job: &Job) {
        let key = CallerToken::of(job.caller, &job.req);
        job.up.begin_move(key, Instant::now());
        self.reopen_flow(&job.service, job.caller, &job.with_time_left());
    }
}

/// Timeout of one attempt if the caller waits for `left`; an idempotent request leaves time for another attempt.
fn attempt_timeout(left: Duration, idempotent: bool) -> Duration {
    if idempotent {
        (left / 2).max(ATTEMPT_MIN).min(left)
    } else {
        left
    }
}
