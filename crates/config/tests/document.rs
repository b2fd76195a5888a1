//! Reading of service documents.

use foxtailhinge_config::{
    bounds,
    document::ServiceDocument,
    finding::Findings, //
};
use quickcheck::{
    Gen,
    QuickCheck, //
};
use rstest::rstest;

const GOOD: &str = r#"{
  "service": "syncdesk-api",
  "address": "10.20.0.1:5601", // callers send here
  "zones": { "windhoek-1": "in", "windhoek-2": "out" },
  "upstreams": [
    { "name": "a", "address": "10.0.0.1:5683", "zone": "windhoek-1", "slots": 4, "connections": 2000 },
    { "name": "b", "address": "[fd00::1]:5683", "zone": "windhoek-2", "slots": 4, "connections": 2000, "state": "draining" },
  ],
  "cold_start": { "slots": 1, "connections": 100, "ramp_s": 30 },
  "defaults": { "deadline_ms": 2000, "queue": 4, "retry_budget_percent": 10, "idle_s": 3600 },
  "routes": [
    { "path": "/" },
    { "path": "/clearances", "idempotent": false, "deadline_ms": 5000 },
    { "path": "/clearances/drafts", "idempotent": true }
  ]
}"#;

fn good() -> ServiceDocument {
    ServiceDocument::parse("good.jsonc", GOOD).unwrap()
}

fn findings(text: &str) -> Findings {
    ServiceDocument::parse("bad.jsonc", text).unwrap_err()
}

#[test]
fn a_good_document_is_read_whole() {
    insta::assert_json_snapshot!(good());
}

#[test]
fn a_published_document_names_its_service() {
    let read = ServiceDocument::parse_published("syncdesk-api", GOOD);
    assert_eq!(read.unwrap(), good());
    let other = ServiceDocument::parse_published("certvault", GOOD);
    insta::assert_snapshot!(other.unwrap_err());
}

#[test]
fn left_out_sections_take_defaults() {
    let text = r#"{
        "service": "s", "address": "10.0.0.9:1", "zones": { "z": "in" },
        "upstreams": [ { "name": "a", "address": "10.0.0.1:5683", "zone": "z", "slots": 4, "connections": 9 } ]
    }"#;
    insta::assert_json_snapshot!(ServiceDocument::parse("small.jsonc", text).unwrap());
}

#[rstest]
#[case("syncdesk-api", 4, 14)]
#[case("certvault", 4, 4)]
#[case("countkeeper", 3, 14)]
#[case("layoutstore", 3, 4)]
fn examples_have_no_findings(#[case] name: &str, #[case] zones: usize, #[case] upstreams: usize) {
    let file = format!(
        "{}/../../examples/documents/{name}.jsonc",
        env!("CARGO_MANIFEST_DIR")
    );
    let bytes = std::fs::read(&file).unwrap();
    let document = ServiceDocument::parse_bytes(&file, &bytes).unwrap();
    assert_eq!(&*document.service, name);
    assert_eq!(document.zones.len(), zones);
    assert_eq!(document.upstreams.len(), upstreams);
    for upstream in &document.upstreams {
        assert_eq!((upstream.slots, upstream.connections), (4, 2_000));
    }
}

#[rstest]
#[case("/clearances", "/clearances")]
#[case("/clearances/12", "/clearances")]
#[case("/clearances/drafts", "/clearances/drafts")]
#[case("/clearances/drafts/1", "/clearances/drafts")]
#[case("/clearances/draftsman", "/clearances")]
#[case("/clearancesx", "/")]
#[case("/", "/")]
#[case("", "/")]
fn the_longest_route_at_a_segment_boundary_is_taken(#[case] path: &str, #[case] route: &str) {
    assert_eq!(&*good().route(path).unwrap().path, route);
}

#[test]
fn a_path_below_no_route_has_none() {
    let mut document = good();
    document.routes.remove(0);
    assert_eq!(document.route("/cues"), None);
}

