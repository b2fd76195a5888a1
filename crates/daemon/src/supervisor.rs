//! Supervisor tree of the daemon's tasks.
//!
//! A failed child is restarted with exponential backoff while the other children keep running. More
//! failures than the limit within its window end the supervisor. This fails the child of the parent
//! supervisor that runs it, or ends the process.

use crate::logging::{
    panic_message,
    Event, //
};
use anyhow::anyhow;
use futures::{
    channel::{
        mpsc::{
            unbounded,
            UnboundedReceiver,
            UnboundedSender, //
        },
        oneshot,
    },
    future::{
        select,
        Either,
        Shared, //
    },
    FutureExt,
    StreamExt, //
};
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::VecDeque,
    fmt,
    future::Future,
    panic::AssertUnwindSafe,
    pin::pin,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Backoff after the first failure of a child; it doubles with each further failure.
pub const BACKOFF_MIN: Duration = Duration::from_millis(100);

/// Upper bound of the backoff.
pub const BACKOFF_MAX: Duration = Duration::from_secs(10);

/// Run time of a child after which its backoff is reset to [`BACKOFF_MIN`].
pub const HEALTHY_AFTER: Duration = Duration::from_secs(60);

/// When a child is restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restart {
    /// Whenever it ends, also without a failure.
    Always,
    /// When it fails.
    OnFailure,
    /// Never, as for the task of one connection. A failure is logged and reported to the observer,
    /// but does not count against the limit.
    Never,
}

/// Limits of a supervisor.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of failures within the window.
    pub failures: usize,
    /// Sliding window in which failures are counted.
    pub window: Duration,
    /// Time that children have to end after a stop request, before they are dropped.
    pub stop: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            failures: 10,
            window: Duration::from_secs(60),
            stop: Duration::from_secs(10),
        }
    }
}

/// One failure of a child.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Path of the supervisor in the tree, such as `daemon/upstreams`.
    pub supervisor: Rc<str>,
    /// Name of the child within its supervisor.
    pub child: Rc<str>,
    /// Error or panic that ended the child.
    pub cause: Cause,
}

/// Why a child failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It returned this error, with its chain of causes.
    Error(String),
    /// It panicked with this message.
    Panic(String),
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Error(text) => write!(f, "{text}"),
            Self::Panic(text) => write!(f, "panic: {text}"),
        }
    }
}

/// Cancellation token of a task; cheap to clone.
#[derive(Clone, Debug)]
pub struct StopToken {
    signal: Shared<oneshot::Receiver<()>>,
}

impl StopToken {
    /// Creates a token and the source that cancels it.
    pub fn new() -> (StopSource, Self) {
        let (tx, rx) = oneshot::channel();
        let stop = Self {
            signal: rx.shared(),
        };
        (StopSource(RefCell::new(Some(tx))), stop)
    }

    /// Waits until a stop is requested.
    pub async fn wait(&self) {
        let _ = self.signal.clone().await;
    }

    /// Returns whether a stop was requested.
    pub fn is_stopped(&self) -> bool {
        self.signal.clone().now_or_never().is_some()
    }

    /// Runs `work` until it ends or a stop is requested, whichever comes first; returns `None` for a stop.
    ///
    /// `work` is boxed outside the async block: an async function that pins its argument reserves its size twice.
    pub fn unless_stopped<'a, T>(
        &'a self,
        work: impl Future<Output = T> + 'a,
    ) -> impl Future<Output = Option<T>> + 'a
    where
        T: 'a,
    {
        let work = Box::pin(work);
        async move {
            match select(pin!(self.wait()), work).await {
                Either::Left(_) => None,
                Either::Right((result, _)) => Some(result),
            }
        }
    }
}

/// Cancels its [`StopToken`]s, at the latest when dropped.
#[derive(Debug)]
pub struct StopSource(RefCell<Option<oneshot::Sender<()>>>);

impl StopSource {
    /// Requests a stop of all tasks that hold a token.
    pub fn stop(&self) {
        self.0.borrow_mut().take();
    }
}

/// Starts, restarts and stops tasks; clones are handles of the same supervisor.
#[derive(Clone)]
pub struct Supervisor {
    inner: Rc<Inner>,
}

