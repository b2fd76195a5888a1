//! Read-only HTTP client of a store.

use crate::activity::{
    Activity,
    AnswerLimits, //
};
use bytes::Bytes;
use foxtailhinge_policy::packets::Version;
use futures::future::{
    select,
    Either, //
};
use http::{
    Response,
    StatusCode, //
};
use monoio::net::TcpStream;
use socket2::{
    SockRef,
    TcpKeepalive, //
};
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    future::Future,
    io,
    net::SocketAddr,
    os::fd::{
        AsRawFd,
        BorrowedFd, //
    },
    pin::pin,
    time::Duration, //
};

/// Idle time before the kernel sends a TCP keepalive probe, and the interval between probes.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Unanswered keepalive probes after which the kernel closes the connection.
const KEEPALIVE_RETRIES: u32 = 2;

/// Time limit for a whole answer, in addition to the wait that the call asked for; it ends one whose parts arrive without
/// end.
const WHOLE_ANSWER: Duration = Duration::from_secs(15);

/// Share of the time limit for a connection after which a second one is tried, since the kernel repeats a lost SYN only
/// after a second.
const SECOND_SYN: u32 = 2;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The settings name no store, or a test has blocked the connection to it.
    #[error(
        "The settings name no store, or a test blocks the connection to it; check the settings."
    )]
    Denied,
    /// The connection or the answer took longer than its limit.
    #[error("The store did not answer in time; check that it runs and can be reached.")]
    Timeout,
    /// TCP or the socket failed.
    #[error("The connection to the store failed ({0}); check its address in the settings.")]
    Io(#[from] io::Error),
    /// The HTTP exchange failed.
    #[error("The HTTP call to the store failed ({0}); check that its address serves the expected HTTP version.")]
    Http(String),
    /// The store answered with a status other than 200.
    #[error("The store answered with status {0}; see the store's log.")]
    Status(StatusCode),
    /// The body of the answer is too long, incomplete or malformed.
    #[error("The store's answer could not be read ({0}); check the store's version.")]
    Body(String),
    /// The answer does not fit the call; it may be a second copy of an earlier one.
    #[error("The store's answer belongs to an earlier call; check any proxy between the store and this daemon.")]
    Mismatched,
    /// The store answered with a lower revision than before.
    #[error("The store's revision decreased from {known} to {answered}; check which store the address names.")]
    RevisionDecreased {
        /// Highest version seen so far.
        known: Version,
        /// Version of the answer.
        answered: Version,
    },
    /// The answer is longer than this daemon accepts.
    #[error("The answer has more than {max} bytes; the store is listed in pages instead.")]
    TooLong {
        /// Maximum length in bytes.
        max: usize,
    },
    /// The answer belongs to an era that has ended.
    #[error("The store answered from era {answered}, but era {known} has begun; check any proxy between the store and this daemon.")]
    EarlierEra {
        /// Highest era seen so far.
        known: u64,
        /// Era of the answer.
        answered: u64,
    },
    /// The store was restored from a copy and has to be listed again.
    #[error("The store was restored from a copy: it went from era {known} to era {answered}.")]
    EraBegan {
        /// Era of the last list.
        known: u64,
        /// Era of the answer.
        answered: u64,
    },
}

impl StoreError {
    /// Whether the call ended without a whole answer, so that the client does not use its connection again.
    pub fn is_connection_lost(&self) -> bool {
        matches!(
            self,
            Self::Timeout | Self::Io(_) | Self::Http(_) | Self::TooLong { .. }
        )
    }
}

/// Returns the body of an answer with status 200.
///
/// # Errors
///
/// Fails for any other status.
pub fn ok_body(answer: Response<Bytes>) -> Result<Bytes, StoreError> {
    match answer.status() {
        StatusCode::OK => Ok(answer.into_body()),
        status => Err(StoreError::Status(status)),
    }
}

/// A version of HTTP over which the store is called.
pub trait Transport {
    /// Sends requests on one connection.
    type Session;

    /// Starts HTTP on a new TCP connection.
    fn start(stream: TcpStream) -> impl Future<Output = Result<Self::Session, StoreError>>;

    /// Sends a GET request and records the arrival of the answer's parts; returns the answer, of any status, and the session
    /// for the next call.
    fn get(
        session: Self::Session,
        addr: SocketAddr,
        path: &str,
        activity: &Activity,
    ) -> impl Future<Output = Result<(Response<Bytes>, Self::Session), StoreError>>;

    /// Returns another handle of the connection if it supports concurrent calls.
    fn share(session: &Self::Session) -> Option<Self::Session>;

    /// Whether the connection has ended.
    fn is_closed(session: &Self::Session) -> bool;
}

