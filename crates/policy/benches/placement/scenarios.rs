//! The scenarios and the policies that each compares.

use {
    crate::{
        report::{Span, Table},
        sim::{run, Change, Options, Pick, Policy, Retry, Scenario},
        trace::{Burst, Load, Shape},
    },
    std::time::Duration,
};

/// A table of the benchmark.
pub(crate) struct Entry {
    pub(crate) name: &'static str,
    pub(crate) run: fn(),
}

/// All tables, in order.
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
        name: "burst",
        run: burst,
    },
    Entry {
        name: "retry",
        run: retry,
    },
    Entry {
        name: "scale",
        run: scale,
    },
];

const SEED: u64 = 1;
const SERVICE: Duration = Duration::from_millis(20);
const OURS: Options = Options::OURS;

/// 14 upstreams with 4 slots before 8 daemons, without network delay.
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
        patience: Duration::from_secs(60),
        ramp: Duration::from_secs(30),
        changes: Vec::new(),
        spans: vec![Duration::ZERO],
        connections: 2_000,
    }
}

/// As [`base`], with 1 ms to callers and 1 ms between daemons.
fn network_base(shape: Shape, seconds: u64, busy: f64) -> Scenario {
    Scenario {
        caller: Duration::from_millis(1),
        hop: Duration::from_millis(1),
        ..base(shape, seconds, busy)
    }
}

fn single() {
    let scenario = base(Shape::Single, 90, 0.8);
    place(
        "single: flows of one request, no network",
        &scenario,
        &policies(),
    );
}

fn network() {
    let scenario = network_base(Shape::Single, 90, 0.8);
    place(
        "network: 1 ms to callers and between daemons",
        &scenario,
        &policies(),
    );
}

fn unequal() {
    let mut scenario = network_base(Shape::Unequal, 300, 0.8);
    scenario.spans = vec![Duration::from_secs(100)];
    place(
        "unequal: pinned flows of 2 to 200 requests",
        &scenario,
        &policies(),
    );
}

fn queue() {
    let mut scenario = network_base(Shape::Unequal, 300, 0.8);
    scenario.spans = vec![Duration::from_secs(100)];
    let names = [
        "queue 0", "queue 4", "queue 8", "queue 16", "queue 32", "queue 64",
    ];
    let queues = [0, 4, 8, 16, 32, 64].map(|queue| Options { queue, ..OURS });
    let policies: Vec<_> = names.into_iter().zip(queues).collect();
    place("queue: pinned flows as in unequal", &scenario, &policies);
}

fn policies() -> Vec<(&'static str, Options)> {
    let pick = |candidates, pick| Options {
        candidates,
        pick,
        ..OURS
    };
    vec![
        (
            "least loaded, view 250 ms old",
            Options::baseline(Policy::StaleLeast),
        ),
        (
            "two choices, view 250 ms old",
            Options::baseline(Policy::StaleTwo),
        ),
        ("random", Options::baseline(Policy::Random)),
        (
            "two choices on own counts",
            Options::baseline(Policy::OwnCounts),
        ),
        ("round robin", Options::baseline(Policy::RoundRobin)),
        ("owner, 1 candidate", pick(1, Pick::FirstFree)),
        ("owner, 2 candidates", pick(2, Pick::FirstFree)),
        ("owner, 3 candidates", pick(3, Pick::FirstFree)),
        ("owner, 4 candidates", pick(4, Pick::FirstFree)),
        (
            "owner, 3, random points",
            Options {
                sequence: false,
                ..OURS
            },
        ),
        (
            "owner, 2, else least loaded",
            pick(2, Pick::FirstFreeElseLeast),
        ),
        (
            "owner, 3, else least loaded",
            pick(3, Pick::FirstFreeElseLeast),
        ),
        ("owner, 2, all asked, load", pick(2, Pick::LeastLoad)),
        ("owner, 3, all asked, load", pick(3, Pick::LeastLoad)),
        ("owner, 2, all asked, rate", pick(2, Pick::LeastRecent)),
        ("owner, 3, all asked, rate", pick(3, Pick::LeastRecent)),
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
                ..OURS
            },
        ),
        ("owner, allowance", OURS),
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
        scenario.changes = vec![(Duration::from_secs(60), Change::Chill(0))];
        scenario.spans = spans([40, 60, 100]);
        serve(
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
            "owner, neither",
            Options {
                allowance: false,
                zone_ramp: false,
                ..OURS
            },
        ),
        (
            "owner, ramp of weights only",
            Options {
                allowance: false,
                ..OURS
            },
        ),
        (
            "owner, allowance only",
            Options {
                zone_ramp: false,
                ..OURS
            },
        ),
        ("owner, both", OURS),
        (
            "owner, both, 1 slot headroom",
            Options {
                headroom: 1,
                ..OURS
            },
        ),
    ];
    let mechanisms: Vec<_> = mechanisms
        .into_iter()
        .map(|(name, options)| {
            (
                name,
                Options {
                    comeback: Some(true),
                    ..options
                },
            )
        })
        .collect();
    for (busy, title) in [
        (0.55, "zone: 4 of 14 out for 40 s, 55 % busy before"),
        (0.8, "zone: 4 of 14 out for 40 s, 80 % busy before"),
    ] {
        for shape in [Shape::Single, Shape::Unequal] {
            let mut scenario = network_base(shape, 200, busy);
            scenario.changes = vec![
                (Duration::from_secs(60), Change::ZoneOut(0)),
                (Duration::from_secs(100), Change::ZoneIn(0)),
            ];
            scenario.spans = spans([40, 60, 100]);
            let title = format!("{title}, {shape:?}");
            serve(&title, ["before", "out", "back"], &scenario, &mechanisms);
        }
    }
}

