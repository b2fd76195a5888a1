//! Correlated failure: upstreams of one service in one zone that stop taking flows together.
//!
//! Among many daemons one of them opens at one upstream so seldom that it cannot learn about each by itself, while a
//! caller that is refused three times gives up. What one upstream does is therefore evidence about its neighbours: the
//! share of openings that failed among the last ones in a zone weighs on all its upstreams, so that new flows go where
//! openings go on, and a few still go there to find the return.

use smallvec::SmallVec;
use std::{
    collections::HashMap,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Part that the newest opening has in the share, as one in so many: three failures in a row then say that more than
/// half of the zone has failed, which hardly ever happens by chance when a tenth fails.
const LAST: f64 = 4.0;

/// Time in which the share falls by half without an opening: a zone that is back is found within seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Share from which one opening that fails is enough to call its upstream silent.
pub const MAJORITY: f64 = 0.5;

#[derive(Clone, Debug)]
struct Zone {
    name: Rc<str>,
    share: f64,
    at: Instant,
}

impl Zone {
    fn share(&self, now: Instant) -> f64 {
        let halves = now.saturating_duration_since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.share * 0.5f64.powf(halves)
    }
}

/// Zones of one service with the share of openings that failed there.
#[derive(Clone, Debug, Default)]
pub struct FailureRates(SmallVec<[(Rc<str>, f64); 8]>);

impl FailureRates {
    /// Share of the last openings in a zone that failed.
    pub fn of(&self, zone: &str) -> f64 {
        let found = self.0.iter().find(|(name, _)| **name == *zone);
        found.map_or(0.0, |(_, share)| *share)
    }
}

/// Shares of openings that failed, by service and zone.
#[derive(Clone, Debug, Default)]
pub struct CorrelatedFailure {
    services: HashMap<Rc<str>, SmallVec<[Zone; 8]>>,
}

impl CorrelatedFailure {
    /// Notes whether an opening went on at an upstream of `service` in `zone`; returns the share of those that failed there.
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
                let share = known.share(now);
                known.share = share + (f64::from(u8::from(has_failed)) - share) / LAST;
                known.at = now;
                known.share
            }
            (None, true) => {
                zones.push(Zone {
                    name: Rc::clone(zone),
                    share: 1.0 / LAST,
                    at: now,
                });
                1.0 / LAST
            }
            (None, false) => 0.0,
        }
    }

    /// Shares of the zones of a service, the doubts about their upstreams.
    pub fn failure_rates(&self, service: &str, now: Instant) -> FailureRates {
        let zones = self.services.get(service).into_iter().flatten();
        FailureRates(
            zones
                .map(|zone| (Rc::clone(&zone.name), zone.share(now)))
                .collect(),
        )
    }
}
