//! Changes that daemons pass on: a follower reaches the state of its reader and never reverts to an older one.

use crate::scene::{
    configuration,
    upstream,
    AWAY,
    HOME,
    PORT,
    SERVICE, //
};
use foxtailhinge_policy::packets::{
    directory::{
        Directory,
        LAPSE_GRACE, //
    },
    entry::{
        Change,
        Item, //
    },
    ChangeSet,
    Configuration,
    SyncedFrom,
    Upstream,
    UpstreamId,
    UpstreamState,
    Version, //
};
use quickcheck::{
    Gen,
    QuickCheck, //
};
use std::{
    collections::BTreeMap,
    time::{
        Duration,
        Instant, //
    },
};

/// Number of random histories.
const CASES: u64 = 4_000;
/// Seed of all cases.
const SEED: u64 = 5;
/// Size parameter of the generator, which bounds the length of a history.
const SIZE: usize = 120;
/// Time between two steps of a history.
const STEP: Duration = Duration::from_millis(300);
/// Time after which a removed entry is evicted.
const KEEP: Duration = Duration::from_secs(4);
/// Number of daemons: a reader, its follower, and a follower of that one.
const DAEMONS: usize = 3;
/// Number of routes of a configuration, at most.
const ROUTES: u64 = 6;
/// Number of upstreams.
const UPSTREAMS: u8 = 6;

fn item(revision: u64, change: Change) -> Item {
    Item {
        key: "".into(),
        version: revision.into(),
        change,
    }
}

/// State of a directory without exact times: listed upstreams with their states and whether they are cold, with a
/// tolerance of 600 ms, zones, and the version of the configuration.
fn snapshot(directory: &Directory, now: Instant) -> BTreeMap<String, String> {
    let mut snapshot = BTreeMap::new();
    for (id, known) in directory.upstreams().filter(|(_, k)| k.unlisted.is_none()) {
        let is_cold = known.warm_at > now + Duration::from_millis(600);
        let text = format!("{:?} cold {is_cold}", known.upstream.state);
        snapshot.insert(id.to_string(), text);
    }
    for zone in [HOME, AWAY] {
        snapshot.insert(zone.into(), directory.is_out(zone).to_string());
    }
    snapshot.insert("version".into(), version(directory).to_string());
    snapshot
}

/// Configuration with several routes, of which two successive versions share most.
fn store_configuration(version: u64) -> Configuration {
    let ports: Vec<_> = (0..ROUTES)
        .filter(|index| version % (ROUTES + 2) != *index)
        .map(|index| PORT + index as u16)
        .collect();
    let targets = [(SERVICE, 1)];
    let routes: Vec<_> = ports.iter().map(|port| (*port, &targets[..])).collect();
    configuration(version, &routes)
}

/// Whether the configuration of a daemon is one that the store has held.
fn has_whole_configuration(directory: &Directory) -> bool {
    let cfg = directory.configuration();
    cfg.is_none_or(|cfg| **cfg == store_configuration(cfg.version))
}

/// Change of the store, derived from two random numbers.
fn change(kind: u8, which: u8, revision: u64) -> Change {
    let id = UpstreamId(u64::from(which % UPSTREAMS));
    match kind % 10 {
        0..=4 => Change::Listed(
            id,
            Upstream {
                state: match which & 0x40 {
                    0 => UpstreamState::Serving,
                    _ => UpstreamState::Draining,
                },
                warmup_left: Duration::from_secs(u64::from(which >> 7) * 60),
                ..upstream()
            },
        ),
        5 | 6 => Change::Unlisted(id, None),
        7 | 8 => Change::Zone {
            zone: [HOME, AWAY][usize::from(which & 1)].into(),
            out: which & 2 == 0,
        },
        _ => Change::Configured(store_configuration(revision)),
    }
}

/// A store with a copy of its contents, by the keys of the entries.
#[derive(Clone, Debug, Default)]
struct Store {
    version: Version,
    entries: BTreeMap<String, Item>,
    copy: (u64, BTreeMap<String, Item>),
}

impl Store {
    /// Writes a change and returns its entry.
    fn write(&mut self, kind: u8, which: u8, cfg: u64) -> Item {
        self.version.revision += 1;
        let change = change(kind, which, cfg);
        let (key, is_removal) = match &change {
            Change::Listed(id, _) => (id.to_string(), false),
            Change::Unlisted(id, _) => (id.to_string(), true),
            Change::Zone { zone, out } => (zone.to_string(), !out),
            _ => ("configuration".to_owned(), false),
        };
        let item = Item {
            key: key.as_str().into(),
            version: self.version,
            change,
        };
        match is_removal {
            true => self.entries.remove(&key),
            false => self.entries.insert(key, item.clone()),
        };
        item
    }

    /// Goes back to the copy, in a new era, and returns all entries.
    fn restore(&mut self) -> Vec<Item> {
        (self.version.revision, self.entries) = self.copy.clone();
        self.version.era += 1;
        for item in self.entries.values_mut() {
            item.version.era = self.version.era;
        }
        self.entries.values().cloned().collect()
    }
}

