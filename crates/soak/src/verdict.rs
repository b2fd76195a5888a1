//! Result of one seed.

use std::{
    fmt,
    path::PathBuf, //
};

/// Result of one seed.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// Seed from which the faults were drawn.
    pub seed: u64,
    /// Faults in the order of their starts, one a line.
    pub faults: Vec<String>,
    /// Broken promises, one a line.
    pub violations: Vec<String>,
    /// Numbers of requests that were sent and that were answered.
    pub requests: [usize; 2],
    /// Directory of the daemons' logs, which are kept if a promise was broken.
    pub logs: Option<PathBuf>,
}

impl Verdict {
    /// Whether no promise was broken.
    pub fn passed(&self) -> bool {
        self.violations.is_empty()
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [sent, answered] = self.requests;
        let (seed, faults) = (self.seed, self.faults.len());
        write!(
            f,
            "seed {seed}: {faults} faults, {answered} of {sent} requests answered"
        )?;
        if self.passed() {
            return Ok(());
        }
        for line in &self.violations {
            write!(f, "\n  BROKEN: {line}")?;
        }
        for line in &self.faults {
            write!(f, "\n  {line}")?;
        }
        match &self.logs {
            Some(path) => write!(f, "\n  logs: {}", path.display()),
            None => Ok(()),
        }
    }
}
