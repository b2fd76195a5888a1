//! The scenarios, each with the policies that it compares.

use crate::{
    report::{
        percent,
        Span,
        Table, //
    },
    setup::{
        Change,
        Options,
        Pick,
        Policy,
        Retry,
        Scenario, //
    },
    sim::run,
    trace::{
        Burst,
        Flow,
        Load,
        Shape, //
    },
};
use std::{
    thread,
    time::Duration, //
};

/// A scenario that can be run by name.
pub(crate) struct Entry {
    pub(crate) name: &'static str,
    pub(crate) run: fn(),
}

/// All scenarios, in the order of their tables.
pub(crate) const SCENARIOS: &[Entry] = &[
    Entry {
        name: "single",
        run: single,
    },
    Entry {
        name: "network",
        run: network,
    },
    Entry {
        name: "unequal",
        run: unequal,
    },
    Entry {
        name: "queue",
        run: queue,
    },
    Entry {
        name: "cold",
        run: cold,
    },
    Entry {
        name: "zone",
        run: zone,
    },
    Entry {
        name: "returning",
        run: returning,
    },
    Entry {
        name: "feeds",
        run: feeds,
    },
    Entry {
        name: "burst",
        run: burst,
    },
    Entry {
        name: "deadline",
        run: deadline,
    },
    Entry {
        name: "retry",
        run: retry,
    },
    Entry {
        name: "sick",
        run: shedding,
    },
    Entry {
        name: "few",
        run: few,
    },
    Entry {
        name: "all-down",
        run: crate::least_bad::table,
    },
    Entry {
        name: "herd",
        run: crate::herd::table,
    },
    Entry {
        name: "overload",
        run: crate::overload::tables,
    },
    Entry {
        name: "scale",
        run: scale,
    },
];

const SEED: u64 = 1;
const SERVICE: Duration = Duration::from_millis(20);
const DEFAULT: Options = Options::DEFAULT;

/// 14 upstreams with 4 slots each and 8 daemons, without network latency.
fn base(shape: Shape, seconds: u64, busy: f64) -> Scenario {
    let upstreams = 14;
    let slots = 4;
    Scenario {
        upstreams,
        slots,
        daemons: 8,
        zones: 4,
        load: Load {
            seed: SEED,
            shape,
            service: SERVICE,
            rate: busy * (upstreams as f64) * f64::from(slots) / SERVICE.as_secs_f64(),
            length: Duration::from_secs(seconds),
            burst: None,
        },
        caller: Duration::ZERO,
        hop: Duration::ZERO,
        deadline: Duration::from_secs(2),
        retry_timeout: Duration::from_secs(60),
        ramp: Duration::from_secs(30),
        changes: Vec::new(),
        spans: vec![Duration::ZERO],
        connections: 2_000,
        seeds: SEEDS,
    }
}

/// As [`base`], with a one-way latency of 1 ms to callers and 1 ms between daemons.
fn network_base(shape: Shape, seconds: u64, busy: f64) -> Scenario {
    Scenario {
        caller: Duration::from_millis(1),
        hop: Duration::from_millis(1),
        ..base(shape, seconds, busy)
    }
}

fn single() {
    let scenario = base(Shape::Single, 90, 0.8);
    print_placement(
        "single: flows of one request, queue of 4, no network",
        &scenario,
        &policies(4),
    );
}

fn network() {
    let scenario = network_base(Shape::Single, 90, 0.8);
    print_placement(
        "network: as single, 1 ms to callers and between daemons",
        &scenario,
        &policies(4),
    );
    print_placement("network: queue of 16", &scenario, &policies(16));
}

fn unequal() {
    let mut scenario = network_base(Shape::Unequal, 300, 0.8);
    scenario.spans = vec![Duration::from_secs(100)];
    print_placement(
        "unequal: pinned flows of 2 to 200 requests, queue of 4",
        &scenario,
        &policies(4),
    );
    print_placement("unequal: queue of 16", &scenario, &policies(16));
}

