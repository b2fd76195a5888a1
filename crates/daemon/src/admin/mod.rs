//! HTTP interface for operators: metrics, status, audit and explain.

pub mod connections;
mod operations;
mod query;
mod router;

pub use operations::{
    AdmissionError,
    AdmissionQuery,
    AdmissionTarget,
    ExplainError,
    ExplainQuery,
    FaultsError,
    Operations,
    PacketReports,
    Reports, //
};

use crate::admin::{
    connections::Connections,
    router::{
        answer,
        answer_reports, //
    },
};
use bytes::Bytes;
use futures::future::{
    select,
    Either, //
};
use http::{
    Request,
    Response, //
};
use hyper::{
    body::{
        Body,
        Incoming, //
    },
    server::conn::http1,
    service::service_fn, //
};
use monoio::{
    io::IntoPollIo,
    net::{
        TcpListener,
        TcpStream, //
    },
    time, //
};
use monoio_compat::hyper::{
    MonoioIo,
    MonoioTimer, //
};
use std::{
    convert::Infallible,
    error::Error,
    future::Future,
    io,
    pin::pin,
    rc::Rc,
    time::Duration, //
};

/// Maximum number of open connections; a further one evicts the oldest.
pub const CONNECTIONS_MAX: usize = 64;
/// Maximum size of the head of a request, in bytes.
const HEAD_BYTES_MAX: usize = 16 * 1024;
/// Maximum number of headers in a request.
const HEADERS_MAX: usize = 32;
/// Timeout for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for a request and its response.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay after a failed accept.
const ACCEPT_BACK_OFF: Duration = Duration::from_millis(50);

/// Serves the whole admin interface on `listener`; never returns.
///
/// Each connection carries one request and has its own task, so that a slow client does not delay others.
pub async fn serve<S: Operations + 'static>(listener: TcpListener, operations: Rc<S>) {
    serve_with(listener, move |req| {
        let operations = Rc::clone(&operations);
        async move { answer(req, &*operations).await }
    })
    .await;
}

/// Serves the reports of a daemon that forwards packets on `listener`; never returns.
pub async fn serve_reports<R: PacketReports + 'static>(listener: TcpListener, reports: Rc<R>) {
    serve_with(listener, move |req| {
        let answer = answer_reports(&req, &*reports);
        async move { answer }
    })
    .await;
}

/// Serves HTTP on `listener` with the answers of `respond`; never returns.
pub async fn serve_with<F, Fut, B>(listener: TcpListener, respond: F)
where
    F: Fn(Request<Incoming>) -> Fut + Clone + 'static,
    Fut: Future<Output = Response<B>> + 'static,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let connections = Connections::new(CONNECTIONS_MAX);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!(target: "admin", "event=accept-failed error={:?}", e.to_string());
                time::sleep(ACCEPT_BACK_OFF).await;
                continue;
            }
        };
        let evicted = connections.admit();
        let respond = respond.clone();
        monoio::spawn(async move {
            let served = pin!(time::timeout(
                CONNECTION_TIMEOUT,
                answer_one(stream, respond)
            ));
            if let Either::Left((Ok(Err(e)), _)) = select(served, evicted).await {
                log::debug!(target: "admin", "event=connection-failed error={:?}", e.to_string());
            }
        });
    }
}

async fn answer_one<F, Fut, B>(stream: TcpStream, respond: F) -> io::Result<()>
where
    F: Fn(Request<Incoming>) -> Fut,
    Fut: Future<Output = Response<B>>,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let io = MonoioIo::new(stream.into_poll_io()?);
    let service = service_fn(move |req| {
        let answered = respond(req);
        async move { Ok::<_, Infallible>(answered.await) }
    });
    http1::Builder::new()
        .timer(MonoioTimer)
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_BYTES_MAX)
        .max_headers(HEADERS_MAX)
        .keep_alive(false)
        .serve_connection(io, service)
        .await
        .map_err(io::Error::other)
}
