//! Services under load: several daemons, callers that retry, and upstreams with queues.

use crate::{
    fleet::{
        Caller,
        Condition,
        Fleet,
        Outcome,
        LOWER_PORT, //
    },
    scene::{
        flow,
        name,
        HOME,
        PORT,
        SERVICE, //
    },
};
use foxtailhinge_policy::packets::{
    Counts,
    LoadReport,
    Pool,
    UpstreamState, //
};
use rstest::rstest;
use std::net::Ipv4Addr;

const DAEMONS: usize = 3;
const UPSTREAMS: usize = 6;
/// Load of a calm service, relative to the slots.
const CALM: f64 = 0.5;
/// Load of twice the slots; urgent callers take two fifths of it.
const TWICE: f64 = 2.0;

/// `n` callers from number `first` on that together want a multiple of what the upstreams can serve.
fn callers(first: u16, n: u16, port: u16, load: f64) -> Vec<Caller> {
    let per_s = load * Fleet::capacity(UPSTREAMS) / f64::from(n);
    let caller = |number| Caller {
        number,
        port,
        per_s,
    };
    (first..first + n).map(caller).collect()
}

/// Urgent callers with 0.4 of the slots, others with 0.6 more.
fn two_priorities() -> Vec<Caller> {
    let mut all = callers(1, 40, PORT, 0.4);
    all.extend(callers(1_001, 160, LOWER_PORT, 0.6));
    all
}

fn fleet(seed: u64) -> Fleet {
    Fleet::new(DAEMONS, UPSTREAMS, two_priorities(), seed)
}

/// A fleet after 6 s at twice the slots, and the requests that began in the last four of them.
fn at_twice_the_slots(mut fleet: Fleet) -> Vec<Outcome> {
    fleet.run(CALM, 2.0).run(TWICE, 8.0).run(CALM, 8.5);
    fleet.wanted(4.0, 8.0).copied().collect()
}

fn of_port(outcomes: &[Outcome], port: u16) -> Vec<Outcome> {
    let wanted = outcomes.iter().filter(|outcome| outcome.port == port);
    wanted.copied().collect()
}

fn share(outcomes: &[Outcome], is_wanted: impl Fn(&Outcome) -> bool) -> f64 {
    let n = outcomes.iter().filter(|outcome| is_wanted(outcome)).count();
    n as f64 / outcomes.len().max(1) as f64
}

/// Requests that were answered in time in a number of seconds, relative to what the upstreams can serve.
fn served(outcomes: &[Outcome], seconds: f64) -> f64 {
    let n = outcomes.iter().filter(|outcome| outcome.is_in_time());
    n.count() as f64 / (Fleet::capacity(UPSTREAMS) * seconds)
}

/// The goals of the design at twice the slots: urgent callers that fit the slots are served, and few requests are refused by
/// upstreams.
#[track_caller]
fn assert_urgent_served(outcomes: &[Outcome]) {
    let urgent = of_port(outcomes, PORT);
    let in_time = share(&urgent, Outcome::is_in_time);
    assert!(in_time >= 0.97, "urgent in time: {in_time}");
    let rejected = share(&urgent, |outcome| outcome.rejected > 0);
    assert!(rejected <= 0.02, "urgent rejected: {rejected}");
    let refused = share(outcomes, |outcome| outcome.refused > 0);
    assert!(refused <= 0.05, "refused by upstreams: {refused}");
    let all = served(outcomes, 4.0);
    assert!(all >= 0.8, "slots used in time: {all}");
}

/// Twice the slots: without an order, urgent callers are rejected like all others; with too strict a share, slots stay
/// idle.
#[rstest]
fn twice_the_slots_with_two_priorities(#[values(1, 2, 3)] seed: u64) {
    let outcomes = at_twice_the_slots(fleet(seed));
    assert_urgent_served(&outcomes);
    let urgent = of_port(&outcomes, PORT);
    assert!(urgent.iter().all(|outcome| outcome.rejected == 0));
    let left = 1.0 - served(&urgent, 4.0);
    let others = served(&of_port(&outcomes, LOWER_PORT), 4.0);
    assert!(
        (0.5..=1.1).contains(&(others / left)),
        "others: {others} of {left}"
    );
}

