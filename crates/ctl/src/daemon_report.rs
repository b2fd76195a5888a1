//! Reports of several daemons, with the errors of those that cannot be queried.

use crate::{
    admin::AdminError,
    error::Outcome,
    output::print_json, //
};
use serde::Serialize;
use std::net::SocketAddr;

/// Results of a query to several daemons.
#[derive(Serialize)]
pub(crate) struct Report<S> {
    pub(crate) daemons: Vec<DaemonReport<S>>,
}

/// Status of one daemon, or the error of its query.
#[derive(Serialize)]
pub(crate) struct DaemonReport<S> {
    pub(crate) admin: SocketAddr,
    pub(crate) status: Option<S>,
    pub(crate) error: Option<String>,
}

impl<S: Serialize> Report<S> {
    /// Prints the report as JSON or with `print_text`. The outcome is [`Outcome::Findings`] if a query failed.
    pub(crate) fn print(&self, json: bool, print_text: fn(&Self)) -> anyhow::Result<Outcome> {
        match json {
            true => print_json(self)?,
            false => print_text(self),
        }
        let all_answered = self.daemons.iter().all(|d| d.error.is_none());
        Ok(match all_answered {
            true => Outcome::Success,
            false => Outcome::Findings,
        })
    }
}

impl<S> DaemonReport<S> {
    /// Creates the report of one daemon; `filter` removes what the user did not select.
    pub(crate) fn new(
        admin: SocketAddr,
        answer: Result<S, AdminError>,
        filter: impl FnOnce(&mut S),
    ) -> Self {
        let (status, error) = match answer {
            Ok(mut status) => {
                filter(&mut status);
                (Some(status), None)
            }
            Err(e) => (None, Some(e.to_string())),
        };
        Self {
            admin,
            status,
            error,
        }
    }
}
