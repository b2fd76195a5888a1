//! Responses of a store that are duplicated, cut off or malformed.

use foxtailhinge::{
    packets::{
        metrics::PacketMetrics,
        view::View, //
    },
    store::{
        follow,
        Source,
        StoreError, //
    },
};
use foxtailhinge_config::packet_settings::PacketLimits;
use foxtailhinge_policy::packets::Version;
use futures::future::select;
use monoio::{
    LegacyDriver,
    RuntimeBuilder, //
};
use rstest::rstest;
use serde_json::json;
use socket2::{
    Domain,
    Socket,
    Type, //
};
use std::{
    collections::VecDeque,
    future::Future,
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    pin::pin,
    rc::Rc,
    sync::{
        atomic::{
            AtomicUsize,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// One step of a store's script: the response to a call. The connection is closed after a response that `closes`, or
/// at a call for which no step is left.
#[derive(Clone)]
struct Step {
    bytes: Vec<u8>,
    closes: bool,
    /// Pause in the middle of the response, and in the middle of its second half.
    pause: Duration,
}

/// A store that answers each call with the next step of its script.
struct Store {
    addr: SocketAddr,
    connections: Arc<AtomicUsize>,
    calls: Arc<Mutex<Vec<Instant>>>,
}

impl Store {
    fn start(script: Vec<Step>) -> Self {
        Self::serve(TcpListener::bind("127.0.0.1:0").unwrap(), script)
    }

    fn serve(listener: TcpListener, script: Vec<Step>) -> Self {
        let addr = listener.local_addr().unwrap();
        let connections = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&connections);
        let calls = Arc::new(Mutex::new(Vec::new()));
        let called = Arc::clone(&calls);
        let script = Arc::new(Mutex::new(VecDeque::from(script)));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                counted.fetch_add(1, Ordering::Relaxed);
                let (script, called) = (Arc::clone(&script), Arc::clone(&called));
                thread::spawn(move || answer(stream, &script, &called));
            }
        });
        Self {
            addr,
            connections,
            calls,
        }
    }

    fn view(&self) -> View {
        View::new(
            self.addr,
            PacketLimits::default(),
            Rc::new(PacketMetrics::new()),
        )
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// When each call arrived.
    fn calls(&self) -> Vec<Instant> {
        self.calls.lock().unwrap().clone()
    }
}

fn answer(mut stream: TcpStream, script: &Mutex<VecDeque<Step>>, calls: &Mutex<Vec<Instant>>) {
    let mut buf = [0; 4_096];
    while stream.read(&mut buf).is_ok_and(|n| n > 0) {
        calls.lock().unwrap().push(Instant::now());
        let Some(step) = script.lock().unwrap().pop_front() else {
            return;
        };
        let (first, second) = step.bytes.split_at(step.bytes.len() / 2);
        let (second, third) = second.split_at(second.len() / 2);
        for part in [first, second, third] {
            if stream.write_all(part).is_err() {
                return;
            }
            thread::sleep(step.pause);
        }
        if step.closes {
            return;
        }
    }
}

fn response(body: &str) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body.as_bytes()].concat()
}

fn step(bytes: Vec<u8>) -> Step {
    Step {
        bytes,
        closes: false,
        pause: Duration::ZERO,
    }
}

/// Returns an empty list at revision 5.
fn list() -> Step {
    let body = json!({"items": [], "has_more": false, "store_revision": 5});
    step(response(&body.to_string()))
}

/// Returns a response with one change of another writer at each of `revisions`.
fn changes(revisions: &[u64], store_revision: u64) -> Vec<u8> {
    let events: Vec<_> = revisions
        .iter()
        .map(|revision| json!({"key": "somebody/else", "value": "MQ==", "revision": revision}))
        .collect();
    let body = json!({"events": events, "store_revision": store_revision});
    response(&body.to_string())
}

fn block_on<F: Future>(work: F) -> F::Output {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .unwrap();
    runtime.block_on(work)
}

