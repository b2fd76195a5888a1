//! The daemon's command: parses, runs and turns errors into exit codes.

use crate::{
    daemon,
    error::Error,
    options::{
        options,
        Options, //
    },
    packets,
};
use bpaf::Args;
use foxtailhinge_config::packet_settings::AnySettings;
use std::{
    fs,
    path::Path,
    process::ExitCode, //
};

/// Name of the program in its help.
const PROGRAM: &str = "foxtailhinge";

/// Exit code for a command line that cannot be used.
const EXIT_USAGE: u8 = 2;

/// Runs the daemon with the arguments after the program's name.
pub fn run(args: impl Iterator<Item = String>) -> ExitCode {
    let args: Vec<String> = args.collect();
    let args = Args::from(&args[..]).set_name(PROGRAM);
    match options().run_inner(args) {
        Ok(options) => match start(&options) {
            Ok(()) => ExitCode::SUCCESS,
            Err(err) => {
                eprintln!("{err}");
                ExitCode::from(err.exit_code())
            }
        },
        Err(failure) => {
            failure.print_message(100);
            match failure.exit_code() {
                0 => ExitCode::SUCCESS,
                _ => ExitCode::from(EXIT_USAGE),
            }
        }
    }
}

fn start(options: &Options) -> Result<(), Error> {
    let settings = read_settings(&options.settings)?;
    if options.check {
        println!("{}: good settings", options.settings.display());
        return Ok(());
    }
    match settings {
        AnySettings::Exchange(settings) => daemon::run(*settings),
        AnySettings::Packets(settings) => packets::daemon::run(settings),
    }
}

fn read_settings(path: &Path) -> Result<AnySettings, Error> {
    let bytes = fs::read(path).map_err(|source| Error::SettingsUnreadable {
        path: path.to_owned(),
        source,
    })?;
    Ok(AnySettings::parse_bytes(
        &path.display().to_string(),
        &bytes,
    )?)
}
