//! Entry point of the daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    foxtailhinge::command::run(std::env::args().skip(1))
}
