//! Titles and rows of the tables of `foxtailctl status`.

use foxtailhinge_config::report::{
    DocumentStatus,
    MemberStatus,
    OwnedUpstream,
    RefusedDocument,
    UpstreamStatus,
    ZoneStatus, //
};

pub(crate) const MEMBER_TITLES: [&str; 4] = ["vm", "zone", "state", "incarnation"];
pub(crate) const DOCUMENT_TITLES: [&str; 2] = ["service", "revision"];
pub(crate) const ZONE_TITLES: [&str; 3] = ["service", "zone", "state"];
pub(crate) const UPSTREAM_TITLES: [&str; 8] = [
    "service",
    "upstream",
    "zone",
    "owner",
    "state",
    "slots",
    "connections",
    "queued",
];

const UNKNOWN: &str = "-";

pub(crate) fn member(member: &MemberStatus) -> [String; 4] {
    [
        member.vm.to_string(),
        member.zone.to_string(),
        member.state.to_string(),
        or_unknown(member.incarnation.map(|i| i.to_string())),
    ]
}

pub(crate) fn document(document: &DocumentStatus) -> [String; 2] {
    [document.service.to_string(), document.revision.to_string()]
}

pub(crate) fn zone(zone: &ZoneStatus) -> [String; 3] {
    let state = if zone.in_service { "in" } else { "out" };
    [
        zone.service.to_string(),
        zone.zone.to_string(),
        state.to_string(),
    ]
}

pub(crate) fn upstream(upstream: &UpstreamStatus, owned: Option<&OwnedUpstream>) -> [String; 8] {
    [
        upstream.service.to_string(),
        upstream.upstream.to_string(),
        upstream.zone.to_string(),
        or_unknown(upstream.owner.as_deref().map(str::to_string)),
        or_unknown(owned.map(|o| o.state.to_string())),
        or_unknown(owned.map(|o| o.slots.to_string())),
        or_unknown(owned.map(|o| o.connections.to_string())),
        or_unknown(owned.map(|o| o.queued.to_string())),
    ]
}

/// Describes a refused document, with one line for each finding.
pub(crate) fn refused(refused: &RefusedDocument) -> String {
    let (service, revision) = (&refused.service, refused.revision);
    let mut text =
        format!("Refused: revision {revision} of {service}; the document in force stays");
    for finding in &refused.findings {
        text += &format!("\n    {finding}");
    }
    text
}

fn or_unknown(cell: Option<String>) -> String {
    cell.unwrap_or_else(|| UNKNOWN.to_string())
}
