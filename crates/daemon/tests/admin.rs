//! Requests to the admin interface over real sockets.

use foxtailhinge::{
    admin::{
        self,
        connections::Connections,
        ExplainError,
        ExplainQuery,
        FaultsError,
        Operations, //
    },
    audit::{
        Audit,
        AuditEvent,
        AuditPage,
        AuditQuery, //
    },
    metrics::Metrics, //
};
use foxtailhinge_config::report::{
    Candidate,
    DaemonState,
    Explanation,
    Faults,
    PlatformStatus,
    Status,
    Verdict, //
};
use futures::channel::oneshot;
use monoio::{
    net::TcpListener,
    LegacyDriver,
    RuntimeBuilder, //
};
use rstest::rstest;
use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    rc::Rc,
    sync::mpsc,
    thread,
    time::{
        Duration,
        SystemTime, //
    },
};

const TIMEOUT: Duration = Duration::from_secs(20);

struct Fake {
    metrics: Metrics,
    audit: Audit,
}

impl Fake {
    fn new() -> Self {
        let audit = Audit::new(7);
        let at = SystemTime::UNIX_EPOCH + Duration::from_millis(1_700_000_000_123);
        for (service, revision) in [("syncdesk-api", 1), ("certvault", 2)] {
            let service = service.into();
            audit.record_at(at, AuditEvent::DocumentApplied { service, revision });
        }
        audit.record_at(at, AuditEvent::Stopping);
        Self {
            metrics: Metrics::new(),
            audit,
        }
    }
}

impl Operations for Fake {
    fn metrics(&self) -> String {
        self.metrics.render()
    }

    fn status(&self) -> Status {
        Status {
            vm: "vm-1".into(),
            zone: "windhoek-1".into(),
            fleet: "kalahari".into(),
            incarnation: 7,
            state: DaemonState::Serving,
            platform: PlatformStatus {
                reader: true,
                reachable: None,
                revision: 3,
            },
            members: Vec::new(),
            zones: Vec::new(),
            upstreams: Vec::new(),
            documents: Vec::new(),
            refused: Vec::new(),
        }
    }

    fn audit(&self, query: &AuditQuery) -> AuditPage {
        self.audit.page(query)
    }

    fn explain(&self, query: &ExplainQuery) -> Result<Explanation, ExplainError> {
        if query.service != "syncdesk-api" {
            return Err(ExplainError::UnknownService(query.service.clone()));
        }
        let verdict = match &query.ticket {
            Some(bytes) if bytes.len() != 40 => {
                return Err(ExplainError::RefusedTicket("It is cut short.".to_string()));
            }
            Some(_) => Verdict::Ticket,
            None => Verdict::Drawn(1),
        };
        Ok(Explanation {
            service: "syncdesk-api".into(),
            upstream: Some("syncdesk-1".into()),
            owner: Some("vm-1".into()),
            ticket: None,
            candidates: vec![Candidate {
                upstream: "syncdesk-1".into(),
                zone: "windhoek-1".into(),
                owner: Some("vm-1".into()),
                verdict,
            }],
        })
    }

    fn set_faults(&self, faults: Faults) -> Result<(), FaultsError> {
        if faults.deny.is_empty() {
            return Err(FaultsError::NotEnabled);
        }
        Ok(())
    }
}

/// Serves the admin interface of a fake daemon on a thread that runs until the test process ends.
fn start() -> SocketAddr {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
            .enable_timer()
            .build()
            .unwrap();
        runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            tx.send(listener.local_addr().unwrap()).unwrap();
            admin::serve(listener, Rc::new(Fake::new())).await;
        });
    });
    rx.recv().unwrap()
}

fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
}

