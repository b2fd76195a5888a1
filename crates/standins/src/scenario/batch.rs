//! A number of requests that are sent until each has an outcome that stays.

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

/// Time that one request may take.
const WITHIN: Duration = Duration::from_secs(5);
/// Time after which a request that is refused again and again is given up.
const PATIENCE: Duration = Duration::from_secs(30);

/// A number of requests of one kind.
#[derive(Clone)]
pub(super) struct RequestBatch {
    pub(super) method: RequestType,
    pub(super) path: String,
    pub(super) count: usize,
}

impl RequestBatch {
    /// Sends the requests through all callers at once and returns each try.
    ///
    /// What was not run or ended with its flow is sent again, a POST under a new id.
    pub(super) fn run(&self, callers: &[Arc<Caller>]) -> Vec<Sample> {
        let threads: Vec<_> = (0..callers.len())
            .map(|index| {
                let (batch, caller) = (self.clone(), callers[index].clone());
                let own = (index..self.count).step_by(callers.len()).count();
                thread::spawn(move || {
                    let each = (0..own).flat_map(|_| batch.settle(&caller));
                    each.collect::<Vec<_>>()
                })
            })
            .collect();
        let results = threads.into_iter().map(|one| one.join());
        results
            .flat_map(|samples| samples.expect("a caller of the script panicked"))
            .collect()
    }

    fn settle(&self, caller: &Caller) -> Vec<Sample> {
        let end = Instant::now() + PATIENCE;
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
        let outcome = caller.request(self.method, &self.path, payload.as_bytes(), WITHIN);
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

/// Counts what became of the requests in the end: tries that were repeated are left out.
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
    text + &listed(samples, &["timed out"])
}

/// Lists the requests with any of the outcomes, one in each line.
pub(super) fn listed(samples: &[Sample], outcomes: &[&str]) -> String {
    let meant = samples.iter();
    let meant = meant.filter(|one| outcomes.contains(&one.outcome));
    meant.map(line).collect()
}

fn line(sample: &Sample) -> String {
    let method = if sample.post.is_some() { "POST" } else { "GET" };
    let upstream = sample.upstream.as_deref().unwrap_or("no upstream yet");
    let (outcome, took) = (sample.outcome, sample.took);
    format!("\n  {method} to {upstream}: {outcome} after {took:.1?}")
}
