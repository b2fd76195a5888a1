//! The daemon: its parts, started and stopped together.

use {
    crate::{
        admin,
        audit::{
            Audit,
            AuditEvent, //
        },
        data::{
            path::{
                DataPath,
                Parts, //
            },
            relay::Relay,
        },
        error::Error,
        members::{
            Control,
            ControlEvent,
            ControlSettings, //
        },
        metrics::Metrics,
        operations::Desk,
    },
    foxtailhinge_config::settings::Settings,
    foxtailhinge_wire::ticket::TicketKeys,
    monoio::{
        net::TcpListener,
        LegacyDriver,
        RuntimeBuilder, //
    },
    std::{
        rc::Rc,
        sync::{
            atomic::{
                AtomicBool,
                Ordering, //
            },
            Arc, //
        },
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Time between two looks at what still runs while the daemon stops.
const STOP_PERIOD: Duration = Duration::from_millis(50);

/// Time for which a stopped daemon still passes packets on, since the fabric may not know yet.
const LINGER: Duration = Duration::from_secs(1);

/// Runs the daemon until it is told to stop.
///
/// # Errors
///
/// Why it could not start, or had to end.
pub fn run(settings: Settings) -> Result<(), Error> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .map_err(Error::Runtime)?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), Error> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register_conditional_shutdown(signal, 1, Arc::clone(&stop))
            .map_err(Error::Runtime)?;
        signal_hook::flag::register(signal, Arc::clone(&stop)).map_err(Error::Runtime)?;
    }
    let path = build(&settings)?;
    let admin = TcpListener::bind(settings.admin).map_err(|source| Error::Bind {
        role: "admin",
        addr: settings.admin,
        source,
    })?;
    let desk = Rc::new(Desk::new(Rc::clone(&path), &settings));
    monoio::spawn(admin::serve(admin, desk));
    monoio::spawn(Rc::clone(&path).read_relay());
    monoio::spawn(Rc::clone(&path).run_upkeep());
    let control = Rc::clone(&path.control);
    let handler = Rc::new(Rc::clone(&path));
    monoio::spawn(control.run(Rc::clone(path.prober()), handler));
    while !stop.load(Ordering::Relaxed) {
        monoio::time::sleep(STOP_PERIOD).await;
    }
    leave(&path, settings.limits.drain).await;
    Ok(())
}

fn build(settings: &Settings) -> Result<Rc<DataPath>, Error> {
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
        metrics: Rc::new(Metrics::new()),
        audit: Rc::new(Audit::new(incarnation)),
        tickets: TicketKeys::new(keys),
        listen: settings.listen,
        relay,
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
            let (service_name, revision) = (Arc::from(&**service), *revision);
            let record = match new {
                Some(_) => AuditEvent::DocumentApplied {
                    service: service_name,
                    revision,
                },
                None => AuditEvent::DocumentRemoved {
                    service: service_name,
                    revision,
                },
            };
            path.audit.record(record);
            path.apply(service, new.clone());
        }
        ControlEvent::Refused {
            service, revision, ..
        } => path.audit.record(AuditEvent::DocumentRefused {
            service: Arc::from(&**service),
            revision: *revision,
            findings: Vec::new(),
        }),
        ControlEvent::Member(_) => path.reconcile(),
        ControlEvent::Paused(_) => {
            path.metrics.pauses_fenced.inc();
            path.audit.record(AuditEvent::FleetFenced);
        }
        ControlEvent::Synced => path.audit.record(AuditEvent::FleetRejoined),
    }
}

/// Hands all upstreams over and ends what is in progress, for at most `drain`.
async fn leave(path: &Rc<DataPath>, drain: Duration) {
    path.audit.record(AuditEvent::Stopping);
    path.stopping.set(true);
    path.control.leave();
    let began = Instant::now();
    while began.elapsed() < drain && (path.is_busy() || began.elapsed() < LINGER) {
        monoio::time::sleep(STOP_PERIOD).await;
    }
}
