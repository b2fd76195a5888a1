//! Datagrams from upstreams: answers, notifications of feeds, and the end of feeds.

use crate::{
    exchange::{
        call::UpstreamEvent,
        feed::Feed,
        ingress::IncomingRequest,
        local_reply::LocalReply,
        path::DataPath,
        request::Job,
        service::{
            SentNotification,
            Service, //
        },
        token::UpstreamToken,
        upstream::Upstream, //
    },
    metrics::RequestOutcome, //
};
use foxtailhinge_wire::{
    coap::{
        Datagram,
        Kind,
        Status, //
    },
    ticket::caller_tag, //
};
use futures::{
    stream,
    StreamExt, //
};
use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Time limit for registering a feed again.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of feeds of one upstream that are registered again at a time: fewer than the slots of the users'
/// upstreams.
const REGISTRATIONS_MAX: usize = 3;

impl DataPath {
    /// Reads the socket of an upstream until it fails.
    pub async fn read_upstream(self: Rc<Self>, up: Rc<Upstream>) -> io::Result<()> {
        let handle = |buf: &[u8], _| self.on_upstream_datagram(&up, buf);
        let refused = || self.on_upstream_refused(&up);
        up.socket().read_each(handle, refused).await
    }

    fn on_upstream_datagram(self: &Rc<Self>, up: &Rc<Upstream>, buf: &[u8]) {
        let Ok(rsp) = Datagram::parse(buf) else {
            return;
        };
        if rsp.kind() == Kind::Con && self.may_send_to(up) {
            let ack = Datagram::reset(rsp.message_id()).with_kind(Kind::Ack);
            let _ = up.socket().send(&ack.to_bytes());
        }
        let restarted = up.update_incarnation(&rsp);
        match up.on_datagram(rsp) {
            UpstreamEvent::Notification(token, rsp) => self.on_notification(up, token, rsp),
            UpstreamEvent::Late => self.metrics.late_answers.inc(),
            UpstreamEvent::UnknownFeed(message_id) => {
                self.metrics.late_answers.inc();
                self.reset_unknown_feed(up, message_id);
            }
            UpstreamEvent::Handled => {}
        }
        if restarted {
            up.restart();
            self.reregister_feeds(up);
        }
    }

    /// Ends a feed that is not held here by sending a reset to the upstream, unless its zone may get no packets.
    fn reset_unknown_feed(&self, up: &Upstream, message_id: u16) {
        if self.may_send_to(up) {
            let reset = Datagram::reset(message_id);
            let _ = up.socket().send(&reset.to_bytes());
        }
    }

    fn on_upstream_refused(self: &Rc<Self>, up: &Rc<Upstream>) {
        up.on_refused();
    }

    /// Registers all feeds of a restarted upstream again.
    fn reregister_feeds(self: &Rc<Self>, up: &Rc<Upstream>) {
        let tokens = up.feeds.borrow().tokens_where(|_| true);
        let path = Rc::clone(self);
        let up = Rc::clone(up);
        self.spawn("register_again", async move {
            path.register_feeds(&up, tokens).await;
        });
    }

    /// Registers feeds at their upstream again, only some at a time, so that a lost datagram delays few of them.
    pub async fn register_feeds(self: &Rc<Self>, up: &Rc<Upstream>, tokens: Vec<UpstreamToken>) {
        let register = |token| async move {
            if let Some(job) = self.registration(up, token) {
                self.serve(&job).await;
            }
        };
        stream::iter(tokens)
            .for_each_concurrent(REGISTRATIONS_MAX, register)
            .await;
    }

    /// Builds the request that registers a feed at its upstream.
    pub fn registration(&self, up: &Rc<Upstream>, token: UpstreamToken) -> Option<Job> {
        let mut feeds = up.feeds.borrow_mut();
        let feed = feeds.get_mut(token)?;
        feed.reset();
        let service = self.service(feed.service)?;
        Some(Job {
            up: Rc::clone(up),
            idempotent: service.is_idempotent(&feed.request),
            service,
            flow: feed.flow,
            upstream_hash: feed.upstream_hash,
            caller: feed.caller.caller,
            caller_tag: caller_tag(feed.caller.caller),
            req: as_non_confirmable(&feed.request),
            deadline: Instant::now() + REGISTER_TIMEOUT,
        })
    }

