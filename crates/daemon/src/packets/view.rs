//! What this daemon knows of the store, and how old that is.

mod log;
mod shared;

use self::log::{
    log_change,
    log_changes, //
};
use super::metrics::PacketMetrics;
use crate::{
    logging::Event,
    metrics::PlatformResult,
    store::{
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
use foxtailhinge_config::packet_settings::PacketLimits;
use foxtailhinge_platform::store::{
    list_path,
    read_changes,
    read_list,
    watch_path,
    ReadConsistency, //
};
use foxtailhinge_policy::packets::{
    directory::{
        Directory,
        Outcome, //
    },
    Answer,
    Freshness,
    Item,
    Missing,
    PollSchedule, //
};
use futures::future::select;
use http::StatusCode;
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

/// Time for a connection to be made: its opening packet, lost once, comes again after a second.
const CONNECT: Duration = Duration::from_millis(1_200);

/// Time for an answer beyond the wait that a call asked for: the store answers within milliseconds, and within a
/// quarter of a second when it is slow.
const ANSWER: Duration = Duration::from_millis(800);

/// Margin for the reconnection after a lost answer was noticed.
const NOTICE_MARGIN: Duration = Duration::from_millis(700);

/// Shortest wait of a watch.
const WAIT_MIN: Duration = Duration::from_millis(500);

/// Shortest wait of a watch that is only to tell that nothing more has changed.
const LOOK_MIN: Duration = Duration::from_millis(20);

/// Least part of the time in which a change is to be in force that may pass between the starts of two watches, as one
/// part in so many.
const PAUSE_PART: u32 = 2;

/// Shortest and longest pause between calls while the store fails.
const BACKOFF: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(800)];

/// Pause between the starts of two watches of a daemon that reads for others, and the longest wait of its watches: the
/// others learn the age of their view from its answers.
const READER_PAUSE: Duration = Duration::from_secs(1);
const READER_WAIT: Duration = Duration::from_millis(1_500);

/// Shortest outage in which entries can lapse.
const OUTAGE_MIN: Duration = Duration::from_secs(1);

/// The directory and its age.
#[derive(Debug)]
pub struct View {
    client: Client<Http1>,
    store: Cell<SocketAddr>,
    limits: RefCell<PacketLimits>,
    metrics: Rc<PacketMetrics>,
    directory: RefCell<Directory>,
    position: Cell<Option<u64>>,
    /// How the next list is read: a stale one costs less, and a watch brings it up to date unless the history between
    /// is lost.
    reading: Cell<ReadConsistency>,
    failing: Cell<Option<Instant>>,
    pace: RefCell<PollSchedule>,
    missing: Wake,
    /// Whether this daemon reads for others.
    is_reader: Cell<bool>,
    /// What readers have said.
    feed: Cell<Freshness>,
    /// The same time for the newest proof, by the clock that goes on while the VM is suspended.
    proved: Cell<Option<Duration>>,
    /// Answers taken so far, and who waits for the next one.
    answers: Cell<u64>,
    waiting: RefCell<Vec<Waker>>,
}

impl View {
    /// A view of `store` that knows nothing yet.
    ///
    /// A watch waits so long that a lost answer is noticed, and the call made again, within the limit for that.
    pub fn new(store: SocketAddr, limits: PacketLimits, metrics: Rc<PacketMetrics>) -> Self {
        let call_limits = CallLimits {
            connect: CONNECT,
            answer: ANSWER,
        };
        Self {
            client: Client::new(call_limits),
            pace: RefCell::new(PollSchedule::new(pause(&limits))),
            missing: Wake::default(),
            is_reader: Cell::new(false),
            feed: Cell::default(),
            proved: Cell::new(None),
            answers: Cell::new(0),
            waiting: RefCell::default(),
            store: Cell::new(store),
            limits: RefCell::new(limits),
            metrics,
            directory: RefCell::default(),
            position: Cell::new(None),
            reading: Cell::new(ReadConsistency::Stale),
            failing: Cell::new(None),
        }
    }

    /// Reads another store, or keeps other limits, from the next call on.
    pub fn reconfigure(&self, store: SocketAddr, limits: PacketLimits) {
        self.store.set(store);
        *self.limits.borrow_mut() = limits;
        self.set_reader(self.is_reader.get());
    }

    /// Reads for others from the next call on, or for this daemon alone.
    pub fn set_reader(&self, is_reader: bool) {
        self.is_reader.set(is_reader);
        let alone = pause(&self.limits.borrow());
        self.pace.borrow_mut().set_interval(match is_reader {
            true => alone.min(READER_PAUSE),
            false => alone,
        });
    }

    /// Goes on from a revision with the next watch, unless more is known already.
    fn advance(&self, revision: u64) {
        let position = self.position.get().unwrap_or(0);
        self.position.set(Some(revision.max(position)));
    }

    /// Whether no change that must be in force can be missing from the directory.
    pub fn is_fresh(&self, now: Instant) -> bool {
        let in_force = self.limits.borrow().change_deadline();
        self.age(now).is_some_and(|age| age < in_force)
    }

    /// The directory.
    pub fn directory(&self) -> Ref<'_, Directory> {
        self.directory.borrow()
    }

    /// The directory, to tidy it up.
    pub fn directory_mut(&self) -> RefMut<'_, Directory> {
        self.directory.borrow_mut()
    }

    /// Time since the store last confirmed the directory; nothing before the first watch that follows a stale list.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let as_of = self.directory.borrow().as_of()?;
        Some(now.saturating_duration_since(as_of))
    }

    /// Notes that a packet could not be forwarded for want of knowledge, so that the store is read earlier.
    pub fn record_missing(&self, missing: Missing) {
        if self.pace.borrow_mut().record_missing(missing) {
            self.missing.set();
        }
    }

    /// Since when the store has not answered.
    pub fn failing_since(&self) -> Option<Instant> {
        self.failing.get()
    }

    /// How long a watch that begins at `began` waits: until a lost answer must be noticed, or until the upstreams of a
    /// returned zone have been heard.
    fn wait(&self, began: Instant) -> Duration {
        let notice = self.limits.borrow().notice;
        let wait = notice.saturating_sub(ANSWER + NOTICE_MARGIN).max(WAIT_MIN);
        let wait = match self.is_reader.get() {
            true => wait.min(READER_WAIT),
            false => wait,
        };
        match self.directory.borrow().recheck_at(began) {
            Some(at) => wait.min(at.saturating_duration_since(began).max(LOOK_MIN)),
            None => wait,
        }
    }

    /// Notes an answer that leaves no change out up to `at`.
    fn confirm(&self, at: Instant) {
        self.prove(at);
        self.regain();
    }

    /// Notes that the store has answered.
    fn regain(&self) {
        self.metrics.store_calls.inc(PlatformResult::Answered);
        let Some(since) = self.failing.take() else {
            return;
        };
        let now = Instant::now();
        let outage = now.duration_since(since);
        if outage >= OUTAGE_MIN && self.directory.borrow().is_ready() {
            self.directory.borrow_mut().record_recovery(now);
        }
        Event::new("store_regained")
            .field("store", self.store.get())
            .field("after_ms", outage.as_millis())
            .info();
    }

    /// When the store is to be called again.
    fn due(&self) -> Option<Instant> {
        let due = self.pace.borrow().due()?;
        let looks_at = self.directory.borrow().recheck_at(Instant::now());
        Some(looks_at.map_or(due, |at| due.min(at)))
    }

    async fn get(&self, path: &str, wait: Duration) -> Result<bytes::Bytes, StoreError> {
        let began = Instant::now();
        let answer = self.client.get(self.store.get(), path, wait).await?;
        let took = began.elapsed().as_secs_f64();
        if wait.is_zero() {
            self.metrics.list_seconds.observe(took);
        }
        Ok(answer)
    }

    async fn read_all(&self) -> Result<(u64, Vec<Item>), StoreError> {
        let mut items = Vec::new();
        let mut revision = u64::MAX;
        let mut after: Option<Rc<str>> = None;
        loop {
            let path = list_path(after.as_deref(), self.reading.get());
            let body = self.get(&path, Duration::ZERO).await?;
            let page = read_list(&body).map_err(|err| StoreError::Body(err.to_string()))?;
            let is_own = page
                .items
                .iter()
                .all(|item| Some(&item.key) > after.as_ref());
            if !is_own {
                return Err(StoreError::Mismatched);
            }
            revision = revision.min(page.revision);
            items.extend(page.items);
            match page.next {
                Some(key) => after = Some(key),
                None => return Ok((revision, items)),
            }
        }
    }
}

