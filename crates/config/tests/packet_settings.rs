//! Parsing of the settings of a daemon that forwards packets.

use foxtailhinge_config::packet_settings::{
    AnySettings,
    PacketLimits,
    PacketLoad,
    PacketSettings, //
};
use rstest::rstest;

const GOOD: &str = r#"{
  "interface": "packets", "vm": "vm-1", "zone": "windhoek-1",
  "listen": "10.1.0.10:8172", "ready": "10.1.0.10:8167", "admin": "10.1.0.10:7720",
  "store": "10.200.1.7:8169", "log": "debug",
  "control": "10.1.0.10:8166", "seeds": ["10.1.0.10:8166", "10.2.0.40:8166"],
  "limits": { "flow_s": 90, "grace_s": 6, "notice_ms": 4000 },
  "load": { "shed": false, "spill": false, "zone_price_ms": 20 }
}"#;

fn good() -> PacketSettings {
    PacketSettings::parse("good.jsonc", GOOD).unwrap()
}

#[test]
fn good_settings_are_read_whole() {
    insta::assert_json_snapshot!(good());
}

#[test]
fn left_out_fields_take_defaults() {
    let text = GOOD.replace(r#", "log": "debug""#, "");
    let text = text.replace(
        r#""control": "10.1.0.10:8166", "seeds": ["10.1.0.10:8166", "10.2.0.40:8166"],"#,
        "",
    );
    let text = text.replace(
        r#""limits": { "flow_s": 90, "grace_s": 6, "notice_ms": 4000 }"#,
        r#""limits": {}"#,
    );
    let text = text.replace(r#""shed": false, "spill": false, "zone_price_ms": 20"#, "");
    insta::assert_json_snapshot!(PacketSettings::parse("small.jsonc", &text).unwrap());
}

#[rstest]
#[case::other_interface("\"packets\"", "\"bytes\"")]
#[case::no_store("\"store\": \"10.200.1.7:8169\", ", "")]
#[case::unknown_field("\"log\"", "\"logs\"")]
#[case::ipv6("\"10.1.0.10:8172\"", "\"[2001:db8::1]:8172\"")]
#[case::same_address("\"10.1.0.10:7720\"", "\"10.1.0.10:8167\"")]
#[case::no_port("\"10.200.1.7:8169\"", "\"10.200.1.7\"")]
#[case::too_short("\"notice_ms\": 4000", "\"notice_ms\": 10")]
#[case::control_as_admin("\"control\": \"10.1.0.10:8166\"", "\"control\": \"10.1.0.10:7720\"")]
#[case::seeds_no_list("[\"10.1.0.10:8166\", \"10.2.0.40:8166\"]", "\"10.1.0.10:8166\"")]
#[case::seed_no_address("\"10.2.0.40:8166\"", "\"vm-2\"")]
#[case::wrong_type("\"grace_s\": 6", "\"grace_s\": \"6\"")]
#[case::price_too_high("\"zone_price_ms\": 20", "\"zone_price_ms\": 1001")]
#[case::price_negative("\"zone_price_ms\": 20", "\"zone_price_ms\": -1")]
#[case::price_a_string("\"zone_price_ms\": 20", "\"zone_price_ms\": \"20 ms\"")]
#[case::shed_a_number("\"shed\": false", "\"shed\": 0")]
#[case::load_no_object(
    "{ \"shed\": false, \"spill\": false, \"zone_price_ms\": 20 }",
    "false"
)]
#[case::unknown_load_field("\"spill\"", "\"spillover\"")]
#[case::negative("\"grace_s\": 6", "\"grace_s\": -0.5")]
#[case::infinite("\"grace_s\": 6", "\"grace_s\": 1e999")]
#[case::no_flow("\"flow_s\": 90", "\"flow_s\": 0")]
fn findings_name_their_place(#[case] text: &str, #[case] other: &str) {
    let changed = GOOD.replace(text, other);
    assert_ne!(changed, GOOD);
    let findings = PacketSettings::parse("bad.jsonc", &changed).unwrap_err();
    let name = std::thread::current().name().unwrap().replace("::", "_");
    insta::assert_snapshot!(name, findings.to_string());
}