    /// Forwards a notification to the caller of its feed.
    fn on_notification(&self, up: &Rc<Upstream>, token: UpstreamToken, mut rsp: Datagram) {
        let ended = !is_success(&rsp);
        let (caller, request, service, ticket) = {
            let feeds = up.feeds.borrow();
            let Some(feed) = feeds.get(token) else {
                return;
            };
            let Some(service) = self.service(feed.service) else {
                return;
            };
            let ticket = self.feed_ticket(up, feed, &service);
            (feed.caller.clone(), feed.request.clone(), service, ticket)
        };
        rsp.clear_upstream_incarnation();
        rsp.set_token(request.token());
        rsp.set_kind(Kind::Non);
        rsp.set_message_id(service.next_notification(SentNotification {
            caller: caller.caller,
            upstream: up.addr(),
            token,
        }));
        match ticket {
            Some(ticket) => rsp.set_echo(&ticket),
            None => rsp.remove_echo(),
        }
        service.socket.send_to(&rsp.to_bytes(), caller.caller);
        if ended {
            up.feeds.borrow_mut().remove(token);
        }
    }

    fn feed_ticket(&self, up: &Upstream, feed: &Feed, service: &Service) -> Option<[u8; 40]> {
        let mut flows = up.flows.borrow_mut();
        let key = flows.key(feed.flow);
        let flow = flows.get_mut(feed.flow)?;
        let epoch = flow.ledger.epoch();
        let caller = feed.caller.caller;
        Some(self.ticket(
            service,
            up,
            feed.upstream_hash,
            key,
            caller_tag(caller),
            epoch,
        ))
    }

    /// Ends the feeds of a service and notifies their callers that the flows have ended.
    pub fn end_feeds(&self, up: &Rc<Upstream>, service: &Service) {
        let tokens = up
            .feeds
            .borrow()
            .tokens_where(|feed| feed.service == service.hash);
        for token in tokens {
            let Some(feed) = up.feeds.borrow_mut().remove(token) else {
                continue;
            };
            let mut rsp =
                LocalReply::FlowRetired.answer(&as_non_confirmable(&feed.request), &service.ids);
            rsp.set_kind(Kind::Non);
            let caller = feed.caller.caller;
            service.socket.send_to(&rsp.to_bytes(), caller);
        }
    }

    /// Moves at most `max` feeds to other upstreams; the callers see no interruption.
    pub fn move_feeds(self: &Rc<Self>, up: &Rc<Upstream>, service: &Rc<Service>, max: usize) {
        let mut tokens = up
            .feeds
            .borrow()
            .tokens_where(|feed| feed.service == service.hash);
        tokens.truncate(max);
        for token in tokens {
            let Some(feed) = up.feeds.borrow_mut().remove(token) else {
                continue;
            };
            up.begin_move(feed.caller.clone(), Instant::now());
            let req = as_non_confirmable(&feed.request);
            self.reopen_flow(service, feed.caller.caller, &req);
        }
    }

    /// Opens a new flow for `req` from a caller whose address is confirmed.
    pub fn reopen_flow(self: &Rc<Self>, service: &Rc<Service>, caller: SocketAddr, req: &Datagram) {
        let mut req = req.clone();
        req.remove_echo();
        let buf = req.to_bytes();
        let incoming = IncomingRequest {
            service,
            caller,
            req: &req,
            buf: &buf,
            bounces: 0,
        };
        self.open(&incoming, true);
    }

    /// Ends the feed whose notification a caller rejects with a reset, if the notification was sent from here.
    ///
    /// On another daemon the reset has no effect; the next notification is rejected again, and that reset may reach
    /// the owner.
    pub fn on_caller_reset(&self, service: &Service, caller: SocketAddr, message_id: u16) {
        let Some(sent) = service.sent_notification(caller, message_id) else {
            return;
        };
        if let Some(up) = self.held_upstream(sent.upstream) {
            up.feeds.borrow_mut().remove(sent.token);
            self.metrics.requests.inc(RequestOutcome::Cancelled);
        }
    }
}

/// The registration as a non-confirmable request, whose answer is sent like a notification.
pub fn as_non_confirmable(request: &Datagram) -> Datagram {
    request.clone().with_kind(Kind::Non)
}

fn is_success(rsp: &Datagram) -> bool {
    matches!(
        rsp.status(),
        Some(Status::Content | Status::Valid | Status::Changed | Status::Created | Status::Deleted)
    )
}
