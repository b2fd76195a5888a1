//! The daemons' open connections to the store go silent for good, and servers are drained.

use crate::client::Habit;
use crate::fleet::{Fleet, Plan};
use crate::server::Spec;
use crate::util::{pause, Record};
use crate::{report, Outcome};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// `drain_timeout_ms` and `contact_ms` of the small installations.
const DRAIN: Duration = Duration::from_millis(3_000);
const CONTACT: Duration = Duration::from_millis(4_000);

/// How long a drained server serves on: `drain_timeout_ms` and some seconds.
const SERVES_ON: Duration = Duration::from_millis(8_000);

/// `scale_in`: 2 of 14 servers are drained at a time.
const DRAINED: usize = 2;

const ROUNDS: u64 = 6;
const TURN_STEP_MS: u64 = 400;

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let plan = Plan {
        zones: vec![("seq-bne", 3), ("seq-gc", 2), ("seq-ipw", 2)],
        services: vec![("countkeeper", vec![5, 5, 4])],
        work: Duration::from_millis(55),
        ids: Vec::new(),
    };
    let fleet = Fleet::start(&plan, Arc::clone(record)).map_err(|err| err.to_string())?;
    let route = fleet.add_route("countkeeper", false);
    if !fleet.start_daemons() {
        fleet.end();
        return Err("the daemons did not become ready".to_owned());
    }
    let user = Habit {
        route,
        is_idempotent: false,
        keeps_flow: false,
        pause: Duration::from_millis(200),
        budget: Duration::from_millis(3_000),
        lasts: Duration::from_secs(100),
        fill: 0,
        is_counted: true,
    };
    fleet.users(110, &user);
    pause(6_000);
    let mut drained: Vec<(u64, Instant, Instant)> = Vec::new();
    let mut next = 0;
    for round in 1..=ROUNDS {
        let leaving: Vec<Spec> = (next..next + DRAINED).map(|n| fleet.servers[n].clone()).collect();
        next += DRAINED;
        record.say(&format!("round {round}: servers are emptied and taken away"));
        let mut acked = Vec::new();
        for spec in &leaving {
            fleet.drain_server(spec, SERVES_ON);
            acked.push((spec.id, Instant::now()));
            pause(100);
        }
        let silent_at = Instant::now();
        if has_trouble {
            fleet.store.silence_connections();
            record.say("all open connections to the store go silent");
        }
        drained.extend(acked.into_iter().map(|(id, at)| (id, at, silent_at)));
        pause(9_000);
        for spec in &leaving {
            // Others take their places.
            let [a, b, _, d] = spec.addr.ip().octets();
            let new = Spec {
                id: spec.id ^ 0x35_1b57_2d91,
                addr: SocketAddrV4::new(Ipv4Addr::new(a, b, 6, d), spec.addr.port()),
                ..spec.clone()
            };
            if let Err(err) = fleet.start_server(&new) {
                fleet.end();
                return Err(err.to_string());
            }
        }
        // The daemons read the store in turns of 2.5 s; the rounds begin at different times of a turn.
        pause(4_000 + TURN_STEP_MS * round);
    }

    let (mut late, mut later) = (0, 0);
    for opening in fleet.judge.openings() {
        let Some((_, acked, silent_at)) = drained.iter().find(|(id, ..)| *id == opening.server) else {
            continue;
        };
        let in_touch = opening.at > *silent_at + CONTACT;
        if in_touch && opening.at > *acked + DRAIN {
            late += 1;
            later += u32::from(opening.at > *silent_at + CONTACT + Duration::from_millis(500));
            let from = fleet.data_addrs.iter().position(|addr| SocketAddr::V4(*addr) == opening.from);
            record.line(&format!(
                "DRAIN: server {:x} takes an opening from {} {} ms after the ack, {} ms after the connections went silent",
                opening.server,
                from.map_or("?", |n| &fleet.daemons[n].name),
                (opening.at - *acked).as_millis(),
                (opening.at - *silent_at).as_millis()
            ));
        }
    }
    record.say(&format!("DRAIN: {late} openings reach drained servers late, {later} of them 4.5 s after the silence or later"));
    let counts = report(&fleet);
    fleet.end();
    match counts.answered > 1_000 {
        true => Ok(late == 0),
        false => Err("too few requests were answered".to_owned()),
    }
}
