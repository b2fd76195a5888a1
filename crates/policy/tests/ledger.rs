//! At-most-once execution under copies, lost answers, eviction and hand-over.

use foxtailhinge_policy::ledger::{
    Begin,
    FlowLedger,
    LedgerRecord,
    RunOutcome,
    RunRecord,
    EPOCH_FIRST,
    EPOCH_LAST,
    MAX_RUNS,
    RETENTION, //
};
use quickcheck::{
    Arbitrary,
    Gen,
    QuickCheck, //
};
use rstest::rstest;
use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

const SECOND: Duration = Duration::from_secs(1);
const TOKEN: &[u8] = b"a";

fn answer(byte: u8) -> Rc<[u8]> {
    Rc::from([byte])
}

/// Returns a flow with one run in progress, and the time at which the run began.
fn running() -> (FlowLedger, Instant) {
    let now = Instant::now();
    let mut ledger = FlowLedger::new();
    assert_eq!(ledger.begin(TOKEN, EPOCH_FIRST, now), Begin::Run);
    ledger.mark_sent(TOKEN);
    (ledger, now)
}

#[test]
fn a_copy_joins_then_gets_the_first_answer() {
    let (mut ledger, now) = running();
    assert_eq!(ledger.begin(TOKEN, EPOCH_FIRST, now), Begin::Join);
    assert_eq!(ledger.answer_epoch(), EPOCH_FIRST + 1);
    assert_eq!(ledger.finish(TOKEN, answer(1), now), EPOCH_FIRST + 1);
    assert_eq!(ledger.epoch(), EPOCH_FIRST + 1);
    assert_eq!(
        ledger.begin(TOKEN, EPOCH_FIRST, now),
        Begin::Answered(answer(1))
    );
}

#[test]
fn the_first_outcome_stays() {
    let (mut ledger, now) = running();
    ledger.finish(TOKEN, answer(1), now);
    ledger.finish(TOKEN, answer(2), now);
    ledger.mark_not_run(TOKEN);
    assert_eq!(
        ledger.begin(TOKEN, EPOCH_FIRST, now),
        Begin::Answered(answer(1))
    );
}

/// After "not run" the caller may send the request again with another token, so a late copy of the
/// first one must not run.
#[test]
fn a_copy_of_a_refused_request_is_refused_too() {
    let (mut ledger, now) = running();
    ledger.mark_not_run(TOKEN);
    assert_eq!(ledger.begin(TOKEN, EPOCH_FIRST, now), Begin::Refused);
    assert_eq!(ledger.begin(b"b", EPOCH_FIRST, now), Begin::Run);
    ledger.expire(now + RETENTION + 2 * SECOND);
    assert_eq!(ledger.begin(TOKEN, EPOCH_FIRST, now), Begin::Expired);
}

#[rstest]
#[case::within_the_retention(RETENTION, Begin::Answered(answer(1)))]
#[case::past_the_retention(RETENTION + 2 * SECOND, Begin::Expired)]
#[case::much_later(RETENTION * 1000, Begin::Expired)]
fn a_copy_after_the_expiry(#[case] age: Duration, #[case] begin: Begin) {
    let (mut ledger, now) = running();
    ledger.finish(TOKEN, answer(1), now);
    ledger.expire(now + age);
    assert_eq!(ledger.begin(TOKEN, EPOCH_FIRST, now + age), begin);
    assert_eq!(ledger.begin(b"b", ledger.epoch(), now + age), Begin::Run);
}

#[test]
fn a_run_in_progress_is_never_evicted() {
    let (mut ledger, now) = running();
    ledger.expire(now + RETENTION * 1000);
    assert_eq!(ledger.begin(TOKEN, EPOCH_FIRST, now), Begin::Join);
    assert_eq!(ledger.in_progress(), 1);
}

/// A copy that carried a newer ticket must not run either, once the run is evicted.
#[test]
fn eviction_covers_the_newest_ticket_seen_with_a_token() {
    let (mut ledger, now) = running();
    ledger.finish(TOKEN, answer(1), now);
    ledger.begin(TOKEN, EPOCH_FIRST + 1, now);
    ledger.expire(now + RETENTION + 2 * SECOND);
    assert_eq!(ledger.begin(TOKEN, EPOCH_FIRST + 1, now), Begin::Expired);
    assert!(ledger.epoch() > ledger.forgotten());
}

#[test]
fn when_full_the_oldest_finished_run_is_evicted() {
    let now = Instant::now();
    let mut ledger = FlowLedger::new();
    for token in 0..MAX_RUNS as u8 {
        let epoch = ledger.epoch();
        assert_eq!(ledger.begin(&[token], epoch, now), Begin::Run);
        ledger.finish(&[token], answer(token), now + u32::from(token) * SECOND);
    }
    let epoch = ledger.epoch();
    assert_eq!(ledger.begin(b"new", epoch, now), Begin::Run);
    assert_eq!(ledger.begin(&[0], EPOCH_FIRST, now), Begin::Expired);
    assert_eq!(
        ledger.begin(&[1], EPOCH_FIRST + 1, now),
        Begin::Answered(answer(1))
    );
}

