//! At-most-once execution of requests that are not idempotent.
//!
//! The owner keeps one ledger for each flow. A run is remembered by the token of its request until
//! [`RETENTION`] has passed since it ended; forgetting it raises the flow's forgotten epoch to that of
//! its ticket, so that a late copy, which carries the same ticket, is refused instead of run.
//! Correctness rests on epochs alone; the time only bounds memory.

use crate::coarse_time::CoarseInstant;
use bincode::{
    Decode,
    Encode, //
};
use smallvec::SmallVec;
use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// How long a finished run is remembered.
pub const RETENTION: Duration = Duration::from_secs(60);

/// Most runs that one flow remembers.
pub const MAX_RUNS: usize = 64;

/// Epoch of a new flow.
pub const EPOCH_FIRST: u32 = 1;

/// Last epoch of a flow; tickets carry 24 bits.
pub const EPOCH_LAST: u32 = 0x00ff_ffff;

/// Runs of one flow.
#[derive(Clone, Debug)]
pub struct FlowLedger {
    epoch: u32,
    forgotten: u32,
    handed_over: bool,
    /// Most flows have no runs most of the time, so they cost one pointer.
    runs: Option<Box<RunList>>,
}

/// What to do with a request that is not idempotent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin {
    /// Send it to the upstream, after [`FlowLedger::mark_sent`]; [`FlowLedger::finish`] or
    /// [`FlowLedger::mark_not_run`] must follow.
    Run,
    /// Drop it: the first copy is still in progress and its answer answers this copy too.
    Join,
    /// Send the first copy's answer.
    Answered(Rc<[u8]>),
    /// Refuse it as not run, as the first copy was.
    Refused,
    /// Answer that its outcome is unknown: its ticket's right has ended.
    Expired,
    /// Drop it or pass it to the other owner: a run at the previous owner, or a flow that was
    /// handed over.
    Elsewhere,
    /// Ask another upstream again: the first copy went there to begin a flow, and did not run here.
    Moved,
    /// Refuse it as not run: as many runs as can be remembered are in progress. Its copies will be
    /// [`Begin::Expired`].
    Full,
}

/// Outcome of a run as it is handed over.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum RunOutcome {
    /// In progress at the previous owner, which answers it.
    Elsewhere,
    /// Answered with this datagram.
    Answered(Vec<u8>),
    /// Refused as not run.
    Refused,
    /// Not run; its caller was sent to another upstream.
    Moved,
}

/// A remembered run as it is handed over.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RunRecord {
    /// Token of the request.
    pub token: Vec<u8>,
    /// Epoch of the ticket that the request carried.
    pub epoch: u32,
    /// What is known of its outcome.
    pub outcome: RunOutcome,
}

/// A ledger as it is handed over.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct LedgerRecord {
    /// Epoch of the flow.
    pub epoch: u32,
    /// Highest epoch whose runs may have been forgotten.
    pub forgotten: u32,
    /// Remembered runs, oldest first.
    pub runs: Vec<RunRecord>,
}

#[derive(Clone, Debug, Default)]
struct RunList {
    runs: Vec<Run>,
}

impl RunList {
    /// Runs that were handed over; their age counts from `now`.
    fn of(records: Vec<RunRecord>, now: Instant) -> Option<Box<RunList>> {
        let at = CoarseInstant::at(now);
        let runs: Vec<Run> = records.into_iter().map(|one| Run::of(one, at)).collect();
        (!runs.is_empty()).then(|| Box::new(RunList { runs }))
    }
}

#[derive(Clone, Debug)]
struct Run {
    token: SmallVec<[u8; 8]>,
    epoch: u32,
    /// When: of the end for answered runs, of the beginning for others.
    at: CoarseInstant,
    state: RunState,
}

#[derive(Clone, Debug)]
enum RunState {
    /// Begun, but not sent to the upstream yet.
    Waiting,
    InProgress,
    Elsewhere,
    Moved,
    Answered(Rc<[u8]>),
    Refused,
}

impl Run {
    fn is_waiting(&self) -> bool {
        matches!(self.state, RunState::Waiting)
    }

    fn is_in_progress(&self) -> bool {
        matches!(self.state, RunState::Waiting | RunState::InProgress)
    }

