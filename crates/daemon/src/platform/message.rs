//! Answers of the platform.

use serde::Deserialize;
use std::{
    net::SocketAddr,
    rc::Rc, //
};

/// All documents, or those changed since a revision.
#[derive(Clone, Debug, Deserialize)]
pub struct DocumentList {
    /// Revision of the list.
    pub revision: u64,
    /// Documents.
    pub documents: Vec<PlatformDocument>,
}

/// One document.
#[derive(Clone, Debug, Deserialize)]
pub struct PlatformDocument {
    /// Name of the service.
    pub service: String,
    /// Revision of the document.
    pub revision: u64,
    /// Whether the document was removed.
    #[serde(default)]
    pub removed: bool,
    /// Text, absent when removed.
    pub text: Option<String>,
}

/// All VMs.
#[derive(Clone, Debug, Deserialize)]
pub struct VmList {
    /// Revision of the list.
    pub revision: u64,
    /// VMs.
    pub vms: Vec<PlatformVm>,
}

/// One VM.
#[derive(Clone, Debug, Deserialize)]
pub struct PlatformVm {
    /// VM id.
    pub id: Rc<str>,
    /// Availability zone.
    pub zone: Rc<str>,
    /// State as the platform sees it.
    pub state: VmState,
    /// UDP address of the relay.
    pub relay: SocketAddr,
    /// TCP address of the control links.
    pub control: SocketAddr,
}

/// State of a VM as the platform sees it, which lags.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// Running.
    Live,
    /// About to be stopped.
    Leaving,
}
