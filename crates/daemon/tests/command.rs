//! The daemon's command line: help, and a check of the settings.

use rstest::rstest;
use std::{
    fs,
    path::PathBuf,
    process::Command, //
};

/// Valid settings of a daemon.
const VALID_SETTINGS: &str = r#"{ "vm": "vm-1", "zone": "windhoek-1", "listen": "127.0.0.1", "relay": "127.0.0.1:7000",
    "control": "127.0.0.1:7001", "admin": "127.0.0.1:7002", "fleet": "test",
    "keys": [ { "slot": 0, "secret": "0707070707070707070707070707070707070707070707070707070707070707" } ] }"#;

/// A settings file that is removed when this value is dropped.
struct File(PathBuf);

impl File {
    fn new(name: &str, text: &str) -> File {
        let name = format!("foxtailhinge-command-{}-{name}.jsonc", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, text).unwrap();
        File(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

/// Runs the daemon and returns its exit code and output, in which `file` is replaced by FILE.
fn run(args: &[&str], file: &str) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_foxtailhinge"))
        .args(args)
        .output()
        .unwrap();
    let code = output.status.code();
    let [out, err] = [output.stdout, output.stderr].map(|text| String::from_utf8(text).unwrap());
    format!("exit code: {code:?}\n--- stdout\n{out}--- stderr\n{err}").replace(file, "FILE")
}

#[rstest]
#[case::good("good settings", VALID_SETTINGS)]
#[case::bad("settings with a finding", "{}")]
fn a_check_reports_findings(#[case] name: &str, #[case] text: &str) {
    let file = File::new(&name.replace(' ', "-"), text);
    let all = run(&["--settings", file.path(), "--check"], file.path());
    insta::assert_snapshot!(name, all);
}

#[rstest]
#[case("help", &["--help"])]
#[case("no settings", &["--check"])]
fn usage_names_the_program(#[case] name: &str, #[case] args: &[&str]) {
    insta::assert_snapshot!(name, run(args, "no file"));
}
