//! Decisions under overload in packet mode: the balancers with partial and late knowledge of each other, beside a decider
//! that knows everything.

use crate::{
    overload_loads::{
        FLASH_CROWD,
        HOT_ZONE,
        LARGE,
        LEAVING,
        OFF,
        SLOW,
        SMALL,
        TWICE_THE_SLOTS,
        UNDER_CAPACITY, //
    },
    overload_sim::{
        run,
        Decider,
        Load,
        Site,
        Tally,
        MEASURED, //
    },
    report::{
        percent,
        Table, //
    },
};
use foxtailhinge_policy::packets::LoadSettings;

/// Number of runs of each row, each with its own seed.
const SEEDS: u64 = 3;
/// Runs a decider with each seed and adds up the results.
fn run_seeds(site: Site, load: Load, decider: Decider) -> Tally {
    let mut sum = Tally::default();
    for seed in 1..=SEEDS {
        sum.add(&run(site, load, decider, seed));
    }
    sum
}

impl Tally {
    /// Adds the measurements of another run.
    fn add(&mut self, other: &Self) {
        for (mine, theirs) in self.results.iter_mut().zip(&other.results) {
            mine.in_time += theirs.in_time;
            mine.late += theirs.late;
            mine.refused += theirs.refused;
            mine.rejected += theirs.rejected;
        }
        self.openings += other.openings;
        self.forwarded += other.forwarded;
        self.shed += other.shed;
        self.remote += other.remote;
        self.resets += other.resets;
        self.dead += other.dead;
        self.useful_work += other.useful_work;
        self.verdicts = self.verdicts.wrapping_mul(31).wrapping_add(other.verdicts);
    }
}

/// Prints one table for each load and site.
pub(crate) fn tables() {
    println!("overload: {SEEDS} runs, {MEASURED:?} measured of each; percent of the requests of a priority, of the");
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
