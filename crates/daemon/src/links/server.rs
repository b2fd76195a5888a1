//! Server side of the links.

use super::{
    budget::ByteBudget,
    client::LinkError,
    compare,
    message::{
        decode,
        encode,
        LinkReply,
        LinkRequest,
        BODY_MAX,
        FIRST_BODY_MAX, //
    },
    transport::{
        self,
        read_body, //
    },
};
use crate::members::{
    counters::count,
    Control,
    ControlSettings,
    Source, //
};
use bytes::Bytes;
use foxtailhinge_wire::{
    envelope::Opened,
    message::{
        OwnerReply,
        OwnerRequest, //
    },
    ticket::name_hash, //
};
use h2::{
    server::SendResponse,
    RecvStream, //
};
use http::{
    Request,
    Response,
    StatusCode, //
};
use monoio::net::{
    ListenerOpts,
    TcpListener,
    TcpStream, //
};
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    io,
    net::SocketAddr,
    rc::Rc,
    time::Instant,
};

/// Maximum number of concurrent streams per link.
const STREAMS_MAX: u32 = 8;

/// Answers requests about the ownership of upstreams.
pub trait LinkHandler {
    /// Answers a request from `incarnation` of the daemon with the VM id `from`.
    fn on_owner_request(
        &self,
        from: &Rc<str>,
        incarnation: u32,
        request: OwnerRequest,
    ) -> OwnerReply;
}

/// Binds the control address.
pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let opts = ListenerOpts::new().reuse_port(false).reuse_addr(true);
    TcpListener::bind_with_config(addr, &opts)
}

/// Accepts links of peers and answers their requests.
pub struct Server<H> {
    control: Rc<Control>,
    handler: Rc<H>,
    budget: RefCell<ByteBudget>,
}

impl<H: LinkHandler + 'static> Server<H> {
    /// Creates a server that answers from the state of `control` and passes ownership requests to `handler`.
    pub fn new(control: Rc<Control>, handler: Rc<H>) -> Rc<Self> {
        let limits = control.settings().limits;
        let budget = ByteBudget::new(limits.copy_rate, limits.copy_burst, Instant::now());
        Rc::new(Self {
            control,
            handler,
            budget: RefCell::new(budget),
        })
    }

    /// Accepts links; never returns.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let max = self.control.settings().limits.inbound_links;
        let serve = |stream| Rc::clone(&self).serve(stream);
        transport::accept_each(listener, max, serve).await;
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) -> Result<(), LinkError> {
        let limits = self.control.settings().limits;
        let accepted = transport::accept(stream, STREAMS_MAX);
        let handshake = monoio::time::timeout(limits.link_timeout, accepted);
        let mut connection = handshake.await.map_err(|_| LinkError::Timeout)??;
        let trusted = Rc::new(Cell::new(false));
        loop {
            let idle = match trusted.get() {
                true => 2 * limits.link_idle,
                false => limits.link_timeout,
            };
            let Ok(next) = monoio::time::timeout(idle, connection.accept()).await else {
                return Ok(());
            };
            let Some(accepted) = next else {
                return Ok(());
            };
            let (request, respond) = accepted?;
            let server = self.clone();
            let trusted = trusted.clone();
            monoio::spawn(async move {
                if let Err(err) = server.answer(request, respond, &trusted).await {
                    log::debug!("event=link_request_failed cause=\"{err}\"");
                }
            });
        }
    }

    async fn answer(
        &self,
        request: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
        trusted: &Cell<bool>,
    ) -> Result<(), LinkError> {
        let settings = self.control.settings();
        let max = match trusted.get() {
            true => BODY_MAX,
            false => FIRST_BODY_MAX,
        };
        let body = read_body(request.into_body(), max);
        let body = monoio::time::timeout(settings.limits.link_timeout, body).await;
        let body = body.map_err(|_| LinkError::Timeout)??;
        let me = name_hash(&settings.vm);
        let opened = match open(settings, me, &body) {
            Ok(opened) => opened,
            Err(err) => {
                count(&self.control.counters().links_refused, 1);
                refuse(&mut respond)?;
                return Err(err);
            }
        };
        if self.control.is_denied_hash(opened.from) {
            respond.send_reset(h2::Reason::REFUSED_STREAM);
            return Err(LinkError::Denied);
        }
        trusted.set(true);
        count(
            &self.control.counters().link_bytes_received,
            body.len() as u64,
        );
        let from = opened.from;
        let reply = self.reply(opened);
        let body = settings
            .keys
            .seal(me, settings.incarnation, from, &encode(&reply));
        if matches!(reply, LinkReply::Documents(_) | LinkReply::Difference(_)) {
            self.budget.borrow_mut().spend(body.len());
        }
        count(&self.control.counters().link_bytes_sent, body.len() as u64);
        let mut stream = respond.send_response(Response::new(()), false)?;
        stream.send_data(body.into(), true)?;
        Ok(())
    }

    fn reply(&self, opened: Opened<LinkRequest>) -> LinkReply {
        let control = &self.control;
        let from = self.sender(opened.from);
        match opened.message {
            LinkRequest::Hello(record) => {
                control.merge_members([record]);
                LinkReply::Ok
            }
            LinkRequest::Glance(_) => LinkReply::Glance(compare::glance(control)),
            LinkRequest::Compare(sums) => compare::difference(control, &sums),
            LinkRequest::Announce(revisions) => compare::wanted(control, revisions),
            LinkRequest::Push(records) => {
                compare::apply_documents(control, records, &from);
                LinkReply::Ok
            }
            LinkRequest::Fetch(services) => self.documents(&services),
            LinkRequest::Members(updates) => {
                control.merge_peer_view(updates);
                LinkReply::Ok
            }
            LinkRequest::Owner(request) => {
                let incarnation = opened.from_incarnation;
                LinkReply::Owner(self.handler.on_owner_request(&from, incarnation, request))
            }
        }
    }

    fn documents(&self, services: &[String]) -> LinkReply {
        let now = Instant::now();
        let mut budget = self.budget.borrow_mut();
        budget.set_rate(self.control.copy_rate(), now);
        let wait = budget.wait(now);
        drop(budget);
        if !wait.is_zero() {
            count(&self.control.counters().copies_deferred, 1);
            return LinkReply::Busy(wait.as_millis() as u64 + 1);
        }
        LinkReply::Documents(compare::documents(&self.control, services))
    }

    fn sender(&self, hash: u32) -> Rc<str> {
        let members = self.control.members();
        match members.by_hash(hash) {
            Some(member) => member.vm.clone(),
            None => format!("vm-hash-{hash:08x}").into(),
        }
    }
}

fn open(
    settings: &ControlSettings,
    me: u32,
    body: &[u8],
) -> Result<Opened<LinkRequest>, LinkError> {
    let opened = settings.keys.open::<Vec<u8>>(me, body)?;
    Ok(Opened {
        from: opened.from,
        from_incarnation: opened.from_incarnation,
        message: decode(&opened.message).ok_or(LinkError::Garbled)?,
    })
}

fn refuse(respond: &mut SendResponse<Bytes>) -> Result<(), LinkError> {
    let mut head = Response::new(());
    *head.status_mut() = StatusCode::FORBIDDEN;
    respond.send_response(head, true)?;
    Ok(())
}

impl From<&Rc<str>> for Source {
    fn from(vm: &Rc<str>) -> Self {
        Self::Peer(vm.clone())
    }
}
