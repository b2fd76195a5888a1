//! Stand-in for the platform's configuration service and VM list: HTTP/2 with JSON, read only.

use bytes::Bytes;
use h2::{
    server::SendResponse,
    RecvStream, //
};
use http::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use monoio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    LegacyDriver,
    RuntimeBuilder, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    future::Future,
    io,
    net::{
        IpAddr,
        SocketAddr, //
    },
    sync::{
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        },
        mpsc,
        Arc,
        Mutex,
        MutexGuard, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

/// Interval at which changes by a test are checked for.
const TICK: Duration = Duration::from_millis(5);
/// Longest wait of a watch without `wait_ms`.
const DEFAULT_WAIT: Duration = Duration::from_secs(30);

/// A document as the platform sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Service that the document configures.
    pub service: String,
    /// Era of the store at the document's last change.
    #[serde(default)]
    pub era: u64,
    /// Revision of the whole store at the document's last change.
    pub revision: u64,
    /// Whether the document was removed.
    pub removed: bool,
    /// Text of the document, unless it was removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
}

/// Answer to a list or watch of documents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Documents {
    /// Number of the store's era, which rises with each restoration from a copy.
    #[serde(default)]
    pub era: u64,
    /// Newest revision of the store.
    pub revision: u64,
    /// Documents that changed after the requested revision.
    pub documents: Vec<Document>,
}

/// State of an entry VM in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// Listed as running.
    Live,
    /// About to be removed.
    Leaving,
}

/// An entry VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Id of the VM.
    pub id: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Whether the VM is live or leaving.
    pub state: VmState,
    /// Address for datagrams between daemons.
    pub relay: SocketAddr,
    /// Address for links between daemons.
    pub control: SocketAddr,
}

/// Answer to a list or watch of VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vms {
    /// Number of the store's era.
    #[serde(default)]
    pub era: u64,
    /// Newest revision of the list.
    pub revision: u64,
    /// All VMs of the list, or none if the list has not changed.
    pub vms: Vec<Vm>,
}

/// Documents and VMs of the platform.
#[derive(Clone, Default)]
struct Store {
    era: u64,
    revision: u64,
    documents: BTreeMap<String, Document>,
    vms_revision: u64,
    vms: Vec<Vm>,
}

impl Store {
    fn documents_since(&self, since: u64) -> Documents {
        let newer = self.documents.values().filter(|one| one.revision > since);
        Documents {
            era: self.era,
            revision: self.revision,
            documents: newer.cloned().collect(),
        }
    }

    fn vms_since(&self, since: u64) -> Vms {
        let newer = self.vms_revision > since;
        Vms {
            era: self.era,
            revision: self.vms_revision,
            vms: if newer { self.vms.clone() } else { Vec::new() },
        }
    }
}

#[derive(Default)]
struct State {
    store: Store,
    earlier: Vec<Store>,
    snapshot: Option<Store>,
    delay: Duration,
    partition: Vec<IpAddr>,
}

impl State {
    /// Returns the state that readers see.
    fn view(&self) -> &Store {
        self.snapshot.as_ref().unwrap_or(&self.store)
    }
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    calls: AtomicU64,
    refused: AtomicU64,
    down: AtomicBool,
    ended: AtomicBool,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn is_down(&self) -> bool {
        self.down.load(Ordering::Relaxed) || self.is_ended()
    }

    fn is_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    fn is_partitioned(&self, peer: IpAddr) -> bool {
        self.is_down() || self.state().partition.contains(&peer)
    }
}

/// The platform under the control of a test.
pub struct Platform {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

impl Platform {
    /// Starts a platform without documents or VMs that listens on `addr`.
    pub fn start(addr: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let inner = shared.clone();
        let (tx, rx) = mpsc::channel();
        thread::spawn(move || run(&inner, addr, &tx));
        rx.recv().map_err(io::Error::other)??;
        Ok(Platform { addr, shared })
    }

    /// Returns the address that the platform listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Publishes a service's document and returns its revision.
    pub fn publish(&self, service: &str, text: &str) -> u64 {
        self.change(service, Some(text.to_owned()))
    }

    /// Removes a service's document and returns the revision of the removal.
    pub fn remove(&self, service: &str) -> u64 {
        self.change(service, None)
    }

