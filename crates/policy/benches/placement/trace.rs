//! Generated arrivals, the same for every policy of a scenario.

use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};
use smallvec::{
    smallvec,
    SmallVec, //
};
use std::time::Duration;

/// One request of a flow.
#[derive(Clone)]
pub(crate) struct Request {
    /// Earliest start, relative to the arrival of the flow.
    pub(crate) offset: Duration,
    /// Service time at a warm upstream.
    pub(crate) service: Duration,
}

/// A flow of a caller, with its requests in order.
#[derive(Clone)]
pub(crate) struct Flow {
    /// Arrival, relative to the start of the run.
    pub(crate) at: Duration,
    pub(crate) requests: SmallVec<[Request; 1]>,
}

/// Distribution of the requests of a flow.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Shape {
    /// One request per flow.
    Single,
    /// 2 to 200 requests (Pareto, exponent 1.3), with a mean gap of 20 to 500 ms that is fixed per flow.
    Unequal,
    /// A feed that is registered again every 30 s, for a mean of 600 s (exponential).
    Feed,
}

/// Parameters of the generated arrivals.
#[derive(Clone, Copy)]
pub(crate) struct Load {
    pub(crate) seed: u64,
    pub(crate) shape: Shape,
    /// Mean service time at a warm upstream (exponential).
    pub(crate) service: Duration,
    /// Requests per second.
    pub(crate) rate: f64,
    /// Time during which flows arrive.
    pub(crate) length: Duration,
    /// Time range with a higher rate.
    pub(crate) burst: Option<Burst>,
}

/// Time range in which the arrival rate is multiplied by `factor`.
#[derive(Clone, Copy)]
pub(crate) struct Burst {
    pub(crate) from: Duration,
    pub(crate) to: Duration,
    pub(crate) factor: f64,
}

impl Burst {
    fn factor(&self, at_s: f64) -> f64 {
        let inside = at_s >= self.from.as_secs_f64() && at_s < self.to.as_secs_f64();
        if inside {
            self.factor
        } else {
            1.0
        }
    }
}

const REQUESTS_MIN: f64 = 2.0;
const REQUESTS_MAX: f64 = 200.0;
const PARETO_EXPONENT: f64 = 1.3;
const GAP_MIN_S: f64 = 0.02;
const GAP_RATIO: f64 = 25.0;
const FEED_GAP_S: f64 = 30.0;
const FEED_REQUESTS: f64 = 20.0;

impl Load {
    /// Generates the flows, in order of arrival.
    pub(crate) fn flows(&self) -> Vec<Flow> {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let flow_rate = self.rate / self.mean_requests();
        let mut flows = Vec::new();
        let mut at = 0.0;
        loop {
            let factor = self.burst.map_or(1.0, |burst| burst.factor(at));
            at += exponential(1.0 / (flow_rate * factor), &mut rng);
            if at > self.length.as_secs_f64() {
                return flows;
            }
            flows.push(Flow {
                at: Duration::from_secs_f64(at),
                requests: self.requests(&mut rng),
            });
        }
    }

    fn requests(&self, rng: &mut SmallRng) -> SmallVec<[Request; 1]> {
        let service_s = self.service.as_secs_f64();
        let service =
            |rng: &mut SmallRng| Duration::from_secs_f64(exponential(service_s, rng).max(1e-6));
        if matches!(self.shape, Shape::Single) {
            return smallvec![Request {
                offset: Duration::ZERO,
                service: service(rng),
            }];
        }
        let (count, gap_s) = match self.shape {
            Shape::Feed => (feed_requests(rng.random()), FEED_GAP_S),
            _ => (
                pareto_requests(rng.random()),
                GAP_MIN_S * GAP_RATIO.powf(rng.random()),
            ),
        };
        let mut offset = 0.0;
        (0..count)
            .map(|_| {
                let request = Request {
                    offset: Duration::from_secs_f64(offset),
                    service: service(rng),
                };
                offset += match self.shape {
                    Shape::Feed => gap_s,
                    _ => exponential(gap_s, rng),
                };
                request
            })
            .collect()
    }

    fn mean_requests(&self) -> f64 {
        const POINTS: u32 = 100_000;
        let requests = match self.shape {
            Shape::Single => return 1.0,
            Shape::Unequal => pareto_requests,
            Shape::Feed => feed_requests,
        };
        let sum: u64 = (0..POINTS)
            .map(|i| requests((f64::from(i) + 0.5) / f64::from(POINTS)))
            .sum();
        sum as f64 / f64::from(POINTS)
    }
}

fn feed_requests(u: f64) -> u64 {
    (-FEED_REQUESTS * (1.0 - u).ln()) as u64 + 1
}

fn pareto_requests(u: f64) -> u64 {
    let requests = REQUESTS_MIN * (1.0 - u).powf(-1.0 / PARETO_EXPONENT);
    requests.min(REQUESTS_MAX) as u64
}

fn exponential(mean: f64, rng: &mut SmallRng) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}
