//! `foxtailctl status`, `audit`, `explain` and `view`.

use crate::{
    ctl::{
        ctl,
        Ctl, //
    },
    fake_admin::FakeAdmin, //
};
use rstest::rstest;
use std::{
    io::{
        BufRead,
        BufReader, //
    },
    net::{
        SocketAddr,
        TcpListener, //
    },
    process::Stdio,
};

const STATUS: &str = r#"{"vm":"vm-1","zone":"windhoek-1","fleet":"kalahari","incarnation":7,"state":"serving",
"platform":{"reader":true,"reachable":false,"revision":12},
"members":[{"vm":"vm-1","zone":"windhoek-1","state":"live","incarnation":7},
    {"vm":"vm-22","zone":"windhoek-2","state":"suspect","incarnation":null}],
"zones":[{"service":"syncdesk-api","zone":"windhoek-1","in_service":true},
    {"service":"syncdesk-api","zone":"windhoek-2","in_service":false},
    {"service":"certvault","zone":"windhoek-1","in_service":true}],
"upstreams":[
    {"service":"syncdesk-api","upstream":"syncdesk-1","zone":"windhoek-1","address":"10.0.0.1:5683","owner":"vm-1",
        "owned":{"state":"warm","slots":{"used":3,"allowed":4,"limit":4},
            "connections":{"used":1200,"allowed":2000,"limit":2000},"queued":0}},
    {"service":"syncdesk-api","upstream":"syncdesk-2","zone":"windhoek-2","address":"10.0.0.2:5683","owner":"vm-22","owned":null},
    {"service":"certvault","upstream":"certvault-1","zone":"windhoek-1","address":"10.0.0.3:5683","owner":null,
        "owned":{"state":"cold","slots":{"used":1,"allowed":1,"limit":4},
            "connections":{"used":10,"allowed":50,"limit":2000},"queued":2}}],
"documents":[{"service":"syncdesk-api","revision":9},{"service":"certvault","revision":3}],
"refused":[{"service":"certvault","revision":11,"findings":[
    {"file":"certvault","line":4,"column":9,"message":"Write \"in\" or \"out\"."}]}]}"#;

const VIEW: &str = r#"{"vm":"vm-1","zone":"windhoek-1","ready":true,"revision":62,"age_ms":810,"store_lost_ms":null,"role":"follower","reader":"vm-9","members":12,
"configuration":19,"routes":12,"flows":163,"upstreams":[
    {"service":"certvault","id":"0070000f01","address":"10.0.0.3:8080","zone":"windhoek-1","standing":"cold",
        "in_progress":0,"slots":4,"revision":61},
    {"service":"syncdesk-api","id":"00b4b3dc6e","address":"10.0.0.1:8080","zone":"windhoek-1","standing":"good",
        "in_progress":3,"slots":4,"revision":12},
    {"service":"syncdesk-api","id":"001c6bfad6","address":"10.0.0.2:8080","zone":"windhoek-2","standing":"silent",
        "in_progress":1,"slots":4,"revision":40}]}"#;

/// View of a daemon that rejects openings, sends flows away and is slow itself.
const LOADED: &str = r#"{"vm":"vm-1","zone":"windhoek-1","ready":true,"revision":62,"age_ms":810,"store_lost_ms":null,
"configuration":19,"routes":12,"flows":163,"own_delay_ms":62.5,"loads":[
    {"service":"certvault","slots":8,"utilization":0.3,"service_time_ms":null,"goal_ms":125.0,"refusal_rate":0.0,
        "admitted":1.0,"leaving":[],"daemons":1},
    {"service":"syncdesk-api","slots":56,"utilization":1.314,"service_time_ms":41.26,"goal_ms":32.0,"refusal_rate":0.0214,
        "admitted":0.8512,"leaving":[{"zone":"windhoek-2","share":0.12},{"zone":"windhoek-3","share":0.031}],"daemons":8,
        "field_of_a_later_version":true}],"upstreams":[]}"#;

/// Loads of a daemon whose version reports other fields.
const LOAD_OF_OTHER_VERSION: &str = r#"{"vm":"vm-1","zone":"windhoek-1","ready":true,"revision":62,"age_ms":810,"store_lost_ms":null,
"configuration":19,"routes":12,"flows":163,"loads":[{"service":"syncdesk-api"}],"upstreams":[]}"#;

