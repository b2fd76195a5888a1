//! Command line: parses the arguments, runs the daemon and maps errors to exit codes.

use crate::{
    daemon,
    error::Error,
    options::{
        options,
        Options, //
    },
    packets::{
        self,
        daemon::SettingsFile, //
    },
};
use bpaf::Args;
use foxtailhinge_config::packet_settings::AnySettings;
use std::{
    fs,
    process::ExitCode, //
};

/// Program name in the help text.
const PROGRAM: &str = "foxtailhinge";

/// Exit code for an invalid command line.
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
    let path = &options.settings;
    let text = fs::read(path).map_err(|source| Error::SettingsUnreadable {
        path: path.clone(),
        source,
    })?;
    let settings = AnySettings::parse_bytes(&path.display().to_string(), &text)?;
    if options.check {
        println!("{}: good settings", path.display());
        return Ok(());
    }
    match settings {
        AnySettings::Exchange(settings) => daemon::run(*settings),
        AnySettings::Packets(settings) => packets::daemon::run(SettingsFile {
            path: path.clone(),
            text,
            settings: *settings,
        }),
    }
}
