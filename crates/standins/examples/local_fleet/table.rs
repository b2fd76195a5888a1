//! The table of results at the end of a run.

use crate::{
    promises::Figures,
    run::Record, //
};
use foxtailhinge_standins::{
    breaks::BrokenFlow,
    caller::Counts,
    load::Sample,
    upstream::records::{
        Arrival,
        PacketKind, //
    }, //
};
use hdrhistogram::Histogram;
use std::{
    ops::Range,
    process::ExitCode,
    time::{
        Duration,
        Instant, //
    }, //
};

/// Width of the first column.
const NAME_WIDTH: usize = 46;
/// Target for the busiest upstream's requests over the mean, at 80 % load.
const IMBALANCE_TARGET: f64 = 1.05;

/// Upper bound of the latency histogram, in microseconds.
const LATENCY_MAX_US: u64 = 60_000_000;
/// Upper limit on the entries of each list.
const LISTED_MAX: usize = 20;

/// A phase of the run between two events.
struct Phase {
    name: &'static str,
    times: Range<Instant>,
}

/// Prints the table; the exit code is a failure if a guarantee was broken.
pub(crate) fn print(record: &Record) -> ExitCode {
    let figures = Figures::of(record);
    println!();
    print_latencies(record);
    print_flows(record, &figures);
    print_requests(record, &figures);
    print_upstreams(record, &figures);
    print_phases(record);
    let broken = figures.promises_broken(record);
    println!();
    for promise in &broken {
        println!("BROKEN: {promise}");
    }
    if broken.is_empty() {
        println!("All promises were kept.");
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}

fn row(name: &str, value: impl std::fmt::Display) {
    println!("{name:NAME_WIDTH$} {value}");
}

fn print_latencies(record: &Record) {
    let latencies = &record.latencies;
    row(
        "one-way latency caller to entry VM",
        milliseconds(latencies.caller),
    );
    row(
        "  in another zone (none between daemons)",
        milliseconds(latencies.caller + latencies.zone),
    );
    let crossed: u64 = record.fabrics.iter().map(|one| one.crossed).sum();
    let packets = record.fabrics.iter();
    let packets: u64 = packets.map(|one| one.to_daemons + one.to_callers).sum();
    row(
        "packets of callers between zones",
        format!("{crossed} of {packets}"),
    );
}

fn print_flows(record: &Record, figures: &Figures) {
    let mut counts = Counts::default();
    record.results.iter().for_each(|one| counts += one.counts);
    row("flows opened", counts.flows + record.feed_counts.flows);
    row(
        "flows given up with their zone (agreed)",
        figures.breaks.accepted,
    );
    row("flows broken (must be 0)", figures.breaks.broken.len());
    for (cause, count) in figures.breaks.causes() {
        row(&format!("  {cause}"), count);
    }
    for flow in figures.breaks.broken.iter().take(LISTED_MAX) {
        print_broken(record, flow);
    }
    let notifications = record.feeds.iter().map(|one| one.notifications);
    let gap = record.feeds.iter().map(|one| one.largest_gap).max();
    row("notifications of feeds", notifications.sum::<u64>());
    let refused = record.feeds.iter().map(|one| one.refused);
    row(
        "registrations of feeds refused as not run",
        refused.sum::<u64>(),
    );
    row("largest gap in a feed", seconds(gap.unwrap_or_default()));
}

fn print_broken(record: &Record, flow: &BrokenFlow) {
    let at = flow.at.map(|at| seconds(at - record.times.start));
    let (cause, upstream) = (flow.cause, &flow.upstream);
    println!("    {cause} at {}, {upstream}", at.unwrap_or_default());
    for (at, step) in &flow.trail {
        println!("      {} {step:?}", seconds(*at - record.times.start));
    }
}

fn print_requests(record: &Record, figures: &Figures) {
    let count = |name| samples(record).filter(|one| one.outcome == name).count();
    row("requests answered", count("answered"));
    row("requests refused as not run", count("not run"));
    row("requests with unknown outcome", count("unknown"));
    row("requests without any answer", count("timed out"));
    row(
        "requests cut by a planned stop (must be 0)",
        figures.cut_by_stop.len(),
    );
    for request in figures.cut_by_stop.iter().take(LISTED_MAX) {
        println!("    {request}");
    }
    let posts = samples(record).filter(|one| one.post.is_some());
    row("POSTs sent", posts.count());
    row(
        "runs of each POST over one (must be 0)",
        figures.runs_over_one,
    );
    row(
        "refused as not run, but ran (must be 0)",
        figures.refused_but_ran,
    );
    row("wrong service (must be 0)", figures.wrong_service);
    row("wrong or torn answers (must be 0)", figures.wrong_answer);
}

fn print_upstreams(record: &Record, figures: &Figures) {
    for service in record.services {
        let name = format!("imbalance of {service}, before (target {IMBALANCE_TARGET})");
        row(&name, imbalance(record, service));
    }
    let name = format!(
        "packets into {} 5 s after it is out (must be 0)",
        record.zone
    );
    row(&name, figures.zone_packets.len());
    for packet in figures.zone_packets.iter().take(LISTED_MAX) {
        println!("    {packet}");
    }
    row(
        "requests beyond a cold start (must be 0)",
        figures.cold_overload,
    );
    print_overloads(record);
    let shed = record.upstreams.iter().map(|one| one.records.shed);
    row("requests shed by upstreams", shed.sum::<u64>());
    row("calls to the platform", record.platform_calls);
}

/// Returns the requests of a service's busiest upstream over their mean, while all zones are in service.
fn imbalance(record: &Record, service: &str) -> String {
    let times = record.times.start..record.times.zone_out;
    let counts = |arrivals: &[Arrival]| {
        let inside = |one: &&Arrival| one.kind == PacketKind::Request && times.contains(&one.at);
        arrivals.iter().filter(inside).count()
    };
    let own = record.upstreams.iter().filter(|one| one.service == service);
    let loads: Vec<usize> = own.map(|one| counts(&one.records.arrivals)).collect();
    let mean = loads.iter().sum::<usize>() as f64 / loads.len() as f64;
    let most = loads.iter().copied().max().unwrap_or(0) as f64;
    format!("{:.3} (mean {mean:.0} requests)", most / mean)
}

fn print_phases(record: &Record) {
    println!();
    println!(
        "{:NAME_WIDTH$} {:>9} {:>8} {:>8} {:>9} {:>9} {:>9}",
        "phase", "answered", "not run", "lost", "in time", "p50", "p99"
    );
    for phase in phases(record) {
        print_phase(record, &phase);
    }
}

fn phases(record: &Record) -> [Phase; 4] {
    let times = &record.times;
    let phase = |name, begin, end| Phase {
        name,
        times: begin..end,
    };
    [
        phase("before: all zones in", times.start, times.zone_out),
        phase("during: one zone out", times.zone_out, times.zone_in),
        phase("after: the zone is back", times.zone_in, times.stop),
        phase("one daemon stopped, one killed", times.stop, times.end),
    ]
}

fn print_phase(record: &Record, phase: &Phase) {
    let inside = |one: &&Sample| phase.times.contains(&one.began);
    let all = samples(record).filter(inside).count();
    let mut took = Histogram::<u64>::new_with_bounds(1, LATENCY_MAX_US, 3)
        .expect("the bounds of the histogram are in order");
    for sample in samples(record)
        .filter(inside)
        .filter(|one| one.is_answered())
    {
        took.saturating_record(sample.took.as_micros() as u64);
    }
    let count = |names: &[&str]| {
        let named = samples(record).filter(inside);
        named.filter(|one| names.contains(&one.outcome)).count()
    };
    let quantile = |share| milliseconds(Duration::from_micros(took.value_at_quantile(share)));
    let share = 100.0 * took.len() as f64 / all.max(1) as f64;
    println!(
        "{:NAME_WIDTH$} {:>9} {:>8} {:>8} {:>8.2}% {:>9} {:>9}",
        phase.name,
        took.len(),
        count(&["not run"]),
        count(&["unknown", "timed out"]),
        share,
        quantile(0.5),
        quantile(0.99)
    );
}

fn samples(record: &Record) -> impl Iterator<Item = &Sample> {
    record.results.iter().flat_map(|one| &one.samples)
}

fn seconds(time: Duration) -> String {
    format!("{:.2} s", time.as_secs_f64())
}

fn milliseconds(time: Duration) -> String {
    format!("{:.1} ms", time.as_secs_f64() * 1000.0)
}

fn print_overloads(record: &Record) {
    for upstream in &record.upstreams {
        for one in upstream.records.cold_overloads.iter().take(LISTED_MAX) {
            let at = seconds(one.at.saturating_duration_since(record.times.start));
            let name = &upstream.name;
            println!(
                "    {name} at {at} from {}, {} running",
                one.from, one.running
            );
        }
    }
}