struct Inner {
    name: Rc<str>,
    limits: Limits,
    observer: Rc<dyn Fn(&Failure)>,
    stopper: StopSource,
    stop: StopToken,
    killer: StopSource,
    kill: StopToken,
    children: Cell<usize>,
    tx: UnboundedSender<Report>,
    rx: RefCell<Option<UnboundedReceiver<Report>>>,
}

enum Report {
    Failed(Failure),
    Ended,
}

impl Supervisor {
    /// Creates a supervisor without children; `observer` is called for each failure in it and below it.
    pub fn new(name: &str, limits: Limits, observer: impl Fn(&Failure) + 'static) -> Self {
        Self::with_observer(name, limits, Rc::new(observer))
    }

    fn with_observer(name: &str, limits: Limits, observer: Rc<dyn Fn(&Failure)>) -> Self {
        let (stopper, stop) = StopToken::new();
        let (killer, kill) = StopToken::new();
        let (tx, rx) = unbounded();
        let inner = Inner {
            name: name.into(),
            limits,
            observer,
            stopper,
            stop,
            killer,
            kill,
            children: Cell::new(0),
            tx,
            rx: RefCell::new(Some(rx)),
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// Starts a child; `make` creates its future for the first run and for each restart.
    pub fn child<F, Fut>(&self, name: &str, restart: Restart, make: F)
    where
        F: FnMut(StopToken) -> Fut + 'static,
        Fut: Future<Output = anyhow::Result<()>> + 'static,
    {
        let inner = Rc::clone(&self.inner);
        inner.children.set(inner.children.get() + 1);
        let child = Child {
            name: name.into(),
            restart,
            inner: Rc::clone(&inner),
        };
        monoio::spawn(async move {
            let kill = inner.kill.clone();
            kill.unless_stopped(child.keep_running(make)).await;
            inner.children.set(inner.children.get() - 1);
            let _ = inner.tx.unbounded_send(Report::Ended);
        });
    }

    /// Starts a supervisor below this one; `fill` starts its children, at first and after each restart.
    ///
    /// It stops together with this one and fails as a child when its own children fail too often.
    pub fn subtree<F>(&self, name: &str, limits: Limits, mut fill: F)
    where
        F: FnMut(&Supervisor) + 'static,
    {
        let path: Rc<str> = format!("{}/{name}", self.inner.name).into();
        let observer = Rc::clone(&self.inner.observer);
        self.child(name, Restart::OnFailure, move |stop| {
            let nested = Self::with_observer(&path, limits, Rc::clone(&observer));
            fill(&nested);
            async move {
                let guard = KillOnDrop(nested.clone());
                let stopped = async {
                    stop.wait().await;
                    nested.stop();
                    std::future::pending().await
                };
                let result = match select(pin!(nested.run()), pin!(stopped)).await {
                    Either::Left((result, _)) => result,
                    Either::Right((never, _)) => never,
                };
                drop(guard);
                result
            }
        });
    }

    /// Returns the token that is passed to the children.
    pub fn stop_token(&self) -> StopToken {
        self.inner.stop.clone()
    }

    /// Requests a stop of all children, after which [`Supervisor::run`] returns.
    pub fn stop(&self) {
        self.inner.stopper.stop();
    }

    /// Drops all children without waiting for them to end.
    pub fn kill(&self) {
        self.inner.stopper.stop();
        self.inner.killer.stop();
    }

    /// Returns the number of children that have not ended.
    pub fn children(&self) -> usize {
        self.inner.children.get()
    }

    /// Runs until [`Supervisor::stop`] is called or there are too many failures, then waits at most
    /// [`Limits::stop`] for the children to end.
    ///
    /// # Errors
    ///
    /// Fails when there were too many failures, or when it is called twice.
    pub async fn run(&self) -> anyhow::Result<()> {
        let rx = self.inner.rx.borrow_mut().take();
        let mut rx =
            rx.ok_or_else(|| anyhow!("supervisor {} is already running", self.inner.name))?;
        let failed = self.inner.stop.unless_stopped(self.watch(&mut rx)).await;
        self.stop();
        self.join_children(&mut rx).await;
        match failed {
            Some(reason) => Err(reason),
            None => Ok(()),
        }
    }

    /// Counts failures until they exceed the limit; returns the error of the supervisor.
    async fn watch(&self, rx: &mut UnboundedReceiver<Report>) -> anyhow::Error {
        let limits = self.inner.limits;
        let mut failures = VecDeque::new();
        loop {
            let Some(Report::Failed(failure)) = rx.next().await else {
                continue;
            };
            let now = Instant::now();
            failures.push_back(now);
            while failures.front().is_some_and(|at| now - *at > limits.window) {
                failures.pop_front();
            }
            if failures.len() > limits.failures {
                return anyhow!(
                    "{} had more than {} failures within {} s, the last one in {}: {}",
                    self.inner.name,
                    limits.failures,
                    limits.window.as_secs(),
                    failure.child,
                    failure.cause
                );
            }
        }
    }

    /// Waits for the children to end and drops those that take longer than [`Limits::stop`].
    async fn join_children(&self, rx: &mut UnboundedReceiver<Report>) {
        let ended = async {
            while self.children() > 0 {
                rx.next().await;
            }
        };
        let ended = monoio::time::timeout(self.inner.limits.stop, ended).await;
        if ended.is_err() {
            Event::new("stop_cut_short")
                .field("supervisor", &self.inner.name)
                .field("children", self.children())
                .warn();
        }
        self.inner.killer.stop();
    }
}

impl fmt::Debug for Supervisor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Supervisor")
            .field("name", &self.inner.name)
            .field("children", &self.inner.children.get())
            .finish_non_exhaustive()
    }
}