#[test]
fn a_late_duplicate_of_a_response_is_not_used_for_the_next_call() {
    let duplicated = [changes(&[6], 6), changes(&[7], 7)].concat();
    let store = Store::start(vec![
        list(),
        step(changes(&[6], 6)),
        step(duplicated),
        step(changes(&[7], 7)),
    ]);
    block_on(async {
        let view = store.view();
        view.list().await.unwrap();
        view.watch(5).await.unwrap();
        let before = view.directory().as_of();
        let err = view.watch(6).await.unwrap_err();
        assert!(matches!(err, StoreError::Mismatched), "{err}");
        view.record_failure(&err);
        assert_eq!(
            view.directory().as_of(),
            before,
            "a mismatched response is no proof of freshness"
        );
        view.watch(6).await.unwrap();
        assert_eq!(view.directory().version(), 7.into());
    });
    assert_eq!(store.connections(), 2, "the connection is not reused");
}

#[test]
fn an_early_response_without_changes_does_not_make_the_view_fresh() {
    let store = Store::start(vec![list(), step(changes(&[], 5))]);
    block_on(async {
        let view = store.view();
        view.list().await.unwrap();
        let err = view.watch(5).await.unwrap_err();
        assert!(matches!(err, StoreError::Mismatched), "{err}");
        assert_eq!(view.directory().as_of(), None);
    });
}

#[rstest]
#[case::truncated(response(r#"{"events": [], "store_revision": 9}"#)[..60].to_vec())]
#[case::invalid_json(response("{\"events\": ["))]
#[case::list_instead_of_changes(response(r#"{"items": [], "store_revision": 9}"#))]
#[case::wrong_types(response(r#"{"events": 7, "store_revision": "9"}"#))]
#[case::not_http(b"hello\r\n\r\n".to_vec())]
fn a_truncated_or_malformed_response_changes_nothing(#[case] bytes: Vec<u8>) {
    let broken = Step {
        closes: true,
        ..step(bytes)
    };
    let store = Store::start(vec![list(), broken, step(changes(&[6], 6))]);
    block_on(async {
        let view = store.view();
        view.list().await.unwrap();
        let err = view.watch(5).await.unwrap_err();
        view.record_failure(&err);
        assert_eq!(view.position(), Some(5), "{err}");
        assert_eq!(view.directory().as_of(), None);
        view.watch(5).await.unwrap();
        assert_eq!(view.directory().version(), 6.into());
    });
    assert_eq!(store.connections(), 2);
}

/// Answers nothing, and leaves the connection open.
fn silence() -> Step {
    step(Vec::new())
}

/// A connection went silent during the pause between two watches, and the next watch waited on it as long as on one that
/// had just been used.
#[rstest]
#[case::short_pause(Duration::from_millis(1_000))]
#[case::longest_pause(Duration::from_millis(1_800))]
fn a_connection_that_goes_silent_between_two_watches_is_given_up_in_time(#[case] pause: Duration) {
    let store = Store::start(vec![
        list(),
        step(changes(&[6], 6)),
        silence(),
        step(changes(&[7], 7)),
    ]);
    let notice = PacketLimits::default().notice;
    block_on(async {
        let view = store.view();
        view.list().await.unwrap();
        view.watch(5).await.unwrap();
        let heard = Instant::now();
        monoio::time::sleep(pause).await;
        let err = view.watch(6).await.unwrap_err();
        assert!(heard.elapsed() < notice, "{:?}", heard.elapsed());
        view.record_failure(&err);
        view.watch(6).await.unwrap();
        assert_eq!(view.version(), 7.into());
    });
}

/// The time for a new connection came on top of that for the lost answer.
#[test]
fn a_connection_is_open_when_an_answer_is_given_up() {
    let store = Store::start(vec![list(), silence(), step(changes(&[6], 6))]);
    block_on(async {
        let view = store.view();
        view.list().await.unwrap();
        let err = view.watch(5).await.unwrap_err();
        assert_eq!(store.connections(), 2);
        view.record_failure(&err);
        view.watch(5).await.unwrap();
    });
    assert_eq!(store.connections(), 2, "the new connection is used");
}

/// A store without the history is available, but the daemon backed off as after a failure, and connected again.
#[test]
fn a_store_without_the_history_is_listed_at_once_after_an_outage() {
    let closes = Step {
        closes: true,
        ..silence()
    };
    let gone = step(b"HTTP/1.1 410 Gone\r\nContent-Length: 2\r\n\r\n{}".to_vec());
    let mut script = vec![list()];
    script.extend(vec![closes; 4]);
    script.extend([gone, list(), silence()]);
    let store = Store::start(script);
    block_on(async {
        let view = store.view();
        let follow = pin!(follow(&view));
        let listed = pin!(async {
            while store.calls().len() < 7 {
                monoio::time::sleep(Duration::from_millis(5)).await;
            }
        });
        select(follow, listed).await;
    });
    let calls = store.calls();
    let pause = calls[6] - calls[5];
    assert!(pause < Duration::from_millis(300), "{pause:?}");
    assert_eq!(store.connections(), 5, "one more for each failed call");
}

