//! Probes of the upstreams that this daemon owns: their silence counts, their reports come second.

use crate::data::{
    path::DataPath,
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

/// Time without an answer after which an upstream is probed.
const QUIET: Duration = Duration::from_secs(2);

/// Time that a probe waits for its answer.
const TIMEOUT: Duration = Duration::from_secs(1);

/// What an upstream's health endpoint says.
#[derive(Debug, Deserialize)]
struct HealthBody {
    healthy: bool,
}

impl DataPath {
    /// Probes an upstream that has not answered a request for a while.
    pub fn probe_quiet(self: &Rc<Self>, up: &Rc<Upstream>, now: Instant) {
        let quiet = now.saturating_duration_since(up.last_answer()) >= QUIET;
        if !quiet || !self.is_in_service(up) || !up.begin_probe() {
            return;
        }
        let up = Rc::clone(up);
        let timer = Rc::clone(&self.timer);
        self.spawn("probe", async move {
            let res = up.probe(&timer, TIMEOUT).await;
            let now = Instant::now();
            up.load_mut().learn_probe(res.is_ok(), now);
            if let Some(report) = res.ok().as_ref().and_then(read_report) {
                up.load_mut().learn_report(report, now);
            }
            monoio::time::sleep(QUIET).await;
            up.end_probe();
        });
    }
}

impl DataPath {
    /// Whether any service that names the upstream has its zone in service.
    fn is_in_service(&self, up: &Upstream) -> bool {
        self.services.borrow().values().any(|service| {
            let named = service.upstreams();
            let mut here = named.filter(|(_, named)| named.spec.address == up.addr());
            service.zone_in_service(up.zone()) && here.next().is_some()
        })
    }
}

/// The report in an answer of the health endpoint; an upstream without one gives none.
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
