//! The flow ticket: an opaque, authenticated value that callers return in the CoAP Echo option.
//!
//! Layout in bytes, all integers big-endian: header 1 (from the highest bit: warm 1 bit, version 3,
//! key slot 4), service hash 4, upstream hash 4, upstream incarnation 2, zone hash 2, owner hash 4, owner
//! incarnation 4, flow 4, epoch 3, caller tag 2, then the first 10 bytes of keyed BLAKE3 over these
//! 30 bytes and the name of the service.

use crate::keys::{
    equal_in_constant_time,
    KeyRing, //
};
use blake3::{
    hash,
    Hasher, //
};
use std::net::{
    IpAddr,
    SocketAddr, //
};
use thiserror::Error;

/// Length of a sealed ticket in bytes, the maximum length of the Echo option (RFC 9175).
pub const TICKET_LEN: usize = 40;

/// The highest epoch that a ticket can carry; the field has 24 bits.
pub const EPOCH_MAX: u32 = 0x00ff_ffff;

const VERSION: u8 = 1;
const VERSION_MASK: u8 = 0x70;
const WARM: u8 = 0x80;
const MAC_LEN: usize = 10;
const BODY_LEN: usize = TICKET_LEN - MAC_LEN;
const KEY_CONTEXT: &str = "foxtailhinge 2026-12 flow ticket";

/// The state that a packet carries so that any daemon can route it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Whether the upstream had its full allowance when the ticket was issued.
    pub warm: bool,
    /// Hash of the service's name.
    pub service: u32,
    /// Hash of the upstream's name.
    pub upstream: u32,
    /// Incarnation of the upstream at the start of the flow.
    pub upstream_incarnation: u16,
    /// Hash of the availability zone's name.
    pub zone: u16,
    /// Hash of the VM id of the daemon that issued the ticket.
    pub owner: u32,
    /// Incarnation of that daemon.
    pub owner_incarnation: u32,
    /// Number of the flow, unique within the owner's incarnation.
    pub flow: u32,
    /// Epoch of the flow, at most [`EPOCH_MAX`]; requests that are not idempotent are refused once
    /// the flow's ledger may have evicted runs of this epoch.
    pub epoch: u32,
    /// Tag of the caller's address.
    pub caller_tag: u16,
}

/// Why a ticket was refused.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, Hash)]
pub enum TicketError {
    /// The value does not have [`TICKET_LEN`] bytes.
    #[error("The ticket does not have {TICKET_LEN} bytes; start a new flow without a ticket.")]
    Length,
    /// This daemon does not know the layout version.
    #[error("The ticket has an unknown version; update this daemon or start a new flow.")]
    Version,
    /// The key in the ticket's slot is not accepted.
    #[error("The ticket names a key slot that is not accepted; add this key to the settings.")]
    UnknownKey,
    /// The ticket was issued for a service other than the one addressed.
    #[error("The ticket belongs to another service; send it to the address of its own service.")]
    ForeignService,
    /// The MAC does not match.
    #[error("The ticket is not authentic; start a new flow without a ticket.")]
    Forged,
}

/// Keys that sign and accept tickets.
#[derive(Clone, Debug)]
pub struct TicketKeys {
    ring: KeyRing,
}

impl TicketKeys {
    /// Derives the keys from pairs of slot (0 to 15) and secret: the first one signs, all are
    /// accepted.
    ///
    /// # Panics
    ///
    /// Panics when `keys` is empty or a slot is over 15; the settings' check refuses such keys
    /// beforehand.
    pub fn new(keys: Vec<(u8, [u8; 32])>) -> Self {
        Self {
            ring: KeyRing::derive(KEY_CONTEXT, &keys, ""),
        }
    }

    /// Encodes and signs a ticket for the service of the given name.
    ///
    /// An epoch over [`EPOCH_MAX`] is encoded as [`EPOCH_MAX`].
    pub fn seal(&self, ticket: &Ticket, service_name: &str) -> [u8; TICKET_LEN] {
        let (slot, key) = self.ring.signing();
        let mut buf = [0; TICKET_LEN];
        buf[0] = VERSION << 4 | slot;
        if ticket.warm {
            buf[0] |= WARM;
        }
        buf[1..5].copy_from_slice(&ticket.service.to_be_bytes());
        buf[5..9].copy_from_slice(&ticket.upstream.to_be_bytes());
        buf[9..11].copy_from_slice(&ticket.upstream_incarnation.to_be_bytes());
        buf[11..13].copy_from_slice(&ticket.zone.to_be_bytes());
        buf[13..17].copy_from_slice(&ticket.owner.to_be_bytes());
        buf[17..21].copy_from_slice(&ticket.owner_incarnation.to_be_bytes());
        buf[21..25].copy_from_slice(&ticket.flow.to_be_bytes());
        buf[25..28].copy_from_slice(&ticket.epoch.min(EPOCH_MAX).to_be_bytes()[1..]);
        buf[28..30].copy_from_slice(&ticket.caller_tag.to_be_bytes());
        let mac = mac(key, &buf[..BODY_LEN], service_name);
        buf[BODY_LEN..].copy_from_slice(&mac);
        buf
    }