const ADMISSION: &str = r#"{"vm":"vm-1","caller":"100.67.0.24","openings":[
{"route":"198.18.0.1:8080","name":"orders","service":"syncdesk-api","priority":1,"place":0.3127,"admitted":0.8512,
    "is_heavy":false,"rejected":null,"leaves":false,"leaving":[{"zone":"windhoek-2","share":0.12}]},
{"route":"198.18.0.1:8081","name":"orders-late","service":"syncdesk-api","priority":2,"place":0.8127,"admitted":0.8512,
    "is_heavy":true,"rejected":null,"leaves":true,"leaving":[{"zone":"windhoek-2","share":0.12}]},
{"route":"198.18.0.1:8082","name":"reports","service":"syncdesk-api","priority":null,"place":0.9871,"admitted":0.8512,
    "is_heavy":true,"rejected":"heavy_caller","leaves":false,"leaving":[{"zone":"windhoek-2","share":0.12}]}]}"#;

const REJECTED: &str = r#"{"vm":"vm-1","caller":"100.67.0.24","openings":[
{"route":"198.18.0.1:8080","name":"orders","service":"certvault","priority":1,"place":0.3127,"admitted":1.0,
    "is_heavy":false,"rejected":"own_delay","leaves":false},
{"route":"198.18.0.1:8080","name":"orders","service":"syncdesk-api","priority":1,"place":0.9127,"admitted":0.85,
    "is_heavy":false,"rejected":"overload","leaves":false}],"left_out":3}"#;

const ADMITTED: &str = r#"{"vm":"vm-1","caller":"100.67.0.24","openings":[
{"route":"198.18.0.1:8080","name":"orders","service":"syncdesk-api","priority":1,"place":0.9127,"admitted":1.0,
    "is_heavy":false,"rejected":null,"leaves":false}]}"#;

/// View of a daemon that cannot reach the store.
const STORE_LOST: &str = r#"{"vm":"vm-2","zone":"windhoek-2","ready":false,"revision":0,"age_ms":null,"store_lost_ms":4100,
"configuration":null,"routes":0,"flows":0,"upstreams":[]}"#;

const AUDIT: &str = r#"{"incarnation":7,"records":[
{"seq":4,"at_ms":951782400001,"event":"document-applied","service":"certvault","revision":3},
{"seq":5,"at_ms":951868799999,"event":"document-refused","service":"certvault","revision":11,"findings":[
    {"file":"certvault","line":4,"column":9,"message":"Write \"in\" or \"out\"."}]},
{"seq":6,"at_ms":1767225599000,"event":"zone-out","service":"syncdesk-api","zone":"windhoek-2"},
{"seq":7,"at_ms":1767225600000,"event":"upstream-state","service":"syncdesk-api","upstream":"syncdesk-1","from":"cold","to":"warm"},
{"seq":8,"at_ms":1767225600000,"event":"owner-moved","service":"syncdesk-api","upstream":"syncdesk-1","from":null,"to":"vm-1"},
{"seq":9,"at_ms":1767225600000,"event":"member-state","vm":"vm-2","state":"dead","incarnation":77},
{"seq":10,"at_ms":1767225600000,"event":"fleet-fenced"}]}"#;

const NEW_FLOW: &str = r#"{"service":"syncdesk-api","upstream":"syncdesk-1","owner":"vm-1","ticket":null,"candidates":[
{"upstream":"syncdesk-1","zone":"windhoek-1","owner":"vm-1","verdict":{"drawn":1}},
{"upstream":"syncdesk-3","zone":"windhoek-1","owner":null,"verdict":"no-owner"},
{"upstream":"syncdesk-2","zone":"windhoek-2","owner":"vm-22","verdict":"zone-out"}]}"#;

const OLD_FLOW: &str = r#"{"service":"syncdesk-api","upstream":"syncdesk-1","owner":"vm-1",
"ticket":{"upstream_incarnation":3,"issuer":null,"issuer_incarnation":99,"flow":5,"epoch":2},"candidates":[
{"upstream":"syncdesk-1","zone":"windhoek-1","owner":"vm-1","verdict":"ticket"},
{"upstream":"syncdesk-2","zone":"windhoek-2","owner":"vm-22","verdict":"other-ticket"}]}"#;

fn ctl_with_admin(admin: SocketAddr, args: &[&str]) -> Ctl {
    let admin = admin.to_string();
    ctl(args).arg("--admin").arg(&admin).hide(&admin, "ADMIN")
}

