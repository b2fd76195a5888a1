//! Goals under overload, in the simulation of the placement benchmark: the balancers of all daemons, with load reports that are
//! 250 ms old on average and partly lost.

#[path = "../benches/placement/agenda.rs"]
mod agenda;
#[path = "../benches/placement/overload_loads.rs"]
mod overload_loads;
#[path = "../benches/placement/overload_sim.rs"]
mod overload_sim;

use foxtailhinge_policy::packets::LoadSettings;
use overload_loads::{
    FLASH_CROWD,
    HOT_ZONE,
    LARGE,
    LEAVING,
    OFF,
    SLOW,
    SMALL,
    TWICE_THE_SLOTS,
    UNDER_CAPACITY, //
};
use overload_sim::{
    run,
    Decider,
    Load,
    Results,
    Site,
    Tally,
    MEASURED, //
};
use rstest::rstest;

/// Seed of all runs.
const SEED: u64 = 1;

fn balancers(site: Site, load: Load) -> Tally {
    run(
        site,
        load,
        Decider::Balancers(LoadSettings::default()),
        SEED,
    )
}

fn share(part: u64, whole: u64) -> f64 {
    part as f64 / whole as f64
}

/// Describes the results in the message of a failed assertion.
fn describe(tally: &Tally) -> String {
    let priority = |results: &Results| {
        let share = |part| share(part, results.asked()) * 100.0;
        format!(
            "in time {:.1} %, late {:.1} %, refused {:.1} %, rejected {:.1} %",
            share(results.in_time),
            share(results.late),
            share(results.refused),
            share(results.rejected)
        )
    };
    let [urgent, other] = &tally.results;
    format!(
        "urgent: {}; other: {}; openings shed {:.1} %, to other zones {:.1} %",
        priority(urgent),
        priority(other),
        share(tally.shed, tally.openings) * 100.0,
        share(tally.remote, tally.forwarded) * 100.0
    )
}

/// Guards against decisions that act although all callers can be served.
#[rstest]
#[case::small(SMALL)]
#[case::large(LARGE)]
fn under_capacity_all_verdicts_are_as_without_the_decisions(#[case] site: Site) {
    let on = balancers(site, UNDER_CAPACITY);
    let off = run(site, UNDER_CAPACITY, Decider::Balancers(OFF), SEED);
    assert_eq!(on.verdicts, off.verdicts, "{}", describe(&on));
}

/// Least shares in a load.
#[derive(Clone, Copy)]
struct Goals {
    /// Urgent requests that are served in time.
    urgent: f64,
    /// All requests that are served in time.
    all: f64,
    /// Slots whose work is in time.
    slots: f64,
    /// Most openings whose requests upstreams refuse.
    shed: f64,
}

/// No more than that urgent callers are served no worse than others, and that no open flow is harmed.
const LEAST: Goals = Goals {
    urgent: 0.0,
    all: 0.0,
    slots: 0.0,
    shed: 1.0,
};
const TWICE_THE_SLOTS_GOALS: Goals = Goals {
    urgent: 0.97,
    all: 0.0,
    slots: 0.8,
    shed: 0.05,
};
const HOT_ZONE_GOALS: Goals = Goals {
    all: 0.995,
    shed: 0.05,
    ..LEAST
};
const LEAVING_GOALS: Goals = Goals {
    urgent: 0.97,
    shed: 0.05,
    ..LEAST
};

/// Guards against urgent callers that are not served although they fit the slots, or worse than others; against
/// congestion collapse and rejections that leave slots free, here or in other zones; against upstreams that have to shed
/// what daemons should have rejected; and against living upstreams that are declared dead because they are busy.
#[rstest]
#[case::twice_the_slots(TWICE_THE_SLOTS, TWICE_THE_SLOTS_GOALS)]
#[case::one_hot_zone(HOT_ZONE, HOT_ZONE_GOALS)]
#[case::upstreams_leave(LEAVING, LEAVING_GOALS)]
#[case::flash_crowd(FLASH_CROWD, LEAST)]
#[case::slow_upstreams(SLOW, LEAVING_GOALS)]
fn goals_are_met_under_overload(
    #[case] load: Load,
    #[case] goals: Goals,
    #[values(SMALL, LARGE)] site: Site,
) {
    let tally = balancers(site, load);
    let [urgent, other] = tally.results;
    let all = share(
        urgent.in_time + other.in_time,
        urgent.asked() + other.asked(),
    );
    let [urgent, other] = [urgent, other].map(|r| share(r.in_time, r.asked()));
    let slot_s = site.upstreams as f64 * f64::from(site.slots) * MEASURED.as_secs_f64();
    let slots = tally.useful_work.as_secs_f64() / slot_s;
    let shed = share(tally.shed, tally.openings);
    let checks = [
        ("urgent requests in time", urgent >= goals.urgent),
        ("requests in time", all >= goals.all),
        ("slots used in time", slots >= goals.slots),
        ("openings shed", shed <= goals.shed),
        (
            "urgent callers are served as well as others",
            urgent >= other,
        ),
        ("no living upstream is dead", tally.dead == 0),
        ("no open flow is reset", tally.resets == 0),
    ];
    let missed = checks.iter().filter(|(_, is_met)| !is_met);
    let missed: Vec<_> = missed.map(|(name, _)| name).collect();
    assert!(
        missed.is_empty(),
        "missed: {missed:?}; slots used in time {:.1} %; {}",
        slots * 100.0,
        describe(&tally)
    );
}

/// Guards against load reports that do harm: they are late, and a daemon alone knows its own part of the load at once.
#[rstest]
#[case::small(SMALL)]
#[case::large(LARGE)]
fn load_reports_serve_no_fewer_requests_than_none(#[case] site: Site) {
    let load = TWICE_THE_SLOTS;
    let alone = run(site, load, Decider::Alone(LoadSettings::default()), SEED);
    let together = balancers(site, load);
    let urgent = |tally: &Tally| share(tally.results[0].in_time, tally.results[0].asked());
    assert!(
        urgent(&together) >= urgent(&alone) - 0.02,
        "with reports: {}\nwithout: {}",
        describe(&together),
        describe(&alone)
    );
}
