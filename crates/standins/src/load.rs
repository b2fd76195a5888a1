//! A steady load of callers on a fleet, and a record of what became of each request.

use crate::{
    caller::{
        Caller,
        Counts,
        Move,
        Outcome, //
    },
    upstream::ServiceTime, //
};
use coap_lite::RequestType;
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};
use std::{
    sync::{
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

/// Time that a request may take.
const WITHIN: Duration = Duration::from_secs(4);
/// Longest sleep between looks at whether the load was stopped.
const TICK: Duration = Duration::from_millis(50);

static NEXT_POST: AtomicU64 = AtomicU64::new(1);

/// What the callers of a load do.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Path of reads.
    pub get: String,
    /// Path of non-idempotent requests.
    pub post: String,
    /// Share of non-idempotent requests, from 0 to 1.
    pub post_share: f64,
    /// Mean time between an answer and the caller's next request.
    pub think_time: Duration,
    /// Mean number of requests of a flow.
    pub requests_per_flow: f64,
    /// Seed of all that is drawn at random.
    pub seed: u64,
}

/// What became of one request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// When it was sent first.
    pub began: Instant,
    /// Time until its outcome.
    pub took: Duration,
    /// Word that names its outcome.
    pub outcome: &'static str,
    /// Its id, when it is a POST.
    pub post: Option<String>,
    /// Upstream of the flow before the request, if it had one.
    pub upstream: Option<String>,
    /// When the flow had its last answer before the request, if it had one.
    pub last_received: Option<Instant>,
}

impl Sample {
    /// Returns whether the whole answer came.
    pub fn is_answered(&self) -> bool {
        self.outcome == "answered"
    }
}

#[derive(Default)]
struct Shared {
    samples: Mutex<Vec<Sample>>,
    stopped: AtomicBool,
}

impl Shared {
    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Sleeps, or returns early when the load is stopped.
    fn sleep(&self, time: Duration) {
        let end = Instant::now() + time;
        while !self.is_stopped() {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            thread::sleep(left.min(TICK));
        }
    }
}

/// A load that runs until it is stopped.
pub struct Load {
    shared: Arc<Shared>,
    workers: Vec<JoinHandle<Caller>>,
}

/// What a load led to.
#[derive(Clone, Debug, Default)]
pub struct Results {
    /// All requests.
    pub samples: Vec<Sample>,
    /// Sum of the callers' counters.
    pub counts: Counts,
    /// Moves of the callers' flows between upstreams.
    pub moves: Vec<Move>,
}

impl Load {
    /// Starts one thread for each caller.
    pub fn start(callers: Vec<Caller>, plan: &Plan) -> Self {
        let shared = Arc::new(Shared::default());
        let start = |(index, caller): (usize, Caller)| {
            let (shared, plan) = (shared.clone(), plan.clone());
            let seed = plan.seed.wrapping_add(index as u64);
            let rng = SmallRng::seed_from_u64(seed);
            thread::spawn(move || {
                work(&shared, &caller, &plan, rng);
                caller
            })
        };
        let workers = callers.into_iter().enumerate().map(start).collect();
        Load { shared, workers }
    }

    /// Returns how many requests are over, and how many of them were answered.
    pub fn progress(&self) -> (usize, usize) {
        let samples = self.shared.samples.lock().unwrap();
        let answered = samples.iter().filter(|one| one.is_answered()).count();
        (samples.len(), answered)
    }

    /// Stops the load and returns what it led to.
    pub fn stop(self) -> Results {
        self.shared.stopped.store(true, Ordering::Relaxed);
        let mut results = Results::default();
        for worker in self.workers {
            let caller = worker.join().expect("a caller of the load panicked");
            results.counts += caller.counts();
            results.moves.extend(caller.moves());
        }
        results.samples = std::mem::take(&mut *self.shared.samples.lock().unwrap());
        results
    }
}

/// Sends one caller's requests until the load is stopped.
fn work(shared: &Shared, caller: &Caller, plan: &Plan, mut rng: SmallRng) {
    let think_time = ServiceTime::Exponential(plan.think_time);
    while !shared.is_stopped() {
        shared.sleep(think_time.draw(&mut rng));
        if shared.is_stopped() {
            break;
        }
        if rng.random_bool(1.0 / plan.requests_per_flow) {
            caller.release();
        }
        let posts = rng.random_bool(plan.post_share);
        if let Outcome::NotRun { retry_after } = send(shared, caller, plan, posts) {
            shared.sleep(retry_after);
        }
    }
}

fn send(shared: &Shared, caller: &Caller, plan: &Plan, posts: bool) -> Outcome {
    let post = posts.then(new_post_id);
    let (upstream, last_received) = (caller.upstream(), caller.last_received());
    let began = Instant::now();
    let outcome = match &post {
        Some(id) => caller.request(RequestType::Post, &plan.post, id.as_bytes(), WITHIN),
        None => caller.get(&plan.get, WITHIN),
    };
    shared.samples.lock().unwrap().push(Sample {
        began,
        took: began.elapsed(),
        outcome: outcome.name(),
        post,
        upstream,
        last_received,
    });
    outcome
}

/// Returns an id that no other POST of this process has.
pub fn new_post_id() -> String {
    format!("post-{}", NEXT_POST.fetch_add(1, Ordering::Relaxed))
}
