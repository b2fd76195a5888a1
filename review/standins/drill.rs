//! The store comes back from a copy that lacks an evacuation, and the only daemon of that zone is stopped and started.

use crate::client::Habit;
use crate::fleet::{Fleet, Plan};
use crate::util::{pause, Record};
use crate::{report, Outcome};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const ZONE_OUT: &str = "whk-d";
const LONE_DAEMON: usize = 7;

/// `evacuation_ms` and `contact_ms` of the small installations.
const EVACUATION: Duration = Duration::from_millis(5_000);
const CONTACT: Duration = Duration::from_millis(4_000);

/// How old the copy is, how long the store is away, and when the operator has written the evacuation again.
const COPY_AGE_MS: u64 = 3_000;
const AWAY_MS: u64 = 500;
const REWRITE_MS: u64 = 20_000;

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let plan = Plan {
        zones: vec![("whk-a", 2), ("whk-b", 3), ("whk-c", 2), ("whk-d", 1)],
        services: vec![("syncdesk-api", vec![4, 4, 3, 3])],
        work: Duration::from_millis(55),
        ids: Vec::new(),
    };
    let fleet = Fleet::start(&plan, Arc::clone(record)).map_err(|err| err.to_string())?;
    let route = fleet.add_route("syncdesk-api", false);
    if !fleet.start_daemons() {
        fleet.end();
        return Err("the daemons did not become ready".to_owned());
    }
    let user = Habit {
        route,
        is_idempotent: false,
        keeps_flow: false,
        pause: Duration::from_millis(400),
        budget: Duration::from_millis(2_000),
        lasts: Duration::from_secs(45),
        fill: 0,
        is_counted: true,
    };
    fleet.users(48, &user);
    pause(5_000);
    let copy = fleet.store.copy();
    pause(500);
    let evacuation = format!("op/evacuate/{ZONE_OUT}");
    fleet.store.write(&evacuation, Some("{}".to_owned()));
    let acked = Instant::now();
    record.say(&format!("evacuation of {ZONE_OUT} acked"));
    pause(COPY_AGE_MS - 500);
    if has_trouble {
        record.say("the store is away");
        fleet.store.set_away(true);
        pause(AWAY_MS);
        fleet.store.restore(copy);
        fleet.store.set_away(false);
        record.say("the store is back from a copy that is 3 s old, with the next era");
    } else {
        pause(AWAY_MS);
    }
    let back = Instant::now();
    pause(500);
    fleet.daemons[LONE_DAEMON].terminate(record);
    pause(REWRITE_MS - 500);
    let rewritten = Instant::now();
    fleet.store.write(&evacuation, Some("{}".to_owned()));
    record.say("the operator has written the evacuation again");
    pause(8_000);

    let mut late = vec![0u32; fleet.daemons.len()];
    for opening in fleet.judge.openings() {
        let sender = fleet.data_addrs.iter().position(|addr| SocketAddr::V4(*addr) == opening.from);
        let Some(sender) = sender.filter(|_| opening.zone == ZONE_OUT) else {
            continue;
        };
        let touched = *fleet.daemons[sender].touched.lock().unwrap();
        let in_touch = opening.at > touched + CONTACT && opening.at > back + CONTACT;
        if opening.at > acked + EVACUATION && in_touch {
            late[sender] += 1;
        }
    }
    for (daemon, late) in fleet.daemons.iter().zip(&late).filter(|(_, late)| **late > 0) {
        record.say(&format!("EVAC: {late} openings reach servers of {ZONE_OUT} from {}, which is in touch", daemon.name));
    }
    record.say(&format!("the store published no evacuation for {} ms", (rewritten - back).as_millis()));
    let counts = report(&fleet);
    fleet.end();
    match counts.answered > 1_000 {
        true => Ok(late.iter().all(|late| *late == 0)),
        false => Err("too few requests were answered".to_owned()),
    }
}
