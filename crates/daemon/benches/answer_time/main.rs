//! Response time with and without the hop between daemons, compared with a direct request to the upstream.
//!
//! Run with `cargo bench -p foxtailhinge --bench answer_time`. Requests are sent one at a time, alternating between
//! the paths.

#[path = "../common/mod.rs"]
mod common;

use common::{
    fleet,
    us,
    Addresses,
    Caller, //
};
use std::time::Duration;

const REQUESTS: usize = 20_000;
const FLOWS: usize = 16;

#[derive(Default)]
struct Times {
    times: Vec<Duration>,
    lost: usize,
}

impl Times {
    fn add(&mut self, time: Option<Duration>) {
        match time {
            Some(time) => self.times.push(time),
            None => self.lost += 1,
        }
    }

    fn row(mut self, path: &str) {
        self.times.sort_unstable();
        let at = |share: f64| {
            let index = (self.times.len() as f64 * share) as usize;
            us(self.times[index.min(self.times.len() - 1)])
        };
        println!(
            "{path:<40} {:>8.1} us {:>8.1} us {:>8.1} us {:>6}",
            at(0.5),
            at(0.99),
            at(0.999),
            self.lost
        );
    }
}

fn main() {
    let fleet = fleet();
    let addresses = Addresses::of(&fleet);
    let [other, owner] = addresses.daemons;
    let mut caller = Caller::new();
    let mut flows = caller.open(FLOWS, other, owner);
    let [mut direct, mut without, mut with] = [(); 3].map(|()| Times::default());
    for i in 0..REQUESTS {
        let flow = &mut flows[i % FLOWS];
        direct.add(caller.ask_plain(addresses.upstream));
        without.add(caller.ask(flow, owner));
        with.add(caller.ask(flow, other));
    }
    println!(
        "{:<40} {:>11} {:>11} {:>11} {:>6}",
        "way", "p50", "p99", "p99.9", "lost"
    );
    direct.row("caller, upstream");
    without.row("caller, owner, upstream");
    with.row("caller, ingress, owner, upstream");
}
