//! A model of how news of the store spread from a reader to a follower, explored exhaustively.
//!
//! One store, one reader, one follower. In each second one thing may happen: a change, a cut between two of them, a
//! freeze of the reader, a message that stays on its way. All orders of such things are tried, breadth first over the
//! states that differ. The follower runs the code that the daemon runs.

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

/// Length of the plays that are all tried, in seconds.
const SECONDS: u64 = 8;
/// Length of the plays in which a mutant is to be found, in seconds.
const MUTANT_SECONDS: u64 = 14;
/// Most changes of the store.
const CHANGES: u64 = 3;
/// Oldest that a view may become while the store can be asked, in seconds.
const PAUSE: u64 = 3;
/// Longest time for which a reader holds a request, in seconds.
const WAIT: u64 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Act {
    Nothing,
    Change,
    CutReader,
    CutFollower,
    CutLink,
    Freeze,
    Delay,
}

const ACTS: [Act; 7] = [
    Act::Nothing,
    Act::Change,
    Act::CutReader,
    Act::CutFollower,
    Act::CutLink,
    Act::Freeze,
    Act::Delay,
];

/// What a mutant of the follower or the reader gets wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// The reader does not count the time in which it was frozen.
    ForgetsFreeze,
    /// The follower takes the statement to be from when it came.
    TakesArrival,
    /// The follower never asks the store itself.
    TrustsReader,
}

/// A request on its way, held, or answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Request {
    asked: u64,
    /// When the reader got it, and the seconds for which it ran since.
    held: Option<(u64, u64)>,
    /// Revision, seconds held, and age of what the reader said.
    said: Option<(u64, u64, u64)>,
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
    /// Since when the follower can reach the store.
    reachable: Option<u64>,
    reader: (u64, Option<u64>),
    /// Seconds for which the reader was frozen since its view was proved.
    slept: u64,
    follower: u64,
    /// Time up to which the follower believes that it knows all.
    as_of: Option<u64>,
    /// The same by its own reads.
    read: Option<u64>,
    request: Option<Request>,
}

