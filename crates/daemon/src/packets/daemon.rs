//! The packet daemon: builds its components, and starts and stops them together.

use super::{
    evidence::Evidence,
    metrics::PacketMetrics,
    path::PacketPath,
    ready,
    reload::LiveSettings,
    view::View,
    zone::{
        Parts,
        Zone, //
    },
};
use crate::{
    admin::{
        serve_reports,
        serve_with, //
    },
    daemon::{
        bind,
        block_on, //
    },
    error::Error,
    logging::{
        self,
        Event, //
    },
    signal::{
        Hangup,
        Signals, //
    },
    socket::Socket,
    store::follow,
    supervisor::{
        Limits,
        Restart,
        Supervisor, //
    },
    timer::Timer,
};
use flexi_logger::LoggerHandle;
use foxtailhinge_config::packet_settings::PacketSettings;
use foxtailhinge_policy::packets::{
    Balancer,
    Position, //
};
use futures::future::{
    select,
    Either, //
};
use rand::{
    rngs::SmallRng,
    SeedableRng, //
};
use std::{
    cell::Cell,
    future::Future,
    net::SocketAddr,
    path::PathBuf,
    pin::pin,
    rc::Rc,
    time::{
        Duration,
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    },
};

/// Interval at which expired state is evicted.
const EVICTION_PERIOD: Duration = Duration::from_secs(1);

/// Interval at which the balancer is told the time of day and the position of this daemon in its zone.
const SURROUNDINGS_PERIOD: Duration = Duration::from_secs(1);

/// Interval at which the settings file is read again, because it may change without a signal.
const SETTINGS_PERIOD: Duration = Duration::from_secs(2);

/// Time for which packets are still forwarded after the readiness check starts to fail: the fabric probes twice a
/// second and takes a daemon out of rotation after the second refusal.
const LINGER: Duration = Duration::from_millis(2_500);

/// Part of the grace period that is reserved for the exit of the process.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// The components of a packet daemon.
pub struct Daemon {
    pub(super) settings: LiveSettings,
    pub(super) view: Rc<View>,
    pub(super) path: Rc<PacketPath>,
    pub(super) metrics: Rc<PacketMetrics>,
    pub(super) zone: Option<Rc<Zone>>,
    timer: Rc<Timer>,
    stopping: Cell<bool>,
    logger: LoggerHandle,
}

/// Settings with the file that they were read from.
#[derive(Debug)]
pub struct SettingsFile {
    /// Path of the file.
    pub path: PathBuf,
    /// Contents of the file.
    pub text: Vec<u8>,
    /// Settings parsed from the contents.
    pub settings: PacketSettings,
}

/// Runs the daemon until a signal stops it.
///
/// # Errors
///
/// Fails if the daemon cannot start, or has to end without a signal.
pub fn run(file: SettingsFile) -> Result<(), Error> {
    let logger = logging::start(logging::level(file.settings.log))
        .map_err(|err| Error::Failed(err.into()))?;
    block_on(serve(file, logger))
}

async fn serve(file: SettingsFile, logger: LoggerHandle) -> Result<(), Error> {
    let began = Instant::now();
    let mut signals = Signals::register().map_err(Error::Runtime)?;
    let hangup = Hangup::register().map_err(Error::Runtime)?;
    let metrics = Rc::new(PacketMetrics::new());
    let restarts = Rc::clone(&metrics);
    let supervisor = Supervisor::new("daemon", Limits::default(), move |_| {
        restarts.task_restarts.inc();
    });
    let daemon = Rc::new(build(file, logger, metrics)?);
    start(&daemon, hangup, &supervisor)?;
    let settings = daemon.settings.get();
    Event::new("started")
        .field("vm", &settings.vm)
        .field("zone", &settings.zone)
        .field("listen", settings.listen)
        .field("store", settings.store)
        .field("took_ms", began.elapsed().as_millis())
        .info();
    let running = pin!(supervisor.run());
    let stopped = pin!(signals.stop());
    match select(running, stopped).await {
        Either::Left((ended, _)) => Ok(ended?),
        Either::Right((stopped, running)) => {
            stopped.map_err(Error::Runtime)?;
            drain(&daemon).await;
            supervisor.kill();
            running.await?;
            Event::new("stopped")
                .field("flows", daemon.path.balancer().flow_count())
                .info();
            Ok(())
        }
    }
}

