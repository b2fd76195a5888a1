//! At-most-once execution of requests that are not idempotent.
//!
//! The owner of an upstream keeps one ledger for each flow. Each run (the execution of one request)
//! is stored under the token of its request until [`RETENTION`] has passed since it ended. When a run
//! is evicted, the flow's forgotten epoch is raised to the epoch of the run's ticket. A late copy
//! carries the same ticket, so it is refused instead of run. Correctness depends on epochs alone;
//! the retention time only bounds memory.

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

/// How long a finished run is kept.
pub const RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of runs stored for one flow.
pub const MAX_RUNS: usize = 64;

/// Epoch of a new flow.
pub const EPOCH_FIRST: u32 = 1;

/// Last epoch of a flow; tickets carry epochs of 24 bits.
pub const EPOCH_LAST: u32 = 0x00ff_ffff;

/// At-most-once ledger of one flow.
#[derive(Clone, Debug)]
pub struct FlowLedger {
    epoch: u32,
    forgotten: u32,
    handed_over: bool,
    /// Boxed because most flows have no runs most of the time and then need only one pointer.
    runs: Option<Box<RunList>>,
}

/// Decision on a request that is not idempotent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin {
    /// Call [`FlowLedger::mark_sent`] and send the request to the upstream; then call
    /// [`FlowLedger::finish`] or [`FlowLedger::mark_not_run`].
    Run,
    /// Drop the request: the first copy is still in progress, and its answer serves both.
    Join,
    /// Send the stored answer of the first copy.
    Answered(Rc<[u8]>),
    /// Refuse the request with "not run", like the first copy.
    Refused,
    /// Answer that the outcome is unknown: runs of the request's ticket may have been evicted.
    Expired,
    /// Drop the request or pass it to the other owner: it runs at the previous owner, or the flow
    /// was handed over.
    Elsewhere,
    /// Send the request to another upstream again: the first copy was sent there to open a flow,
    /// and did not run here.
    Moved,
    /// Refuse the request with "not run": the ledger is full of runs in progress. Copies of the
    /// request will be [`Begin::Expired`].
    Full,
}

/// Outcome of a run, as handed over to the next owner.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum RunOutcome {
    /// Still in progress at the previous owner, which will answer it.
    Elsewhere,
    /// Answered with this datagram.
    Answered(Vec<u8>),
    /// Refused with "not run".
    Refused,
    /// Not run; its caller was redirected to another upstream.
    Moved,
}

/// A run, as handed over to the next owner.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RunRecord {
    /// Token of the request.
    pub token: Vec<u8>,
    /// Epoch of the ticket that the request carried.
    pub epoch: u32,
    /// Outcome as far as the previous owner knows it.
    pub outcome: RunOutcome,
}

/// A ledger, as handed over to the next owner.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct LedgerRecord {
    /// Epoch of the flow.
    pub epoch: u32,
    /// Highest epoch whose runs may have been evicted.
    pub forgotten: u32,
    /// Runs, oldest first.
    pub runs: Vec<RunRecord>,
}

#[derive(Clone, Debug, Default)]
struct RunList {
    runs: Vec<Run>,
}

impl RunList {
    /// Imports runs that were handed over; their age is measured from `now`.
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
    /// End of an answered run, start of any other.
    at: CoarseInstant,
    state: RunState,
}

#[derive(Clone, Debug)]
enum RunState {
    /// Not sent to the upstream yet.
    Waiting,
    InProgress,
    /// In progress at the previous owner.
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
    /// Creates the ledger of a new flow.
    pub fn new() -> Self {
        Self {
            epoch: EPOCH_FIRST,
            forgotten: 0,
            handed_over: false,
            runs: None,
        }
    }

    /// Current epoch, for tickets in messages other than the answer to a run.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Epoch for the ticket in the next answer to a run; [`FlowLedger::finish`] advances to it.
    pub fn answer_epoch(&self) -> u32 {
        next(self.epoch)
    }

    /// Highest epoch whose runs may have been evicted.
    pub fn forgotten(&self) -> u32 {
        self.forgotten
    }

