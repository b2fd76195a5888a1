//! Errors that end the daemon.

use foxtailhinge_config::finding::Findings;
use std::{
    io,
    net::SocketAddr,
    path::PathBuf, //
};

/// Why the daemon could not start or had to end.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings file could not be read.
    #[error("The settings file {} could not be read ({source}). Check the path and its permissions.", path.display())]
    SettingsUnreadable {
        /// Path given on the command line.
        path: PathBuf,
        /// Cause given by the operating system.
        source: io::Error,
    },
    /// The settings are invalid.
    #[error("{0}")]
    Findings(#[from] Findings),
    /// A socket could not be bound.
    #[error("The {role} address {addr} could not be bound ({source}). Choose a free address of this VM in the settings.")]
    Bind {
        /// Purpose of the address, such as "relay".
        role: &'static str,
        /// The address from the settings.
        addr: SocketAddr,
        /// Cause given by the operating system.
        source: io::Error,
    },
    /// The runtime could not be built.
    #[error("The runtime could not be started ({0}). Check the limit of open files.")]
    Runtime(io::Error),
    /// Tasks failed too often, or another part could not be started.
    #[error("The daemon cannot continue: {0:#}.")]
    Failed(#[from] anyhow::Error),
}

impl Error {
    /// Exit code of the process: 2 for bad input, else 1.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::SettingsUnreadable { .. } | Error::Findings(_) => 2,
            Error::Bind { .. } | Error::Runtime(_) | Error::Failed(_) => 1,
        }
    }
}
