//! Upstreams of one zone that fail together, with so many daemons that each one observes few openings.

use crate::scene::{
    address,
    flow,
    syn,
    upstream,
    Scene,
    AWAY,
    HOME,
    PORT, //
};
use foxtailhinge_policy::packets::{
    entry::Change,
    packet::Kind,
    Packet,
    Upstream,
    UpstreamId,
    Verdict, //
};
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};

/// Number of daemons in the zone.
const DAEMONS: usize = 49;
/// Requests per second in the zone.
const RATE: u64 = 440;
/// Number of upstreams in the zone; another zone has as many.
const UPSTREAMS: u64 = 100;
/// Number of attempts of a caller.
const TRIES: usize = 3;
/// Round trip between a caller and its upstream in milliseconds.
const ROUND_TRIP_MS: u64 = 7;

/// Zone of daemons that exchange no reports, with upstreams of which some refuse openings.
struct Zone {
    daemons: Vec<Scene>,
    rng: SmallRng,
    /// Upstreams with ids up to this one refuse openings.
    refusing: u64,
    callers: u16,
    /// Probability that no packet follows a successful opening, because of the caller or the network.
    loss: f64,
}

/// Counts of one run.
#[derive(Debug, Default)]
struct Outcome {
    /// Requests that the callers abandoned.
    failed: usize,
    /// Openings forwarded to another zone.
    remote: usize,
    openings: usize,
    requests: usize,
}

impl Zone {
    fn new(seed: u64) -> Self {
        let all = (0..2 * UPSTREAMS).map(|number| {
            let one = Upstream {
                zone: [HOME, AWAY][usize::from(number >= UPSTREAMS)].into(),
                address: address((number % 250) as u8, 8_000 + number as u16),
                ..upstream()
            };
            Change::Listed(UpstreamId(number + 1), one)
        });
        let all: Vec<_> = all.collect();
        let daemon = |_| {
            let mut scene = Scene::new();
            scene.changes(all.clone());
            scene
        };
        Self {
            daemons: (0..DAEMONS).map(daemon).collect(),
            rng: SmallRng::seed_from_u64(seed),
            refusing: 0,
            callers: 0,
            loss: 0.0,
        }
    }

    /// Simulates requests for some seconds.
    fn run(&mut self, seconds: u64) -> Outcome {
        let mut outcome = Outcome::default();
        for _ in 0..seconds * RATE {
            self.request(&mut outcome);
            self.after(1_000 / RATE);
        }
        outcome
    }

    fn after(&mut self, ms: u64) {
        for daemon in &mut self.daemons {
            daemon.after(ms);
        }
    }

    /// Simulates a request; each of its attempts reaches a random daemon.
    fn request(&mut self, outcome: &mut Outcome) {
        outcome.requests += 1;
        for _ in 0..TRIES {
            self.callers = self.callers.wrapping_add(1);
            outcome.openings += 1;
            let (is_open, is_remote) = self.open();
            outcome.remote += usize::from(is_remote);
            if is_open {
                return;
            }
        }
        outcome.failed += 1;
    }

    /// Opens a flow; returns whether that succeeded, and whether the upstream is in another zone.
    fn open(&mut self) -> (bool, bool) {
        let daemon = self.rng.random_range(0..DAEMONS);
        let daemon = &mut self.daemons[daemon];
        let opening = syn(flow(self.callers, PORT), 0);
        let Verdict::Open(choice) = daemon.decide(opening) else {
            panic!("there are upstreams")
        };
        let is_open = choice.id.0 > self.refusing;
        if is_open && !self.rng.random_bool(self.loss) {
            let now = daemon.now;
            daemon.after(ROUND_TRIP_MS).decide(Packet {
                kind: Kind::Data,
                label: choice.id.label(),
                ..opening
            });
            daemon.now = now;
        }
        (is_open, choice.is_remote)
    }
}

#[test]
fn callers_of_a_zone_whose_upstreams_fail_together_are_served_by_another_zone() {
    for seed in [1, 2] {
        let mut zone = Zone::new(seed);
        zone.run(3);
        zone.refusing = UPSTREAMS - 2;
        let first = zone.run(1);
        let later = zone.run(4);
        assert!(
            later.failed * 50 <= later.requests,
            "98 of 100 requests are served after the first second: {first:?} {later:?}"
        );
    }
}

#[test]
fn new_flows_return_to_a_zone_whose_upstreams_recovered() {
    let mut zone = Zone::new(6);
    zone.run(3);
    zone.refusing = UPSTREAMS;
    zone.run(4);
    zone.refusing = 0;
    zone.run(4);
    let back = zone.run(2);
    assert!(back.remote * 10 <= back.openings, "{back:?}");
}

#[test]
fn failure_of_a_quarter_of_a_zone_leaves_new_flows_in_the_zone() {
    let mut zone = Zone::new(7);
    zone.run(3);
    zone.refusing = UPSTREAMS / 4;
    let outcome = zone.run(4);
    assert!(outcome.remote * 4 <= outcome.openings, "{outcome:?}");
    assert!(outcome.failed * 50 <= outcome.requests, "{outcome:?}");
}

#[test]
fn occasionally_lost_openings_change_nothing() {
    let mut zone = Zone::new(8);
    zone.loss = 0.03;
    let outcome = zone.run(8);
    assert!(outcome.remote * 100 <= outcome.openings, "{outcome:?}");
    let silent: usize = zone
        .daemons
        .iter_mut()
        .map(|daemon| daemon.balancer.take_health_changes().len())
        .sum();
    assert_eq!(silent, 0, "no upstream is considered silent");
}

#[test]
fn a_suspended_daemon_does_not_count_unseen_packets_as_failed_openings() {
    let mut scene = Scene::new();
    for id in 1..=8 {
        scene = scene.upstream(id, upstream());
    }
    for round in 0..20 {
        let callers = round * 10..round * 10 + 10;
        let opened: Vec<_> = callers.clone().map(|c| (c, scene.choose(c).id)).collect();
        scene.after(3_000);
        for (caller, id) in opened {
            scene.after(1).follow(flow(caller, PORT), id);
        }
        scene.after(20);
    }
    assert_eq!(scene.balancer.take_health_changes(), []);
    assert_eq!(scene.choose(9_999).zone_failure_rate, 0.0);
}
