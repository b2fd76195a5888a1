//! What each upstream has taken from this daemon of late.

use super::entry::UpstreamId;
use std::{
    collections::HashMap,
    time::{
        Duration,
        Instant, //
    },
};

/// Time in which the weight of an opening falls to 1/e; a few times the work of a request.
const FADE: Duration = Duration::from_millis(500);

/// How long an upstream that left an opening packet unanswered gets no new flows while others can.
pub const SILENCE: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
struct Taken {
    openings: f64,
    at: Instant,
    silent_until: Option<Instant>,
}

/// Load of the upstreams as seen by this daemon.
#[derive(Clone, Debug, Default)]
pub struct Load {
    taken: HashMap<UpstreamId, Taken>,
}

impl Load {
    /// Openings of late.
    pub fn openings(&self, id: UpstreamId, now: Instant) -> f64 {
        self.taken.get(&id).map_or(0.0, |t| faded(t, now))
    }

    /// Counts an opening.
    pub fn open(&mut self, id: UpstreamId, now: Instant) {
        let taken = self.entry(id, now);
        taken.openings = faded(taken, now) + 1.0;
        taken.at = now;
    }

    /// Notes that an upstream left an opening packet unanswered.
    pub fn silent(&mut self, id: UpstreamId, now: Instant) {
        self.entry(id, now).silent_until = Some(now + SILENCE);
    }

    /// Notes that an upstream answered.
    pub fn answered(&mut self, id: UpstreamId, now: Instant) {
        self.entry(id, now).silent_until = None;
    }

    /// Whether an upstream left an opening packet unanswered of late.
    pub fn is_silent(&self, id: UpstreamId, now: Instant) -> bool {
        let until = self.taken.get(&id).and_then(|t| t.silent_until);
        until.is_some_and(|until| now < until)
    }

    /// Forgets upstreams that are not `known`.
    pub fn forget(&mut self, known: impl Fn(UpstreamId) -> bool) {
        self.taken.retain(|id, _| known(*id));
    }

    fn entry(&mut self, id: UpstreamId, now: Instant) -> &mut Taken {
        self.taken.entry(id).or_insert(Taken {
            openings: 0.0,
            at: now,
            silent_until: None,
        })
    }
}

fn faded(taken: &Taken, now: Instant) -> f64 {
    let age = now.saturating_duration_since(taken.at);
    taken.openings * (-age.as_secs_f64() / FADE.as_secs_f64()).exp()
}