#[rstest]
#[case("windhoek-1", true)]
#[case("windhoek-2", false)]
#[case("windhoek-3", false)]
fn only_listed_zones_are_in_service(#[case] zone: &str, #[case] in_service: bool) {
    assert_eq!(good().zone_in_service(zone), in_service);
}

/// Each row replaces a part of the good document.
#[rstest]
#[case::unknown_field("unknown field", "\"cold_start\"", "\"coldstart\"")]
#[case::unknown_upstream_field("unknown upstream field", "\"slots\": 4", "\"slot\": 4")]
#[case::missing_field("missing field", "\"service\": \"syncdesk-api\",", "")]
#[case::wrong_type("wrong type", "\"service\": \"syncdesk-api\"", "\"service\": 7")]
#[case::null("null", "{ \"windhoek-1\": \"in\", \"windhoek-2\": \"out\" }", "null")]
#[case::bad_name("bad name", "\"syncdesk-api\"", "\"sync desk\"")]
#[case::long_name("long name", "\"syncdesk-api\"", &format!("\"{}\"", "s".repeat(65)))]
#[case::empty_name("empty name", "\"syncdesk-api\"", "\"\"")]
#[case::host_name("host name", "10.20.0.1:5601", "localhost:5601")]
#[case::port_zero("port zero", "10.20.0.1:5601", "10.20.0.1:0")]
#[case::unspecified("unspecified address", "10.20.0.1:5601", "0.0.0.0:5601")]
#[case::zone_state("zone state", "\"windhoek-2\": \"out\"", "\"windhoek-2\": \"off\"")]
#[case::zone_twice("zone twice", "\"windhoek-2\": \"out\"", "\"windhoek-1\": \"out\"")]
#[case::zone_hash(
    "zone hash",
    "\"windhoek-2\": \"out\"",
    "\"windhoek-2\": \"out\", \"windhoek-377\": \"in\", \"windhoek-566\": \"in\""
)]
#[case::zone_not_listed(
    "zone not listed",
    "\"zone\": \"windhoek-2\"",
    "\"zone\": \"windhoek-3\""
)]
#[case::no_zones(
    "no zones",
    "{ \"windhoek-1\": \"in\", \"windhoek-2\": \"out\" }",
    "{}"
)]
#[case::field_twice("field twice", "\"slots\": 4,", "\"slots\": 4, \"slots\": 5,")]
#[case::upstream_twice("upstream twice", "\"name\": \"b\"", "\"name\": \"a\"")]
#[case::upstream_hash("upstream hash", "\"name\": \"b\"", "\"name\": \"syncdesk-20592\", \"address\": \"10.0.0.2:1\", \"zone\": \"windhoek-1\", \"slots\": 1, \"connections\": 1 }, { \"name\": \"syncdesk-65429\"")]
#[case::address_twice("address twice", "[fd00::1]:5683", "10.0.0.1:5683")]
#[case::address_of_service("address of the service", "[fd00::1]:5683", "10.20.0.1:5601")]
#[case::state("upstream state", "\"draining\"", "\"down\"")]
#[case::zero_slots("zero slots", "\"slots\": 4", "\"slots\": 0")]
#[case::negative("negative number", "\"slots\": 4", "\"slots\": -4")]
#[case::fraction("fraction", "\"slots\": 4", "\"slots\": 4.5")]
#[case::exponent("exponent", "\"slots\": 4", "\"slots\": 4e0")]
#[case::huge(
    "huge number",
    "\"connections\": 2000",
    "\"connections\": 99999999999999999999999"
)]
#[case::percent(
    "percent",
    "\"retry_budget_percent\": 10",
    "\"retry_budget_percent\": 101"
)]
#[case::no_ramp("no ramp", "\"ramp_s\": 30", "\"ramp_s\": 0")]
#[case::route_twice("route twice", "\"/clearances/drafts\"", "\"/clearances\"")]
#[case::relative_path("relative path", "\"/clearances/drafts\"", "\"clearances\"")]
#[case::trailing_slash("trailing slash", "\"/clearances/drafts\"", "\"/clearances/\"")]
#[case::idempotent("idempotent", "\"idempotent\": true", "\"idempotent\": \"yes\"")]
#[case::no_comma(
    "no comma",
    "\"service\": \"syncdesk-api\",",
    "\"service\": \"syncdesk-api\""
)]
#[case::no_end("no end", "\n  ]\n}", "\n  ]\n")]
#[case::trailing_text("trailing text", "\n  ]\n}", "\n  ]\n} {}")]
fn bad_documents_are_refused(#[case] name: &str, #[case] part: &str, #[case] instead: &str) {
    assert!(GOOD.contains(part));
    insta::assert_snapshot!(name, findings(&GOOD.replace(part, instead)));
}

