//! Traffic that leaves its zone, in a closed loop with queues.
//!
//! Three zones of queues serve the callers of three zones. In each zone many daemons apply the law to sums that are 300
//! to 500 ms old, and every tenth one to sums of one second ago. The sums have the noise of their sample size.

use foxtailhinge_policy::packets::{
    Counts,
    PoolLoad,
    Spillover, //
};
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};
use rstest::rstest;
use std::{
    ops::Range,
    rc::Rc,
    time::Duration, //
};

const ZONES: usize = 3;
/// Time that a request runs, in seconds.
const WORK: f64 = 0.02;
/// Steps of the queues per window, and the length of one in seconds.
const STEPS: usize = 10;
const STEP: f64 = 0.01;
/// Requests that an upstream holds, per slot.
const HELD_MAX: f64 = 5.0;
/// Additional connect time to another zone, in seconds.
const DISTANCE: f64 = 0.002;
const TARGET: Duration = Duration::from_millis(250);
const PRICE: Duration = Duration::from_millis(5);

/// State of all zones in one window.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    /// Mean share that leaves each zone.
    leaving: [f64; ZONES],
    /// Service time of each zone in seconds.
    time: [f64; ZONES],
    /// Share of the openings of each zone that is refused or fails.
    lost: [f64; ZONES],
}

type Sums = [[Counts; ZONES]; ZONES];

struct Model {
    slots: f64,
    /// Requests that each zone's callers send, per slot of the zone and time of one request.
    demand: [f64; ZONES],
    /// Zone that no other one reaches.
    cut: Option<usize>,
    /// Requests in each zone by the zone of their callers.
    queues: [[f64; ZONES]; ZONES],
    daemons: Vec<Vec<Spillover>>,
    sums: Vec<Sums>,
    samples: Vec<Sample>,
    rng: SmallRng,
}

impl Model {
    fn new(daemons: usize, slots: f64, demand: [f64; ZONES]) -> Self {
        Self {
            slots,
            demand,
            cut: None,
            queues: Default::default(),
            daemons: vec![vec![Spillover::default(); daemons]; ZONES],
            sums: vec![Sums::default()],
            samples: Vec::new(),
            rng: SmallRng::seed_from_u64(7),
        }
    }

    fn run(&mut self, seconds: f64) {
        for _ in 0..(seconds * 10.0) as usize {
            self.window();
        }
    }

    fn service_time(&self, zone: usize) -> f64 {
        let utilization = self.queues[zone].iter().sum::<f64>() / self.slots;
        // Upstreams are not filled evenly, so some requests wait before all slots are in use.
        WORK * utilization.max(1.0) * (1.0 + 0.3 * utilization.min(1.0).powi(8))
    }

    /// Share of the flows of `home` that goes to each zone, as the mean over the daemons.
    fn split(&self, home: usize) -> [f64; ZONES] {
        let mut split = [0.0; ZONES];
        for daemon in &self.daemons[home] {
            for (zone, share) in daemon.shares() {
                split[zone.parse::<usize>().unwrap()] += share / self.daemons[home].len() as f64;
            }
        }
        split[home] = 1.0 - split.iter().sum::<f64>();
        split
    }

    fn window(&mut self) {
        let mut events = Sums::default();
        let splits: [_; ZONES] = std::array::from_fn(|home| self.split(home));
        for _ in 0..STEPS {
            for zone in 0..ZONES {
                self.step(zone, &splits, &mut events);
            }
        }
        let mut sample = Sample::default();
        let mut sums = *self.sums.last().unwrap();
        for home in 0..ZONES {
            sample.leaving[home] = 1.0 - splits[home][home];
            sample.time[home] = self.service_time(home);
            let lost: f64 = events[home].iter().map(|c| c.refusals + c.failed).sum();
            sample.lost[home] = lost / events[home].iter().map(|c| c.opened).sum::<f64>();
            for zone in 0..ZONES {
                sums[home][zone] = sums[home][zone] * 0.8;
                sums[home][zone] += self.noisy(events[home][zone]);
            }
        }
        self.samples.push(sample);
        self.sums.push(sums);
        for home in 0..ZONES {
            self.decide(home);
        }
    }

