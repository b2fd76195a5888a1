//! Correlated failure: upstreams of one service in one zone that stop accepting flows together.
//!
//! With many daemons, each one opens flows at a given upstream too rarely to observe every upstream by itself, and a
//! caller stops trying after three refusals. A failed opening is therefore evidence against all upstreams of the zone:
//! the share of recent openings in the zone that failed is a penalty for all of them, so that new flows go to zones
//! where openings succeed. A few flows still go to the failing zone and detect its recovery.

use smallvec::SmallVec;
use std::{
    collections::HashMap,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Inverse weight of the newest opening in the moving average. Three failures in a row raise the average above one
/// half, which rarely happens by chance at a true failure rate of a tenth.
const EWMA_DIVISOR: f64 = 4.0;

/// Time in which the failure rate halves without an opening, so that a recovered zone is detected within seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Failure rate of the zone from which on a single failed opening ejects its upstream.
pub const MAJORITY: f64 = 0.5;

#[derive(Clone, Debug)]
struct Zone {
    name: Rc<str>,
    failure_rate: f64,
    at: Instant,
}

impl Zone {
    fn failure_rate(&self, now: Instant) -> f64 {
        let halves = now.saturating_duration_since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5f64.powf(halves)
    }
}

/// Failure rates of the zones of one service.
#[derive(Clone, Debug, Default)]
pub struct FailureRates(SmallVec<[(Rc<str>, f64); 8]>);

impl FailureRates {
    /// Share of recent openings in a zone that failed.
    pub fn of(&self, zone: &str) -> f64 {
        let found = self.0.iter().find(|(name, _)| **name == *zone);
        found.map_or(0.0, |(_, failure_rate)| *failure_rate)
    }
}

/// Moving average of failed openings, per service and zone.
#[derive(Clone, Debug, Default)]
pub struct CorrelatedFailure {
    services: HashMap<Rc<str>, SmallVec<[Zone; 8]>>,
}

impl CorrelatedFailure {
    /// Records the result of an opening at an upstream of `service` in `zone`; returns the new failure rate there.
    pub fn record(
        &mut self,
        service: &Rc<str>,
        zone: &Rc<str>,
        has_failed: bool,
        now: Instant,
    ) -> f64 {
        let zones = self.services.entry(Rc::clone(service)).or_default();
        let known = zones.iter_mut().find(|known| known.name == *zone);
        match (known, has_failed) {
            (Some(known), _) => {
                let failure_rate = known.failure_rate(now);
                known.failure_rate =
                    failure_rate + (f64::from(u8::from(has_failed)) - failure_rate) / EWMA_DIVISOR;
                known.at = now;
                known.failure_rate
            }
            (None, true) => {
                zones.push(Zone {
                    name: Rc::clone(zone),
                    failure_rate: 1.0 / EWMA_DIVISOR,
                    at: now,
                });
                1.0 / EWMA_DIVISOR
            }
            (None, false) => 0.0,
        }
    }

    /// Current failure rates of the zones of a service.
    pub fn failure_rates(&self, service: &str, now: Instant) -> FailureRates {
        let zones = self.services.get(service).into_iter().flatten();
        FailureRates(
            zones
                .map(|zone| (Rc::clone(&zone.name), zone.failure_rate(now)))
                .collect(),
        )
    }
}
