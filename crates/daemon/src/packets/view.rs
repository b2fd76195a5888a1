//! This daemon's copy of the store's entries, and its age.

mod era;
mod log;
mod shared;

use self::log::{
    has_deadline,
    log_change,
    ChangeDelay, //
};
use super::metrics::PacketMetrics;
use crate::{
    logging::Event,
    metrics::PlatformResult,
    store::{
        ok_body,
        BackoffLimits,
        CallLimits,
        Client,
        Http1,
        Progress,
        Source,
        StoreError, //
    },
    wake::Wake,
};
use bytes::Bytes;
use foxtailhinge_config::packet_settings::PacketLimits;
use foxtailhinge_platform::store::{
    list_path,
    read_changes,
    read_list,
    watch_path,
    ReadConsistency,
    WAIT_MAX, //
};
use foxtailhinge_policy::packets::{
    directory::{
        Directory,
        Outcome, //
    },
    Answer,
    CallBudget,
    Freshness,
    Item,
    Missing,
    PollSchedule,
    Version, //
};
use futures::future::select;
use http::StatusCode;
use rand::Rng;
use std::{
    cell::{
        Cell,
        Ref,
        RefCell,
        RefMut, //
    },
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    task::Waker,
    time::{
        Duration,
        Instant, //
    },
};

/// Minimum wait of a watch that only has to confirm that nothing more has changed.
const CONFIRM_WAIT_MIN: Duration = Duration::from_millis(20);

/// Minimum and maximum back-off between calls while the store fails.
const BACKOFF: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(800)];

/// Interval between the starts of two watches of a daemon that reads for others: its answers determine the age of their
/// views.
const READER_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum wait of the watches of such a daemon, for the same reason.
const READER_WAIT: Duration = Duration::from_millis(1_500);

/// Shortest outage during which entries can lapse.
const OUTAGE_MIN: Duration = Duration::from_secs(1);

/// The directory of upstreams, zones and routes, and its age.
///
/// It is updated from the store, or from a reader of the zone.
#[derive(Debug)]
pub struct View {
    client: Client<Http1>,
    store: Cell<SocketAddr>,
    limits: RefCell<PacketLimits>,
    budget: Cell<CallBudget>,
    metrics: Rc<PacketMetrics>,
    directory: RefCell<Directory>,
    /// Version after which the next watch starts; `None` if the store has to be listed.
    position: Cell<Option<Version>>,
    /// Highest era seen in an answer of the store, or passed on by another daemon.
    era: Cell<u64>,
    /// Consistency of the next list: a stale one costs less, and a watch brings it up to date unless the store has lost
    /// the history in between.
    consistency: Cell<ReadConsistency>,
    failing_since: Cell<Option<Instant>>,
    /// When the last failed call began; the store may have been available since then.
    failed_call_began: Cell<Option<Instant>>,
    /// When the last call began.
    call_began: Cell<Option<Instant>>,
    /// When the last answer arrived on the open connection.
    heard: Cell<Option<Instant>>,
    schedule: RefCell<PollSchedule>,
    /// Set when the next call of the store may have become due earlier.
    call_due: Wake,
    /// Whether this daemon reads the store for others of its zone.
    is_reader: Cell<bool>,
    /// Whether the zone has a daemon that reads the store for this one.
    has_reader: Cell<bool>,
    /// How fresh the view is according to the reports of readers.
    freshness: Cell<Freshness>,
    /// Time up to which no change is missing, by the clock that advances while the VM is suspended.
    complete_as_of: Cell<Option<Duration>>,
    /// Number of calls of [`View::notify`] so far.
    answers: Cell<u64>,
    /// Tasks that wait in [`View::next_answer`].
    waiters: RefCell<Vec<Waker>>,
}

impl View {
    /// Creates an empty view of `store`.
    ///
    /// A lost answer is detected, and the call repeated, within `limits.notice`.
    pub fn new(store: SocketAddr, limits: PacketLimits, metrics: Rc<PacketMetrics>) -> Self {
        let budget = call_budget(&limits);
        Self {
            client: Client::new(call_limits(&budget)),
            schedule: RefCell::new(PollSchedule::new(budget.interval)),
            budget: Cell::new(budget),
            call_due: Wake::default(),
            is_reader: Cell::new(false),
            has_reader: Cell::new(false),
            freshness: Cell::default(),
            complete_as_of: Cell::new(None),
            answers: Cell::new(0),
            waiters: RefCell::default(),
            store: Cell::new(store),
            limits: RefCell::new(limits),
            metrics,
            directory: RefCell::default(),
            position: Cell::new(None),
            era: Cell::new(0),
            consistency: Cell::new(ReadConsistency::Stale),
            failing_since: Cell::new(None),
            failed_call_began: Cell::new(None),
            call_began: Cell::new(None),
            heard: Cell::new(None),
        }
    }

