//! Requests a second and processor time a request through two daemons, beside a bare UDP relay.
//!
//! Run with `cargo bench -p foxtailhinge --bench relay`. The ingress passes each request on to the
//! owner, which asks the upstream and answers the caller. The bare relay reads a datagram, sends it to
//! the upstream, and gives the answer back; it knows no tickets, flows or limits.

#[path = "../common/mod.rs"]
mod common;

use common::{
    cpu_of,
    fleet,
    pid_of,
    us,
    Addresses, //
    Caller,
};
use monoio::{
    net::udp::UdpSocket,
    LegacyDriver,
    RuntimeBuilder, //
};
use std::{
    net::{
        SocketAddr,
        UdpSocket as StdSocket, //
    },
    rc::Rc,
    sync::mpsc,
    thread,
    time::Duration, //
};

const ROUND: Duration = Duration::from_secs(2);
const ROUNDS: usize = 7;
const FLOWS: usize = 64;
const DATAGRAM_MAX: usize = 2048;

/// Starts a bare relay to `upstream` on a thread of its own; gives its address and thread id.
fn bare_relay(upstream: SocketAddr) -> (SocketAddr, u32) {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let mut runtime = RuntimeBuilder::<LegacyDriver>::new().build().unwrap();
        runtime.block_on(async move {
            let front = StdSocket::bind("127.0.0.1:0").unwrap();
            front.set_nonblocking(true).unwrap();
            let addr = front.local_addr().unwrap();
            // SAFETY: The call has no preconditions.
            let id = unsafe { libc::gettid() };
            tx.send((addr, id as u32)).unwrap();
            let front = Rc::new(UdpSocket::from_std(front).unwrap());
            pass(front, upstream).await;
        });
    });
    rx.recv().unwrap()
}

/// Passes datagrams of one caller to the upstream and back.
async fn pass(front: Rc<UdpSocket>, upstream: SocketAddr) {
    let back = Rc::new(UdpSocket::bind("127.0.0.1:0").unwrap());
    let (mut buf, mut first) = (vec![0; DATAGRAM_MAX], true);
    loop {
        let (res, b) = front.recv_from(buf).await;
        buf = b;
        let (len, caller) = res.unwrap();
        if std::mem::take(&mut first) {
            monoio::spawn(pass_back(Rc::clone(&back), Rc::clone(&front), caller));
        }
        buf.truncate(len);
        let (_, b) = back.send_to(buf, upstream).await;
        buf = b;
        buf.resize(DATAGRAM_MAX, 0);
    }
}

async fn pass_back(back: Rc<UdpSocket>, front: Rc<UdpSocket>, caller: SocketAddr) {
    let mut buf = vec![0; DATAGRAM_MAX];
    loop {
        let (res, b) = back.recv_from(buf).await;
        buf = b;
        let (len, _) = res.unwrap();
        buf.truncate(len);
        let (_, b) = front.send_to(buf, caller).await;
        buf = b;
        buf.resize(DATAGRAM_MAX, 0);
    }
}

/// What one round gave for one path.
#[derive(Clone, Copy)]
struct Measured {
    /// Answers a second.
    rate: f64,
    /// Processor time of the busiest process for each answer, in microseconds.
    busiest: f64,
}

/// Prints what one round gave for one path.
fn row(path: &str, answers: u64, cpu: &[(&str, Duration)]) -> Measured {
    let rate = answers as f64 / ROUND.as_secs_f64();
    let busiest = cpu.iter().map(|(_, time)| us(*time)).fold(0.0, f64::max);
    let each = cpu.iter().map(|(role, time)| {
        let one = us(*time) / answers.max(1) as f64;
        format!("{role} {one:.2} us, at most {:.0}/s of one core", 1e6 / one)
    });
    let each: Vec<_> = each.collect();
    println!("{path:<34} {rate:>8.0}/s  {}", each.join("; "));
    Measured {
        rate,
        busiest: busiest / answers.max(1) as f64,
    }
}

/// Median, lowest and highest of some values.
fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let (low, high) = (values[0], values[values.len() - 1]);
    let median = values[values.len() / 2];
    format!("{median:.2} ({low:.2} to {high:.2})")
}

/// Prints a path's rate over that of the bare relay in the same round, and its processor time.
fn ratio(path: &str, bare: &[Measured], measured: &[Measured]) {
    let rates = bare.iter().zip(measured).map(|(b, m)| m.rate / b.rate);
    let shares = bare
        .iter()
        .zip(measured)
        .map(|(b, m)| b.busiest / m.busiest);
    let busiest = measured.iter().map(|m| m.busiest);
    println!(
        "{path:<34} rate over bare {}, by processor time {}, us {}",
        spread(rates.collect()),
        spread(shares.collect()),
        spread(busiest.collect()),
    );
}

fn main() {
    let fleet = fleet();
    let places = Addresses::of(&fleet);
    let [ingress, owner] = places.daemons;
    let pids = [pid_of("vm-1"), pid_of("vm-2")];
    let (bare, thread) = bare_relay(places.upstream);
    let mut caller = Caller::new();
    let mut plain = Caller::new();
    let mut flows = caller.open(FLOWS, ingress, owner);
    println!("{FLOWS} requests in progress, {} s a row", ROUND.as_secs());
    let (mut bares, mut relayed, mut owned) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        let before = cpu_of(thread);
        let answers = plain.run_load_plain(FLOWS, bare, ROUND);
        let cpu = [("relay", cpu_of(thread) - before)];
        bares.push(row("bare relay", answers, &cpu));

        let before = pids.map(cpu_of);
        let answers = caller.run_load(&mut flows, ingress, ROUND);
        let after = pids.map(cpu_of);
        let cpu = [
            ("ingress", after[0] - before[0]),
            ("owner", after[1] - before[1]),
        ];
        relayed.push(row("ingress, other daemon owns", answers, &cpu));

        let before = pids.map(cpu_of);
        let answers = caller.run_load(&mut flows, owner, ROUND);
        let after = pids.map(cpu_of);
        let cpu = [("daemon", after[1] - before[1])];
        owned.push(row("ingress owns", answers, &cpu));

        let before = pids.map(cpu_of);
        let answers = plain.run_load_plain(FLOWS, ingress, ROUND);
        let after = pids.map(cpu_of);
        let cpu = [
            ("ingress", after[0] - before[0]),
            ("owners", after[1] - before[1]),
        ];
        row("new flows (opened, not confirmed)", answers, &cpu);
    }
    ratio("bare relay", &bares, &bares);
    ratio("ingress, other daemon owns", &bares, &relayed);
    ratio("ingress owns", &bares, &owned);
}