fn queue() {
    let mut scenario = network_base(Shape::Unequal, 300, 0.8);
    scenario.spans = vec![Duration::from_secs(100)];
    let names = [
        "queue 0", "queue 4", "queue 8", "queue 16", "queue 32", "queue 64",
    ];
    let queues = [0, 4, 8, 16, 32, 64].map(|queue| Options { queue, ..DEFAULT });
    let policies: Vec<_> = names.into_iter().zip(queues).collect();
    print_placement("queue: pinned flows, 80 % busy", &scenario, &policies);
}

fn policies(queue: u32) -> Vec<(&'static str, Options)> {
    let defaults = Options { queue, ..DEFAULT };
    let baseline = |policy| Options {
        queue,
        ..Options::baseline(policy)
    };
    let pick = |candidates, pick| Options {
        candidates,
        pick,
        ..defaults
    };
    vec![
        (
            "least loaded, view 250 ms old",
            baseline(Policy::StaleLeast),
        ),
        ("two choices, view 250 ms old", baseline(Policy::StaleTwo)),
        ("random", baseline(Policy::Random)),
        ("two choices on own counts", baseline(Policy::OwnCounts)),
        ("round robin", baseline(Policy::RoundRobin)),
        ("owner, 1 candidate", pick(1, Pick::FirstFree)),
        ("owner, 2, last queues", pick(2, Pick::FirstFree)),
        ("owner, 3, last queues", pick(3, Pick::FirstFree)),
        ("owner, 4, last queues", pick(4, Pick::FirstFree)),
        (
            "owner, 2, least loaded queues",
            pick(2, Pick::FirstFreeElseLeast),
        ),
        (
            "owner, 3, least loaded queues",
            pick(3, Pick::FirstFreeElseLeast),
        ),
        (
            "owner, 4, least loaded queues",
            pick(4, Pick::FirstFreeElseLeast),
        ),
        ("owner, 2, all asked", pick(2, Pick::LeastLoad)),
        ("owner, 3, all asked", pick(3, Pick::LeastLoad)),
        (
            "owner, 3, random points",
            Options {
                sequence: false,
                ..pick(3, Pick::FirstFreeElseLeast)
            },
        ),
        (
            "owner, 3, no reservation",
            Options {
                reserve: false,
                ..pick(3, Pick::FirstFreeElseLeast)
            },
        ),
    ]
}

fn cold() {
    let baselines = [
        ("random", Options::baseline(Policy::Random)),
        (
            "two choices on own counts",
            Options::baseline(Policy::OwnCounts),
        ),
        (
            "owner, no allowance",
            Options {
                allowance: false,
                ..DEFAULT
            },
        ),
        ("owner, allowance", DEFAULT),
    ];
    for (shape, title) in [
        (
            Shape::Single,
            "cold: one of 14 falls into a cold start, flows of one request",
        ),
        (
            Shape::Unequal,
            "cold: one of 14 falls into a cold start, pinned flows",
        ),
    ] {
        let mut scenario = network_base(shape, 140, 0.7);
        scenario.changes = vec![(Duration::from_secs(60), Change::ColdStart(0))];
        scenario.spans = spans([40, 60, 100]);
        print_service(
            title,
            ["before", "40 s after", "then"],
            &scenario,
            &baselines,
        );
    }
}

