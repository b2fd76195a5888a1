//! What an upstream stand-in is like.

use rand::Rng;
use std::time::Duration;

/// How long requests take.
#[derive(Clone, Copy, Debug)]
pub enum ServiceTime {
    /// Every request takes the same time.
    Fixed(Duration),
    /// Times are drawn from an exponential distribution with this mean.
    Exponential(Duration),
}

impl ServiceTime {
    /// Draws the time of one request.
    pub fn draw(self, rng: &mut impl Rng) -> Duration {
        match self {
            ServiceTime::Fixed(time) => time,
            ServiceTime::Exponential(mean) => {
                let share: f64 = rng.random_range(f64::EPSILON..1.0);
                mean.mul_f64(-share.ln())
            }
        }
    }
}

/// What an upstream can do in the time after its start.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// Requests it can carry at a time at first; the number grows evenly until the cold start ends.
    pub slots: usize,
    /// Factor by which its requests take longer.
    pub slowdown: f64,
    /// How long the cold start lasts.
    pub duration: Duration,
}

/// What an upstream stand-in is like.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Name of its service.
    pub service: String,
    /// Its own name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Requests it runs at a time.
    pub slots: usize,
    /// Requests that wait while all slots are busy; beyond it sheds.
    pub queue: usize,
    /// Feeds it holds at a time.
    pub connections: usize,
    /// How long requests take.
    pub service_time: ServiceTime,
    /// Its cold start.
    pub cold_start: ColdStart,
    /// Whether it is warm from the beginning.
    pub starts_warm: bool,
    /// Time between two notifications of a feed.
    pub notify_interval: Duration,
    /// Max-Age of notifications, in whole seconds.
    pub max_age: Duration,
    /// Paths with answers longer than one datagram, and their lengths in bytes.
    pub long: Vec<(String, usize)>,
    /// Seed of its service times.
    pub seed: u64,
}

impl Spec {
    /// Describes a warm upstream of the size that the first users run.
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
