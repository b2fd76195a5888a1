//! `foxtailctl explain`.

use crate::{
    admin::AdminClient,
    error::Outcome,
    output::print_json,
    table::Table, //
};
use foxtailhinge_config::report::{
    Explanation,
    TicketReport, //
};
use std::{
    net::SocketAddr,
    sync::Arc, //
};

/// Prints which upstream a flow goes to, and why each other candidate was not chosen.
pub(crate) fn run(
    admin: SocketAddr,
    service: &str,
    ticket: Option<&str>,
    json: bool,
) -> anyhow::Result<Outcome> {
    let explanation = AdminClient::new(admin).explain(service, ticket)?;
    if json {
        print_json(&explanation)?;
    } else {
        print_text(&explanation);
    }
    Ok(Outcome::Success)
}

fn print_text(explanation: &Explanation) {
    println!("{}", summary(explanation));
    if let Some(ticket) = &explanation.ticket {
        println!("{}", describe_ticket(ticket));
    }
    let mut table = Table::new(["upstream", "zone", "owner", "reason"]);
    for candidate in &explanation.candidates {
        table.push([
            candidate.upstream.to_string(),
            candidate.zone.to_string(),
            or_dash(&candidate.owner),
            candidate.verdict.to_string(),
        ]);
    }
    print!("\n{table}");
}

fn summary(explanation: &Explanation) -> String {
    let service = &explanation.service;
    let flow = match explanation.ticket {
        Some(_) => "The flow of this ticket",
        None => "A new flow",
    };
    let Some(upstream) = &explanation.upstream else {
        return format!("{flow} of {service} goes to no upstream.");
    };
    match &explanation.owner {
        Some(owner) => format!("{flow} of {service} goes to {upstream}, owned by {owner}."),
        None => format!("{flow} of {service} goes to {upstream}, which has no live owner."),
    }
}

fn describe_ticket(ticket: &TicketReport) -> String {
    let TicketReport {
        upstream_incarnation,
        issuer,
        issuer_incarnation,
        flow,
        epoch,
    } = ticket;
    let issuer = issuer.as_deref().unwrap_or("a VM that is not a member");
    format!(
        "The ticket is for flow {flow} at epoch {epoch} and upstream incarnation \
         {upstream_incarnation}, issued by {issuer} in its incarnation {issuer_incarnation}."
    )
}

fn or_dash(name: &Option<Arc<str>>) -> String {
    name.as_deref().unwrap_or("-").to_string()
}
