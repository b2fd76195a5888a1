//! Interface between the admin server and the daemon.

use crate::audit::AuditQuery;
use foxtailhinge_config::{
    packet_report::AdmissionReport,
    report::{
        AuditPage,
        Explanation,
        Faults,
        Status, //
    },
};
use serde::Serialize;
use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};
use thiserror::Error;

/// Reports that each kind of daemon offers.
pub trait Reports {
    /// Content of the status report.
    type Status: Serialize;

    /// All metrics in the text format of Prometheus.
    fn metrics(&self) -> String;

    /// The daemon's current state.
    fn status(&self) -> Self::Status;
}

/// Reports that only daemons that forward packets offer.
pub trait PacketReports: Reports {
    /// Explains what would become of a caller's next openings.
    fn explain_admission(&self, query: &AdmissionQuery) -> Result<AdmissionReport, AdmissionError>;
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

/// Requests that the whole admin interface answers.
pub trait Operations {
    /// All metrics in the text format of Prometheus.
    fn metrics(&self) -> String;

    /// The daemon's current state and its view of the fleet and the services.
    fn status(&self) -> Status;

    /// Audit records that match `query`.
    fn audit(&self, query: &AuditQuery) -> AuditPage;

    /// Explains which upstream a flow goes to and why.
    fn explain(&self, query: &ExplainQuery) -> Result<Explanation, ExplainError>;

    /// Blocks the traffic between a daemon under test and the given peers.
    fn set_faults(&self, faults: Faults) -> Result<(), FaultsError>;
}

/// A flow to explain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExplainQuery {
    /// Name of the service.
    pub service: String,
    /// Bytes of the flow's ticket; `None` for a new flow.
    pub ticket: Option<Vec<u8>>,
}

/// A caller whose next openings are to be explained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionQuery {
    /// Address of the caller's VM.
    pub caller: Ipv4Addr,
    /// Openings to explain.
    pub target: AdmissionTarget,
}

/// Openings to explain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionTarget {
    /// Those on all routes to the service of this name.
    Service(String),
    /// Those on the route at this address.
    Route(SocketAddrV4),
}

/// Why openings cannot be explained.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AdmissionError {
    /// No route leads to the service.
    #[error("Name another service; no route of the configuration in force here leads to \"{0}\".")]
    UnknownService(String),
    /// There is no such route.
    #[error("Name another route; the configuration in force here has none at {0}.")]
    UnknownRoute(SocketAddrV4),
}

/// Why a flow cannot be explained.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ExplainError {
    /// The service has no document in force.
    #[error("Name another service; \"{0}\" has no document in force here.")]
    UnknownService(String),
    /// The ticket is invalid.
    #[error("Give the ticket as the service sent it; this one was refused. {0}")]
    RefusedTicket(String),
}

/// Why faults cannot be set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FaultsError {
    /// The settings do not allow faults.
    #[error("Set \"faults\" to true under \"testing\" in the settings and restart the daemon.")]
    NotEnabled,
}
