//! The pages on documents and settings must agree with the code.

use foxtailhinge_config::{
    bounds,
    check::{
        Checker,
        FileKind, //
    },
    document::{
        ColdStart,
        Defaults, //
    },
    packet_settings::PacketLoad,
    settings::Limits,
};
use rstest::rstest;
use std::{
    fmt::Display,
    fs,
    ops::RangeInclusive, //
};

const DOCUMENT: &str = "DOCUMENT.md";
const SETTINGS: &str = "SETTINGS.md";

fn page(name: &str) -> String {
    let docs = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs");
    fs::read_to_string(format!("{docs}/{name}")).unwrap()
}

/// Table rows that describe a field.
fn rows(name: &str, field: &str) -> Vec<String> {
    let start = format!("| `{field}` |");
    let page = page(name);
    let rows = page.lines().filter(|l| l.starts_with(&start));
    rows.map(str::to_string).collect()
}

#[rstest]
#[case(DOCUMENT, FileKind::Document, 1)]
#[case(SETTINGS, FileKind::Settings, 2)]
fn examples_have_no_findings(#[case] name: &str, #[case] kind: FileKind, #[case] examples: usize) {
    let page = page(name);
    let blocks: Vec<_> = page.split("```jsonc\n").skip(1).collect();
    assert_eq!(blocks.len(), examples);
    for block in blocks {
        let (example, _) = block.split_once("```").unwrap();
        assert_eq!(Checker::default().check(name, example.as_bytes()), Ok(kind));
    }
}

#[rstest]
#[case(DOCUMENT, "slots", bounds::SLOTS)]
#[case(DOCUMENT, "connections", bounds::CONNECTIONS)]
#[case(DOCUMENT, "ramp_s", bounds::RAMP_S)]
#[case(DOCUMENT, "deadline_ms", bounds::DEADLINE_MS)]
#[case(DOCUMENT, "queue", bounds::QUEUE)]
#[case(DOCUMENT, "retry_budget_percent", bounds::RETRY_BUDGET_PERCENT)]
#[case(DOCUMENT, "idle_s", bounds::IDLE_S)]
#[case(DOCUMENT, "zones", 1..=bounds::ZONES_MAX as u64)]
#[case(DOCUMENT, "upstreams", 1..=bounds::UPSTREAMS_MAX as u64)]
#[case(SETTINGS, "slot", bounds::KEY_SLOT)]
#[case(SETTINGS, "keys", 1..=bounds::KEYS_MAX as u64)]
#[case(SETTINGS, "drain_s", bounds::DRAIN_S)]
#[case(SETTINGS, "pause_ms", bounds::PAUSE_MS)]
#[case(SETTINGS, "flow_s", bounds::FLOW_S)]
#[case(SETTINGS, "grace_s", bounds::GRACE_S)]
#[case(SETTINGS, "notice_ms", bounds::NOTICE_MS)]
#[case(SETTINGS, "configure_ms", bounds::CHANGE_DEADLINE_MS)]
#[case(SETTINGS, "drain_ms", bounds::CHANGE_DEADLINE_MS)]
#[case(SETTINGS, "zone_out_ms", bounds::CHANGE_DEADLINE_MS)]
#[case(SETTINGS, "zone_price_ms", bounds::ZONE_PRICE_MS)]
fn bounds_match_the_code(
    #[case] name: &str,
    #[case] field: &str,
    #[case] range: RangeInclusive<impl Display>,
) {
    let written = format!("{} to {}", range.start(), range.end());
    let rows = rows(name, field);
    assert!(!rows.is_empty());
    for row in rows {
        assert!(row.contains(&written), "{row}");
    }
}

#[rstest]
#[case(DOCUMENT, "routes", bounds::ROUTES_MAX)]
#[case(DOCUMENT, "path", bounds::PATH_BYTES_MAX)]
#[case(SETTINGS, "peers", bounds::PEERS_MAX)]
fn maximum_lengths_match_the_code(#[case] name: &str, #[case] field: &str, #[case] max: usize) {
    let rows = rows(name, field);
    assert!(rows[0].contains(&format!("at most {max}")), "{}", rows[0]);
}

