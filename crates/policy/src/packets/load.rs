//! Load of services, as the daemons of a zone observe it from callers' packets.
//!
//! A daemon never sees an answer, but it sees when a caller goes on. By Little's law, the sum of the service times of the
//! answers in a second is the mean number of requests at the upstreams, running or waiting.

use smallvec::SmallVec;
use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    ops::{
        AddAssign,
        Mul, //
    },
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Length of a window, after which the sums decay.
pub const WINDOW: Duration = Duration::from_millis(100);

/// Factor by which sums shrink in one window; they cover the last 0.5 s, mostly.
pub const DECAY: f64 = 0.8;

/// Age from which the report of another daemon is ignored.
pub const REPORT_TTL: Duration = Duration::from_secs(1);

/// Factor from a decayed sum to a rate per second.
fn per_second() -> f64 {
    (1.0 - DECAY) / WINDOW.as_secs_f64()
}

/// Upstreams of one service in one availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Pool {
    /// Name of the service.
    pub service: Rc<str>,
    /// Zone of the upstreams.
    pub zone: Rc<str>,
}

/// Observations of one pool, as sums that decay with time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Opening packets that were forwarded.
    pub opened: f64,
    /// Opening packets that no other packet of their flow followed in time.
    pub failed: f64,
    /// Flows whose opening was answered.
    pub connects: f64,
    /// Sum of the connect times of these flows, in seconds.
    pub connect_s: f64,
    /// Requests that were answered.
    pub answers: f64,
    /// Sum of the service times of all answers, in seconds.
    pub service_s: f64,
    /// Answers that are too short for content, as that of an upstream that sheds load.
    pub refusals: f64,
    /// Sum of the service times of the refusals, in seconds.
    pub refusal_s: f64,
}

impl Counts {
    /// Mean number of requests at the upstreams, running or waiting.
    pub fn occupancy(&self) -> f64 {
        self.service_s * per_second()
    }

    /// Mean service time of the requests that were served, in seconds; `None` without such requests.
    pub fn service_time(&self) -> Option<f64> {
        mean(
            self.service_s - self.refusal_s,
            self.answers - self.refusals,
        )
    }

    /// Mean connect time in seconds; `None` without flows that were opened.
    pub fn connect_time(&self) -> Option<f64> {
        mean(self.connect_s, self.connects)
    }

    /// Share of answers that are refusals.
    pub fn refusal_rate(&self) -> f64 {
        mean(self.refusals, self.answers).unwrap_or(0.0)
    }

    /// Share of openings that failed.
    pub fn failure_rate(&self) -> f64 {
        mean(self.failed, self.failed + self.connects).unwrap_or(0.0)
    }

    /// Whether all sums are finite and not negative, and no part is larger than its whole.
    pub fn is_plausible(&self) -> bool {
        let sums = self.sums();
        sums.iter().all(|sum| sum.is_finite() && *sum >= 0.0)
            && self.refusals <= self.answers
            && self.refusal_s <= self.service_s
    }

    fn largest(&self) -> f64 {
        self.sums().into_iter().fold(0.0, f64::max)
    }

    fn sums(&self) -> [f64; 8] {
        [
            self.opened,
            self.failed,
            self.connects,
            self.connect_s,
            self.answers,
            self.service_s,
            self.refusals,
            self.refusal_s,
        ]
    }

    fn is_empty(&self) -> bool {
        self.opened + self.failed + self.connects + self.answers < EMPTY
    }
}

/// Sum of events below which a pool is treated as without traffic.
const EMPTY: f64 = 0.01;

/// Largest plausible sum of events, or of seconds, that one daemon observes: no daemon forwards a million openings in the
/// time that the sums cover.
const EVENTS_MAX: f64 = 1e6;

/// Largest plausible number of daemons in a zone, three times that of the largest deployment.
const DAEMONS_MAX: u32 = 1_024;

/// Smallest number of events for a mean.
const MEAN_MIN: f64 = 0.05;

fn mean(sum: f64, n: f64) -> Option<f64> {
    (n >= MEAN_MIN).then(|| sum / n)
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.opened += other.opened;
        self.failed += other.failed;
        self.connects += other.connects;
        self.connect_s += other.connect_s;
        self.answers += other.answers;
        self.service_s += other.service_s;
        self.refusals += other.refusals;
        self.refusal_s += other.refusal_s;
    }
}

impl Mul<f64> for Counts {
    type Output = Self;

    fn mul(self, factor: f64) -> Self {
        Self {
            opened: self.opened * factor,
            failed: self.failed * factor,
            connects: self.connects * factor,
            connect_s: self.connect_s * factor,
            answers: self.answers * factor,
            service_s: self.service_s * factor,
            refusals: self.refusals * factor,
            refusal_s: self.refusal_s * factor,
        }
    }
}