#[rstest]
#[case::text("status", &["status"])]
#[case::json("status in JSON", &["status", "--json"])]
#[case::service("status of a service", &["status", "--service", "certvault"])]
fn status_shows_the_state_of_a_daemon(#[case] name: &str, #[case] args: &[&str]) {
    let admin = FakeAdmin::default().answer("/status", 200, STATUS).start();
    insta::assert_snapshot!(name, ctl_with_admin(admin, args).run().all());
}

#[test]
fn status_compares_daemons() {
    let other = STATUS
        .replace(
            "\"vm\":\"vm-1\",\"zone\":\"windhoek-1\",\"fleet\"",
            "\"vm\":\"vm-22\",\"zone\":\"windhoek-2\",\"fleet\"",
        )
        .replace("\"revision\":9", "\"revision\":8");
    let first = FakeAdmin::default().answer("/status", 200, STATUS).start();
    let second = FakeAdmin::default().answer("/status", 200, &other).start();
    let second = second.to_string();
    let run = ctl_with_admin(first, &["status", "--service", "syncdesk-api"])
        .arg("--admin")
        .arg(&second)
        .hide(&second, "SECOND")
        .run();
    insta::assert_snapshot!(run.all());
}

#[test]
fn an_unreachable_daemon_does_not_hide_the_others() {
    let first = FakeAdmin::default().answer("/status", 200, STATUS).start();
    let unreachable = closed_port().to_string();
    let run = ctl_with_admin(first, &["status", "--service", "none"])
        .arg("--admin")
        .arg(&unreachable)
        .hide(&unreachable, "AWAY")
        .run();
    insta::assert_snapshot!(run.all());
}

#[rstest]
#[case::text("audit", &["audit"], "/audit?since=0")]
#[case::json("audit in JSON", &["audit", "--json"], "/audit?since=0")]
#[case::service("audit of a service", &["audit", "--since", "3", "--service", "a b"], "/audit?since=3&service=a+b")]
fn audit_shows_records(#[case] name: &str, #[case] args: &[&str], #[case] target: &str) {
    let admin = FakeAdmin::default().answer(target, 200, AUDIT).start();
    insta::assert_snapshot!(name, ctl_with_admin(admin, args).run().all());
}

#[test]
fn audit_follows_a_daemon_over_its_restart() {
    let page = |incarnation: u32, seqs: &[u64]| {
        let records = seqs
            .iter()
            .map(|seq| format!(r#"{{"seq":{seq},"at_ms":0,"event":"stopping"}}"#));
        let records: Vec<_> = records.collect();
        format!(
            r#"{{"incarnation":{incarnation},"records":[{}]}}"#,
            records.join(",")
        )
    };
    let admin = FakeAdmin::default()
        .answer("/audit?since=0", 200, &page(7, &[1, 2]))
        .answer("/audit?since=0", 200, &page(8, &[1]))
        .answer("/audit?since=2", 200, &page(7, &[3]))
        .answer("/audit?since=3", 200, &page(8, &[]))
        .answer("/audit?since=1", 200, &page(8, &[2]))
        .answer("/audit?since=2", 200, &page(8, &[]))
        .start();
    let mut follow = ctl_with_admin(admin, &["audit", "--follow", "--json"])
        .command()
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let stdout = BufReader::new(follow.stdout.take().unwrap());
    let lines: Vec<_> = stdout.lines().take(5).map(Result::unwrap).collect();
    follow.kill().unwrap();
    follow.wait().unwrap();
    insta::assert_snapshot!(lines.join("\n"));
}

#[rstest]
#[case::new_flow("new flow", &["explain", "syncdesk-api"], "/explain?service=syncdesk-api", NEW_FLOW)]
#[case::ticket("flow with a ticket", &["explain", "syncdesk-api", "--ticket", "0f"], "/explain?service=syncdesk-api&ticket=0f", OLD_FLOW)]
#[case::json("new flow in JSON", &["explain", "syncdesk-api", "--json"], "/explain?service=syncdesk-api", NEW_FLOW)]
#[case::nowhere("flow that goes nowhere", &["explain", "syncdesk-api"], "/explain?service=syncdesk-api", r#"{"service":"syncdesk-api","upstream":null,"owner":null,"ticket":null,"candidates":[]}"#)]
fn explain_shows_the_verdict_on_each_candidate(
    #[case] name: &str,
    #[case] args: &[&str],
    #[case] target: &str,
    #[case] answer: &str,
) {
    let admin = FakeAdmin::default().answer(target, 200, answer).start();
    insta::assert_snapshot!(name, ctl_with_admin(admin, args).run().all());
}

#[rstest]
#[case::refused(
    "refused",
    404,
    r#"{"error":"Name another service; \"x\" has no document in force here."}"#
)]
#[case::no_reason("refused without a reason", 500, "oops")]
#[case::not_json("answer that is not JSON", 200, "<html>")]
#[case::other_version("answer of another version", 200, r#"{"vm":"vm-1"}"#)]
fn bad_answers_end_with_code_1(#[case] name: &str, #[case] status: u16, #[case] body: &str) {
    let admin = FakeAdmin::default().answer("/status", status, body).start();
    insta::assert_snapshot!(name, ctl_with_admin(admin, &["status"]).run().all());
}

