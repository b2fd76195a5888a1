//! `foxtailctl request`.

use crate::{
    ctl::{
        ctl,
        Run, //
    },
    fake_service::serve, //
};
use foxtailhinge_wire::coap::{
    Block,
    Datagram,
    Method,
    Status, //
};
use rstest::rstest;
use std::{
    net::SocketAddr,
    time::Duration, //
};

const TICKET: [u8; 40] = [0xab; 40];
const RENEWED_TICKET: [u8; 40] = [0xcd; 40];

fn request(service: SocketAddr, path: &str, args: &[&str]) -> Run {
    let url = format!("coap://{service}{path}");
    ctl(&["request"])
        .hide(&service.to_string(), "SERVICE")
        .arg(&url)
        .args(args)
        .run()
}

fn with_ticket(req: &Datagram, status: Status, ticket: &[u8]) -> Datagram {
    let mut answer = Datagram::response_to(req, status, 1);
    answer.set_echo(ticket);
    answer
}

fn content(req: &Datagram, payload: &str) -> Datagram {
    with_ticket(req, Status::Content, &RENEWED_TICKET).with_payload(payload.as_bytes().to_vec())
}

/// Refuses a request without a ticket and sends one; answers any other request with a description of it.
fn open_flow_then_describe(req: &Datagram) -> Vec<Datagram> {
    if req.echo().is_none() {
        return vec![with_ticket(req, Status::Unauthorized, &TICKET)];
    }
    assert_eq!(req.echo(), Some(&TICKET[..]));
    let method = req.method().unwrap();
    let payload = String::from_utf8_lossy(req.payload());
    let deadline = req.deadline();
    vec![content(
        req,
        &format!("{method:?} {} {payload:?} {deadline:?}", req.path()),
    )]
}

#[rstest]
#[case::get("get", "/cues", &[])]
#[case::root("root", "", &[])]
#[case::post("post", "/clearances", &["--method", "post", "--payload", "{\"track\":7}", "--deadline-ms", "500"])]
#[case::json("get in JSON", "/cues", &["--json"])]
fn a_flow_is_opened_first(#[case] name: &str, #[case] path: &str, #[case] args: &[&str]) {
    let service = serve(|req, _| open_flow_then_describe(req));
    insta::assert_snapshot!(name, request(service, path, args).all());
}

#[test]
fn a_given_ticket_is_sent_at_once() {
    let service = serve(|req, number| {
        assert_eq!(number, 1);
        open_flow_then_describe(req)
    });
    let ticket = "ab".repeat(40);
    insta::assert_snapshot!(request(service, "/cues", &["--ticket", &ticket]).all());
}

#[rstest]
#[case::not_run("not run", Status::ServiceUnavailable)]
#[case::unknown("unknown outcome", Status::GatewayTimeout)]
#[case::not_found("not found", Status::NotFound)]
fn refusals_end_with_code_1(#[case] name: &str, #[case] status: Status) {
    let service = serve(move |req, _| {
        let mut answer = Datagram::response_to(req, status, 1);
        answer.set_max_age(Duration::from_secs(7));
        vec![answer]
    });
    insta::assert_snapshot!(name, request(service, "/cues", &[]).all());
}

#[rstest]
#[case::get("given up", "get", 3)]
#[case::post("given up post", "post", 1)]
fn only_an_idempotent_request_is_repeated_in_a_new_flow(
    #[case] name: &str,
    #[case] method: &str,
    #[case] requests: usize,
) {
    let service = serve(move |req, number| {
        assert!(number <= requests);
        match req.echo() {
            Some(echo) if echo == [0; 40] => {
                vec![Datagram::response_to(req, Status::Unauthorized, 1)]
            }
            _ => open_flow_then_describe(req),
        }
    });
    let ticket = "00".repeat(40);
    let run = request(service, "/cues", &["--method", method, "--ticket", &ticket]);
    insta::assert_snapshot!(name, run.all());
}

#[test]
fn a_service_that_never_accepts_a_ticket_ends_with_code_1() {
    let service = serve(|req, _| vec![with_ticket(req, Status::Unauthorized, &TICKET)]);
    insta::assert_snapshot!(request(service, "/cues", &[]).all());
}

#[test]
fn foreign_and_late_answers_are_ignored() {
    let service = serve(|req, _| {
        let other = req.clone().with_token(b"other");
        let earlier = req
            .clone()
            .with_message_id(req.message_id().wrapping_sub(1));
        vec![
            content(&other, "foreign"),
            content(&earlier, "late"),
            content(req, "mine"),
        ]
    });
    insta::assert_snapshot!(request(service, "/cues", &[]).all());
}

#[test]
fn a_lost_request_is_retransmitted() {
    let service = serve(|req, number| match number {
        1 => Vec::new(),
        _ => vec![content(req, "again")],
    });
    insta::assert_snapshot!(request(service, "/cues", &[]).all());
}

#[test]
fn a_missing_answer_ends_with_code_1() {
    let service = serve(|_, _| Vec::new());
    insta::assert_snapshot!(request(service, "/cues", &["--timeout-ms", "100"]).all());
}

#[test]
fn blocks_are_reassembled() {
    let service = serve(|req, _| {
        let number = req.block2().map_or(0, |b| b.number);
        let block = Block {
            number,
            more: number < 2,
            size_exponent: 0,
        };
        let mut answer = content(req, &format!("block {number:010}"));
        answer.set_block2(block);
        vec![answer]
    });
    insta::assert_snapshot!(request(service, "/layouts", &[]).all());
}

#[test]
fn notifications_are_printed_in_order_until_the_count() {
    let service = serve(|req, _| {
        assert_eq!(req.method(), Some(Method::Get));
        if req.observe() != Some(0) {
            return Vec::new();
        }
        let notify = |number: u32, payload: &str| {
            let mut answer = content(req, payload);
            if number > 10 {
                answer.set_kind(foxtailhinge_wire::coap::Kind::Non);
            }
            answer.set_observe(number);
            answer
        };
        vec![
            notify(10, "first"),
            notify(12, "second"),
            notify(11, "older"),
            notify(13, "third"),
        ]
    });
    let run = request(service, "/cues", &["--observe", "--count", "3"]);
    insta::assert_snapshot!(run.all());
}
