//! Timer service shared by the tasks of a runtime.
//!
//! One task sleeps for all subscribers. Due times are rounded up to [`RESOLUTION`], so that nearby ones
//! share a wake-up.

use futures::{
    future::{
        poll_fn,
        select,
        Either, //
    },
    FutureExt,
};
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    future::Future,
    pin::{
        pin,
        Pin, //
    },
    rc::Rc,
    task::{
        Context,
        Poll,
        Waker, //
    },
    time::{
        Duration,
        Instant, //
    },
};

/// Due times within this span share a wake-up.
pub const RESOLUTION: Duration = Duration::from_millis(1);

/// Upper bound of the duration of a sleep.
const SLEEP_MAX: Duration = Duration::from_secs(24 * 3600);

/// The timer service of a runtime; clone the [`Rc`] to share it.
#[derive(Debug)]
pub struct Timer {
    started: Instant,
    waiting: RefCell<BTreeMap<Key, Waker>>,
    ids: Cell<u64>,
    driver: RefCell<Option<Waker>>,
    wakeups: Cell<u64>,
}

/// A due time and a unique number that distinguishes equal due times.
type Key = (Instant, u64);

/// Result of a wait that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tick {
    /// Time at which the waiting task was polled.
    pub now: Instant,
    /// Time at which the tick was due.
    pub due: Instant,
    /// Delay after `due`; unusually long after a pause of the process.
    pub late: Duration,
}

impl Timer {
    /// Starts the service on the current runtime.
    pub fn start() -> Rc<Self> {
        let timer = Rc::new(Self {
            started: Instant::now(),
            waiting: RefCell::default(),
            ids: Cell::new(0),
            driver: RefCell::default(),
            wakeups: Cell::new(0),
        });
        monoio::spawn(Rc::clone(&timer).drive());
        timer
    }

    /// Subscribes to a tick every `period`, the first one after one period.
    ///
    /// Missed ticks are skipped, so that there is no burst after a pause.
    pub fn subscribe(self: &Rc<Self>, period: Duration) -> Subscription {
        self.subscribe_jittered(period, Duration::ZERO)
    }

    /// Subscribes to ticks whose intervals are drawn uniformly from `period` ± half of `spread`.
    pub fn subscribe_jittered(self: &Rc<Self>, period: Duration, spread: Duration) -> Subscription {
        let mut subscription = Subscription {
            timer: Rc::clone(self),
            rng: SmallRng::from_os_rng(),
            period: period.max(RESOLUTION),
            spread: spread.min(period),
            due: Instant::now(),
        };
        subscription.advance(subscription.due);
        subscription
    }

    /// Waits until `due`.
    pub fn sleep_until(self: &Rc<Self>, due: Instant) -> Sleep {
        Sleep {
            timer: Rc::clone(self),
            due,
            key: None,
        }
    }

    /// Waits for `duration`, at most one day.
    pub fn sleep(self: &Rc<Self>, duration: Duration) -> Sleep {
        let now = Instant::now();
        self.sleep_until(now + duration.min(SLEEP_MAX))
    }

    /// Waits for `work` until `due` at most; returns `None` when `due` comes first.
    pub fn timeout_at<F>(
        self: &Rc<Self>,
        due: Instant,
        work: F,
    ) -> impl Future<Output = Option<F::Output>>
    where
        F: Future + Unpin,
    {
        // Combinators store `work` once; an async function would store it twice.
        select(work, self.sleep_until(due)).map(|ended| match ended {
            Either::Left((output, _)) => Some(output),
            Either::Right(_) => None,
        })
    }

    /// Returns how often the driver task woke any waiter.
    pub fn wakeups(&self) -> u64 {
        self.wakeups.get()
    }

    /// Returns the number of sleeps in progress.
    pub fn waiting(&self) -> usize {
        self.waiting.borrow().len()
    }

    async fn drive(self: Rc<Self>) {
        loop {
            self.sleep_to_next().await;
            self.wake_due(Instant::now());
        }
    }

    /// Sleeps until the next due time, which may become earlier during the sleep.
    async fn sleep_to_next(&self) {
        let mut target = None;
        let mut sleep = pin!(monoio::time::sleep(SLEEP_MAX));
        poll_fn(|cx| {
            *self.driver.borrow_mut() = Some(cx.waker().clone());
            let next = self.next_due();
            if next != target {
                target = next;
                let rest = next.map_or(SLEEP_MAX, |due| due - Instant::now().min(due));
                sleep.set(monoio::time::sleep(rest));
            }
            sleep.as_mut().poll(cx)
        })
        .await;
    }

    fn next_due(&self) -> Option<Instant> {
        let waiting = self.waiting.borrow();
        let ((due, _), _) = waiting.first_key_value()?;
        Some(*due)
    }

    fn wake_due(&self, now: Instant) {
        let due = {
            let mut waiting = self.waiting.borrow_mut();
            let later = waiting.split_off(&(now, u64::MAX));
            std::mem::replace(&mut *waiting, later)
        };
        if due.is_empty() {
            return;
        }
        self.wakeups.set(self.wakeups.get() + 1);
        due.into_values().for_each(Waker::wake);
    }

    fn register(&self, due: Instant, waker: &Waker) -> Key {
        let key = (self.round_up(due), self.ids.get());
        self.ids.set(key.1 + 1);
        let first = self.next_due().is_none_or(|next| key.0 < next);
        self.waiting.borrow_mut().insert(key, waker.clone());
        if first {
            if let Some(driver) = self.driver.borrow_mut().take() {
                driver.wake();
            }
        }
        key
    }

    fn round_up(&self, due: Instant) -> Instant {
        let since = due.saturating_duration_since(self.started).as_nanos();
        let over = since % RESOLUTION.as_nanos();
        if over == 0 {
            return due;
        }
        due + Duration::from_nanos((RESOLUTION.as_nanos() - over) as u64)
    }
}

/// Future that completes at a due time; dropping it cancels the wait.
#[derive(Debug)]
pub struct Sleep {
    timer: Rc<Timer>,
    due: Instant,
    key: Option<Key>,
}

impl Future for Sleep {
    type Output = Tick;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Tick> {
        self.cancel();
        let now = Instant::now();
        if now < self.due {
            let key = self.timer.register(self.due, cx.waker());
            self.key = Some(key);
            return Poll::Pending;
        }
        Poll::Ready(Tick {
            now,
            due: self.due,
            late: now - self.due,
        })
    }
}

impl Sleep {
    fn cancel(&mut self) {
        if let Some(key) = self.key.take() {
            self.timer.waiting.borrow_mut().remove(&key);
        }
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        self.cancel();
    }
}

/// Periodic ticks of one subscriber.
#[derive(Debug)]
pub struct Subscription {
    timer: Rc<Timer>,
    rng: SmallRng,
    period: Duration,
    spread: Duration,
    due: Instant,
}

impl Subscription {
    /// Waits for the next tick; dropping the future does not consume the tick.
    pub async fn tick(&mut self) -> Tick {
        let tick = self.timer.sleep_until(self.due).await;
        self.advance(tick.now);
        tick
    }

    /// Sets the next due time to one interval after the last one, or to one interval from `now` if that has passed.
    fn advance(&mut self, now: Instant) {
        let interval = self.draw_interval();
        self.due += interval;
        if self.due <= now {
            self.due = now + interval;
        }
    }

    fn draw_interval(&mut self) -> Duration {
        if self.spread.is_zero() {
            return self.period;
        }
        self.period - self.spread / 2 + self.spread.mul_f64(self.rng.random())
    }
}
