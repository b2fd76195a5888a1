//! A daemon that forwards packets: its parts, started and stopped together.

use super::{
    path::Path,
    ready,
    view::View, //
};
use crate::{
    admin::serve_with,
    data::socket::Socket,
    error::Error,
    logging::{
        self,
        Event, //
    },
    signal::Signals,
    store::{
        follow::follow,
        Client, //
    },
    supervisor::{
        Limits,
        Restart,
        Supervisor, //
    },
    timer::Timer,
};
use foxtailhinge_config::packet_settings::PacketSettings;
use foxtailhinge_policy::packets::Balancer;
use futures::future::{
    select,
    Either, //
};
use monoio::{
    net::TcpListener,
    LegacyDriver,
    RuntimeBuilder, //
};
use rand::{
    rngs::SmallRng,
    SeedableRng, //
};
use std::{
    cell::Cell,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Time between two rounds of tidying up.
const TIDY_PERIOD: Duration = Duration::from_secs(1);

/// Time for which packets are still forwarded after the fabric was told to send no more: it asks twice a second and
/// believes the second refusal.
const LINGER: Duration = Duration::from_millis(2_500);

/// Part of the grace period that is kept for the end of the process.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

struct Daemon {
    settings: PacketSettings,
    view: Rc<View>,
    path: Rc<Path>,
    timer: Rc<Timer>,
    stopping: Cell<bool>,
}

/// Runs the daemon until it is told to stop.
///
/// # Errors
///
/// Why it could not start, or had to end.
pub fn run(settings: PacketSettings) -> Result<(), Error> {
    let level = settings.log.as_str().parse();
    let _logger = logging::start(level.unwrap_or(log::LevelFilter::Info))
        .map_err(|err| Error::Failed(err.into()))?;
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .map_err(Error::Runtime)?;
    let ended = runtime.block_on(serve(settings));
    // Connections that are open while the runtime is dropped wake their tasks across threads, which monoio refuses.
    std::mem::forget(runtime);
    ended
}

async fn serve(settings: PacketSettings) -> Result<(), Error> {
    let began = Instant::now();
    let mut signals = Signals::register().map_err(Error::Runtime)?;
    let supervisor = Supervisor::new("daemon", Limits::default(), |_| ());
    let daemon = Rc::new(build(settings)?);
    start(&daemon, &supervisor)?;
    Event::new("started")
        .field("vm", &daemon.settings.vm)
        .field("zone", &daemon.settings.zone)
        .field("took_ms", began.elapsed().as_millis())
        .info();
    let running = pin!(supervisor.run());
    let stopped = pin!(signals.stop());
    match select(running, stopped).await {
        Either::Left((ended, _)) => Ok(ended?),
        Either::Right((stopped, running)) => {
            stopped.map_err(Error::Runtime)?;
            leave(&daemon).await;
            supervisor.kill();
            running.await?;
            Event::new("stopped").info();
            Ok(())
        }
    }
}

/// Leaves the fabric's rotation and forwards what still comes.
async fn leave(daemon: &Daemon) {
    Event::new("stopping").info();
    daemon.stopping.set(true);
    let grace = daemon.settings.limits.grace.saturating_sub(GRACE_MARGIN);
    daemon.timer.sleep(LINGER.min(grace)).await;
}

fn build(settings: PacketSettings) -> Result<Daemon, Error> {
    let view = Rc::new(View::new(
        Client::new(settings.store),
        settings.limits.notice,
    ));
    let socket = Socket::bind(SocketAddr::V4(settings.listen)).map_err(|source| Error::Bind {
        role: "listen",
        addr: SocketAddr::V4(settings.listen),
        source,
    })?;
    let balancer = Balancer::new(Rc::from(&*settings.zone), SmallRng::from_os_rng());
    let path = Path::new(socket, settings.listen, balancer, Rc::clone(&view));
    Ok(Daemon {
        view,
        path: Rc::new(path),
        timer: Timer::start(),
        stopping: Cell::new(false),
        settings,
    })
}

fn start(daemon: &Rc<Daemon>, supervisor: &Supervisor) -> Result<(), Error> {
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
    let held = Rc::clone(daemon);
    supervisor.child("held", Restart::Always, move |_| {
        let daemon = Rc::clone(&held);
        async move {
            daemon.path.run_held(&daemon.timer).await;
            Ok(())
        }
    });
    let tidied = Rc::clone(daemon);
    supervisor.child("tidy", Restart::Always, move |_| {
        let daemon = Rc::clone(&tidied);
        async move {
            let mut ticks = daemon.timer.subscribe(TIDY_PERIOD);
            loop {
                ticks.tick().await;
                daemon.path.tidy(daemon.settings.limits.flow);
            }
        }
    });
    start_ready(daemon, supervisor)
}

fn start_ready(daemon: &Rc<Daemon>, supervisor: &Supervisor) -> Result<(), Error> {
    let addr = daemon.settings.ready;
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

impl Daemon {
    fn is_ready(&self) -> bool {
        !self.stopping.get() && self.view.directory().is_ready()
    }
}

fn bind(role: &'static str, addr: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(addr).map_err(|source| Error::Bind { role, addr, source })
}
