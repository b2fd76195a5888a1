//! Data path and control part of a daemon within the test's own process, and documents for them.

use foxtailhinge::{
    audit::Audit,
    exchange::{
        path::{
            DataPath,
            Parts, //
        },
        relay::Relay,
    },
    members::{
        Control,
        ControlEvent,
        ControlSettings,
        Source, //
    },
    metrics::Metrics,
    supervisor::{
        Limits,
        Supervisor, //
    },
    timer::Timer,
};
use foxtailhinge_config::settings::Settings;
use foxtailhinge_wire::{
    message::DocumentRecord,
    ticket::TicketKeys, //
};
use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    rc::Rc,
};

const FIRST_PORT: u16 = 10_000;
const UPSTREAM_PORT: u16 = 5683;

/// Returns two upstreams in a zone without daemons, so that this daemon owns none of them.
pub(crate) fn unowned_upstreams(i: usize) -> [(SocketAddr, &'static str); 2] {
    let ip = |n| Ipv4Addr::new(10, n, (i / 200) as u8, (i % 200) as u8);
    [3, 4].map(|n| ((ip(n), UPSTREAM_PORT).into(), "windhoek-2"))
}

pub(crate) fn name(i: usize) -> String {
    format!("syncdesk-api-{i:04}")
}

/// Returns a document of typical length: 700 B with two upstreams.
pub(crate) fn document(i: usize, note: u32, upstreams: &[(SocketAddr, &str)]) -> String {
    let entries: Vec<_> = upstreams
        .iter()
        .enumerate()
        .map(|(n, (addr, zone))| {
            format!(
                r#"    {{ "name": "syncdesk-{i:04}-{n}", "address": "{addr}", "zone": "{zone}", "slots": 4, "connections": 2000 }}"#
            )
        })
        .collect();
    let port = FIRST_PORT + i as u16;
    format!(
        r#"{{
  // Clearance desk of agency {i}, note {note}.
  "service": "{}",
  "address": "10.2.0.1:{port}",
  "zones": {{ "windhoek-1": "in", "windhoek-2": "in" }},
  "upstreams": [
{}
  ],
  "cold_start": {{ "slots": 1, "connections": 100, "ramp_s": 30 }},
  "defaults": {{ "deadline_ms": 2000, "queue": 4, "retry_budget_percent": 10, "idle_s": 3600 }},
  "routes": [ {{ "path": "/clearances", "idempotent": false, "deadline_ms": 5000 }} ]
}}"#,
        name(i),
        entries.join(",\n")
    )
}

/// Returns the settings of a daemon at `ip`.
pub(crate) fn settings(ip: Ipv4Addr) -> ControlSettings {
    let text = format!(
        r#"{{ "vm": "vm-1", "zone": "windhoek-1", "listen": "{ip}", "relay": "{ip}:7000",
            "control": "{ip}:7001", "admin": "{ip}:7002", "platform": "{ip}:7003", "fleet": "bench",
            "keys": [ {{ "slot": 0, "secret": "{}" }} ] }}"#,
        "07".repeat(32)
    );
    let settings = Settings::parse("test", &text).unwrap();
    ControlSettings::new(&settings, 1, 1)
}

/// Applies `n` documents, as if the platform had sent them.
pub(crate) fn fill(control: &Control, n: usize) {
    for i in 0..n {
        let record = DocumentRecord {
            service: name(i),
            revision: 1 + i as u64,
            text: Some(document(i, 0, &unowned_upstreams(i))),
        };
        control.apply_document(record, &Source::Platform);
    }
}

/// Returns a daemon without its long-lived tasks. It creates its services from the documents that are applied.
pub(crate) fn daemon(ip: Ipv4Addr) -> Rc<DataPath> {
    let control = Control::new(settings(ip));
    let relay = Relay::bind(control.settings().relay, control.settings().keys.clone());
    let path = DataPath::new(Parts {
        control,
        metrics: Rc::new(Metrics::new()),
        audit: Rc::new(Audit::new(1)),
        tickets: TicketKeys::new(vec![(0, [7; 32])]),
        listen: Some(ip.into()),
        relay: relay.unwrap(),
        supervisor: Supervisor::new("daemon", Limits::default(), |_| {}),
        timer: Timer::start(),
    });
    let weak = Rc::downgrade(&path);
    path.control.subscribe(move |event| {
        let ControlEvent::Document { service, new, .. } = event else {
            return;
        };
        if let Some(path) = weak.upgrade() {
            path.apply(service, new.clone());
        }
    });
    path
}
