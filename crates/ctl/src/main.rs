//! Operator command line of foxtailhinge.

mod admin;
mod audit;
mod caller;
mod check;
mod cli;
mod completion;
mod daemon_report;
mod daemon_view;
mod error;
mod explain;
mod explain_admission;
mod fleet_view;
mod output;
mod packet_load;
mod request;
mod rows;
mod run;
mod status;
mod table;
mod time;
mod view;

use std::process::ExitCode;

fn main() -> ExitCode {
    restore_default_sigpipe();
    let command = match cli::parse() {
        Ok(command) => command,
        Err(code) => return code,
    };
    match run::run(command) {
        Ok(outcome) => outcome.into(),
        Err(e) => {
            eprintln!("{}: {e:#}", cli::PROGRAM);
            error::exit_code(&e)
        }
    }
}

/// Restores the default action of SIGPIPE: the program ends without an error message when the reader of its output
/// does, as in `foxtailctl status | head`.
fn restore_default_sigpipe() {
    // SAFETY: no thread has been started and the default action runs no code of this program.
    unsafe {
        libc::signal(libc::SIGPIPE, libc::SIG_DFL);
    }
}