fn zone() {
    let mechanisms = [
        ("random", Options::baseline(Policy::Random)),
        (
            "two choices on own counts",
            Options::baseline(Policy::OwnCounts),
        ),
        (
            "owner, no allowance",
            Options {
                allowance: false,
                ..DEFAULT
            },
        ),
        ("owner, allowance", DEFAULT),
        (
            "owner, allowance, last queues",
            Options {
                pick: Pick::FirstFree,
                ..DEFAULT
            },
        ),
        (
            "owner, allowance, no bounce",
            Options {
                candidates: 1,
                ..DEFAULT
            },
        ),
        (
            "owner, allowance, queue of 4",
            Options {
                queue: 4,
                ..DEFAULT
            },
        ),
        (
            "owner, allowance, headroom",
            Options {
                headroom: 1,
                ..DEFAULT
            },
        ),
    ]
    .map(|(name, options)| (name, with_retry_after(options)));
    for (busy, title) in [
        (0.55, "zone: 4 of 14 out for 40 s, 55 % busy before"),
        (0.8, "zone: 4 of 14 out for 40 s, 80 % busy before"),
    ] {
        for (shape, flows) in [
            (Shape::Single, "flows of one request"),
            (Shape::Unequal, "pinned flows"),
        ] {
            let mut scenario = zone_out_and_in(shape, busy);
            scenario.spans = spans([40, 60, 100]);
            let title = format!("{title}, {flows}");
            print_service(&title, ["before", "out", "back"], &scenario, &mechanisms);
        }
    }
}

/// Share of the requests that a zone gets after it returned to service, in steps of 5 s.
fn returning() {
    const STEP_S: u64 = 5;
    const STEPS: u64 = 9;
    let policies = [
        (
            "owner, no allowance",
            with_retry_after(Options {
                allowance: false,
                ..DEFAULT
            }),
        ),
        ("owner, allowance", with_retry_after(DEFAULT)),
    ];
    let mut scenario = zone_out_and_in(Shape::Single, 0.55);
    scenario.spans = (0..STEPS)
        .map(|step| Duration::from_secs(100 + step * STEP_S))
        .collect();
    scenario.seeds = 1;
    println!("returning: requests (%) of the returned zone in each 5 s; its capacity is 28.6 %\n");
    let mut table = Table::new(&[
        "policy", "5", "10", "15", "20", "25", "30", "35", "40", "rest",
    ]);
    for ((name, _), spans) in policies.iter().zip(measure(&scenario, &policies)) {
        let mut row = vec![(*name).to_string()];
        row.extend(spans.iter().map(|span| {
            let zone = span.by_upstream.iter().step_by(scenario.zones);
            format!("{:.1}", percent(zone.sum(), span.by_upstream.iter().sum()))
        }));
        table.row(row);
    }
    println!("{table}");
}

/// Feeds with a mean duration of 10 minutes, 1,000 per upstream, while a zone is taken out and returned to service.
fn feeds() {
    let pick = |candidates, pick| Options {
        candidates,
        pick,
        ..DEFAULT
    };
    let policies = [
        ("random", Options::baseline(Policy::Random)),
        ("owner, 3, least loaded queues", DEFAULT),
        ("owner, 2, all asked, flows", pick(2, Pick::LeastConnected)),
        ("owner, 3, all asked, flows", pick(3, Pick::LeastConnected)),
    ]
    .map(|(name, options)| (name, with_retry_after(options)));
    let mut scenario = network_base(Shape::Feed, 4_200, 0.1667);
    scenario.changes = vec![
        (Duration::from_secs(1_800), Change::ZoneOut(0)),
        (Duration::from_secs(2_100), Change::ZoneIn(0)),
    ];
    scenario.spans = [1_799, 2_099, 2_160, 2_400, 2_700, 3_300, 3_900]
        .map(Duration::from_secs)
        .to_vec();
    println!("feeds: 10 min in the mean, 1,000 an upstream; zone out for 5 min; flows of an");
    println!("upstream in service, max over mean, and share in time (%) of the whole time\n");
    let mut table = Table::new(&[
        "policy",
        "before",
        "out",
        "back 1 min",
        "5 min",
        "10 min",
        "20 min",
        "30 min",
        "in time",
    ]);
    for ((name, _), spans) in policies.iter().zip(measure(&scenario, &policies)) {
        let mut row = vec![(*name).to_string()];
        row.extend(
            spans
                .iter()
                .map(|span| format!("{:.3}", span.flows_imbalance)),
        );
        let in_time: u64 = spans.iter().map(|span| span.in_time).sum();
        let all: u64 = spans.iter().map(Span::requests).sum();
        row.push(format!("{:.2}", percent(in_time, all)));
        table.row(row);
    }
    println!("{table}");
}

