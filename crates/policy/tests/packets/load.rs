//! Load reports of the daemons of a zone and their sums.

use foxtailhinge_policy::packets::{
    load::REPORT_TTL,
    Counts,
    LoadReport,
    Pool,
    Reporter,
    ZoneLoad, //
};
use std::{
    collections::BTreeMap,
    time::{
        Duration,
        Instant, //
    },
};

/// Interval at which daemons exchange their loads.
const PERIOD: Duration = Duration::from_millis(250);

fn pool(service: &str, zone: &str) -> Pool {
    Pool {
        service: service.into(),
        zone: zone.into(),
    }
}

fn counts(events: f64) -> Counts {
    Counts {
        opened: events,
        failed: events / 8.0,
        connects: events / 2.0,
        connect_s: events / 64.0,
        answers: events,
        service_s: events / 32.0,
        refusals: events / 4.0,
        refusal_s: events / 128.0,
    }
}

/// Report of one daemon that observed `events` at one pool.
fn report(events: f64) -> LoadReport {
    LoadReport {
        daemons: 1,
        pools: [(pool("syncdesk-api", "a"), counts(events))]
            .into_iter()
            .collect(),
        ..LoadReport::default()
    }
}

/// Number of daemons and events of a report.
fn of(report: &LoadReport) -> (u32, f64) {
    (report.daemons, report.counts("syncdesk-api", "a").opened)
}

// Guards against sums that leave out a pool, or mix up those of services and zones.
#[test]
fn reports_are_added_up_by_service_and_zone() {
    let mut sum = report(1.0);
    let mut other = report(2.0);
    other.pools.push((pool("syncdesk-api", "b"), counts(4.0)));
    other.pools.push((pool("certvault", "a"), counts(8.0)));
    sum.merge(&other);
    assert_eq!(sum.daemons, 2);
    assert_eq!(sum.counts("syncdesk-api", "a"), counts(3.0));
    assert_eq!(sum.counts("syncdesk-api", "b"), counts(4.0));
    assert_eq!(sum.counts("certvault", "a"), counts(8.0));
    assert_eq!(sum.counts("certvault", "b"), Counts::default());
}

// Guards against a mean that ignores daemons which admit everything, or how many daemons a sum covers.
#[test]
fn the_admitted_share_is_the_mean_over_the_daemons() {
    let admitting = |daemons, admitted: Option<f64>| LoadReport {
        daemons,
        admitted: admitted
            .map(|share| ("certvault".into(), share))
            .into_iter()
            .collect(),
        ..LoadReport::default()
    };
    let mut sum = admitting(3, Some(0.5));
    sum.merge(&admitting(1, None));
    assert_eq!(sum.admitted("certvault"), 0.625);
    assert_eq!(sum.admitted("syncdesk-api"), 1.0);
    let mut sum = LoadReport::default();
    sum.merge(&admitting(2, Some(0.25)));
    assert_eq!(sum.admitted("certvault"), 0.25);
}

// Guards against a follower that gets its own load back, and against one that gets only a part of the zone's.
#[test]
fn a_follower_gets_the_load_of_all_others() {
    let now = Instant::now();
    let mut reader = ZoneLoad::default();
    assert!(reader.record("f-1".into(), report(1.0), Reporter::Follower, now));
    assert!(reader.record("f-2".into(), report(2.0), Reporter::Follower, now));
    assert!(reader.record("r-2".into(), report(4.0), Reporter::Peer, now));
    assert_eq!(of(&reader.sum_for_follower("f-1", now)), (2, 6.0));
    assert_eq!(of(&reader.total(now)), (3, 7.0));
    let sent = reader.report_for("f-1", Reporter::Follower, report(8.0), now);
    assert_eq!(of(&sent.report), (3, 14.0));
}