    /// Returns the latest published text of a service's document.
    pub fn text(&self, service: &str) -> Option<String> {
        let state = self.shared.state();
        state.store.documents.get(service)?.text.clone()
    }

    /// Replaces the list of VMs and returns its revision.
    pub fn set_vms(&self, vms: Vec<Vm>) -> u64 {
        let store = &mut self.shared.state().store;
        store.vms = vms;
        store.vms_revision += 1;
        store.vms_revision
    }

    /// Closes all connections and refuses new ones.
    pub fn stop(&self) {
        self.shared.down.store(true, Ordering::Relaxed);
    }

    /// Listens again after a stop.
    pub fn resume(&self) {
        self.shared.down.store(false, Ordering::Relaxed);
    }

    /// Delays every answer.
    pub fn delay(&self, delay: Duration) {
        self.shared.state().delay = delay;
    }

    /// Freezes the state that readers see, or ends the freeze.
    pub fn stale(&self, stale: bool) {
        let mut state = self.shared.state();
        state.snapshot = stale.then(|| state.store.clone());
    }

    /// Shows readers the documents as they were before the last `changes` changes, until `stale(false)`.
    pub fn rewind(&self, changes: usize) {
        let mut state = self.shared.state();
        let index = state.earlier.len().saturating_sub(changes);
        let store = state.earlier.get(index).cloned();
        state.snapshot = store.map(|earlier| Store {
            vms_revision: state.store.vms_revision,
            vms: state.store.vms.clone(),
            ..earlier
        });
    }

    /// Goes back to the documents and VMs as they were before the last `changes` changes of documents, in a new era.
    ///
    /// The revisions since then are assigned again.
    pub fn restore(&self, changes: usize) {
        let mut state = self.shared.state();
        let index = state.earlier.len().saturating_sub(changes);
        state.earlier.truncate(index + 1);
        let Some(copy) = state.earlier.pop() else {
            return;
        };
        let era = state.store.era + 1;
        state.store = Store { era, ..copy };
    }

    /// Closes connections from these IP addresses and accepts none from them; lifts an earlier partition.
    pub fn partition(&self, peers: &[IpAddr]) {
        self.shared.state().partition = peers.to_vec();
    }

    /// Returns the number of calls so far; a waiting watch is one call.
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }

    /// Returns the number of calls that were not reads of a known path.
    pub fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }

    fn change(&self, service: &str, text: Option<String>) -> u64 {
        let mut state = self.shared.state();
        let earlier = state.store.clone();
        state.earlier.push(earlier);
        let store = &mut state.store;
        store.revision += 1;
        let document = Document {
            service: service.to_owned(),
            era: store.era,
            revision: store.revision,
            removed: text.is_none(),
            text,
        };
        store.documents.insert(service.to_owned(), document);
        store.revision
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.shared.ended.store(true, Ordering::Relaxed);
    }
}

/// Runs the platform until it is dropped; sends the result of the first attempt to listen.
fn run(shared: &Arc<Shared>, addr: SocketAddr, tx: &mpsc::Sender<io::Result<()>>) {
    let builder = RuntimeBuilder::<LegacyDriver>::new();
    let mut runtime = match builder.enable_timer().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            let _ = tx.send(Err(e));
            return;
        }
    };
    runtime.block_on(async {
        let mut first = Some(tx);
        while !shared.is_ended() {
            if shared.is_down() {
                monoio::time::sleep(TICK).await;
                continue;
            }
            let listener = TcpListener::bind(addr);
            let listens = listener
                .as_ref()
                .map(|_| ())
                .map_err(|e| io::Error::from(e.kind()));
            if let Some(tx) = first.take() {
                let _ = tx.send(listens);
            }
            match listener {
                Ok(listener) => listen(shared, &listener).await,
                Err(_) => monoio::time::sleep(TICK).await,
            }
        }
    });
}

/// Accepts connections until the platform is stopped.
async fn listen(shared: &Arc<Shared>, listener: &TcpListener) {
    while let Some(accepted) = run_unless(listener.accept(), || shared.is_down()).await {
        if let Ok((stream, peer)) = accepted {
            monoio::spawn(serve(shared.clone(), stream, peer.ip()));
        }
    }
}