#[test]
fn all_findings_are_reported_together() {
    let text = GOOD
        .replace("10.20.0.1:5601", "here")
        .replace("\"slots\": 4", "\"slots\": \"four\"")
        .replace("\"queue\": 4", "\"queue\": 4000")
        .replace("\"ramp_s\"", "\"ramp\"")
        .replace("\"idempotent\": false", "\"idempotent\": 0");
    insta::assert_snapshot!(findings(&text));
}

#[rstest]
#[case::empty("")]
#[case::blank(" \n ")]
#[case::only_a_comment("// nothing\n")]
#[case::list("[]")]
#[case::word("in")]
#[case::broken_string("{ \"service\": \"syn")]
#[case::broken_comment("{ /* ")]
#[case::lone_surrogate(r#"{ "service": "\ud800" }"#)]
#[case::single_quotes("{ 'service': 'x' }")]
fn texts_that_are_no_document_are_refused(#[case] text: &str) {
    assert!(!findings(text).is_empty());
}

#[rstest]
#[case("[")]
#[case("{\"a\":")]
#[case("{\"a\":[")]
fn deep_nesting_is_a_finding(#[case] open: &str) {
    let text = open.repeat((bounds::TEXT_BYTES_MAX - 1) / open.len());
    assert_eq!(findings(&text).len(), 1);
}

#[test]
fn the_size_is_bounded() {
    let at_bound = format!("{GOOD}{}", " ".repeat(bounds::TEXT_BYTES_MAX - GOOD.len()));
    assert!(ServiceDocument::parse("large.jsonc", &at_bound).is_ok());
    insta::assert_snapshot!(findings(&format!("{at_bound} ")));
}

#[test]
fn bytes_that_are_not_utf8_have_a_place() {
    let bytes = b"{\n  \"service\": \"caf\xe9\" }";
    insta::assert_snapshot!(ServiceDocument::parse_bytes("latin1.jsonc", bytes).unwrap_err());
}

#[test]
fn columns_count_characters() {
    insta::assert_snapshot!(findings("{ /* Käfer */ \"x\": 1 }").iter().next().unwrap());
}

#[test]
fn the_number_of_findings_is_bounded() {
    let fields: Vec<_> = (0..1_000).map(|i| format!("\"f{i}\": 1")).collect();
    let found = findings(&format!("{{{}}}", fields.join(",")));
    assert_eq!(found.len(), bounds::FINDINGS_MAX + 1);
    insta::assert_snapshot!(found.iter().last().unwrap());
}

const SEED: u64 = 1;
const SIZE: usize = 200;
const RUNS: u64 = 2_000;

fn check() -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(RUNS)
}

#[test]
fn any_bytes_are_read_without_a_panic() {
    fn holds(bytes: Vec<u8>) -> bool {
        ServiceDocument::parse_bytes("any", &bytes).is_err()
    }
    check().quickcheck(holds as fn(_) -> bool);
}

#[test]
fn a_damaged_document_is_read_without_a_panic() {
    fn holds(at: usize, cut: u8, with: String) -> bool {
        let from = at % GOOD.len();
        let to = (from + usize::from(cut)).min(GOOD.len());
        let text = format!("{}{with}{}", &GOOD[..from], &GOOD[to..]);
        match ServiceDocument::parse("damaged", &text) {
            Ok(document) => !document.upstreams.is_empty(),
            Err(findings) => findings.iter().all(|f| f.line >= 1 && f.column >= 1),
        }
    }
    check().quickcheck(holds as fn(_, _, _) -> bool);
}
