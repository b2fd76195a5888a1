//! Probes of the upstreams that this daemon owns: their silence counts, their reports come second.

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

/// Time without an answer after which an upstream is probed.
const QUIET: Duration = Duration::from_secs(2);

/// Time that a probe waits for its answer.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which feeds are still ended at upstreams whose zone went out of service.
const LEAVE: Duration = Duration::from_secs(3);

/// What an upstream's health endpoint says.
#[derive(Debug, Deserialize)]
struct HealthBody {
    healthy: bool,
}

impl DataPath {
    /// Probes an upstream that has not answered a request for a while.
    pub fn probe_idle(self: &Rc<Self>, up: &Rc<Upstream>, now: Instant) {
        let quiet = now.saturating_duration_since(up.last_answer()) >= QUIET;
        // After a pause the documents may be old, by which a zone looks in service.
        let known = self.control.admits(now);
        if !quiet || !known || !self.is_in_service(up) || !up.begin_probe() {
            return;
        }
        let up = Rc::clone(up);
        let timer = Rc::clone(&self.timer);
        self.spawn("probe", async move {
            let res = up.probe(&timer, TIMEOUT).await;
            let now = Instant::now();
            up.load_mut().record_probe(res.is_ok(), now);
            if let Some(report) = res.ok().as_ref().and_then(read_report) {
                up.load_mut().record_report(report, now);
            }
            monoio::time::sleep(QUIET).await;
            up.end_probe();
        });
    }
}

impl DataPath {
    /// Whether any service that names the upstream has its zone in service.
    fn is_in_service(&self, up: &Upstream) -> bool {
        self.any_service(up, |service| service.zone_in_service(up.zone()))
    }

    /// Whether the upstream may be sent what concerns no request: its zone is in service, or went out just now and
    /// not in a pause of this daemon.
    pub fn may_send_to(&self, up: &Upstream) -> bool {
        let now = Instant::now();
        let awake = now.saturating_duration_since(self.rejoined.get());
        let open = |service: &Service| {
            let out = service.zone_out_for(up.zone(), now);
            out.is_none_or(|time| time < LEAVE.min(awake))
        };
        self.control.admits(now) && self.any_service(up, open)
    }

    fn any_service(&self, up: &Upstream, is_so: impl Fn(&Service) -> bool) -> bool {
        self.services.borrow().values().any(|service| {
            let mut named = service.upstreams();
            is_so(service) && named.any(|(_, named)| named.spec.address == up.addr())
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