/// Serves one connection until it ends, its peer is partitioned or the platform stops.
async fn serve(shared: Arc<Shared>, stream: TcpStream, peer: IpAddr) {
    let inner = shared.clone();
    let work = async move {
        let stream = monoio_compat::StreamWrapper::new(stream);
        let Ok(mut connection) = h2::server::handshake(stream).await else {
            return;
        };
        while let Some(Ok((req, respond))) = connection.accept().await {
            monoio::spawn(answer(inner.clone(), req, respond));
        }
    };
    run_unless(work, || shared.is_partitioned(peer)).await;
}

async fn answer(shared: Arc<Shared>, req: Request<RecvStream>, respond: SendResponse<Bytes>) {
    shared.calls.fetch_add(1, Ordering::Relaxed);
    let delay = shared.state().delay;
    if !delay.is_zero() {
        monoio::time::sleep(delay).await;
    }
    let body = match req.method() {
        &Method::GET => read(&shared, &req).await,
        _ => Err(StatusCode::METHOD_NOT_ALLOWED),
    };
    if body.is_err() {
        shared.refused.fetch_add(1, Ordering::Relaxed);
    }
    // The reader may have closed the connection.
    let _ = reply(respond, body);
}

async fn read(shared: &Shared, req: &Request<RecvStream>) -> Result<Vec<u8>, StatusCode> {
    let query = Query::parse(req.uri().query().unwrap_or(""))?;
    match req.uri().path() {
        "/v1/documents" => {
            query.wait(shared, |store| store.revision).await;
            encode(&shared.state().view().documents_since(query.since))
        }
        "/v1/vms" => {
            query.wait(shared, |store| store.vms_revision).await;
            encode(&shared.state().view().vms_since(query.since))
        }
        path => {
            let name = path.strip_prefix("/v1/documents/");
            let name = name.ok_or(StatusCode::NOT_FOUND)?;
            let state = shared.state();
            let document = state.view().documents.get(name);
            encode(document.ok_or(StatusCode::NOT_FOUND)?)
        }
    }
}

fn encode(body: &impl Serialize) -> Result<Vec<u8>, StatusCode> {
    serde_json::to_vec(body).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}

fn reply(
    mut respond: SendResponse<Bytes>,
    body: Result<Vec<u8>, StatusCode>,
) -> Result<(), h2::Error> {
    let status = body.as_ref().err().copied().unwrap_or(StatusCode::OK);
    let mut response = Response::new(());
    *response.status_mut() = status;
    let mut stream = respond.send_response(response, false)?;
    stream.send_data(Bytes::from(body.unwrap_or_default()), true)
}

/// Query parameters of a read.
struct Query {
    since: u64,
    wait: Option<Duration>,
}

impl Query {
    fn parse(text: &str) -> Result<Self, StatusCode> {
        let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
        let mut values: HashMap<&str, u64> = HashMap::new();
        for (name, value) in pairs {
            let value = value.parse().map_err(|_| StatusCode::BAD_REQUEST)?;
            values.insert(name, value);
        }
        let since = values.get("since").copied();
        let wait = values.get("wait_ms").copied().map(Duration::from_millis);
        Ok(Query {
            since: since.unwrap_or(0),
            wait: since.map(|_| wait.unwrap_or(DEFAULT_WAIT)),
        })
    }

    /// Waits for a revision newer than `since`, for the requested time at most.
    async fn wait(&self, shared: &Shared, revision: impl Fn(&Store) -> u64) {
        let Some(wait) = self.wait else {
            return;
        };
        let end = Instant::now() + wait;
        while revision(shared.state().view()) <= self.since && Instant::now() < end {
            monoio::time::sleep(TICK).await;
        }
    }
}

/// Runs a future to its end; drops it and returns `None` once `stop` returns true.
async fn run_unless<T>(work: impl Future<Output = T>, stop: impl Fn() -> bool) -> Option<T> {
    let mut work = std::pin::pin!(work);
    loop {
        monoio::select! {
            done = &mut work => return Some(done),
            () = monoio::time::sleep(TICK) => if stop() { return None },
        }
    }
}
