//! Decisions depend on what is observed, not on the names of zones and services, and the code contains no name of a
//! deployment.

use crate::scene::{
    configuration,
    flow,
    syn,
    upstream,
    PORT, //
};
use foxtailhinge_policy::packets::{
    packet::Kind,
    Balancer,
    Change,
    Directory,
    Item,
    Packet,
    Upstream,
    UpstreamId,
    Verdict, //
};
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};
use std::{
    fs,
    path::Path,
    time::{
        Duration,
        Instant, //
    },
};

/// Number of callers of each run.
const CALLERS: u16 = 400;
/// Number of runs, each with another seed.
const RUNS: u64 = 20;
/// Number of upstreams of each service.
const UPSTREAMS: u64 = 12;

/// Names of two zones, of which the first is the daemon's, and of two services.
struct Names {
    zones: [&'static str; 2],
    services: [&'static str; 2],
}

const NAMES: [Names; 3] = [
    Names {
        zones: ["windhoek-1", "windhoek-2"],
        services: ["syncdesk-api", "certvault"],
    },
    Names {
        zones: ["z", "a"],
        services: ["b", "a"],
    },
    Names {
        zones: ["muscat-b", "muscat-a"],
        services: ["evidence", "snaglist"],
    },
];

fn directory(names: &Names, now: Instant) -> Directory {
    let ids = 0..2 * UPSTREAMS;
    let upstreams = ids.map(|id| {
        let upstream = Upstream {
            service: names.services[id as usize % 2].into(),
            zone: names.zones[id as usize / 2 % 2].into(),
            ..upstream()
        };
        Change::Listed(UpstreamId(id), upstream)
    });
    let routes: [(u16, &[(&str, u32)]); 2] = [
        (PORT, &[(names.services[0], 1)]),
        (PORT + 1, &[(names.services[1], 3), (names.services[0], 1)]),
    ];
    let cfg = Change::Configured(configuration(1, &routes));
    let changes = upstreams.chain([cfg]).enumerate();
    let items = changes.map(|(index, change)| Item {
        key: "".into(),
        version: (index as u64 + 1).into(),
        change,
    });
    let items: Vec<_> = items.collect();
    let mut directory = Directory::default();
    directory.apply((items.len() as u64).into(), &items, now);
    directory
}

/// Opens flows, a quarter of which get no answer, and returns all verdicts.
fn verdicts(names: &Names, seed: u64, began: Instant) -> Vec<Verdict> {
    let directory = directory(names, began);
    let rng = SmallRng::seed_from_u64(seed);
    let mut balancer = Balancer::new(names.zones[0].into(), rng);
    let mut rng = SmallRng::seed_from_u64(seed + 1);
    let mut now = began;
    let mut verdicts = Vec::new();
    for caller in 0..CALLERS {
        now += Duration::from_millis(rng.random_range(0..40));
        let opening = syn(flow(caller, PORT + u16::from(rng.random::<bool>())), 0);
        let mut verdict = balancer.decide(&opening, &directory, true, now);
        verdicts.push(verdict);
        if rng.random_ratio(1, 4) {
            now += Duration::from_millis(200);
            let copy = Packet { ack: 1, ..opening };
            verdict = balancer.decide(&copy, &directory, true, now);
            verdicts.push(verdict);
        }
        if let Verdict::Open(choice) = verdict {
            let request = Packet {
                kind: Kind::Data,
                label: choice.id.label(),
                len: 100,
                ..opening
            };
            verdicts.push(balancer.decide(&request, &directory, true, now));
        }
    }
    verdicts
}

#[test]
fn decisions_do_not_depend_on_names() {
    let now = Instant::now();
    for seed in 0..RUNS {
        let expected = verdicts(&NAMES[0], seed, now);
        for names in &NAMES[1..] {
            assert_eq!(verdicts(names, seed, now), expected, "seed {seed}");
        }
    }
}

/// Parts of the names of the users' deployments, zones and services, and of the days that they play.
const USERS_NAMES: [&str; 16] = [
    "kalahari",
    "syncdesk",
    "certvault",
    "windhoek",
    "whk-",
    "southern",
    "signnet",
    "countkeeper",
    "layoutstore",
    "seq-",
    "qalhat",
    "snaglist",
    "muscat",
    "fleetbench",
    "trouble-",
    "quiet-",
];

/// Directories with the code of the daemon, and its settings on the platform.
const SOURCES: [&str; 6] = [
    "crates/config/src",
    "crates/daemon/src",
    "crates/policy/src",
    "crates/wire/src",
    "platform/src",
    "platform/settings.jsonc",
];

/// Returns the lines of code below `path` that contain a user's name; comments may.
fn lines_with_names(path: &Path) -> Vec<String> {
    if path.is_dir() {
        let entries = fs::read_dir(path).unwrap();
        let entries = entries.map(|entry| entry.unwrap().path());
        return entries.flat_map(|entry| lines_with_names(&entry)).collect();
    }
    let text = fs::read_to_string(path).unwrap().to_lowercase();
    let code = text
        .lines()
        .filter(|line| !line.trim_start().starts_with("//"));
    let named = code.filter(|line| USERS_NAMES.iter().any(|name| line.contains(name)));
    named
        .map(|line| format!("{}: {line}", path.display()))
        .collect()
}

#[test]
fn the_code_contains_no_name_of_a_deployment() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let found = SOURCES.map(|source| lines_with_names(&root.join(source)));
    assert_eq!(found.concat(), Vec::<String>::new());
}
