//! What came of one seed.

use std::{
    fmt,
    path::PathBuf, //
};

/// What came of one seed.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// The seed.
    pub seed: u64,
    /// The faults, a line each.
    pub faults: Vec<String>,
    /// Promises that were broken, a line each.
    pub violations: Vec<String>,
    /// Requests that were asked and answered.
    pub requests: [usize; 2],
    /// Where the daemons' logs were kept.
    pub logs: Option<PathBuf>,
}

impl Verdict {
    /// Whether all promises were kept.
    pub fn passed(&self) -> bool {
        self.violations.is_empty()
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [asked, answered] = self.requests;
        let (seed, faults) = (self.seed, self.faults.len());
        write!(
            f,
            "seed {seed}: {faults} faults, {answered} of {asked} requests answered"
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
