//! Scenarios of the review: `standins CASE FOLDER` plays one, writes FOLDER/record.txt and exits with 1 if the rule
//! was broken, 0 if it held and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod client;
mod fleet;
mod judge;
mod packet;
mod router;
mod server;
mod store;
mod util;

mod drill;
mod long_packets;
mod new_routes;
mod same_slot;
mod silent;

use fleet::Fleet;
use std::sync::Arc;
use util::Record;

/// Whether the rule held, or why the case could not run.
pub type Outcome = Result<bool, String>;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: standins CASE FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&format!("{folder}/record.txt")) {
        Ok(record) => Arc::new(record),
        Err(err) => {
            eprintln!("record.txt: {err}");
            std::process::exit(2);
        }
    };
    let outcome = match case.as_str() {
        "drill" => drill::play(&record, has_trouble),
        "long-packets" => long_packets::play(&record, has_trouble),
        "same-slot" => same_slot::play(&record, has_trouble),
        "silent" => silent::play(&record, has_trouble),
        "new-routes" => new_routes::play(&record, has_trouble),
        _ => Err(format!("no case {case}")),
    };
    let code = match outcome {
        Ok(true) => {
            record.say("The rule held.");
            0
        }
        Ok(false) => {
            record.say("The rule was broken.");
            1
        }
        Err(why) => {
            record.say(&format!("The case could not run: {why}"));
            2
        }
    };
    std::process::exit(code);
}

/// Writes the counts of the run.
pub fn report(fleet: &Fleet) -> judge::Counts {
    let c = fleet.judge.counts();
    let own_ends: Vec<String> = fleet
        .daemons
        .iter()
        .filter(|daemon| *daemon.own_ends.lock().unwrap() > 0)
        .map(|daemon| format!("{} {}", daemon.name, daemon.own_ends.lock().unwrap()))
        .collect();
    fleet.record.say(&format!(
        "requests asked {}, answered {}, failed {}; flows opened {}; open flows reset (FLOW a) {}; flows misled (FLOW b) {}; \
         run again {}; changed on the way {} and {}; daemons ended by themselves [{}]",
        c.asked,
        c.answered,
        c.failed,
        c.opened,
        c.flow_resets,
        c.flow_misled,
        c.run_again,
        c.unasked,
        c.mixed,
        own_ends.join(", ")
    ));
    c
}
