//! Choice of an upstream when all of them appear to be down.

use crate::report::{
    percent,
    Table, //
};
use foxtailhinge_policy::health::{
    least_bad,
    Health,
    HealthView, //
};
use rand::{
    rngs::SmallRng,
    seq::index,
    Rng,
    SeedableRng, //
};
use smallvec::SmallVec;
use std::time::{
    Duration,
    Instant, //
};

const UPSTREAMS: usize = 14;
const SECONDS: u64 = 600;
const REQUESTS_PER_S: u64 = 20;
/// Probability that a partly working upstream answers.
const ANSWER_PROBABILITY: f64 = 0.3;
/// Time after which another set of upstreams is the partly working one.
const SHIFT_S: u64 = 60;
const ROUNDS: u64 = 10;

#[derive(Clone, Copy)]
enum Choice {
    Random,
    LeastBad,
}

/// Prints the share of requests answered, with `partly` of the upstreams partly working and the rest dead.
pub(crate) fn table() {
    println!("all-down: some of 14 upstreams answer 30 % of requests, the rest none; other ones");
    println!("after each 60 s; share answered (%) of 20 requests/s\n");
    let mut table = Table::new(&["choice", "1 of 14", "3 of 14", "7 of 14"]);
    for (name, choice, seen) in [
        ("random", Choice::Random, UPSTREAMS),
        ("least bad of 3 candidates", Choice::LeastBad, 3),
        ("least bad of all", Choice::LeastBad, UPSTREAMS),
    ] {
        let mut row = vec![name.to_string()];
        row.extend([1, 3, 7].map(|partly| format!("{:.2}", answered(choice, seen, partly))));
        table.row(row);
    }
    println!("{table}");
}

fn answered(choice: Choice, seen: usize, partly: usize) -> f64 {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut answered = 0;
    for _ in 0..ROUNDS {
        answered += round(choice, seen, partly, &mut rng);
    }
    percent(answered, ROUNDS * SECONDS * REQUESTS_PER_S)
}

fn round(choice: Choice, seen: usize, partly: usize, rng: &mut SmallRng) -> u64 {
    let origin = Instant::now();
    let mut health = vec![Health::new(); UPSTREAMS];
    let mut works = index::sample(rng, UPSTREAMS, partly).into_vec();
    let mut answered = 0;
    for request in 0..SECONDS * REQUESTS_PER_S {
        if request % (SHIFT_S * REQUESTS_PER_S) == 0 {
            works = index::sample(rng, UPSTREAMS, partly).into_vec();
        }
        let now = origin + Duration::from_millis(1_000 * request / REQUESTS_PER_S);
        let candidates = index::sample(rng, UPSTREAMS, seen).into_vec();
        let upstream = match choice {
            Choice::Random => candidates[0],
            Choice::LeastBad => {
                let views: SmallVec<[HealthView; 16]> =
                    candidates.iter().map(|u| health[*u].view(now)).collect();
                candidates[least_bad(&views).expect("not empty")]
            }
        };
        if works.contains(&upstream) && rng.random::<f64>() < ANSWER_PROBABILITY {
            health[upstream].on_answer(now);
            answered += 1;
        } else {
            health[upstream].on_timeout(now);
        }
    }
    answered
}
