//! Restarts, limits and stops of the supervisor tree.

use anyhow::bail;
use foxtailhinge::supervisor::{
    Cause,
    Failure,
    Limits,
    Restart,
    Supervisor, //
};
use futures::{
    future::{
        join,
        pending, //
    },
    FutureExt, //
};
use monoio::{
    time::sleep,
    LegacyDriver,
    RuntimeBuilder, //
};
use rstest::rstest;
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    future::Future,
    rc::Rc,
    time::Duration, //
};

const LIMITS: Limits = Limits {
    failures: 2,
    window: Duration::from_secs(600),
    stop: Duration::from_secs(600),
};

fn block_on<T>(work: impl Future<Output = T>) -> T {
    let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
    builder.build().unwrap().block_on(work)
}

/// Returns a supervisor and the failures that its observer records.
fn supervisor(limits: Limits) -> (Supervisor, Rc<RefCell<Vec<Failure>>>) {
    let failures = Rc::new(RefCell::new(Vec::new()));
    let seen = Rc::clone(&failures);
    let observe = move |failure: &Failure| seen.borrow_mut().push(failure.clone());
    (Supervisor::new("daemon", limits, observe), failures)
}

#[derive(Clone, Copy)]
enum End {
    Ok,
    Error,
    Panic,
}

impl End {
    fn result(self) -> anyhow::Result<()> {
        match self {
            Self::Ok => Ok(()),
            Self::Error => Err(anyhow::anyhow!("refused").context("connect")),
            Self::Panic => panic!("index out of bounds"),
        }
    }
}

/// Tests whether a child whose first run ends is restarted; a second run lasts until the stop.
#[rstest]
#[case::always_ok(Restart::Always, End::Ok, 2, None)]
#[case::always_error(Restart::Always, End::Error, 2, Some("connect: refused"))]
#[case::on_failure_ok(Restart::OnFailure, End::Ok, 1, None)]
#[case::on_failure_error(Restart::OnFailure, End::Error, 2, Some("connect: refused"))]
#[case::on_failure_panic(Restart::OnFailure, End::Panic, 2, Some("panic: index out of bounds"))]
#[case::never_error(Restart::Never, End::Error, 1, Some("connect: refused"))]
#[case::never_panic(Restart::Never, End::Panic, 1, Some("panic: index out of bounds"))]
fn a_child_that_ends(
    #[case] restart: Restart,
    #[case] end: End,
    #[case] runs: usize,
    #[case] cause: Option<&str>,
) {
    let (supervisor, failures) = supervisor(LIMITS);
    let count = Rc::new(Cell::new(0));
    let child_count = Rc::clone(&count);
    let handle = supervisor.clone();
    block_on(async {
        supervisor.child("links", restart, move |stop| {
            child_count.set(child_count.get() + 1);
            let (run, handle) = (child_count.get(), handle.clone());
            async move {
                if run == 1 {
                    return end.result();
                }
                handle.stop();
                stop.wait().await;
                Ok(())
            }
        });
        let stopper = supervisor.clone();
        let stop_idle = async move {
            while stopper.children() > 0 {
                sleep(Duration::from_millis(5)).await;
            }
            stopper.stop();
        };
        let (result, ()) = join(supervisor.run(), stop_idle).await;
        result.unwrap();
    });
    assert_eq!(count.get(), runs);
    let causes: Vec<_> = failures
        .borrow()
        .iter()
        .map(|f| f.cause.to_string())
        .collect();
    assert_eq!(causes, Vec::from_iter(cause));
}

#[test]
fn other_children_keep_running() {
    let (supervisor, _) = supervisor(Limits {
        failures: usize::MAX,
        ..LIMITS
    });
    let beats = Rc::new(Cell::new(0));
    let beat = Rc::clone(&beats);
    let handle = supervisor.clone();
    block_on(async {
        supervisor.child("failing", Restart::OnFailure, |_| async {
            panic!("once more")
        });
        supervisor.child("beating", Restart::OnFailure, move |_| {
            let (beat, handle) = (Rc::clone(&beat), handle.clone());
            async move {
                while beat.get() < 10 {
                    beat.set(beat.get() + 1);
                    sleep(Duration::from_millis(2)).await;
                }
                handle.stop();
                Ok(())
            }
        });
        supervisor.run().await.unwrap();
    });
    assert_eq!(beats.get(), 10);
}

#[test]
fn too_many_failures_end_it_with_the_reason() {
    let (supervisor, failures) = supervisor(LIMITS);
    let stopped_gracefully = Rc::new(Cell::new(false));
    let child_stopped = Rc::clone(&stopped_gracefully);
    let error = block_on(async {
        supervisor.child("platform", Restart::OnFailure, |_| async {
            bail!("no route")
        });
        supervisor.child("links", Restart::OnFailure, move |stop| {
            let child_stopped = Rc::clone(&child_stopped);
            async move {
                stop.wait().await;
                child_stopped.set(true);
                Ok(())
            }
        });
        supervisor.run().await.unwrap_err()
    });
    insta::assert_snapshot!(error);
    assert_eq!(failures.borrow().len(), 3);
    assert!(stopped_gracefully.get(), "the others end gracefully");
}