// Guards against a load that returns to the peer that reported it, and grows with each exchange.
#[test]
fn a_peer_gets_the_load_of_followers_only() {
    let now = Instant::now();
    let mut reader = ZoneLoad::default();
    reader.record("f-1".into(), report(1.0), Reporter::Follower, now);
    reader.record("r-2".into(), report(2.0), Reporter::Peer, now);
    reader.record("r-3".into(), report(4.0), Reporter::Peer, now);
    assert_eq!(of(&reader.sum_for_peer(now)), (1, 1.0));
    let sent = reader.report_for("r-2", Reporter::Peer, report(8.0), now);
    assert_eq!(of(&sent.report), (2, 9.0));
}

// Guards against a relay that passes the load of the zone back to the reader that it comes from.
#[test]
fn a_relay_reports_itself_and_its_followers() {
    let now = Instant::now();
    let mut relay = ZoneLoad::default();
    relay.record("f-1".into(), report(1.0), Reporter::Follower, now);
    relay.record("r-1".into(), report(2.0), Reporter::Source, now);
    let up = relay.report_for("r-1", Reporter::Source, report(4.0), now);
    assert_eq!(of(&up.report), (2, 5.0));
    let down = relay.report_for("f-1", Reporter::Follower, report(4.0), now);
    assert_eq!(of(&down.report), (2, 6.0));
    assert_eq!(of(&relay.total(now)), (2, 3.0));
}

// Guards against two daemons that take each other for a reader and add up their own loads in turn.
#[test]
fn daemons_that_follow_each_other_do_not_return_loads() {
    let now = Instant::now();
    let mut one = ZoneLoad::default();
    let mut two = ZoneLoad::default();
    for _ in 0..5 {
        let up = one.report_for("2", Reporter::Source, report(1.0), now);
        assert_eq!(of(&up.report), (1, 1.0));
        two.record("1".into(), up.report, Reporter::Follower, now);
        let down = two.report_for("1", Reporter::Follower, report(2.0), now);
        assert_eq!(of(&down.report), (1, 2.0));
        one.record("2".into(), down.report, Reporter::Source, now);
        std::mem::swap(&mut one, &mut two);
        let up = one.report_for("1", Reporter::Source, report(2.0), now);
        assert_eq!(of(&up.report), (1, 2.0));
        std::mem::swap(&mut one, &mut two);
    }
}

// Guards against a daemon that counts the zone twice after its role or the daemon that it follows has changed.
#[test]
fn the_load_of_the_zone_is_held_once() {
    let now = Instant::now();
    let mut load = ZoneLoad::default();
    load.record("f-1".into(), report(1.0), Reporter::Follower, now);
    load.record("r-1".into(), report(2.0), Reporter::Source, now);
    load.record("r-2".into(), report(4.0), Reporter::Source, now);
    assert_eq!(of(&load.total(now)), (2, 5.0));
    load.record("r-3".into(), report(8.0), Reporter::Peer, now);
    load.record("r-4".into(), report(16.0), Reporter::Peer, now);
    assert_eq!(of(&load.total(now)), (3, 25.0));
    load.record("r-1".into(), report(32.0), Reporter::Source, now);
    assert_eq!(of(&load.total(now)), (2, 33.0));
    load.record("f-1".into(), report(64.0), Reporter::Peer, now);
    assert_eq!(of(&load.total(now)), (1, 64.0));
}

// Guards against a daemon that is counted again with each of its reports.
#[test]
fn a_new_report_replaces_the_last_one() {
    let now = Instant::now();
    let mut reader = ZoneLoad::default();
    for events in [1.0, 2.0, 4.0] {
        reader.record("f-1".into(), report(events), Reporter::Follower, now);
    }
    assert_eq!(of(&reader.total(now)), (1, 4.0));
}

