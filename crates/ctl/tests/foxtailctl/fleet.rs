//! The command line against real daemons.

use crate::ctl::ctl;
use foxtailhinge_config::report::{
    AuditEvent,
    AuditRecord,
    Explanation,
    Verdict, //
};
use foxtailhinge_standins::fleet::Fleet;
use std::{
    path::{
        Path,
        PathBuf, //
    },
    time::Duration,
};

/// Time limit of each wait for the fleet.
const TIMEOUT: Duration = Duration::from_secs(10);
const SERVICE: &str = "syncdesk-api";

/// Path of the daemon's binary, which a build of the workspace puts beside the command line's.
fn daemon_binary() -> PathBuf {
    let binary = Path::new(env!("CARGO_BIN_EXE_foxtailctl")).with_file_name("foxtailhinge");
    assert!(binary.exists(), "Run `cargo build -p foxtailhinge` first.");
    binary
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::builder()
        .daemons(2)
        .zones(2)
        .upstreams(2, 2)
        .binary(daemon_binary())
        .start()
        .unwrap();
    fleet.wait_synced(TIMEOUT).unwrap();
    fleet
}

fn admin(fleet: &Fleet, vm: &str) -> String {
    format!("{}:7002", fleet.ip_of(vm))
}

fn url(fleet: &Fleet) -> String {
    format!("coap://{}/cues", fleet.document_of(SERVICE).address)
}

#[test]
fn requests_reach_an_upstream() {
    let fleet = fleet();
    let read = ctl(&["request", &url(&fleet)]).run();
    assert!(read.stdout().starts_with("2.05 Content\nsyncdesk-api "));
    let feed = ctl(&["request", "--observe", "--count", "2", &url(&fleet)]).run();
    assert_eq!(feed.stdout().matches("2.05 Content\n").count(), 2);
}

#[test]
fn a_zone_that_goes_out_shows_in_status_audit_and_explain() {
    let mut fleet = fleet();
    fleet.zone_out(SERVICE, "windhoek-2");
    fleet.wait_applied(TIMEOUT).unwrap();
    let (first, second) = (admin(&fleet, "vm-1"), admin(&fleet, "vm-2"));

    let status = ctl(&["status", "--admin", &first, "--admin", &second])
        .run()
        .stdout();
    let rows: Vec<Vec<_>> = status
        .lines()
        .map(|l| l.split_whitespace().collect())
        .collect();
    assert!(
        rows.contains(&vec![SERVICE, "windhoek-2", "out", "all"]),
        "{status}"
    );
    assert!(
        rows.contains(&vec![SERVICE, "windhoek-1", "in", "all"]),
        "{status}"
    );

    let audit = ctl(&["audit", "--json", "--service", SERVICE, "--admin", &second])
        .run()
        .stdout();
    let records = audit
        .lines()
        .map(|l| serde_json::from_str::<AuditRecord>(l).unwrap());
    let out = AuditEvent::ZoneOut {
        service: SERVICE.into(),
        zone: "windhoek-2".into(),
    };
    assert_eq!(records.filter(|r| r.event == out).count(), 1, "{audit}");

    let explained = ctl(&["explain", "--json", SERVICE, "--admin", &first])
        .run()
        .stdout();
    let explained: Explanation = serde_json::from_str(&explained).unwrap();
    assert_eq!(explained.upstream.as_deref(), Some("syncdesk-1"));
    let verdicts: Vec<_> = explained.candidates.iter().map(|c| c.verdict).collect();
    assert_eq!(verdicts, [Verdict::Drawn(1), Verdict::ZoneOut]);
}

#[test]
fn explain_shows_the_upstream_of_a_ticket() {
    let fleet = fleet();
    let answer = ctl(&["request", "--json", &url(&fleet)]).run().stdout();
    let answer: serde_json::Value = serde_json::from_str(&answer).unwrap();
    let ticket = answer["ticket"].as_str().unwrap();
    let served = answer["payload"].as_str().unwrap().split(' ').nth(1);

    let admin = admin(&fleet, "vm-2");
    let asked = ctl(&[
        "explain", "--json", SERVICE, "--ticket", ticket, "--admin", &admin,
    ]);
    let explained: Explanation = serde_json::from_str(&asked.run().stdout()).unwrap();
    assert_eq!(explained.upstream.as_deref(), served);

    let foreign = ctl(&[
        "explain",
        "certvault",
        "--ticket",
        ticket,
        "--admin",
        &admin,
    ])
    .run();
    assert!(foreign.all().starts_with("exit code: Some(1)"));
}
