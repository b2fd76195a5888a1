//! Exhaustive model check of how changes of the store reach a follower through a reader.
//!
//! The model has one store, one reader and one follower. In each second one action may happen: a change, a cut or repair
//! of a connection, a freeze of the reader, or a delayed message. All sequences of actions are explored, breadth first
//! over distinct states. The follower runs the freshness code of the daemon.

use foxtailhinge_policy::packets::{
    Freshness,
    FreshnessReport, //
};
use std::{
    collections::HashSet,
    time::{
        Duration,
        Instant, //
    },
};

/// Length of the explored sequences in seconds.
const SECONDS: u64 = 8;
/// Length of the sequences within which each mutant must be detected, in seconds.
const MUTANT_SECONDS: u64 = 14;
/// Largest number of changes of the store.
const CHANGES: u64 = 3;
/// Maximum age of a view while the store is reachable, in seconds.
const INTERVAL: u64 = 3;
/// Longest time for which a reader holds a request, in seconds.
const WAIT: u64 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Nothing,
    Change,
    CutReader,
    CutFollower,
    CutLink,
    Freeze,
    Delay,
}

const ACTIONS: [Action; 7] = [
    Action::Nothing,
    Action::Change,
    Action::CutReader,
    Action::CutFollower,
    Action::CutLink,
    Action::Freeze,
    Action::Delay,
];

/// Deliberate fault in the follower or the reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// The reader does not include the time in which it was frozen in the age of its view.
    IgnoresFreeze,
    /// The follower dates the report by its arrival instead of by its own request.
    UsesArrivalTime,
    /// The follower never reads the store itself.
    TrustsReader,
}

/// Request that is in transit, held by the reader, or answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Request {
    asked: u64,
    /// When the reader received the request, and for how many seconds the reader has run since.
    held: Option<(u64, u64)>,
    /// Revision, seconds held, and age of the view in the reply.
    reply: Option<(u64, u64, u64)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    /// Time of each change.
    changes: Vec<u64>,
    reader_cut: bool,
    follower_cut: bool,
    link_cut: bool,
    frozen: bool,
    delayed: bool,
    /// Time since which the follower can reach the store.
    reachable: Option<u64>,
    reader: (u64, Option<u64>),
    /// Seconds for which the reader was frozen since its last read.
    suspended_for: u64,
    follower: u64,
    /// Time up to which the follower assumes that its view is complete.
    as_of: Option<u64>,
    /// The same, by its own reads only.
    read: Option<u64>,
    request: Option<Request>,
}

