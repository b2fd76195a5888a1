//! The read-only interface of the platform's stand-in.

use foxtailhinge_standins::platform::{
    Documents,
    Platform, //
};
use monoio::{
    LegacyDriver,
    RuntimeBuilder, //
};
use std::{
    net::SocketAddr,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

/// Sends a request over HTTP/2; returns the status and the body.
fn fetch(addr: SocketAddr, method: &'static str, path: &str) -> (u16, String) {
    let uri = format!("http://{addr}{path}");
    let builder = RuntimeBuilder::<LegacyDriver>::new();
    let mut runtime = builder.enable_timer().build().unwrap();
    runtime.block_on(async move {
        let stream = monoio::net::TcpStream::connect(addr).await.unwrap();
        let stream = monoio_compat::StreamWrapper::new(stream);
        let (mut tx, connection) = h2::client::handshake(stream).await.unwrap();
        monoio::spawn(async move {
            let _ = connection.await;
        });
        let req = http::Request::builder().method(method).uri(uri);
        let (answer, _) = tx.send_request(req.body(()).unwrap(), true).unwrap();
        let answer = answer.await.unwrap();
        let status = answer.status().as_u16();
        let mut stream = answer.into_body();
        let mut body = Vec::new();
        while let Some(chunk) = stream.data().await {
            let chunk = chunk.unwrap();
            let _ = stream.flow_control().release_capacity(chunk.len());
            body.extend_from_slice(&chunk);
        }
        (status, String::from_utf8(body).unwrap())
    })
}

fn documents(addr: SocketAddr, query: &str) -> Documents {
    let (status, body) = fetch(addr, "GET", &format!("/v1/documents{query}"));
    assert_eq!(status, 200);
    serde_json::from_str(&body).unwrap()
}

#[test]
fn a_watch_waits_for_the_next_revision() {
    let addr = "127.0.8.20:8080".parse().unwrap();
    let platform = Platform::start(addr).unwrap();
    let first = platform.publish("certvault", "{}");
    let watch = thread::spawn(move || documents(addr, "?since=1&wait_ms=10000"));
    while platform.calls() == 0 {
        thread::sleep(Duration::from_millis(5));
    }
    assert!(!watch.is_finished());
    let second = platform.publish("syncdesk-api", "{}");
    let seen = watch.join().unwrap();
    assert_eq!((first, second, seen.revision), (1, 2, 2));
    let names: Vec<_> = seen.documents.iter().map(|one| &one.service).collect();
    assert_eq!(names, ["syncdesk-api"]);
    assert_eq!(platform.calls(), 1);
}

#[test]
fn a_removed_document_has_no_text() {
    let addr = "127.0.8.21:8080".parse().unwrap();
    let platform = Platform::start(addr).unwrap();
    platform.publish("certvault", "{}");
    platform.remove("certvault");
    let seen = documents(addr, "");
    assert!(seen.documents[0].removed);
    assert_eq!(seen.documents[0].text, None);
}

#[test]
fn a_stale_platform_answers_with_an_old_revision() {
    let addr = "127.0.8.22:8080".parse().unwrap();
    let platform = Platform::start(addr).unwrap();
    platform.publish("certvault", "{}");
    platform.stale(true);
    platform.publish("certvault", "{ }");
    assert_eq!(documents(addr, "").revision, 1);
    platform.stale(false);
    assert_eq!(documents(addr, "").revision, 2);
}

#[test]
fn a_rewound_platform_answers_as_before_its_last_changes() {
    let addr = "127.0.8.25:8080".parse().unwrap();
    let platform = Platform::start(addr).unwrap();
    platform.publish("certvault", "{}");
    platform.publish("certvault", "{ }");
    platform.publish("syncdesk-api", "{}");
    platform.rewind(2);
    assert_eq!(documents(addr, "").revision, 1);
}

#[test]
fn writes_are_refused() {
    let addr = "127.0.8.23:8080".parse().unwrap();
    let platform = Platform::start(addr).unwrap();
    let (status, _) = fetch(addr, "PUT", "/v1/documents/certvault");
    assert_eq!((status, platform.refused()), (405, 1));
}

#[test]
fn a_stopped_platform_refuses_connections_until_it_resumes() {
    let addr: SocketAddr = "127.0.8.24:8080".parse().unwrap();
    let platform = Platform::start(addr).unwrap();
    platform.stop();
    let wait = |up: bool| {
        let end = Instant::now() + Duration::from_secs(5);
        while std::net::TcpStream::connect(addr).is_ok() != up {
            assert!(
                Instant::now() < end,
                "the platform did not change its state within 5 s"
            );
            thread::sleep(Duration::from_millis(10));
        }
    };
    wait(false);
    platform.resume();
    wait(true);
}
