//! Calls of the platform over HTTP/2.

use super::message::{
    DocumentList,
    VmList, //
};
use crate::{
    links::client::read_body,
    members::{
        counters::count,
        deny::PLATFORM,
        Control, //
    },
};
use bytes::Bytes;
use h2::client::SendRequest;
use http::{
    Request,
    StatusCode, //
};
use monoio::net::TcpStream;
use monoio_compat::StreamWrapper;
use serde::de::DeserializeOwned;
use std::{
    cell::RefCell,
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

/// Longest answer that is read, in bytes.
const ANSWER_MAX: usize = 64 << 20;

/// Window of the connection and its streams, in bytes.
const WINDOW: u32 = 256 << 10;

/// Why a call of the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// No platform is named in the settings, or a test has cut it off.
    #[error("The platform is cut off; name its address in the settings.")]
    Denied,
    /// It did not answer in time.
    #[error("The platform did not answer in time; check that it runs and can be reached.")]
    Timeout,
    /// The connection failed.
    #[error("The connection to the platform failed ({0}); check its address in the settings.")]
    Io(#[from] io::Error),
    /// HTTP/2 failed.
    #[error("The call failed ({0}); check that the address speaks HTTP/2.")]
    Http(#[from] h2::Error),
    /// It answered with an error.
    #[error("The platform answered with status {0}; see its own log.")]
    Status(StatusCode),
    /// The answer could not be read.
    #[error("The platform's answer could not be read ({0}); check its version.")]
    Body(String),
}

/// One connection to the platform, made again when it fails.
pub struct Client {
    control: Rc<Control>,
    tx: RefCell<Option<SendRequest<Bytes>>>,
}

impl Client {
    /// Creates a client that is not connected yet.
    pub fn new(control: Rc<Control>) -> Self {
        Self {
            control,
            tx: RefCell::default(),
        }
    }

    /// Reads all documents.
    pub async fn documents(&self) -> Result<DocumentList, PlatformError> {
        self.get("/v1/documents", Duration::ZERO).await
    }

    /// Waits at most `wait` for documents changed after `since`.
    pub async fn watch_documents(
        &self,
        since: u64,
        wait: Duration,
    ) -> Result<DocumentList, PlatformError> {
        let wait_ms = wait.as_millis();
        let path = format!("/v1/documents?since={since}&wait_ms={wait_ms}");
        self.get(&path, wait).await
    }

    /// Reads the VM list.
    pub async fn vms(&self) -> Result<VmList, PlatformError> {
        self.get("/v1/vms", Duration::ZERO).await
    }

    /// Waits at most `wait` for a VM list newer than `since`.
    pub async fn watch_vms(&self, since: u64, wait: Duration) -> Result<VmList, PlatformError> {
        let wait_ms = wait.as_millis();
        let path = format!("/v1/vms?since={since}&wait_ms={wait_ms}");
        self.get(&path, wait).await
    }

    async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        wait: Duration,
    ) -> Result<T, PlatformError> {
        let settings = self.control.settings();
        let addr = settings.platform.ok_or(PlatformError::Denied)?;
        if self.control.is_denied(PLATFORM) {
            return Err(PlatformError::Denied);
        }
        let counters = self.control.counters();
        count(&counters.platform_calls, 1);
        let timeout = wait + settings.limits.platform_timeout;
        let result = monoio::time::timeout(timeout, self.call(addr, path)).await;
        let result = match result {
            Ok(_) if self.control.is_denied(PLATFORM) => Err(PlatformError::Denied),
            Ok(result) => result.and_then(|body| decode(&body)),
            Err(_) => Err(PlatformError::Timeout),
        };
        if result.is_err() {
            count(&counters.platform_failures, 1);
            *self.tx.borrow_mut() = None;
        }
        result
    }

    async fn call(&self, addr: SocketAddr, path: &str) -> Result<Bytes, PlatformError> {
        let known = self.tx.borrow().clone();
        let tx = match known {
            Some(tx) => tx,
            None => self.connect(addr).await?,
        };
        let mut tx = tx.ready().await?;
        let uri = format!("http://{addr}{path}");
        let head = Request::get(uri)
            .body(())
            .expect("The path is built from numbers.");
        let (answer, _) = tx.send_request(head, true)?;
        let answer = answer.await?;
        if answer.status() != StatusCode::OK {
            return Err(PlatformError::Status(answer.status()));
        }
        let body = read_body(answer.into_body(), ANSWER_MAX).await;
        body.map_err(|err| PlatformError::Body(err.to_string()))
    }

    async fn connect(&self, addr: SocketAddr) -> Result<SendRequest<Bytes>, PlatformError> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let mut builder = h2::client::Builder::new();
        builder
            .initial_window_size(WINDOW)
            .initial_connection_window_size(WINDOW);
        let (tx, connection) = builder.handshake(StreamWrapper::new(stream)).await?;
        monoio::spawn(async move {
            if let Err(err) = connection.await {
                log::debug!("event=platform_closed cause=\"{err}\"");
            }
        });
        *self.tx.borrow_mut() = Some(tx.clone());
        Ok(tx)
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|err| PlatformError::Body(err.to_string()))
}
