//! Client of the admin interface of a daemon.

use foxtailhinge_config::{
    packet_report::PacketStatus,
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
    net::SocketAddr,
    time::Duration, //
};
use thiserror::Error;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const TIMEOUT: Duration = Duration::from_secs(10);
/// Largest response that is read, in bytes.
const RESPONSE_BYTES: u64 = 64 * 1024 * 1024;

/// Why a daemon gave no report.
#[derive(Debug, Error)]
pub(crate) enum AdminError {
    /// It cannot be reached.
    #[error(
        "Start the daemon or name its admin address with --admin; {admin} gave no answer: {cause}."
    )]
    Unreachable {
        /// Address that was asked.
        admin: SocketAddr,
        /// What failed.
        cause: String,
    },
    /// It refused the question.
    #[error("{admin}: {message}")]
    Refused {
        /// Address that was asked.
        admin: SocketAddr,
        /// What to ask instead.
        message: String,
    },
    /// Its answer cannot be read.
    #[error("Use the foxtailctl of the daemon's version; the answer of {admin} cannot be read: {cause}.")]
    Unreadable {
        /// Address that was asked.
        admin: SocketAddr,
        /// What failed.
        cause: String,
    },
}

/// Client of one daemon.
pub(crate) struct AdminClient {
    admin: SocketAddr,
    agent: ureq::Agent,
}

impl AdminClient {
    /// Makes a client; nothing is sent yet.
    pub(crate) fn new(admin: SocketAddr) -> Self {
        let agent = ureq::AgentBuilder::new()
            .timeout_connect(CONNECT_TIMEOUT)
            .timeout(TIMEOUT)
            .redirects(0)
            .build();
        Self { admin, agent }
    }

    /// Asks for everything that the daemon knows.
    ///
    /// # Errors
    ///
    /// See [`AdminError`], as for the other questions.
    pub(crate) fn status(&self) -> Result<Status, AdminError> {
        self.get("/status", &[])
    }

    /// Asks a daemon that forwards packets for everything that it knows.
    pub(crate) fn view(&self) -> Result<PacketStatus, AdminError> {
        self.get("/status", &[])
    }

    /// Asks for a part of the audit trail.
    pub(crate) fn audit(&self, since: u64, service: Option<&str>) -> Result<AuditPage, AdminError> {
        let since = since.to_string();
        let mut query = vec![("since", since.as_str())];
        query.extend(service.map(|service| ("service", service)));
        self.get("/audit", &query)
    }

    /// Asks where a flow goes.
    pub(crate) fn explain(
        &self,
        service: &str,
        ticket: Option<&str>,
    ) -> Result<Explanation, AdminError> {
        let mut query = vec![("service", service)];
        query.extend(ticket.map(|ticket| ("ticket", ticket)));
        self.get("/explain", &query)
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
        let response = req.call().map_err(|e| self.failure(e))?;
        let body = response.into_reader().take(RESPONSE_BYTES);
        serde_json::from_reader(body).map_err(|e| AdminError::Unreadable {
            admin,
            cause: e.to_string(),
        })
    }

    fn failure(&self, e: ureq::Error) -> AdminError {
        let admin = self.admin;
        match e {
            ureq::Error::Status(code, response) => AdminError::Refused {
                admin,
                message: refusal(code, response),
            },
            ureq::Error::Transport(transport) => AdminError::Unreachable {
                admin,
                cause: cause(&transport),
            },
        }
    }
}

fn refusal(code: u16, response: ureq::Response) -> String {
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