/// Settings of an older version have no section `load`; they must select the documented defaults.
#[test]
fn settings_without_load_take_its_defaults() {
    let (before, _) = GOOD.split_once(",\n  \"load\"").unwrap();
    let read = PacketSettings::parse("old.jsonc", &format!("{before}\n}}")).unwrap();
    assert_eq!(read.load, PacketLoad::default());
}

/// A limit with a fraction, or without a figure, must not keep the daemon from starting: the platform writes its bounds
/// as whole numbers, fractions, or true or false.
#[rstest]
#[case::fraction("6.5", 6.5)]
#[case::whole_with_point("7.0", 7.0)]
#[case::exponent("65e-1", 6.5)]
#[case::under_a_second("0.25", 0.25)]
#[case::zero("0", 0.0)]
#[case::no_figure("true", PacketLimits::default().grace.as_secs_f64())]
fn limits_may_have_fractions(#[case] written: &str, #[case] seconds: f64) {
    let text = GOOD.replace("\"grace_s\": 6", &format!("\"grace_s\": {written}"));
    let read = PacketSettings::parse("fraction.jsonc", &text).unwrap();
    assert_eq!(read.limits.grace.as_secs_f64(), seconds);
}

/// Each limit is read in its own unit.
#[test]
fn each_limit_may_have_a_fraction() {
    let limits =
        "{ \"flow_s\": 1.5, \"grace_s\": 2.5, \"notice_ms\": 3000.5, \"configure_ms\": 4000.5,
        \"drain_ms\": 5000.5, \"zone_out_ms\": 6000.5 }";
    let text = GOOD.replace(
        r#"{ "flow_s": 90, "grace_s": 6, "notice_ms": 4000 }"#,
        limits,
    );
    let read = PacketSettings::parse("fractions.jsonc", &text).unwrap();
    insta::assert_json_snapshot!(read.limits);
}

#[test]
fn all_findings_are_reported_together() {
    let changed = GOOD
        .replace("10.1.0.10:8172", "x")
        .replace("4000", "1")
        .replace("vm-1", "");
    let findings = PacketSettings::parse("bad.jsonc", &changed).unwrap_err();
    insta::assert_snapshot!(findings.to_string());
}

#[test]
fn the_interface_selects_the_settings() {
    let read = AnySettings::parse_bytes("s", GOOD.as_bytes()).unwrap();
    assert!(matches!(read, AnySettings::Packets(_)));
    let other = GOOD.replace(r#""interface": "packets", "#, "");
    let findings = AnySettings::parse_bytes("s", other.as_bytes()).unwrap_err();
    assert!(findings.to_string().contains("\"relay\""), "{findings}");
}

#[test]
fn a_reload_keeps_fields_that_cannot_change_at_run_time() {
    let text = GOOD
        .replace("10.200.1.7:8169", "10.200.1.8:8169")
        .replace("\"notice_ms\": 4000", "\"notice_ms\": 5000")
        .replace("10.1.0.10:8172", "10.1.0.10:8173")
        .replace("\"shed\": false", "\"shed\": true")
        .replace("\"zone_price_ms\": 20", "\"zone_price_ms\": 30")
        .replace("debug", "warn");
    let new = PacketSettings::parse("new.jsonc", &text).unwrap();
    let (merged, fixed) = good().merge(new.clone());
    assert_eq!(fixed, ["listen"]);
    assert_eq!((merged.store, merged.log), (new.store, new.log));
    assert_eq!(merged.load, new.load);
    assert_ne!(merged.load, good().load);
    assert_eq!(
        (merged.limits.notice, merged.listen),
        (new.limits.notice, good().listen)
    );
}
