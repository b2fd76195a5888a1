//! Decisions under overload in packet mode: the balancers with partial and late knowledge of each other, beside a decider
//! that knows everything.

use crate::{
    overload_sim::{
        run,
        Decider,
        Fault,
        Load,
        Site,
        Tally,
        MEASURED,
        ZONES, //
    },
    report::{
        percent,
        Table, //
    },
};
use foxtailhinge_policy::packets::LoadSettings;
use std::time::Duration;

/// Number of runs of each row, each with its own seed.
const SEEDS: u64 = 3;
/// Load of all zones before the peak, and after one that is shorter than the measured time.
const BEFORE: f64 = 0.6;

/// A small site: slow requests and few upstreams, so that full queues are longer than the target latency.
pub(crate) const SMALL: Site = Site {
    daemons: 8,
    upstreams: 15,
    slots: 4,
    queue: 16,
    work: Duration::from_millis(55),
};
/// A large site, where a daemon forwards a thirtieth of the flows of its zone.
pub(crate) const LARGE: Site = Site {
    daemons: 90,
    upstreams: 60,
    slots: 4,
    queue: 16,
    work: Duration::from_millis(22),
};

const STEADY: Load = Load {
    before: BEFORE,
    peak: [BEFORE; ZONES],
    peak_length: MEASURED,
    fault: Fault::None,
};
/// All callers are served.
pub(crate) const UNDER_CAPACITY: Load = STEADY;
/// Work for twice the slots in all zones.
pub(crate) const TWICE_THE_SLOTS: Load = Load {
    peak: [2.0; ZONES],
    ..STEADY
};
/// One zone with four times the load of each other; all together use 80 % of the slots.
pub(crate) const HOT_ZONE: Load = Load {
    peak: [1.6, 0.4, 0.4],
    ..STEADY
};
/// A third of the upstreams drains within two seconds; the others get 30 % more work than they have slots.
pub(crate) const LEAVING: Load = Load {
    peak: [0.87; ZONES],
    fault: Fault::Leave,
    ..STEADY
};
/// Work for six times the slots for a second; each rejected caller tries three times at once.
pub(crate) const FLASH_CROWD: Load = Load {
    peak: [6.0; ZONES],
    peak_length: Duration::from_secs(1),
    ..STEADY
};
/// A fifth of the upstreams is slow; all slots together can do 85 % of the usual work, and get 102 %.
pub(crate) const SLOW: Load = Load {
    peak: [1.02; ZONES],
    fault: Fault::Slow,
    ..STEADY
};

/// Settings with the decisions under load switched off.
pub(crate) const OFF: LoadSettings = LoadSettings {
    shed: false,
    spill: false,
    zone_price: Duration::from_millis(5),
};

/// Runs a decider with each seed and adds up the results.
pub(crate) fn run_seeds(site: Site, load: Load, decider: Decider) -> Tally {
    let mut sum = Tally::default();
    for seed in 1..=SEEDS {
        sum.add(&run(site, load, decider, seed));
    }
    sum
}

/// Prints one table for each load and site.
pub(crate) fn tables() {
    println!("overload: {SEEDS} runs of {MEASURED:?} after 2 s of lead; percent of the requests of a priority, of the");
    println!(
        "openings of all attempts (shed: refused by upstreams), and of the slots (used in time)\n"
    );
    let loads = [
        ("under capacity", UNDER_CAPACITY),
        ("twice the slots", TWICE_THE_SLOTS),
        ("one hot zone", HOT_ZONE),
        ("upstreams leave", LEAVING),
        ("flash crowd", FLASH_CROWD),
        ("slow upstreams", SLOW),
    ];
    let deciders = [
        ("decisions off", Decider::Balancers(OFF)),
        ("no load reports", Decider::Alone(LoadSettings::default())),
        (
            "reports 250 ms old, 10 % lost",
            Decider::Balancers(LoadSettings::default()),
        ),
        ("knows everything", Decider::Complete),
    ];
    for (name, load) in loads {
        for site in [SMALL, LARGE] {
            println!("overload: {name}, {} daemons\n", site.daemons);
            let mut table = Table::new(&[
                "decider",
                "urgent: in time",
                "late",
                "refused",
                "rejected",
                "other: in time",
                "late",
                "refused",
                "rejected",
                "openings shed",
                "rejected",
                "to other zones",
                "slots used in time",
                "dead",
                "resets",
            ]);
            for (name, decider) in deciders {
                table.row(row(name, site, &run_seeds(site, load, decider)));
            }
            println!("{table}");
        }
    }
}

fn row(name: &str, site: Site, tally: &Tally) -> Vec<String> {
    let mut row = vec![name.to_owned()];
    let share = |part, whole| format!("{:.1}", percent(part, whole));
    for results in &tally.results {
        let counts = [
            results.in_time,
            results.late,
            results.refused,
            results.rejected,
        ];
        row.extend(counts.map(|count| share(count, results.asked())));
    }
    let slots = site.upstreams as f64 * f64::from(site.slots);
    let slot_s = slots * MEASURED.as_secs_f64() * SEEDS as f64;
    row.extend([
        share(tally.shed, tally.openings),
        share(tally.openings - tally.forwarded, tally.openings),
        share(tally.remote, tally.forwarded),
        format!("{:.1}", 100.0 * tally.useful_work.as_secs_f64() / slot_s),
        tally.dead.to_string(),
        tally.resets.to_string(),
    ]);
    row
}
