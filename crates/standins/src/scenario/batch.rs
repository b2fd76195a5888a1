//! A batch of requests, each repeated until its outcome is final.

use crate::{
    caller::{
        Caller,
        Outcome, //
    },
    load::{
        new_post_id,
        Sample, //
    }, //
};
use coap_lite::RequestType;
use std::{
    sync::Arc,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

/// Time limit of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a request that is still refused is not repeated any more.
const REPEAT_TIMEOUT: Duration = Duration::from_secs(30);

/// A number of requests with the same method and path.
#[derive(Clone)]
pub(super) struct RequestBatch {
    pub(super) method: RequestType,
    pub(super) path: String,
    pub(super) count: usize,
}

impl RequestBatch {
    /// Sends the requests through all callers in parallel and returns a sample of each attempt.
    ///
    /// A request that was not executed or whose flow was retired is sent again, a POST with a new id.
    pub(super) fn run(&self, callers: &[Arc<Caller>]) -> Vec<Sample> {
        let threads: Vec<_> = (0..callers.len())
            .map(|index| {
                let (batch, caller) = (self.clone(), callers[index].clone());
                let own = (index..self.count).step_by(callers.len()).count();
                thread::spawn(move || {
                    let each = (0..own).flat_map(|_| batch.send_until_final(&caller));
                    each.collect::<Vec<_>>()
                })
            })
            .collect();
        let results = threads.into_iter().map(|one| one.join());
        results
            .flat_map(|samples| samples.expect("a caller of the script panicked"))
            .collect()
    }

    fn send_until_final(&self, caller: &Caller) -> Vec<Sample> {
        let end = Instant::now() + REPEAT_TIMEOUT;
        let mut samples = Vec::new();
        loop {
            let (sample, outcome) = self.send(caller);
            samples.push(sample);
            match outcome {
                Outcome::NotRun { retry_after } if Instant::now() < end => {
                    thread::sleep(retry_after)
                }
                Outcome::FlowRetired if Instant::now() < end => {}
                _ => return samples,
            }
        }
    }

    fn send(&self, caller: &Caller) -> (Sample, Outcome) {
        let post = (self.method == RequestType::Post).then(new_post_id);
        let payload = post.clone().unwrap_or_default();
        let (upstream, last_received) = (caller.upstream(), caller.last_received());
        let began = Instant::now();
        let outcome = caller.request(self.method, &self.path, payload.as_bytes(), ATTEMPT_TIMEOUT);
        let sample = Sample {
            began,
            took: began.elapsed(),
            outcome: outcome.name(),
            post,
            upstream,
            last_received,
        };
        (sample, outcome)
    }
}

/// Counts the final outcomes of the requests; attempts that were repeated are left out.
pub(super) fn summary(samples: &[Sample], asked: usize) -> String {
    let count = |name: &str| samples.iter().filter(|one| one.outcome == name).count();
    let (answered, unknown) = (count("answered"), count("unknown"));
    let silent = count("timed out");
    let mut text = format!("answered {answered}");
    if unknown > 0 {
        text += &format!(", unknown {unknown}");
    }
    if silent > 0 {
        text += &format!(", timed out {silent}");
    }
    let refused = asked - answered - unknown - silent;
    if refused > 0 {
        text += &format!(", refused for good {refused}");
    }
    text + &list_samples(samples, &["timed out"])
}

/// Lists the requests with any of the outcomes, one per line.
pub(super) fn list_samples(samples: &[Sample], outcomes: &[&str]) -> String {
    let matching = samples.iter();
    let matching = matching.filter(|one| outcomes.contains(&one.outcome));
    matching.map(line).collect()
}

fn line(sample: &Sample) -> String {
    let method = if sample.post.is_some() { "POST" } else { "GET" };
    let upstream = sample.upstream.as_deref().unwrap_or("no upstream yet");
    let (outcome, took) = (sample.outcome, sample.took);
    format!("\n  {method} to {upstream}: {outcome} after {took:.1?}")
}