#[test]
fn when_all_are_in_progress_a_request_is_refused_and_never_runs() {
    let now = Instant::now();
    let mut ledger = FlowLedger::new();
    for token in 0..MAX_RUNS as u8 {
        assert_eq!(ledger.begin(&[token], EPOCH_FIRST, now), Begin::Run);
    }
    assert_eq!(ledger.begin(b"new", EPOCH_FIRST, now), Begin::Full);
    ledger.finish(&[0], answer(0), now);
    assert_eq!(ledger.begin(b"new", EPOCH_FIRST, now), Begin::Expired);
    assert_eq!(ledger.begin(&[1], EPOCH_FIRST, now), Begin::Join);
    assert_eq!(ledger.begin(b"again", ledger.epoch(), now), Begin::Run);
}

/// After a hand-over the old owner finishes its runs and starts no new ones, and the new owner does
/// not run them again.
#[test]
fn hand_over() {
    let (mut old, now) = running();
    old.begin(b"done", EPOCH_FIRST, now);
    old.finish(b"done", answer(1), now);
    old.begin(b"refused", EPOCH_FIRST, now);
    old.mark_not_run(b"refused");
    let record = old.export();
    insta::assert_debug_snapshot!(record);

    let mut new = FlowLedger::import(record, now);
    assert_eq!(new.epoch(), old.epoch());
    assert_eq!(new.begin(TOKEN, EPOCH_FIRST, now), Begin::Elsewhere);
    assert_eq!(
        new.begin(b"done", EPOCH_FIRST, now),
        Begin::Answered(answer(1))
    );
    assert_eq!(new.begin(b"refused", EPOCH_FIRST, now), Begin::Refused);
    assert_eq!(new.begin(b"new", EPOCH_FIRST, now), Begin::Run);

    assert_eq!(old.begin(b"new", EPOCH_FIRST, now), Begin::Elsewhere);
    assert_eq!(old.begin(TOKEN, EPOCH_FIRST, now), Begin::Join);
    old.finish(TOKEN, answer(2), now);
    assert_eq!(
        old.begin(TOKEN, EPOCH_FIRST, now),
        Begin::Answered(answer(2))
    );
}

/// A request that was not sent to the upstream before the hand-over runs only at the next owner.
#[test]
fn a_waiting_request_is_not_handed_over() {
    let now = Instant::now();
    let mut old = FlowLedger::new();
    assert_eq!(old.begin(TOKEN, EPOCH_FIRST, now), Begin::Run);
    assert_eq!(old.begin(TOKEN, EPOCH_FIRST, now), Begin::Join);
    let mut new = FlowLedger::import(old.export(), now);
    assert_eq!(old.begin(TOKEN, EPOCH_FIRST, now), Begin::Elsewhere);
    assert_eq!(new.begin(TOKEN, EPOCH_FIRST, now), Begin::Run);
    assert_eq!(new.begin(TOKEN, EPOCH_FIRST, now), Begin::Join);
}

#[test]
fn a_run_at_the_previous_owner_is_evicted_like_a_finished_one() {
    let (mut old, now) = running();
    let mut new = FlowLedger::import(old.export(), now);
    new.expire(now + RETENTION + 2 * SECOND);
    assert_eq!(new.begin(TOKEN, EPOCH_FIRST, now), Begin::Expired);
}

/// A request that was redirected to another upstream is refused neither here nor at the next owner,
/// and its outcome may still arrive.
#[test]
fn a_redirected_request() {
    let (mut ledger, now) = running();
    ledger.mark_moved(TOKEN);
    ledger.mark_not_run(TOKEN);
    assert_eq!(ledger.begin(TOKEN, EPOCH_FIRST, now), Begin::Moved);
    assert_eq!(ledger.in_progress(), 0);
    let mut next = FlowLedger::import(ledger.export(), now);
    assert_eq!(next.begin(TOKEN, EPOCH_FIRST, now), Begin::Moved);
    ledger.finish(TOKEN, answer(1), now);
    ledger.mark_moved(TOKEN);
    let begin = ledger.begin(TOKEN, EPOCH_FIRST, now);
    assert_eq!(begin, Begin::Answered(answer(1)));
}