impl Source for View {
    fn position(&self) -> Option<u64> {
        self.position.get()
    }

    async fn wait_turn(&self) {}

    async fn list(&self) -> Result<Progress, StoreError> {
        let began = Instant::now();
        let known_before = self.revision();
        let (answered, items) = self.read_all().await?;
        match self.reading.get() {
            ReadConsistency::Exact => self.confirm(began),
            ReadConsistency::Stale => self.regain(),
        }
        let mut directory = self.directory.borrow_mut();
        let known = directory.revision();
        let Some(outcomes) = directory.replace(answered, &items, Instant::now()) else {
            // Another daemon has told more meanwhile.
            if known > known_before && self.position.get().is_some() {
                return Ok(Progress::Moved);
            }
            return Err(StoreError::RevisionDecreased { known, answered });
        };
        let listed = &outcomes[outcomes.len() - items.len()..];
        for (item, outcome) in items.iter().zip(listed) {
            if let Outcome::Refused(_) = outcome {
                log_change(item, outcome);
            }
        }
        self.position.set(Some(answered));
        Event::new("view_listed")
            .field("revision", answered)
            .field("known", known)
            .field("entries", items.len())
            .field(
                "configuration",
                directory.configuration().map_or(0, |c| c.version),
            )
            .field("took_ms", began.elapsed().as_millis())
            .info();
        Ok(Progress::Moved)
    }

