//! Query strings of the admin interface.

use crate::{
    admin::{
        AdmissionQuery,
        AdmissionTarget,
        ExplainQuery, //
    },
    audit::AuditQuery, //
};
use std::str::FromStr;
use thiserror::Error;

/// Why a query string was refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(super) enum QueryError {
    #[error("Remove the parameter \"{0}\"; this path does not take it.")]
    Unknown(String),
    #[error("Write the parameter \"{0}\" once.")]
    Twice(String),
    #[error("Write the parameter \"{0}\" as a whole number.")]
    Number(&'static str),
    #[error("Write the parameter \"ticket\" as pairs of hexadecimal digits.")]
    Ticket,
    #[error("Add the parameter \"{0}\".")]
    Missing(&'static str),
    #[error("Write the parameter \"caller\" as an IPv4 address.")]
    Caller,
    #[error("Write the parameter \"route\" as an IPv4 address with a port.")]
    Route,
    #[error("Write one of the parameters \"service\" and \"route\".")]
    Target,
}

/// Parses the query string of `/audit`.
pub(super) fn audit(query: &str) -> Result<AuditQuery, QueryError> {
    let [since, service, max] = parameters(query, ["since", "service", "max"])?;
    Ok(AuditQuery {
        since: number("since", since)?.unwrap_or(0),
        service: service.map(str::to_string),
        max: number("max", max)?,
    })
}

/// Parses the query string of `/explain`.
pub(super) fn explain(query: &str) -> Result<ExplainQuery, QueryError> {
    let [service, ticket] = parameters(query, ["service", "ticket"])?;
    Ok(ExplainQuery {
        service: service.ok_or(QueryError::Missing("service"))?.to_string(),
        ticket: ticket.map(bytes).transpose()?,
    })
}

/// Parses the query string of `/explain` of a daemon that forwards packets.
pub(super) fn admission(query: &str) -> Result<AdmissionQuery, QueryError> {
    let [caller, service, route] = parameters(query, ["caller", "service", "route"])?;
    let caller = caller.ok_or(QueryError::Missing("caller"))?;
    let target = match (service, route) {
        (Some(service), None) => AdmissionTarget::Service(service.to_string()),
        (None, Some(route)) => {
            // The form encoding of HTTP clients writes the colon before the port as %3A.
            let route = route.replace("%3A", ":");
            AdmissionTarget::Route(route.parse().map_err(|_| QueryError::Route)?)
        }
        _ => return Err(QueryError::Target),
    };
    Ok(AdmissionQuery {
        caller: caller.parse().map_err(|_| QueryError::Caller)?,
        target,
    })
}

/// Checks that there are no parameters.
pub(super) fn none(query: &str) -> Result<(), QueryError> {
    parameters(query, []).map(|[]| ())
}

/// Returns the values of the parameters `names`; refuses unknown and repeated ones.
fn parameters<'q, const N: usize>(
    query: &'q str,
    names: [&str; N],
) -> Result<[Option<&'q str>; N], QueryError> {
    let mut found = [None; N];
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let place = names.iter().position(|n| *n == name);
        let place = place.ok_or_else(|| QueryError::Unknown(name.to_string()))?;
        if found[place].replace(value).is_some() {
            return Err(QueryError::Twice(name.to_string()));
        }
    }
    Ok(found)
}

fn number<T: FromStr>(name: &'static str, value: Option<&str>) -> Result<Option<T>, QueryError> {
    let number = value.map(str::parse).transpose();
    number.map_err(|_| QueryError::Number(name))
}

fn bytes(hex: &str) -> Result<Vec<u8>, QueryError> {
    if hex.is_empty() || !hex.len().is_multiple_of(2) || !hex.bytes().all(|b| b.is_ascii_hexdigit())
    {
        return Err(QueryError::Ticket);
    }
    let pairs = (0..hex.len()).step_by(2).map(|at| &hex[at..at + 2]);
    let parsed = pairs.map(|pair| u8::from_str_radix(pair, 16));
    parsed
        .collect::<Result<_, _>>()
        .map_err(|_| QueryError::Ticket)
}
