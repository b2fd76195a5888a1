//! What the load decisions show to operators.

use std::{
    net::Ipv4Addr,
    rc::Rc,
    time::Duration, //
};

/// Settings of the decisions under load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSettings {
    /// Whether openings are rejected when a service cannot serve all callers.
    pub shed: bool,
    /// Whether flows leave the zone when its upstreams are overloaded.
    pub spill: bool,
    /// Price of a request that leaves the zone, as the time that leaving must save.
    pub zone_price: Duration,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            shed: true,
            spill: true,
            zone_price: Duration::from_millis(5),
        }
    }
}

/// Load of a service in the zone of a daemon, as that daemon sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: Rc<str>,
    /// Slots of the usable upstreams in the zone.
    pub slots: u32,
    /// Requests at these upstreams per slot, running or waiting.
    pub utilization: f64,
    /// Mean service time; `None` without answers.
    pub service_time: Option<Duration>,
    /// Service time above which the service counts as overloaded.
    pub goal: Duration,
    /// Share of answers that are refusals.
    pub refusal_rate: f64,
    /// Share of openings that are admitted.
    pub admitted: f64,
    /// Share of flows that go to each other zone.
    pub leaving: Vec<(Rc<str>, f64)>,
    /// Number of daemons whose observations are included.
    pub daemons: u32,
}

impl ServiceLoad {
    /// Share of flows that leave the zone.
    pub fn leaving_share(&self) -> f64 {
        // The sum of no numbers is -0.0, which would be shown as such.
        self.leaving.iter().fold(0.0, |sum, (_, share)| sum + share)
    }
}

/// Change in the decisions under load.
#[derive(Clone, Debug, PartialEq)]
pub enum LoadEvent {
    /// The service does not admit all openings any more.
    OverloadBegan(ServiceLoad),
    /// The service admits all openings again.
    OverloadEnded(ServiceLoad),
    /// Flows of the service begin to leave the zone.
    SpilloverBegan(ServiceLoad),
    /// Flows of the service stay in the zone again.
    SpilloverEnded(ServiceLoad),
    /// The daemon's own link, socket or processor delays packets.
    OwnDelayBegan(Duration),
    /// The daemon delays packets no more.
    OwnDelayEnded(Duration),
}

/// Why an opening of a caller would be admitted or rejected now.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionReason {
    /// Address of the caller's VM.
    pub caller: Ipv4Addr,
    /// Name of the service.
    pub service: Rc<str>,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Place of the caller between 0 (admitted first) and 1.
    pub place: f64,
    /// Share of openings that are admitted.
    pub admitted: f64,
    /// Whether the caller is ranked lower because it opens many more flows than others.
    pub is_heavy: bool,
    /// Whether the opening would be admitted.
    pub is_admitted: bool,
}

/// Why an opening would be rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The service cannot serve all callers, and this one opens many more flows than others.
    HeavyCaller,
    /// The service cannot serve all callers.
    Overload,
    /// The daemon's own link, socket or processor is the bottleneck.
    OwnDelay,
}

impl AdmissionReason {
    /// Why the opening would be rejected; `None` if it would be admitted.
    ///
    /// A place within the admitted share is rejected only because of the daemon's own delay.
    pub fn rejection(&self) -> Option<Rejection> {
        match (self.is_admitted, self.place > self.admitted, self.is_heavy) {
            (true, _, _) => None,
            (false, true, true) => Some(Rejection::HeavyCaller),
            (false, true, false) => Some(Rejection::Overload),
            (false, false, _) => Some(Rejection::OwnDelay),
        }
    }

    /// Whether the flow would leave the zone, from the share of the wanted flows that leave: those with the last places
    /// within the admitted share.
    pub fn leaves_zone(&self, leaving_share: f64) -> bool {
        let is_last = self.place > self.admitted - leaving_share;
        self.is_admitted && self.place <= self.admitted && is_last
    }
}
