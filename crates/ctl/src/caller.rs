//! CoAP client (RFC 7252) that sends test requests to a service.

use coap_lite::{
    CoapOption,
    Packet, //
};
use foxtailhinge_wire::coap::{
    Block,
    CoapError,
    Datagram,
    Kind,
    Method,
    Status, //
};
use std::{
    collections::hash_map::RandomState,
    hash::{
        BuildHasher,
        Hasher, //
    },
    io,
    net::{
        Ipv4Addr,
        Ipv6Addr,
        SocketAddr,
        UdpSocket, //
    },
    time::{
        Duration,
        Instant, //
    },
};
use thiserror::Error;

/// Size of the receive buffer, in bytes: no UDP datagram is longer.
const DATAGRAM_BYTES: usize = 64 * 1024;
/// Largest payload that is reassembled from blocks, in bytes.
const ANSWER_BYTES_MAX: usize = 16 * 1024 * 1024;
/// Delay before the first retransmission of a request; it doubles with each one (RFC 7252, section 4.8).
const ACK_TIMEOUT: Duration = Duration::from_secs(2);
const RETRANSMISSIONS: u32 = 4;
/// Maximum number of attempts to send a request, which is repeated with a new ticket or, if its flow was retired,
/// without one.
const TICKET_ATTEMPTS_MAX: usize = 3;
/// Minimum interval between two registrations for a feed.
const RENEW_MIN: Duration = Duration::from_secs(1);
/// Half of the range of 24-bit sequence numbers: a notification whose number is this far ahead or farther is an older
/// one (RFC 7641, section 3.4).
const OBSERVE_HALF_RANGE: u32 = 1 << 23;

/// Error of a request.
#[derive(Debug, Error)]
pub(crate) enum CallerError {
    #[error("Try again or allow more time with --timeout-ms; {0} gave no answer within {1:?}.")]
    NoAnswer(SocketAddr, Duration),
    #[error("Check the address of the service; {0} cannot be reached: {1}.")]
    Unreachable(SocketAddr, io::Error),
    #[error("Try again later; the service kept asking for a new ticket.")]
    NoFlow,
    #[error("Try again; the answer changed while its blocks were fetched.")]
    Changed,
    #[error("Fetch a smaller resource; the answer is longer than {ANSWER_BYTES_MAX} bytes.")]
    TooLong,
    #[error("Check the service; it reset the request.")]
    Reset,
    #[error(transparent)]
    Malformed(#[from] CoapError),
}

/// A request without its token and ticket, which [`Caller`] adds.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) payload: Vec<u8>,
    pub(crate) deadline: Option<Duration>,
}

/// A complete answer.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    /// Datagram with the first block.
    pub(crate) first: Datagram,
    /// Payload of all blocks.
    pub(crate) payload: Vec<u8>,
}

/// A client with at most one flow.
pub(crate) struct Caller {
    socket: UdpSocket,
    service: SocketAddr,
    timeout: Duration,
    ticket: Option<Vec<u8>>,
    next_message_id: u16,
    next_token: u64,
}

impl Caller {
    /// Connects a UDP socket to a service.
    pub(crate) fn new(
        service: SocketAddr,
        timeout: Duration,
        ticket: Option<Vec<u8>>,
    ) -> Result<Self, CallerError> {
        let any: SocketAddr = match service {
            SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
            SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
        };
        let unreachable = |e| CallerError::Unreachable(service, e);
        let socket = UdpSocket::bind(any).map_err(unreachable)?;
        socket.connect(service).map_err(unreachable)?;
        let random = RandomState::new().build_hasher().finish();
        let [.., high, low] = random.to_be_bytes();
        Ok(Self {
            socket,
            service,
            timeout,
            ticket,
            next_message_id: u16::from_be_bytes([high, low]),
            next_token: random,
        })
    }

    /// The latest ticket of the flow.
    pub(crate) fn ticket(&self) -> Option<&[u8]> {
        self.ticket.as_deref()
    }

    /// Sends a request and fetches all blocks of its answer.
    pub(crate) fn call(&mut self, request: &Request) -> Result<Answer, CallerError> {
        let datagram = self.datagram(request);
        let first = self.send_in_flow(datagram)?;
        self.fetch_all_blocks(request, first)
    }