fn zone_out_and_in(shape: Shape, busy: f64) -> Scenario {
    let mut scenario = network_base(shape, 200, busy);
    scenario.changes = vec![
        (Duration::from_secs(60), Change::ZoneOut(0)),
        (Duration::from_secs(100), Change::ZoneIn(0)),
    ];
    scenario
}

/// Refused callers retry after the delay of `RetryAfter`.
const fn with_retry_after(options: Options) -> Options {
    Options {
        retry_after: Some(true),
        ..options
    }
}

fn burst() {
    let policies = [
        (
            "retry after 1 s",
            Options {
                retry_after: Some(false),
                ..DEFAULT
            },
        ),
        (
            "spread retries",
            Options {
                retry_after: Some(true),
                ..DEFAULT
            },
        ),
        (
            "spread, bounces reserve retries",
            Options {
                retry_after: Some(true),
                bounce_reserves_retry: true,
                ..DEFAULT
            },
        ),
        (
            "spread, no bounce",
            Options {
                retry_after: Some(true),
                candidates: 1,
                ..DEFAULT
            },
        ),
        (
            "spread, no queue",
            Options {
                retry_after: Some(true),
                queue: 0,
                ..DEFAULT
            },
        ),
        (
            "spread, queue 4",
            Options {
                retry_after: Some(true),
                queue: 4,
                ..DEFAULT
            },
        ),
        (
            "spread, 1 slot headroom",
            Options {
                retry_after: Some(true),
                headroom: 1,
                ..DEFAULT
            },
        ),
    ];
    let mut scenario = network_base(Shape::Single, 140, 0.8);
    scenario.load.burst = Some(Burst {
        from: Duration::from_secs(40),
        to: Duration::from_secs(60),
        factor: 2.0,
    });
    scenario.spans = spans([20, 40, 60]);
    print_service(
        "burst: arrivals doubled for 20 s",
        ["before", "burst", "after"],
        &scenario,
        &policies,
    );
}

/// Requests with a deadline of 100 ms, in an overload of pinned flows.
fn deadline() {
    let policies = [
        (
            "queue 4, both",
            Options {
                queue: 4,
                ..DEFAULT
            },
        ),
        ("queue 16, both", DEFAULT),
        (
            "queue 64, both",
            Options {
                queue: 64,
                ..DEFAULT
            },
        ),
        (
            "queue 16, flows only",
            Options {
                early_refusal: false,
                ..DEFAULT
            },
        ),
        (
            "queue 64, flows only",
            Options {
                early_refusal: false,
                queue: 64,
                ..DEFAULT
            },
        ),
    ];
    let mut scenario = network_base(Shape::Unequal, 140, 0.7);
    scenario.deadline = Duration::from_millis(100);
    scenario.load.burst = Some(Burst {
        from: Duration::from_secs(60),
        to: Duration::from_secs(100),
        factor: 2.0,
    });
    scenario.spans = spans([40, 60, 100]);
    let title = "deadline: 100 ms, arrivals of pinned flows doubled for 40 s, early refusal";
    print_service(title, ["before", "burst", "after"], &scenario, &policies);
}