/// Violated guarantee, and the state that violates it.
type Violation = Box<(&'static str, State)>;

struct Model {
    origin: Instant,
    mutant: Mutant,
}

impl Model {
    fn at(&self, second: u64) -> Instant {
        self.origin + Duration::from_secs(second)
    }

    fn start() -> State {
        State {
            now: 100,
            changes: Vec::new(),
            reader_cut: false,
            follower_cut: false,
            link_cut: false,
            frozen: false,
            delayed: false,
            reachable: Some(0),
            reader: (0, Some(100)),
            suspended_for: 0,
            follower: 0,
            as_of: Some(100),
            read: Some(100),
            request: None,
        }
    }

    fn step(&self, before: &State, action: Action) -> Option<State> {
        let mut s = before.clone();
        s.now += 1;
        s.delayed = action == Action::Delay;
        match action {
            Action::Nothing | Action::Delay => (),
            Action::Change if s.changes.len() as u64 >= CHANGES => return None,
            Action::Change => s.changes.push(s.now),
            Action::CutReader => s.reader_cut = !s.reader_cut,
            Action::CutFollower => {
                s.follower_cut = !s.follower_cut;
                s.reachable = (!s.follower_cut).then_some(s.now);
            }
            Action::CutLink => s.link_cut = !s.link_cut,
            Action::Freeze => s.frozen = !s.frozen,
        }
        self.reader(&mut s);
        self.follower(&mut s);
        Some(s)
    }

    fn reader(&self, s: &mut State) {
        if s.frozen {
            s.suspended_for += 1;
            return;
        }
        // The reader answers a held request before it reads the store again.
        if let Some(request) = s.request.as_mut() {
            match request.held {
                None if !s.link_cut && !s.delayed => request.held = Some((s.now, 0)),
                None => (),
                Some((got, ran)) if request.reply.is_none() => {
                    request.held = Some((got, ran + 1));
                    let is_newer = s.reader.0 > s.follower;
                    if let Some(proved) = s.reader.1.filter(|_| is_newer || ran + 1 >= WAIT) {
                        let suspended_for = match self.mutant {
                            Mutant::IgnoresFreeze => s.suspended_for,
                            _ => 0,
                        };
                        let age = s.now.saturating_sub(proved).saturating_sub(suspended_for);
                        request.reply = Some((s.reader.0, ran + 1, age));
                    }
                }
                Some(_) => (),
            }
        }
        if !s.reader_cut {
            s.reader = (s.changes.len() as u64, Some(s.now));
            s.suspended_for = 0;
        }
    }

    fn follower(&self, s: &mut State) {
        if let Some(request) = s.request {
            if let Some((revision, held, age)) = request.reply {
                if !s.link_cut && !s.delayed {
                    s.request = None;
                    self.receive(s, request.asked, revision, held, age);
                }
            } else if s.now > request.asked + WAIT + INTERVAL {
                s.request = None;
            }
        } else {
            s.request = Some(Request {
                asked: s.now,
                held: None,
                reply: None,
            });
        }
        let fed = self.fed_until(s);
        let due = s
            .read
            .map_or(s.now, |read| read + INTERVAL)
            .max(fed.unwrap_or(0));
        if s.now >= due && !s.follower_cut && self.mutant != Mutant::TrustsReader {
            s.follower = s.changes.len() as u64;
            s.read = Some(s.now);
            s.as_of = s.as_of.max(s.read);
        }
    }

    fn receive(&self, s: &mut State, asked: u64, revision: u64, held: u64, age: u64) {
        s.follower = s.follower.max(revision);
        let reported = FreshnessReport {
            held: Duration::from_secs(held),
            age: Some(Duration::from_secs(age)),
        };
        let now = self.at(s.now);
        let asked = match self.mutant {
            Mutant::UsesArrivalTime => now,
            _ => self.at(asked),
        };
        let as_of = Freshness::default().update(reported, asked, now);
        let as_of = as_of.map(|at| at.duration_since(self.origin).as_secs());
        s.as_of = s.as_of.max(as_of);
    }

    /// Time until which the follower relies on the reports of the reader.
    fn fed_until(&self, s: &State) -> Option<u64> {
        let mut freshness = Freshness::default();
        let report = FreshnessReport {
            held: Duration::ZERO,
            age: Some(Duration::ZERO),
        };
        let as_of = self.at(s.as_of?);
        freshness.update(report, as_of, as_of);
        let until = freshness.fresh_until(Duration::from_secs(INTERVAL), self.at(s.now))?;
        Some(until.duration_since(self.origin).as_secs())
    }

    /// Returns the guarantee that a state violates, if any.
    fn violation(&self, before: &State, s: &State) -> Option<&'static str> {
        let known_at = |time: u64| s.changes.iter().filter(|at| **at <= time).count() as u64;
        if s.follower < before.follower {
            return Some("the view reverted to an older revision");
        }
        if s.as_of.is_some_and(|as_of| s.follower < known_at(as_of)) {
            return Some("the view is older than it claims");
        }
        let reachable = s.reachable.is_some_and(|since| s.now >= since + INTERVAL);
        if reachable && s.follower < known_at(s.now - INTERVAL) {
            return Some("a change is not in force in time");
        }
        None
    }

    /// Explores all states; returns their number, or the first violation.
    fn explore(&self, seconds: u64) -> Result<usize, Violation> {
        let mut seen = HashSet::new();
        let mut states = vec![Self::start()];
        for _ in 0..seconds {
            let mut next = Vec::new();
            for state in &states {
                for action in ACTIONS {
                    let Some(after) = self.step(state, action) else {
                        continue;
                    };
                    if let Some(guarantee) = self.violation(state, &after) {
                        return Err(Box::new((guarantee, after)));
                    }
                    if seen.insert(after.clone()) {
                        next.push(after);
                    }
                }
            }
            states = next;
        }
        Ok(seen.len())
    }
}

fn explore(mutant: Mutant, seconds: u64) -> Result<usize, Violation> {
    let origin = Instant::now();
    Model { origin, mutant }.explore(seconds)
}

#[test]
fn a_follower_keeps_its_guarantees_whatever_happens_to_its_reader() {
    let states = explore(Mutant::None, SECONDS).expect("all guarantees hold");
    assert!(
        states > 10_000,
        "{states} states are too few for a meaningful check"
    );
}

#[test]
fn mutants_break_guarantees() {
    for (mutant, violation) in [
        (Mutant::IgnoresFreeze, "the view is older than it claims"),
        (Mutant::UsesArrivalTime, "the view is older than it claims"),
        (Mutant::TrustsReader, "a change is not in force in time"),
    ] {
        let found = explore(mutant, MUTANT_SECONDS).expect_err("the mutant is detected");
        assert_eq!(found.0, violation, "{mutant:?}");
    }
}
