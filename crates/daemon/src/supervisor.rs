//! Supervisor tree of the daemon's tasks.
//!
//! A child that fails is restarted with back-off while the others go on. More failures than the
//! limit within its window end the supervisor, which is a failure of its parent or the end of the
//! process.

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

/// Back-off after the first failure of a child; it doubles with each further one.
pub const BACKOFF_MIN: Duration = Duration::from_millis(100);

/// Longest back-off.
pub const BACKOFF_MAX: Duration = Duration::from_secs(10);

/// A child that ran this long without failing starts again with the shortest back-off.
pub const HEALTHY_AFTER: Duration = Duration::from_secs(60);

/// When a child is started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restart {
    /// Whenever it ends, also without a failure.
    Always,
    /// When it fails.
    OnFailure,
    /// Never, as for the task of one connection; a failure is logged and reported, and does not
    /// count against the limit.
    Never,
}

/// Bounds of a supervisor.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most failures within the window.
    pub failures: usize,
    /// Window in which failures are counted.
    pub window: Duration,
    /// Time that children get to end after a stop was asked for.
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
    /// Name of the supervisor.
    pub supervisor: Rc<str>,
    /// Name of the child.
    pub child: Rc<str>,
    /// Cause.
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

/// Tells a task to end; cheap to clone.
#[derive(Clone, Debug)]
pub struct StopToken {
    signal: Shared<oneshot::Receiver<()>>,
}

impl StopToken {
    /// A token and its other end.
    pub fn new() -> (StopSource, Self) {
        let (tx, rx) = oneshot::channel();
        let stop = Self {
            signal: rx.shared(),
        };
        (StopSource(RefCell::new(Some(tx))), stop)
    }

    /// Waits until the task should end.
    pub async fn wait(&self) {
        let _ = self.signal.clone().await;
    }

    /// Whether the task should end.
    pub fn is_stopped(&self) -> bool {
        self.signal.clone().now_or_never().is_some()
    }

    /// Runs `work` until it ends or the task should end, whichever comes first.
    ///
    /// `work` is boxed before anything waits: an argument of an async function that is pinned there takes its size
    /// twice.
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

/// Fires its [`StopToken`]s, at the latest when dropped.
#[derive(Debug)]
pub struct StopSource(RefCell<Option<oneshot::Sender<()>>>);

impl StopSource {
    /// Tells all tasks with a token to end.
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
    /// A supervisor without children; `observer` is told of each failure, in it and below it.
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

    /// Starts a child; `make` is called for its first run and for each restart.
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

    /// Starts a supervisor below this one; `fill` starts its children, again after each restart.
    ///
    /// It is stopped with this one and fails when it has too many failures.
    pub fn subtree<F>(&self, name: &str, limits: Limits, mut fill: F)
    where
        F: FnMut(&Supervisor) + 'static,
    {
        let path: Rc<str> = format!("{}/{name}", self.inner.name).into();
        let observer = Rc::clone(&self.inner.observer);
        self.child(name, Restart::OnFailure, move |stop| {
            let below = Self::with_observer(&path, limits, Rc::clone(&observer));
            fill(&below);
            async move {
                let guard = KillOnDrop(below.clone());
                let stopped = async {
                    stop.wait().await;
                    below.stop();
                    std::future::pending().await
                };
                let result = match select(pin!(below.run()), pin!(stopped)).await {
                    Either::Left((result, _)) => result,
                    Either::Right((never, _)) => never,
                };
                drop(guard);
                result
            }
        });
    }

    /// The token that this supervisor's children get.
    pub fn stop_token(&self) -> StopToken {
        self.inner.stop.clone()
    }

    /// Asks all children to end; [`Supervisor::run`] then returns.
    pub fn stop(&self) {
        self.inner.stopper.stop();
    }

    /// Drops all children at once.
    pub fn kill(&self) {
        self.inner.stopper.stop();
        self.inner.killer.stop();
    }

    /// Number of children that have not ended.
    pub fn children(&self) -> usize {
        self.inner.children.get()
    }

    /// Runs until [`Supervisor::stop`] was called or there were too many failures, then waits for
    /// the children to end, at most for the limit's time.
    ///
    /// # Errors
    ///
    /// Returns the reason when there were too many failures, or when it is called twice.
    pub async fn run(&self) -> anyhow::Result<()> {
        let rx = self.inner.rx.borrow_mut().take();
        let mut rx = rx.ok_or_else(|| anyhow!("supervisor {} runs already", self.inner.name))?;
        let failed = self.inner.stop.unless_stopped(self.watch(&mut rx)).await;
        self.stop();
        self.end(&mut rx).await;
        match failed {
            Some(reason) => Err(reason),
            None => Ok(()),
        }
    }

    /// Counts failures until there are too many.
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

    /// Waits for the children to end, and drops the ones that do not within the limit.
    async fn end(&self, rx: &mut UnboundedReceiver<Report>) {
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

/// Ends a supervisor whose own task is dropped.
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
            if !self.starts_again(cause.is_some()) {
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

    fn starts_again(&self, failed: bool) -> bool {
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
