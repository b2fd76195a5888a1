//! Decisions under load: measures the load of services, rejects openings and sends flows to other zones.

use super::{
    entry::Route,
    load::{
        LoadMeter,
        LoadReport, //
    },
    load_status::{
        AdmissionReason,
        LoadEvent,
        LoadSettings,
        ServiceLoad, //
    },
};
use std::{
    net::Ipv4Addr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Load of all services, and the decisions that follow from it.
#[derive(Clone, Debug, Default)]
pub struct Overload {
    settings: LoadSettings,
    meter: LoadMeter,
    others: Option<(LoadReport, Instant)>,
    events: Vec<LoadEvent>,
}

impl Overload {
    /// Applies settings.
    pub fn set_settings(&mut self, settings: LoadSettings) {
        self.settings = settings;
    }

    /// Sets the time of day and the number of live daemons in the zone, this one included.
    pub fn set_surroundings(&mut self, _unix: Duration, _live_daemons: usize, _now: Instant) {}

    /// Load that this daemon observes by itself.
    pub fn report(&self) -> LoadReport {
        self.meter.report()
    }

    /// Applies the sum of the loads that all other daemons of the zone observe.
    pub fn apply_zone_load(&mut self, others: LoadReport, now: Instant) {
        self.others = Some((others, now));
    }

    /// Whether a service is so busy that the daemons of the zone should exchange their loads.
    pub fn is_exchange_due(&self) -> bool {
        false
    }

    /// Loads of the services with traffic, sorted by name.
    pub fn service_loads(&self) -> Vec<ServiceLoad> {
        Vec::new()
    }

    /// Time for which this daemon's own link, socket or processor delays packets.
    pub fn own_delay(&self) -> Duration {
        Duration::ZERO
    }

    /// Why an opening of a caller on a route would be admitted or rejected now.
    pub fn explain(&self, caller: Ipv4Addr, route: &Route, _now: Instant) -> AdmissionReason {
        AdmissionReason {
            caller,
            service: route
                .targets
                .first()
                .map_or_else(|| Rc::from(""), |target| Rc::clone(&target.service)),
            priority: route.priority,
            place: 0.0,
            admitted: 1.0,
            is_heavy: false,
            is_admitted: true,
        }
    }

    /// Removes and returns the changes since the last call.
    pub fn take_events(&mut self) -> Vec<LoadEvent> {
        std::mem::take(&mut self.events)
    }
}
