//! CoAP datagrams (RFC 7252) as the daemon sees them: header and options; the payload stays opaque.
//!
//! Options that are not interpreted here pass through unchanged.

use coap_lite::{
    CoapOption,
    MessageClass,
    MessageType,
    Packet,
    RequestType, //
};
use std::{
    collections::LinkedList,
    rc::Rc,
    time::Duration, //
};
use thiserror::Error;

pub use coap_lite::{
    MessageClass as Code,
    ResponseType as Status, //
};

/// Maximum length of a token, in bytes.
pub const TOKEN_MAX: usize = 8;

/// Number of the Echo option (RFC 9175), which carries the flow ticket.
pub const ECHO: u16 = 252;

/// Number of the option that carries the time left for a request, in milliseconds.
pub const DEADLINE: u16 = 65000;

/// Number of the option that carries the incarnation of an upstream in its responses.
pub const UPSTREAM_INCARNATION: u16 = 65002;

/// Number of the option by which a caller marks a request as the last one of its flow.
pub const RELEASE: u16 = 65004;

const VERSION: u8 = 1;
const HEAD_LEN: usize = 4;
const PAYLOAD_MARKER: u8 = 0xff;

/// Maximum number of options in one datagram.
pub const OPTIONS_MAX: usize = 64;

/// Freshness lifetime of a response without Max-Age (RFC 7252).
const MAX_AGE_DEFAULT: Duration = Duration::from_secs(60);

/// Why bytes were refused as a CoAP datagram.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, Hash)]
pub enum CoapError {
    /// The bytes do not form a CoAP message.
    #[error("The datagram is not a CoAP message; follow RFC 7252.")]
    Format,
    /// The version is not 1.
    #[error("The datagram has an unknown CoAP version; send version 1.")]
    Version,
    /// The code is reserved, or an empty message is not empty.
    #[error("The datagram has a reserved code; send a request, a response or an empty message.")]
    Code,
    /// The datagram has more than [`OPTIONS_MAX`] options.
    #[error("The datagram has more than {OPTIONS_MAX} options; send fewer.")]
    Options,
}

/// Type of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Confirmable.
    Con,
    /// Non-confirmable.
    Non,
    /// Acknowledgement.
    Ack,
    /// Reset.
    Rst,
}

/// Method of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Method {
    /// GET, idempotent.
    Get,
    /// POST, not idempotent.
    Post,
    /// PUT, idempotent.
    Put,
    /// DELETE, idempotent.
    Delete,
    /// FETCH, idempotent (RFC 8132).
    Fetch,
    /// PATCH, not idempotent (RFC 8132).
    Patch,
    /// iPATCH, idempotent (RFC 8132).
    IPatch,
}

impl Method {
    /// Whether running a request twice has the same effect as running it once.
    pub fn is_idempotent(self) -> bool {
        !matches!(self, Self::Post | Self::Patch)
    }
}

/// Value of a Block1 or Block2 option (RFC 7959).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Block {
    /// Number of the block.
    pub number: u32,
    /// Whether more blocks follow.
    pub more: bool,
    /// Exponent of the block's size: the block has 2^(exponent + 4) bytes.
    pub size_exponent: u8,
}

/// One CoAP message; two are equal when they encode to the same bytes.
#[derive(Clone, Debug)]
pub struct Datagram {
    /// Shared between clones; the first change of a clone copies it.
    packet: Rc<Packet>,
}

impl PartialEq for Datagram {
    fn eq(&self, other: &Self) -> bool {
        self.to_bytes() == other.to_bytes()
    }
}

impl Eq for Datagram {}

impl Datagram {
    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// See [`CoapError`].
    pub fn parse(buf: &[u8]) -> Result<Self, CoapError> {
        check(buf)?;
        let packet = Packet::from_bytes(buf).map_err(|_| CoapError::Format)?;
        Ok(Self::from_packet(packet))
    }