/// Load that one daemon, or several together, observe.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of daemons whose observations are in the report.
    pub daemons: u32,
    /// Pools with traffic.
    pub pools: SmallVec<[(Pool, Counts); 4]>,
    /// Share of its openings that each service admits, where it is under 1; the mean over the daemons.
    pub admitted: SmallVec<[(Rc<str>, f64); 2]>,
    /// Mean service time without load of each service, in seconds; the least of the daemons.
    pub baseline_s: SmallVec<[(Rc<str>, f64); 2]>,
}

impl LoadReport {
    /// Observations of a pool.
    pub fn counts(&self, service: &str, zone: &str) -> Counts {
        let found = self
            .pools
            .iter()
            .find(|(pool, _)| *pool.service == *service && *pool.zone == *zone);
        found.map_or_else(Counts::default, |(_, counts)| *counts)
    }

    /// Share of its openings that a service admits.
    pub fn admitted(&self, service: &str) -> f64 {
        let found = self.admitted.iter().find(|(name, _)| **name == *service);
        found.map_or(1.0, |(_, admitted)| *admitted)
    }

    /// Mean service time without load of a service, in seconds.
    pub fn baseline_s(&self, service: &str) -> Option<f64> {
        let mut known = self.baseline_s.iter();
        let found = known.find(|(name, _)| **name == *service);
        found.map(|(_, baseline_s)| *baseline_s)
    }

    /// Adds the observations of other daemons.
    pub fn merge(&mut self, other: &Self) {
        let (mine, theirs) = (f64::from(self.daemons), f64::from(other.daemons));
        let services = self.admitted.iter().chain(&other.admitted);
        let services: BTreeSet<_> = services.map(|(name, _)| Rc::clone(name)).collect();
        let share = |name: &Rc<str>| {
            let sum = self.admitted(name) * mine + other.admitted(name) * theirs;
            (Rc::clone(name), sum / (mine + theirs).max(1.0))
        };
        self.admitted = services.iter().map(share).collect();
        for (service, baseline_s) in &other.baseline_s {
            match self.baseline_s.iter_mut().find(|(n, _)| n == service) {
                Some((_, known)) => *known = known.min(*baseline_s),
                None => self.baseline_s.push((Rc::clone(service), *baseline_s)),
            }
        }
        for (pool, counts) in &other.pools {
            match self.pools.iter_mut().find(|(known, _)| known == pool) {
                Some((_, known)) => *known += *counts,
                None => self.pools.push((pool.clone(), *counts)),
            }
        }
        self.daemons = self.daemons.saturating_add(other.daemons);
    }

    /// Whether all values are in the ranges that daemons of one zone can observe.
    pub fn is_plausible(&self) -> bool {
        let most = EVENTS_MAX * f64::from(self.daemons);
        let is_possible = |counts: &Counts| counts.is_plausible() && counts.largest() <= most;
        (1..=DAEMONS_MAX).contains(&self.daemons)
            && self.pools.iter().all(|(_, counts)| is_possible(counts))
            && self
                .admitted
                .iter()
                .all(|(_, admitted)| (0.0..=1.0).contains(admitted))
            && self
                .baseline_s
                .iter()
                .all(|(_, baseline_s)| baseline_s.is_finite() && *baseline_s > 0.0)
    }
}

/// Observations by the zone of the upstreams.
type ByZone = SmallVec<[(Rc<str>, Counts); 4]>;

/// Observations of this daemon.
#[derive(Clone, Debug, Default)]
pub struct LoadMeter {
    pools: HashMap<Rc<str>, ByZone>,
    decayed: Option<Instant>,
}

impl LoadMeter {
    /// Observations of a pool, to be added to.
    pub fn pool(&mut self, service: &Rc<str>, zone: &Rc<str>) -> &mut Counts {
        if !self.pools.contains_key(service) {
            self.pools.insert(Rc::clone(service), SmallVec::new());
        }
        let zones = self.pools.entry(Rc::clone(service)).or_default();
        let at = match zones.iter().position(|(known, _)| known == zone) {
            Some(at) => at,
            None => {
                zones.push((Rc::clone(zone), Counts::default()));
                zones.len() - 1
            }
        };
        &mut zones[at].1
    }

    /// Ends the windows that are over; returns their number.
    pub fn roll(&mut self, now: Instant) -> u32 {
        let since = *self.decayed.get_or_insert(now);
        let windows = now.saturating_duration_since(since).as_nanos() / WINDOW.as_nanos();
        let windows = u32::try_from(windows).unwrap_or(u32::MAX);
        if windows == 0 {
            return 0;
        }
        self.decayed = Some(since + WINDOW * windows);
        let factor = DECAY.powf(f64::from(windows));
        self.pools.retain(|_, zones| {
            for (_, counts) in zones.iter_mut() {
                *counts = *counts * factor;
            }
            zones.retain(|(_, counts)| !counts.is_empty());
            !zones.is_empty()
        });
        windows
    }

