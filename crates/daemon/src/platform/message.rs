//! Answers of the platform.

use serde::Deserialize;
use std::{
    net::SocketAddr,
    rc::Rc, //
};

/// All documents, or those changed since a revision.
#[derive(Clone, Debug, Deserialize)]
pub struct DocumentList {
    /// Number of the platform's era, which rises when the platform is restored from a copy; 0 if it names none.
    #[serde(default)]
    pub era: u64,
    /// Highest revision that the list covers.
    pub revision: u64,
    /// Documents, removed ones included.
    pub documents: Vec<PlatformDocument>,
}

/// A service document as the platform stores it.
#[derive(Clone, Debug, Deserialize)]
pub struct PlatformDocument {
    /// Name of the service.
    pub service: String,
    /// Era in which the document last changed.
    #[serde(default)]
    pub era: u64,
    /// Revision at which the document last changed.
    pub revision: u64,
    /// Whether the document was removed.
    #[serde(default)]
    pub removed: bool,
    /// Text of the document; absent when it was removed.
    pub text: Option<String>,
}

/// All VMs of the platform's VM list.
#[derive(Clone, Debug, Deserialize)]
pub struct VmList {
    /// Number of the platform's era.
    #[serde(default)]
    pub era: u64,
    /// Revision at which the list last changed.
    pub revision: u64,
    /// Entries of the list.
    pub vms: Vec<PlatformVm>,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, Deserialize)]
pub struct PlatformVm {
    /// Id of the VM.
    pub id: Rc<str>,
    /// Availability zone in which the VM runs.
    pub zone: Rc<str>,
    /// State as last reported by the platform.
    pub state: VmState,
    /// UDP address of the relay.
    pub relay: SocketAddr,
    /// TCP address of the control links.
    pub control: SocketAddr,
}

/// State of a VM in the platform's list, which lags behind the VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM will be stopped soon.
    Leaving,
}
