//! What becomes of a request.

use crate::upstream::body::Headline;
use coap_lite::ResponseType;
use std::time::Duration;

/// A whole answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Its code.
    pub code: ResponseType,
    /// Its payload, put together from all blocks.
    pub payload: Vec<u8>,
    /// Number of blocks it came in.
    pub blocks: u32,
    /// Time from the first packet to the whole answer.
    pub took: Duration,
}

impl Answer {
    /// Reads who answered what.
    pub fn headline(&self) -> Option<Headline> {
        Headline::parse(&self.payload)
    }

    /// Returns the name of the upstream that answered.
    pub fn upstream(&self) -> Option<String> {
        self.headline().map(|line| line.upstream)
    }
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The whole answer came.
    Answered(Answer),
    /// The request was not run (5.03).
    NotRun {
        /// When to come back.
        retry_after: Duration,
    },
    /// The request may have run or not (5.04).
    Unknown,
    /// The flow was given up (4.01 without a ticket); the next request begins a new one.
    FlowRetired,
    /// No answer came in time.
    TimedOut,
}

impl Outcome {
    /// Returns the answer, if there is one.
    pub fn answer(self) -> Option<Answer> {
        match self {
            Outcome::Answered(answer) => Some(answer),
            _ => None,
        }
    }

    /// Returns a word that names the outcome.
    pub fn name(&self) -> &'static str {
        match self {
            Outcome::Answered(_) => "answered",
            Outcome::NotRun { .. } => "not run",
            Outcome::Unknown => "unknown",
            Outcome::FlowRetired => "given up",
            Outcome::TimedOut => "timed out",
        }
    }
}