// Guards against loads of a daemon that is gone, and against reports that expire while they arrive in time.
#[test]
fn a_report_expires_after_a_second() {
    let now = Instant::now();
    let mut reader = ZoneLoad::default();
    reader.record("f-1".into(), report(1.0), Reporter::Follower, now);
    reader.record("f-2".into(), report(2.0), Reporter::Follower, now + PERIOD);
    let last = now + REPORT_TTL - Duration::from_millis(1);
    assert_eq!(of(&reader.total(last)), (2, 3.0));
    let expired = now + REPORT_TTL;
    assert_eq!(of(&reader.total(expired)), (1, 2.0));
    assert_eq!(of(&reader.sum_for_follower("f-3", expired)), (1, 2.0));
    assert_eq!(of(&reader.sum_for_peer(expired)), (1, 2.0));
    let sent = reader.report_for("f-3", Reporter::Follower, report(4.0), expired);
    assert_eq!(of(&sent.report), (2, 6.0));
    reader.evict(expired);
    assert_eq!(of(&reader.total(now)), (1, 2.0));
}

// Guards against a sum that looks fresh although the reports in it are old, or old because of one late daemon.
#[test]
fn the_age_of_a_sum_is_the_mean_over_its_daemons() {
    let now = Instant::now();
    let at = |ms| now - Duration::from_millis(ms);
    let mut reader = ZoneLoad::default();
    let own = reader.report_for("f-1", Reporter::Follower, report(1.0), now);
    assert_eq!(own.age, Duration::ZERO);
    let pair = LoadReport {
        daemons: 2,
        ..report(2.0)
    };
    reader.record("relay".into(), pair, Reporter::Follower, at(300));
    reader.record("f-2".into(), report(1.0), Reporter::Follower, at(800));
    reader.record("f-1".into(), report(1.0), Reporter::Follower, at(900));
    let sent = reader.report_for("f-1", Reporter::Follower, report(1.0), now);
    assert_eq!(sent.age, Duration::from_millis(350));
}

// Guards against false values of one daemon that replace good ones, or spoil every sum.
#[test]
fn implausible_reports_are_discarded() {
    let now = Instant::now();
    let mut reader = ZoneLoad::default();
    reader.record("f-1".into(), report(1.0), Reporter::Follower, now);
    let with = |change: fn(&mut Counts)| {
        let mut report = report(8.0);
        change(&mut report.pools[0].1);
        report
    };
    let admitting = |share: f64| LoadReport {
        admitted: [("certvault".into(), share)].into_iter().collect(),
        ..report(1.0)
    };
    let counting = |daemons| LoadReport {
        daemons,
        ..report(1.0)
    };
    let implausible = [
        with(|counts| counts.opened = f64::NAN),
        with(|counts| counts.service_s = f64::INFINITY),
        with(|counts| counts.connect_s = -1.0),
        with(|counts| counts.refusals = counts.answers * 2.0),
        with(|counts| counts.refusal_s = counts.service_s * 2.0),
        with(|counts| counts.opened = 1e300),
        admitting(f64::NAN),
        admitting(-0.1),
        admitting(1.1),
        counting(0),
        counting(u32::MAX),
    ];
    for report in implausible {
        for reporter in [Reporter::Follower, Reporter::Peer, Reporter::Source] {
            let shown = format!("{report:?}");
            assert!(
                !reader.record("f-1".into(), report.clone(), reporter, now),
                "{shown}"
            );
        }
    }
    assert_eq!(of(&reader.total(now)), (1, 1.0));
}

// Guards against an overflow in the sum of numbers of daemons, which ends a debug build.
#[test]
fn numbers_of_daemons_saturate() {
    let mut sum = LoadReport {
        daemons: u32::MAX,
        ..report(1.0)
    };
    sum.merge(&report(1.0));
    assert_eq!(sum.daemons, u32::MAX);
}

/// A zone in which each daemon knows which one it follows; those that follow none are peers.
struct Zone {
    follows: Vec<Option<usize>>,
    loads: Vec<ZoneLoad>,
    now: Instant,
}

impl Zone {
    /// Two readers, `relays` that follow them, and `followers` that follow the relays, or the readers without relays.
    fn new(relays: usize, followers: usize) -> Self {
        let relay = |number: usize| Some(number % 2);
        let follower = |number: usize| match relays {
            0 => Some(number % 2),
            _ => Some(2 + number % relays),
        };
        let follows: Vec<_> = [None, None]
            .into_iter()
            .chain((0..relays).map(relay))
            .chain((0..followers).map(follower))
            .collect();
        Self {
            loads: follows.iter().map(|_| ZoneLoad::default()).collect(),
            follows,
            now: Instant::now(),
        }
    }

