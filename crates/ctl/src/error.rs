//! Outcomes, usage errors and exit codes.

use std::{
    io,
    path::PathBuf,
    process::ExitCode, //
};
use thiserror::Error;

/// Exit code for findings and failures.
const EXIT_FAILURE: u8 = 1;
/// Exit code for a command line that cannot be carried out as written.
pub(crate) const EXIT_USAGE: u8 = 2;

/// Outcome of a command that ran to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The command found nothing wrong.
    Success,
    /// The command found something to fix.
    Findings,
}

impl From<Outcome> for ExitCode {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Success => Self::SUCCESS,
            Outcome::Findings => Self::from(EXIT_FAILURE),
        }
    }
}

/// A command line that cannot be carried out as written.
#[derive(Debug, Error)]
pub(crate) enum UsageError {
    /// A file cannot be read.
    #[error("Name a file that can be read; {} cannot: {}.", .0.display(), .1)]
    File(PathBuf, io::Error),
    /// A caller of packet mode has no tickets.
    #[error(
        "Give --caller for a daemon that forwards packets or --ticket for another one, not both."
    )]
    CallerAndTicket,
    /// A URL does not have the form `coap://IP:PORT/PATH`.
    #[error("Write a URL such as coap://10.20.0.1:5601/clearances instead of \"{0}\".")]
    Url(String),
    /// A ticket has the wrong length or is not hexadecimal.
    #[error("Write the ticket as 80 hexadecimal digits.")]
    Ticket,
}

/// Returns the exit code for the error of a command.
pub(crate) fn exit_code(e: &anyhow::Error) -> ExitCode {
    match e.downcast_ref::<UsageError>() {
        Some(_) => ExitCode::from(EXIT_USAGE),
        None => ExitCode::from(EXIT_FAILURE),
    }
}