/// Twice the slots: where each daemon decides for itself, three tries are three chances, and most requests of a rejected
/// caller are served after all, late and in place of others.
#[rstest]
fn three_tries_at_three_daemons_are_no_three_chances(#[values(1, 2, 3)] seed: u64) {
    let outcomes = at_twice_the_slots(fleet(seed));
    let others = of_port(&outcomes, LOWER_PORT);
    let tried_again: Vec<_> = others.into_iter().filter(|o| o.rejected > 0).collect();
    assert!(tried_again.len() > 1_000);
    let admitted = share(&tried_again, |outcome| outcome.rejected < 3);
    assert!(admitted < 0.05, "admitted after a rejection: {admitted}");
}

/// Twice the slots: daemons that place a caller differently would serve a part of its requests only.
#[test]
fn daemons_place_a_caller_alike() {
    let mut fleet = fleet(1);
    fleet.run(CALM, 2.0).run(TWICE, 6.0);
    let Some(cfg) = fleet.directory.configuration() else {
        panic!("there is a configuration");
    };
    let lower = flow(1_001, LOWER_PORT);
    let route = &cfg.routes[&lower.route];
    let mut agreed = 0;
    for number in 1_001..1_161 {
        let caller: Ipv4Addr = *flow(number, LOWER_PORT).caller.ip();
        let reasons = fleet.daemons.iter();
        let reasons: Vec<_> = reasons
            .map(|daemon| daemon.explain_admission(caller, route, fleet.instant()))
            .collect();
        let places = reasons.iter().map(|reason| reason.place);
        let spread = places.clone().fold(0.0, f64::max) - places.fold(1.0, f64::min);
        assert!(spread < 0.1, "{reasons:?}");
        agreed += usize::from(
            reasons
                .iter()
                .all(|r| r.is_admitted == reasons[0].is_admitted),
        );
    }
    assert!(agreed >= 150, "daemons agree about {agreed} of 160 callers");
}

/// A flash crowd of three times the slots, with retries: queues that stay full make all answers late, also after it.
#[rstest]
fn a_flash_crowd_with_retries(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = fleet(seed);
    fleet.run(CALM, 2.0).run(3.0, 5.0).run(CALM, 9.5);
    let crowd: Vec<_> = fleet.wanted(3.0, 5.0).copied().collect();
    let in_time = served(&crowd, 2.0);
    assert!(in_time >= 0.6, "slots used in time: {in_time}");
    let refused = share(&crowd, |outcome| outcome.refused > 0);
    assert!(refused <= 0.1, "refused by upstreams: {refused}");
    assert_calm(&fleet, 7.5, 9.0);
}

/// All requests of a period are served in time at once.
#[track_caller]
fn assert_calm(fleet: &Fleet, from_s: f64, to_s: f64) {
    for outcome in fleet.wanted(from_s, to_s) {
        let is_served = outcome.is_in_time() && outcome.rejected == 0 && outcome.refused == 0;
        assert!(is_served, "{outcome:?}");
    }
}

/// The load ends: a share that stays low rejects callers although slots are free, and one that jumps lets the rejected ones
/// in all at once.
#[rstest]
fn normal_again_within_two_seconds(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = fleet(seed);
    fleet.run(CALM, 2.0).run(TWICE, 8.0).run(CALM, 12.5);
    assert_calm(&fleet, 10.0, 12.0);
    let refused = fleet.wanted(8.5, 12.0).filter(|o| o.refused > 0).count();
    assert_eq!(refused, 0, "no surge");
    for daemon in &fleet.daemons {
        assert_eq!(daemon.service_loads()[0].admitted, 1.0);
    }
}

/// Slow answers although slots are free: rejecting callers would not make the others faster.
#[test]
fn slow_answers_with_free_slots_reject_nobody() {
    let mut fleet = fleet(1);
    fleet.run(0.08, 3.0);
    for upstream in 0..UPSTREAMS {
        fleet.set(upstream, Condition::Works(8.0));
    }
    fleet.run(0.08, 10.0);
    let load = &fleet.daemons[0].service_loads()[0];
    assert!(load.service_time > Some(load.goal) && load.utilization > 0.4);
    assert!(fleet.resets.is_empty(), "{:?}", fleet.resets);
}

