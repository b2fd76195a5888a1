//! HTTP client of a daemon's admin interface.

use foxtailhinge_config::{
    packet_report::{
        AdmissionReport,
        PacketStatus, //
    },
    report::{
        AuditPage,
        ErrorResponse,
        Explanation,
        Status, //
    },
};
use serde::de::DeserializeOwned;
use std::{
    io::Read,
    net::{
        Ipv4Addr,
        SocketAddr,
        SocketAddrV4, //
    },
    time::Duration, //
};
use thiserror::Error;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const TIMEOUT: Duration = Duration::from_secs(10);
/// Response bodies are read up to this many bytes.
const RESPONSE_BYTES_MAX: u64 = 64 * 1024 * 1024;

/// Error of a request to the admin interface.
#[derive(Debug, Error)]
pub(crate) enum AdminError {
    /// The connection failed or timed out.
    #[error(
        "Start the daemon or name its admin address with --admin; {admin} gave no answer: {cause}."
    )]
    Unreachable {
        /// Admin address of the daemon.
        admin: SocketAddr,
        /// Error of the transport.
        cause: String,
    },
    /// The daemon answered with an HTTP error status.
    #[error("{admin}: {message}")]
    Refused {
        /// Admin address of the daemon.
        admin: SocketAddr,
        /// Reason given by the daemon, with what to request instead.
        message: String,
    },
    /// The response body is not of the expected form, as from a daemon of another version.
    #[error("Use the foxtailctl of the daemon's version; the answer of {admin} cannot be read: {cause}.")]
    Unreadable {
        /// Admin address of the daemon.
        admin: SocketAddr,
        /// Error of the JSON parser.
        cause: String,
    },
}

/// Client of one daemon.
pub(crate) struct AdminClient {
    admin: SocketAddr,
    agent: ureq::Agent,
}

impl AdminClient {
    /// Creates a client without connecting to the daemon.
    pub(crate) fn new(admin: SocketAddr) -> Self {
        let agent = ureq::AgentBuilder::new()
            .timeout_connect(CONNECT_TIMEOUT)
            .timeout(TIMEOUT)
            .redirects(0)
            .build();
        Self { admin, agent }
    }

    /// Fetches the full status.
    ///
    /// # Errors
    ///
    /// Returns an [`AdminError`], as the other requests do.
    pub(crate) fn status(&self) -> Result<Status, AdminError> {
        self.get("/status", &[])
    }

    /// Fetches the status of a daemon that forwards packets.
    pub(crate) fn view(&self) -> Result<PacketStatus, AdminError> {
        self.get("/status", &[])
    }

    /// Fetches the audit records after the sequence number `since`.
    pub(crate) fn audit(&self, since: u64, service: Option<&str>) -> Result<AuditPage, AdminError> {
        let since = since.to_string();
        let mut query = vec![("since", since.as_str())];
        query.extend(service.map(|service| ("service", service)));
        self.get("/audit", &query)
    }

    /// Fetches the routing decision for a flow: the flow of `ticket`, or else a new one.
    pub(crate) fn explain(
        &self,
        service: &str,
        ticket: Option<&str>,
    ) -> Result<Explanation, AdminError> {
        let mut query = vec![("service", service)];
        query.extend(ticket.map(|ticket| ("ticket", ticket)));
        self.get("/explain", &query)
    }

    /// Fetches what a daemon that forwards packets would do with the openings of a caller to a service or a route.
    pub(crate) fn explain_admission(
        &self,
        caller: Ipv4Addr,
        target: &str,
    ) -> Result<AdmissionReport, AdminError> {
        let name = match target.parse::<SocketAddrV4>() {
            Ok(_) => "route",
            Err(_) => "service",
        };
        let caller = caller.to_string();
        self.get("/explain", &[("caller", &caller), (name, target)])
    }

    fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, &str)],
    ) -> Result<T, AdminError> {
        let admin = self.admin;
        let mut req = self.agent.get(&format!("http://{admin}{path}"));
        for (name, value) in query {
            req = req.query(name, value);
        }
        let response = req.call().map_err(|e| self.to_admin_error(e))?;
        let body = response.into_reader().take(RESPONSE_BYTES_MAX);
        serde_json::from_reader(body).map_err(|e| AdminError::Unreadable {
            admin,
            cause: e.to_string(),
        })
    }

    fn to_admin_error(&self, e: ureq::Error) -> AdminError {
        let admin = self.admin;
        match e {
            ureq::Error::Status(code, response) => AdminError::Refused {
                admin,
                message: error_message(code, response),
            },
            ureq::Error::Transport(transport) => AdminError::Unreachable {
                admin,
                cause: cause(&transport),
            },
        }
    }
}

fn error_message(code: u16, response: ureq::Response) -> String {
    let refusal: Result<ErrorResponse, _> = response.into_json();
    match refusal {
        Ok(refusal) => refusal.error,
        Err(_) => format!("The daemon answered with HTTP status {code} and no reason."),
    }
}

fn cause(transport: &ureq::Transport) -> String {
    let source = std::error::Error::source(transport);
    match source {
        Some(source) => source.to_string(),
        None => transport.kind().to_string(),
    }
}
