//! `foxtailctl request`.

use crate::error::Outcome;
use bpaf::Bpaf;

/// How to send a request.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct RequestSettings {
    /// Payload of the request
    #[bpaf(argument("TEXT"))]
    pub payload: Option<String>,
}

pub(crate) fn run(_: &str, _: &RequestSettings, _: bool) -> anyhow::Result<Outcome> {
    Ok(Outcome::Success)
}