    /// Replaces the store's address and the limits from the next call on.
    pub fn reconfigure(&self, store: SocketAddr, limits: PacketLimits) {
        self.store.set(store);
        self.budget.set(call_budget(&limits));
        self.client.set_limits(call_limits(&self.budget.get()));
        *self.limits.borrow_mut() = limits;
        self.set_reader(self.is_reader.get());
    }

    /// Sets whether this daemon reads the store for others.
    ///
    /// A daemon that begins to do so may have followed another one until now, so its next call is due at once.
    pub fn set_reader(&self, is_reader: bool) {
        let was_reader = self.is_reader.replace(is_reader);
        if is_reader && !was_reader {
            self.call_due.set();
        }
        let alone = self.budget.get().interval;
        self.schedule.borrow_mut().set_interval(match is_reader {
            true => alone.min(READER_INTERVAL),
            false => alone,
        });
    }

    /// Sets whether the zone has a daemon that reads the store for this one.
    pub fn set_has_reader(&self, has_reader: bool) {
        self.has_reader.set(has_reader);
    }

    /// Moves the start of the next watch forward to a version, never back.
    fn advance(&self, version: Version) {
        self.position.set(self.position.get().max(Some(version)));
    }

    /// Whether the directory holds every change that has to be in force by now.
    pub fn is_fresh(&self, now: Instant) -> bool {
        let in_force = self.limits.borrow().change_deadline();
        self.age(now).is_some_and(|age| age < in_force)
    }

    /// Upstreams, zones and routes as of the last change applied.
    pub fn directory(&self) -> Ref<'_, Directory> {
        self.directory.borrow()
    }

    /// The directory, for the eviction of expired entries.
    pub fn directory_mut(&self) -> RefMut<'_, Directory> {
        self.directory.borrow_mut()
    }

    /// Time since the store last confirmed the directory; `None` before the first watch after a stale list.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let as_of = self.directory.borrow().as_of()?;
        Some(now.saturating_duration_since(as_of))
    }

    /// Records that a packet could not be forwarded because the directory lacks something, so that the store is read
    /// earlier.
    pub fn record_missing(&self, missing: Missing) {
        if self.schedule.borrow_mut().record_missing(missing) {
            self.call_due.set();
        }
    }

    /// When the store began to fail; `None` while it answers.
    pub fn failing_since(&self) -> Option<Instant> {
        self.failing_since.get()
    }

    /// Wait of a watch that starts at `began`: until a lost answer must be detected, or until the upstreams of a
    /// returned zone have reported their state. While the store fails, it is short.
    ///
    /// The connection may have gone silent just after the last answer, so the time since then is part of the time in
    /// which that must be detected.
    fn wait(&self, began: Instant) -> Duration {
        let budget = self.budget.get();
        let idle = self.heard.get().map_or(Duration::ZERO, |at| began - at);
        let wait = match self.failing_since.get() {
            Some(_) => with_jitter(budget.retry_wait()),
            None => budget.wait(idle),
        };
        let wait = wait.min(WAIT_MAX);
        let wait = match self.is_reader.get() {
            true => wait.min(READER_WAIT),
            false => wait,
        };
        match self.directory.borrow().recheck_at(began) {
            Some(at) => wait.min(at.saturating_duration_since(began).max(CONFIRM_WAIT_MIN)),
            None => wait,
        }
    }

    /// Drops the connection if it has been idle for so long that a watch on it could not be given up in time.
    fn disconnect_if_silent(&self, now: Instant) {
        let idle_max = self.budget.get().idle_max();
        if self.heard.get().is_some_and(|at| now - at > idle_max) {
            self.client.disconnect();
            self.heard.set(None);
        }
    }

    /// Records an answer that contains all changes up to `at`.
    fn confirm(&self, at: Instant) {
        self.confirm_as_of(at);
        self.record_response();
    }

    /// Records that the store answered, which ends an outage.
    fn record_response(&self) {
        self.metrics.store_calls.inc(PlatformResult::Answered);
        let Some(since) = self.failing_since.take() else {
            return;
        };
        let now = Instant::now();
        let outage = now.duration_since(since);
        if outage >= OUTAGE_MIN && self.directory.borrow().is_ready() {
            self.directory.borrow_mut().record_recovery(now);
        }
        let unnoticed = self
            .failed_call_began
            .get()
            .map_or(Duration::ZERO, |at| now - at);
        self.metrics.return_seconds.observe(unnoticed.as_secs_f64());
        Event::new("store_regained")
            .field("store", self.store.get())
            .field("after_ms", outage.as_millis())
            .field("unnoticed_max_ms", unnoticed.as_millis())
            .info();
    }

    /// How long a change may have waited that arrives at `now`; `None` before the first complete view.
    fn change_delay(&self, now: Instant) -> Option<ChangeDelay> {
        let complete = self.directory.borrow().as_of()?;
        let failed = self.failed_call_began.get().filter(|at| *at > complete);
        Some(ChangeDelay {
            since_complete: now.saturating_duration_since(complete),
            since_failure: failed.map(|at| now.saturating_duration_since(at)),
        })
    }

    /// Logs the outcome of a change, and records the delay of one that must be in force within a time limit.
    fn record_change(&self, item: &Item, outcome: &Outcome, delay: Option<ChangeDelay>) {
        log_change(item, outcome, delay);
        let is_in_force = *outcome == Outcome::Applied && has_deadline(&item.change);
        if let Some(delay) = delay.filter(|_| is_in_force) {
            let delay = delay.since_failure.unwrap_or(delay.since_complete);
            self.metrics
                .change_delay_seconds
                .observe(delay.as_secs_f64());
        }
    }

    /// When the store is to be called next; `None` for at once.
    fn due(&self) -> Option<Instant> {
        let due = self.schedule.borrow().due()?;
        let recheck_at = self.directory.borrow().recheck_at(Instant::now());
        Some(recheck_at.map_or(due, |at| due.min(at)))
    }

    /// Calls the store; returns the body of the answer and the era that it belongs to.
    ///
    /// An answer of another era than `expected` is an error; without `expected`, the answer may begin a new era.
    async fn get(
        &self,
        path: &str,
        wait: Duration,
        expected: Option<u64>,
    ) -> Result<(Bytes, u64), StoreError> {
        let began = Instant::now();
        self.call_began.set(Some(began));
        let answer = self.client.get(self.store.get(), path, wait).await?;
        self.heard.set(Some(Instant::now()));
        let took = began.elapsed().as_secs_f64();
        let era = self.record_era(answer.headers())?;
        let body = ok_body(answer)?;
        if wait.is_zero() {
            self.metrics.list_seconds.observe(took);
        }
        match expected {
            Some(known) if known != era => Err(StoreError::EraBegan {
                known,
                answered: era,
            }),
            _ => Ok((body, era)),
        }
    }

    /// Lists all entries; returns the version of the list, its entries and its length in bytes.
    async fn list_pages(&self) -> Result<(Version, Vec<Item>, usize), StoreError> {
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut version: Option<Version> = None;
        let mut after: Option<Rc<str>> = None;
        loop {
            let path = list_path(after.as_deref(), self.consistency.get());
            let expected = version.map(|first| first.era);
            let (body, era) = self.get(&path, Duration::ZERO, expected).await?;
            bytes += body.len();
            let page = read_list(&body, era).map_err(|err| StoreError::Body(err.to_string()))?;
            let is_next_page = page
                .items
                .iter()
                .all(|item| Some(&item.key) > after.as_ref());
            if !is_next_page {
                return Err(StoreError::Mismatched);
            }
            let first = version.map_or(page.version, |first| first.min(page.version));
            version = Some(first);
            items.extend(page.items);
            match page.next {
                Some(key) => after = Some(key),
                None => return Ok((first, items, bytes)),
            }
        }
    }
}

