//! HTTP/2 transport of the store client.

use super::client::{
    StoreError,
    Transport, //
};
use crate::{
    activity::Activity,
    links::{
        transport::read_answer,
        LinkError, //
    },
};
use bytes::Bytes;
use h2::client::{
    Builder,
    SendRequest, //
};
use http::{
    Request,
    Response, //
};
use monoio::net::TcpStream;
use monoio_compat::StreamWrapper;
use std::net::SocketAddr;

/// Maximum length of an answer, in bytes.
const ANSWER_MAX: usize = 64 << 20;

/// Flow control window of the connection and of each stream, in bytes.
const WINDOW: u32 = 256 << 10;

/// HTTP/2: concurrent calls on one connection.
#[derive(Debug)]
pub struct Http2;

impl Transport for Http2 {
    type Session = SendRequest<Bytes>;

    async fn start(stream: TcpStream) -> Result<Self::Session, StoreError> {
        let mut builder = Builder::new();
        builder
            .initial_window_size(WINDOW)
            .initial_connection_window_size(WINDOW);
        let (tx, connection) = builder
            .handshake(StreamWrapper::new(stream))
            .await
            .map_err(http)?;
        monoio::spawn(async move {
            if let Err(err) = connection.await {
                log::debug!("event=store_closed cause=\"{err}\"");
            }
        });
        Ok(tx)
    }

    async fn get(
        tx: Self::Session,
        addr: SocketAddr,
        path: &str,
        activity: &Activity,
    ) -> Result<(Response<Bytes>, Self::Session), StoreError> {
        let mut tx = tx.ready().await.map_err(http)?;
        let req = Request::get(format!("http://{addr}{path}")).body(());
        let req = req.map_err(|err| StoreError::Http(err.to_string()))?;
        let (answer, _) = tx.send_request(req, true).map_err(http)?;
        let (head, body) = answer.await.map_err(http)?.into_parts();
        activity.record();
        let body = read_answer(body, ANSWER_MAX, activity).await;
        let body = body.map_err(|err| match err {
            LinkError::TooLong => StoreError::TooLong { max: ANSWER_MAX },
            err => StoreError::Body(err.to_string()),
        })?;
        Ok((Response::from_parts(head, body), tx))
    }

    fn share(session: &Self::Session) -> Option<Self::Session> {
        Some(session.clone())
    }

    fn is_closed(_: &Self::Session) -> bool {
        false
    }
}

fn http(err: h2::Error) -> StoreError {
    StoreError::Http(err.to_string())
}
