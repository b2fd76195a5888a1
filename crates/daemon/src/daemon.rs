//! Start and graceful shutdown of the daemon and its parts.

use crate::{
    admin,
    audit::{
        Audit,
        AuditEvent, //
    },
    error::Error,
    exchange::{
        path::{
            DataPath,
            Parts, //
        },
        relay::Relay,
    },
    logging::{
        self,
        Event, //
    },
    members::{
        Control,
        ControlEvent,
        ControlSettings, //
    },
    metrics::Metrics,
    operations::AdminOperations,
    signal::Signals,
    supervisor::{
        Limits,
        Restart,
        Supervisor, //
    },
    timer::Timer, //
};
use foxtailhinge_config::settings::Settings;
use foxtailhinge_policy::members::{
    ChangeKind,
    MemberState, //
};
use foxtailhinge_wire::ticket::TicketKeys;
use futures::future::{
    select,
    Either, //
};
use monoio::{
    net::TcpListener,
    LegacyDriver,
    RuntimeBuilder, //
};
use std::{
    future::Future,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Interval at which a stopping daemon checks whether work is still in progress.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time for which a stopping daemon still forwards packets, because the network fabric may not have noticed
/// the stop yet.
const LINGER: Duration = Duration::from_secs(1);

/// Runs the daemon until a signal requests a stop.
///
/// # Errors
///
/// Returns why the daemon could not start or had to end.
pub fn run(settings: Settings) -> Result<(), Error> {
    let _logger =
        logging::start(logging::level(settings.log)).map_err(|err| Error::Failed(err.into()))?;
    block_on(serve(settings))
}

/// Runs a daemon's main task on a new runtime.
pub(crate) fn block_on(main: impl Future<Output = Result<(), Error>>) -> Result<(), Error> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .map_err(Error::Runtime)?;
    let ended = runtime.block_on(main);
    // Dropping the runtime while links are open wakes their tasks across threads, which monoio does not support.
    std::mem::forget(runtime);
    ended
}

async fn serve(settings: Settings) -> Result<(), Error> {
    let mut signals = Signals::register().map_err(Error::Runtime)?;
    let metrics = Rc::new(Metrics::new());
    let restarts = Rc::clone(&metrics);
    let supervisor = Supervisor::new("daemon", Limits::default(), move |_| {
        restarts.task_restarts.inc();
    });
    let path = build(&settings, metrics, supervisor.clone())?;
    start(&path, &settings, &supervisor)?;
    Event::new("started")
        .field("vm", &settings.vm)
        .field("zone", &settings.zone)
        .field("incarnation", path.incarnation)
        .info();
    let running = pin!(supervisor.run());
    let stopped = pin!(signals.stop());
    match select(running, stopped).await {
        Either::Left((ended, _)) => Ok(ended?),
        Either::Right((stopped, running)) => {
            stopped.map_err(Error::Runtime)?;
            let stopped = shut_down(&path, settings.limits.drain).await;
            supervisor.kill();
            running.await?;
            stopped.info();
            Ok(())
        }
    }
}

/// Starts the long-lived tasks.
fn start(path: &Rc<DataPath>, settings: &Settings, supervisor: &Supervisor) -> Result<(), Error> {
    let timer = Rc::clone(&path.timer);
    let upkeep = Rc::clone(path);
    supervisor.child("upkeep", Restart::Always, move |_| {
        let task = Rc::clone(&upkeep).run_upkeep(Rc::clone(&timer));
        async move {
            task.await;
            Ok(())
        }
    });
    let relay = Rc::clone(path);
    supervisor.child("relay", Restart::Always, move |_| {
        let task = Rc::clone(&relay).read_relay();
        async move { Ok(task.await?) }
    });
    let control = Rc::clone(path);
    supervisor.child("control", Restart::Always, move |_| {
        let handler = Rc::new(Rc::clone(&control));
        let prober = Rc::clone(control.prober());
        let task = Rc::clone(&control.control).run(prober, handler);
        async move { Ok(task.await?) }
    });
    start_admin(path, settings, supervisor)
}

fn start_admin(
    path: &Rc<DataPath>,
    settings: &Settings,
    supervisor: &Supervisor,
) -> Result<(), Error> {
    let operations = Rc::new(AdminOperations::new(Rc::clone(path), settings));
    let addr = settings.admin;
    let mut first = Some(bind("admin", addr)?);
    supervisor.child("admin", Restart::Always, move |_| {
        let operations = Rc::clone(&operations);
        let listener = first.take().map_or_else(|| bind("admin", addr), Ok);
        async move {
            admin::serve(listener?, operations).await;
            Ok(())
        }
    });
    Ok(())
}

/// Binds a listener to a configured address; `role` names the address in the error.
pub(crate) fn bind(role: &'static str, addr: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(addr).map_err(|source| Error::Bind { role, addr, source })
}

fn build(
    settings: &Settings,
    metrics: Rc<Metrics>,
    supervisor: Supervisor,
) -> Result<Rc<DataPath>, Error> {
    let incarnation = rand::random();
    let control = Control::new(ControlSettings::new(settings, incarnation, rand::random()));
    let keys = settings.keys.iter();
    let keys = keys.map(|key| (key.slot, *key.secret.expose())).collect();
    let relay = Relay::bind(settings.relay, control.settings().keys.clone());
    let relay = relay.map_err(|source| Error::Bind {
        role: "relay",
        addr: settings.relay,
        source,
    })?;
    let path = DataPath::new(Parts {
        control,
        metrics,
        audit: Rc::new(Audit::new(incarnation)),
        tickets: TicketKeys::new(keys),
        listen: settings.listen,
        relay,
        supervisor,
        timer: Timer::start(),
    });
    let weak = Rc::downgrade(&path);
    path.control.subscribe(move |event| {
        if let Some(path) = weak.upgrade() {
            on_event(&path, event);
        }
    });
    Ok(path)
}

fn on_event(path: &Rc<DataPath>, event: &ControlEvent) {
    match event {
        ControlEvent::Document {
            service,
            revision,
            new,
            ..
        } => {
            path.record_document(service, *revision, new.is_some());
            path.apply(service, new.clone());
        }
        ControlEvent::Refused {
            service, revision, ..
        } => {
            path.record_refusal(service, *revision);
        }
        ControlEvent::Member(change) => {
            path.record_member(&change.member);
            if change.kind == ChangeKind::Superseded {
                Event::new("vm_id_taken")
                    .field("vm", &change.member.vm)
                    .field("by", change.member.incarnation)
                    .error();
            }
            path.reconcile();
            if change.member.state == MemberState::Dead {
                path.replay_requests(&change.member);
            }
        }
        ControlEvent::Paused(_) => {
            path.metrics.pauses_fenced.inc();
            path.audit.record(AuditEvent::FleetFenced);
        }
        ControlEvent::Synced => {
            path.audit.record(AuditEvent::FleetRejoined);
            path.rejoined.set(Instant::now());
            path.reclaim_held();
        }
    }
}

/// Hands over all upstreams and waits at most `drain` for work in progress; returns the log event of the shutdown.
async fn shut_down(path: &Rc<DataPath>, drain: Duration) -> Event {
    path.audit.record(AuditEvent::Stopping);
    path.stopping.set(true);
    path.control.leave();
    let began = Instant::now();
    while began.elapsed() < drain && (path.is_busy() || began.elapsed() < LINGER) {
        monoio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    Event::new("stopped")
        .field("took_ms", began.elapsed().as_millis())
        .field("requests_cut", path.metrics.requests_in_progress.get())
        .field("upstreams_kept", path.upstreams.borrow().len())
}