/// Leaves the fabric's rotation and forwards the packets that still arrive.
async fn drain(daemon: &Daemon) {
    let grace = daemon.settings.get().limits.grace;
    let linger = LINGER.min(grace.saturating_sub(GRACE_MARGIN));
    Event::new("stopping")
        .field("flows", daemon.path.balancer().flow_count())
        .field("linger_ms", linger.as_millis())
        .info();
    daemon.stopping.set(true);
    daemon.timer.sleep(linger).await;
}

fn build(
    file: SettingsFile,
    logger: LoggerHandle,
    metrics: Rc<PacketMetrics>,
) -> Result<Daemon, Error> {
    let settings = &file.settings;
    let view = View::new(settings.store, settings.limits.clone(), Rc::clone(&metrics));
    let view = Rc::new(view);
    let listen = SocketAddr::V4(settings.listen);
    let socket = Socket::bind(listen).map_err(|source| Error::Bind {
        role: "listen",
        addr: listen,
        source,
    })?;
    let balancer = Balancer::new(Rc::from(&*settings.zone), SmallRng::from_os_rng());
    let evidence = Rc::new(Evidence::default());
    let path = Rc::new(PacketPath::new(
        socket,
        balancer,
        Rc::clone(&view),
        Rc::clone(&evidence),
        Rc::clone(&metrics),
    ));
    path.set_load_settings(&settings.load);
    let timer = Timer::start();
    let zone = settings.control.map(|addr| {
        let parts = Parts {
            view: Rc::clone(&view),
            path: Rc::clone(&path),
            evidence,
            metrics: Rc::clone(&metrics),
            timer: Rc::clone(&timer),
        };
        Zone::new(settings, addr, parts)
    });
    Ok(Daemon {
        settings: LiveSettings::new(file.path, file.text, file.settings),
        zone,
        view,
        path,
        metrics,
        timer,
        stopping: Cell::new(false),
        logger,
    })
}

/// Starts the long-lived tasks.
fn start(daemon: &Rc<Daemon>, hangup: Hangup, supervisor: &Supervisor) -> Result<(), Error> {
    let view = Rc::clone(&daemon.view);
    supervisor.child("view", Restart::Always, move |_| {
        let view = Rc::clone(&view);
        async move {
            follow(&*view).await;
            Ok(())
        }
    });
    let path = Rc::clone(&daemon.path);
    supervisor.child("path", Restart::Always, move |_| {
        let path = Rc::clone(&path);
        async move { Ok(path.run().await?) }
    });
    let delayed = Rc::clone(daemon);
    supervisor.child("held", Restart::Always, move |_| {
        let daemon = Rc::clone(&delayed);
        async move {
            daemon.path.run_delayed(&daemon.timer).await;
            Ok(())
        }
    });
    let evicting = Rc::clone(daemon);
    supervisor.child("tidy", Restart::Always, move |_| {
        let daemon = Rc::clone(&evicting);
        async move { daemon.evict_periodically().await }
    });
    let surrounded = Rc::clone(daemon);
    supervisor.child("surroundings", Restart::Always, move |_| {
        let daemon = Rc::clone(&surrounded);
        async move { daemon.update_surroundings().await }
    });
    start_reload(daemon, hangup, supervisor);
    start_zone(daemon, supervisor)?;
    start_ready(daemon, supervisor)?;
    start_admin(daemon, supervisor)
}

/// Starts the exchange with the other daemons of the zone, if the settings name a control address.
fn start_zone(daemon: &Rc<Daemon>, supervisor: &Supervisor) -> Result<(), Error> {
    let Some(zone) = daemon.zone.clone() else {
        return Ok(());
    };
    let addr = zone.control_addr();
    let mut first = Some(bind("control", addr)?);
    let serving = Rc::clone(&zone);
    supervisor.child("zone_server", Restart::Always, move |_| {
        let listener = first.take().map_or_else(|| bind("control", addr), Ok);
        let zone = Rc::clone(&serving);
        async move {
            zone.serve(listener?).await;
            Ok(())
        }
    });
    zone_child(supervisor, "zone_members", &zone, Zone::exchange_members);
    zone_child(supervisor, "zone_evidence", &zone, Zone::report_failures);
    zone_child(supervisor, "zone_feed", &zone, Zone::follow);
    zone_child(supervisor, "zone_load", &zone, Zone::exchange_loads);
    Ok(())
}