fn burst() {
    let policies = [
        (
            "come back after 1 s",
            Options {
                comeback: Some(false),
                ..OURS
            },
        ),
        (
            "come back spread",
            Options {
                comeback: Some(true),
                ..OURS
            },
        ),
        (
            "spread, no bounce",
            Options {
                comeback: Some(true),
                candidates: 1,
                ..OURS
            },
        ),
        (
            "spread, no queue",
            Options {
                comeback: Some(true),
                queue: 0,
                ..OURS
            },
        ),
        (
            "spread, queue 16",
            Options {
                comeback: Some(true),
                queue: 16,
                ..OURS
            },
        ),
        (
            "spread, 1 slot headroom",
            Options {
                comeback: Some(true),
                headroom: 1,
                ..OURS
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
    serve(
        "burst: arrivals doubled for 20 s",
        ["before", "burst", "after"],
        &scenario,
        &policies,
    );
}

fn retry() {
    let with = |retry, allowance| Options {
        retry,
        allowance,
        comeback: Some(true),
        ..OURS
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
            .push((Duration::from_secs(60), Change::Chill(upstream)));
    }
    scenario.spans = spans([40, 60, 100]);
    serve(
        "retry: 4 of 14 fall into a cold start, pinned flows",
        ["before", "40 s after", "then"],
        &scenario,
        &policies,
    );
}

fn scale() {
    let upstreams = 13_000;
    let mut scenario = network_base(Shape::Single, 4, 0.8);
    scenario.upstreams = upstreams;
    scenario.daemons = 2_400;
    // 200,000 new flows a second fill 80 % of the slots.
    scenario.load.service = Duration::from_millis(208);
    scenario.load.rate = 200_000.0;
    scenario.load.length = Duration::from_secs(12);
    scenario.spans = vec![Duration::from_secs(2)];
    let policies = [
        ("random", Options::baseline(Policy::Random)),
        ("round robin", Options::baseline(Policy::RoundRobin)),
        (
            "owner, 1 candidate",
            Options {
                candidates: 1,
                ..OURS
            },
        ),
        (
            "owner, 2 candidates",
            Options {
                candidates: 2,
                ..OURS
            },
        ),
        ("owner, 3 candidates", OURS),
        (
            "owner, 3, else least loaded",
            Options {
                pick: Pick::FirstFreeElseLeast,
                ..OURS
            },
        ),
        (
            "owner, 4 candidates",
            Options {
                candidates: 4,
                ..OURS
            },
        ),
    ];
    place(
        "scale: 2,400 daemons before 13,000 upstreams, 200,000 flows/s of 208 ms",
        &scenario,
        &policies,
    );
}

fn spans(starts: [u64; 3]) -> Vec<Duration> {
    starts.map(Duration::from_secs).to_vec()
}

fn place(title: &str, scenario: &Scenario, policies: &[(&str, Options)]) {
    let flows = scenario.load.flows();
    println!("{title}; {} flows\n", flows.len());
    let mut table = Table::new(&[
        "policy",
        "mean wait",
        "p99 wait",
        "refused",
        "imbalance",
        "bounces",
    ]);
    for (name, options) in policies {
        let spans = run(scenario, *options, &flows);
        table.row(placed(name, &spans[0]));
    }
    println!("{table}");
}

fn placed(name: &str, span: &Span) -> Vec<String> {
    vec![
        name.to_string(),
        format!("{:.2} ms", span.mean_wait_ms()),
        format!("{:.0} ms", span.p99_wait_ms()),
        format!("{:.2} %", span.refused_percent()),
        format!("{:.3}", span.imbalance()),
        format!("{:.2}", span.bounces_per_flow()),
    ]
}

fn serve(title: &str, names: [&str; 3], scenario: &Scenario, policies: &[(&str, Options)]) {
    let flows = scenario.load.flows();
    println!(
        "{title}; {} flows; in time, p99, refused, shed\n",
        flows.len()
    );
    let mut table = Table::new(&["policy", names[0], names[1], names[2]]);
    for (name, options) in policies {
        let spans = run(scenario, *options, &flows);
        let mut row = vec![name.to_string()];
        row.extend(spans.iter().map(served));
        table.row(row);
    }
    println!("{table}");
}

fn served(span: &Span) -> String {
    format!(
        "{:6.2} % {:5.0} ms {:5.2} % {:5.2} %",
        span.in_time_percent(),
        span.p99_total_ms(),
        span.refused_percent(),
        span.shed_percent(),
    )
}
