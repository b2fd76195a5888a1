//! Differences between configurations that daemons pass on instead of whole configurations.

use crate::scene::{
    configuration,
    flow,
    SERVICE, //
};
use foxtailhinge_policy::packets::{
    Change,
    Configuration,
    Directory,
    Item,
    SyncedFrom,
    Version, //
};
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};
use std::time::{
    Duration,
    Instant, //
};

/// Number of routes of the large configuration.
const ROUTES: u16 = 4_200;

fn large() -> Configuration {
    let targets: &[(&str, u32)] = &[(SERVICE, 1)];
    let routes: Vec<_> = (1..=ROUTES).map(|port| (port, targets)).collect();
    configuration(1, &routes)
}

/// Writes a configuration to the store, from which `directory` reads it.
fn write(directory: &mut Directory, cfg: Configuration, revision: u64, now: Instant) {
    let item = Item {
        key: "configuration".into(),
        version: revision.into(),
        change: Change::Configured(cfg),
    };
    directory.apply(revision.into(), &[item], now);
}

/// Changes the target latency of one route.
fn change(cfg: &Configuration, port: u16) -> Configuration {
    let mut cfg = cfg.clone();
    cfg.version += 1;
    let route = cfg.routes.get_mut(&flow(0, port).route).unwrap();
    route.target_latency += Duration::from_millis(1);
    cfg
}

/// Lets `follower` get the changes from `reader`; returns the number of routes that were passed on.
fn follow(follower: &mut Directory, reader: &Directory, now: Instant) -> usize {
    let known = follower.configuration_id();
    let after = follower.version();
    let mut changes = reader.changes_since(after, SyncedFrom::ThisDaemon, known, now);
    let delta = changes.delta.as_ref();
    let delta = delta.map(|delta| delta.changed.len() + delta.removed.len());
    let mut items = changes.items.iter().chain(&changes.awaited);
    let whole = items.find_map(|item| match &item.change {
        Change::Configured(cfg) => Some(cfg.routes.len()),
        _ => None,
    });
    assert!(follower.expand_delta(&mut changes));
    follower.merge_changes(&changes, now).unwrap();
    delta.or(whole).unwrap_or(0)
}

/// Each change of one route was passed on with all 4,200 routes, which filled the link of the reader for seconds.
#[test]
fn a_follower_gets_only_the_routes_that_changed() {
    let now = Instant::now();
    let (mut reader, mut follower) = (Directory::default(), Directory::default());
    write(&mut reader, large(), 1, now);
    assert_eq!(
        follow(&mut follower, &reader, now),
        usize::from(ROUTES),
        "the first one is passed on whole"
    );
    let cfg = change(&large(), 7);
    write(&mut reader, cfg.clone(), 2, now);
    assert_eq!(follow(&mut follower, &reader, now), 1);
    let cfg = change(&change(&cfg, 7), 8);
    write(&mut reader, cfg, 3, now);
    assert_eq!(follow(&mut follower, &reader, now), 2);
    assert_eq!(follower.configuration(), reader.configuration());
    assert_eq!(follower.configuration_id(), reader.configuration_id());
    assert_eq!(
        follow(&mut follower, &reader, now),
        0,
        "nothing has changed since"
    );
}

#[test]
fn a_follower_with_an_unknown_configuration_gets_the_whole_one() {
    let now = Instant::now();
    let (mut reader, mut follower) = (Directory::default(), Directory::default());
    write(&mut follower, large(), 1, now);
    write(&mut reader, change(&large(), 7), 2, now);
    assert_eq!(follow(&mut follower, &reader, now), usize::from(ROUTES));
    assert_eq!(follower.configuration(), reader.configuration());
}

#[test]
fn a_change_of_most_routes_is_passed_on_whole() {
    let now = Instant::now();
    let (mut reader, mut follower) = (Directory::default(), Directory::default());
    write(&mut reader, large(), 1, now);
    follow(&mut follower, &reader, now);
    let mut cfg = large();
    cfg.version = 2;
    for route in cfg.routes.values_mut() {
        route.priority += 1;
    }
    write(&mut reader, cfg, 2, now);
    assert_eq!(follow(&mut follower, &reader, now), usize::from(ROUTES));
    assert_eq!(follower.configuration(), reader.configuration());
}

/// Lets a daemon list the store, as after the store has lost its history.
fn list(directory: &mut Directory, version: Version, cfg: (Version, Configuration), now: Instant) {
    let item = Item {
        key: "configuration".into(),
        version: cfg.0,
        change: Change::Configured(cfg.1),
    };
    directory.replace(version, &[item], now).unwrap();
}