/// Callers can make the tasks of single connections fail as often as they like.
#[test]
fn failures_without_a_restart_do_not_count() {
    let (supervisor, failures) = supervisor(LIMITS);
    block_on(async {
        for _ in 0..20 {
            supervisor.child("connection", Restart::Never, |_| async { bail!("reset") });
        }
        let stopper = supervisor.clone();
        let stop_idle = async move {
            while stopper.children() > 0 {
                sleep(Duration::from_millis(5)).await;
            }
            stopper.stop();
        };
        let (result, ()) = join(supervisor.run(), stop_idle).await;
        result.unwrap();
    });
    assert_eq!(failures.borrow().len(), 20);
}

#[test]
fn a_stop_lets_children_finish() {
    let (supervisor, _) = supervisor(LIMITS);
    let started = Rc::new(Cell::new(0));
    let finished = Rc::new(Cell::new(0));
    block_on(async {
        for _ in 0..3 {
            let (started, finished) = (Rc::clone(&started), Rc::clone(&finished));
            supervisor.child("flow", Restart::Always, move |stop| {
                let (started, finished) = (Rc::clone(&started), Rc::clone(&finished));
                async move {
                    started.set(started.get() + 1);
                    stop.wait().await;
                    sleep(Duration::from_millis(20)).await;
                    finished.set(finished.get() + 1);
                    Ok(())
                }
            });
        }
        while started.get() < 3 {
            sleep(Duration::from_millis(1)).await;
        }
        supervisor.stop();
        supervisor.run().await.unwrap();
    });
    assert_eq!(finished.get(), 3);
}

/// A child that ignores the stop request is dropped after the limit's time.
#[test]
fn a_stop_has_a_time_limit() {
    struct SetOnDrop(Rc<Cell<bool>>);
    impl Drop for SetOnDrop {
        fn drop(&mut self) {
            self.0.set(true);
        }
    }
    let (supervisor, _) = supervisor(Limits {
        stop: Duration::from_millis(20),
        ..LIMITS
    });
    let dropped = Rc::new(Cell::new(false));
    let guard = Rc::clone(&dropped);
    block_on(async {
        supervisor.child("stuck", Restart::OnFailure, move |_| {
            let guard = SetOnDrop(Rc::clone(&guard));
            async move {
                pending::<()>().await;
                drop(guard);
                Ok(())
            }
        });
        let handle = supervisor.clone();
        let stop = async {
            sleep(Duration::from_millis(5)).await;
            handle.stop();
        };
        let (result, ()) = join(supervisor.run(), stop).await;
        result.unwrap();
        sleep(Duration::from_millis(5)).await;
        assert_eq!(supervisor.children(), 0);
    });
    assert!(dropped.get());
}

/// A subtree that exceeds its limit is one failure of its parent, which restarts it. It stops with its parent.
#[test]
fn a_subtree_fails_and_stops_with_its_parent() {
    let (supervisor, failures) = supervisor(LIMITS);
    let fills = Rc::new(Cell::new(0));
    let fill_count = Rc::clone(&fills);
    let root = supervisor.clone();
    block_on(async {
        let limits = Limits {
            failures: 0,
            ..LIMITS
        };
        supervisor.subtree("upstreams", limits, move |below| {
            fill_count.set(fill_count.get() + 1);
            let fails = fill_count.get() == 1;
            let root = root.clone();
            below.child("probe", Restart::OnFailure, move |stop| {
                let root = root.clone();
                async move {
                    if fails {
                        bail!("socket closed");
                    }
                    root.stop();
                    stop.wait().await;
                    Ok(())
                }
            });
        });
        supervisor.run().await.unwrap();
        assert_eq!(supervisor.children(), 0);
    });
    assert_eq!(fills.get(), 2);
    let lines: Vec<_> = failures
        .borrow()
        .iter()
        .map(|f| format!("{} {}: {}", f.supervisor, f.child, f.cause))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn it_runs_once() {
    let (supervisor, _) = supervisor(LIMITS);
    block_on(async {
        let first = supervisor.clone();
        let first = async move { first.run().await };
        let second = async {
            let error = supervisor.run().await.unwrap_err();
            supervisor.stop();
            error
        };
        let (first, second) = join(first, second).await;
        first.unwrap();
        insta::assert_snapshot!(second);
    });
}

#[test]
fn a_stop_token_is_seen_without_waiting() {
    let (supervisor, _) = supervisor(LIMITS);
    let stop = supervisor.stop_token();
    assert!(!stop.is_stopped());
    assert!(stop.wait().now_or_never().is_none());
    supervisor.stop();
    assert!(stop.is_stopped());
    assert_eq!(Cause::Panic("x".into()).to_string(), "panic: x");
}