/// Sends `head` and returns the status line and the body of the response.
fn exchange(addr: SocketAddr, head: &str) -> String {
    let mut stream = connect(addr);
    stream.write_all(head.as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    let (head, body) = response.split_once("\r\n\r\n").unwrap_or((&response, ""));
    format!("{}\n{body}", head.lines().next().unwrap_or_default())
}

fn get(addr: SocketAddr, target: &str) -> String {
    exchange(addr, &format!("GET {target} HTTP/1.1\r\nhost: x\r\n\r\n"))
}

fn put(addr: SocketAddr, target: &str, body: &str) -> String {
    let length = body.len();
    exchange(
        addr,
        &format!("PUT {target} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n{body}"),
    )
}

/// Returns the response to each target, in order.
fn get_all(targets: &[&str]) -> String {
    let addr = start();
    let blocks = targets
        .iter()
        .map(|t| format!("GET {t}\n{}\n", get(addr, t)));
    blocks.collect::<Vec<_>>().join("\n")
}

#[test]
fn reports_are_json() {
    insta::assert_snapshot!(get_all(&[
        "/status",
        "/audit",
        "/audit?since=1&service=certvault",
        "/audit?max=1",
        "/explain?service=syncdesk-api",
    ]));
}

#[test]
fn explain_takes_a_ticket() {
    let target = format!("/explain?service=syncdesk-api&ticket={}", "0f".repeat(40));
    assert!(get(start(), &target).contains("\"verdict\":\"ticket\""));
}

#[test]
fn metrics_are_text() {
    let metrics = get(start(), "/metrics");
    assert!(metrics.starts_with("HTTP/1.1 200 OK\n"));
    assert!(metrics.contains("\nfoxtailhinge_requests_total{outcome=\"not_run\"} 0\n"));
}

#[test]
fn bad_requests_are_refused_with_a_sentence() {
    insta::assert_snapshot!(get_all(&[
        "/nothing",
        "/audit?sinse=1",
        "/audit?since=x",
        "/audit?since=-1",
        "/audit?since=1&since=2",
        "/explain",
        "/explain?service=none",
        "/explain?service=syncdesk-api&ticket=abc",
        "/explain?service=syncdesk-api&ticket=zz",
        "/explain?service=syncdesk-api&ticket=",
        "/explain?service=syncdesk-api&ticket=ab",
        "/status?verbose",
        "/faults",
    ]));
}

#[rstest]
#[case::set(r#"{"deny":["vm-2","platform"]}"#, "HTTP/1.1 200 OK")]
#[case::not_enabled(r#"{"deny":[]}"#, "HTTP/1.1 403 Forbidden")]
#[case::unknown_field(r#"{"deny":[],"x":1}"#, "HTTP/1.1 400 Bad Request")]
#[case::not_json("deny", "HTTP/1.1 400 Bad Request")]
#[case::empty("", "HTTP/1.1 400 Bad Request")]
#[case::too_long(&"x".repeat(65 * 1024), "HTTP/1.1 413 Payload Too Large")]
fn faults_are_read_strictly(#[case] body: &str, #[case] status: &str) {
    let answer = put(start(), "/faults", body);
    assert_eq!(answer.lines().next(), Some(status));
}

#[rstest]
#[case::not_http("\0\u{1}\u{2}\r\n\r\n".to_string())]
#[case::long_target(format!("GET /{} HTTP/1.1\r\n\r\n", "a".repeat(20 * 1024)))]
#[case::long_header(format!("GET /status HTTP/1.1\r\nx: {}\r\n\r\n", "a".repeat(20 * 1024)))]
#[case::many_headers(format!("GET /status HTTP/1.1\r\n{}\r\n", "x: y\r\n".repeat(100)))]
fn hostile_heads_are_refused(#[case] head: String) {
    let addr = start();
    let answer = exchange(addr, &head);
    assert!(answer.starts_with("HTTP/1.1 4"), "{answer:?}");
    assert!(get(addr, "/status").starts_with("HTTP/1.1 200 OK"));
}

#[test]
fn silent_clients_do_not_delay_others() {
    let addr = start();
    let silent: Vec<_> = (0..3 * admin::CONNECTIONS_MAX)
        .map(|_| connect(addr))
        .collect();
    assert!(get(addr, "/status").starts_with("HTTP/1.1 200 OK"));
    drop(silent);
}

#[test]
fn a_connection_over_the_limit_evicts_the_oldest() {
    let connections = Connections::new(2);
    let mut first = connections.admit();
    let mut second = connections.admit();
    assert!(is_open(&mut first));
    let mut third = connections.admit();
    assert!(!is_open(&mut first));
    assert!(is_open(&mut second));

    drop(second);
    let mut fourth = connections.admit();
    assert!(is_open(&mut third));
    assert!(is_open(&mut fourth));
}

fn is_open(evicted: &mut oneshot::Receiver<()>) -> bool {
    matches!(evicted.try_recv(), Ok(None))
}
