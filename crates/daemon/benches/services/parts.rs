//! Memory of one service by component, measured within this process.

use crate::{
    fixture::{
        daemon,
        document,
        fill,
        settings,
        unowned_upstreams, //
    },
    heap::Heap,
    Block, //
};
use foxtailhinge::{
    exchange::{
        path::DataPath,
        service::{
            Reachability,
            Service, //
        }, //
    },
    members::Control,
    socket::Socket, //
};
use foxtailhinge_config::document::ServiceDocument;
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

/// Time that spawned tasks get to start.
const SETTLE: Duration = Duration::from_millis(500);

fn text(i: usize) -> Rc<str> {
    document(i, 0, &unowned_upstreams(i)).into()
}

/// Prints the memory of each component, averaged over `n` services.
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
    // Skips the drop of the runtime: dropped values would wake waiting tasks, which monoio does not support outside
    // of a runtime.
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
    measure_daemon(block, n).await;
}

fn control(block: &Block, n: usize) {
    let start = Heap::now();
    let control = Control::new(settings(block.ip(1)));
    fill(&control, n);
    start.print("control part, documents in force", n);
    start.print_sizes(n);
}

async fn measure_daemon(block: &Block, n: usize) {
    let start = Heap::now();
    let path = daemon(block.ip(1));
    fill(&path.control, n);
    monoio::time::sleep(SETTLE).await;
    start.print("whole daemon", n);
    start.print_sizes(n);
    prepare_openings(&path, n);
    std::mem::forget(path);
}

/// Does what an ingress does to open a flow of each service: draws candidates and looks up the owners of all upstreams.
fn prepare_openings(path: &DataPath, n: usize) {
    let services: Vec<_> = path.services.borrow().values().cloned().collect();
    let start = Heap::now();
    for service in &services {
        service.draw((1, 1), |_| Reachability::Reachable, &mut rand::rng());
    }
    start.print("draw of candidates, once used", n);
    let start = Heap::now();
    for service in &services {
        for (_, named) in service.upstreams() {
            path.owner(named.key, &named.spec.zone);
        }
    }
    start.print("owners of upstreams, once used", n);
}
