//! `foxtailctl check`.

use crate::ctl::{
    ctl,
    directory, //
};
use rstest::rstest;
use std::{
    fs,
    path::PathBuf, //
};

const SMALL: &str = r#"{
  "service": "SERVICE", "address": "ADDRESS", "zones": { "z": "in" },
  "upstreams": [ { "name": "a", "address": "10.0.0.1:5683", "zone": "z", "slots": 4, "connections": 9 } ]
}"#;

fn small(service: &str, address: &str) -> String {
    SMALL
        .replace("SERVICE", service)
        .replace("ADDRESS", address)
}

fn files(test: &str, files: &[(&str, String)]) -> PathBuf {
    let directory = directory(test);
    for (name, text) in files {
        fs::write(directory.join(name), text).unwrap();
    }
    directory
}

#[rstest]
#[case::text("examples", &[])]
#[case::json("examples in JSON", &["--json"])]
fn examples_are_good(#[case] name: &str, #[case] options: &[&str]) {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let checked = ctl(&["check"])
        .within(&root)
        .arg("examples/documents/syncdesk-api.jsonc")
        .arg("examples/documents/certvault.jsonc")
        .arg("examples/documents/countkeeper.jsonc")
        .arg("examples/documents/layoutstore.jsonc")
        .arg("examples/settings/kalahari-1.jsonc")
        .arg("examples/settings/southern-cross-1.jsonc");
    insta::assert_snapshot!(name, checked.args(options).run().all());
}

#[rstest]
#[case::text("bad files", &[])]
#[case::json("bad files in JSON", &["--json"])]
fn every_finding_of_every_file_is_listed(#[case] name: &str, #[case] options: &[&str]) {
    let bad = small("a", "10.0.0.9").replace("\"slots\": 4", "\"slots\": 0, \"zone\": \"z\"");
    let written = [
        ("bad.jsonc", bad),
        ("good.jsonc", small("b", "10.0.0.9:2")),
        (
            "settings.jsonc",
            "{ \"vm\": \"vm-1\",\n  \"key\": [] }".to_string(),
        ),
        ("torn.jsonc", "{ \"service\": ".to_string()),
    ];
    let directory = files(&name.replace(' ', "-"), &written);
    let checked = ctl(&[
        "check",
        "bad.jsonc",
        "good.jsonc",
        "settings.jsonc",
        "torn.jsonc",
    ]);
    let checked = checked.within(&directory).args(options);
    insta::assert_snapshot!(name, checked.run().all());
}

#[rstest]
#[case::name("services of one name", "a", "10.0.0.9:2")]
#[case::address("services of one address", "b", "10.0.0.9:1")]
fn documents_are_checked_against_each_other(
    #[case] name: &str,
    #[case] service: &str,
    #[case] address: &str,
) {
    let written = [
        ("1.jsonc", small("a", "10.0.0.9:1")),
        ("2.jsonc", small(service, address)),
    ];
    let directory = files(&name.replace(' ', "-"), &written);
    let checked = ctl(&["check", "1.jsonc", "2.jsonc"]).within(&directory);
    insta::assert_snapshot!(name, checked.run().all());
}

#[test]
fn services_of_one_hash_are_a_finding() {
    let written = [
        ("1.jsonc", small("syncdesk-20592", "10.0.0.9:1")),
        ("2.jsonc", small("syncdesk-65429", "10.0.0.9:2")),
    ];
    let directory = files("services-of-one-hash", &written);
    let checked = ctl(&["check", "1.jsonc", "2.jsonc"]).within(&directory);
    insta::assert_snapshot!(checked.run().all());
}

#[test]
fn a_long_file_is_not_read_whole() {
    let directory = files("long-file", &[("long.jsonc", " ".repeat(3_000_000))]);
    let checked = ctl(&["check", "long.jsonc"]).within(&directory);
    insta::assert_snapshot!(checked.run().all());
}

const IN_FORCE: &str = r#"{
  "version": 41,
  "routes": [
    { "name": "desk", "hostname": "198.18.0.1", "prefix": "/443/", "type": "idempotent", "timeout_ms": 1500,
      "target_latency_ms": 250, "priority": 1, "service": "syncdesk-api" },
    { "name": "vault", "hostname": "198.18.0.2", "prefix": "/443/", "type": "upload", "timeout_ms": 2000,
      "target_latency_ms": 300, "priority": 0, "service": "certvault" }
  ],
  "services": [
    { "name": "syncdesk-api", "max_connections": 2000 },
    { "name": "certvault", "max_connections": 400 }
  ],
  "limits": { "idle_timeout_ms": 15000 }
}"#;

/// The configuration of version 44: the route to the vault is gone, and a service has another limit.
fn new_configuration() -> String {
    let (before, vault) = IN_FORCE.split_once(",\n    { \"name\": \"vault\"").unwrap();
    let (_, after) = vault.split_once("}").unwrap();
    format!("{before}{after}")
        .replace("41", "44")
        .replace("2000", "2400")
}

/// Pipelines that stop for each warning would make operators leave the check out, and those that go on after an error
/// would send what daemons refuse.
#[rstest]
#[case::good("good configuration", IN_FORCE.to_string(), &[], 0)]
#[case::warnings("configuration with warnings", new_configuration(), &[], 0)]
#[case::compared("configuration compared", new_configuration(), &["--in-force", "in-force.json"], 0)]
#[case::json("configuration compared in JSON", new_configuration(), &["--json", "--in-force", "in-force.json"], 0)]
#[case::errors("configuration with errors", new_configuration().replace("\"/443/\"", "443"), &["--in-force", "in-force.json"], 1)]
#[case::refused("refused configuration in force", new_configuration(), &["--in-force", "refused.json"], 1)]
fn a_configuration_is_checked_before_it_is_sent(
    #[case] name: &str,
    #[case] new: String,
    #[case] options: &[&str],
    #[case] code: i32,
) {
    let written = [
        ("new.json", new),
        ("in-force.json", IN_FORCE.to_string()),
        ("refused.json", "{}".to_string()),
    ];
    let directory = files(&name.replace(' ', "-"), &written);
    let checked = ctl(&["check", "--configuration", "new.json"]).within(&directory);
    let all = checked.args(options).run().all();
    assert!(all.starts_with(&format!("exit code: Some({code})\n")));
    insta::assert_snapshot!(name, all);
}

/// A file of any length must not fill the memory.
#[test]
fn a_long_configuration_is_not_read_whole() {
    let directory = files(
        "long-configuration",
        &[("long.json", " ".repeat(12_000_000))],
    );
    let checked = ctl(&["check", "--configuration", "long.json"]).within(&directory);
    insta::assert_snapshot!(checked.run().all());
}
