//! Options and codes of the CoAP messages between callers and upstreams.

use coap_lite::{
    CoapOption,
    MessageClass,
    MessageType,
    Packet,
    RequestType,
    ResponseType, //
};
use std::{
    collections::LinkedList,
    time::Duration, //
};

/// Number of the Echo option, which carries the flow ticket (RFC 9175).
pub const ECHO: u16 = 252;
/// Number of the option that carries the remaining milliseconds of a request.
pub const DEADLINE: u16 = 65000;
/// Number of the option that carries the incarnation of an upstream.
pub const INCARNATION: u16 = 65002;
/// Max-Age in seconds of an answer without the option (RFC 7252, section 5.10.5).
pub const DEFAULT_MAX_AGE_S: u64 = 60;
/// Size exponent of blocks of 1,024 bytes (RFC 7959, section 2.2).
pub const BLOCK_EXPONENT: u32 = 6;

/// The method of a request.
pub type Method = RequestType;

/// Position of one block within a longer answer (RFC 7959).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Block {
    /// Zero-based number of the block.
    pub number: u32,
    /// Whether further blocks follow.
    pub more: bool,
    /// Size exponent: a block holds `16 << exponent` bytes.
    pub exponent: u32,
}

impl Block {
    /// Returns the number of bytes in a full block.
    pub fn size(self) -> usize {
        16 << self.exponent
    }

    /// Reads the Block2 option of a message; `None` for the reserved size exponent.
    pub fn of(packet: &Packet) -> Option<Self> {
        let value = uint(packet, CoapOption::Block2)? as u32;
        let exponent = value & 7;
        let valid = exponent < 7;
        valid.then_some(Block {
            number: value >> 4,
            more: value & 8 != 0,
            exponent,
        })
    }

    /// Sets the Block2 option of a message.
    pub fn put(self, packet: &mut Packet) {
        let more = if self.more { 8 } else { 0 };
        let value = (self.number << 4) | more | self.exponent;
        put_uint(packet, CoapOption::Block2, u64::from(value));
    }
}

/// Reads the first value of an option.
pub fn bytes(packet: &Packet, option: CoapOption) -> Option<&[u8]> {
    let values = packet.get_option(option)?;
    values.front().map(Vec::as_slice)
}

/// Reads an option as an unsigned integer of up to eight bytes.
pub fn uint(packet: &Packet, option: CoapOption) -> Option<u64> {
    let value = bytes(packet, option)?;
    let fits = value.len() <= 8;
    fits.then(|| {
        value
            .iter()
            .fold(0, |sum, &byte| (sum << 8) | u64::from(byte))
    })
}

/// Sets an option to one value.
pub fn put_bytes(packet: &mut Packet, option: CoapOption, value: &[u8]) {
    packet.set_option(option, LinkedList::from([value.to_vec()]));
}

/// Sets an option to an unsigned integer in its shortest form.
pub fn put_uint(packet: &mut Packet, option: CoapOption, value: u64) {
    let zeros = value.leading_zeros() as usize / 8;
    put_bytes(packet, option, &value.to_be_bytes()[zeros..]);
}

/// Reads the flow ticket of a message.
pub fn ticket(packet: &Packet) -> Option<&[u8]> {
    bytes(packet, CoapOption::Unknown(ECHO))
}

/// Reads the Max-Age of an answer.
pub fn max_age(packet: &Packet) -> Duration {
    let age = uint(packet, CoapOption::MaxAge).unwrap_or(DEFAULT_MAX_AGE_S);
    Duration::from_secs(age)
}

/// Reads the remaining time of a request.
pub fn deadline(packet: &Packet) -> Option<Duration> {
    uint(packet, CoapOption::Unknown(DEADLINE)).map(Duration::from_millis)
}

/// Reads the path of a request, with its leading slash.
pub fn path(packet: &Packet) -> String {
    let mut path = String::new();
    for part in packet.get_option(CoapOption::UriPath).into_iter().flatten() {
        path.push('/');
        path.push_str(&String::from_utf8_lossy(part));
    }
    path
}

/// Sets the path of a request.
pub fn put_path(packet: &mut Packet, path: &str) {
    let parts = path.split('/').filter(|part| !part.is_empty());
    let values = parts.map(|part| part.as_bytes().to_vec()).collect();
    packet.set_option(CoapOption::UriPath, values);
}

/// Reads the service that the caller intended, from the query `service=NAME`.
pub fn service(packet: &Packet) -> Option<String> {
    query(packet, "service=")
}

/// Reads the id of a request from the query `id=ID`; `-` without one.
pub fn id(packet: &Packet) -> String {
    query(packet, "id=").unwrap_or_else(|| "-".into())
}

/// Sets the queries that carry the intended service and the id of a request.
pub fn put_queries(packet: &mut Packet, service: &str, id: &str) {
    let values = [format!("service={service}"), format!("id={id}")];
    let values = values.map(String::into_bytes);
    packet.set_option(CoapOption::UriQuery, LinkedList::from(values));
}

fn query(packet: &Packet, prefix: &str) -> Option<String> {
    let mut values = packet.get_option(CoapOption::UriQuery)?.iter();
    let value = values.find_map(|value| value.strip_prefix(prefix.as_bytes()))?;
    Some(String::from_utf8_lossy(value).into_owned())
}

/// Returns the method of a request, or `None` for another message.
pub fn method(packet: &Packet) -> Option<Method> {
    match packet.header.code {
        MessageClass::Request(method) => Some(method),
        _ => None,
    }
}

/// Returns the code of an answer, or `None` for another message.
pub fn code(packet: &Packet) -> Option<ResponseType> {
    match packet.header.code {
        MessageClass::Response(code) => Some(code),
        _ => None,
    }
}

/// Builds an answer without payload and with the same message id: an acknowledgement of a confirmable request,
/// otherwise a non-confirmable message.
pub fn answer(req: &Packet, code: ResponseType) -> Packet {
    let mut packet = Packet::new();
    let kind = match req.header.get_type() {
        MessageType::Confirmable => MessageType::Acknowledgement,
        _ => MessageType::NonConfirmable,
    };
    packet.header.set_type(kind);
    packet.header.message_id = req.header.message_id;
    packet.header.code = MessageClass::Response(code);
    packet.set_token(req.get_token().to_vec());
    packet
}

/// Builds an empty Reset message, which rejects the message with this id.
pub fn reset(message_id: u16) -> Packet {
    let mut packet = Packet::new();
    packet.header.set_type(MessageType::Reset);
    packet.header.message_id = message_id;
    packet.header.code = MessageClass::Empty;
    packet
}