fn retry() {
    let with = |retry, allowance| Options {
        retry,
        allowance,
        retry_after: Some(true),
        ..DEFAULT
    };
    let policies = [
        ("no retry, no allowance", with(Retry::None, false)),
        (
            "retry unbounded, no allowance",
            with(Retry::Unbounded, false),
        ),
        (
            "retry budget 10 %, no allowance",
            with(Retry::Budget(10), false),
        ),
        ("no retry, allowance", with(Retry::None, true)),
        ("retry unbounded, allowance", with(Retry::Unbounded, true)),
        (
            "retry budget 10 %, allowance",
            with(Retry::Budget(10), true),
        ),
    ];
    let mut scenario = network_base(Shape::Unequal, 140, 0.7);
    for upstream in 0..4 {
        scenario
            .changes
            .push((Duration::from_secs(60), Change::ColdStart(upstream)));
    }
    scenario.spans = spans([40, 60, 100]);
    print_service(
        "retry: 4 of 14 fall into a cold start, pinned flows",
        ["before", "40 s after", "then"],
        &scenario,
        &policies,
    );
}

fn shedding() {
    let with = |retry| Options {
        retry,
        retry_after: Some(true),
        ..DEFAULT
    };
    let policies = [
        ("no retry", with(Retry::None)),
        ("retry unbounded", with(Retry::Unbounded)),
        ("retry budget 10 %", with(Retry::Budget(10))),
        ("retry budget 20 %", with(Retry::Budget(20))),
    ];
    for (share, title) in [
        (0.05, "shedding: every upstream sheds 5 % for 40 s"),
        (0.6, "shedding: every upstream sheds 60 % for 40 s"),
    ] {
        let mut scenario = network_base(Shape::Unequal, 140, 0.7);
        for upstream in 0..scenario.upstreams {
            let shedding = Change::Shed(upstream, share);
            let well = Change::Shed(upstream, 0.0);
            scenario.changes.push((Duration::from_secs(60), shedding));
            scenario.changes.push((Duration::from_secs(100), well));
        }
        scenario.spans = spans([40, 60, 100]);
        print_service(title, ["before", "shedding", "after"], &scenario, &policies);
    }
}

/// Short runs: after how many requests the load is evenly distributed, by requests and by service time.
fn few() {
    let policies = [
        ("random", Options::baseline(Policy::Random)),
        ("round robin", Options::baseline(Policy::RoundRobin)),
        (
            "owner, 3, random points",
            Options {
                sequence: false,
                ..DEFAULT
            },
        ),
        ("owner, 3, sequence", DEFAULT),
    ];
    for (busy, requests) in [(0.3, 4_000), (0.8, 1_000), (0.8, 4_000), (0.8, 16_000)] {
        let mut scenario = network_base(Shape::Single, 1, busy);
        scenario.load.length = Duration::from_secs_f64(f64::from(requests) / scenario.load.rate);
        scenario.seeds = 10;
        println!("few: {requests} flows of one request, {busy} busy, worst of 10 seeds\n");
        let mut table = Table::new(&["policy", "p99 wait", "requests", "service time", "bounces"]);
        for ((name, _), spans) in policies.iter().zip(measure(&scenario, &policies)) {
            table.row(vec![
                (*name).to_string(),
                format!("{:.0} ms", spans[0].p99_wait_ms()),
                format!("{:.3}", spans[0].worst_imbalance()),
                format!("{:.3}", spans[0].worst_service_imbalance()),
                format!("{:.2}", spans[0].bounces_per_flow()),
            ]);
        }
        println!("{table}");
    }
}

fn scale() {
    let policies = [
        ("random", Options::baseline(Policy::Random)),
        ("round robin", Options::baseline(Policy::RoundRobin)),
        (
            "owner, 1 candidate",
            Options {
                candidates: 1,
                ..DEFAULT
            },
        ),
        (
            "owner, 2 candidates",
            Options {
                candidates: 2,
                ..DEFAULT
            },
        ),
        ("owner, 3 candidates", DEFAULT),
        (
            "owner, 4 candidates",
            Options {
                candidates: 4,
                ..DEFAULT
            },
        ),
    ];
    let mut scenario = network_base(Shape::Single, 10, 0.8);
    scenario.upstreams = 13_000;
    scenario.daemons = 2_400;
    // 200,000 new flows per second use 80 % of the slots.
    scenario.load.service = Duration::from_millis(208);
    scenario.load.rate = 200_000.0;
    scenario.spans = vec![Duration::from_secs(2)];
    scenario.seeds = 1;
    print_placement(
        "scale: 2,400 daemons, 13,000 upstreams, 200,000 flows/s of 208 ms, 8 s",
        &scenario,
        &policies,
    );
    scenario.upstreams = 1_300;
    scenario.daemons = 240;
    scenario.load.rate = 20_000.0;
    scenario.load.length = Duration::from_secs(82);
    print_placement("scale: a tenth of it for 80 s", &scenario, &policies);
}

