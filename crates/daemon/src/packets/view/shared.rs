//! What a view shares with other daemons of its zone.

use super::{
    log::log_change,
    pause,
    View, //
};
use crate::logging::Event;
use foxtailhinge_policy::packets::{
    directory::{
        Outcome,
        LAPSE_GRACE, //
    },
    ChangeSet,
    FreshnessReport,
    SyncedFrom, //
};
use rustix::time::{
    clock_gettime,
    ClockId, //
};
use std::{
    future::poll_fn,
    task::Poll,
    time::{
        Duration,
        Instant, //
    },
};

impl View {
    /// Revision up to which everything is known; zero before anything is.
    pub fn revision(&self) -> u64 {
        self.directory.borrow().revision()
    }

    /// Whether there is a configuration to serve by.
    pub fn is_ready(&self) -> bool {
        self.directory.borrow().is_ready()
    }

    /// What has changed after a revision.
    pub fn news(&self, after: u64, heard: SyncedFrom) -> ChangeSet {
        self.directory
            .borrow()
            .changes_since(after, heard, Instant::now())
    }

    /// Waits for the next answer.
    pub async fn next_answer(&self) {
        let seen = self.answers.get();
        poll_fn(|cx| match self.answers.get() == seen {
            true => {
                self.waiting.borrow_mut().push(cx.waker().clone());
                Poll::Pending
            }
            false => Poll::Ready(()),
        })
        .await;
    }

    /// Age of the newest state known to be whole, times in which the VM was suspended included.
    pub fn age_with_suspensions(&self) -> Option<Duration> {
        Some(boot_time().saturating_sub(self.proved.get()?))
    }

    /// Time since the store came back, while entries may still be on their way back.
    pub fn time_since_recovery(&self) -> Option<Duration> {
        let regained = self.directory.borrow().recovered_at()?;
        Some(regained.elapsed()).filter(|age| *age < LAPSE_GRACE)
    }

    /// Takes over what another daemon passes on, and the time since it saw the store come back.
    pub fn apply_news(&self, news: &ChangeSet, regained: Option<Duration>) {
        let now = Instant::now();
        let regained = regained.and_then(|age| now.checked_sub(age));
        let (was_ready, known) = (self.is_ready(), self.revision());
        let outcomes = {
            let mut directory = self.directory.borrow_mut();
            if let Some(at) = regained.filter(|at| Some(*at) > directory.recovered_at()) {
                directory.record_recovery(at);
            }
            directory.merge_changes(news, now)
        };
        let Some(outcomes) = outcomes else {
            return;
        };
        // A revision that is known already may be the one whose history the store has lost: then it is listed anew.
        if news.revision > known {
            self.advance(news.revision);
        }
        let told = &outcomes[outcomes.len() - news.items.len()..];
        if was_ready {
            let changed = news.items.iter().zip(told);
            let changed = changed.filter(|(_, outcome)| **outcome != Outcome::Stale);
            changed.for_each(|(item, outcome)| log_change(item, outcome));
        } else if self.is_ready() {
            Event::new("view_passed_on")
                .field("revision", news.revision)
                .field("entries", news.items.len())
                .info();
        }
    }

    /// Takes over what a reader that was asked at `asked` said of its view; returns whether that is new enough to do
    /// without the store.
    pub fn apply_freshness_report(&self, statement: FreshnessReport, asked: Instant) -> bool {
        let mut feed = self.feed.get();
        if let Some(as_of) = feed.update(statement, asked, Instant::now()) {
            self.prove(as_of);
        }
        self.feed.set(feed);
        self.notify();
        self.fed_until().is_some()
    }

    /// Until when the statements of readers make a call of the store needless.
    pub(super) fn fed_until(&self) -> Option<Instant> {
        let pause = pause(&self.limits.borrow());
        self.feed.get().fresh_until(pause, Instant::now())
    }

    pub(super) fn prove(&self, as_of: Instant) {
        self.directory.borrow_mut().confirm(as_of);
        let proved = boot_time().saturating_sub(as_of.elapsed());
        self.proved.set(self.proved.get().max(Some(proved)));
    }

    /// Wakes those who wait for news.
    pub fn notify(&self) {
        self.answers.set(self.answers.get() + 1);
        for waker in self.waiting.take() {
            waker.wake();
        }
    }
}

/// Time since the VM started, suspensions included.
fn boot_time() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.max(0) as u64, now.tv_nsec.max(0) as u32)
}
