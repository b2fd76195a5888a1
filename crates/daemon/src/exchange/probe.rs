//! Health probes of the upstreams that this daemon owns: whether a probe is answered matters first, what it reports
//! second.

use crate::exchange::{
    path::DataPath,
    service::Service,
    upstream::Upstream, //
};
use foxtailhinge_policy::health::EndpointReport;
use foxtailhinge_wire::coap::{
    Datagram,
    Status, //
};
use serde::Deserialize;
use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Time without an answer after which an upstream is probed, and pause after each probe.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which feeds are still ended at upstreams whose zone went out of service.
const END_FEEDS_GRACE: Duration = Duration::from_secs(3);

/// Body of a response from a health endpoint.
#[derive(Debug, Deserialize)]
struct HealthBody {
    healthy: bool,
}

impl DataPath {
    /// Probes an upstream that has not answered a request for a while.
    pub fn probe_idle(self: &Rc<Self>, up: &Rc<Upstream>, now: Instant) {
        let is_idle = now.saturating_duration_since(up.last_answer()) >= PROBE_INTERVAL;
        // After a pause the documents may be outdated: a zone that went out of service may still look in service.
        let is_admitting = self.control.admits(now);
        if !is_idle || !is_admitting || !self.is_in_service(up) || !up.begin_probe() {
            return;
        }
        let up = Rc::clone(up);
        let timer = Rc::clone(&self.timer);
        self.spawn("probe", async move {
            let res = up.probe(&timer, PROBE_TIMEOUT).await;
            let now = Instant::now();
            up.load_mut().record_probe(res.is_ok(), now);
            if let Some(report) = res.ok().as_ref().and_then(read_report) {
                up.load_mut().record_report(report, now);
            }
            monoio::time::sleep(PROBE_INTERVAL).await;
            up.end_probe();
        });
    }
}

impl DataPath {
    /// Whether any service that names the upstream has its zone in service.
    fn is_in_service(&self, up: &Upstream) -> bool {
        self.any_service(up, |service| service.zone_in_service(up.zone()))
    }

    /// Whether packets that belong to no request may be sent to the upstream: its zone is in service, or went out of
    /// service recently and not during a pause of this daemon.
    pub fn may_send_to(&self, up: &Upstream) -> bool {
        let now = Instant::now();
        let since_rejoin = now.saturating_duration_since(self.rejoined.get());
        let open = |service: &Service| {
            let out = service.zone_out_for(up.zone(), now);
            out.is_none_or(|time| time < END_FEEDS_GRACE.min(since_rejoin))
        };
        self.control.admits(now) && self.any_service(up, open)
    }

    fn any_service(&self, up: &Upstream, predicate: impl Fn(&Service) -> bool) -> bool {
        self.services.borrow().values().any(|service| {
            let mut declared = service.upstreams();
            predicate(service) && declared.any(|(_, declared)| declared.spec.address == up.addr())
        })
    }
}

/// Parses the answer of the health endpoint; `None` if the upstream does not report its health.
fn read_report(rsp: &Datagram) -> Option<EndpointReport> {
    if rsp.status() != Some(Status::Content) {
        return None;
    }
    let body: HealthBody = serde_json::from_slice(rsp.payload()).ok()?;
    Some(if body.healthy {
        EndpointReport::Healthy
    } else {
        EndpointReport::Unhealthy
    })
}
