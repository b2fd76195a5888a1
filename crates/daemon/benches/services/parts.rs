//! Memory of one service, part by part, within this process.

use crate::{
    document,
    elsewhere,
    heap::Heap,
    Block, //
};
use foxtailhinge::{
    audit::Audit,
    data::{
        path::{
            DataPath,
            Parts, //
        },
        relay::Relay,
        service::Service,
        socket::Socket, //
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
};
use foxtailhinge_config::{
    document::ServiceDocument,
    settings::Settings, //
};
use foxtailhinge_wire::{
    message::DocumentRecord,
    ticket::TicketKeys, //
};
use monoio::{
    LegacyDriver,
    RuntimeBuilder, //
};
use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Time that spawned tasks get to begin.
const SETTLE: Duration = Duration::from_millis(500);

fn name(i: usize) -> String {
    format!("syncdesk-api-{i:04}")
}

fn text(i: usize) -> Rc<str> {
    document(i, 0, &elsewhere(i)).into()
}

/// Prints the memory of each part for `n` services.
pub(crate) fn run(block: &Block, n: usize) {
    println!(
        "{:<44} {:>10} {:>10} {:>10}",
        format!("part of {n} services, each"),
        "asked for",
        "taken",
        "resident"
    );
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .unwrap();
    runtime.block_on(measure(block, n));
    // Tasks that wait are not to be woken by what is dropped.
    std::mem::forget(runtime);
}

async fn measure(block: &Block, n: usize) {
    let start = Heap::now();
    let texts: Vec<_> = (0..n).map(text).collect();
    start.print("text", n);
    let start = Heap::now();
    let parsed: Vec<Rc<ServiceDocument>> = texts
        .iter()
        .map(|text| Rc::new(ServiceDocument::parse("bench", text).unwrap()))
        .collect();
    start.print("parsed document", n);
    start.print_sizes(n);
    let start = Heap::now();
    let sockets: Vec<_> = (0..n)
        .map(|i| Rc::new(Socket::bind(block.addr(1, 10_000 + i as u16)).unwrap()))
        .collect();
    start.print("socket", n);
    start.print_sizes(n);
    let start = Heap::now();
    let now = Instant::now();
    let services: Vec<_> = parsed
        .iter()
        .map(|doc| Service::new(Rc::clone(doc), Rc::clone(&sockets[0]), None, now))
        .collect();
    start.print("service without its document and socket", n);
    start.print_sizes(n);
    drop((services, sockets, parsed, texts));
    control(block, n);
    whole(block, n).await;
}

fn settings(block: &Block) -> ControlSettings {
    let text = format!(
        r#"{{ "vm": "vm-1", "zone": "windhoek-1", "listen": "{}", "relay": "{}", "control": "{}",
            "admin": "{}", "platform": "{}", "fleet": "bench",
            "keys": [ {{ "slot": 0, "secret": "{}" }} ] }}"#,
        block.addr(1, 0).ip(),
        block.addr(1, 7000),
        block.addr(1, 7001),
        block.addr(1, 7002),
        block.addr(250, 8080),
        "07".repeat(32)
    );
    let settings = Settings::parse("bench", &text).unwrap();
    ControlSettings::new(&settings, 1, 1)
}

fn fill(control: &Control, n: usize) {
    for i in 0..n {
        let record = DocumentRecord {
            service: name(i),
            revision: 1 + i as u64,
            text: Some(document(i, 0, &elsewhere(i))),
        };
        control.apply_document(record, &Source::Platform);
    }
}

fn control(block: &Block, n: usize) {
    let start = Heap::now();
    let control = Control::new(settings(block));
    fill(&control, n);
    start.print("control part, documents in force", n);
    start.print_sizes(n);
}

async fn whole(block: &Block, n: usize) {
    let start = Heap::now();
    let control = Control::new(settings(block));
    let relay = Relay::bind(block.addr(1, 7000), control.settings().keys.clone());
    let path = DataPath::new(Parts {
        control,
        metrics: Rc::new(Metrics::new()),
        audit: Rc::new(Audit::new(1)),
        tickets: TicketKeys::new(vec![(0, [7; 32])]),
        listen: Some(block.addr(1, 0).ip()),
        relay: relay.unwrap(),
        supervisor: Supervisor::new("bench", Limits::default(), |_| {}),
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
    fill(&path.control, n);
    monoio::time::sleep(SETTLE).await;
    start.print("whole daemon", n);
    start.print_sizes(n);
    std::mem::forget(path);
}