/// Limits of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// Time limit for the TCP connection and the HTTP handshake.
    pub connect: Duration,
    /// Time limit for an answer, in addition to the wait that the call asked for, and from one part of it to the next.
    pub answer: Duration,
    /// Time without any part of an answer, in addition to that wait, after which a new connection is opened for the next
    /// call.
    pub overdue: Duration,
}

/// A client of the store that reconnects after a failure.
#[derive(Debug)]
pub struct Client<T: Transport> {
    limits: Cell<CallLimits>,
    idle: RefCell<Option<(SocketAddr, T::Session)>>,
}

impl<T: Transport> Client<T> {
    /// A client that is not connected yet.
    pub fn new(limits: CallLimits) -> Self {
        Self {
            limits: Cell::new(limits),
            idle: RefCell::default(),
        }
    }

    /// Changes the limits of the next calls.
    pub fn set_limits(&self, limits: CallLimits) {
        self.limits.set(limits);
    }

    /// Gets `path` from the store at `addr`, which may delay its answer by `wait`.
    ///
    /// While an answer is overdue, a new connection is opened, which the next call uses if the answer does not arrive.
    ///
    /// # Errors
    ///
    /// Fails when an answer, or the next part of it, does not arrive in time; an answer may have any status.
    pub async fn get(
        &self,
        addr: SocketAddr,
        path: &str,
        wait: Duration,
    ) -> Result<Response<Bytes>, StoreError> {
        let limits = self.limits.get();
        let session = match self.idle_session(addr) {
            Some(session) => session,
            None => within(limits.connect, connect::<T>(addr, limits)).await?,
        };
        if let Some(shared) = T::share(&session) {
            *self.idle.borrow_mut() = Some((addr, shared));
        }
        let activity = Activity::default();
        let answer_limits = AnswerLimits {
            first: wait + limits.answer,
            next: limits.answer,
            whole: wait + WHOLE_ANSWER,
        };
        let answered = pin!(activity.limit(answer_limits, T::get(session, addr, path, &activity)));
        let spare = pin!(connect_when_overdue::<T>(addr, limits, wait, &activity));
        let (answered, spare) = match select(answered, spare).await {
            Either::Left((answered, _)) => (answered, None),
            Either::Right((spare, answered)) => (answered.await, spare),
        };
        match answered.unwrap_or(Err(StoreError::Timeout)) {
            Ok((answer, session)) => {
                *self.idle.borrow_mut() = Some((addr, session));
                Ok(answer)
            }
            Err(err) => {
                *self.idle.borrow_mut() = spare.map(|session| (addr, session));
                Err(err)
            }
        }
    }

    /// Drops the idle connection, so that the next call opens a new one.
    pub fn disconnect(&self) {
        self.idle.take();
    }

    fn idle_session(&self, addr: SocketAddr) -> Option<T::Session> {
        let (connected, session) = self.idle.take()?;
        (connected == addr && !T::is_closed(&session)).then_some(session)
    }
}

/// Connects, on a second connection if the first one is not established in time.
async fn connect<T: Transport>(
    addr: SocketAddr,
    limits: CallLimits,
) -> Result<T::Session, StoreError> {
    let first = TcpStream::connect(addr);
    let second = async {
        monoio::time::sleep(limits.connect / SECOND_SYN).await;
        TcpStream::connect(addr).await
    };
    let stream = match select(pin!(first), pin!(second)).await {
        Either::Left((Ok(stream), _)) | Either::Right((Ok(stream), _)) => stream,
        Either::Left((Err(err), _)) => return Err(err.into()),
        Either::Right((Err(_), first)) => first.await?,
    };
    stream.set_nodelay(true)?;
    enable_keepalive(&stream)?;
    T::start(stream).await
}

/// Opens a connection if no part of an answer that may be delayed by `wait` has arrived in time; returns `None`
/// otherwise, and if that fails.
async fn connect_when_overdue<T: Transport>(
    addr: SocketAddr,
    limits: CallLimits,
    wait: Duration,
    activity: &Activity,
) -> Option<T::Session> {
    monoio::time::sleep(wait + limits.overdue).await;
    if activity.has_begun() {
        return None;
    }
    within(limits.connect, connect::<T>(addr, limits))
        .await
        .ok()
}

async fn within<T>(
    limit: Duration,
    work: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    let done = monoio::time::timeout(limit, work).await;
    done.unwrap_or(Err(StoreError::Timeout))
}

/// Lets the kernel detect a peer that is gone without having sent a reset.
fn enable_keepalive(stream: &TcpStream) -> io::Result<()> {
    // SAFETY: the stream owns the descriptor and outlives this borrow.
    let fd = unsafe { BorrowedFd::borrow_raw(stream.as_raw_fd()) };
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_RETRIES);
    SockRef::from(&fd).set_tcp_keepalive(&keepalive)
}