    fn is_pending(&self) -> bool {
        self.is_in_progress() || matches!(self.state, RunState::Elsewhere | RunState::Moved)
    }
}

impl Default for FlowLedger {
    fn default() -> Self {
        Self::new()
    }
}

impl FlowLedger {
    /// Begins the ledger of a new flow.
    pub fn new() -> Self {
        Self {
            epoch: EPOCH_FIRST,
            forgotten: 0,
            handed_over: false,
            runs: None,
        }
    }

    /// The current epoch, for tickets that do not answer a run.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// The epoch for the ticket in the next answer to a run, the one that [`FlowLedger::finish`]
    /// advances to.
    pub fn answer_epoch(&self) -> u32 {
        next(self.epoch)
    }

    /// Highest epoch whose runs may have been forgotten.
    pub fn forgotten(&self) -> u32 {
        self.forgotten
    }

    /// Whether the flow has used up its epochs and should be given up.
    ///
    /// Runs go on until the last epoch is forgotten, then each new one is [`Begin::Expired`]. Give
    /// the flow up on an idempotent request: a refused one that is not idempotent would be repeated
    /// in the caller's next flow.
    pub fn is_exhausted(&self) -> bool {
        self.epoch == EPOCH_LAST
    }

    /// Number of runs in progress here.
    pub fn in_progress(&self) -> usize {
        self.runs()
            .iter()
            .filter(|run| run.is_in_progress())
            .count()
    }

    /// Decides about a request by its token and the epoch of its ticket.
    pub fn begin(&mut self, token: &[u8], ticket_epoch: u32, now: Instant) -> Begin {
        if let Some(run) = self.find(token) {
            run.epoch = run.epoch.max(ticket_epoch);
            return match &run.state {
                RunState::Waiting | RunState::InProgress => Begin::Join,
                RunState::Elsewhere => Begin::Elsewhere,
                RunState::Moved => Begin::Moved,
                RunState::Answered(answer) => Begin::Answered(Rc::clone(answer)),
                RunState::Refused => Begin::Refused,
            };
        }
        if self.handed_over {
            return Begin::Elsewhere;
        }
        if ticket_epoch <= self.forgotten {
            return Begin::Expired;
        }
        self.epoch = self.epoch.max(ticket_epoch.min(EPOCH_LAST));
        if self.runs().len() >= MAX_RUNS && !self.forget_oldest() {
            self.forget_epoch(ticket_epoch);
            return Begin::Full;
        }
        self.runs_mut().push(Run {
            token: SmallVec::from_slice(token),
            epoch: ticket_epoch,
            at: CoarseInstant::at(now),
            state: RunState::Waiting,
        });
        Begin::Run
    }

    /// Remembers that the request is sent to the upstream now, so that it may have run.
    pub fn mark_sent(&mut self, token: &[u8]) {
        if let Some(run) = self.find(token).filter(|run| run.is_waiting()) {
            run.state = RunState::InProgress;
        }
    }

    /// Remembers the answer of a run and advances the epoch, which it returns.
    ///
    /// An unknown outcome is an answer too. A run that was refused or answered before keeps its
    /// first outcome.
    pub fn finish(&mut self, token: &[u8], answer: Rc<[u8]>, now: Instant) -> u32 {
        let at = CoarseInstant::at(now);
        if let Some(run) = self.find(token).filter(|run| run.is_pending()) {
            run.state = RunState::Answered(answer);
            run.at = at;
        }
        self.epoch = next(self.epoch);
        self.epoch
    }

    /// Remembers that the upstream said "not run" and that the caller is told so.
    ///
    /// Has no effect on a run of the previous owner, which alone hears its outcome. Copies that
    /// come later are [`Begin::Refused`], since the caller may ask again with another token. To try
    /// another upstream first, do so before this call.
    pub fn mark_not_run(&mut self, token: &[u8]) {
        if let Some(run) = self.find(token).filter(|run| run.is_in_progress()) {
            run.state = RunState::Refused;
        }
    }

    /// Remembers that the request did not run and its caller was sent to another upstream; copies
    /// that come here are [`Begin::Moved`].
    pub fn mark_moved(&mut self, token: &[u8]) {
        if let Some(run) = self.find(token).filter(|run| run.is_pending()) {
            run.state = RunState::Moved;
        }
    }

