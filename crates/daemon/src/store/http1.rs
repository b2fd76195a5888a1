//! HTTP/1.1 transport of the store client.

use super::client::{
    StoreError,
    Transport, //
};
use crate::activity::Activity;
use bytes::{
    Bytes,
    BytesMut, //
};
use http::{
    header::HOST,
    Request,
    Response, //
};
use http_body_util::{
    BodyExt,
    Empty,
    LengthLimitError,
    Limited, //
};
use hyper::{
    body::Body,
    client::conn::http1::{
        handshake,
        SendRequest, //
    },
};
use monoio::{
    io::IntoPollIo,
    net::TcpStream, //
};
use monoio_compat::hyper::MonoioIo;
use std::net::SocketAddr;

/// Maximum length of an answer, in bytes; the store sends pages of about 1 MB.
const ANSWER_MAX: usize = 16 << 20;

/// HTTP/1.1: one call at a time per connection.
#[derive(Debug)]
pub struct Http1;

impl Transport for Http1 {
    type Session = SendRequest<Empty<Bytes>>;

    async fn start(stream: TcpStream) -> Result<Self::Session, StoreError> {
        let io = MonoioIo::new(stream.into_poll_io()?);
        let (tx, connection) = handshake(io).await.map_err(http)?;
        monoio::spawn(async move {
            if let Err(err) = connection.await {
                log::debug!("event=store_closed cause=\"{err}\"");
            }
        });
        Ok(tx)
    }

    async fn get(
        mut tx: Self::Session,
        addr: SocketAddr,
        path: &str,
        activity: &Activity,
    ) -> Result<(Response<Bytes>, Self::Session), StoreError> {
        tx.ready().await.map_err(http)?;
        let req = Request::get(path).header(HOST, addr.to_string());
        let req = req
            .body(Empty::new())
            .map_err(|err| StoreError::Http(err.to_string()))?;
        let answer = tx.send_request(req).await.map_err(http)?;
        let (head, body) = answer.into_parts();
        activity.record();
        if body.size_hint().lower() > ANSWER_MAX as u64 {
            return Err(StoreError::TooLong { max: ANSWER_MAX });
        }
        let mut body = Limited::new(body, ANSWER_MAX);
        let mut buf = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|err| match err.is::<LengthLimitError>() {
                true => StoreError::TooLong { max: ANSWER_MAX },
                false => StoreError::Body(err.to_string()),
            })?;
            activity.record();
            if let Some(data) = frame.data_ref() {
                buf.extend_from_slice(data);
            }
        }
        Ok((Response::from_parts(head, buf.freeze()), tx))
    }

    fn share(_: &Self::Session) -> Option<Self::Session> {
        None
    }

    fn is_closed(session: &Self::Session) -> bool {
        session.is_closed()
    }
}

fn http(err: hyper::Error) -> StoreError {
    StoreError::Http(err.to_string())
}