fn spans(starts: [u64; 3]) -> Vec<Duration> {
    starts.map(Duration::from_secs).to_vec()
}

/// Default number of traces of a scenario.
const SEEDS: u64 = 3;
/// Number of policies that run in parallel.
const THREADS: usize = 3;

/// Runs each policy on one trace per seed of the scenario and merges the measurements.
fn measure(scenario: &Scenario, policies: &[(&str, Options)]) -> Vec<Vec<Span>> {
    let mut merged: Vec<Vec<Span>> = Vec::new();
    for seed in SEED..SEED + scenario.seeds {
        let mut scenario = scenario.clone();
        scenario.load.seed = seed;
        let flows = scenario.load.flows();
        let mut spans = Vec::new();
        for chunk in policies.chunks(THREADS) {
            spans.extend(run_all(&scenario, &flows, chunk));
        }
        if merged.is_empty() {
            merged = spans;
            continue;
        }
        for (sum, spans) in merged.iter_mut().zip(&spans) {
            for (sum, span) in sum.iter_mut().zip(spans) {
                sum.merge(span);
            }
        }
    }
    merged
}

fn run_all(scenario: &Scenario, flows: &[Flow], policies: &[(&str, Options)]) -> Vec<Vec<Span>> {
    thread::scope(|scope| {
        let runs: Vec<_> = policies
            .iter()
            .map(|(_, options)| scope.spawn(|| run(scenario, *options, flows)))
            .collect();
        runs.into_iter()
            .map(|run| run.join().expect("a run does not panic"))
            .collect()
    })
}

fn print_placement(title: &str, scenario: &Scenario, policies: &[(&str, Options)]) {
    println!("{title}\n");
    let mut table = Table::new(&[
        "policy",
        "mean wait",
        "p99 wait",
        "refused",
        "imbalance",
        "bounces",
    ]);
    for ((name, _), spans) in policies.iter().zip(measure(scenario, policies)) {
        table.row(placement_row(name, &spans[0]));
    }
    println!("{table}");
}

fn placement_row(name: &str, span: &Span) -> Vec<String> {
    vec![
        name.to_string(),
        format!("{:.2} ms", span.mean_wait_ms()),
        format!("{:.0} ms", span.p99_wait_ms()),
        format!("{:.2} %", span.refused_percent()),
        format!("{:.3}", span.worst_imbalance()),
        format!("{:.2}", span.bounces_per_flow()),
    ]
}

fn print_service(title: &str, names: [&str; 3], scenario: &Scenario, policies: &[(&str, Options)]) {
    println!(
        "{title}; in time, never, refused (%), p99 (ms), shed (%), sent per request, bounces\n"
    );
    let mut table = Table::new(&["policy", names[0], names[1], names[2]]);
    for ((name, _), spans) in policies.iter().zip(measure(scenario, policies)) {
        let mut row = vec![name.to_string()];
        row.extend(spans.iter().map(service_cell));
        table.row(row);
    }
    println!("{table}");
}

fn service_cell(span: &Span) -> String {
    format!(
        "{:6.2} {:5.2} {:5.2} {:5.0} {:5.2} {:4.2} {:4.2}",
        span.in_time_percent(),
        span.failed_percent(),
        span.refused_percent(),
        span.p99_total_ms(),
        span.shed_percent(),
        span.sent_per_request(),
        span.bounces_per_flow(),
    )
}