    fn step(&mut self, zone: usize, splits: &[[f64; ZONES]; ZONES], events: &mut Sums) {
        let time = self.service_time(zone);
        let held: f64 = self.queues[zone].iter().sum();
        let served = held.min(self.slots) / WORK * STEP / held.max(1.0);
        let arriving: [f64; ZONES] = std::array::from_fn(|home| {
            self.demand[home] * self.slots / WORK * STEP * splits[home][zone]
        });
        let room = self.slots * HELD_MAX - held * (1.0 - served);
        let accepted = (room / arriving.iter().sum::<f64>().max(1e-9)).min(1.0);
        for home in 0..ZONES {
            let counts = &mut events[home][zone];
            let arriving = arriving[home];
            counts.opened += arriving;
            let queued = &mut self.queues[zone][home];
            let answers = *queued * served;
            *queued -= answers;
            counts.answers += answers;
            counts.service_s += answers * time;
            if home != zone && (self.cut == Some(zone) || self.cut == Some(home)) {
                counts.failed += arriving;
                continue;
            }
            let refused = arriving * (1.0 - accepted);
            *queued += arriving - refused;
            counts.connects += arriving;
            let distance = if home == zone { 0.0 } else { DISTANCE };
            counts.connect_s += arriving * (0.007 + distance);
            counts.answers += refused;
            counts.refusals += refused;
            counts.service_s += refused * 0.002;
            counts.refusal_s += refused * 0.002;
        }
    }

    /// Adds the noise of the sample size to the answers and their service times.
    fn noisy(&mut self, counts: Counts) -> Counts {
        let served = counts.answers - counts.refusals;
        if served <= 0.0 {
            return counts;
        }
        let mut draw = || (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let observed = (served + draw() * served.sqrt()).max(0.0);
        let time = (counts.service_s - counts.refusal_s) / served;
        let time = time * (1.0 + 0.5 * draw() / observed.max(1.0).sqrt()).max(0.1);
        Counts {
            answers: observed + counts.refusals,
            service_s: observed * time + counts.refusal_s,
            ..counts
        }
    }

    fn decide(&mut self, home: usize) {
        for (n, daemon) in self.daemons[home].iter_mut().enumerate() {
            let age = match n % 10 {
                9 => 10,
                _ => 3 + (n + self.sums.len()) % 3,
            };
            let seen = &self.sums[self.sums.len().saturating_sub(age + 1)][home];
            let load = |zone: usize| PoolLoad {
                zone: Rc::from(zone.to_string()),
                slots: self.slots as u32,
                counts: seen[zone],
            };
            let others: Vec<_> = (0..ZONES).filter(|zone| *zone != home).map(load).collect();
            daemon.update(&load(home), &others, TARGET, PRICE, 1);
        }
    }

    fn values(&self, seconds: Range<f64>, of: impl Fn(&Sample) -> f64) -> Vec<f64> {
        let at = |seconds: f64| ((seconds * 10.0) as usize).min(self.samples.len());
        let samples = &self.samples[at(seconds.start)..at(seconds.end)];
        samples.iter().map(of).collect()
    }
}

fn greatest(values: &[f64]) -> f64 {
    values.iter().copied().fold(f64::MIN, f64::max)
}

fn least(values: &[f64]) -> f64 {
    values.iter().copied().fold(f64::MAX, f64::min)
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

/// A zone whose callers begin to send twice the load at 2 s, so that four fifths of all slots are in use.
fn hot_zone(daemons: usize, slots: f64) -> Model {
    let mut model = Model::new(daemons, slots, [0.8, 0.4, 0.4]);
    model.run(2.0);
    model.demand[0] = 1.6;
    model.run(18.0);
    model
}

#[rstest]
#[case::small_site(8, 28.0)]
#[case::large_site(90, 160.0)]
fn one_hot_zone_with_four_fifths_of_all_slots_in_use(#[case] daemons: usize, #[case] slots: f64) {
    let model = hot_zone(daemons, slots);
    let lost = model.values(3.7..20.0, |sample| sample.lost[0]);
    assert_eq!(
        greatest(&lost),
        0.0,
        "callers are refused while other zones have free slots"
    );
    let settled = model.values(5.0..20.0, |sample| sample.leaving[0]);
    let (low, high) = (least(&settled), greatest(&settled));
    assert!(
        low > 0.33 && high < 0.46,
        "the share swings from {low:.3} to {high:.3}"
    );
    let here = mean(&model.values(6.0..20.0, |sample| sample.time[0]));
    let there = greatest(&model.values(6.0..20.0, |sample| sample.time[1].max(sample.time[2])));
    assert!(
        there < here,
        "the hot zone moves its queue elsewhere: {there:.4} s there, {here:.4} s here"
    );
}