/// After the store had lost its history, a reader passed the whole configuration on to each of its followers, which had it
/// already: 120 KB each, so that its link was full for up to 2 s.
#[test]
fn a_list_of_the_store_passes_no_known_configuration_on() {
    let now = Instant::now();
    let (mut reader, mut follower) = (Directory::default(), Directory::default());
    write(&mut reader, large(), 1, now);
    follow(&mut follower, &reader, now);
    list(&mut reader, 5.into(), (1.into(), large()), now);
    let changes = reader.changes_since(
        follower.version(),
        SyncedFrom::ThisDaemon,
        follower.configuration_id(),
        now,
    );
    assert!(changes.is_whole);
    assert_eq!(follow(&mut follower, &reader, now), 0);
    assert_eq!(follower.version(), 5.into());
    // A configuration that was written before the list differs in one route.
    let cfg = change(&large(), 7);
    list(&mut reader, 9.into(), (8.into(), cfg), now);
    assert_eq!(follow(&mut follower, &reader, now), 1);
    assert_eq!(follower.configuration(), reader.configuration());
    assert_eq!(follower.configuration_id(), reader.configuration_id());
}

/// A configuration that a restored store has lost was part of each answer until it was written again.
#[test]
fn a_configuration_that_awaits_its_write_is_passed_on_once() {
    let now = Instant::now();
    let mut reader = Directory::default();
    write(&mut reader, large(), 1, now);
    let mut behind = reader.clone();
    write(&mut reader, change(&large(), 7), 2, now);
    let mut follower = reader.clone();
    let copy = (Version::new(1, 1), large());
    list(&mut reader, Version::new(1, 1), copy.clone(), now);
    assert_eq!(reader.configuration().unwrap().version, 2);
    assert_eq!(follow(&mut follower, &reader, now), 0, "it is the same");
    assert_eq!(follow(&mut behind, &reader, now), 1, "one route differs");
    let mut new = Directory::default();
    list(&mut new, Version::new(1, 1), copy, now);
    assert_eq!(follow(&mut new, &reader, now), usize::from(ROUTES));
    reader.apply(Version::new(1, 2), &[], now);
    for directory in [&mut follower, &mut behind, &mut new] {
        assert_eq!(directory.configuration(), reader.configuration());
        assert_eq!(directory.configuration_id(), reader.configuration_id());
        assert_eq!(directory.awaited(), 1);
        assert_eq!(follow(directory, &reader, now), 0, "it was passed on");
    }
}

/// A difference applies to no other configuration than its base, or routes would be wrong until the next change.
#[test]
fn a_difference_from_another_configuration_is_refused() {
    let now = Instant::now();
    let mut reader = Directory::default();
    write(&mut reader, large(), 1, now);
    let known = reader.configuration_id();
    write(&mut reader, change(&large(), 7), 3, now);
    let changes = reader.changes_since(1.into(), SyncedFrom::ThisDaemon, known, now);
    assert!(changes.delta.is_some());
    let mut other = Directory::default();
    write(&mut other, change(&large(), 8), 2, now);
    assert!(!other.expand_delta(&mut changes.clone()));
    let mut newer = Directory::default();
    write(&mut newer, change(&change(&large(), 7), 8), 4, now);
    let mut stale = changes;
    assert!(newer.expand_delta(&mut stale));
    assert_eq!(stale.items, [], "a newer configuration stays");
}

/// Adds routes of `all`, and changes and removes some.
fn mutate(cfg: &Configuration, all: &Configuration, rng: &mut SmallRng) -> Configuration {
    let mut cfg = cfg.clone();
    cfg.version += rng.random_range(1..5);
    for _ in 0..rng.random_range(0..30) {
        let port = rng.random_range(1..=200);
        let address = flow(0, port).route;
        match cfg.routes.remove(&address) {
            Some(_) if rng.random() => (),
            known => {
                let mut route = known.unwrap_or_else(|| all.routes[&address].clone());
                route.priority = rng.random();
                cfg.routes.insert(address, route);
            }
        }
    }
    cfg
}

#[test]
fn followers_that_ask_at_any_time_have_the_configuration_of_the_reader() {
    let now = Instant::now();
    let all = large();
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut reader = Directory::default();
        let mut followers = vec![Directory::default(); 4];
        let mut cfg = configuration(1, &[]);
        for revision in 1..60 {
            cfg = mutate(&cfg, &all, &mut rng);
            write(&mut reader, cfg.clone(), revision, now);
            for follower in &mut followers {
                match rng.random_range(0..5) {
                    0 => write(follower, cfg.clone(), revision, now),
                    1 | 2 => {
                        follow(follower, &reader, now);
                        assert_eq!(follower.configuration(), reader.configuration());
                        assert_eq!(follower.version(), Version::from(revision));
                    }
                    _ => (),
                }
            }
        }
    }
}
