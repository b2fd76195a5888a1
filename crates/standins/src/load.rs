//! A steady load of callers on a fleet, and a sample of each request.

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

/// Time limit of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest interval between checks whether the load was stopped.
const TICK: Duration = Duration::from_millis(50);

static NEXT_POST: AtomicU64 = AtomicU64::new(1);

/// Parameters of a load.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Path of GET requests.
    pub get: String,
    /// Path of POST requests, which are not idempotent.
    pub post: String,
    /// Share of POST requests, from 0 to 1.
    pub post_share: f64,
    /// Mean time between an answer and the caller's next request.
    pub think_time: Duration,
    /// Mean number of requests of a flow.
    pub requests_per_flow: f64,
    /// Seed of all random draws.
    pub seed: u64,
}

/// The outcome of one request, and the state of its flow before it.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Time at which the request was first sent.
    pub began: Instant,
    /// Time until the outcome was known.
    pub took: Duration,
    /// Name of the outcome, from `Outcome::name`.
    pub outcome: &'static str,
    /// Id of the request, if it was a POST.
    pub post: Option<String>,
    /// Upstream of the flow before the request, if it had one.
    pub upstream: Option<String>,
    /// Time of the flow's last answer before the request, if it had one.
    pub last_received: Option<Instant>,
}

impl Sample {
    /// Returns whether the complete answer arrived.
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

/// Results of a load.
#[derive(Clone, Debug, Default)]
pub struct Results {
    /// One sample for each request.
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
                run_caller(&shared, &caller, &plan, rng);
                caller
            })
        };
        let workers = callers.into_iter().enumerate().map(start).collect();
        Load { shared, workers }
    }

    /// Returns the number of finished requests, and how many of them were answered.
    pub fn progress(&self) -> (usize, usize) {
        let samples = self.shared.samples.lock().unwrap();
        let answered = samples.iter().filter(|one| one.is_answered()).count();
        (samples.len(), answered)
    }

    /// Stops the load and returns its results.
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
fn run_caller(shared: &Shared, caller: &Caller, plan: &Plan, mut rng: SmallRng) {
    let think_time = ServiceTime::Exponential(plan.think_time);
    while !shared.is_stopped() {
        shared.sleep(think_time.draw(&mut rng));
        if shared.is_stopped() {
            break;
        }
        if rng.random_bool(1.0 / plan.requests_per_flow) {
            caller.release();
        }
        let is_post = rng.random_bool(plan.post_share);
        if let Outcome::NotRun { retry_after } = send(shared, caller, plan, is_post) {
            shared.sleep(retry_after);
        }
    }
}

fn send(shared: &Shared, caller: &Caller, plan: &Plan, is_post: bool) -> Outcome {
    let post = is_post.then(new_post_id);
    let (upstream, last_received) = (caller.upstream(), caller.last_received());
    let began = Instant::now();
    let outcome = match &post {
        Some(id) => caller.request(
            RequestType::Post,
            &plan.post,
            id.as_bytes(),
            REQUEST_TIMEOUT,
        ),
        None => caller.get(&plan.get, REQUEST_TIMEOUT),
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

/// Returns an id for a POST that is unique in this process.
pub fn new_post_id() -> String {
    format!("post-{}", NEXT_POST.fetch_add(1, Ordering::Relaxed))
}
