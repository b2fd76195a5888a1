//! Outcomes of requests.

use crate::upstream::body::Headline;
use coap_lite::ResponseType;
use std::time::Duration;

/// A complete answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Response code of the first block.
    pub code: ResponseType,
    /// Payload of all blocks together.
    pub payload: Vec<u8>,
    /// Number of blocks, one for an answer without the Block2 option.
    pub blocks: u32,
    /// Time from the first packet sent to the last block received.
    pub took: Duration,
}

impl Answer {
    /// Parses the headline, which names the upstream and the request.
    pub fn headline(&self) -> Option<Headline> {
        Headline::parse(&self.payload)
    }

    /// Returns the name of the upstream that answered.
    pub fn upstream(&self) -> Option<String> {
        self.headline().map(|line| line.upstream)
    }
}

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The complete answer arrived.
    Answered(Answer),
    /// The request was not executed (5.03).
    NotRun {
        /// Delay before the request may be sent again, from Max-Age.
        retry_after: Duration,
    },
    /// The request may or may not have been executed (5.04).
    Unknown,
    /// The flow was retired (4.01 without a ticket); the next request opens a new one.
    FlowRetired,
    /// No answer arrived in time.
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

    /// Returns the name of the outcome, as samples and reports show it.
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
