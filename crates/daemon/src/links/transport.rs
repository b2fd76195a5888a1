//! Transport of requests over HTTP/2, shared by all links between daemons.

use super::client::LinkError;
use crate::activity::Activity;
use bytes::{
    Bytes,
    BytesMut, //
};
use h2::{
    client::SendRequest,
    server::Connection,
    Reason,
    RecvStream,
    SendStream, //
};
use http::{
    Request,
    StatusCode, //
};
use monoio::net::{
    TcpListener,
    TcpStream, //
};
use monoio_compat::StreamWrapper;
use std::{
    cell::Cell,
    future::{
        poll_fn,
        Future, //
    },
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

/// Size of the read buffer, and of the write buffer, of one end of a link, in bytes.
const BUFFER: usize = 2 << 10;

/// HTTP/2 flow-control window of one stream, and of a whole link, in bytes.
const WINDOW: u32 = 64 << 10;

/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Accepts links and serves each in its own task; never returns.
///
/// While `max` links are open, further ones are closed at once.
pub(crate) async fn accept_each<S>(
    listener: TcpListener,
    max: usize,
    serve: impl Fn(TcpStream) -> S,
) where
    S: Future<Output = Result<(), LinkError>> + 'static,
{
    let open = Rc::new(Cell::new(0));
    loop {
        match listener.accept().await {
            Ok(_) if open.get() >= max => (),
            Ok((stream, _)) => {
                open.set(open.get() + 1);
                let open = Rc::clone(&open);
                let served = serve(stream);
                monoio::spawn(async move {
                    if let Err(err) = served.await {
                        log::debug!("event=link_failed cause=\"{err}\"");
                    }
                    open.set(open.get() - 1);
                });
            }
            Err(err) => {
                log::warn!("event=link_accept_failed cause=\"{err}\"");
                monoio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Opens a link to the peer at `addr`.
pub(crate) async fn open(addr: SocketAddr) -> Result<SendRequest<Bytes>, LinkError> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let io = StreamWrapper::new_with_buffer_size(stream, BUFFER, BUFFER);
    let mut builder = h2::client::Builder::new();
    builder
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW);
    let (tx, connection) = builder.handshake(io).await?;
    monoio::spawn(async move {
        if let Err(err) = connection.await {
            log::debug!("event=link_closed cause=\"{err}\"");
        }
    });
    Ok(tx)
}

/// Sends a request with `body` and returns the body of the response, of at most `max` bytes; records the arrival of its
/// parts.
pub(crate) async fn post(
    tx: SendRequest<Bytes>,
    body: Bytes,
    max: usize,
    activity: &Activity,
) -> Result<Bytes, LinkError> {
    let mut tx = tx.ready().await?;
    let head = Request::post("http://peer/")
        .body(())
        .expect("The request head is constant.");
    let (answer, mut stream) = tx.send_request(head, false)?;
    stream.send_data(body, true)?;
    let answer = answer.await?;
    activity.record();
    if answer.status() != StatusCode::OK {
        return Err(LinkError::Status(answer.status()));
    }
    read_answer(answer.into_body(), max, activity).await
}

/// Performs the HTTP/2 handshake with a connecting peer, which may have `streams` concurrent requests.
pub(crate) async fn accept(
    stream: TcpStream,
    streams: u32,
) -> Result<Connection<StreamWrapper<TcpStream>, Bytes>, LinkError> {
    stream.set_nodelay(true)?;
    let io = StreamWrapper::new_with_buffer_size(stream, BUFFER, BUFFER);
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW)
        .max_concurrent_streams(streams);
    Ok(builder.handshake(io).await?)
}

/// Sends a body, which is not empty, as fast as the peer accepts it; returns when all but the last window has arrived there.
pub(crate) async fn send_body(
    stream: &mut SendStream<Bytes>,
    mut body: Bytes,
) -> Result<(), LinkError> {
    while !body.is_empty() {
        stream.reserve_capacity(body.len());
        let capacity = poll_fn(|cx| stream.poll_capacity(cx)).await;
        let capacity = capacity.unwrap_or(Err(Reason::STREAM_CLOSED.into()))?;
        let part = body.split_to(capacity.min(body.len()));
        stream.send_data(part, body.is_empty())?;
    }
    Ok(())
}

/// Reads a whole body of at most `max` bytes.
pub(crate) async fn read_body(body: RecvStream, max: usize) -> Result<Bytes, LinkError> {
    read_answer(body, max, &Activity::default()).await
}

/// Reads a whole body of at most `max` bytes, and records the arrival of its parts.
pub(crate) async fn read_answer(
    mut body: RecvStream,
    max: usize,
    activity: &Activity,
) -> Result<Bytes, LinkError> {
    let mut buf = BytesMut::new();
    while let Some(data) = body.data().await {
        let data = data?;
        activity.record();
        if buf.len() + data.len() > max {
            return Err(LinkError::TooLong);
        }
        body.flow_control().release_capacity(data.len())?;
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}
