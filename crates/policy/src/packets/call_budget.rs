//! Time limits of the calls to the store, derived from the deadlines that depend on them.
//!
//! A change is in force after a sequence of steps: a call that gets no answer, a new connection, an answer that says that
//! the history is lost, a list. Each step may take as long as its limit, so the limits of a sequence add up to its
//! deadline at most.

use std::time::Duration;

/// Time limit for a connection: its first SYN may be lost.
const CONNECT: Duration = Duration::from_millis(450);

/// Time limit for an answer, in addition to the wait that a call asks for: the store answers within milliseconds, and
/// within a quarter of a second when it is slow.
const ANSWER: Duration = Duration::from_millis(750);

/// Minimum wait of a watch while the store answers.
const WAIT_MIN: Duration = Duration::from_millis(500);

/// Shortest time to make up for a lost answer for which the limits above leave room; they are scaled down for less.
const NOTICE_MIN: Duration = Duration::from_secs(3);

/// The same for the time within which a change must be in force.
const CHANGE_MIN: Duration = Duration::from_millis(2_400);

/// Maximum time for which a daemon that follows a reader waits for the reader's list before it lists the store itself.
const LIST_SPREAD_MAX: Duration = Duration::from_secs(1);

/// Share of the time for retries in which a daemon may wait for its reader's list.
const LIST_SPREAD_SHARE: f64 = 0.25;

/// Time limits of the calls to the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallBudget {
    notice: Duration,
    wait_min: Duration,
    /// Time limit for a connection.
    pub connect: Duration,
    /// Time limit for an answer, in addition to the wait that a call asks for.
    pub answer: Duration,
    /// Interval between the starts of two watches while the store answers and the directory lacks nothing.
    pub interval: Duration,
    /// Longest time between the starts of two calls while the store fails.
    pub retry_interval: Duration,
    /// Maximum time for which a daemon that follows a reader waits for the reader's list before it lists the store
    /// itself.
    pub list_spread: Duration,
}

impl CallBudget {
    /// Derives the limits from the time within which a lost answer must be made up for, which is also the time within
    /// which a change must be in force after an outage, and from the time within which any other change must be in force.
    pub fn new(notice: Duration, change: Duration) -> Self {
        let scale = (notice.div_duration_f64(NOTICE_MIN))
            .min(change.div_duration_f64(CHANGE_MIN))
            .min(1.0);
        let [connect, answer, wait_min] =
            [CONNECT, ANSWER, WAIT_MIN].map(|limit| limit.mul_f64(scale));
        // After a call that was lost at the end of an outage: a connection, an answer without the history, and a list.
        let retries = notice.saturating_sub(connect + answer * 2);
        let list_spread = retries.mul_f64(LIST_SPREAD_SHARE).min(LIST_SPREAD_MAX);
        Self {
            notice,
            wait_min,
            connect,
            answer,
            interval: change.saturating_sub(connect + answer),
            retry_interval: retries - list_spread,
            list_spread,
        }
    }

    /// Wait of a watch on a connection that has been idle for `idle`, and may have been silent as long.
    ///
    /// If the answer does not arrive, another call is answered within the time limit.
    pub fn wait(&self, idle: Duration) -> Duration {
        let wait = self.notice.saturating_sub(idle + self.answer * 2);
        wait.max(self.wait_min)
    }

    /// Maximum wait of a watch while the store fails.
    pub fn retry_wait(&self) -> Duration {
        self.retry_interval.saturating_sub(self.answer)
    }

    /// Longest time for which a connection may have been idle before a watch on it.
    pub fn idle_max(&self) -> Duration {
        self.notice.saturating_sub(self.wait_min + self.answer * 2)
    }
}