    /// Registers for a feed and returns it with its first notification.
    pub(crate) fn observe(&mut self, request: &Request) -> Result<(Answer, Feed), CallerError> {
        let mut datagram = self.datagram(request);
        datagram.set_observe(0);
        let token = datagram.token().to_vec();
        let first = self.send_in_flow(datagram)?;
        let mut feed = Feed {
            token,
            newest: None,
            renew_at: Instant::now(),
        };
        feed.update(&first);
        let answer = self.fetch_all_blocks(request, first)?;
        Ok((answer, feed))
    }

    /// Waits for the next notification; renews the registration before the last notification becomes stale.
    pub(crate) fn notification(
        &mut self,
        request: &Request,
        feed: &mut Feed,
    ) -> Result<Answer, CallerError> {
        loop {
            let left = feed.renew_at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let datagram = self.register_again(request, feed)?;
                feed.update(&datagram);
                return self.fetch_all_blocks(request, datagram);
            }
            let Some(datagram) = self.receive(left)? else {
                continue;
            };
            if datagram.token() == feed.token && feed.is_newer(&datagram) {
                feed.update(&datagram);
                return self.fetch_all_blocks(request, datagram);
            }
        }
    }

    /// Cancels a feed without waiting for the answer.
    pub(crate) fn cancel(&mut self, request: &Request, feed: &Feed) -> Result<(), CallerError> {
        let mut datagram = self.datagram(request);
        datagram.set_token(&feed.token);
        datagram.set_observe(1);
        self.send(&datagram)
    }

    fn register_again(&mut self, request: &Request, feed: &Feed) -> Result<Datagram, CallerError> {
        let mut datagram = self.datagram(request);
        datagram.set_token(&feed.token);
        datagram.set_observe(0);
        self.send_in_flow(datagram)
    }

    fn datagram(&mut self, request: &Request) -> Datagram {
        let mut datagram = Datagram::request(request.method, &request.path)
            .with_kind(Kind::Con)
            .with_payload(request.payload.clone());
        self.next_token = self.next_token.wrapping_add(1);
        datagram.set_token(&self.next_token.to_be_bytes());
        if let Some(deadline) = request.deadline {
            datagram.set_deadline(deadline);
        }
        datagram
    }

    /// Sends a request within the flow; opens a flow first if there is none.
    fn send_in_flow(&mut self, mut datagram: Datagram) -> Result<Datagram, CallerError> {
        for _ in 0..TICKET_ATTEMPTS_MAX {
            match &self.ticket {
                Some(ticket) => datagram.set_echo(ticket),
                None => datagram.remove_echo(),
            }
            let had_ticket = self.ticket.is_some();
            let answer = self.exchange(&mut datagram)?;
            let unauthorized = answer.status() == Some(Status::Unauthorized);
            if let Some(echo) = answer.echo() {
                self.ticket = Some(echo.to_vec());
            } else if unauthorized {
                self.ticket = None;
            }
            let retired = had_ticket && self.ticket.is_none();
            let may_retry = self.ticket.is_some() || (retired && is_idempotent(&datagram));
            if !unauthorized || !may_retry {
                return Ok(answer);
            }
        }
        Err(CallerError::NoFlow)
    }

    /// Sends a request and retransmits it until it is answered (RFC 7252, section 4.2).
    fn exchange(&mut self, datagram: &mut Datagram) -> Result<Datagram, CallerError> {
        self.next_message_id = self.next_message_id.wrapping_add(1);
        datagram.set_message_id(self.next_message_id);
        let end = Instant::now() + self.timeout;
        let mut ack_timeout = ACK_TIMEOUT;
        for _ in 0..=RETRANSMISSIONS {
            self.send(datagram)?;
            let until = end.min(Instant::now() + ack_timeout);
            if let Some(answer) = self.wait_for_answer(datagram, until)? {
                return Ok(answer);
            }
            ack_timeout *= 2;
        }
        let last = self.wait_for_answer(datagram, end)?;
        last.ok_or(CallerError::NoAnswer(self.service, self.timeout))
    }

    /// Waits for the answer to a request; returns nothing if there is none by `until`.
    fn wait_for_answer(
        &self,
        req: &Datagram,
        until: Instant,
    ) -> Result<Option<Datagram>, CallerError> {
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(None);
            }
            let Some(datagram) = self.receive(left)? else {
                continue;
            };
            if datagram.kind() == Kind::Rst && datagram.message_id() == req.message_id() {
                return Err(CallerError::Reset);
            }
            if is_answer(&datagram, req) {
                return Ok(Some(datagram));
            }
        }
    }

    fn receive(&self, within: Duration) -> Result<Option<Datagram>, CallerError> {
        let failed = |e| CallerError::Unreachable(self.service, e);
        self.socket.set_read_timeout(Some(within)).map_err(failed)?;
        let mut buf = vec![0; DATAGRAM_BYTES];
        let len = match self.socket.recv(&mut buf) {
            Ok(len) => len,
            Err(e) if is_timeout(&e) => return Ok(None),
            Err(e) => return Err(failed(e)),
        };
        let datagram = Datagram::parse(&buf[..len])?;
        if datagram.kind() == Kind::Con {
            let ack = Datagram::reset(datagram.message_id()).with_kind(Kind::Ack);
            self.send(&ack)?;
        }
        Ok(Some(datagram))
    }

    fn send(&self, datagram: &Datagram) -> Result<(), CallerError> {
        let sent = self.socket.send(&datagram.to_bytes());
        sent.map_err(|e| CallerError::Unreachable(self.service, e))?;
        Ok(())
    }

    /// Fetches the blocks after the first one (RFC 7959); all must have the same entity tag.
    fn fetch_all_blocks(
        &mut self,
        request: &Request,
        first: Datagram,
    ) -> Result<Answer, CallerError> {
        let mut payload = first.payload().to_vec();
        let mut block = first.block2();
        let tag = entity_tag(&first);
        while let Some(last) = block.filter(|block| block.more) {
            let next = self.fetch_block(request, &last)?;
            if entity_tag(&next) != tag || !is_next_block(&next, &last) {
                return Err(CallerError::Changed);
            }
            payload.extend_from_slice(next.payload());
            if payload.len() > ANSWER_BYTES_MAX {
                return Err(CallerError::TooLong);
            }
            block = next.block2();
        }
        Ok(Answer { first, payload })
    }

    fn fetch_block(&mut self, request: &Request, last: &Block) -> Result<Datagram, CallerError> {
        let mut datagram = self.datagram(request);
        datagram.set_block2(Block {
            number: last.number + 1,
            more: false,
            size_exponent: last.size_exponent,
        });
        self.send_in_flow(datagram)
    }
}

