//! Configurations come in quick succession and add routes while daemons are stopped and started in turn.

use crate::client::Habit;
use crate::fleet::{Fleet, Plan};
use crate::util::{pause, Record};
use crate::{report, Outcome};
use std::sync::Arc;
use std::time::Duration;

/// `config_storm`: a change each 0.33 s for 4 s; two of them follow each other in a round.
const STORM_GAP_MS: u64 = 330;
const STORM_CHANGES: u64 = 12;

/// `roll_term`: all daemons, one at a time, 1.3 s between them.
const ROLL_GAP_MS: u64 = 1_300;

const ROUNDS: usize = 4;

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let plan = Plan {
        zones: vec![("seq-bne", 3), ("seq-gc", 2), ("seq-ipw", 2)],
        services: vec![("countkeeper", vec![5, 5, 4])],
        work: Duration::from_millis(55),
        ids: Vec::new(),
    };
    let fleet = Fleet::start(&plan, Arc::clone(record)).map_err(|err| err.to_string())?;
    let base = fleet.add_route("countkeeper", true);
    if !fleet.start_daemons() {
        fleet.end();
        return Err("the daemons did not become ready".to_owned());
    }
    let feed = |route, lasts| Habit {
        route,
        is_idempotent: true,
        keeps_flow: true,
        pause: Duration::from_millis(400),
        budget: Duration::from_millis(2_500),
        lasts,
        fill: 0,
        is_counted: true,
    };
    fleet.users(36, &feed(base, Duration::from_secs(70)));
    pause(5_000);
    for round in 1..=ROUNDS {
        record.say(&format!("round {round}: configurations come in quick succession"));
        if has_trouble {
            let daemons = fleet.daemons.clone();
            let record = Arc::clone(record);
            std::thread::spawn(move || {
                for daemon in &daemons {
                    daemon.terminate(&record);
                    pause(ROLL_GAP_MS);
                }
            });
        }
        for _ in 0..2 * STORM_CHANGES {
            let route = fleet.add_route("countkeeper", true);
            fleet.users(12, &feed(route, Duration::from_secs(5)));
            pause(STORM_GAP_MS);
        }
        pause(7_000);
    }
    pause(3_000);
    let counts = report(&fleet);
    fleet.end();
    match counts.answered > 1_000 {
        true => Ok(counts.flow_resets == 0 && counts.flow_misled == 0),
        false => Err("too few requests were answered".to_owned()),
    }
}