    /// Takes over a flow of which nothing is known but a ticket with this epoch; no run of that
    /// ticket is let through.
    pub fn resume(ticket_epoch: u32) -> Self {
        let mut ledger = Self::new();
        ledger.forget_epoch(ticket_epoch.min(EPOCH_LAST));
        ledger
    }

    /// Forgets runs that ended more than [`RETENTION`] ago.
    pub fn expire(&mut self, now: Instant) {
        let Some(list) = &mut self.runs else {
            return;
        };
        let mut forgotten = 0;
        list.runs.retain(|run| {
            let keep = run.is_in_progress() || run.at.elapsed_at(now) <= RETENTION;
            if !keep {
                forgotten = forgotten.max(run.epoch);
            }
            keep
        });
        if list.runs.is_empty() {
            self.runs = None;
        }
        self.forget_epoch(forgotten);
    }

    /// Gives the ledger to another owner; from now on nothing new runs here, while runs in progress
    /// still end here.
    ///
    /// Requests that were not sent yet are forgotten: they must be passed on to the other owner.
    pub fn export(&mut self) -> LedgerRecord {
        self.handed_over = true;
        if let Some(list) = &mut self.runs {
            list.runs.retain(|run| !run.is_waiting());
        }
        LedgerRecord {
            epoch: self.epoch,
            forgotten: self.forgotten,
            runs: self.runs().iter().map(RunRecord::from).collect(),
        }
    }

    /// Takes over a ledger; the age of its runs counts from now.
    pub fn import(record: LedgerRecord, now: Instant) -> Self {
        let mut ledger = Self {
            epoch: record.epoch.clamp(EPOCH_FIRST, EPOCH_LAST),
            forgotten: record.forgotten.min(EPOCH_LAST),
            runs: RunList::of(record.runs, now),
            ..Self::new()
        };
        while ledger.runs().len() > MAX_RUNS && ledger.forget_oldest() {}
        ledger
    }

    fn find(&mut self, token: &[u8]) -> Option<&mut Run> {
        let list = self.runs.as_mut()?;
        list.runs.iter_mut().find(|run| run.token[..] == *token)
    }

    fn forget_oldest(&mut self) -> bool {
        let ended = self
            .runs()
            .iter()
            .enumerate()
            .filter(|(_, run)| !run.is_in_progress());
        let Some((oldest, _)) = ended.min_by_key(|(_, run)| run.at) else {
            return false;
        };
        let run = self.runs_mut().remove(oldest);
        self.forget_epoch(run.epoch);
        true
    }

    /// Ends the right of tickets up to `epoch`, and moves the flow past it so that the next ticket
    /// is good again.
    fn forget_epoch(&mut self, epoch: u32) {
        self.forgotten = self.forgotten.max(epoch);
        if self.epoch <= self.forgotten {
            self.epoch = next(self.forgotten);
        }
    }

    fn runs(&self) -> &[Run] {
        self.runs.as_ref().map_or(&[], |list| &list.runs)
    }

    fn runs_mut(&mut self) -> &mut Vec<Run> {
        &mut self.runs.get_or_insert_default().runs
    }
}

fn next(epoch: u32) -> u32 {
    epoch.saturating_add(1).min(EPOCH_LAST)
}

impl From<&Run> for RunRecord {
    fn from(run: &Run) -> Self {
        let outcome = match &run.state {
            RunState::Waiting | RunState::InProgress | RunState::Elsewhere => RunOutcome::Elsewhere,
            RunState::Moved => RunOutcome::Moved,
            RunState::Answered(answer) => RunOutcome::Answered(answer.to_vec()),
            RunState::Refused => RunOutcome::Refused,
        };
        Self {
            token: run.token.to_vec(),
            epoch: run.epoch,
            outcome,
        }
    }
}

impl Run {
    fn of(record: RunRecord, at: CoarseInstant) -> Self {
        let state = match record.outcome {
            RunOutcome::Elsewhere => RunState::Elsewhere,
            RunOutcome::Moved => RunState::Moved,
            RunOutcome::Answered(answer) => RunState::Answered(answer.into()),
            RunOutcome::Refused => RunState::Refused,
        };
        Self {
            token: SmallVec::from_vec(record.token),
            epoch: record.epoch,
            at,
            state,
        }
    }
}
