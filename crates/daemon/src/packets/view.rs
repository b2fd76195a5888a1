//! What this daemon knows of the store, and how old that is.

use crate::{
    logging::Event,
    store::{
        client::ANSWER_TIMEOUT,
        follow::Source,
        Client,
        StoreError, //
    },
};
use foxtailhinge_platform::store::{
    list_path,
    read_changes,
    read_list,
    watch_path, //
};
use foxtailhinge_policy::packets::{
    directory::{
        Directory,
        Outcome, //
    },
    entry::Item,
};
use http::StatusCode;
use std::{
    cell::{
        Cell,
        Ref,
        RefCell,
        RefMut, //
    },
    time::{
        Duration,
        Instant, //
    },
};

/// Margin for the reconnection after a lost answer was noticed.
const NOTICE_MARGIN: Duration = Duration::from_millis(700);

/// Shortest wait of a watch.
const WAIT_MIN: Duration = Duration::from_millis(500);

/// Shortest time between two watches, so that a series of changes costs few calls; it stays far inside the bound in
/// which a change is to be in force.
const PERIOD: Duration = Duration::from_millis(800);

/// Longest pause between calls while the store fails.
const BACKOFF_MAX: Duration = Duration::from_millis(800);

/// The directory and its age.
#[derive(Debug)]
pub struct View {
    client: Client,
    wait: Duration,
    directory: RefCell<Directory>,
    position: Cell<Option<u64>>,
    confirmed: Cell<Option<Instant>>,
    failing: Cell<Option<Instant>>,
}

impl View {
    /// A view that knows nothing yet.
    ///
    /// A watch waits so long that a lost answer is noticed, and the call made again, within `notice`.
    pub fn new(client: Client, notice: Duration) -> Self {
        let wait = notice.saturating_sub(ANSWER_TIMEOUT + NOTICE_MARGIN);
        Self {
            client,
            wait: wait.max(WAIT_MIN),
            directory: RefCell::default(),
            position: Cell::new(None),
            confirmed: Cell::new(None),
            failing: Cell::new(None),
        }
    }

    /// The directory.
    pub fn directory(&self) -> Ref<'_, Directory> {
        self.directory.borrow()
    }

    /// The directory, to tidy it up.
    pub fn directory_mut(&self) -> RefMut<'_, Directory> {
        self.directory.borrow_mut()
    }

    /// Time since the store last confirmed the directory.
    pub fn age(&self, now: Instant) -> Duration {
        let confirmed = self.confirmed.get();
        confirmed.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }

    fn confirm(&self, began: Instant) {
        self.confirmed.set(Some(began));
        if let Some(since) = self.failing.take() {
            let now = Instant::now();
            if self.directory.borrow().is_ready() {
                self.directory.borrow_mut().regain(now);
            }
            Event::new("store_regained")
                .field("after_ms", now.duration_since(since).as_millis())
                .info();
        }
    }

    fn log(&self, items: &[Item], outcomes: &[Outcome]) {
        for (item, outcome) in items.iter().zip(outcomes) {
            if let Outcome::Refused(reason) = outcome {
                Event::new("entry_refused")
                    .field("key", &item.key)
                    .field("revision", item.revision)
                    .field("cause", reason)
                    .warn();
            }
        }
    }

    async fn read_all(&self) -> Result<(u64, Vec<Item>), StoreError> {
        let mut items = Vec::new();
        let mut revision = None;
        let mut after = None;
        loop {
            let body = self
                .client
                .get(&list_path(after.as_deref()), Duration::ZERO)
                .await?;
            let page = read_list(&body).map_err(|err| StoreError::Body(err.to_string()))?;
            let first = *revision.get_or_insert(page.revision);
            items.extend(page.items);
            match page.next {
                Some(key) => after = Some(key),
                None => return Ok((first, items)),
            }
        }
    }
}

impl Source for View {
    fn position(&self) -> Option<u64> {
        self.position.get()
    }

    async fn list(&self) -> Result<(), StoreError> {
        let began = Instant::now();
        let (revision, items) = self.read_all().await?;
        self.confirm(began);
        let taken = self
            .directory
            .borrow_mut()
            .replace(revision, &items, Instant::now());
        let known = self.directory.borrow().revision();
        match taken {
            Some(outcomes) => {
                self.log(&items, &outcomes[outcomes.len() - items.len()..]);
                self.position.set(Some(revision));
                Event::new("view_listed")
                    .field("revision", revision)
                    .field("entries", items.len())
                    .field("took_ms", began.elapsed().as_millis())
                    .info();
                Ok(())
            }
            None => Err(StoreError::Body(format!(
                "The store went back from revision {known} to {revision}; it is asked again."
            ))),
        }
    }

    async fn watch(&self, after: u64) -> Result<(), StoreError> {
        let began = Instant::now();
        let body = self
            .client
            .get(&watch_path(after, self.wait), self.wait)
            .await?;
        let changes = read_changes(&body).map_err(|err| StoreError::Body(err.to_string()))?;
        self.confirm(began.max(Instant::now() - PERIOD));
        let now = Instant::now();
        let outcomes = self
            .directory
            .borrow_mut()
            .apply(changes.revision, &changes.items, now);
        self.log(&changes.items, &outcomes);
        self.position.set(Some(changes.revision.max(after)));
        Ok(())
    }

    fn fail(&self, err: &StoreError) -> Duration {
        if let StoreError::Status(StatusCode::GONE) = err {
            self.position.set(None);
        }
        if self.failing.get().is_none() {
            self.failing.set(Some(Instant::now()));
        }
        Event::new("store_call_failed").field("cause", err).info();
        BACKOFF_MAX
    }

    fn period(&self) -> Duration {
        PERIOD
    }
}