/// A promise that is broken, and the state in which it is.
type Broken = Box<(&'static str, State)>;

struct Model {
    zero: Instant,
    mutant: Mutant,
}

impl Model {
    fn at(&self, second: u64) -> Instant {
        self.zero + Duration::from_secs(second)
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
            slept: 0,
            follower: 0,
            as_of: Some(100),
            read: Some(100),
            request: None,
        }
    }

    fn step(&self, before: &State, act: Act) -> Option<State> {
        let mut s = before.clone();
        s.now += 1;
        s.delayed = act == Act::Delay;
        match act {
            Act::Nothing | Act::Delay => (),
            Act::Change if s.changes.len() as u64 >= CHANGES => return None,
            Act::Change => s.changes.push(s.now),
            Act::CutReader => s.reader_cut = !s.reader_cut,
            Act::CutFollower => {
                s.follower_cut = !s.follower_cut;
                s.reachable = (!s.follower_cut).then_some(s.now);
            }
            Act::CutLink => s.link_cut = !s.link_cut,
            Act::Freeze => s.frozen = !s.frozen,
        }
        self.reader(&mut s);
        self.follower(&mut s);
        Some(s)
    }

    fn reader(&self, s: &mut State) {
        if s.frozen {
            s.slept += 1;
            return;
        }
        // What it has held it answers first, before it has read again.
        if let Some(request) = s.request.as_mut() {
            match request.held {
                None if !s.link_cut && !s.delayed => request.held = Some((s.now, 0)),
                None => (),
                Some((got, ran)) if request.said.is_none() => {
                    request.held = Some((got, ran + 1));
                    let is_news = s.reader.0 > s.follower;
                    if let Some(proved) = s.reader.1.filter(|_| is_news || ran + 1 >= WAIT) {
                        let slept = match self.mutant {
                            Mutant::ForgetsFreeze => s.slept,
                            _ => 0,
                        };
                        let age = s.now.saturating_sub(proved).saturating_sub(slept);
                        request.said = Some((s.reader.0, ran + 1, age));
                    }
                }
                Some(_) => (),
            }
        }
        if !s.reader_cut {
            s.reader = (s.changes.len() as u64, Some(s.now));
            s.slept = 0;
        }
    }

    fn follower(&self, s: &mut State) {
        if let Some(request) = s.request {
            if let Some((revision, held, age)) = request.said {
                if !s.link_cut && !s.delayed {
                    s.request = None;
                    self.hear(s, request.asked, revision, held, age);
                }
            } else if s.now > request.asked + WAIT + PAUSE {
                s.request = None;
            }
        } else {
            s.request = Some(Request {
                asked: s.now,
                held: None,
                said: None,
            });
        }
        let fed = self.fed_until(s);
        let due = s
            .read
            .map_or(s.now, |read| read + PAUSE)
            .max(fed.unwrap_or(0));
        if s.now >= due && !s.follower_cut && self.mutant != Mutant::TrustsReader {
            s.follower = s.changes.len() as u64;
            s.read = Some(s.now);
            s.as_of = s.as_of.max(s.read);
        }
    }

    fn hear(&self, s: &mut State, asked: u64, revision: u64, held: u64, age: u64) {
        s.follower = s.follower.max(revision);
        let statement = FreshnessReport {
            held: Duration::from_secs(held),
            age: Some(Duration::from_secs(age)),
        };
        let now = self.at(s.now);
        let asked = match self.mutant {
            Mutant::TakesArrival => now,
            _ => self.at(asked),
        };
        let as_of = Freshness::default().update(statement, asked, now);
        let as_of = as_of.map(|at| at.duration_since(self.zero).as_secs());
        s.as_of = s.as_of.max(as_of);
    }

    /// Until when the follower relies on what it was told.
    fn fed_until(&self, s: &State) -> Option<u64> {
        let mut feed = Freshness::default();
        let told = FreshnessReport {
            held: Duration::ZERO,
            age: Some(Duration::ZERO),
        };
        let as_of = self.at(s.as_of?);
        feed.update(told, as_of, as_of);
        let until = feed.fresh_until(Duration::from_secs(PAUSE), self.at(s.now))?;
        Some(until.duration_since(self.zero).as_secs())
    }

    /// The promise that a state breaks, if it breaks one.
    fn broken(&self, before: &State, s: &State) -> Option<&'static str> {
        let known_at = |time: u64| s.changes.iter().filter(|at| **at <= time).count() as u64;
        if s.follower < before.follower {
            return Some("the view went back");
        }
        if s.as_of.is_some_and(|as_of| s.follower < known_at(as_of)) {
            return Some("the view is older than it says");
        }
        let reachable = s.reachable.is_some_and(|since| s.now >= since + PAUSE);
        if reachable && s.follower < known_at(s.now - PAUSE) {
            return Some("a change is not in force in time");
        }
        None
    }

    /// Explores all states; returns their number, or the first promise that is broken.
    fn explore(&self, seconds: u64) -> Result<usize, Broken> {
        let mut seen = HashSet::new();
        let mut states = vec![Self::start()];
        for _ in 0..seconds {
            let mut next = Vec::new();
            for state in &states {
                for act in ACTS {
                    let Some(after) = self.step(state, act) else {
                        continue;
                    };
                    if let Some(promise) = self.broken(state, &after) {
                        return Err(Box::new((promise, after)));
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

fn explore(mutant: Mutant, seconds: u64) -> Result<usize, Broken> {
    let zero = Instant::now();
    Model { zero, mutant }.explore(seconds)
}

#[test]
fn whatever_happens_to_a_reader_its_follower_keeps_the_promises() {
    let states = explore(Mutant::None, SECONDS).expect("no promise is broken");
    assert!(states > 10_000, "{states} states are too few to tell");
}

#[test]
fn mutants_break_promises() {
    for (mutant, broken) in [
        (Mutant::ForgetsFreeze, "the view is older than it says"),
        (Mutant::TakesArrival, "the view is older than it says"),
        (Mutant::TrustsReader, "a change is not in force in time"),
    ] {
        let found = explore(mutant, MUTANT_SECONDS).expect_err("a mutant is found");
        assert_eq!(found.0, broken, "{mutant:?}");
    }
}
