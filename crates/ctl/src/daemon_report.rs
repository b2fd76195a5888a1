//! What daemons answered.

use crate::{
    admin::AdminError,
    error::Outcome,
    output::print_json, //
};
use serde::Serialize;
use std::net::SocketAddr;

/// Answers of several daemons.
#[derive(Serialize)]
pub(crate) struct Report<S> {
    pub(crate) daemons: Vec<DaemonReport<S>>,
}

/// Answer of one daemon, or why there is none.
#[derive(Serialize)]
pub(crate) struct DaemonReport<S> {
    pub(crate) admin: SocketAddr,
    pub(crate) status: Option<S>,
    pub(crate) error: Option<String>,
}

impl<S: Serialize> Report<S> {
    /// Prints it as JSON, or by `print_text`; there are findings when a daemon did not answer.
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
    /// What a daemon answered, as `keep` leaves it.
    pub(crate) fn new(
        admin: SocketAddr,
        answer: Result<S, AdminError>,
        keep: impl FnOnce(&mut S),
    ) -> Self {
        let (status, error) = match answer {
            Ok(mut status) => {
                keep(&mut status);
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
