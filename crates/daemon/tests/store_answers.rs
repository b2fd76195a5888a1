//! Answers of a store that come twice, break off or make no sense.

use foxtailhinge::{
    packets::{
        metrics::PacketMetrics,
        view::View, //
    },
    store::{
        Source,
        StoreError, //
    },
};
use foxtailhinge_config::packet_settings::PacketLimits;
use monoio::{
    LegacyDriver,
    RuntimeBuilder, //
};
use rstest::rstest;
use serde_json::json;
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
};

/// What the store writes when a call has come; a connection ends with its script.
#[derive(Clone)]
struct Script {
    bytes: Vec<u8>,
    closes: bool,
}

/// A store that writes what it is told, call by call.
struct Store {
    addr: SocketAddr,
    connections: Arc<AtomicUsize>,
}

impl Store {
    fn start(script: Vec<Script>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let connections = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&connections);
        let script = Arc::new(Mutex::new(VecDeque::from(script)));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                counted.fetch_add(1, Ordering::Relaxed);
                let script = Arc::clone(&script);
                thread::spawn(move || answer(stream, &script));
            }
        });
        Self { addr, connections }
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
}

fn answer(mut stream: TcpStream, script: &Mutex<VecDeque<Script>>) {
    let mut buf = [0; 4_096];
    while stream.read(&mut buf).is_ok_and(|n| n > 0) {
        let Some(step) = script.lock().unwrap().pop_front() else {
            return;
        };
        if stream.write_all(&step.bytes).is_err() || step.closes {
            return;
        }
    }
}

fn response(body: &str) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body.as_bytes()].concat()
}

fn step(bytes: Vec<u8>) -> Script {
    Script {
        bytes,
        closes: false,
    }
}

/// An empty list at revision 5.
fn list() -> Script {
    let body = json!({"items": [], "has_more": false, "store_revision": 5});
    step(response(&body.to_string()))
}

/// Changes up to a revision, each of another writer.
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
fn a_late_second_copy_of_an_answer_is_not_taken_for_the_next_one() {
    let twice = [changes(&[6], 6), changes(&[7], 7)].concat();
    let store = Store::start(vec![
        list(),
        step(changes(&[6], 6)),
        step(twice),
        step(changes(&[7], 7)),
    ]);
    block_on(async {
        let view = store.view();
        view.list().await.unwrap();
        view.watch(5).await.unwrap();
        let known = view.directory().as_of();
        let err = view.watch(6).await.unwrap_err();
        assert!(matches!(err, StoreError::Mismatched), "{err}");
        view.record_failure(&err);
        assert_eq!(view.directory().as_of(), known, "it proves nothing");
        view.watch(6).await.unwrap();
        assert_eq!(view.directory().revision(), 7);
    });
    assert_eq!(store.connections(), 2, "the connection is not used again");
}

#[test]
fn an_answer_without_changes_that_comes_early_does_not_make_the_view_fresh() {
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
#[case::half(response(r#"{"events": [], "store_revision": 9}"#)[..60].to_vec())]
#[case::no_json(response("{\"events\": ["))]
#[case::list_in_place_of_changes(response(r#"{"items": [], "store_revision": 9}"#))]
#[case::wrong_types(response(r#"{"events": 7, "store_revision": "9"}"#))]
#[case::no_http(b"hello\r\n\r\n".to_vec())]
fn an_answer_that_breaks_off_or_makes_no_sense_changes_nothing(#[case] bytes: Vec<u8>) {
    let broken = Script {
        bytes,
        closes: true,
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
        assert_eq!(view.directory().revision(), 6);
    });
    assert_eq!(store.connections(), 2);
}