#[rstest]
#[case::first(EPOCH_FIRST)]
#[case::later(70)]
#[case::past_the_end(u32::MAX)]
fn a_flow_resumed_from_a_ticket_runs_nothing_of_it(#[case] epoch: u32) {
    let now = Instant::now();
    let mut ledger = FlowLedger::resume(epoch);
    assert_eq!(
        ledger.begin(TOKEN, epoch.min(EPOCH_LAST), now),
        Begin::Expired
    );
    assert_eq!(ledger.epoch(), epoch.min(EPOCH_LAST - 1) + 1);
}

/// A peer may hand over more runs than fit into a ledger, or epochs past the last one.
#[test]
fn an_oversized_record_stays_bounded() {
    let now = Instant::now();
    let run = |token: u16| RunRecord {
        token: token.to_be_bytes().to_vec(),
        epoch: u32::from(token) + 1,
        outcome: RunOutcome::Refused,
    };
    let record = LedgerRecord {
        epoch: u32::MAX,
        forgotten: 0,
        runs: (0..1000).map(run).collect(),
    };
    let mut ledger = FlowLedger::import(record, now);
    assert_eq!(ledger.epoch(), EPOCH_LAST);
    assert_eq!(ledger.export().runs.len(), MAX_RUNS);
    let mut copy = FlowLedger::import(ledger.export(), now);
    assert_eq!(copy.begin(&[0, 0], 1, now), Begin::Expired);
    assert_eq!(copy.begin(&[3, 231], 1000, now), Begin::Refused);
}

/// An owner holds 8,750 flows with 200 B for each, which leaves little room for a ledger.
#[test]
fn a_ledger_without_runs_is_small() {
    assert!(size_of::<FlowLedger>() <= 64, "{}", size_of::<FlowLedger>());
}

/// In the last epoch requests still run, until a run of it is evicted; then no request runs on this
/// flow.
#[test]
fn the_last_epoch() {
    let now = Instant::now();
    let record = LedgerRecord {
        epoch: EPOCH_LAST - 1,
        forgotten: 0,
        runs: Vec::new(),
    };
    let mut ledger = FlowLedger::import(record, now);
    assert!(!ledger.is_exhausted());
    assert_eq!(ledger.begin(TOKEN, ledger.epoch(), now), Begin::Run);
    assert_eq!(ledger.finish(TOKEN, answer(1), now), EPOCH_LAST);
    assert!(ledger.is_exhausted());
    assert_eq!(ledger.answer_epoch(), EPOCH_LAST);
    assert_eq!(ledger.begin(b"b", EPOCH_LAST, now), Begin::Run);
    ledger.finish(b"b", answer(2), now);
    ledger.expire(now + RETENTION + 2 * SECOND);
    assert_eq!(ledger.begin(b"b", EPOCH_LAST, now), Begin::Expired);
    assert_eq!(ledger.begin(b"c", EPOCH_LAST, now), Begin::Expired);
}

/// One event of a flow.
#[derive(Clone, Debug)]
enum Step {
    /// The caller sends a request with its newest ticket, or with an older one.
    Send { age: u8 },
    /// A copy of an earlier request arrives at the current owner or a former one.
    Copy { request: u8, owner: u8 },
    /// The owner that queues a request sends it to the upstream.
    Run { request: u8 },
    /// The owner that runs a request answers it.
    Finish { request: u8 },
    /// An upstream refuses a request.
    NotRun { request: u8, owner: u8 },
    /// Time passes, and every owner evicts expired runs.
    Expire { seconds: u8 },
    /// The current owner hands the flow over.
    HandOver,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let request = u8::arbitrary(g);
        let owner = u8::arbitrary(g) % 3;
        match u8::arbitrary(g) % 20 {
            0..=5 => Self::Send { age: request % 4 },
            6..=8 => Self::Copy { request, owner },
            9..=12 => Self::Run { request },
            13..=15 => Self::Finish { request },
            16 => Self::NotRun { request, owner },
            17..=18 => Self::Expire { seconds: request },
            _ => Self::HandOver,
        }
    }
}

/// Actual state of a request, independent of what the ledgers store.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ActualState {
    NeverRan,
    WaitsAt(usize),
    RunsAt(usize),
    Ran,
    RefusedByUpstream,
}

struct Request {
    token: Vec<u8>,
    epoch: u32,
    state: ActualState,
    answered_not_run: bool,
}

/// Model of a flow: its owners, the current one last, and all requests, of which the network may
/// still deliver copies.
struct Flow {
    owners: Vec<FlowLedger>,
    now: Instant,
    requests: Vec<Request>,
    violations: Vec<String>,
}

