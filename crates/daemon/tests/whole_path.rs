//! An idempotent and a non-idempotent request through real daemon processes.

use foxtailhinge_standins::{
    caller::Outcome,
    fleet::Fleet, //
};
use std::time::Duration;

/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(5);

#[test]
fn answers_are_complete_and_a_post_runs_once() {
    let mut fleet = Fleet::builder()
        .daemons(2)
        .zones(2)
        .upstreams(2, 2)
        .binary(env!("CARGO_BIN_EXE_foxtailhinge"))
        .start()
        .unwrap();
    let caller = fleet.caller("syncdesk-api").unwrap();

    let answer = caller.get("/cues", DEADLINE).answer().unwrap();
    let line = answer.headline().unwrap();
    let expected = format!(
        "syncdesk-api {} GET /cues run=1 id={}",
        line.upstream, line.id
    );
    assert_eq!(String::from_utf8(answer.payload).unwrap(), expected);
    assert!(["syncdesk-1", "syncdesk-2"].contains(&line.upstream.as_str()));

    let posted = caller.post("/clearances", b"clearance-1", DEADLINE);
    assert!(matches!(posted, Outcome::Answered(_)), "{posted:?}");
    let runs = fleet.upstreams().iter().map(|one| one.runs("clearance-1"));
    assert_eq!(runs.sum::<u32>(), 1);
    assert_eq!(caller.moves(), []);
    assert_eq!(caller.counts().wrong_service, 0);
}
