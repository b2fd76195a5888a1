//! Simulated callers of live and dead upstreams, while the daemon's own link or processor delays their packets.

use crate::scene::{
    upstream,
    Scene, //
};
use foxtailhinge_policy::packets::{
    HealthChange,
    ResetReason,
    UpstreamId,
    Verdict, //
};
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    ops::Range,
    time::Duration, //
};

/// Number of simulations of each case.
const SEEDS: u64 = 5;
/// Number of upstreams.
const UPSTREAMS: u64 = 20;
/// Time for which callers send requests, in milliseconds.
const LENGTH: u64 = 20_000;
/// When upstreams die.
const DEATH: u64 = 8_000;
/// Time of an upstream for a request.
const SERVICE_TIME: Range<u64> = 20..260;
/// Pause of a caller between an answer and its next request.
const PAUSE: Range<u64> = 200..1_200;
/// Times after which a request is retransmitted.
const RETRANSMISSION_TIMEOUTS: [u64; 4] = [200, 400, 800, 1_600];
/// Length of a request, and of an answer.
const BYTES: u32 = 100;

/// What happens while callers send requests.
#[derive(Clone, Default)]
struct Case {
    name: &'static str,
    callers: u16,
    /// Number of upstreams that die.
    dying: u64,
    /// Times in which the daemon's link transmits nothing and queues all packets.
    queued: Vec<Range<u64>>,
    /// Times in which the daemon's link loses all packets.
    lost: Vec<Range<u64>>,
    /// Times in which the daemon reads no packets.
    stalled: Vec<Range<u64>>,
    /// Whether callers acknowledge an answer only with their next request.
    delays_acks: bool,
}

/// What the callers see of a case.
#[derive(Debug, Default)]
struct Outcome {
    /// Resets of flows whose upstreams live.
    false_resets: usize,
    /// Dead upstreams that the daemon declares dead.
    found: BTreeSet<UpstreamId>,
    /// Times from the deaths of these upstreams until they are declared dead, in milliseconds.
    found_after: Vec<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The caller sends its request, or copy number `copy` of it.
    Send { copy: usize },
    /// The caller gets the answer, and acknowledges it.
    Answer,
    /// The daemon reads the request, or a copy of it.
    Read,
    /// The daemon reads the acknowledgement of the answer.
    ReadAck,
}

/// Request of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Request {
    caller: u16,
    number: u32,
}

impl Request {
    fn upstream(self) -> u64 {
        u64::from(self.caller) % UPSTREAMS + 1
    }
}

struct Model {
    case: Case,
    scene: Scene,
    rng: SmallRng,
    /// Pending steps by their times, with a number that keeps the order of steps at the same time.
    steps: BTreeMap<(u64, usize), (Step, Request)>,
    next_step: usize,
    /// Number of answered requests of each caller.
    answered: BTreeMap<u16, u32>,
    ended: BTreeSet<u16>,
    outcome: Outcome,
}

