//! Log lines and their rate limit.

use foxtailhinge::logging::{
    self,
    Admitted,
    Event,
    RateLimit,
    RATE_LINES,
    RATE_WINDOW, //
};
use std::{
    env,
    panic,
    process::Command,
    time::Instant, //
};

/// Markers around the lines, because the test runner writes to standard output too.
const BEGIN: &str = "\n--- begin\n";
const END: &str = "--- end\n";

const ROLE: &str = "FOXTAILHINGE_TEST_ROLE";

#[test]
fn values_are_quoted_when_needed() {
    let values = [
        "windhoek-1",
        "[2001:db8::1]:5683",
        "",
        "a b",
        "a=b",
        "say \"no\"",
        "a\\b",
        "a\nevent=forged",
        "a\rb",
        "a\tb",
        "\u{1b}[2J",
        "Straße",
    ];
    let line = |value: &&str| {
        let event = Event::new("value").field("value", value).field("n", 1);
        event.as_str().to_owned()
    };
    insta::assert_snapshot!(values.iter().map(line).collect::<Vec<_>>().join("\n"));
}

#[test]
fn repeated_lines_are_dropped_and_counted() {
    let now = Instant::now();
    let mut rates = RateLimit::default();
    for _ in 0..RATE_LINES {
        assert_eq!(rates.admit("a", now), Admitted::Yes { left_out: 0 });
    }
    for _ in 0..7 {
        assert_eq!(rates.admit("a", now), Admitted::No);
    }
    assert_eq!(rates.admit("b", now), Admitted::Yes { left_out: 0 });
    let later = now + RATE_WINDOW;
    assert_eq!(rates.admit("a", later), Admitted::Yes { left_out: 7 });
    assert_eq!(rates.admit("a", later), Admitted::Yes { left_out: 0 });
}

/// Runs as the process under test if started by the test below; does nothing otherwise.
#[test]
fn process_under_test() {
    if env::var(ROLE).is_err() {
        return;
    }
    let handle = logging::start(log::LevelFilter::Info).unwrap();
    print!("{BEGIN}");
    Event::new("zone_out").field("zone", "windhoek-2").info();
    Event::new("detail").debug();
    log::info!("a library's detail");
    log::warn!("a library's warning");
    log::info!(target: "audit", "event=zone_in zone=windhoek-2");
    log::info!(target: "foxtailhinge::links", "event=closed cause=\"a\nb\"");
    panic::catch_unwind(|| panic!("out of\nbounds")).unwrap_err();
    handle.flush();
    print!("{END}");
}

#[test]
fn lines_on_standard_output() {
    let output = Command::new(env::current_exe().unwrap())
        .args(["--exact", "process_under_test", "--nocapture"])
        .env(ROLE, "logs")
        .output()
        .unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    let (_, text) = text.split_once(BEGIN).unwrap();
    let (text, _) = text.split_once(END).unwrap();
    let lines: Vec<_> = text.lines().map(without_time).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// Returns the line without its time and without the location of a panic.
fn without_time(line: &str) -> &str {
    let (time, rest) = line.split_once(' ').unwrap();
    assert!(time.starts_with("time=20") && time.ends_with('Z'), "{time}");
    rest.split(" location=").next().unwrap()
}