    /// Encodes the datagram.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.packet
            .to_bytes_unlimited()
            .expect("the token and the options are short enough to encode")
    }

    /// A non-confirmable request for a path such as `/a/b`, with message id 0 and no token.
    pub fn request(method: Method, path: &str) -> Self {
        let mut packet = Packet::new();
        packet.header.set_type(MessageType::NonConfirmable);
        packet.header.code = MessageClass::Request(method.into());
        for segment in path.split('/').filter(|segment| !segment.is_empty()) {
            packet.add_option(CoapOption::UriPath, segment.as_bytes().to_vec());
        }
        Self::from_packet(packet)
    }

    /// A response with the request's token: for a confirmable request an acknowledgement with the
    /// request's message id, otherwise a non-confirmable message with the given id.
    pub fn response_to(req: &Self, status: Status, message_id: u16) -> Self {
        let mut packet = Packet::new();
        packet.header.code = MessageClass::Response(status);
        let mut res = Self::from_packet(packet);
        res.set_token(req.token());
        res.set_reply_header(req, message_id);
        res
    }

    /// A reset of the message with the given id.
    pub fn reset(message_id: u16) -> Self {
        let mut packet = Packet::new();
        packet.header.set_type(MessageType::Reset);
        packet.header.code = MessageClass::Empty;
        packet.header.message_id = message_id;
        Self::from_packet(packet)
    }

    /// Sets the type and the message id of a response to `req`; see [`Datagram::response_to`].
    pub fn set_reply_header(&mut self, req: &Self, message_id: u16) {
        if req.kind() == Kind::Con {
            self.set_kind(Kind::Ack);
            self.set_message_id(req.message_id());
        } else {
            self.set_kind(Kind::Non);
            self.set_message_id(message_id);
        }
    }

    /// The datagram with another token; see [`Datagram::set_token`].
    pub fn with_token(mut self, token: &[u8]) -> Self {
        self.set_token(token);
        self
    }

    /// The datagram with another type.
    pub fn with_kind(mut self, kind: Kind) -> Self {
        self.set_kind(kind);
        self
    }

    /// The datagram with another message id.
    pub fn with_message_id(mut self, message_id: u16) -> Self {
        self.set_message_id(message_id);
        self
    }

    /// The datagram with another payload.
    pub fn with_payload(mut self, payload: Vec<u8>) -> Self {
        self.set_payload(payload);
        self
    }

    /// Type of the message.
    pub fn kind(&self) -> Kind {
        match self.packet.header.get_type() {
            MessageType::Confirmable => Kind::Con,
            MessageType::NonConfirmable => Kind::Non,
            MessageType::Acknowledgement => Kind::Ack,
            MessageType::Reset => Kind::Rst,
        }
    }

    /// Sets the type of the message.
    pub fn set_kind(&mut self, kind: Kind) {
        self.packet_mut().header.set_type(match kind {
            Kind::Con => MessageType::Confirmable,
            Kind::Non => MessageType::NonConfirmable,
            Kind::Ack => MessageType::Acknowledgement,
            Kind::Rst => MessageType::Reset,
        });
    }

    /// Message id.
    pub fn message_id(&self) -> u16 {
        self.packet.header.message_id
    }

    /// Sets the message id.
    pub fn set_message_id(&mut self, message_id: u16) {
        self.packet_mut().header.message_id = message_id;
    }

    /// Token that ties a response to its request.
    pub fn token(&self) -> &[u8] {
        self.packet.get_token()
    }

    /// Sets the token, truncated to [`TOKEN_MAX`] bytes.
    pub fn set_token(&mut self, token: &[u8]) {
        let len = token.len().min(TOKEN_MAX);
        self.packet_mut().set_token(token[..len].to_vec());
    }

    /// Method of a request, `None` for any other message.
    pub fn method(&self) -> Option<Method> {
        let MessageClass::Request(method) = self.packet.header.code else {
            return None;
        };
        match method {
            RequestType::Get => Some(Method::Get),
            RequestType::Post => Some(Method::Post),
            RequestType::Put => Some(Method::Put),
            RequestType::Delete => Some(Method::Delete),
            RequestType::Fetch => Some(Method::Fetch),
            RequestType::Patch => Some(Method::Patch),
            RequestType::IPatch => Some(Method::IPatch),
            RequestType::UnKnown => None,
        }
    }

    /// Code of the message.
    pub fn code(&self) -> Code {
        self.packet.header.code
    }

    /// Status of a response, `None` for any other message.
    pub fn status(&self) -> Option<Status> {
        match self.packet.header.code {
            MessageClass::Response(status) => Some(status),
            _ => None,
        }
    }

    /// Path of a request with a leading slash; `%` and `/` within a segment are percent-encoded,
    /// and invalid UTF-8 is replaced by replacement characters.
    pub fn path(&self) -> String {
        let Some(segments) = self.packet.get_option(CoapOption::UriPath) else {
            return String::from("/");
        };
        let len = segments.iter().map(|segment| segment.len() + 1).sum();
        let mut path = String::with_capacity(len);
        for segment in segments {
            path.push('/');
            push_encoded(&mut path, &String::from_utf8_lossy(segment));
        }
        path
    }

    /// Value of the Echo option.
    pub fn echo(&self) -> Option<&[u8]> {
        self.first_value(CoapOption::from(ECHO))
    }

    /// Sets the Echo option, at most 40 bytes (RFC 9175).
    pub fn set_echo(&mut self, value: &[u8]) {
        self.set_value(CoapOption::from(ECHO), value.to_vec());
    }

    /// Removes the Echo option.
    pub fn remove_echo(&mut self) {
        self.packet_mut().clear_option(CoapOption::from(ECHO));
    }

    /// The datagram with another token and without the Echo option; see [`Datagram::set_token`].
    pub fn without_echo(&self, token: &[u8]) -> Self {
        let mut packet = Packet::new();
        packet.header = self.packet.header.clone();
        packet.payload.clone_from(&self.packet.payload);
        for (number, values) in self.packet.options() {
            if *number != ECHO {
                packet.set_option(CoapOption::from(*number), values.clone());
            }
        }
        let mut datagram = Self::from_packet(packet);
        datagram.set_token(token);
        datagram
    }

    /// Value of the Observe option (RFC 7641): 0 registers and 1 cancels in a request, a sequence
    /// number in a notification.
    pub fn observe(&self) -> Option<u32> {
        self.uint(CoapOption::Observe)
    }

    /// Sets the Observe option to the lower 24 bits of `value`.
    pub fn set_observe(&mut self, value: u32) {
        self.set_uint(CoapOption::Observe, value & 0x00ff_ffff);
    }

    /// Removes the Observe option.
    pub fn clear_observe(&mut self) {
        self.packet_mut().clear_option(CoapOption::Observe);
    }

    /// Time left for the request.
    pub fn deadline(&self) -> Option<Duration> {
        let ms = self.uint(CoapOption::from(DEADLINE))?;
        Some(Duration::from_millis(ms.into()))
    }

    /// Sets the time left for the request, rounded down to milliseconds and at most 49 days.
    pub fn set_deadline(&mut self, deadline: Duration) {
        let ms = u32::try_from(deadline.as_millis()).unwrap_or(u32::MAX);
        self.set_uint(CoapOption::from(DEADLINE), ms);
    }

    /// Freshness lifetime of a response, 60 s without the option; in a 5.03 response the time after
    /// which the caller may retry.
    pub fn max_age(&self) -> Duration {
        self.uint(CoapOption::MaxAge)
            .map_or(MAX_AGE_DEFAULT, |s| Duration::from_secs(s.into()))
    }

    /// Sets Max-Age, rounded up to seconds.
    pub fn set_max_age(&mut self, max_age: Duration) {
        let s = max_age.as_secs() + u64::from(max_age.subsec_nanos() > 0);
        self.set_uint(CoapOption::MaxAge, u32::try_from(s).unwrap_or(u32::MAX));
    }

    /// Incarnation of the upstream that sent this response.
    pub fn upstream_incarnation(&self) -> Option<u16> {
        let value = self.uint(CoapOption::from(UPSTREAM_INCARNATION))?;
        u16::try_from(value).ok()
    }

    /// Sets the incarnation of the upstream that sends this response.
    pub fn set_upstream_incarnation(&mut self, incarnation: u16) {
        self.set_uint(CoapOption::from(UPSTREAM_INCARNATION), incarnation.into());
    }

    /// Removes the incarnation of the upstream.
    pub fn clear_upstream_incarnation(&mut self) {
        self.packet_mut()
            .clear_option(CoapOption::from(UPSTREAM_INCARNATION));
    }

    /// Whether the caller ends its flow with this request.
    pub fn is_release(&self) -> bool {
        let option = CoapOption::from(RELEASE);
        self.packet.get_option(option).is_some()
    }

    /// Marks this request as the last one of its flow.
    pub fn set_release(&mut self) {
        let option = CoapOption::from(RELEASE);
        self.packet_mut()
            .set_option(option, LinkedList::from([Vec::new()]));
    }

    /// Value of the Block1 option, which describes a block of the request's payload.
    pub fn block1(&self) -> Option<Block> {
        self.uint(CoapOption::Block1).map(Block::from)
    }

    /// Value of the Block2 option, which describes a block of the response's payload.
    pub fn block2(&self) -> Option<Block> {
        self.uint(CoapOption::Block2).map(Block::from)
    }

    /// Sets the Block1 option.
    pub fn set_block1(&mut self, block: Block) {
        self.set_uint(CoapOption::Block1, block.into());
    }

    /// Sets the Block2 option.
    pub fn set_block2(&mut self, block: Block) {
        self.set_uint(CoapOption::Block2, block.into());
    }

    /// Payload, opaque to the daemon.
    pub fn payload(&self) -> &[u8] {
        &self.packet.payload
    }

    /// Sets the payload.
    pub fn set_payload(&mut self, payload: Vec<u8>) {
        self.packet_mut().payload = payload;
    }

    fn from_packet(packet: Packet) -> Self {
        let packet = Rc::new(packet);
        Self { packet }
    }

    /// Returns the message for modification; it is copied first if clones share it.
    fn packet_mut(&mut self) -> &mut Packet {
        Rc::make_mut(&mut self.packet)
    }

    fn first_value(&self, option: CoapOption) -> Option<&[u8]> {
        let value = self.packet.get_first_option(option)?;
        Some(value)
    }

    fn set_value(&mut self, option: CoapOption, value: Vec<u8>) {
        self.packet_mut()
            .set_option(option, LinkedList::from([value]));
    }

    fn uint(&self, option: CoapOption) -> Option<u32> {
        let value = self.first_value(option)?;
        if value.len() > 4 {
            return None;
        }
        Some(value.iter().fold(0, |acc, b| acc << 8 | u32::from(*b)))
    }

    fn set_uint(&mut self, option: CoapOption, value: u32) {
        let zeros = value.leading_zeros() as usize / 8;
        self.set_value(option, value.to_be_bytes()[zeros..].to_vec());
    }
}