/// Starts a task of the zone that never returns.
fn zone_child<F: Future<Output = ()> + 'static>(
    supervisor: &Supervisor,
    name: &'static str,
    zone: &Rc<Zone>,
    run: fn(Rc<Zone>) -> F,
) {
    let zone = Rc::clone(zone);
    supervisor.child(name, Restart::Always, move |_| {
        let task = run(Rc::clone(&zone));
        async move {
            task.await;
            Ok(())
        }
    });
}

fn start_reload(daemon: &Rc<Daemon>, hangup: Hangup, supervisor: &Supervisor) {
    let watching = Rc::clone(daemon);
    supervisor.child("settings", Restart::Always, move |_| {
        let daemon = Rc::clone(&watching);
        async move { daemon.watch_settings().await }
    });
    let signalled = Rc::clone(daemon);
    let mut hangup = Some(hangup);
    supervisor.child("hangup", Restart::OnFailure, move |_| {
        let daemon = Rc::clone(&signalled);
        let hangup = hangup.take();
        async move {
            let Some(mut hangup) = hangup else {
                return Ok(());
            };
            loop {
                hangup.wait().await?;
                daemon.reload("signal");
            }
        }
    });
}

fn start_ready(daemon: &Rc<Daemon>, supervisor: &Supervisor) -> Result<(), Error> {
    let addr = daemon.settings.get().ready;
    let mut first = Some(bind("ready", addr)?);
    let daemon = Rc::clone(daemon);
    supervisor.child("ready", Restart::Always, move |_| {
        let listener = first.take().map_or_else(|| bind("ready", addr), Ok);
        let daemon = Rc::clone(&daemon);
        async move {
            serve_with(listener?, move |req| {
                let ready = daemon.is_ready();
                async move { ready::answer(&req, ready) }
            })
            .await;
            Ok(())
        }
    });
    Ok(())
}

fn start_admin(daemon: &Rc<Daemon>, supervisor: &Supervisor) -> Result<(), Error> {
    let addr = daemon.settings.get().admin;
    let mut first = Some(bind("admin", addr)?);
    let daemon = Rc::clone(daemon);
    supervisor.child("admin", Restart::Always, move |_| {
        let listener = first.take().map_or_else(|| bind("admin", addr), Ok);
        let daemon = Rc::clone(&daemon);
        async move {
            serve_reports(listener?, daemon).await;
            Ok(())
        }
    });
    Ok(())
}

impl Daemon {
    /// Whether the fabric should send packets to this daemon.
    pub(super) fn is_ready(&self) -> bool {
        !self.stopping.get() && self.path.is_running() && self.view.directory().is_ready()
    }

    async fn evict_periodically(&self) -> anyhow::Result<()> {
        let mut ticks = self.timer.subscribe(EVICTION_PERIOD);
        loop {
            ticks.tick().await;
            self.path.evict_expired(self.settings.get().limits.flow);
        }
    }

    /// Tells the balancer the time of day and the position of this daemon in its zone.
    async fn update_surroundings(&self) -> anyhow::Result<()> {
        let mut ticks = self.timer.subscribe(SURROUNDINGS_PERIOD);
        loop {
            let zone = self.zone.as_ref();
            let position = zone.map_or(Position::ALONE, |zone| zone.position());
            // A clock before 1970 only changes the ranks of callers.
            let unix = SystemTime::now().duration_since(UNIX_EPOCH);
            self.path
                .set_surroundings(unix.unwrap_or_default(), position);
            ticks.tick().await;
        }
    }

    async fn watch_settings(&self) -> anyhow::Result<()> {
        let mut ticks = self.timer.subscribe(SETTINGS_PERIOD);
        loop {
            ticks.tick().await;
            self.reload("file");
        }
    }

    fn reload(&self, cause: &'static str) {
        let Some(settings) = self.settings.reload(cause) else {
            return;
        };
        self.view
            .reconfigure(settings.store, settings.limits.clone());
        self.path.set_load_settings(&settings.load);
        self.logger
            .set_new_spec(logging::spec(logging::level(settings.log)));
    }
}
