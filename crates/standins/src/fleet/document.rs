//! A service's document, as an operator edits it.

use serde::Serialize;
use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

/// A service's document.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceDocument {
    /// Name of the service.
    pub service: String,
    /// Address of the service.
    pub address: SocketAddr,
    /// Availability zones, each `in` or `out`.
    pub zones: BTreeMap<String, &'static str>,
    /// Upstreams.
    pub upstreams: Vec<UpstreamEntry>,
    /// What new and returning upstreams may carry.
    pub cold_start: Allowance,
    /// Defaults of the service.
    pub defaults: Defaults,
    /// Settings of single paths.
    pub routes: Vec<Route>,
}

/// An upstream in a document.
#[derive(Clone, Debug, Serialize)]
pub struct UpstreamEntry {
    /// Name of the upstream.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Requests it runs at a time.
    pub slots: usize,
    /// Flows it holds.
    pub connections: usize,
    /// `serving` or `draining`.
    pub state: &'static str,
}

/// What an upstream may carry after its start.
#[derive(Clone, Debug, Serialize)]
pub struct Allowance {
    /// Requests at a time.
    pub slots: usize,
    /// Flows.
    pub connections: usize,
    /// Seconds until it may carry all.
    pub ramp_s: u64,
}

/// Defaults of a service.
#[derive(Clone, Debug, Serialize)]
pub struct Defaults {
    /// Milliseconds for a request that names no deadline.
    pub deadline_ms: u64,
    /// Requests that wait for a slot of one upstream.
    pub queue: usize,
    /// Retries as a share of requests, in percent.
    pub retry_budget_percent: u64,
    /// Seconds after which a silent flow ends.
    pub idle_s: u64,
}

/// Settings of one path.
#[derive(Clone, Debug, Serialize)]
pub struct Route {
    /// The path.
    pub path: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Milliseconds for a request that names no deadline.
    pub deadline_ms: u64,
}

impl ServiceDocument {
    /// Returns the text to publish.
    pub fn text(&self) -> String {
        serde_json::to_string_pretty(self).expect("a document is plain data")
    }

    /// Takes an availability zone in or out of service.
    pub fn set_zone(&mut self, zone: &str, serves: bool) {
        let state = if serves { "in" } else { "out" };
        self.zones.insert(zone.to_owned(), state);
    }

    /// Lets an upstream drain or serve.
    pub fn set_draining(&mut self, upstream: &str, draining: bool) {
        let found = self.upstreams.iter_mut().find(|one| one.name == upstream);
        if let Some(entry) = found {
            entry.state = if draining { "draining" } else { "serving" };
        }
    }
}