    /// Whether the flow has used up its epochs and should be closed.
    ///
    /// Requests still run until a run of the last epoch is evicted; then each new one is
    /// [`Begin::Expired`]. Close the flow on an idempotent request: if a request that is not
    /// idempotent were refused, the caller would repeat it in its next flow.
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

    /// Decides on a request by its token and the epoch of its ticket.
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
        if self.runs().len() >= MAX_RUNS && !self.evict_oldest() {
            self.expire_epoch(ticket_epoch);
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

    /// Records that the request is sent to the upstream now; from then on it may have run.
    pub fn mark_sent(&mut self, token: &[u8]) {
        if let Some(run) = self.find(token).filter(|run| run.is_waiting()) {
            run.state = RunState::InProgress;
        }
    }

    /// Stores the answer of a run, advances the epoch and returns it.
    ///
    /// An answer that says that the outcome is unknown is stored like any other. A run that was
    /// already refused or answered keeps its first outcome.
    pub fn finish(&mut self, token: &[u8], answer: Rc<[u8]>, now: Instant) -> u32 {
        let at = CoarseInstant::at(now);
        if let Some(run) = self.find(token).filter(|run| run.is_pending()) {
            run.state = RunState::Answered(answer);
            run.at = at;
        }
        self.epoch = next(self.epoch);
        self.epoch
    }

    /// Records that the upstream answered "not run" and that the caller gets this answer.
    ///
    /// Has no effect on a run of the previous owner, because only that owner receives its outcome.
    /// Later copies are [`Begin::Refused`], because the caller may send the request again with
    /// another token. To try another upstream first, do so before this call.
    pub fn mark_not_run(&mut self, token: &[u8]) {
        if let Some(run) = self.find(token).filter(|run| run.is_in_progress()) {
            run.state = RunState::Refused;
        }
    }

    /// Records that the request did not run and its caller was redirected to another upstream.
    /// Later copies are [`Begin::Moved`].
    pub fn mark_moved(&mut self, token: &[u8]) {
        if let Some(run) = self.find(token).filter(|run| run.is_pending()) {
            run.state = RunState::Moved;
        }
    }

    /// Creates the ledger of an existing flow of which only a ticket with this epoch is known.
    /// Requests with that ticket do not run.
    pub fn resume(ticket_epoch: u32) -> Self {
        let mut ledger = Self::new();
        ledger.expire_epoch(ticket_epoch.min(EPOCH_LAST));
        ledger
    }

    /// Evicts runs that ended more than [`RETENTION`] ago.
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
        self.expire_epoch(forgotten);
    }

    /// Exports the ledger for another owner. Afterwards no new request runs here; runs in progress
    /// still finish here.
    ///
    /// Removes requests that were not sent to the upstream yet: the caller of this method must pass
    /// them on to the other owner.
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

    /// Imports a ledger from the previous owner; the age of its runs is measured from `now`.
    pub fn import(record: LedgerRecord, now: Instant) -> Self {
        let mut ledger = Self {
            epoch: record.epoch.clamp(EPOCH_FIRST, EPOCH_LAST),
            forgotten: record.forgotten.min(EPOCH_LAST),
            runs: RunList::of(record.runs, now),
            ..Self::new()
        };
        while ledger.runs().len() > MAX_RUNS && ledger.evict_oldest() {}
        ledger
    }

    fn find(&mut self, token: &[u8]) -> Option<&mut Run> {
        let list = self.runs.as_mut()?;
        list.runs.iter_mut().find(|run| run.token[..] == *token)
    }

    fn evict_oldest(&mut self) -> bool {
        let ended = self
            .runs()
            .iter()
            .enumerate()
            .filter(|(_, run)| !run.is_in_progress());
        let Some((oldest, _)) = ended.min_by_key(|(_, run)| run.at) else {
            return false;
        };
        let run = self.runs_mut().remove(oldest);
        self.expire_epoch(run.epoch);
        true
    }

    /// Refuses new runs of tickets up to `epoch`, and advances the flow's epoch past it so that the
    /// next ticket is accepted.
    fn expire_epoch(&mut self, epoch: u32) {
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
