//! A release: servers are replaced one after the other; each new one has the id of the old one but for its first digits.

use crate::client::Habit;
use crate::fleet::{Fleet, Plan};
use crate::server::Spec;
use crate::util::{pause, Record};
use crate::{report, Outcome};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

/// `release`: share 0.45 of 14 servers, one at a time, 1 s between them.
const REPLACED: usize = 6;
const GAP_MS: u64 = 1_000;

/// `drain_timeout_ms` of the small installations, and a little longer.
const SERVES_ON: Duration = Duration::from_millis(4_000);

/// An id of 40 bits: the generation of the server in the first two digits, its slot in the others.
fn id(generation: u64, slot: usize) -> u64 {
    generation << 32 | (0x51_0000 + slot as u64)
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let plan = Plan {
        zones: vec![("seq-bne", 3), ("seq-gc", 2), ("seq-ipw", 2)],
        services: vec![("countkeeper", vec![5, 5, 4])],
        work: Duration::from_millis(55),
        ids: (0..14).map(|slot| id(1, slot)).collect(),
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
        pause: Duration::from_millis(700),
        budget: Duration::from_millis(2_500),
        lasts: Duration::from_secs(25),
        fill: 0,
        is_counted: true,
    };
    fleet.users(90, &feed);
    pause(6_000);
    for slot in 0..REPLACED {
        let old = &fleet.servers[slot];
        let [a, b, _, d] = old.addr.ip().octets();
        let new = Spec {
            // Without the disruption, the ids of the new servers are like random ones.
            id: match has_trouble {
                true => id(2, slot),
                false => id(2, slot) ^ 0x7a_5500,
            },
            addr: SocketAddrV4::new(Ipv4Addr::new(a, b, 6, d), old.addr.port()),
            ..old.clone()
        };
        if let Err(err) = fleet.start_server(&new) {
            fleet.end();
            return Err(err.to_string());
        }
        pause(GAP_MS);
        fleet.drain_server(old, SERVES_ON);
    }
    pause(12_000);
    let counts = report(&fleet);
    fleet.end();
    match counts.answered > 1_000 {
        true => Ok(counts.flow_resets == 0 && counts.flow_misled == 0),
        false => Err("too few requests were answered".to_owned()),
    }
}