    /// Verifies and decodes a ticket that arrived at the address of the service of the given name.
    ///
    /// # Errors
    ///
    /// See [`TicketError`]; the service hash is compared before the MAC is checked.
    pub fn open(&self, buf: &[u8], service_name: &str) -> Result<Ticket, TicketError> {
        self.open_with_hash(buf, name_hash(service_name), service_name)
    }

    /// Like [`TicketKeys::open`], with the hash of the service's name precomputed by the caller.
    ///
    /// # Errors
    ///
    /// Those of [`TicketKeys::open`].
    pub fn open_with_hash(
        &self,
        buf: &[u8],
        service_hash: u32,
        service_name: &str,
    ) -> Result<Ticket, TicketError> {
        let buf: &[u8; TICKET_LEN] = buf.try_into().map_err(|_| TicketError::Length)?;
        if buf[0] & VERSION_MASK != VERSION << 4 {
            return Err(TicketError::Version);
        }
        let key = self
            .ring
            .accepted(buf[0] & 0x0f)
            .ok_or(TicketError::UnknownKey)?;
        let ticket = decode(buf);
        if ticket.service != service_hash {
            return Err(TicketError::ForeignService);
        }
        let mac = mac(key, &buf[..BODY_LEN], service_name);
        if !equal_in_constant_time(&mac, &buf[BODY_LEN..]) {
            return Err(TicketError::Forged);
        }
        Ok(ticket)
    }
}

fn decode(buf: &[u8; TICKET_LEN]) -> Ticket {
    let u16_at = |at: usize| u16::from_be_bytes([buf[at], buf[at + 1]]);
    let u32_at = |at: usize| u32::from_be_bytes([buf[at], buf[at + 1], buf[at + 2], buf[at + 3]]);
    Ticket {
        warm: buf[0] & WARM != 0,
        service: u32_at(1),
        upstream: u32_at(5),
        upstream_incarnation: u16_at(9),
        zone: u16_at(11),
        owner: u32_at(13),
        owner_incarnation: u32_at(17),
        flow: u32_at(21),
        epoch: u32::from_be_bytes([0, buf[25], buf[26], buf[27]]),
        caller_tag: u16_at(28),
    }
}

fn mac(key: &[u8; 32], body: &[u8], service_name: &str) -> [u8; MAC_LEN] {
    let mut hasher = Hasher::new_keyed(key);
    hasher.update(body);
    hasher.update(service_name.as_bytes());
    let mut mac = [0; MAC_LEN];
    mac.copy_from_slice(&hasher.finalize().as_bytes()[..MAC_LEN]);
    mac
}

/// Hash of a name (service, upstream or VM), the same in every process.
pub fn name_hash(name: &str) -> u32 {
    let hash = hash(name.as_bytes());
    let b = hash.as_bytes();
    u32::from_be_bytes([b[0], b[1], b[2], b[3]])
}

/// Hash of an availability zone's name, the same in every process.
pub fn zone_hash(name: &str) -> u16 {
    let hash = hash(name.as_bytes());
    let b = hash.as_bytes();
    u16::from_be_bytes([b[0], b[1]])
}

/// Tag of a caller's address and port, the same in every process; an IPv4-mapped address is treated
/// as IPv4.
pub fn caller_tag(caller: SocketAddr) -> u16 {
    let mut hasher = Hasher::new();
    match caller.ip().to_canonical() {
        IpAddr::V4(ip) => hasher.update(&ip.octets()),
        IpAddr::V6(ip) => hasher.update(&ip.octets()),
    };
    hasher.update(&caller.port().to_be_bytes());
    let hash = hasher.finalize();
    let b = hash.as_bytes();
    u16::from_be_bytes([b[0], b[1]])
}