    async fn watch(&self, after: u64) -> Result<Progress, StoreError> {
        let began = Instant::now();
        let wait = self.wait(began);
        let body = self.get(&watch_path(after, wait), wait).await?;
        let changes = read_changes(&body).map_err(|err| StoreError::Body(err.to_string()))?;
        let now = Instant::now();
        let answer = Answer {
            began,
            ended: now,
            wait,
            after,
            first: changes.items.iter().map(|item| item.revision).min(),
            revision: changes.revision,
            entries: changes.items.len(),
            bytes: body.len(),
        };
        if !answer.matches_call() {
            return Err(StoreError::Mismatched);
        }
        match answer.is_whole() {
            true => self.confirm(answer.as_of()),
            false => self.regain(),
        }
        let outcomes = {
            let mut directory = self.directory.borrow_mut();
            directory.apply(changes.revision, &changes.items, now)
        };
        log_changes(&changes.items, &outcomes);
        let brings =
            |missing: Missing| changes.items.iter().any(|item| missing.is_in(&item.change));
        self.pace.borrow_mut().record_answer(&answer, brings);
        self.advance(changes.revision.max(after));
        self.notify();
        self.reading.set(ReadConsistency::Stale);
        Ok(Progress::Moved)
    }

    async fn wait_until_due(&self) {
        loop {
            let due = self.fed_until().or_else(|| self.due());
            let left = due.map(|due| due.saturating_duration_since(Instant::now()));
            let Some(left) = left.filter(|left| !left.is_zero()) else {
                return;
            };
            let due = pin!(monoio::time::sleep(left));
            let missing = pin!(self.missing.wait());
            select(due, missing).await;
        }
    }

    fn record_failure(&self, err: &StoreError) {
        self.metrics.store_calls.inc(PlatformResult::Failed);
        self.client.disconnect();
        let is_history_lost = matches!(err, StoreError::Status(StatusCode::GONE));
        if is_history_lost || matches!(err, StoreError::RevisionDecreased { .. }) {
            self.position.set(None);
            self.reading.set(ReadConsistency::Exact);
            Event::new("view_outdated")
                .field("revision", self.directory.borrow().revision())
                .field("cause", err)
                .info();
            return;
        }
        let now = Instant::now();
        if self.failing.get().is_none() {
            self.failing.set(Some(now));
            Event::new("store_lost")
                .field("store", self.store.get())
                .field("revision", self.directory.borrow().revision())
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
        }
    }
}

/// Pause between the starts of two watches while no knowledge is missing: a series of changes then costs few calls, and
/// what is left until a change is to be in force is for a connection whose opening packet is lost once.
fn pause(limits: &PacketLimits) -> Duration {
    let in_force = limits.change_deadline();
    in_force.saturating_sub(CONNECT).max(in_force / PAUSE_PART)
}
