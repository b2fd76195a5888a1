//! Runs the command that was parsed.

use crate::{
    audit,
    check,
    cli::Command,
    completion,
    error::{
        Outcome,
        UsageError, //
    },
    explain,
    explain_admission,
    request,
    status,
    view, //
};

/// Runs a command.
///
/// # Errors
///
/// The message names the failure and what to do. A [`crate::error::UsageError`] leads to exit code 2, any other error
/// to exit code 1.
pub(crate) fn run(command: Command) -> anyhow::Result<Outcome> {
    match command {
        Command::Check { json, files } => check::run(&files, json),
        Command::Status {
            json,
            admin,
            service,
        } => status::run(&admin, service.as_deref(), json),
        Command::View {
            json,
            admin,
            service,
        } => view::run(&admin, service.as_deref(), json),
        Command::Audit {
            json,
            admin,
            service,
            since,
            follow,
        } => audit::run(admin, service.as_deref(), since, follow, json),
        Command::Explain {
            json,
            admin,
            ticket,
            caller: None,
            service,
        } => explain::run(admin, &service, ticket.as_deref(), json),
        Command::Explain {
            json,
            admin,
            ticket: None,
            caller: Some(caller),
            service,
        } => explain_admission::run(admin, caller, &service, json),
        Command::Explain { .. } => Err(UsageError::CallerAndTicket.into()),
        Command::Request {
            json,
            settings,
            url,
        } => request::run(&url, &settings, json),
        Command::Completion { shell } => completion::run(shell),
    }
}