#[test]
fn sizes_match_the_code() {
    let page = page(DOCUMENT);
    for text in [
        format!("at most {} bytes of UTF-8", bounds::TEXT_BYTES_MAX),
        format!("1 to {} letters", bounds::NAME_BYTES_MAX),
        format!("At most {} findings", bounds::FINDINGS_MAX),
    ] {
        assert!(page.contains(&text), "{text}");
    }
}

#[test]
fn defaults_match_the_code() {
    let cold_start = ColdStart::default();
    let defaults = Defaults::default();
    let limits = Limits::default();
    let load = PacketLoad::default();
    assert_default(DOCUMENT, "slots", cold_start.slots);
    assert_default(DOCUMENT, "connections", cold_start.connections);
    assert_default(DOCUMENT, "ramp_s", cold_start.ramp.as_secs());
    assert_default(DOCUMENT, "deadline_ms", defaults.deadline.as_millis());
    assert_default(DOCUMENT, "queue", defaults.queue);
    assert_default(
        DOCUMENT,
        "retry_budget_percent",
        defaults.retry_budget_percent,
    );
    assert_default(DOCUMENT, "idle_s", defaults.idle.as_secs());
    assert_default(SETTINGS, "drain_s", limits.drain.as_secs());
    assert_default(SETTINGS, "pause_ms", limits.pause.as_millis());
    assert_default(SETTINGS, "shed", format_args!("`{}`", load.shed));
    assert_default(SETTINGS, "spill", format_args!("`{}`", load.spill));
    assert_default(SETTINGS, "zone_price_ms", load.zone_price.as_millis());
}

fn assert_default(name: &str, field: &str, default: impl Display) {
    let cell = format!("| {default} |");
    let rows = rows(name, field);
    assert!(rows.iter().any(|r| r.contains(&cell)), "{field}: {default}");
}

/// The finding about an unknown field lists the known ones; each of them must have a row.
#[rstest]
#[case(DOCUMENT, r#"{ "?": 0 }"#)]
#[case(DOCUMENT, r#"{ "upstreams": [{ "?": 0 }] }"#)]
#[case(DOCUMENT, r#"{ "cold_start": { "?": 0 } }"#)]
#[case(DOCUMENT, r#"{ "defaults": { "?": 0 } }"#)]
#[case(DOCUMENT, r#"{ "routes": [{ "?": 0 }] }"#)]
#[case(SETTINGS, r#"{ "vm": "v", "?": 0 }"#)]
#[case(SETTINGS, r#"{ "vm": "v", "keys": [{ "?": 0 }] }"#)]
#[case(SETTINGS, r#"{ "vm": "v", "peers": [{ "?": 0 }] }"#)]
#[case(SETTINGS, r#"{ "vm": "v", "limits": { "?": 0 } }"#)]
#[case(SETTINGS, r#"{ "vm": "v", "testing": { "?": 0 } }"#)]
#[case(SETTINGS, r#"{ "interface": "packets", "vm": "v", "?": 0 }"#)]
#[case(
    SETTINGS,
    r#"{ "interface": "packets", "vm": "v", "limits": { "?": 0 } }"#
)]
#[case(
    SETTINGS,
    r#"{ "interface": "packets", "vm": "v", "load": { "?": 0 } }"#
)]
fn every_field_has_a_row(#[case] name: &str, #[case] text: &str) {
    let findings = Checker::default().check("x", text.as_bytes()).unwrap_err();
    let unknown = findings.iter().find(|f| f.message.contains("\"?\""));
    let message = &unknown.unwrap().message;
    let (_, known) = message.split_once("the fields here are ").unwrap();
    for field in known.trim_end_matches('.').split(", ") {
        assert!(!rows(name, field).is_empty(), "{field}");
    }
}