/// Kills a supervisor when the task that runs it is dropped.
struct KillOnDrop(Supervisor);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        self.0.kill();
    }
}

struct Child {
    name: Rc<str>,
    restart: Restart,
    inner: Rc<Inner>,
}

impl Child {
    async fn keep_running<F, Fut>(&self, mut make: F)
    where
        F: FnMut(StopToken) -> Fut,
        Fut: Future<Output = anyhow::Result<()>>,
    {
        let mut backoff = BACKOFF_MIN;
        while !self.inner.stop.is_stopped() {
            let started = Instant::now();
            let cause = self.run_once(&mut make).await.err();
            if started.elapsed() >= HEALTHY_AFTER {
                backoff = BACKOFF_MIN;
            }
            if let Some(cause) = &cause {
                self.report(cause, backoff);
            }
            if !self.should_restart(cause.is_some()) {
                return;
            }
            let sleep = monoio::time::sleep(backoff);
            self.inner.stop.unless_stopped(sleep).await;
            backoff = (backoff * 2).min(BACKOFF_MAX);
        }
    }

    async fn run_once<F, Fut>(&self, make: &mut F) -> Result<(), Cause>
    where
        F: FnMut(StopToken) -> Fut,
        Fut: Future<Output = anyhow::Result<()>>,
    {
        let stop = self.inner.stop.clone();
        let run = async move { make(stop).await };
        match AssertUnwindSafe(run).catch_unwind().await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(error)) => Err(Cause::Error(format!("{error:#}"))),
            Err(payload) => Err(Cause::Panic(panic_message(&*payload).into())),
        }
    }

    fn should_restart(&self, failed: bool) -> bool {
        match self.restart {
            Restart::Always => true,
            Restart::OnFailure => failed,
            Restart::Never => false,
        }
    }

    fn report(&self, cause: &Cause, backoff: Duration) {
        let event = Event::new("task_failed")
            .field("supervisor", &self.inner.name)
            .field("task", &self.name)
            .field("cause", cause);
        let restarts = self.restart != Restart::Never && !self.inner.stop.is_stopped();
        if restarts {
            event.field("restart_ms", backoff.as_millis()).warn();
        } else {
            event.warn();
        }
        let failure = Failure {
            supervisor: Rc::clone(&self.inner.name),
            child: Rc::clone(&self.name),
            cause: cause.clone(),
        };
        (self.inner.observer)(&failure);
        if restarts {
            let _ = self.inner.tx.unbounded_send(Report::Failed(failure));
        }
    }
}
