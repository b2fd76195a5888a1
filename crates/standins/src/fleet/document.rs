//! Document of a service, as an operator writes it.

use serde::Serialize;
use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

/// Document of a service.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceDocument {
    /// Name of the service.
    pub service: String,
    /// Address that callers send to.
    pub address: SocketAddr,
    /// Availability zones, each `in` or `out`.
    pub zones: BTreeMap<String, &'static str>,
    /// Upstreams of the service.
    pub upstreams: Vec<UpstreamEntry>,
    /// Load that new and returning upstreams may get at first.
    pub cold_start: Allowance,
    /// Defaults for all paths.
    pub defaults: Defaults,
    /// Settings of single paths.
    pub routes: Vec<Route>,
}

/// An upstream in a document.
#[derive(Clone, Debug, Serialize)]
pub struct UpstreamEntry {
    /// Name of the upstream.
    pub name: String,
    /// Address that the upstream listens on.
    pub address: SocketAddr,
    /// Name of the availability zone.
    pub zone: String,
    /// Most requests that run at a time.
    pub slots: usize,
    /// Most flows that the upstream holds.
    pub connections: usize,
    /// `serving` or `draining`.
    pub state: &'static str,
}

/// Load that an upstream may get during its cold start.
#[derive(Clone, Debug, Serialize)]
pub struct Allowance {
    /// Most requests that run at a time when the cold start begins.
    pub slots: usize,
    /// Most flows when the cold start begins.
    pub connections: usize,
    /// Seconds until it may get its full load.
    pub ramp_s: u64,
}

/// Defaults of a service.
#[derive(Clone, Debug, Serialize)]
pub struct Defaults {
    /// Deadline of requests that set none, in milliseconds.
    pub deadline_ms: u64,
    /// Most requests that wait for a slot of one upstream.
    pub queue: usize,
    /// Retries as a share of requests, in percent.
    pub retry_budget_percent: u64,
    /// Seconds without packets after which a flow ends.
    pub idle_s: u64,
}

/// Settings of one path.
#[derive(Clone, Debug, Serialize)]
pub struct Route {
    /// Path that the settings apply to.
    pub path: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Deadline of requests that set none, in milliseconds.
    pub deadline_ms: u64,
}

impl ServiceDocument {
    /// Returns the document as JSON, ready to publish.
    pub fn text(&self) -> String {
        serde_json::to_string_pretty(self).expect("a document serializes without errors")
    }

    /// Takes an availability zone into service or out of it.
    pub fn set_zone(&mut self, zone: &str, serves: bool) {
        let state = if serves { "in" } else { "out" };
        self.zones.insert(zone.to_owned(), state);
    }

    /// Sets whether an upstream is draining; does nothing when the document does not have it.
    pub fn set_draining(&mut self, upstream: &str, draining: bool) {
        let found = self
            .upstreams
            .iter_mut()
            .find(|entry| entry.name == upstream);
        if let Some(entry) = found {
            entry.state = if draining { "draining" } else { "serving" };
        }
    }
}
