//! Command-line options.

use bpaf::Bpaf;
use std::path::PathBuf;

/// Serves as one daemon of the foxtailhinge fleet.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Settings of this daemon, JSON with comments
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
    /// Check the settings and exit
    pub check: bool,
}
