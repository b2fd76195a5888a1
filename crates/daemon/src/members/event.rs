//! Changes of the control state that other modules react to.

use foxtailhinge_config::document::ServiceDocument;
use foxtailhinge_policy::{
    members::Change,
    pause::Pause, //
};
use std::{
    fmt,
    rc::Rc, //
};

/// Where a document came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's configuration service.
    Platform,
    /// The peer with this VM id.
    Peer(Rc<str>),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform => f.write_str("platform"),
            Self::Peer(vm) => f.write_str(vm),
        }
    }
}

/// A change of the control state.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// A document came into force, or its service was removed if `new` is `None`.
    Document {
        /// Name of the service.
        service: Rc<str>,
        /// Revision now in force.
        revision: u64,
        /// Document in force before.
        old: Option<Rc<ServiceDocument>>,
        /// Document in force now.
        new: Option<Rc<ServiceDocument>>,
        /// Source of the document.
        source: Source,
    },
    /// A document with findings was refused; the last valid one stays in force.
    Refused {
        /// Name of the service.
        service: Rc<str>,
        /// Revision of the refused document.
        revision: u64,
        /// Findings, each a sentence with its position in the document.
        findings: Vec<String>,
        /// Source of the document.
        source: Source,
    },
    /// The record of a member changed.
    Member(Change),
    /// The process did not run for a while; its upstreams may have a new owner.
    Paused(Pause),
    /// This daemon has synced and accepts new work again.
    Synced,
}
