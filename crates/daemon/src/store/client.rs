//! Calls of a store that is only read.

use bytes::Bytes;
use http::StatusCode;
use monoio::net::TcpStream;
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

/// Idle time after which the kernel asks whether a connection lives, and the pause between its questions.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Unanswered questions after which a connection counts as dead.
const KEEPALIVE_MISSES: u32 = 2;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// No store is named in the settings, or a test has cut it off.
    #[error("The store is cut off; name its address in the settings.")]
    Denied,
    /// No answer in time.
    #[error("The store did not answer in time; check that it runs and can be reached.")]
    Timeout,
    /// The connection failed.
    #[error("The connection to the store failed ({0}); check its address in the settings.")]
    Io(#[from] io::Error),
    /// HTTP failed.
    #[error("The call failed ({0}); check that the address speaks the HTTP version expected.")]
    Http(String),
    /// The store refused.
    #[error("The store answered with status {0}; see its own log.")]
    Status(StatusCode),
    /// The answer could not be read.
    #[error("The store's answer could not be read ({0}); check its version.")]
    Body(String),
    /// The answer belongs to another call.
    #[error("The store's answer belongs to an earlier call; check what lies between it and this daemon.")]
    Mismatched,
    /// The store answered with less than it had answered before.
    #[error("The store went back from revision {known} to {answered}; check which store the address names.")]
    RevisionDecreased {
        /// Revision that is known.
        known: u64,
        /// Revision of the answer.
        answered: u64,
    },
}

/// A version of HTTP.
pub trait Transport {
    /// The sending side of a connection.
    type Session;

    /// Speaks over a new connection.
    fn start(stream: TcpStream) -> impl Future<Output = Result<Self::Session, StoreError>>;

    /// Gets a path; the session comes back when it can be used again.
    fn get(
        session: Self::Session,
        addr: SocketAddr,
        path: &str,
    ) -> impl Future<Output = Result<(Bytes, Self::Session), StoreError>>;

    /// Another handle of the connection, where it takes several calls at a time.
    fn share(session: &Self::Session) -> Option<Self::Session>;

    /// Whether the connection has ended.
    fn is_closed(session: &Self::Session) -> bool;
}

/// Limits of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// Time for a connection to be made.
    pub connect: Duration,
    /// Time for an answer beyond the wait that the call asked for.
    pub answer: Duration,
}

/// A client of the store, whose connection is made again when it fails.
#[derive(Debug)]
pub struct Client<T: Transport> {
    limits: CallLimits,
    idle: RefCell<Option<(SocketAddr, T::Session)>>,
}

impl<T: Transport> Client<T> {
    /// A client that is not connected yet.
    pub fn new(limits: CallLimits) -> Self {
        Self {
            limits,
            idle: RefCell::default(),
        }
    }

    /// Gets `path` of the store at `addr`, which may wait for `wait` there.
    pub async fn get(
        &self,
        addr: SocketAddr,
        path: &str,
        wait: Duration,
    ) -> Result<Bytes, StoreError> {
        let session = match self.idle_session(addr) {
            Some(session) => session,
            None => within(self.limits.connect, connect::<T>(addr)).await?,
        };
        if let Some(shared) = T::share(&session) {
            *self.idle.borrow_mut() = Some((addr, shared));
        }
        let answered = within(wait + self.limits.answer, T::get(session, addr, path)).await;
        let (body, session) = answered.inspect_err(|_| {
            self.idle.take();
        })?;
        *self.idle.borrow_mut() = Some((addr, session));
        Ok(body)
    }

    /// Drops the connection.
    pub fn disconnect(&self) {
        self.idle.take();
    }

    fn idle_session(&self, addr: SocketAddr) -> Option<T::Session> {
        let (known, session) = self.idle.take()?;
        (known == addr && !T::is_closed(&session)).then_some(session)
    }
}

async fn connect<T: Transport>(addr: SocketAddr) -> Result<T::Session, StoreError> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    watch_for_silence(&stream)?;
    T::start(stream).await
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