impl Flow {
    fn new(epoch: u32) -> Self {
        let now = Instant::now();
        let record = LedgerRecord {
            epoch,
            forgotten: 0,
            runs: Vec::new(),
        };
        Self {
            owners: vec![FlowLedger::import(record, now)],
            now,
            requests: Vec::new(),
            violations: Vec::new(),
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Send { age } => self.send(age),
            Step::Copy { request, owner } => {
                if let Some(request) = self.pick(request) {
                    let owner = (self.owners.len() - 1).saturating_sub(owner.into());
                    self.arrive(request, owner);
                }
            }
            Step::Run { request } => self.run(request),
            Step::Finish { request } => self.finish(request),
            Step::NotRun { request, owner } => {
                if let Some(request) = self.pick(request) {
                    let owner = (self.owners.len() - 1).saturating_sub(owner.into());
                    self.refuse(request, owner);
                }
            }
            Step::Expire { seconds } => {
                self.now += u32::from(seconds) * SECOND;
                self.owners.iter_mut().for_each(|l| l.expire(self.now));
            }
            Step::HandOver => self.hand_over(),
        }
    }

    /// Requests that wait at the current owner are passed on to the next one, where they may arrive
    /// late.
    fn hand_over(&mut self) {
        let record = self.owners.last_mut().unwrap().export();
        let waits = ActualState::WaitsAt(self.owners.len() - 1);
        self.owners.push(FlowLedger::import(record, self.now));
        for request in &mut self.requests {
            if request.state == waits {
                request.state = ActualState::NeverRan;
            }
        }
    }

    fn pick(&self, request: u8) -> Option<usize> {
        usize::from(request).checked_rem(self.requests.len())
    }

    fn send(&mut self, age: u8) {
        let owner = self.owners.len() - 1;
        self.requests.push(Request {
            token: (self.requests.len() as u32).to_be_bytes().to_vec(),
            epoch: self.owners[owner].epoch().saturating_sub(age.into()),
            state: ActualState::NeverRan,
            answered_not_run: false,
        });
        self.arrive(self.requests.len() - 1, owner);
    }

    fn arrive(&mut self, index: usize, owner: usize) {
        let request = &mut self.requests[index];
        let begin = self.owners[owner].begin(&request.token, request.epoch, self.now);
        let sound = match begin {
            Begin::Run => request.state == ActualState::NeverRan && !request.answered_not_run,
            Begin::Join => {
                request.state == ActualState::WaitsAt(owner)
                    || request.state == ActualState::RunsAt(owner)
            }
            Begin::Answered(_) => request.state == ActualState::Ran,
            Begin::Refused => request.state == ActualState::RefusedByUpstream,
            Begin::Full => request.state == ActualState::NeverRan,
            Begin::Expired | Begin::Elsewhere | Begin::Moved => true,
        };
        if !sound {
            let state = request.state;
            self.violations
                .push(format!("request {index}: {begin:?} when {state:?}"));
        }
        match begin {
            Begin::Run => request.state = ActualState::WaitsAt(owner),
            Begin::Full | Begin::Refused => request.answered_not_run = true,
            _ => (),
        }
    }

    fn run(&mut self, request: u8) {
        let Some(request) = self.pick(request) else {
            return;
        };
        let request = &mut self.requests[request];
        if let ActualState::WaitsAt(owner) = request.state {
            self.owners[owner].mark_sent(&request.token);
            request.state = ActualState::RunsAt(owner);
        }
    }

    fn finish(&mut self, request: u8) {
        let Some(request) = self.pick(request) else {
            return;
        };
        let request = &mut self.requests[request];
        if let ActualState::RunsAt(owner) = request.state {
            self.owners[owner].finish(&request.token, answer(0), self.now);
            request.state = ActualState::Ran;
        }
    }

    fn refuse(&mut self, request: usize, owner: usize) {
        let request = &mut self.requests[request];
        self.owners[owner].mark_not_run(&request.token);
        if request.state == ActualState::WaitsAt(owner)
            || request.state == ActualState::RunsAt(owner)
        {
            request.state = ActualState::RefusedByUpstream;
            request.answered_not_run = true;
        }
    }
}

/// In any order of copies, answers, refusals, evictions and hand-overs, a request runs at most once,
/// and a request that was answered "not run" never runs.
#[rstest]
#[case::from_the_first_epoch(EPOCH_FIRST)]
#[case::through_the_last_epoch(EPOCH_LAST - 20)]
fn any_interleaving_is_sound(#[case] epoch: u32) {
    let property = move |steps: Vec<Step>| {
        let mut flow = Flow::new(epoch);
        steps.iter().for_each(|step| flow.step(step));
        assert_eq!(flow.violations, Vec::<String>::new());
    };
    let gen = Gen::from_size_and_seed(600, 1);
    QuickCheck::new()
        .rng(gen)
        .tests(1500)
        .quickcheck(Property(property));
}

/// A property that captures the first epoch.
struct Property<F>(F);

impl<F: Fn(Vec<Step>) + 'static> quickcheck::Testable for Property<F> {
    fn result(&self, g: &mut Gen) -> quickcheck::TestResult {
        (self.0)(Vec::arbitrary(g));
        quickcheck::TestResult::passed()
    }
}
