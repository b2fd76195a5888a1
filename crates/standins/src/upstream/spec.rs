//! Description of an upstream stand-in.

use rand::Rng;
use std::time::Duration;

/// Distribution of the service times of requests.
#[derive(Clone, Copy, Debug)]
pub enum ServiceTime {
    /// The same time for every request.
    Fixed(Duration),
    /// Exponential distribution with this mean.
    Exponential(Duration),
}

impl ServiceTime {
    /// Draws the service time of one request.
    pub fn draw(self, rng: &mut impl Rng) -> Duration {
        match self {
            ServiceTime::Fixed(time) => time,
            ServiceTime::Exponential(mean) => {
                let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
                mean.mul_f64(-uniform.ln())
            }
        }
    }
}

/// Reduced capacity of an upstream after its start.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// Most requests that run at a time at first; grows linearly to the full number until the cold start ends.
    pub slots: usize,
    /// Factor by which service times are longer.
    pub slowdown: f64,
    /// Time from the start until the upstream is warm.
    pub duration: Duration,
}

/// Describes an upstream stand-in.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Name of the service.
    pub service: String,
    /// Name of the upstream.
    pub name: String,
    /// Name of the availability zone.
    pub zone: String,
    /// Most requests that run at a time when warm.
    pub slots: usize,
    /// Most requests that wait while all slots are busy; further ones are shed.
    pub queue: usize,
    /// Most feeds that are held at a time.
    pub connections: usize,
    /// Service times of requests.
    pub service_time: ServiceTime,
    /// Capacity during a cold start.
    pub cold_start: ColdStart,
    /// Whether the upstream is warm at its first start.
    pub starts_warm: bool,
    /// Interval between two notifications of a feed.
    pub notify_interval: Duration,
    /// Max-Age of notifications, in whole seconds.
    pub max_age: Duration,
    /// Paths whose answers are longer than one datagram, with the lengths of the answers in bytes.
    pub long: Vec<(String, usize)>,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl Spec {
    /// Describes a warm upstream of the size that the first users have.
    pub fn new(service: &str, name: &str, zone: &str) -> Self {
        Spec {
            service: service.into(),
            name: name.into(),
            zone: zone.into(),
            slots: 4,
            queue: 2,
            connections: 2000,
            service_time: ServiceTime::Exponential(Duration::from_millis(5)),
            cold_start: ColdStart {
                slots: 1,
                slowdown: 4.0,
                duration: Duration::from_secs(5),
            },
            starts_warm: true,
            notify_interval: Duration::from_millis(250),
            max_age: Duration::from_secs(5),
            long: vec![("/long".into(), 5000)],
            seed: 1,
        }
    }
}