    fn own(daemon: usize) -> LoadReport {
        report((daemon + 1) as f64)
    }

    fn exchange(&mut self, from: usize, to: usize, relation: Reporter) {
        let (reverse, now) = match relation {
            Reporter::Source => (Reporter::Follower, self.now),
            _ => (Reporter::Peer, self.now),
        };
        let name = |daemon: usize| format!("vm-{daemon:02}");
        let (from_vm, to_vm) = (name(from), name(to));
        let sent = self.loads[from].report_for(&to_vm, relation, Self::own(from), now);
        if sent.age < REPORT_TTL {
            self.loads[to].record((*from_vm).into(), sent.report, reverse, now - sent.age);
        }
        let reply = self.loads[to].report_for(&from_vm, reverse, Self::own(to), now);
        if reply.age < REPORT_TTL {
            self.loads[from].record((*to_vm).into(), reply.report, relation, now - reply.age);
        }
    }

    /// Lets all daemons exchange once, at times spread over the interval; `is_early` puts those that others wait for
    /// last, so that each report waits for the longest time.
    fn run_round(&mut self, is_early: bool) {
        let daemons = self.follows.len();
        let order: Vec<_> = match is_early {
            true => (0..daemons).collect(),
            false => (0..daemons).rev().collect(),
        };
        for daemon in order {
            self.now += PERIOD / daemons as u32;
            match self.follows[daemon] {
                Some(source) => self.exchange(daemon, source, Reporter::Source),
                None => self.exchange(daemon, 1 - daemon, Reporter::Peer),
            }
        }
    }

    /// What each daemon knows of the others, by how often that occurs.
    fn known(&self) -> BTreeMap<u32, usize> {
        let mut known = BTreeMap::new();
        for load in &self.loads {
            *known.entry(load.total(self.now).daemons).or_default() += 1;
        }
        known
    }
}

// Guards against a daemon that is counted twice, or left out, on the way through readers and relays, and against sums
// that expire on that way although nothing fails.
#[test]
fn each_daemon_counts_each_other_one_once() {
    for (relays, followers) in [(0, 0), (0, 2), (0, 24), (4, 43), (25, 316)] {
        for is_early in [true, false] {
            let mut zone = Zone::new(relays, followers);
            let daemons = zone.follows.len();
            for round in 0..40 {
                zone.run_round(is_early);
                if round < 5 {
                    continue;
                }
                let others = daemons as u32 - 1;
                assert_eq!(zone.known(), [(others, daemons)].into(), "round {round}");
                let all = (daemons * (daemons + 1) / 2) as f64;
                for (daemon, load) in zone.loads.iter().enumerate() {
                    let sum = load.total(zone.now);
                    assert_eq!(of(&sum).1, all - (daemon + 1) as f64);
                }
            }
        }
    }
}

// Guards against loads of a lost subtree that are passed around for ever.
#[test]
fn a_lost_daemon_leaves_the_sums() {
    let mut zone = Zone::new(4, 43);
    for _ in 0..8 {
        zone.run_round(true);
    }
    let lost = zone.loads.len() - 1;
    zone.follows.pop();
    zone.loads.pop();
    for _ in 0..16 {
        zone.run_round(true);
    }
    let others = lost as u32 - 1;
    assert_eq!(zone.known(), [(others, lost)].into());
}

// Guards against a daemon that stays counted at both readers after it has changed from one to the other.
#[test]
fn a_daemon_that_changes_its_reader_is_soon_counted_once() {
    let mut zone = Zone::new(0, 24);
    for _ in 0..8 {
        zone.run_round(true);
    }
    zone.follows[25] = zone.follows[25].map(|reader| 1 - reader);
    for _ in 0..16 {
        zone.run_round(true);
    }
    assert_eq!(zone.known(), [(25, 26)].into());
}