/// Two of six upstreams refuse everything: their refusals are no sign of load while slots are free.
#[test]
fn refusals_of_a_few_failing_upstreams_reject_nobody() {
    let mut fleet = fleet(1);
    fleet.run(0.4, 2.0);
    for upstream in 0..2 {
        fleet.set(upstream, Condition::Refuses);
    }
    fleet.run(0.4, 8.0);
    let refused = fleet.wanted(2.0, 7.5).filter(|o| o.refused > 0).count();
    assert!(refused > 100, "the upstreams refuse: {refused}");
    assert!(fleet.resets.is_empty(), "{:?}", fleet.resets);
}

/// A caller with a fifth of all openings of an overloaded service takes the slots of many others.
#[rstest]
fn a_heavy_caller_pays_first(#[values(1, 2, 3)] seed: u64) {
    let mut all = callers(1_001, 160, LOWER_PORT, 0.8);
    all.extend(callers(1, 1, LOWER_PORT, 0.2));
    let mut fleet = Fleet::new(DAEMONS, UPSTREAMS, all, seed);
    fleet.run(CALM, 2.0).run(1.3, 12.0).run(CALM, 12.5);
    let outcomes: Vec<_> = fleet.wanted(4.0, 12.0).copied().collect();
    let in_time = |is_heavy| {
        let wanted = outcomes.iter().filter(|o| (o.caller == 1) == is_heavy);
        let wanted: Vec<_> = wanted.copied().collect();
        share(&wanted, Outcome::is_in_time)
    };
    let (heavy, others) = (in_time(true), in_time(false));
    assert!(heavy < 0.3 && others > 0.7, "{heavy} and {others}");
}

/// Load of one priority: whenever the queues were drained, all callers were admitted at once, which filled them again, and
/// the share sank until half of the slots were idle.
#[rstest]
fn one_priority_uses_the_slots_in_a_long_overload(#[values(1, 2, 3)] seed: u64) {
    let all = callers(1_001, 160, LOWER_PORT, 1.0);
    let mut fleet = Fleet::new(DAEMONS, UPSTREAMS, all, seed);
    fleet.run(CALM, 2.0).run(1.6, 16.0).run(CALM, 16.5);
    let outcomes: Vec<_> = fleet.wanted(4.0, 16.0).copied().collect();
    let in_time = served(&outcomes, 12.0);
    assert!(in_time >= 0.8, "slots used in time: {in_time}");
}

/// A long overload: a caller that is rejected in each period is shut out for ever.
#[test]
fn callers_take_turns_in_a_long_overload() {
    let mut fleet = fleet(1);
    fleet.run(CALM, 2.0).run(TWICE, 60.0).run(CALM, 60.5);
    let outcomes: Vec<_> = fleet.wanted(4.0, 60.0).copied().collect();
    let shares: Vec<_> = (1_001..1_161)
        .map(|number| {
            let own = outcomes.iter().filter(|outcome| outcome.caller == number);
            let own: Vec<_> = own.copied().collect();
            share(&own, Outcome::is_in_time)
        })
        .collect();
    let shut_out = shares.iter().filter(|share| **share == 0.0).count();
    assert!(shut_out <= 48, "{shut_out} of 160 callers in seven periods");
    let most = shares.iter().copied().fold(0.0, f64::max);
    assert!(most < 0.7, "nobody is always served: {most}");
}

/// The reports of one daemon, or of all, stop: the others must neither take its callers for idle nor reject more urgent
/// ones.
#[rstest]
#[case::of_one(&[1])]
#[case::of_all(&[0, 1, 2])]
fn reports_that_stop(#[case] silent: &[usize]) {
    let mut fleet = fleet(1);
    fleet.run(CALM, 2.0).run(TWICE, 3.0);
    for daemon in silent {
        fleet.reports.insert(*daemon, Err(()));
    }
    assert_urgent_served(&at_twice_the_slots(fleet));
}