/// Appends a segment of a path, percent-encoding the characters that would make the path ambiguous.
fn push_encoded(path: &mut String, segment: &str) {
    for c in segment.chars() {
        match c {
            '%' => path.push_str("%25"),
            '/' => path.push_str("%2F"),
            c => path.push(c),
        }
    }
}

/// Refuses messages that RFC 7252 forbids but the codec accepts, and ones that would take much memory.
fn check(buf: &[u8]) -> Result<(), CoapError> {
    let (head, rest) = buf.split_at_checked(HEAD_LEN).ok_or(CoapError::Format)?;
    if head[0] >> 6 != VERSION {
        return Err(CoapError::Version);
    }
    if matches!(head[1] >> 5, 1 | 6 | 7) {
        return Err(CoapError::Code);
    }
    if head[1] == 0 && (head[0] & 0x0f != 0 || !rest.is_empty()) {
        return Err(CoapError::Code);
    }
    let token_len = usize::from(head[0] & 0x0f);
    if token_len > TOKEN_MAX {
        return Err(CoapError::Format);
    }
    let rest = rest.get(token_len..).ok_or(CoapError::Format)?;
    check_options(rest)
}

fn check_options(mut rest: &[u8]) -> Result<(), CoapError> {
    let mut number = 0u16;
    let mut options = 0;
    while let Some((&head, after)) = rest.split_first() {
        if head == PAYLOAD_MARKER {
            return if after.is_empty() {
                Err(CoapError::Format)
            } else {
                Ok(())
            };
        }
        let (delta, after) = extended_value(head >> 4, after).ok_or(CoapError::Format)?;
        let (len, after) = extended_value(head & 0x0f, after).ok_or(CoapError::Format)?;
        let delta = u16::try_from(delta).map_err(|_| CoapError::Format)?;
        number = number.checked_add(delta).ok_or(CoapError::Format)?;
        rest = after.get(len..).ok_or(CoapError::Format)?;
        options += 1;
        if options > OPTIONS_MAX {
            return Err(CoapError::Options);
        }
    }
    Ok(())
}