/// Whether a daemon has the state of another one, except for entries of a copy that it keeps out, and a configuration
/// that it keeps, until they are written again.
fn agrees(directory: &Directory, source: &Directory, now: Instant) -> bool {
    let (mut state, mut expected) = (snapshot(directory, now), snapshot(source, now));
    let Some(restoration) = directory.restoration() else {
        return state == expected;
    };
    // One of the two may keep an entry of the copy out.
    for (one, other) in [(source, directory), (directory, source)] {
        let kept_out = one.upstreams().filter(|(id, known)| {
            let is_kept_out = other.get(*id).is_none_or(|kept| kept.awaits_write);
            is_kept_out && (known.awaits_write || known.version <= restoration.start)
        });
        for (id, _) in kept_out {
            state.remove(&id.to_string());
            expected.remove(&id.to_string());
        }
    }
    if directory.awaited() > 0 {
        for zone in [HOME, AWAY].iter().filter(|zone| directory.is_out(zone)) {
            expected.insert((*zone).into(), true.to_string());
        }
        let kept = version(directory).max(version(source));
        expected.insert("version".into(), kept.to_string());
    }
    state == expected
}

/// Passes the changes of one daemon on to another, as a request between them does.
fn pass_on(from: &Directory, to: &mut Directory, synced_from: SyncedFrom, now: Instant) -> bool {
    let known = to.version();
    let mut changes = from.changes_since(known, synced_from, to.configuration_id(), now);
    assert!(
        to.expand_delta(&mut changes),
        "the difference is from the asker's configuration"
    );
    let recovered_at = from.recovered_at();
    if let Some(at) = recovered_at.filter(|at| Some(*at) > to.recovered_at()) {
        to.record_recovery(at);
    }
    to.merge_changes(&changes, now);
    changes.version >= known
}

