//! Versions of the store's contents.

use std::fmt;

/// A point in the history of the store, ordered by era and then by revision.
///
/// A store that was restored from a copy begins a new era, in which it assigns revisions again that it had assigned
/// before. Revisions are therefore only comparable within one era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Version {
    /// Number of the era; 0 for a store that names none.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}

impl Version {
    /// Creates a version.
    pub fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }
}

/// A revision of a store that names no era.
impl From<u64> for Version {
    fn from(revision: u64) -> Self {
        Self { era: 0, revision }
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(f, "{}", self.revision),
            era => write!(f, "{era}:{}", self.revision),
        }
    }
}
