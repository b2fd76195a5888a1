//! Client side of the links.

use super::{
    message::{
        decode,
        encode,
        LinkReply,
        LinkRequest,
        BODY_MAX, //
    },
    transport,
};
use crate::{
    activity::Activity,
    members::{
        counters::count,
        settings::ControlLimits,
        Control, //
    },
};
use bytes::Bytes;
use foxtailhinge_policy::members::Member;
use foxtailhinge_wire::{
    envelope::EnvelopeError,
    ticket::name_hash, //
};
use h2::client::SendRequest;
use http::StatusCode;
use std::{
    cell::RefCell,
    collections::HashMap,
    io,
    net::SocketAddr,
    rc::Rc,
    time::Instant, //
};

/// Why a request on a link failed.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// A test blocks the traffic with the peer.
    #[error("The faults setting blocks the peer; remove it from the list.")]
    Denied,
    /// The peer did not answer in time.
    #[error("The peer did not answer in time; check that it runs and can be reached.")]
    Timeout,
    /// The TCP connection failed.
    #[error("The connection failed ({0}); check that the peer's control address is right.")]
    Io(#[from] io::Error),
    /// The HTTP/2 connection or stream failed.
    #[error("The link failed ({0}); check that both daemons run compatible versions.")]
    Http(#[from] h2::Error),
    /// The peer refused the message.
    #[error("The peer refused the message with status {0}; give both daemons the same keys.")]
    Status(StatusCode),
    /// The message is not authentic or not for this daemon.
    #[error("The message could not be opened. {0}")]
    Envelope(#[from] EnvelopeError),
    /// An authentic message could not be decoded or is not the expected one.
    #[error("The message could not be decoded; run the same version on both daemons.")]
    Garbled,
    /// The body is longer than its limit.
    #[error("The message is longer than {BODY_MAX} bytes; split it.")]
    TooLong,
}

#[derive(Clone)]
struct Link {
    tx: SendRequest<Bytes>,
    addr: SocketAddr,
    incarnation: u32,
    last_used: Instant,
}

/// Pool of open links to peers, by VM id.
pub struct Links {
    limits: ControlLimits,
    open: RefCell<HashMap<Rc<str>, Link>>,
}

impl Links {
    /// Creates an empty pool.
    pub fn new(limits: ControlLimits) -> Self {
        Self {
            limits,
            open: RefCell::default(),
        }
    }

    /// Sends a request to `peer`, over a pooled or a new link, and waits at most `link_timeout` for the answer.
    ///
    /// A link that fails is removed from the pool.
    pub async fn request(
        &self,
        control: &Control,
        peer: &Member,
        request: &LinkRequest,
    ) -> Result<LinkReply, LinkError> {
        if control.is_denied(&peer.vm) {
            return Err(LinkError::Denied);
        }
        let answer = self.request_untimed(control, peer, request);
        let result = monoio::time::timeout(self.limits.link_timeout, answer).await;
        let result = result.unwrap_or(Err(LinkError::Timeout));
        if result.is_err() {
            self.open.borrow_mut().remove(&peer.vm);
        }
        result
    }

    /// Returns the number of open links.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Returns whether no link is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Closes links that have not been used for `link_idle`.
    pub fn close_idle(&self, now: Instant) {
        let idle = self.limits.link_idle;
        let mut open = self.open.borrow_mut();
        open.retain(|_, link| now.saturating_duration_since(link.last_used) < idle);
    }

    /// Closes all links.
    pub fn close_all(&self) {
        self.open.borrow_mut().clear();
    }

    async fn request_untimed(
        &self,
        control: &Control,
        peer: &Member,
        request: &LinkRequest,
    ) -> Result<LinkReply, LinkError> {
        let tx = match self.reuse(peer) {
            Some(tx) => tx,
            None => self.connect(control, peer).await?,
        };
        send(control, tx, peer, request).await
    }

    fn reuse(&self, peer: &Member) -> Option<SendRequest<Bytes>> {
        let mut open = self.open.borrow_mut();
        let link = open.get_mut(&peer.vm)?;
        // A link to an earlier incarnation ended with it, although this side may not have noticed yet.
        if link.addr != peer.control || link.incarnation != peer.incarnation {
            return None;
        }
        link.last_used = Instant::now();
        Some(link.tx.clone())
    }

    async fn connect(
        &self,
        control: &Control,
        peer: &Member,
    ) -> Result<SendRequest<Bytes>, LinkError> {
        let tx = transport::open(peer.control).await?;
        let hello = LinkRequest::Hello(control.my_record());
        send(control, tx.clone(), peer, &hello).await?;
        self.add_to_pool(peer, tx.clone());
        Ok(tx)
    }

    fn add_to_pool(&self, peer: &Member, tx: SendRequest<Bytes>) {
        let mut open = self.open.borrow_mut();
        if open.len() >= self.limits.links {
            let oldest = open.iter().min_by_key(|(_, link)| link.last_used);
            if let Some(vm) = oldest.map(|(vm, _)| vm.clone()) {
                open.remove(&vm);
            }
        }
        let link = Link {
            tx,
            addr: peer.control,
            incarnation: peer.incarnation,
            last_used: Instant::now(),
        };
        open.insert(peer.vm.clone(), link);
    }
}

async fn send(
    control: &Control,
    tx: SendRequest<Bytes>,
    peer: &Member,
    request: &LinkRequest,
) -> Result<LinkReply, LinkError> {
    let settings = control.settings();
    let me = name_hash(&settings.vm);
    let to = name_hash(&peer.vm);
    let body = settings
        .keys
        .seal(me, settings.incarnation, to, &encode(request));
    if body.len() > BODY_MAX {
        return Err(LinkError::TooLong);
    }
    count(&control.counters().link_bytes_sent, body.len() as u64);
    let body = transport::post(tx, body.into(), BODY_MAX, &Activity::default()).await?;
    count(&control.counters().link_bytes_received, body.len() as u64);
    let opened = settings.keys.open::<Vec<u8>>(me, &body)?;
    decode(&opened.message).ok_or(LinkError::Garbled)
}
