//! How a daemon holds an upstream.

use crate::exchange::upstream::Upstream;
use foxtailhinge_wire::message::RelayMessage;
use std::rc::Rc;

/// Requests held while an upstream is claimed from its former owner.
const HELD_MAX: usize = 256;

/// How this daemon holds an upstream.
#[derive(Debug)]
pub enum Ownership {
    /// It owns it.
    Held(Rc<Upstream>),
    /// It has asked the former owner for it; requests that arrived since then wait.
    Claiming(Vec<RelayMessage>),
}

impl Ownership {
    /// Keeps a message until the claim has ended; false when the upstream is held already or too many wait.
    pub fn buffer(&mut self, msg: RelayMessage) -> bool {
        match self {
            Ownership::Claiming(waiting) if waiting.len() < HELD_MAX => {
                waiting.push(msg);
                true
            }
            Ownership::Claiming(_) | Ownership::Held(_) => false,
        }
    }
}
