//! Sealed envelopes between daemons.
//!
//! Layout, all integers big-endian: head 1 (version in the high 4 bits, key slot in the low 4),
//! sender hash 4, sender incarnation 4, receiver hash 4, the `bincode` body, then 16 bytes of keyed
//! BLAKE3 over everything before them.

use crate::keys::{
    equal_in_constant_time,
    KeyRing, //
};
use bincode::{
    config,
    encode_into_std_write,
    error::DecodeError,
    Decode,
    Encode, //
};
use thiserror::Error;

const VERSION: u8 = 1;
const HEAD_LEN: usize = 13;
const MAC_LEN: usize = 16;
const KEY_CONTEXT: &str = "foxtailhinge 2026-12 peer envelope";

/// Bytes that an envelope adds to its message.
pub const ENVELOPE_OVERHEAD: usize = HEAD_LEN + MAC_LEN;

/// Longest envelope that is opened, in bytes.
pub const ENVELOPE_MAX: usize = 16 << 20;

/// Keys that seal and open envelopes within one fleet.
#[derive(Clone, Debug)]
pub struct PeerKeys {
    ring: KeyRing,
}

/// A message from an authenticated daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Opened<T> {
    /// Hash of the sender's VM id.
    pub from: u32,
    /// Incarnation of the sender.
    pub from_incarnation: u32,
    /// The decoded message.
    pub message: T,
}

/// Why an envelope was refused.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, Hash)]
pub enum EnvelopeError {
    /// It has fewer bytes than head and MAC need.
    #[error("The envelope is too short; send head, message and MAC.")]
    TooShort,
    /// The layout version is not known here.
    #[error("The envelope has an unknown version; update the older of both daemons.")]
    Version,
    /// The key slot is not among the accepted ones.
    #[error("The envelope names a key slot that is not accepted; add this key to the settings.")]
    UnknownKey,
    /// The MAC does not match: another secret, another fleet or changed bytes.
    #[error("The envelope is not authentic; give both daemons the same fleet name and secret.")]
    WrongKey,
    /// It was sealed for another daemon.
    #[error("The envelope is for another daemon; correct the peer's address of this daemon.")]
    WrongReceiver,
    /// An authentic body does not decode as the expected message.
    #[error("The envelope's message does not decode; run the same version on both daemons.")]
    Garbled,
}

impl PeerKeys {
    /// Takes the fleet's name and keys as pairs of slot (0 to 15) and secret: the first one signs,
    /// all are accepted.
    ///
    /// # Panics
    ///
    /// Panics when `keys` is empty or a slot is over 15; settings with such keys are refused
    /// before.
    pub fn new(fleet: &str, keys: Vec<(u8, [u8; 32])>) -> Self {
        Self {
            ring: KeyRing::derive(KEY_CONTEXT, &keys, fleet),
        }
    }

    /// Seals a message from one daemon to another, both named by the hashes of their VM ids.
    pub fn seal<T: Encode>(
        &self,
        from: u32,
        from_incarnation: u32,
        to: u32,
        message: &T,
    ) -> Vec<u8> {
        let (slot, key) = self.ring.signing();
        let mut buf = Vec::with_capacity(256);
        buf.push(VERSION << 4 | slot);
        buf.extend_from_slice(&from.to_be_bytes());
        buf.extend_from_slice(&from_incarnation.to_be_bytes());
        buf.extend_from_slice(&to.to_be_bytes());
        encode_into_std_write(message, &mut buf, config::standard())
            .expect("messages encode into memory without errors");
        let mac = mac(key, &buf);
        buf.extend_from_slice(&mac);
        buf
    }

    /// Opens an envelope at the daemon whose VM id has the hash `me`; nothing is decoded before the
    /// MAC was checked.
    ///
    /// # Errors
    ///
    /// See [`EnvelopeError`].
    pub fn open<T: Decode<()>>(&self, me: u32, buf: &[u8]) -> Result<Opened<T>, EnvelopeError> {
        if buf.len() < ENVELOPE_OVERHEAD {
            return Err(EnvelopeError::TooShort);
        }
        if buf[0] >> 4 != VERSION {
            return Err(EnvelopeError::Version);
        }
        let key = self
            .ring
            .accepted(buf[0] & 0x0f)
            .ok_or(EnvelopeError::UnknownKey)?;
        let (sealed, tag) = buf.split_at(buf.len() - MAC_LEN);
        if !equal_in_constant_time(&mac(key, sealed), tag) {
            return Err(EnvelopeError::WrongKey);
        }
        let u32_at =
            |at: usize| u32::from_be_bytes([buf[at], buf[at + 1], buf[at + 2], buf[at + 3]]);
        if u32_at(9) != me {
            return Err(EnvelopeError::WrongReceiver);
        }
        let message = decode(&sealed[HEAD_LEN..]).map_err(|_| EnvelopeError::Garbled)?;
        Ok(Opened {
            from: u32_at(1),
            from_incarnation: u32_at(5),
            message,
        })
    }
}

fn mac(key: &[u8; 32], sealed: &[u8]) -> [u8; MAC_LEN] {
    let hash = blake3::keyed_hash(key, sealed);
    let mut mac = [0; MAC_LEN];
    mac.copy_from_slice(&hash.as_bytes()[..MAC_LEN]);
    mac
}

/// Decodes a body with a limit that follows its length, so that a length field cannot ask for much
/// more memory.
///
/// Typed lists take more room in memory than on the wire, those of short names about six times; hence the
/// factor of eight to sixteen.
fn decode<T: Decode<()>>(body: &[u8]) -> Result<T, DecodeError> {
    match body.len() {
        0x0..=0x80 => decode_within::<T, 0x400>(body),
        0x81..=0x100 => decode_within::<T, 0x800>(body),
        0x101..=0x200 => decode_within::<T, 0x1000>(body),
        0x201..=0x400 => decode_within::<T, 0x2000>(body),
        0x401..=0x800 => decode_within::<T, 0x4000>(body),
        0x801..=0x1000 => decode_within::<T, 0x8000>(body),
        0x1001..=0x2000 => decode_within::<T, 0x10000>(body),
        0x2001..=0x4000 => decode_within::<T, 0x20000>(body),
        0x4001..=0x8000 => decode_within::<T, 0x40000>(body),
        0x8001..=0x10000 => decode_within::<T, 0x80000>(body),
        0x10001..=0x20000 => decode_within::<T, 0x100000>(body),
        0x20001..=0x40000 => decode_within::<T, 0x200000>(body),
        0x40001..=0x80000 => decode_within::<T, 0x400000>(body),
        0x80001..=0x100000 => decode_within::<T, 0x800000>(body),
        0x100001..=0x200000 => decode_within::<T, 0x1000000>(body),
        0x200001..=0x400000 => decode_within::<T, 0x2000000>(body),
        0x400001..=0x800000 => decode_within::<T, 0x4000000>(body),
        0x80_0001..=ENVELOPE_MAX => decode_within::<T, { 8 * ENVELOPE_MAX }>(body),
        _ => Err(DecodeError::LimitExceeded),
    }
}

fn decode_within<T: Decode<()>, const LIMIT: usize>(body: &[u8]) -> Result<T, DecodeError> {
    let cfg = config::standard().with_limit::<LIMIT>();
    let (message, len) = bincode::decode_from_slice(body, cfg)?;
    if len != body.len() {
        return Err(DecodeError::Other("bytes are left over"));
    }
    Ok(message)
}
