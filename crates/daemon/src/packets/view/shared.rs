//! Exchange of a view's state with other daemons of its zone.

use super::{
    log::log_ended_evacuations,
    View, //
};
use crate::logging::Event;
use foxtailhinge_policy::packets::{
    directory::{
        Outcome,
        LAPSE_GRACE, //
    },
    ChangeSet,
    ConfigurationId,
    FreshnessReport,
    SyncedFrom,
    Version, //
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
    /// Version up to which the view is complete; zero before the first list.
    pub fn version(&self) -> Version {
        self.directory.borrow().version()
    }

    /// Whether the view has a configuration, without which no packet is forwarded.
    pub fn is_ready(&self) -> bool {
        self.directory.borrow().is_ready()
    }

    /// Changes after a version, for a daemon with the configuration `known`.
    pub fn changes_since(
        &self,
        after: Version,
        synced_from: SyncedFrom,
        known: Option<ConfigurationId>,
    ) -> ChangeSet {
        self.directory
            .borrow()
            .changes_since(after, synced_from, known, Instant::now())
    }

    /// Waits for something new to pass on: an answer of the store or a reader, or a report on an upstream.
    pub async fn next_answer(&self) {
        let seen = self.answers.get();
        poll_fn(|cx| match self.answers.get() == seen {
            true => {
                self.waiters.borrow_mut().push(cx.waker().clone());
                Poll::Pending
            }
            false => Poll::Ready(()),
        })
        .await;
    }

    /// Age of the newest state known to be complete, including times in which the VM was suspended.
    pub fn age_with_suspensions(&self) -> Option<Duration> {
        Some(boot_time().saturating_sub(self.complete_as_of.get()?))
    }

    /// Time since the store recovered from an outage, while lapsed entries may still return.
    pub fn time_since_recovery(&self) -> Option<Duration> {
        let recovered_at = self.directory.borrow().recovered_at()?;
        Some(recovered_at.elapsed()).filter(|age| *age < LAPSE_GRACE)
    }

    /// Applies changes from another daemon, and the time since that daemon saw the store recover.
    pub fn merge_changes(&self, changes: &ChangeSet, since_recovery: Option<Duration>) {
        let now = Instant::now();
        let recovered_at = since_recovery.and_then(|age| now.checked_sub(age));
        let (was_ready, known) = (self.is_ready(), self.version());
        let delay = self.change_delay(now);
        let evacuations = self.directory().former_evacuations();
        let outcomes = {
            let mut directory = self.directory.borrow_mut();
            if let Some(at) = recovered_at.filter(|at| Some(*at) > directory.recovered_at()) {
                directory.record_recovery(at);
            }
            directory.merge_changes(changes, now)
        };
        let Some(outcomes) = outcomes else {
            return;
        };
        // A known version does not move the position, which is unset while the store has lost the history after that
        // version and has to be listed again.
        if changes.version > known {
            self.set_era(changes.version.era.max(self.era.get()));
            self.advance(changes.version);
            self.record_restoration(&self.directory(), known);
        }
        log_ended_evacuations(&evacuations, &self.directory());
        let applied = &outcomes[outcomes.len() - changes.items.len()..];
        if was_ready {
            let changed = changes.items.iter().zip(applied);
            let changed = changed.filter(|(_, outcome)| **outcome != Outcome::Stale);
            changed.for_each(|(item, outcome)| self.record_change(item, outcome, delay));
        } else if self.is_ready() {
            Event::new("view_passed_on")
                .field("revision", changes.version)
                .field("entries", changes.items.len())
                .info();
        }
    }

    /// Applies a reader's report on its view, requested at `asked`; returns whether the view is now so fresh that
    /// the store need not be called.
    pub fn apply_freshness_report(&self, report: FreshnessReport, asked: Instant) -> bool {
        let mut freshness = self.freshness.get();
        if let Some(as_of) = freshness.update(report, asked, Instant::now()) {
            self.confirm_as_of(as_of);
        }
        self.freshness.set(freshness);
        self.notify();
        self.fresh_until().is_some()
    }

    /// Time until which the reports of readers make a call of the store unnecessary.
    pub(super) fn fresh_until(&self) -> Option<Instant> {
        let interval = self.budget.get().interval;
        self.freshness.get().fresh_until(interval, Instant::now())
    }

    pub(super) fn confirm_as_of(&self, as_of: Instant) {
        self.directory.borrow_mut().confirm(as_of);
        let complete_as_of = boot_time().saturating_sub(as_of.elapsed());
        self.complete_as_of
            .set(self.complete_as_of.get().max(Some(complete_as_of)));
    }

    /// Wakes the tasks that wait in [`View::next_answer`].
    pub fn notify(&self) {
        self.answers.set(self.answers.get() + 1);
        for waker in self.waiters.take() {
            waker.wake();
        }
    }
}

/// Time since the VM started, including suspensions.
fn boot_time() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.max(0) as u64, now.tv_nsec.max(0) as u32)
}
