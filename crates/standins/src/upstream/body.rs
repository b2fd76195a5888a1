//! Bodies of the answers of an upstream stand-in.

use std::fmt::Write;

/// First line of an answer: which upstream answered which request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Headline {
    /// Service that answered.
    pub service: String,
    /// Upstream that answered.
    pub upstream: String,
    /// Method of the request.
    pub method: String,
    /// Path of the request.
    pub path: String,
    /// Number of requests that the upstream had run when it answered, from one; in a long answer, its version.
    pub run: u64,
    /// Id that the caller gave to its request; `-` in a long answer.
    pub id: String,
}

impl Headline {
    /// Parses the first line of an answer; returns `None` when it is malformed.
    pub fn parse(payload: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(payload).ok()?;
        let mut fields = text.lines().next()?.split(' ');
        let mut next_field = || fields.next().map(str::to_owned);
        Some(Headline {
            service: next_field()?,
            upstream: next_field()?,
            method: next_field()?,
            path: next_field()?,
            run: next_field()?.strip_prefix("run=")?.parse().ok()?,
            id: next_field()?.strip_prefix("id=")?.to_owned(),
        })
    }
}

impl std::fmt::Display for Headline {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Headline {
            service,
            upstream,
            method,
            path,
            run,
            id,
        } = self;
        write!(f, "{service} {upstream} {method} {path} run={run} id={id}")
    }
}

/// Returns the body of a long answer: `len` bytes, which differ between versions.
pub fn long_answer(service: &str, upstream: &str, path: &str, version: u64, len: usize) -> Vec<u8> {
    let headline = Headline {
        service: service.into(),
        upstream: upstream.into(),
        method: "GET".into(),
        path: path.into(),
        run: version,
        id: "-".into(),
    };
    let mut text = format!("{headline}\n");
    let mut line = 0;
    while text.len() < len {
        line += 1;
        // Writing to a string never fails.
        let _ = writeln!(text, "{upstream} version {version} line {line}");
    }
    text.truncate(len);
    text.into_bytes()
}

/// Returns whether all bytes of a long answer belong to the version that its first line names.
pub fn is_whole(payload: &[u8]) -> bool {
    let Some(line) = Headline::parse(payload) else {
        return false;
    };
    let expected = long_answer(
        &line.service,
        &line.upstream,
        &line.path,
        line.run,
        payload.len(),
    );
    payload == expected
}
