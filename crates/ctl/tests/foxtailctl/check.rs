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
