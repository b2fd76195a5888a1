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

/// Daemons and slots of one zone.
#[derive(Clone, Copy, Debug)]
struct Site {
    daemons: usize,
    slots: f64,
}

const SMALL: Site = Site {
    daemons: 8,
    slots: 28.0,
};
const LARGE: Site = Site {
    daemons: 90,
    slots: 160.0,
};

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
    price: Duration,
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
    fn new(site: Site, seed: u64, demand: [f64; ZONES]) -> Self {
        Self {
            slots: site.slots,
            demand,
            price: Duration::from_millis(5),
            cut: None,
            queues: Default::default(),
            daemons: vec![vec![Spillover::default(); site.daemons]; ZONES],
            sums: vec![Sums::default()],
            samples: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
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
            daemon.update(&load(home), &others, TARGET, self.price, 1);
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

/// A zone whose callers begin to send twice the load at 2 s, which is `demand` then.
fn hot_zone(site: Site, seed: u64, demand: f64) -> Model {
    let mut model = Model::new(site, seed, [demand / 2.0, 0.4, 0.4]);
    model.run(2.0);
    model.demand[0] = demand;
    model.run(6.0);
    model
}

#[rstest]
fn a_zone_whose_load_doubles_is_relieved_while_a_fifth_of_all_slots_is_free(
    #[values(SMALL, LARGE)] site: Site,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    // Guards against callers that are refused for long next to idle zones.
    let mut model = hot_zone(site, seed, 1.6);
    model.run(12.0);
    let lost = model.values(3.4..20.0, |sample| sample.lost[0]);
    assert_eq!(greatest(&lost), 0.0, "refused 1.4 s after the load doubled");
    let time = greatest(&model.values(4.5..20.0, |sample| sample.time[0]));
    assert!(time < 2.5 * WORK, "overloaded with {time:.4} s");
    // Guards against a share that swings, and so fills the own zone and the others in turn.
    let settled = model.values(7.0..20.0, |sample| sample.leaving[0]);
    let (low, high) = (least(&settled), greatest(&settled));
    assert!(high - low < 0.08, "from {low:.3} to {high:.3}");
    // Guards against a queue that is only moved elsewhere.
    for sample in &model.samples {
        let there = sample.time[1].max(sample.time[2]);
        assert!(there < sample.time[0].max(1.1 * WORK), "{sample:?}");
    }
}

#[rstest]
fn all_zones_with_twice_the_load_of_their_slots_keep_their_callers(
    #[values(SMALL, LARGE)] site: Site,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    // Guards against zones that exchange their queues: each flow pays for the way, and none gains.
    let mut model = Model::new(site, seed, [0.5; ZONES]);
    model.run(2.0);
    model.demand = [2.0; ZONES];
    model.run(28.0);
    for home in 0..ZONES {
        let leaving = model.values(2.0..30.0, |sample| sample.leaving[home]);
        assert!(greatest(&leaving) <= 0.06, "{:.3}", greatest(&leaving));
        assert!(mean(&leaving) < 0.02, "{:.3}", mean(&leaving));
    }
}

#[rstest]
fn callers_of_zones_next_to_one_with_more_load_than_all_free_slots_keep_their_room(
    #[values(SMALL, LARGE)] site: Site,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    // Guards against a hot zone whose flows crowd out the callers of the zones that they leave for.
    let mut model = Model::new(site, seed, [0.8, 0.7, 0.7]);
    model.run(2.0);
    model.demand[0] = 2.0;
    model.run(18.0);
    for home in 1..ZONES {
        let lost = mean(&model.values(4.0..20.0, |sample| sample.lost[home]));
        assert!(lost < 0.01, "{lost:.4} of their openings are refused");
    }
    let leaving = mean(&model.values(4.0..20.0, |sample| sample.leaving[0]));
    assert!(
        leaving > 0.22,
        "{leaving:.3} of 0.3 that have room elsewhere"
    );
}

#[rstest]
fn a_zone_that_is_cut_off_gets_no_flows_of_a_hot_one_until_it_returns(
    #[values(SMALL, LARGE)] site: Site,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    // Guards against flows that keep leaving for a zone that does not answer.
    let mut model = hot_zone(site, seed, 1.3);
    assert!(model.split(0)[1] > 0.05);
    model.cut = Some(1);
    model.run(1.2);
    assert_eq!(model.split(0)[1], 0.0);
    model.run(8.8);
    let lost = mean(&model.values(10.0..18.0, |sample| sample.lost[0]));
    assert!(lost < 0.005, "probes lose {lost:.4} of the flows");
    // Guards against a zone that stays without flows for what it once failed, when its slots are needed.
    model.cut = None;
    model.demand[0] = 1.8;
    model.run(10.0);
    assert!(model.split(0)[1] > 0.05, "{:?}", model.split(0));
    let lost = model.values(25.0..28.0, |sample| sample.lost[0]);
    assert_eq!(greatest(&lost), 0.0);
}

#[rstest]
fn flows_of_a_hot_zone_that_cools_down_return_within_two_seconds(
    #[values(SMALL, LARGE)] site: Site,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    // Guards against traffic between zones that nobody needs any more.
    let mut model = hot_zone(site, seed, 1.6);
    model.demand[0] = 0.4;
    model.run(5.0);
    let leaving = model.values(10.0..13.0, |sample| sample.leaving[0]);
    assert_eq!(greatest(&leaving), 0.0);
}

#[rstest]
#[case::few_slots(Site { daemons: 8, slots: 8.0 }, 0.6)]
#[case::small_site(SMALL, 0.75)]
#[case::large_site(LARGE, 0.79)]
fn no_flow_leaves_a_zone_with_free_slots(
    #[case] site: Site,
    #[case] demand: f64,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    // Guards against noise of small samples that is taken for load.
    let mut model = Model::new(site, seed, [demand; ZONES]);
    model.run(60.0);
    let leaving = model.values(0.0..60.0, |sample| greatest(&sample.leaving));
    assert_eq!(greatest(&leaving), 0.0);
}

#[rstest]
fn daemons_that_start_under_load_relieve_their_zone(
    #[values(SMALL, LARGE)] site: Site,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    // Guards against a capacity that is learnt wrongly while queues fill, and against waiting for one to be learnt.
    let mut model = Model::new(site, seed, [1.6, 0.4, 0.4]);
    model.run(15.0);
    let lost = model.values(5.0..15.0, |sample| sample.lost[0]);
    assert_eq!(greatest(&lost), 0.0);
}

#[test]
fn a_high_price_keeps_flows_in_their_zone() {
    // Guards against flows that pay more for the way than they save.
    let share = |price| {
        let mut model = Model::new(SMALL, 1, [0.8, 0.4, 0.4]);
        model.price = Duration::from_millis(price);
        model.run(2.0);
        model.demand[0] = 1.6;
        model.run(18.0);
        mean(&model.values(7.0..20.0, |sample| sample.leaving[0]))
    };
    let shares = [0, 20, 300].map(share);
    assert!(shares[0] > shares[1] && shares[1] > shares[2], "{shares:?}");
    assert!(shares[2] < 0.05, "{shares:?}");
}

fn pool(zone: &str, slots: u32, time: f64, answers: f64) -> PoolLoad {
    let counts = Counts {
        opened: answers,
        connects: answers,
        answers,
        service_s: answers * time,
        ..Counts::default()
    };
    PoolLoad {
        zone: Rc::from(zone),
        slots,
        counts,
    }
}

/// Daemon of a zone with 10 slots and 30 requests in progress, next to two zones with little load.
fn leaving() -> (Spillover, PoolLoad, [PoolLoad; 2]) {
    let mut spillover = Spillover::default();
    let home = pool("a", 10, 0.06, 250.0);
    let others = [pool("b", 30, 0.02, 100.0), pool("c", 10, 0.02, 100.0)];
    update(&mut spillover, &home, &others, 20);
    assert!(spillover.leaving() > 0.3);
    (spillover, home, others)
}

fn update(spillover: &mut Spillover, home: &PoolLoad, others: &[PoolLoad], windows: u32) {
    for _ in 0..windows {
        spillover.update(home, others, TARGET, Duration::from_millis(5), 1);
    }
}

#[test]
fn flows_with_the_last_places_leave_for_zones_in_proportion_to_their_shares() {
    let (spillover, ..) = leaving();
    let stays = 1.0 - spillover.leaving();
    assert_eq!(spillover.zone_for(stays - 0.01, 0.5), None);
    let draws = (0..1000).map(|draw| spillover.zone_for(stays + 0.01, f64::from(draw) / 1000.0));
    let to_b = draws.filter(|zone| zone.is_some_and(|zone| **zone == *"b"));
    // Guards against a zone that gets more flows than its slots justify.
    assert!((740..=760).contains(&to_b.count()));
    assert!(spillover.zone_for(1.0, 0.9999).is_some());
}

#[test]
fn a_zone_without_usable_slots_gets_no_flows_at_once() {
    let (mut spillover, home, mut others) = leaving();
    others[0].slots = 0;
    update(&mut spillover, &home, &others, 1);
    assert!(spillover.shares().all(|(zone, _)| **zone == *"c"));
    // Guards against shares of zones that are not in the directory any more.
    update(&mut spillover, &home, &others[..1], 1);
    assert_eq!(spillover.leaving(), 0.0);
}

#[test]
fn a_lossy_zone_gets_no_flows_at_once() {
    let (mut spillover, home, mut others) = leaving();
    others[0].counts.failed = 15.0;
    update(&mut spillover, &home, &others, 1);
    assert!(spillover.shares().all(|(zone, _)| **zone == *"c"));
}

#[test]
fn a_zone_that_refuses_all_flows_is_not_probed_on_and_on() {
    let mut spillover = Spillover::default();
    let home = pool("a", 10, 0.06, 250.0);
    let mut full = pool("b", 10, 0.002, 20.0);
    full.counts.refusals = full.counts.answers;
    full.counts.refusal_s = full.counts.service_s;
    update(&mut spillover, &home, &[full], 20);
    assert_eq!(spillover.leaving(), 0.0);
}

#[test]
fn flows_leave_a_zone_whose_openings_fail() {
    // Guards against a zone without answers that looks idle.
    let (mut spillover, mut home, others) = leaving();
    home.counts = Counts {
        opened: 200.0,
        failed: 150.0,
        connects: 50.0,
        answers: 50.0,
        service_s: 1.0,
        ..Counts::default()
    };
    update(&mut spillover, &home, &others, 20);
    let leaving = spillover.leaving();
    assert!((0.85..=0.9 + 1e-9).contains(&leaving), "{leaving}");
}

#[test]
fn a_zone_without_usable_upstreams_has_no_shares() {
    let (mut spillover, mut home, others) = leaving();
    home.slots = 0;
    update(&mut spillover, &home, &others, 1);
    assert_eq!(spillover.leaving(), 0.0);
}