#[test]
fn an_unreachable_daemon_ends_with_code_1() {
    insta::assert_snapshot!(ctl_with_admin(closed_port(), &["status"]).run().all());
}

/// An address at which nothing listens.
fn closed_port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

#[rstest]
#[case::text("view", &["view"])]
#[case::json("view in JSON", &["view", "--json", "--service", "certvault"])]
#[case::service("view of a service", &["view", "--service", "certvault"])]
fn view_shows_the_state_of_a_daemon(#[case] name: &str, #[case] args: &[&str]) {
    let admin = FakeAdmin::default().answer("/status", 200, VIEW).start();
    insta::assert_snapshot!(name, ctl_with_admin(admin, args).run().all());
}

#[test]
fn views_are_shown_one_after_the_other() {
    let first = FakeAdmin::default().answer("/status", 200, VIEW).start();
    let second = FakeAdmin::default()
        .answer("/status", 200, STORE_LOST)
        .start();
    let (second, unreachable) = (second.to_string(), closed_port().to_string());
    let run = ctl_with_admin(first, &["view"])
        .args(&["--admin", &second, "--admin", &unreachable])
        .hide(&second, "SECOND")
        .hide(&unreachable, "AWAY")
        .run();
    insta::assert_snapshot!(run.all());
}

/// The load was visible in the metrics only, so that an operator could not tell a full zone from a slow one.
#[rstest]
#[case::text("view of a loaded daemon", &["view"], LOADED)]
#[case::service("view of the load of a service", &["view", "--service", "certvault"], LOADED)]
#[case::json("view of a loaded daemon in JSON", &["view", "--json"], LOADED)]
#[case::other_version("view of the load from another version", &["view"], LOAD_OF_OTHER_VERSION)]
fn view_shows_the_load(#[case] name: &str, #[case] args: &[&str], #[case] status: &str) {
    let admin = FakeAdmin::default().answer("/status", 200, status).start();
    insta::assert_snapshot!(name, ctl_with_admin(admin, args).run().all());
}

/// A caller that is rejected has to be told from one that is sent to another zone, and each cause from the others.
#[rstest]
#[case::service("caller of a service", &["syncdesk-api"], "service=syncdesk-api", ADMISSION)]
#[case::json("caller of a service in JSON", &["syncdesk-api", "--json"], "service=syncdesk-api", ADMISSION)]
#[case::route("caller of a route", &["198.18.0.1:8080"], "route=198.18.0.1%3A8080", REJECTED)]
#[case::admitted("admitted caller", &["198.18.0.1:8080"], "route=198.18.0.1%3A8080", ADMITTED)]
fn explain_shows_the_verdict_on_a_caller(
    #[case] name: &str,
    #[case] args: &[&str],
    #[case] target: &str,
    #[case] answer: &str,
) {
    let target = format!("/explain?caller=100.67.0.24&{target}");
    let admin = FakeAdmin::default().answer(&target, 200, answer).start();
    let args = [&["explain", "--caller", "100.67.0.24"], args].concat();
    insta::assert_snapshot!(name, ctl_with_admin(admin, &args).run().all());
}

/// A caller of packet mode has no tickets; one of the two options would be ignored.
#[test]
fn a_caller_and_a_ticket_exclude_each_other() {
    let args = ["explain", "--caller", "100.67.0.24", "--ticket", "0f", "x"];
    insta::assert_snapshot!(ctl_with_admin(closed_port(), &args).run().all());
}