/// The kernel repeats a lost SYN after a second, which is a third of the time in which a change must be in force.
#[test]
fn a_lost_syn_delays_a_call_by_less_than_half_a_second() {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let addr: SocketAddr = "127.0.0.1:0".parse().unwrap();
    socket.bind(&addr.into()).unwrap();
    socket.listen(0).unwrap();
    let listener = TcpListener::from(socket);
    // Linux drops a SYN while the queue for accepted connections is full.
    let _queued = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let addr = listener.local_addr().unwrap();
    let serving = thread::spawn(move || {
        thread::sleep(Duration::from_millis(100));
        Store::serve(listener, vec![list()])
    });
    let began = Instant::now();
    block_on(async {
        let metrics = Rc::new(PacketMetrics::new());
        let view = View::new(addr, PacketLimits::default(), metrics);
        view.list().await.unwrap();
    });
    let took = began.elapsed();
    assert!(took < Duration::from_millis(500), "{took:?}");
    serving.join().unwrap();
}

/// Daemons with slow links gave up each page of a large list, however long they tried.
#[test]
fn an_answer_that_keeps_arriving_is_not_given_up() {
    let large = Step {
        pause: Duration::from_millis(600),
        ..list()
    };
    let store = Store::start(vec![large]);
    block_on(async {
        let view = store.view();
        view.list().await.unwrap();
        assert_eq!(view.version(), 5.into());
    });
}

#[test]
fn an_answer_that_stops_arriving_is_given_up() {
    let stopped = Step {
        pause: Duration::from_secs(5),
        ..list()
    };
    let store = Store::start(vec![stopped]);
    let began = Instant::now();
    block_on(async {
        let err = store.view().list().await.unwrap_err();
        assert!(matches!(err, StoreError::Timeout), "{err}");
    });
    assert!(began.elapsed() < Duration::from_secs(2));
}

/// A daemon asked again and again for changes that were too long for it, until the store had forgotten them.
#[test]
fn the_store_is_listed_again_when_the_changes_are_too_long() {
    let large = json!({"events": [], "padding": " ".repeat(17 << 20)});
    let store = Store::start(vec![
        list(),
        step(response(&large.to_string())),
        list(),
        step(changes(&[6], 6)),
    ]);
    block_on(async {
        let view = store.view();
        view.list().await.unwrap();
        let err = view.watch(5).await.unwrap_err();
        assert!(matches!(err, StoreError::TooLong { .. }), "{err}");
        view.record_failure(&err);
        assert_eq!(view.position(), None, "the store is listed again");
        view.list().await.unwrap();
        view.watch(5).await.unwrap();
        assert_eq!(view.version(), 6.into());
    });
}

/// A daemon that follows a reader calls the store rarely; its connection may have gone silent at any time.
#[test]
fn a_connection_that_was_idle_for_long_is_not_used_again() {
    let store = Store::start(vec![list(), step(changes(&[6], 6)), step(changes(&[7], 7))]);
    block_on(async {
        let view = store.view();
        view.list().await.unwrap();
        view.watch(5).await.unwrap();
        monoio::time::sleep(PacketLimits::default().notice).await;
        view.watch(6).await.unwrap();
    });
    assert_eq!(store.connections(), 2);
}

/// Adds the header with the store's era, and a status, to a response.
fn with_era(bytes: Vec<u8>, status: &str, era: &str) -> Step {
    let text = String::from_utf8(bytes).unwrap();
    let head = format!("HTTP/1.1 {status}\r\nStore-Era: {era}\r\n");
    step(text.replacen("HTTP/1.1 200 OK\r\n", &head, 1).into_bytes())
}

fn page(key: &str, has_more: bool, revision: u64) -> Vec<u8> {
    let item = json!({"key": key, "value": "MQ==", "revision": revision});
    let body = json!({"items": [item], "has_more": has_more, "store_revision": revision});
    response(&body.to_string())
}

fn list_of_era(era: &str) -> Step {
    with_era(list().bytes, "200 OK", era)
}

