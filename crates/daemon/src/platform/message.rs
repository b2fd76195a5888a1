//! Answers of the platform.

use serde::{
    de::DeserializeOwned,
    Deserialize,
    Deserializer, //
};
use serde_json::value::RawValue;
use std::{
    net::SocketAddr,
    rc::Rc, //
};

/// The entries of a list, each parsed by itself, so that one that cannot be parsed does not affect the others.
#[derive(Clone, Debug)]
pub struct Entries<T> {
    /// Entries that were parsed.
    pub usable: Vec<T>,
    /// Entries that could not be parsed.
    pub refused: Vec<RefusedEntry>,
}

/// An entry that could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedEntry {
    /// Position in the list, from zero.
    pub index: usize,
    /// Why the entry could not be parsed.
    pub cause: String,
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Entries<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let mut entries = Self {
            usable: Vec::new(),
            refused: Vec::new(),
        };
        let raw = Vec::<Box<RawValue>>::deserialize(deserializer)?;
        for (index, raw) in raw.iter().enumerate() {
            match serde_json::from_str(raw.get()) {
                Ok(entry) => entries.usable.push(entry),
                Err(err) => entries.refused.push(RefusedEntry {
                    index,
                    cause: err.to_string(),
                }),
            }
        }
        Ok(entries)
    }
}

/// All documents, or those changed since a revision.
#[derive(Clone, Debug, Deserialize)]
pub struct DocumentList {
    /// Number of the platform's era, which rises when the platform is restored from a copy; 0 if it names none.
    #[serde(default)]
    pub era: u64,
    /// Highest revision that the list covers.
    pub revision: u64,
    /// Documents, removed ones included.
    pub documents: Entries<PlatformDocument>,
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
    pub vms: Entries<PlatformVm>,
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
