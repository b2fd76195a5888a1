//! How a simulated upstream really behaves, unknown to the decisions.

use rand::Rng;
use std::time::Duration;

/// Successes that warm an upstream from cold.
const WARM_SUCCESSES: f64 = 1_000.0;

/// Largest share of requests shed in an overload.
const SHED_MAX: f64 = 0.5;

/// What happens to a request that was sent.
pub(crate) enum Outcome {
    Answer(Duration),
    Shed,
}

/// An upstream that is slow and fragile while it is cold.
pub(crate) struct UpstreamModel {
    slots: f64,
    cold_slots: f64,
    warmth: f64,
    shed: f64,
}

impl UpstreamModel {
    pub(crate) fn warm(slots: u32, cold_slots: u32) -> Self {
        Self {
            slots: f64::from(slots),
            cold_slots: f64::from(cold_slots),
            warmth: 1.0,
            shed: 0.0,
        }
    }

    pub(crate) fn set_cold(&mut self) {
        self.warmth = 0.0;
    }

    pub(crate) fn set_shed(&mut self, share: f64) {
        self.shed = share;
    }

    /// Runs a request, with `running` at one time, this one included.
    pub(crate) fn run(&self, running: u32, service: Duration, rng: &mut impl Rng) -> Outcome {
        if self.shed > 0.0 && rng.random::<f64>() < self.shed {
            return Outcome::Shed;
        }
        let load = f64::from(running) / self.capacity();
        if load <= 1.0 + 1e-9 {
            return Outcome::Answer(service.mul_f64(2.0 - self.warmth));
        }
        if rng.random::<f64>() < SHED_MAX.min(load - 1.0) {
            return Outcome::Shed;
        }
        Outcome::Answer(service.mul_f64((2.0 - self.warmth) * load * load))
    }

    /// Ends a request; only what was borne warms the upstream.
    pub(crate) fn finish(&mut self, running: u32) {
        if f64::from(running) <= self.capacity() + 1e-9 {
            self.warmth = (self.warmth + 1.0 / WARM_SUCCESSES).min(1.0);
        }
    }

    fn capacity(&self) -> f64 {
        self.cold_slots + (self.slots - self.cold_slots) * self.warmth
    }
}
