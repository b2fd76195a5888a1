//! Ownership of an upstream by this daemon.

use crate::exchange::upstream::Upstream;
use foxtailhinge_wire::message::RelayMessage;
use std::rc::Rc;

/// Maximum number of requests buffered while an upstream is claimed from its former owner.
const BUFFERED_MAX: usize = 256;

/// How this daemon holds an upstream.
#[derive(Debug)]
pub enum Ownership {
    /// This daemon owns and serves the upstream.
    Held(Rc<Upstream>),
    /// The former owner has been asked for the upstream; requests that arrive in the meantime are buffered.
    Claiming(Vec<RelayMessage>),
}

impl Ownership {
    /// Buffers a message until the claim has ended; false if the upstream is already held or the buffer is full.
    pub fn buffer(&mut self, msg: RelayMessage) -> bool {
        match self {
            Ownership::Claiming(waiting) if waiting.len() < BUFFERED_MAX => {
                waiting.push(msg);
                true
            }
            Ownership::Claiming(_) | Ownership::Held(_) => false,
        }
    }
}
