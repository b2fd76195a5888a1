//! Calls of a store over HTTP/1.1.

use bytes::Bytes;
use http::{
    header::HOST,
    Request,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Empty,
    Limited, //
};
use hyper::client::conn::http1::{
    handshake,
    SendRequest, //
};
use monoio::{
    io::IntoPollIo,
    net::TcpStream, //
};
use monoio_compat::hyper::MonoioIo;
use socket2::{
    SockRef,
    TcpKeepalive, //
};
use std::{
    cell::RefCell,
    future::Future,
    io,
    net::SocketAddr,
    os::fd::{
        AsRawFd,
        BorrowedFd, //
    },
    time::Duration, //
};

/// Longest answer that is read, in bytes; the store sends pages of about 1 MB.
const ANSWER_MAX: usize = 16 << 20;

/// Time for an answer beyond the wait that the call asked for; the store answers within milliseconds, and within a
/// quarter of a second when it is slow.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for a connection to be made: the opening packet, lost once, comes again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Idle time after which the kernel asks whether the connection lives, and the pause between its questions.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Unanswered questions after which the connection counts as dead.
const KEEPALIVE_MISSES: u32 = 2;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// No answer in time.
    #[error("The store did not answer in time; check that it runs and can be reached.")]
    Timeout,
    /// The connection failed.
    #[error("The connection to the store failed ({0}); check its address in the settings.")]
    Io(#[from] io::Error),
    /// HTTP failed.
    #[error("The call failed ({0}); check that the address speaks HTTP/1.1.")]
    Http(#[from] hyper::Error),
    /// The store refused.
    #[error("The store answered with status {0}; see its own log.")]
    Status(StatusCode),
    /// The answer could not be read.
    #[error("{0}")]
    Body(String),
}

/// The sending side of a connection.
type Sender = SendRequest<Empty<Bytes>>;

/// A client of the store, with one connection that is made again when it fails.
#[derive(Debug)]
pub struct Client {
    addr: SocketAddr,
    idle: RefCell<Option<Sender>>,
}

impl Client {
    /// A client that is not connected yet.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            idle: RefCell::default(),
        }
    }

    /// Gets `path`, which may wait for `wait` at the store.
    pub async fn get(&self, path: &str, wait: Duration) -> Result<Bytes, StoreError> {
        let idle = self.idle.borrow_mut().take().filter(|tx| !tx.is_closed());
        let tx = match idle {
            Some(tx) => tx,
            None => within(CONNECT_TIMEOUT, self.connect()).await?,
        };
        within(wait + ANSWER_TIMEOUT, self.call(tx, path)).await
    }

    async fn call(&self, mut tx: Sender, path: &str) -> Result<Bytes, StoreError> {
        tx.ready().await?;
        let req = Request::get(path)
            .header(HOST, self.addr.to_string())
            .body(Empty::new())
            .map_err(|err| StoreError::Body(err.to_string()))?;
        let answer = tx.send_request(req).await?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), ANSWER_MAX).collect().await;
        let body = body.map_err(|err| StoreError::Body(err.to_string()))?;
        *self.idle.borrow_mut() = Some(tx);
        match status {
            StatusCode::OK => Ok(body.to_bytes()),
            status => Err(StoreError::Status(status)),
        }
    }

    async fn connect(&self) -> Result<Sender, StoreError> {
        let stream = TcpStream::connect(self.addr).await?;
        stream.set_nodelay(true)?;
        watch_for_silence(&stream)?;
        let io = MonoioIo::new(stream.into_poll_io()?);
        let (tx, connection) = handshake(io).await?;
        monoio::spawn(async move {
            if let Err(err) = connection.await {
                log::debug!("event=store_closed cause=\"{err}\"");
            }
        });
        Ok(tx)
    }
}

async fn within<T>(
    limit: Duration,
    work: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    let done = monoio::time::timeout(limit, work).await;
    done.unwrap_or(Err(StoreError::Timeout))
}

/// Lets the kernel find out that the other end is gone although no reset came.
fn watch_for_silence(stream: &TcpStream) -> io::Result<()> {
    // SAFETY: the stream owns the descriptor and outlives this borrow.
    let fd = unsafe { BorrowedFd::borrow_raw(stream.as_raw_fd()) };
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_MISSES);
    SockRef::from(&fd).set_tcp_keepalive(&keepalive)
}
