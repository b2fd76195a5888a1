//! What operators may ask of a daemon.

use crate::audit::AuditQuery;
use foxtailhinge_config::report::{
    AuditPage,
    Explanation,
    Faults,
    Status, //
};
use serde::Serialize;
use thiserror::Error;

/// What every daemon reports, whichever interface it serves.
pub trait Reports {
    /// Everything that it knows.
    type Status: Serialize;

    /// All metrics in the text format of Prometheus.
    fn metrics(&self) -> String;

    /// Everything that the daemon knows.
    fn status(&self) -> Self::Status;
}

impl<O: Operations> Reports for O {
    type Status = Status;

    fn metrics(&self) -> String {
        Operations::metrics(self)
    }

    fn status(&self) -> Status {
        Operations::status(self)
    }
}

/// What the admin interface needs of the daemon.
pub trait Operations {
    /// All metrics in the text format of Prometheus.
    fn metrics(&self) -> String;

    /// Everything the daemon knows about the fleet and its services.
    fn status(&self) -> Status;

    /// A part of the audit trail.
    fn audit(&self, query: &AuditQuery) -> AuditPage;

    /// Where a flow goes and why.
    fn explain(&self, query: &ExplainQuery) -> Result<Explanation, ExplainError>;

    /// Cuts a daemon under test off from peers.
    fn set_faults(&self, faults: Faults) -> Result<(), FaultsError>;
}

/// A flow to explain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExplainQuery {
    /// Name of the service.
    pub service: String,
    /// Bytes of the flow's ticket; a new flow has none.
    pub ticket: Option<Vec<u8>>,
}

/// Why a flow cannot be explained.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ExplainError {
    /// No document is in force.
    #[error("Name another service; \"{0}\" has no document in force here.")]
    UnknownService(String),
    /// The ticket was refused.
    #[error("Give the ticket as the service sent it; this one was refused because {0}.")]
    RefusedTicket(String),
}

/// Why faults cannot be set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FaultsError {
    /// The settings do not allow it.
    #[error("Set \"faults\" to true under \"testing\" in the settings and restart the daemon.")]
    NotEnabled,
}
