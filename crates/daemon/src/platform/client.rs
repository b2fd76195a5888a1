//! HTTP/2 client of the platform.

use super::message::{
    DocumentList,
    VmList, //
};
use crate::{
    members::{
        counters::count,
        deny::PLATFORM,
        Control, //
    },
    store::{
        self,
        CallLimits,
        Http2,
        StoreError, //
    },
};
use serde::de::DeserializeOwned;
use std::{
    rc::Rc,
    time::Duration, //
};

/// Time limit for a connection; most settings have a shorter limit for the whole call.
const CONNECT: Duration = Duration::from_secs(3);

/// Typed client of the platform's documents and VM list.
pub struct Client {
    control: Rc<Control>,
    store: store::Client<Http2>,
}

impl Client {
    /// Creates a client that is not connected yet.
    pub fn new(control: Rc<Control>) -> Self {
        let answer = control.settings().limits.platform_timeout;
        let limits = CallLimits {
            connect: CONNECT,
            answer,
            overdue: answer / 2,
        };
        Self {
            control,
            store: store::Client::new(limits),
        }
    }

    /// Lists all documents.
    pub async fn documents(&self) -> Result<DocumentList, StoreError> {
        self.get("/v1/documents", Duration::ZERO).await
    }

    /// Waits at most `wait` for documents changed after `since`.
    pub async fn watch_documents(
        &self,
        since: u64,
        wait: Duration,
    ) -> Result<DocumentList, StoreError> {
        let wait_ms = wait.as_millis();
        let path = format!("/v1/documents?since={since}&wait_ms={wait_ms}");
        self.get(&path, wait).await
    }

    /// Returns the VM list.
    pub async fn vms(&self) -> Result<VmList, StoreError> {
        self.get("/v1/vms", Duration::ZERO).await
    }

    /// Waits at most `wait` for a VM list newer than `since`.
    pub async fn watch_vms(&self, since: u64, wait: Duration) -> Result<VmList, StoreError> {
        let wait_ms = wait.as_millis();
        let path = format!("/v1/vms?since={since}&wait_ms={wait_ms}");
        self.get(&path, wait).await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str, wait: Duration) -> Result<T, StoreError> {
        let settings = self.control.settings();
        let addr = settings.platform.ok_or(StoreError::Denied)?;
        if self.control.is_denied(PLATFORM) {
            return Err(StoreError::Denied);
        }
        let counters = self.control.counters();
        count(&counters.platform_calls, 1);
        let result = self.store.get(addr, path, wait).await;
        let result = match result {
            Ok(_) if self.control.is_denied(PLATFORM) => Err(StoreError::Denied),
            Ok(answer) => store::ok_body(answer).and_then(|body| decode(&body)),
            Err(err) => Err(err),
        };
        if let Err(err) = &result {
            count(&counters.platform_failures, 1);
            if !err.is_connection_lost() {
                self.store.disconnect();
            }
        }
        result
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|err| StoreError::Body(err.to_string()))
}
