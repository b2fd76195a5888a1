//! Findings with their position in a text.

use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    error::Error,
    fmt,
    slice,
    sync::Arc, //
};

/// One problem in a text, with its position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// File or document that was read.
    pub file: Arc<str>,
    /// Line, counted from 1.
    pub line: u32,
    /// Column in characters, counted from 1.
    pub column: u32,
    /// Instruction on what to write instead.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            line,
            column,
            message,
        } = self;
        write!(f, "{file}:{line}:{column}: {message}")
    }
}

/// All findings of one text, sorted by position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Collects findings and sorts them by position.
    pub fn new(mut findings: Vec<Finding>) -> Self {
        findings.sort_by_key(|f| (f.line, f.column));
        Self(findings)
    }

    /// Adds a note, at the position of the last finding, that `left_out` more are not listed.
    pub(crate) fn with_left_out(mut self, left_out: usize) -> Self {
        let Some(last) = self.0.last().filter(|_| left_out > 0) else {
            return self;
        };
        let message = format!("Correct these first; {left_out} more findings are not listed.");
        let note = Finding {
            message,
            ..last.clone()
        };
        self.0.push(note);
        self
    }

    /// Iterates over the findings in the order of their positions.
    pub fn iter(&self) -> slice::Iter<'_, Finding> {
        self.0.iter()
    }

    /// Number of findings.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl<'a> IntoIterator for &'a Findings {
    type Item = &'a Finding;
    type IntoIter = slice::Iter<'a, Finding>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl Error for Findings {}

/// How serious a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The text is refused, or has another meaning than it appears to have.
    Error,
    /// An entry has no effect, or two values do not fit together.
    Warning,
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Warning => "warning",
        })
    }
}

/// A finding with its severity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RatedFinding {
    /// How serious the finding is.
    pub severity: Severity,
    /// The finding.
    #[serde(flatten)]
    pub finding: Finding,
}

impl fmt::Display for RatedFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Finding {
            file,
            line,
            column,
            message,
        } = &self.finding;
        write!(f, "{file}:{line}:{column}: {}: {message}", self.severity)
    }
}

/// Result of reading a text that is not refused as a whole for a finding.
#[derive(Clone, Debug)]
pub struct Review<T> {
    /// What was read, as far as it could be.
    pub value: Option<T>,
    /// Findings for which the text must be corrected.
    pub errors: Findings,
    /// Findings that may be intended.
    pub warnings: Findings,
}

impl<T> Review<T> {
    /// A text of which nothing could be read.
    pub fn failed(errors: Findings) -> Self {
        Self {
            value: None,
            errors,
            warnings: Findings::default(),
        }
    }

    /// Errors and warnings, sorted by position.
    pub fn rated(&self) -> Vec<RatedFinding> {
        let rate = |severity, findings: &Findings| {
            let findings = findings.iter().cloned();
            let rated = findings.map(|finding| RatedFinding { severity, finding });
            rated.collect::<Vec<_>>()
        };
        let mut all = rate(Severity::Error, &self.errors);
        all.extend(rate(Severity::Warning, &self.warnings));
        all.sort_by_key(|f| (f.finding.line, f.finding.column));
        all
    }
}
