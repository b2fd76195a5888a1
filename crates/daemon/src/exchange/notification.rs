//! Datagrams of upstreams: answers, notifications of feeds, and the end of feeds.

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

/// Time within which a feed should be taken up again.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(5);

/// Feeds of one upstream that are registered again at a time: fewer than the slots of the users' upstreams.
const REGISTRATIONS: usize = 3;

impl DataPath {
    /// Reads the socket of an upstream until it fails.
    pub async fn read_upstream(self: Rc<Self>, up: Rc<Upstream>) -> io::Result<()> {
        let handle = |buf: &[u8], _| self.on_upstream(&up, buf);
        let refused = || self.on_upstream_refused(&up);
        up.socket().read_each(handle, refused).await
    }

    fn on_upstream(self: &Rc<Self>, up: &Rc<Upstream>, buf: &[u8]) {
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
                self.refuse_stray(up, message_id);
            }
            UpstreamEvent::Handled => {}
        }
        if restarted {
            up.restart();
            self.register_again(up);
        }
    }

    /// Ends a feed at the upstream that is not held here, unless its zone may get no packets.
    fn refuse_stray(&self, up: &Upstream, message_id: u16) {
        if self.may_send_to(up) {
            let reset = Datagram::reset(message_id);
            let _ = up.socket().send(&reset.to_bytes());
        }
    }

    fn on_upstream_refused(self: &Rc<Self>, up: &Rc<Upstream>) {
        up.on_refused();
    }

    /// Registers all feeds of a restarted upstream again.
    fn register_again(self: &Rc<Self>, up: &Rc<Upstream>) {
        let tokens = up.feeds.borrow().tokens_where(|_| true);
        let path = Rc::clone(self);
        let up = Rc::clone(up);
        self.spawn("register_again", async move {
            path.register_feeds(&up, tokens).await;
        });
    }

    /// Registers feeds at their upstream again, some at a time, so that a lost datagram delays few of them.
    pub async fn register_feeds(self: &Rc<Self>, up: &Rc<Upstream>, tokens: Vec<UpstreamToken>) {
        let register = |token| async move {
            if let Some(job) = self.registration(up, token) {
                self.serve(&job).await;
            }
        };
        stream::iter(tokens)
            .for_each_concurrent(REGISTRATIONS, register)
            .await;
    }

    /// The registration of a feed as a request to its upstream.
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

    /// Passes a notification on to the caller of its feed.
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

    /// Tells the callers of a service's feeds that their flows are given up.
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

    /// Moves feeds to other upstreams, at most `max` of them; their callers go on without a break.
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

    /// Begins a new flow for `req` of a caller whose address is confirmed.
    pub fn reopen_flow(self: &Rc<Self>, service: &Rc<Service>, caller: SocketAddr, req: &Datagram) {
        let mut req = req.clone();
        req.remove_echo();
        let buf = req.to_bytes();
        let arrived = IncomingRequest {
            service,
            caller,
            req: &req,
            buf: &buf,
            bounces: 0,
        };
        self.open(&arrived, true);
    }

    /// A caller's reset ends the feed whose notification it refuses, if that was sent from here.
    ///
    /// Elsewhere it means nothing; the next notification is refused again and may find its owner.
    pub fn on_caller_reset(&self, service: &Service, caller: SocketAddr, message_id: u16) {
        let Some(notified) = service.sent_notification(caller, message_id) else {
            return;
        };
        if let Some(up) = self.held_upstream(notified.upstream) {
            up.feeds.borrow_mut().remove(notified.token);
            self.metrics.requests.inc(RequestOutcome::Cancelled);
        }
    }
}

/// The registration as a request whose answer is sent like a notification.
pub fn as_non_confirmable(request: &Datagram) -> Datagram {
    request.clone().with_kind(Kind::Non)
}

fn is_success(rsp: &Datagram) -> bool {
    matches!(
        rsp.status(),
        Some(Status::Content | Status::Valid | Status::Changed | Status::Created | Status::Deleted)
    )
}
