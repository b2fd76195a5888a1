//! A few clients send packets that are longer than a packet may be.

use crate::client::Habit;
use crate::fleet::{Fleet, Plan};
use crate::util::{pause, Record};
use crate::{report, Outcome};
use std::sync::Arc;
use std::time::Duration;

/// Most bytes of data in a packet by PROTOCOL.md, and what the malformed packets carry.
const DATA_MAX: usize = 1_200;
const DATA_MALFORMED: usize = 1_300;

/// Users whose packets are as they should be, and the others.
const USERS: usize = 60;
const OTHERS: usize = 24;

/// Largest share of requests that may be refused or fail, by the gate.
const FAILED_MAX: f64 = 0.6;

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let plan = Plan {
        zones: vec![("seq-bne", 3), ("seq-gc", 2), ("seq-ipw", 2)],
        services: vec![("countkeeper", vec![5, 5, 4])],
        work: Duration::from_millis(55),
        ids: Vec::new(),
    };
    let fleet = Fleet::start(&plan, Arc::clone(record)).map_err(|err| err.to_string())?;
    let route = fleet.add_route("countkeeper", true);
    if !fleet.start_daemons() {
        fleet.end();
        return Err("the daemons did not become ready".to_owned());
    }
    let feed = Habit {
        route,
        is_idempotent: true,
        keeps_flow: true,
        pause: Duration::from_millis(400),
        budget: Duration::from_millis(2_500),
        lasts: Duration::from_secs(95),
        fill: 0,
        is_counted: true,
    };
    fleet.users(USERS, &feed);
    pause(5_000);
    let fill = match has_trouble {
        true => DATA_MALFORMED,
        false => DATA_MAX,
    };
    record.say(&format!("{OTHERS} users join whose packets carry {fill} bytes"));
    fleet.users(OTHERS, &Habit { fill, pause: Duration::from_millis(200), is_counted: false, ..feed });
    for second in 1..=90 {
        pause(1_000);
        if second % 10 == 0 {
            let c = fleet.judge.counts();
            let in_rotation = fleet.router.in_rotation();
            record.say(&format!("asked {}, answered {}, failed {}; {in_rotation} daemons in rotation", c.asked, c.answered, c.failed));
        }
    }
    let counts = report(&fleet);
    fleet.end();
    let failed = f64::from(counts.asked - counts.answered) / f64::from(counts.asked.max(1));
    record.say(&format!("{:.1} % of the requests were not served", failed * 100.0));
    Ok(failed <= FAILED_MAX)
}