impl Model {
    fn new(case: Case, seed: u64) -> Self {
        let upstreams = 1..=UPSTREAMS;
        let scene = upstreams.fold(Scene::new(), |scene, id| scene.upstream(id, upstream()));
        Self {
            case,
            scene,
            rng: SmallRng::seed_from_u64(seed),
            steps: BTreeMap::new(),
            next_step: 0,
            answered: BTreeMap::new(),
            ended: BTreeSet::new(),
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        for caller in 0..self.case.callers {
            let at = self.rng.random_range(PAUSE);
            self.plan(at, Step::Send { copy: 0 }, Request { caller, number: 0 });
        }
        let began = self.scene.now;
        while let Some(((at, _), (step, request))) = self.steps.pop_first() {
            self.scene.now = began + Duration::from_millis(at);
            match step {
                Step::Send { copy } => self.send(request, copy, at),
                Step::Answer => self.answer(request, at),
                Step::Read => self.read(request, at),
                Step::ReadAck => self.read_ack(request),
            }
            self.observe(at);
        }
        self.outcome
    }

    fn plan(&mut self, at: u64, step: Step, request: Request) {
        if at < LENGTH {
            self.steps.insert((at, self.next_step), (step, request));
            self.next_step += 1;
        }
    }

    fn is_dead(&self, id: u64, at: u64) -> bool {
        id <= self.case.dying && at >= DEATH
    }

    /// Whether the caller still waits for the answer to a request.
    fn is_awaited(&self, request: Request) -> bool {
        let answered = self.answered.get(&request.caller).copied();
        answered.unwrap_or(0) == request.number && !self.ended.contains(&request.caller)
    }

    /// When the daemon reads a packet that arrives at a time.
    fn read_at(&self, at: u64) -> u64 {
        let stalled = self.case.stalled.iter().find(|stall| stall.contains(&at));
        stalled.map_or(at, |stall| stall.end)
    }

    fn send(&mut self, request: Request, copy: usize, at: u64) {
        if !self.is_awaited(request) {
            return;
        }
        self.plan(self.read_at(at), Step::Read, request);
        if let Some(timeout) = RETRANSMISSION_TIMEOUTS.get(copy) {
            self.plan(at + timeout, Step::Send { copy: copy + 1 }, request);
        }
    }

    fn read(&mut self, request: Request, at: u64) {
        let id = request.upstream();
        let position = 1 + request.number * BYTES;
        let len = BYTES as u16;
        match self
            .scene
            .request(request.caller, id, position, position, len)
        {
            Verdict::Forward { .. } => (),
            Verdict::Reset(ResetReason::DeadUpstream) => {
                if self.ended.insert(request.caller) && !self.is_dead(id, at) {
                    self.outcome.false_resets += 1;
                }
                return;
            }
            other => panic!("{other:?}"),
        }
        let is_lost = self.case.lost.iter().any(|jam| jam.contains(&at));
        let queued = self.case.queued.iter().find(|jam| jam.contains(&at));
        let arrives = queued.map_or(at, |jam| jam.end) + 1;
        if !is_lost && !self.is_dead(id, arrives) {
            let answered = arrives + self.rng.random_range(SERVICE_TIME);
            self.plan(answered, Step::Answer, request);
        }
    }

    fn answer(&mut self, request: Request, at: u64) {
        if !self.is_awaited(request) {
            return;
        }
        let next = Request {
            number: request.number + 1,
            ..request
        };
        self.answered.insert(next.caller, next.number);
        if !self.case.delays_acks {
            self.plan(self.read_at(at), Step::ReadAck, request);
        }
        let pause = self.rng.random_range(PAUSE);
        self.plan(at + pause, Step::Send { copy: 0 }, next);
    }

    fn read_ack(&mut self, request: Request) {
        let position = 1 + (request.number + 1) * BYTES;
        let id = request.upstream();
        self.scene
            .request(request.caller, id, position, position, 0);
    }

    fn observe(&mut self, at: u64) {
        for change in self.scene.balancer.take_health_changes() {
            let HealthChange::Dead(id) = change else {
                continue;
            };
            if self.is_dead(id.0, at) && self.outcome.found.insert(id) {
                self.outcome.found_after.push(at - DEATH);
            }
        }
    }
}

/// One span of time.
fn span(from: u64, length: u64) -> Vec<Range<u64>> {
    std::iter::once(from..from + length).collect()
}

fn cases() -> Vec<Case> {
    let case = |name, callers| Case {
        name,
        callers,
        ..Case::default()
    };
    let jams = |length| [span(4_000, length), span(12_000, length)].concat();
    vec![
        case("calm", 200),
        Case {
            dying: 1,
            ..case("1 of 20 dies", 200)
        },
        Case {
            dying: 1,
            ..case("1 of 20 dies, few callers", 40)
        },
        Case {
            dying: 6,
            ..case("6 of 20 die", 200)
        },
        Case {
            dying: 15,
            ..case("15 of 20 die", 200)
        },
        Case {
            dying: 1,
            delays_acks: true,
            ..case("1 of 20 dies, late acks", 200)
        },
        Case {
            queued: jams(1_500),
            delays_acks: true,
            ..case("link queues for 1.5 s, late acks", 200)
        },
        Case {
            queued: jams(800),
            ..case("link queues for 0.8 s", 200)
        },
        Case {
            queued: jams(1_500),
            ..case("link queues for 1.5 s", 200)
        },
        Case {
            lost: jams(220),
            ..case("link loses for 0.22 s", 200)
        },
        Case {
            lost: jams(700),
            ..case("link loses for 0.7 s", 200)
        },
        Case {
            lost: jams(800),
            ..case("link loses for 0.8 s", 200)
        },
        Case {
            lost: jams(1_500),
            ..case("link loses for 1.5 s", 200)
        },
        Case {
            queued: jams(1_500),
            ..case("link queues for 1.5 s, few callers", 40)
        },
        Case {
            lost: jams(1_500),
            ..case("link loses for 1.5 s, few callers", 40)
        },
        Case {
            stalled: jams(1_500),
            ..case("daemon stalls for 1.5 s", 200)
        },
        Case {
            queued: vec![4_000..4_700, 12_000..12_700],
            stalled: vec![4_400..5_300, 12_400..13_300],
            ..case("link queues, then daemon stalls", 200)
        },
        Case {
            dying: 1,
            queued: span(6_800, 1_100),
            ..case("1 of 20 dies after a queue of 1.1 s", 200)
        },
        Case {
            dying: 1,
            queued: span(8_200, 1_100),
            ..case("1 of 20 dies before a queue of 1.1 s", 200)
        },
    ]
}

/// Row of the table: the outcomes of a case with several seeds.
fn row(case: &Case) -> String {
    let outcomes: Vec<_> = (0..SEEDS)
        .map(|seed| Model::new(case.clone(), seed).run())
        .collect();
    let false_resets: usize = outcomes.iter().map(|o| o.false_resets).sum();
    let mut found_after: Vec<_> = outcomes.into_iter().flat_map(|o| o.found_after).collect();
    found_after.sort_unstable();
    let found = format!("{} of {}", found_after.len(), case.dying * SEEDS);
    let median = found_after.get(found_after.len() / 2);
    let times = median.zip(found_after.last());
    let times = times.map_or_else(String::new, |(median, max)| format!("{median:>8} {max:>8}"));
    let row = format!("{:<36} {false_resets:>12} {found:>10} {times}", case.name);
    row.trim_end().to_owned()
}

/// Callers of live upstreams were reset by daemons whose links were full of configuration for other daemons.
#[test]
fn a_jam_of_the_own_link_is_not_the_death_of_an_upstream() {
    let head = format!(
        "{:<36} {:>12} {:>10} {:>8} {:>8}",
        "case", "false resets", "found", "ms", "max ms"
    );
    let rows = cases();
    let rows = rows.iter().map(row);
    let table: Vec<_> = std::iter::once(head).chain(rows).collect();
    insta::assert_snapshot!(table.join("\n"));
}