    /// Report of this daemon at a time after the last call of `roll`, without admitted shares.
    pub fn report(&self, now: Instant) -> LoadReport {
        let age = self
            .decayed
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let windows = (age.as_nanos() / WINDOW.as_nanos()) as f64;
        let factor = DECAY.powf(windows);
        let pools = self.pools.iter().flat_map(|(service, zones)| {
            zones.iter().map(|(zone, counts)| {
                let pool = Pool {
                    service: Rc::clone(service),
                    zone: Rc::clone(zone),
                };
                (pool, *counts * factor)
            })
        });
        LoadReport {
            daemons: 1,
            pools: pools.collect(),
            admitted: SmallVec::new(),
            baseline_s: SmallVec::new(),
        }
    }
}

/// Relation of this daemon to one that reports its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reporter {
    /// It follows this daemon.
    Follower,
    /// It is a reader like this daemon, and its report holds the loads of its followers.
    Peer,
    /// This daemon follows it, and its report holds the loads of all other daemons of the zone.
    Source,
}

/// A report with the mean age of the observations in it.
///
/// The oldest age would not do: in a zone with relays, a report that passes several daemons at the interval of the
/// exchange would expire without any failure.
#[derive(Clone, Debug, PartialEq)]
pub struct AgedReport {
    /// The report.
    pub report: LoadReport,
    /// Mean age over the daemons in the report.
    pub age: Duration,
}

#[derive(Clone, Debug)]
struct ReceivedReport {
    report: LoadReport,
    reporter: Reporter,
    at: Instant,
}

/// Latest load reports of other daemons of the zone.
///
/// They are summed in the order of the names, so that simulations are reproducible.
#[derive(Clone, Debug, Default)]
pub struct ZoneLoad {
    received: BTreeMap<Rc<str>, ReceivedReport>,
}

impl ZoneLoad {
    /// Records the report of a VM, observed at `at`; a report with implausible values is discarded.
    ///
    /// The report of a source holds what other sources and peers report, so that these are removed; the report of a
    /// peer removes that of a source. Returns whether the report is used.
    pub fn record(
        &mut self,
        vm: Rc<str>,
        report: LoadReport,
        reporter: Reporter,
        at: Instant,
    ) -> bool {
        if !report.is_plausible() {
            return false;
        }
        match reporter {
            Reporter::Follower => (),
            Reporter::Peer => self
                .received
                .retain(|_, received| received.reporter != Reporter::Source),
            Reporter::Source => self
                .received
                .retain(|_, received| received.reporter == Reporter::Follower),
        }
        let received = ReceivedReport {
            report,
            reporter,
            at,
        };
        self.received.insert(vm, received);
        true
    }

    /// Report for the daemon `vm`: the observations of this daemon, and those of others that reach `vm` through it.
    ///
    /// `recipient` is the relation of `vm` to this daemon. What `vm` itself reported is left out.
    pub fn report_for(
        &self,
        vm: &str,
        recipient: Reporter,
        own: LoadReport,
        now: Instant,
    ) -> AgedReport {
        let is_wanted = |other: &str, reporter| match recipient {
            Reporter::Follower => other != vm,
            Reporter::Peer | Reporter::Source => other != vm && reporter == Reporter::Follower,
        };
        let age: Duration = self
            .recent(now, is_wanted)
            .map(|received| now.saturating_duration_since(received.at) * received.report.daemons)
            .sum();
        let mut report = own;
        report.merge(&self.sum(now, is_wanted));
        AgedReport {
            age: age / report.daemons.max(1),
            report,
        }
    }

    /// Sum of the recent reports of all daemons but `except`.
    pub fn sum_for_follower(&self, except: &str, now: Instant) -> LoadReport {
        self.sum(now, |vm, _| vm != except)
    }

    /// Sum of the recent reports of followers only, for a peer, which knows its own.
    pub fn sum_for_peer(&self, now: Instant) -> LoadReport {
        self.sum(now, |_, reporter| reporter == Reporter::Follower)
    }

    /// Sum of all recent reports.
    pub fn total(&self, now: Instant) -> LoadReport {
        self.sum(now, |_, _| true)
    }

    /// Removes expired reports.
    pub fn evict(&mut self, now: Instant) {
        self.received
            .retain(|_, received| now < received.at + REPORT_TTL);
    }

    fn sum(&self, now: Instant, is_wanted: impl Fn(&str, Reporter) -> bool) -> LoadReport {
        let mut sum = LoadReport::default();
        for received in self.recent(now, is_wanted) {
            sum.merge(&received.report);
        }
        sum
    }

    fn recent(
        &self,
        now: Instant,
        is_wanted: impl Fn(&str, Reporter) -> bool,
    ) -> impl Iterator<Item = &ReceivedReport> {
        let wanted = self.received.iter().filter(move |(vm, received)| {
            now < received.at + REPORT_TTL && is_wanted(vm, received.reporter)
        });
        wanted.map(|(_, received)| received)
    }
}