#[test]
fn a_follower_reaches_the_state_of_its_reader_and_never_goes_back() {
    fn property(history: Vec<(u8, u8)>) -> bool {
        let mut daemons = vec![Directory::default(); DAEMONS];
        let mut now = Instant::now();
        let mut store = Store::default();
        let mut cfg = 0;
        // The daemon that each one asked last, and its own version after the answer.
        let mut last_sync = [(DAEMONS, Version::default()); DAEMONS];
        for (kind, which) in history {
            now += STEP;
            match kind % 18 {
                // A daemon asks the reader, or its predecessor, which may lag behind.
                10..=13 => {
                    let asker = 1 + usize::from(which) % (DAEMONS - 1);
                    let source = match which & 0x10 {
                        0 => asker - 1,
                        _ => 0,
                    };
                    let from = match last_sync[asker] == (source, daemons[asker].version()) {
                        true => SyncedFrom::ThisDaemon,
                        false => SyncedFrom::Other,
                    };
                    let source_state = daemons[source].clone();
                    let before = (daemons[asker].version(), version(&daemons[asker]));
                    let is_newer = pass_on(&source_state, &mut daemons[asker], from, now);
                    last_sync[asker] = (source, daemons[asker].version());
                    let after = (daemons[asker].version(), version(&daemons[asker]));
                    if after.0 < before.0 || after.1 < before.1 {
                        return false;
                    }
                    if !has_whole_configuration(&daemons[asker]) {
                        return false;
                    }
                    if is_newer && !agrees(&daemons[asker], &source_state, now) {
                        return false;
                    }
                }
                // What waits to be written again is written or removed long before it is evicted.
                14 if daemons[usize::from(which) % DAEMONS].awaited() > 0 => (),
                14 => daemons[usize::from(which) % DAEMONS].evict(KEEP, now),
                15 => now += KEEP,
                16 => store.copy = (store.version.revision, store.entries.clone()),
                17 => {
                    let before = version(&daemons[0]);
                    let items = store.restore();
                    daemons[0].replace(store.version, &items, now);
                    daemons[0].confirm(now);
                    if version(&daemons[0]) < before || daemons[0].version() != store.version {
                        return false;
                    }
                }
                _ => {
                    cfg += 1;
                    let item = store.write(kind % 18, which, cfg);
                    daemons[0].apply(store.version, &[item], now);
                }
            }
        }
        true
    }
    let gen = Gen::from_size_and_seed(SIZE, SEED);
    QuickCheck::new()
        .rng(gen)
        .tests(CASES)
        .quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

fn version(directory: &Directory) -> u64 {
    directory.configuration().map_or(0, |cfg| cfg.version)
}

fn listed(id: u64, revision: u64, warmup_left: Duration) -> Item {
    let upstream = Upstream {
        warmup_left,
        ..upstream()
    };
    item(revision, Change::Listed(UpstreamId(id), upstream))
}

#[test]
fn heartbeats_of_a_cold_upstream_are_passed_on_once() {
    let now = Instant::now();
    let mut reader = Directory::default();
    for beat in 0..20 {
        let left = Duration::from_millis(20_000 - 1_000 * beat);
        let at = now + Duration::from_millis(1_000 * beat + 80 * (beat % 3));
        reader.apply((beat + 1).into(), &[listed(1, beat + 1, left)], at);
    }
    let at = now + Duration::from_secs(20);
    assert_eq!(
        reader
            .changes_since(0.into(), SyncedFrom::Other, None, at)
            .items
            .len(),
        1,
        "the first heartbeat"
    );
    assert_eq!(
        reader
            .changes_since(1.into(), SyncedFrom::ThisDaemon, None, at)
            .items,
        [],
        "the others change nothing significant"
    );
    let restarted = listed(1, 30, Duration::from_secs(20));
    reader.apply(30.into(), &[restarted], at);
    assert_eq!(
        reader
            .changes_since(20.into(), SyncedFrom::ThisDaemon, None, at)
            .items
            .len(),
        1,
        "the warm-up started again"
    );
}

#[test]
fn a_warm_up_that_was_read_late_is_corrected_by_later_heartbeats() {
    let now = Instant::now();
    let ms = Duration::from_millis;
    let mut reader = Directory::default();
    // The first heartbeat, at 0 s with 10 s left, is read at 2.4 s. One follows each second, each read 0.4 s less late.
    let mut passed_on = 0;
    for beat in 0..7 {
        let late = 2_400 - 400 * beat;
        let at = now + ms(1_000 * beat + late);
        let revision = beat + 1;
        reader.apply(
            revision.into(),
            &[listed(1, revision, ms(10_000 - 1_000 * beat))],
            at,
        );
        passed_on += reader
            .changes_since(beat.into(), SyncedFrom::ThisDaemon, None, at)
            .items
            .len();
        let known = reader.get(UpstreamId(1)).unwrap();
        assert_eq!(known.warm_at, now + ms(10_000 + late), "beat {beat}");
        assert!(
            known.announced_warm_at - known.warm_at <= ms(500),
            "beat {beat}"
        );
    }
    assert!(passed_on < 7, "{passed_on} of 7 heartbeats are passed on");
}

#[test]
fn a_daemon_that_starts_in_an_outage_receives_lapsed_entries() {
    let now = Instant::now();
    let mut reader = Directory::default();
    let all: Vec<_> = (1..=4).map(|id| listed(id, id, Duration::ZERO)).collect();
    reader.apply(4.into(), &all, now);
    let gone: Vec<_> = (1..=4)
        .map(|id| item(4 + id, Change::Unlisted(UpstreamId(id), None)))
        .collect();
    reader.apply(8.into(), &gone, now);
    let mut new = Directory::default();
    new.record_recovery(reader.recovered_at().expect("the entries lapsed together"));
    new.merge_changes(
        &reader.changes_since(0.into(), SyncedFrom::Other, None, now),
        now,
    );
    for id in 1..=4 {
        assert!(new.get(UpstreamId(id)).unwrap().is_serving(now), "{id}");
        let later = now + LAPSE_GRACE;
        assert!(!new.get(UpstreamId(id)).unwrap().is_serving(later), "{id}");
    }
}

#[test]
fn entries_removed_one_by_one_do_not_lapse_at_a_follower() {
    let now = Instant::now();
    let mut reader = Directory::default();
    let all: Vec<_> = (1..=3).map(|id| listed(id, id, Duration::ZERO)).collect();
    reader.apply(3.into(), &all, now);
    let mut follower = reader.clone();
    for id in 1..=2 {
        let gone = item(3 + id, Change::Unlisted(UpstreamId(id), None));
        let at = now + Duration::from_secs(10 * id);
        reader.apply((3 + id).into(), &[gone], at);
    }
    let now = now + Duration::from_secs(30);
    assert!(reader.get(UpstreamId(1)).unwrap().is_gone(now));
    follower.merge_changes(
        &reader.changes_since(3.into(), SyncedFrom::Other, None, now),
        now,
    );
    assert!(follower.get(UpstreamId(1)).unwrap().is_gone(now));
}

#[test]
fn changes_of_a_peer_that_lags_behind_change_nothing() {
    let now = Instant::now();
    let mut behind = Directory::default();
    behind.apply(
        2.into(),
        &[listed(1, 1, Duration::ZERO), listed(2, 2, Duration::ZERO)],
        now,
    );
    let mut ahead = behind.clone();
    ahead.apply(
        3.into(),
        &[item(3, Change::Unlisted(UpstreamId(1), None))],
        now,
    );
    for changes in [
        behind.changes_since(0.into(), SyncedFrom::Other, None, now),
        behind.changes_since(3.into(), SyncedFrom::Other, None, now),
        ChangeSet {
            is_whole: true,
            ..behind.changes_since(0.into(), SyncedFrom::Other, None, now)
        },
    ] {
        ahead.merge_changes(&changes, now);
        assert_eq!(ahead.version(), 3.into());
        assert!(ahead.get(UpstreamId(1)).unwrap().unlisted.is_some());
    }
}
