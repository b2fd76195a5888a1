//! Stand-in for the platform's key-value store: JSON over HTTP/1.1, read-only except through [`Store`].

use base64::{
    engine::general_purpose::STANDARD,
    Engine, //
};
use bytes::Bytes;
use http::{
    Request,
    Response,
    StatusCode, //
};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use monoio::{
    io::IntoPollIo,
    net::{
        TcpListener,
        TcpStream, //
    },
    time::sleep,
    LegacyDriver,
    RuntimeBuilder, //
};
use monoio_compat::hyper::MonoioIo;
use serde_json::{
    json,
    Value, //
};
use std::{
    collections::BTreeMap,
    convert::Infallible,
    io,
    net::SocketAddr,
    rc::Rc,
    sync::{
        mpsc,
        Arc,
        Mutex,
        MutexGuard, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// Interval at which changes by a test are checked for.
const TICK: Duration = Duration::from_millis(5);
/// Entries on a page; few, so that small fleets need several pages.
const PAGE_LEN: usize = 7;

/// Most changes in one answer to a watch, as on the platform.
const CHANGES_MAX: usize = 500;

/// Prefix of the keys of upstreams.
const UPSTREAMS: &str = "servers/";

/// Time after a restoration in which an upstream has to write its entry again: three heartbeats of the platform.
const LEASE: Duration = Duration::from_millis(3_600);

/// Fault that is injected into calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Calls are answered.
    #[default]
    None,
    /// Calls are answered with 503 Service Unavailable, and the connections of waiting watches are closed.
    Busy,
    /// Calls are accepted and never answered.
    Silent,
    /// The connection of each call is closed.
    Reset,
}

#[derive(Clone, Debug)]
struct Entry {
    value: Option<Vec<u8>>,
    revision: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    /// Current entries, and removed ones as tombstones.
    entries: BTreeMap<String, Entry>,
    /// Oldest revision in the history; watches that need older ones are answered with 410 Gone.
    oldest_revision: u64,
    fault: Fault,
    refused: Vec<SocketAddr>,
    delay: Duration,
    /// Revision and entries that stale reads are answered with, when they are frozen.
    frozen: Option<(u64, BTreeMap<String, Entry>)>,
    calls: u64,
    /// Number of further calls that are not answered before the fault ends.
    calls_until_return: Option<u64>,
    /// When the last fault with a number of calls ended.
    returned_at: Option<Instant>,
    /// Number of the era, sent with each answer if there is one.
    era: Option<u64>,
    /// Contents that the store can be restored from.
    copy: Option<Contents>,
    /// Revision and time of the latest restoration, until the leases of entries in the copy have expired.
    restored: Option<(u64, Instant)>,
    ended: bool,
}

/// Contents of the store at a revision.
#[derive(Clone, Debug, Default)]
struct Contents {
    revision: u64,
    entries: BTreeMap<String, Entry>,
    oldest_revision: u64,
}

/// Handle to a store that tests write to.
#[derive(Clone, Debug)]
pub struct Store {
    state: Arc<Mutex<State>>,
}

impl Store {
    /// Starts a store at several addresses, one for each daemon, so that faults can be limited to some daemons.
    ///
    /// # Errors
    ///
    /// Fails when the store cannot listen at one of the addresses.
    pub fn start(addrs: Vec<SocketAddr>) -> io::Result<Self> {
        let store = Self {
            state: Arc::default(),
        };
        let (tx, rx) = mpsc::channel();
        let serving = store.clone();
        thread::spawn(move || serving.run(addrs, &tx));
        rx.recv().map_err(io::Error::other)??;
        Ok(store)
    }

    /// Writes an entry and returns its revision.
    pub fn put(&self, key: &str, value: &Value) -> u64 {
        self.put_bytes(key, value.to_string().into_bytes())
    }

    /// Writes an entry whose value need not be JSON, and returns its revision.
    pub fn put_bytes(&self, key: &str, value: Vec<u8>) -> u64 {
        self.write(key, Some(value))
    }

    /// Removes an entry and returns the revision of the removal.
    pub fn remove(&self, key: &str) -> u64 {
        self.write(key, None)
    }

    /// Returns whether there is an entry with this key.
    pub fn contains(&self, key: &str) -> bool {
        let state = self.state();
        state
            .entries
            .get(key)
            .is_some_and(|entry| entry.value.is_some())
    }

    /// Removes all entries whose keys begin with `prefix`, as when their leases expire.
    pub fn expire_prefix(&self, prefix: &str) {
        let keys: Vec<_> = self.state().entries.keys().cloned().collect();
        for key in keys.iter().filter(|key| key.starts_with(prefix)) {
            self.remove(key);
        }
    }

    /// Injects a fault into all calls from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.state().fault = fault;
    }

    /// Leaves calls unanswered, and answers again from right after the arrival of the `calls`-th one on.
    pub fn fall_silent_for(&self, calls: u64) {
        let mut state = self.state();
        state.fault = Fault::Silent;
        state.calls_until_return = Some(calls);
    }

    /// Returns when the last silence for a number of calls ended.
    pub fn returned_at(&self) -> Option<Instant> {
        self.state().returned_at
    }

    /// Answers calls at these addresses of the store with 503 Service Unavailable, and serves the other addresses.
    pub fn refuse(&self, addrs: &[SocketAddr]) {
        self.state().refused = addrs.to_vec();
    }

    /// Delays each answer by `delay`.
    pub fn set_delay(&self, delay: Duration) {
        self.state().delay = delay;
    }

    /// Drops the history, so that watches after an older revision are answered with 410 Gone.
    pub fn compact_history(&self) {
        let mut state = self.state();
        state.oldest_revision = state.revision + 1;
    }

    /// Answers stale reads from now on with the current entries and revision.
    pub fn freeze_stale_reads(&self) {
        let mut state = self.state();
        state.frozen = Some((state.revision, state.entries.clone()));
    }

    /// Names the era in all answers from now on.
    pub fn name_eras(&self) {
        self.state().era.get_or_insert(1);
    }

    /// Returns the number of the era, if the store names it.
    pub fn era(&self) -> Option<u64> {
        self.state().era
    }

    /// Takes a copy of the current contents.
    pub fn take_copy(&self) {
        let mut state = self.state();
        state.copy = Some(Contents {
            revision: state.revision,
            entries: state.entries.clone(),
            oldest_revision: state.oldest_revision,
        });
    }

    /// Goes back to the last copy, if there is one, and begins a new era.
    ///
    /// Revisions since the copy are assigned again. Entries of upstreams in the copy expire unless they are written
    /// again.
    pub fn restore(&self) {
        let mut state = self.state();
        let Some(copy) = state.copy.clone() else {
            return;
        };
        state.revision = copy.revision;
        state.entries = copy.entries;
        state.oldest_revision = copy.oldest_revision;
        state.era = Some(state.era.unwrap_or(1) + 1);
        state.restored = Some((copy.revision, Instant::now()));
    }

    /// Returns the number of calls so far; a waiting watch is one call.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// Returns the revision of the last write.
    pub fn revision(&self) -> u64 {
        self.state().revision
    }

    /// Writes `n` entries that daemons ignore.
    pub fn add_unrelated(&self, n: usize) {
        for number in 0..n {
            self.put(&format!("somebody/{number:05}"), &json!(number));
        }
    }

    /// Stops the store.
    pub fn end(&self) {
        self.state().ended = true;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    fn write(&self, key: &str, value: Option<Vec<u8>>) -> u64 {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        let entry = Entry { value, revision };
        state.entries.insert(key.to_owned(), entry);
        revision
    }

    fn run(&self, addrs: Vec<SocketAddr>, tx: &mpsc::Sender<io::Result<()>>) {
        let builder = RuntimeBuilder::<LegacyDriver>::new();
        let mut runtime = builder.enable_timer().build().expect("a runtime starts");
        runtime.block_on(async {
            let listeners: io::Result<Vec<_>> = addrs
                .into_iter()
                .map(|addr| Ok((addr, TcpListener::bind(addr)?)))
                .collect();
            match listeners {
                Ok(listeners) => {
                    for (addr, listener) in listeners {
                        monoio::spawn(self.clone().listen(addr, listener));
                    }
                    let _ = tx.send(Ok(()));
                }
                Err(err) => {
                    let _ = tx.send(Err(err));
                    return;
                }
            }
            while !self.state().ended {
                self.expire_leases();
                sleep(TICK).await;
            }
        });
        std::mem::forget(runtime);
    }

    /// Removes the entries of upstreams that have not been written again for [`LEASE`] after a restoration.
    fn expire_leases(&self) {
        let mut state = self.state();
        let Some((revision, _)) = state.restored.take_if(|(_, at)| at.elapsed() >= LEASE) else {
            return;
        };
        let entries = state.entries.iter();
        let expired = entries.filter(|(key, entry)| {
            key.starts_with(UPSTREAMS) && entry.value.is_some() && entry.revision <= revision
        });
        let expired: Vec<_> = expired.map(|(key, _)| key.clone()).collect();
        drop(state);
        for key in expired {
            self.remove(&key);
        }
    }

    async fn listen(self, addr: SocketAddr, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            monoio::spawn(serve(self.clone(), stream, addr));
        }
    }

    fn fault(&self, addr: SocketAddr) -> Fault {
        let state = self.state();
        match state.refused.contains(&addr) {
            true => Fault::Busy,
            false => state.fault,
        }
    }

    /// Ends the fault if the call that has just arrived is the last one that is not answered.
    fn count_down(&self) {
        let mut state = self.state();
        state.calls_until_return = match state.calls_until_return {
            Some(1) => {
                state.fault = Fault::None;
                state.returned_at = Some(Instant::now());
                None
            }
            left => left.map(|left| left - 1),
        };
    }

    async fn answer(
        &self,
        req: Request<Incoming>,
        addr: SocketAddr,
    ) -> Option<Response<Full<Bytes>>> {
        self.state().calls += 1;
        let mut response = self.answer_without_era(req, addr).await?;
        if let Some(era) = self.era() {
            response.headers_mut().insert("Store-Era", era.into());
        }
        Some(response)
    }

    async fn answer_without_era(
        &self,
        req: Request<Incoming>,
        addr: SocketAddr,
    ) -> Option<Response<Full<Bytes>>> {
        let fault = self.fault(addr);
        self.count_down();
        match fault {
            Fault::None => (),
            Fault::Busy => return Some(respond(StatusCode::SERVICE_UNAVAILABLE, json!({}))),
            Fault::Silent => std::future::pending().await,
            Fault::Reset => return None,
        }
        let delay = self.state().delay;
        if !delay.is_zero() {
            sleep(delay).await;
        }
        let query = Query::of(&req);
        Some(match req.uri().path() {
            "/api/kv-range" => respond(StatusCode::OK, self.list(&query)),
            "/api/kv-watch" => return self.watch(&query, addr).await,
            _ => respond(StatusCode::NOT_FOUND, json!({})),
        })
    }

    fn list(&self, query: &Query) -> Value {
        let state = self.state();
        let after = query.text("after");
        let frozen = state
            .frozen
            .as_ref()
            .filter(|_| query.text("serializable") == "1");
        let (revision, entries) = match frozen {
            Some((revision, entries)) => (*revision, entries),
            None => (state.revision, &state.entries),
        };
        let found = entries.iter().filter(|(key, entry)| {
            entry.value.is_some() && key.starts_with(&query.text("prefix")) && **key > after
        });
        let mut items: Vec<_> = found.take(PAGE_LEN + 1).map(|(k, e)| item(k, e)).collect();
        let has_more = items.len() > PAGE_LEN;
        items.truncate(PAGE_LEN);
        json!({"items": items, "has_more": has_more, "store_revision": revision})
    }

    async fn watch(&self, query: &Query, addr: SocketAddr) -> Option<Response<Full<Bytes>>> {
        let after: u64 = query.text("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(query.text("wait_ms").parse().unwrap_or(0));
        let deadline = Instant::now() + wait;
        loop {
            let has_history = {
                let state = self.state();
                (state.oldest_revision..=state.revision + 1).contains(&(after + 1))
            };
            if !has_history {
                return Some(respond(StatusCode::GONE, json!({})));
            }
            match self.fault(addr) {
                Fault::None => (),
                Fault::Silent => std::future::pending().await,
                Fault::Busy | Fault::Reset => return None,
            }
            let (revision, events) = self.events(&query.text("prefix"), after);
            if !events.is_empty() || Instant::now() >= deadline {
                let body = json!({"events": events, "store_revision": revision});
                return Some(respond(StatusCode::OK, body));
            }
            sleep(TICK).await;
        }
    }

    fn events(&self, prefix: &str, after: u64) -> (u64, Vec<Value>) {
        let state = self.state();
        let mut newer: Vec<_> = state
            .entries
            .iter()
            .filter(|(key, entry)| entry.revision > after && key.starts_with(prefix))
            .collect();
        newer.sort_by_key(|(_, entry)| entry.revision);
        let revision = match newer.get(CHANGES_MAX - 1) {
            Some((_, last)) => last.revision,
            None => state.revision,
        };
        newer.truncate(CHANGES_MAX);
        let events = newer.into_iter().map(|(key, entry)| item(key, entry));
        (revision, events.collect())
    }
}

fn item(key: &str, entry: &Entry) -> Value {
    match &entry.value {
        Some(value) => json!({
            "key": key,
            "value": STANDARD.encode(value),
            "revision": entry.revision,
            "created_rev": entry.revision,
            "lease": 0,
        }),
        None => json!({"key": key, "revision": entry.revision, "tombstone": true}),
    }
}

fn respond(status: StatusCode, body: Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = status;
    response
}

async fn serve(store: Store, stream: TcpStream, addr: SocketAddr) {
    let Ok(stream) = stream.into_poll_io() else {
        return;
    };
    let close = Rc::new(std::cell::Cell::new(false));
    let closed = Rc::clone(&close);
    let service = service_fn(move |req| {
        let (store, closed) = (store.clone(), Rc::clone(&closed));
        async move {
            let answer = store.answer(req, addr).await;
            closed.set(answer.is_none());
            Ok::<_, Infallible>(match answer {
                Some(answer) => answer,
                None => std::future::pending().await,
            })
        }
    });
    let connection = http1::Builder::new().serve_connection(MonoioIo::new(stream), service);
    let closing = async {
        while !close.get() {
            sleep(TICK).await;
        }
    };
    futures::future::select(std::pin::pin!(connection), std::pin::pin!(closing)).await;
}

/// Decoded query parameters of a call.
struct Query(BTreeMap<String, String>);

impl Query {
    fn of(req: &Request<Incoming>) -> Self {
        let query = req.uri().query().unwrap_or_default();
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        Self(pairs.map(|(k, v)| (k.to_owned(), decode(v))).collect())
    }

    fn text(&self, name: &str) -> String {
        self.0.get(name).cloned().unwrap_or_default()
    }
}

fn decode(text: &str) -> String {
    percent_encoding::percent_decode_str(text)
        .decode_utf8_lossy()
        .into_owned()
}