impl Source for View {
    fn position(&self) -> Option<u64> {
        self.position.get().map(|version| version.revision)
    }

    /// Lets a daemon that follows a reader wait for the reader's list before it lists a store that has lost its history,
    /// which all daemons notice at the same time.
    async fn wait_turn(&self) {
        if !self.has_reader.get() || !self.is_ready() {
            return;
        }
        let until = Instant::now() + self.budget.get().list_spread.mul_f64(rand::rng().random());
        while self.position.get().is_none() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            let due = pin!(monoio::time::sleep(left));
            let answer = pin!(self.next_answer());
            select(due, answer).await;
        }
    }

    async fn list(&self) -> Result<Progress, StoreError> {
        let began = Instant::now();
        let (version_before, age) = (self.version(), self.age(began));
        let (answered, items, bytes) = self.list_pages().await?;
        match self.consistency.get() {
            ReadConsistency::Exact => self.confirm(began),
            ReadConsistency::Stale => self.record_response(),
        }
        let mut directory = self.directory.borrow_mut();
        let known = directory.version();
        let Some(outcomes) = directory.replace(answered, &items, Instant::now()) else {
            // Another daemon has passed on newer changes in the meantime.
            if known > version_before && self.position.get().is_some() {
                return Ok(Progress::Moved);
            }
            return Err(StoreError::RevisionDecreased { known, answered });
        };
        let listed = &outcomes[outcomes.len() - items.len()..];
        for (item, outcome) in items.iter().zip(listed) {
            if let Outcome::Refused(_) = outcome {
                log_change(item, outcome, None);
            }
        }
        self.position.set(Some(answered));
        self.record_restoration(&directory, known);
        Event::new("view_listed")
            .field("revision", answered)
            .field("known", known)
            .field("entries", items.len())
            .field("bytes", bytes)
            .field(
                "configuration",
                directory.configuration().map_or(0, |c| c.version),
            )
            .field("age_ms", age.map_or(0, |age| age.as_millis()))
            .field("took_ms", began.elapsed().as_millis())
            .info();
        drop(directory);
        self.notify();
        Ok(Progress::Moved)
    }

    async fn watch(&self, after: u64) -> Result<Progress, StoreError> {
        let began = Instant::now();
        self.disconnect_if_silent(began);
        let wait = self.wait(began);
        let era = self.era.get();
        let (body, _) = self.get(&watch_path(after, wait), wait, Some(era)).await?;
        let changes = read_changes(&body, era).map_err(|err| StoreError::Body(err.to_string()))?;
        let now = Instant::now();
        let answer = Answer {
            began,
            ended: now,
            wait,
            after,
            first: changes.items.iter().map(|item| item.version.revision).min(),
            revision: changes.version.revision,
            entries: changes.items.len(),
            bytes: body.len(),
        };
        if !answer.matches_call() {
            return Err(StoreError::Mismatched);
        }
        // A call that waits is answered as soon as there is a change.
        let budget = self.budget.get();
        let held = answer.time_held(budget.connect + budget.answer);
        let delay = self.change_delay(now - held);
        match answer.is_whole() {
            true => self.confirm(answer.as_of()),
            false => self.record_response(),
        }
        let outcomes = {
            let mut directory = self.directory.borrow_mut();
            directory.apply(changes.version, &changes.items, now)
        };
        for (item, outcome) in changes.items.iter().zip(&outcomes) {
            self.record_change(item, outcome, delay);
        }
        let brings =
            |missing: Missing| changes.items.iter().any(|item| missing.is_in(&item.change));
        self.schedule.borrow_mut().record_answer(&answer, brings);
        self.advance(changes.version.max(Version::new(era, after)));
        self.notify();
        self.consistency.set(ReadConsistency::Stale);
        Ok(Progress::Moved)
    }

    async fn wait_until_due(&self) {
        loop {
            // Others rely on the calls of a reader, whatever another reader reports to it.
            let fresh_until = self.fresh_until().filter(|_| !self.is_reader.get());
            let due = fresh_until.or_else(|| self.due());
            let left = due.map(|due| due.saturating_duration_since(Instant::now()));
            let Some(left) = left.filter(|left| !left.is_zero()) else {
                return;
            };
            let due = pin!(monoio::time::sleep(left));
            let earlier = pin!(self.call_due.wait());
            select(due, earlier).await;
        }
    }

    fn record_failure(&self, err: &StoreError) {
        self.metrics.store_calls.inc(PlatformResult::Failed);
        // The changes after a version only grow, so that a watch after it would be too long again.
        let is_history_lost = matches!(
            err,
            StoreError::Status(StatusCode::GONE) | StoreError::TooLong { .. }
        );
        let is_other_history = matches!(
            err,
            StoreError::RevisionDecreased { .. } | StoreError::EraBegan { .. }
        );
        if is_history_lost || is_other_history {
            self.position.set(None);
            self.consistency.set(ReadConsistency::Exact);
            Event::new("view_outdated")
                .field("revision", self.version())
                .field("cause", err)
                .info();
            return;
        }
        self.heard.set(None);
        if !err.is_connection_lost() {
            self.client.disconnect();
        }
        let now = Instant::now();
        self.failed_call_began.set(self.call_began.get());
        if self.failing_since.get().is_none() {
            self.failing_since.set(Some(now));
            Event::new("store_lost")
                .field("store", self.store.get())
                .field("revision", self.version())
                .field("age_ms", self.age(now).map_or(0, |age| age.as_millis()))
                .field("cause", err)
                .warn();
        } else {
            Event::new("store_call_failed").field("cause", err).info();
        }
    }

    fn backoff_limits(&self) -> BackoffLimits {
        BackoffLimits {
            backoff_min: BACKOFF[0],
            backoff_max: BACKOFF[1],
            interval_max: with_jitter(self.budget.get().retry_interval),
        }
    }
}

/// Between half and all of a time limit, so that daemons which lost calls together do not call again together.
fn with_jitter(limit: Duration) -> Duration {
    limit.mul_f64(rand::rng().random_range(0.5..=1.0))
}

fn call_budget(limits: &PacketLimits) -> CallBudget {
    CallBudget::new(limits.notice, limits.change_deadline())
}

fn call_limits(budget: &CallBudget) -> CallLimits {
    CallLimits {
        connect: budget.connect,
        answer: budget.answer,
        overdue: budget.answer - budget.connect,
    }
}