/// Daemons that get four fifths of the flows, or a twentieth, must not decide differently.
#[test]
fn uneven_daemons_serve_urgent_callers() {
    let mut fleet = fleet(1);
    fleet.weights = vec![0.8, 0.15, 0.05];
    assert_urgent_served(&at_twice_the_slots(fleet));
}

/// Report with sums of the service in the home zone.
fn report(counts: Counts, admitted: f64, baseline_s: f64) -> LoadReport {
    let pool = Pool {
        service: name(SERVICE),
        zone: name(HOME),
    };
    LoadReport {
        daemons: 1,
        pools: [(pool, counts)].into_iter().collect(),
        admitted: [(name(SERVICE), admitted)].into_iter().collect(),
        baseline_s: [(name(SERVICE), baseline_s)].into_iter().collect(),
    }
}

/// Sums of a daemon whose callers wait a second for each answer.
fn slow() -> Counts {
    Counts {
        opened: 1_000.0,
        answers: 1_000.0,
        service_s: 1_000.0,
        ..Counts::default()
    }
}

/// Values that no daemon can observe must change nothing, and must not stop a daemon.
#[rstest]
#[case::not_a_number(report(Counts { answers: f64::NAN, ..slow() }, 0.0, 0.02))]
#[case::negative(report(Counts { service_s: -1.0, ..slow() }, 0.0, 0.02))]
#[case::infinite(report(Counts { service_s: f64::INFINITY, ..slow() }, 0.0, 0.02))]
#[case::share(report(slow(), f64::NAN, 0.02))]
#[case::baseline(report(Counts::default(), 1.0, f64::MAX))]
#[case::share_without_load(report(Counts::default(), 0.01, 1e-300))]
fn implausible_reports_reject_nobody(#[case] wrong: LoadReport) {
    let mut fleet = fleet(1);
    fleet.reports.insert(1, Ok(wrong));
    fleet.run(0.6, 6.0);
    assert!(fleet.resets.is_empty(), "{:?}", fleet.resets);
}

/// A daemon reports service times of a second although slots are free: the others rejected 29 % of the urgent requests and
/// 65 % of the others, against their own observations.
#[rstest]
#[case::share(report(slow(), 0.0, 0.02))]
#[case::refusals(report(Counts { refusals: 900.0, ..slow() }, 1.0, 0.02))]
fn wrong_reports_do_not_outweigh_own_observations(#[case] wrong: LoadReport) {
    let mut fleet = fleet(1);
    fleet.run(0.6, 1.0);
    fleet.reports.insert(1, Ok(wrong));
    fleet.run(0.6, 6.5);
    let outcomes: Vec<_> = fleet.wanted(1.0, 6.0).copied().collect();
    let in_time = share(&outcomes, Outcome::is_in_time);
    assert!(in_time >= 0.97, "in time: {in_time}");
}

/// All upstreams of the zone drain during an overload: their last answers are slow, but the callers go to another zone, and
/// were rejected meanwhile.
#[test]
fn a_zone_that_loses_its_upstreams_rejects_nobody() {
    let mut fleet = fleet(1);
    fleet.run(CALM, 2.0).run(TWICE, 4.0);
    assert!(fleet.daemons[0].service_loads()[0].admitted < 1.0);
    fleet.add_away(3 * UPSTREAMS);
    for upstream in 0..UPSTREAMS {
        fleet.list(upstream, UpstreamState::Draining);
    }
    fleet.run(TWICE, 6.0).run(CALM, 6.5);
    let rejected = fleet.wanted(4.2, 6.0).filter(|o| o.rejected > 0).count();
    assert_eq!(rejected, 0);
}

/// Under capacity, the decisions under load must change no verdict: their faults would be everyday faults.
#[rstest]
fn under_capacity_each_verdict_is_the_same_without_load_settings(
    #[values(1, 2, 3, 4)] seed: u64,
    #[values(0.4, 0.6, 0.75)] load: f64,
) {
    let mut fleet = fleet(seed);
    fleet.add_away(UPSTREAMS);
    fleet.compare(seed);
    fleet.run(load, 4.0);
    assert!(fleet.compared > 7_000, "{} packets", fleet.compared);
    assert!(fleet.resets.is_empty(), "{:?}", fleet.resets);
}