/// Reads an option's delta or length with its extension (RFC 7252, section 3.1).
fn extended_value(nibble: u8, rest: &[u8]) -> Option<(usize, &[u8])> {
    match (nibble, rest) {
        (0..=12, _) => Some((nibble.into(), rest)),
        (13, [byte, rest @ ..]) => Some((usize::from(*byte) + 13, rest)),
        (14, [high, low, rest @ ..]) => {
            let word = u16::from_be_bytes([*high, *low]);
            Some((usize::from(word) + 269, rest))
        }
        _ => None,
    }
}

impl From<Method> for RequestType {
    fn from(method: Method) -> Self {
        match method {
            Method::Get => Self::Get,
            Method::Post => Self::Post,
            Method::Put => Self::Put,
            Method::Delete => Self::Delete,
            Method::Fetch => Self::Fetch,
            Method::Patch => Self::Patch,
            Method::IPatch => Self::IPatch,
        }
    }
}

impl From<u32> for Block {
    fn from(value: u32) -> Self {
        Self {
            number: value >> 4,
            more: value & 8 != 0,
            size_exponent: (value & 7) as u8,
        }
    }
}

impl From<Block> for u32 {
    fn from(block: Block) -> Self {
        block.number << 4 | Self::from(block.more) << 3 | Self::from(block.size_exponent & 7)
    }
}
