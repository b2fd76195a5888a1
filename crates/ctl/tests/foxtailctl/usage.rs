//! Help, completion and usage errors.

use crate::ctl::ctl;
use rstest::rstest;

#[rstest]
#[case::all("help", &["--help"])]
#[case::check("help of check", &["check", "--help"])]
#[case::status("help of status", &["status", "--help"])]
#[case::audit("help of audit", &["audit", "--help"])]
#[case::explain("help of explain", &["explain", "--help"])]
#[case::request("help of request", &["request", "--help"])]
#[case::completion("help of completion", &["completion", "--help"])]
fn help_has_examples(#[case] name: &str, #[case] args: &[&str]) {
    insta::assert_snapshot!(name, ctl(args).run().all());
}

#[rstest]
#[case::nothing("no command", &[])]
#[case::command("unknown command", &["start"])]
#[case::option("unknown option", &["status", "--verbose"])]
#[case::no_file("no file", &["check"])]
#[case::in_force("in force without a configuration", &["check", "--in-force", "a.json"])]
#[case::both("configuration beside a document", &["check", "--configuration", "a.json", "b.jsonc"])]
#[case::missing_configuration("missing configuration", &["check", "--configuration", "no-such-file.json"])]
#[case::missing_file("missing file", &["check", "no-such-file.jsonc"])]
#[case::admin("admin address without a port", &["status", "--admin", "127.0.0.1"])]
#[case::service("no service", &["explain"])]
#[case::shell("unknown shell", &["completion", "tcsh"])]
#[case::scheme("wrong scheme", &["request", "http://127.0.0.1:1/"])]
#[case::query("URL with a query", &["request", "coap://127.0.0.1:1/a?b"])]
#[case::host("URL with a host name", &["request", "coap://localhost:1/a"])]
#[case::method("unknown method", &["request", "--method", "patch", "coap://127.0.0.1:1/"])]
#[case::ticket("short ticket", &["request", "--ticket", "00ff", "coap://127.0.0.1:1/"])]
fn wrong_usage_ends_with_code_2(#[case] name: &str, #[case] args: &[&str]) {
    let all = ctl(args).run().all();
    assert!(all.starts_with("exit code: Some(2)\n--- stdout\n--- stderr\n"));
    insta::assert_snapshot!(name, all);
}

#[rstest]
#[case("bash")]
#[case("zsh")]
#[case("fish")]
#[case("elvish")]
fn completion_scripts_name_the_program(#[case] shell: &str) {
    let all = ctl(&["completion", shell]).run().all();
    assert!(all.starts_with("exit code: Some(0)"));
    assert!(all.contains("foxtailctl"));
}

#[test]
fn completion_offers_commands() {
    let completed = ctl(&["--bpaf-complete-rev=8", "st"]).run();
    assert_eq!(completed.stdout().trim(), "COMPREPLY+=( 'status' )");
}
