//! `foxtailctl request`.

use crate::{
    caller::{
        Answer,
        Caller,
        Request, //
    },
    error::{
        Outcome,
        UsageError, //
    },
    output::print_json_line, //
};
use bpaf::Bpaf;
use foxtailhinge_wire::{
    coap::{
        Datagram,
        Method,
        Status, //
    },
    ticket::TICKET_LEN, //
};
use serde::Serialize;
use std::{
    fmt,
    net::SocketAddr,
    str::FromStr,
    time::Duration, //
};

const SCHEME: &str = "coap://";

/// How to send a request.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct RequestSettings {
    /// One of get, put, post and delete
    #[bpaf(argument("METHOD"), fallback(MethodName::Get), display_fallback)]
    pub(crate) method: MethodName,
    /// Payload of the request
    #[bpaf(argument("TEXT"), fallback(String::new()))]
    pub(crate) payload: String,
    /// Deadline of the request; by default the one in the document of the service
    #[bpaf(argument("N"))]
    pub(crate) deadline_ms: Option<u64>,
    /// Time to wait for an answer
    #[bpaf(argument("N"), fallback(10_000), display_fallback)]
    pub(crate) timeout_ms: u64,
    /// Ticket of the flow to continue; without it a new flow is opened
    #[bpaf(argument("HEX"))]
    pub(crate) ticket: Option<String>,
    /// Register for a feed and print its notifications
    pub(crate) observe: bool,
    /// Cancel the feed after this many notifications
    #[bpaf(argument("N"))]
    pub(crate) count: Option<u64>,
}

/// Name of a method on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MethodName {
    Get,
    Put,
    Post,
    Delete,
}

impl fmt::Display for MethodName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Get => "get",
            Self::Put => "put",
            Self::Post => "post",
            Self::Delete => "delete",
        })
    }
}

impl FromStr for MethodName {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "get" => Ok(Self::Get),
            "put" => Ok(Self::Put),
            "post" => Ok(Self::Post),
            "delete" => Ok(Self::Delete),
            _ => Err("write get, put, post or delete"),
        }
    }
}

impl From<MethodName> for Method {
    fn from(name: MethodName) -> Self {
        match name {
            MethodName::Get => Self::Get,
            MethodName::Put => Self::Put,
            MethodName::Post => Self::Post,
            MethodName::Delete => Self::Delete,
        }
    }
}

#[derive(Serialize)]
struct Report {
    status: String,
    meaning: Option<String>,
    payload: String,
    observe: Option<u32>,
    ticket: Option<String>,
}

/// Sends a request and prints its answer.
pub(crate) fn run(url: &str, settings: &RequestSettings, json: bool) -> anyhow::Result<Outcome> {
    let (service, path) = parse_url(url).ok_or_else(|| UsageError::Url(url.to_string()))?;
    let request = Request {
        method: settings.method.into(),
        path,
        payload: settings.payload.clone().into_bytes(),
        deadline: settings.deadline_ms.map(Duration::from_millis),
    };
    let timeout = Duration::from_millis(settings.timeout_ms);
    let ticket = settings.ticket.as_deref().map(parse_ticket).transpose()?;
    let mut caller = Caller::new(service, timeout, ticket)?;
    if settings.observe {
        return observe(&mut caller, &request, settings.count, json);
    }
    let answer = caller.call(&request)?;
    print(&answer, &caller, json)
}

fn observe(
    caller: &mut Caller,
    request: &Request,
    count: Option<u64>,
    json: bool,
) -> anyhow::Result<Outcome> {
    let (answer, mut feed) = caller.observe(request)?;
    let mut outcome = print(&answer, caller, json)?;
    let mut printed = 1;
    let registered = answer.first.observe().is_some();
    while registered && outcome == Outcome::Success && count.is_none_or(|count| printed < count) {
        let answer = caller.notification(request, &mut feed)?;
        outcome = print(&answer, caller, json)?;
        printed += 1;
    }
    if registered {
        caller.cancel(request, &feed)?;
    }
    Ok(outcome)
}

fn print(answer: &Answer, caller: &Caller, json: bool) -> anyhow::Result<Outcome> {
    let report = Report {
        status: status(&answer.first),
        meaning: meaning(&answer.first),
        payload: String::from_utf8_lossy(&answer.payload).into_owned(),
        observe: answer.first.observe(),
        ticket: caller.ticket().map(to_hex),
    };
    if json {
        print_json_line(&report)?;
    } else {
        print_text(&report);
    }
    Ok(match is_success(&answer.first) {
        true => Outcome::Success,
        false => Outcome::Findings,
    })
}

fn print_text(report: &Report) {
    match &report.meaning {
        Some(meaning) => println!("{}: {meaning}", report.status),
        None => println!("{}", report.status),
    }
    if !report.payload.is_empty() {
        println!("{}", report.payload.trim_end_matches('\n'));
    }
}

fn status(datagram: &Datagram) -> String {
    match datagram.status() {
        Some(status) => format!("{} {status:?}", datagram.code()),
        None => datagram.code().to_string(),
    }
}

fn meaning(datagram: &Datagram) -> Option<String> {
    let meaning = match datagram.status()? {
        Status::ServiceUnavailable => {
            let seconds = datagram.max_age().as_secs();
            format!("The request did not run; try again after {seconds} s.")
        }
        Status::GatewayTimeout => "The outcome is unknown; the request may have run.".to_string(),
        Status::Unauthorized => {
            "The flow was retired; send the request again without a ticket.".to_string()
        }
        _ => return None,
    };
    Some(meaning)
}

fn is_success(datagram: &Datagram) -> bool {
    datagram.code().to_string().starts_with("2.")
}

fn parse_url(url: &str) -> Option<(SocketAddr, String)> {
    let rest = url.strip_prefix(SCHEME)?;
    let (address, path) = match rest.split_once('/') {
        Some((address, path)) => (address, format!("/{path}")),
        None => (rest, "/".to_string()),
    };
    if path.contains(['?', '#']) {
        return None;
    }
    Some((address.parse().ok()?, path))
}

fn parse_ticket(hex: &str) -> Result<Vec<u8>, UsageError> {
    if hex.len() != 2 * TICKET_LEN || !hex.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(UsageError::Ticket);
    }
    let pairs = (0..hex.len()).step_by(2).map(|at| &hex[at..at + 2]);
    let bytes = pairs.map(|pair| u8::from_str_radix(pair, 16));
    bytes
        .collect::<Result<_, _>>()
        .map_err(|_| UsageError::Ticket)
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