#[test]
fn a_watch_that_is_answered_from_another_history_changes_nothing() {
    let store = Store::start(vec![
        list_of_era("1"),
        with_era(changes(&[6], 6), "200 OK", "2"),
        list_of_era("2"),
        with_era(changes(&[6], 6), "200 OK", "2"),
    ]);
    block_on(async {
        let view = store.view();
        view.list().await.unwrap();
        let err = view.watch(5).await.unwrap_err();
        assert!(matches!(err, StoreError::EraBegan { .. }), "{err}");
        assert_eq!(view.directory().as_of(), None);
        view.record_failure(&err);
        assert_eq!(view.position(), None, "the store is listed again");
        view.list().await.unwrap();
        assert_eq!(view.version(), Version::new(2, 5));
        view.watch(5).await.unwrap();
        assert_eq!(view.version(), Version::new(2, 6));
    });
}

#[test]
fn an_error_begins_an_era_too() {
    let store = Store::start(vec![
        list_of_era("1"),
        with_era(response("{}"), "503 Service Unavailable", "3"),
        list_of_era("3"),
    ]);
    block_on(async {
        let view = store.view();
        view.list().await.unwrap();
        let err = view.watch(5).await.unwrap_err();
        assert!(matches!(err, StoreError::Status(_)), "{err}");
        view.record_failure(&err);
        assert_eq!(view.position(), None, "the store is listed again");
        view.list().await.unwrap();
        assert_eq!(view.version(), Version::new(3, 5));
    });
}

#[test]
fn an_answer_of_an_earlier_era_is_never_applied() {
    let store = Store::start(vec![
        list_of_era("2"),
        with_era(changes(&[6], 6), "200 OK", "1"),
        with_era(page("somebody/else", false, 900), "200 OK", "1"),
        with_era(changes(&[6], 6), "200 OK", "2"),
    ]);
    block_on(async {
        let view = store.view();
        view.list().await.unwrap();
        for result in [view.watch(5).await, view.list().await] {
            let err = result.unwrap_err();
            assert!(matches!(err, StoreError::EarlierEra { .. }), "{err}");
            assert_eq!(view.version(), Version::new(2, 5));
        }
        view.watch(5).await.unwrap();
        assert_eq!(view.version(), Version::new(2, 6));
    });
}

#[test]
fn a_list_with_pages_of_two_eras_is_not_used() {
    let store = Store::start(vec![
        with_era(page("a", true, 5), "200 OK", "1"),
        with_era(page("b", false, 3), "200 OK", "2"),
        with_era(page("a", true, 3), "200 OK", "2"),
        with_era(page("b", false, 4), "200 OK", "2"),
    ]);
    block_on(async {
        let view = store.view();
        let err = view.list().await.unwrap_err();
        assert!(matches!(err, StoreError::EraBegan { .. }), "{err}");
        assert_eq!(view.version(), Version::default());
        view.record_failure(&err);
        view.list().await.unwrap();
        assert_eq!(view.version(), Version::new(2, 3));
    });
}

#[test]
fn an_era_that_cannot_be_read_is_named() {
    let store = Store::start(vec![list_of_era("one"), list_of_era("1")]);
    block_on(async {
        let view = store.view();
        let err = view.list().await.unwrap_err();
        let text = err.to_string();
        assert!(text.contains("store-era") && text.contains("one"), "{text}");
        assert_eq!(view.version(), Version::default());
        view.list().await.unwrap();
        assert_eq!(view.version(), Version::new(1, 5));
    });
}

#[test]
fn an_answer_without_an_era_is_of_the_last_known_one() {
    let store = Store::start(vec![
        list(),
        with_era(changes(&[6], 6), "200 OK", "1"),
        list_of_era("1"),
        step(changes(&[6], 6)),
        with_era(changes(&[7], 7), "200 OK", "1"),
    ]);
    block_on(async {
        let view = store.view();
        view.list().await.unwrap();
        assert_eq!(view.version(), 5.into());
        let err = view.watch(5).await.unwrap_err();
        assert!(
            matches!(err, StoreError::EraBegan { .. }),
            "the store is listed again when the header appears: {err}"
        );
        view.record_failure(&err);
        view.list().await.unwrap();
        view.watch(5).await.unwrap();
        assert_eq!(view.version(), Version::new(1, 6), "the header vanished");
        view.watch(6).await.unwrap();
        assert_eq!(view.version(), Version::new(1, 7));
    });
}
