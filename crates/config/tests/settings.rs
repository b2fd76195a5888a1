//! Parsing of the settings of a daemon that relays CoAP requests.

use foxtailhinge_config::settings::{
    Secret,
    Settings, //
};
use quickcheck::{
    Gen,
    QuickCheck, //
};
use rstest::rstest;

const SECRET: &str = "00112233445566778899aabbccddeeff00112233445566778899AABBCCDDEEFF";
const GOOD: &str = r#"{
  "vm": "vm-1", "zone": "windhoek-1", "listen": "127.0.0.1",
  "relay": "127.0.0.1:7000", "control": "127.0.0.1:7001", "admin": "127.0.0.1:7002",
  "platform": "127.0.0.250:8080", "fleet": "kalahari",
  "keys": [ { "slot": 0, "secret": "00112233445566778899aabbccddeeff00112233445566778899AABBCCDDEEFF" },
            { "slot": 1, "secret": "ff112233445566778899aabbccddeeff00112233445566778899AABBCCDDEEFF" } ],
  "peers": [ { "vm": "vm-2", "zone": "windhoek-1", "relay": "127.0.0.2:7000", "control": "127.0.0.2:7001" } ],
  "limits": { "drain_s": 20, "pause_ms": 500 }, "log": "debug", "testing": { "faults": true }
}"#;

fn good() -> Settings {
    Settings::parse("good.jsonc", GOOD).unwrap()
}

fn findings(text: &str) -> String {
    Settings::parse("bad.jsonc", text).unwrap_err().to_string()
}

#[test]
fn good_settings_are_read_whole_and_hide_their_keys() {
    insta::assert_json_snapshot!(good());
}

#[test]
fn left_out_fields_take_defaults() {
    let text = format!(
        r#"{{ "vm": "v", "zone": "z", "relay": "10.0.0.1:1", "control": "10.0.0.1:2",
            "admin": "10.0.0.1:3", "fleet": "f", "keys": [{{ "slot": 15, "secret": "{SECRET}" }}] }}"#
    );
    insta::assert_json_snapshot!(Settings::parse("small.jsonc", &text).unwrap());
}

#[test]
fn only_expose_shows_the_bytes_of_a_secret() {
    let settings = good();
    let secret = &settings.keys[0].secret;
    assert_eq!(secret.expose()[..4], [0x00, 0x11, 0x22, 0x33]);
    assert_eq!(Secret::new(*secret.expose()), *secret);
    let debug = format!("{settings:?}").to_lowercase();
    assert!(debug.contains("(hidden)"));
    assert!(!debug.contains("112233"));
    assert!(!debug.contains("17, 34, 51"));
}

#[rstest]
#[case("kalahari-1")]
#[case("southern-cross-1")]
fn examples_have_no_findings(#[case] name: &str) {
    let file = format!(
        "{}/../../examples/settings/{name}.jsonc",
        env!("CARGO_MANIFEST_DIR")
    );
    let bytes = std::fs::read(&file).unwrap();
    let settings = Settings::parse_bytes(&file, &bytes).unwrap();
    assert_eq!(&*settings.vm, name);
}

/// Each case replaces a part of the valid settings.
#[rstest]
#[case::unknown_field("unknown field", "\"listen\"", "\"bind\"")]
#[case::missing_field("missing field", "\"fleet\": \"kalahari\",", "")]
#[case::no_keys("no keys", "\"keys\": [", "\"keys\": [], \"peers\": [")]
#[case::slot("key slot", "\"slot\": 0", "\"slot\": 16")]
#[case::slot_twice("key slot twice", "\"slot\": 1", "\"slot\": 0")]
#[case::short_secret("short secret", "\"0011", "\"11")]
#[case::not_hex("secret not hex", "\"0011", "\"zz11")]
#[case::not_ascii("secret not ASCII", "\"0011", "\"é11")]
#[case::number_secret(
    "secret a number",
    "\"00112233445566778899aabbccddeeff00112233445566778899AABBCCDDEEFF\"",
    "112233"
)]
#[case::unquoted(
    "secret unquoted",
    "\"00112233445566778899aabbccddeeff00112233445566778899AABBCCDDEEFF\"",
    "ff112233445566778899"
)]
#[case::secret_as_name(
    "secret as a field",
    "\"slot\": 0, \"secret\": \"00112233445566778899aabbccddeeff00112233445566778899AABBCCDDEEFF\"",
    "\"slot\": 0, \"00112233445566778899\": 1"
)]
#[case::own_peer("VM as its own peer", "\"vm-2\"", "\"vm-1\"")]
#[case::peer_hash("peers with one hash", "\"peers\": [", "\"peers\": [ { \"vm\": \"vm-2370\", \"zone\": \"z\", \"relay\": \"10.0.0.1:1\", \"control\": \"10.0.0.1:2\" }, { \"vm\": \"vm-43682\", \"zone\": \"z\", \"relay\": \"10.0.0.2:1\", \"control\": \"10.0.0.2:2\" },")]
#[case::listen(
    "listen with a port",
    "\"listen\": \"127.0.0.1\"",
    "\"listen\": \"127.0.0.1:1\""
)]
#[case::same_port("admin and control on one port", "127.0.0.1:7002", "127.0.0.1:7001")]
#[case::drain("drain too long", "\"drain_s\": 20", "\"drain_s\": 601")]
#[case::level("log level", "\"debug\"", "\"verbose\"")]
#[case::faults("faults", "\"faults\": true", "\"faults\": 1")]
fn bad_settings_are_refused(#[case] name: &str, #[case] part: &str, #[case] instead: &str) {
    assert!(GOOD.contains(part));
    let found = findings(&GOOD.replace(part, instead));
    assert!(!found.contains("112233"), "a key shows in {found}");
    insta::assert_snapshot!(name, found);
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
fn arbitrary_bytes_are_parsed_without_a_panic() {
    fn holds(bytes: Vec<u8>) -> bool {
        Settings::parse_bytes("any", &bytes).is_err()
    }
    check().quickcheck(holds as fn(_) -> bool);
}

#[test]
fn damaged_settings_never_show_a_key() {
    fn holds(at: usize, cut: u8, with: String) -> bool {
        let from = at % GOOD.len();
        let to = (from + usize::from(cut)).min(GOOD.len());
        let text = format!("{}{with}{}", &GOOD[..from], &GOOD[to..]);
        match Settings::parse("damaged", &text) {
            Ok(settings) => !format!("{settings:?}").contains("2233445566"),
            Err(findings) => !findings.to_string().contains("2233445566"),
        }
    }
    check().quickcheck(holds as fn(_, _, _) -> bool);
}
