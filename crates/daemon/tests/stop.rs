//! The log of a graceful shutdown.

use std::{
    fs,
    io::{
        BufRead,
        BufReader,
        Lines, //
    },
    net::Ipv4Addr,
    process::{
        ChildStdout,
        Command,
        Stdio, //
    },
};

/// Returns the settings of a daemon without platform and peers.
fn settings() -> String {
    let ip = Ipv4Addr::new(127, 197, (std::process::id() % 250) as u8, 1);
    format!(
        r#"{{ "vm": "vm-1", "zone": "windhoek-1", "listen": "{ip}", "relay": "{ip}:7000",
            "control": "{ip}:7001", "admin": "{ip}:7002", "fleet": "test",
            "keys": [ {{ "slot": 0, "secret": "{}" }} ] }}"#,
        "07".repeat(32)
    )
}

/// Reads up to the first line of `event`; returns its fields as `key=value`.
fn fields(lines: &mut Lines<BufReader<ChildStdout>>, event: &str) -> Option<Vec<String>> {
    let wanted = format!(" event={event}");
    let line = lines.find_map(|line| line.ok().filter(|line| line.contains(&wanted)))?;
    let (_, rest) = line.split_once(&wanted)?;
    Some(rest.split_whitespace().map(String::from).collect())
}

#[test]
fn the_end_of_a_graceful_shutdown_is_logged_with_its_outcome() {
    let name = format!("foxtailhinge-stop-{}.json", std::process::id());
    let file = std::env::temp_dir().join(name);
    fs::write(&file, settings()).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_foxtailhinge"))
        .arg("--settings")
        .arg(&file)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let started = fields(&mut lines, "started");
    let pid = libc::pid_t::try_from(child.id()).unwrap();
    // SAFETY: The process is a child that was not waited for, so the id is still its own.
    unsafe { libc::kill(pid, libc::SIGTERM) };
    let stopped = fields(&mut lines, "stopped");
    let after = lines.count();
    let code = child.wait().unwrap().code();
    fs::remove_file(&file).unwrap();
    assert!(started.is_some());
    let stopped = stopped.expect("the log has a line about the end of the shutdown");
    assert!(stopped[0].starts_with("took_ms="));
    assert_eq!(stopped[1..], ["requests_cut=0", "upstreams_kept=0"]);
    assert_eq!((after, code), (0, Some(0)));
}