/// A registration for a feed (RFC 7641).
pub(crate) struct Feed {
    token: Vec<u8>,
    /// Sequence number of the latest notification.
    newest: Option<u32>,
    renew_at: Instant,
}

impl Feed {
    fn is_newer(&self, datagram: &Datagram) -> bool {
        let (Some(newest), Some(number)) = (self.newest, datagram.observe()) else {
            return true;
        };
        let ahead = number.wrapping_sub(newest) % (2 * OBSERVE_HALF_RANGE);
        ahead != 0 && ahead < OBSERVE_HALF_RANGE
    }

    fn update(&mut self, datagram: &Datagram) {
        self.newest = datagram.observe();
        self.renew_at = Instant::now() + (datagram.max_age() / 2).max(RENEW_MIN);
    }
}

/// Whether a request may be retried without its ticket: one that is not idempotent may have run before its flow was
/// retired.
fn is_idempotent(req: &Datagram) -> bool {
    req.method().is_some_and(Method::is_idempotent)
}

/// Whether a datagram answers this request, and not an earlier attempt with the same token and another message ID.
fn is_answer(datagram: &Datagram, req: &Datagram) -> bool {
    let acknowledges = datagram.kind() == Kind::Ack;
    let same_message = datagram.message_id() == req.message_id();
    datagram.status().is_some()
        && datagram.token() == req.token()
        && (same_message || !acknowledges)
}

fn is_timeout(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
    )
}

fn is_next_block(next: &Datagram, last: &Block) -> bool {
    next.block2().is_some_and(|b| b.number == last.number + 1)
}

fn entity_tag(datagram: &Datagram) -> Option<Vec<u8>> {
    let packet = Packet::from_bytes(&datagram.to_bytes()).ok()?;
    packet.get_first_option(CoapOption::ETag).cloned()
}
