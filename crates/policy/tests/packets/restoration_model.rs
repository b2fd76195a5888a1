//! Exhaustive model check of restorations: a daemon never returns to an older state of the world.
//!
//! The model has one store, a reader that lists and watches it, and a follower of that reader, each with the directory
//! code of the daemon. Operators and servers change three entries; each change has a number, so that the states that a
//! daemon holds can be compared with all that it has seen. All sequences of actions are explored, breadth first over
//! distinct states.

use crate::scene::{
    configuration,
    upstream,
    AWAY,
    PORT,
    SERVICE, //
};
use foxtailhinge_policy::packets::{
    directory::TrackedUpstream,
    Change,
    Directory,
    Item,
    SyncedFrom,
    Upstream,
    UpstreamId,
    UpstreamState,
    Version, //
};
use std::{
    collections::HashSet,
    time::Instant, //
};

/// Length of the explored sequences.
const STEPS: usize = 7;
/// Largest number of changes by operators and servers.
const CHANGES: u64 = 4;
/// Largest number of restorations.
const ERAS: u64 = 3;
/// The upstream that registers, drains and leaves.
const ID: UpstreamId = UpstreamId(1);
/// Factor by which a mutant raises the version of a configuration with each era.
const MUTANT_FACTOR: u64 = 1_000;

/// Entry of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Entry {
    Upstream,
    Zone,
    Configuration,
}

const ENTRIES: [Entry; 3] = [Entry::Upstream, Entry::Zone, Entry::Configuration];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    /// A server or an operator changes an entry.
    Change(Entry),
    /// The last change of an entry is written again.
    Rewrite(Entry),
    Copy,
    Restore,
    /// The reader reads the store.
    Read,
    /// The follower gets the reader's changes.
    Follow,
    /// The follower is replaced by a new daemon, which lists the store and gets the reader's changes.
    Start,
}

fn actions() -> Vec<Action> {
    let entries = ENTRIES
        .iter()
        .flat_map(|entry| [Action::Change(*entry), Action::Rewrite(*entry)]);
    let others = [
        Action::Copy,
        Action::Restore,
        Action::Read,
        Action::Follow,
        Action::Start,
    ];
    entries.chain(others).collect()
}

/// Deliberate fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// Versions are compared by their revisions alone.
    IgnoresEras,
    /// An entry that the copy lacks is taken for removed.
    TakesMissingForRemoved,
    /// A configuration from the copy replaces a newer one.
    LetsOldConfigurationIn,
}

/// Contents of the store: for each entry the number of its last change and the revision at which it was written.
type Contents = [(u64, u64); 3];

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Store {
    version: Version,
    contents: Contents,
    copy: (u64, Contents),
    /// Writes of this era, each with the entry, the number of the change and the revision.
    history: Vec<(Entry, u64, u64)>,
    /// Number of the last change of each entry, whatever the store has.
    latest: [u64; 3],
    /// Number of all changes.
    changes: u64,
}

/// A daemon with the number of the newest change of each entry that it has seen.
#[derive(Clone, Debug)]
struct Daemon {
    directory: Directory,
    seen: [u64; 3],
}

#[derive(Clone, Debug)]
struct State {
    store: Store,
    reader: Daemon,
    follower: Daemon,
}

struct Model {
    now: Instant,
    mutant: Mutant,
}

impl Model {
    /// The change of an entry with this number; even ones remove the entry.
    fn change(&self, entry: Entry, number: u64, era: u64) -> Change {
        match entry {
            Entry::Upstream if number % 3 == 2 => Change::Unlisted(ID, None),
            Entry::Upstream => Change::Listed(
                ID,
                Upstream {
                    slots: number as u32,
                    state: match number % 3 {
                        1 => UpstreamState::Draining,
                        _ => UpstreamState::Serving,
                    },
                    ..upstream()
                },
            ),
            Entry::Zone => Change::Zone {
                zone: AWAY.into(),
                out: number % 2 == 1,
            },
            Entry::Configuration => {
                let version = match self.mutant {
                    Mutant::LetsOldConfigurationIn => number + era * MUTANT_FACTOR,
                    _ => number,
                };
                Change::Configured(configuration(version, &[(PORT, &[(SERVICE, 1)])]))
            }
        }
    }

    /// A version as the directory gets it.
    fn given(&self, version: Version) -> Version {
        match self.mutant {
            Mutant::IgnoresEras => version.revision.into(),
            _ => version,
        }
    }

    fn item(&self, store: &Store, (entry, number, revision): (Entry, u64, u64)) -> Item {
        let era = store.version.era;
        Item {
            key: "".into(),
            version: self.given(Version::new(era, revision)),
            change: self.change(entry, number, era),
        }
    }

    /// Lists the store if the daemon's era has ended, or else reads the changes since its version.
    fn read(&self, store: &Store, daemon: &mut Daemon) {
        let known = daemon.directory.version();
        let version = self.given(store.version);
        let is_list = known.era != version.era || known == Version::default();
        if is_list {
            let items = ENTRIES.iter().map(|entry| {
                let (number, revision) = store.contents[*entry as usize];
                self.item(store, (*entry, number, revision))
            });
            let is_present = |item: &Item| {
                !matches!(
                    item.change,
                    Change::Unlisted(..) | Change::Zone { out: false, .. }
                )
            };
            let mut items: Vec<_> = items.filter(is_present).collect();
            let has_upstream = items.iter().any(|i| matches!(i.change, Change::Listed(..)));
            if self.mutant == Mutant::TakesMissingForRemoved && !has_upstream {
                items.push(Item {
                    key: "".into(),
                    version,
                    change: Change::Unlisted(ID, None),
                });
            }
            let _ = daemon.directory.replace(version, &items, self.now);
        } else {
            let writes = store.history.iter();
            let items = writes.map(|write| self.item(store, *write));
            let items: Vec<_> = items.filter(|item| item.version > known).collect();
            daemon.directory.apply(version, &items, self.now);
        }
        daemon.directory.confirm(self.now);
        self.record_seen(daemon, store.contents.map(|(number, _)| number));
    }

    /// Records what a daemon has seen. A removal is in force only once the time in which a lapsed entry may return has
    /// passed.
    fn record_seen(&self, daemon: &mut Daemon, numbers: [u64; 3]) {
        let upstream = daemon.seen[Entry::Upstream as usize];
        for (seen, number) in daemon.seen.iter_mut().zip(numbers) {
            *seen = number.max(*seen);
        }
        if self.may_return(daemon) {
            daemon.seen[Entry::Upstream as usize] = upstream;
        }
    }

    fn may_return(&self, daemon: &Daemon) -> bool {
        let known = daemon.directory.get(ID);
        known.is_some_and(|known| known.unlisted.is_some() && !known.is_gone(self.now))
    }

    fn follow(&self, reader: &Daemon, follower: &mut Daemon) {
        let after = follower.directory.version();
        let changes = reader
            .directory
            .changes_since(after, SyncedFrom::Other, None, self.now);
        let is_newer = changes.version >= after;
        let recovered_at = reader.directory.recovered_at();
        if let Some(at) = recovered_at.filter(|at| Some(*at) > follower.directory.recovered_at()) {
            follower.directory.record_recovery(at);
        }
        let _ = follower.directory.merge_changes(&changes, self.now);
        if is_newer {
            self.record_seen(follower, reader.seen);
        }
    }

    fn start(&self) -> State {
        let store = Store {
            version: Version::new(1, 10),
            contents: [(0, 1), (0, 2), (0, 3)],
            copy: (10, [(0, 1), (0, 2), (0, 3)]),
            history: Vec::new(),
            latest: [0; 3],
            changes: 0,
        };
        let mut reader = Daemon {
            directory: Directory::default(),
            seen: [0; 3],
        };
        self.read(&store, &mut reader);
        State {
            follower: reader.clone(),
            store,
            reader,
        }
    }

    fn step(&self, before: &State, action: Action) -> Option<State> {
        let mut s = before.clone();
        match action {
            Action::Change(_) if s.store.changes >= CHANGES => return None,
            Action::Change(entry) => {
                s.store.changes += 1;
                s.store.latest[entry as usize] += 1;
                write(&mut s.store, entry);
            }
            Action::Rewrite(entry) => {
                let index = entry as usize;
                if s.store.contents[index].0 == s.store.latest[index] {
                    return None;
                }
                write(&mut s.store, entry);
            }
            Action::Copy => s.store.copy = (s.store.version.revision, s.store.contents),
            Action::Restore if s.store.version.era > ERAS => return None,
            Action::Restore => {
                (s.store.version.revision, s.store.contents) = s.store.copy;
                s.store.version.era += 1;
                s.store.history.clear();
            }
            Action::Read => self.read(&s.store, &mut s.reader),
            Action::Follow => self.follow(&s.reader, &mut s.follower),
            Action::Start => {
                s.follower = Daemon {
                    directory: Directory::default(),
                    seen: [0; 3],
                };
                self.read(&s.store, &mut s.follower);
                self.follow(&s.reader, &mut s.follower);
                if self.may_return(&s.follower) {
                    // The reader does not know whether the upstream was removed or only lost by the store.
                    s.follower.seen = s.reader.seen;
                }
            }
        }
        Some(s)
    }

    /// Number of the latest change up to `newest` that agrees with what a daemon holds of an entry.
    fn holds(&self, daemon: &Daemon, entry: Entry, newest: u64) -> Option<u64> {
        let directory = &daemon.directory;
        let is_removed = |known: &TrackedUpstream| known.is_gone(self.now);
        let matches = |number: u64| match self.change(entry, number, 0) {
            // The other fields may be the copy's until the next heartbeat.
            Change::Listed(_, upstream) => directory
                .get(ID)
                .is_some_and(|known| !is_removed(known) && known.upstream.state == upstream.state),
            Change::Unlisted(..) => directory.get(ID).is_none_or(is_removed),
            Change::Zone { zone, out } => directory.is_out(&zone) == out,
            Change::Configured(cfg) => directory
                .configuration()
                .is_some_and(|held| held.version % MUTANT_FACTOR == cfg.version % MUTANT_FACTOR),
            _ => false,
        };
        (0..=newest).rev().find(|number| matches(*number))
    }

    /// Returns the guarantee that a state violates, if any.
    fn violation(&self, s: &State) -> Option<String> {
        for (name, daemon) in [("reader", &s.reader), ("follower", &s.follower)] {
            for entry in ENTRIES {
                let (seen, newest) = (daemon.seen[entry as usize], s.store.latest[entry as usize]);
                let held = self.holds(daemon, entry, newest);
                if held < Some(seen) && !self.may_wait(daemon, entry) {
                    return Some(format!("the {name} returned to an older state: {entry:?}"));
                }
            }
        }
        None
    }

    /// Whether a daemon may keep an upstream or a zone out although it is back: it came back between the restoration and
    /// the daemon's list, which looks the same as if the removal or the evacuation was lost. The next heartbeat of the
    /// upstream, or the time for writing the evacuation or its end again, ends this.
    fn may_wait(&self, daemon: &Daemon, entry: Entry) -> bool {
        let directory = &daemon.directory;
        match entry {
            Entry::Upstream => directory.get(ID).is_none_or(|known| {
                let is_draining = known.upstream.state == UpstreamState::Draining;
                // A removed upstream may be used for the time in which a lapsed entry may return.
                known.awaits_write || is_draining || self.may_return(daemon)
            }),
            Entry::Zone => directory.is_out(AWAY),
            Entry::Configuration => false,
        }
    }

    fn key(s: &State) -> String {
        let daemon = |daemon: &Daemon| {
            let directory = &daemon.directory;
            let known = directory.get(ID).map(|k| {
                let slots = k.upstream.slots;
                (
                    k.version,
                    k.announced,
                    slots,
                    k.upstream.state,
                    k.unlisted.is_some(),
                    k.awaits_write,
                )
            });
            format!(
                "{:?} {:?} {:?} {} {} {:?} {:?}",
                directory.version(),
                known,
                directory.configuration().map(|cfg| cfg.version),
                directory.is_out(AWAY),
                directory.awaited(),
                directory.restoration().map(|r| (r.before, r.start)),
                daemon.seen,
            )
        };
        format!(
            "{:?} {} {}",
            s.store,
            daemon(&s.reader),
            daemon(&s.follower)
        )
    }

    /// Explores all states; returns their number, or the first violation with its actions.
    fn explore(&self, steps: usize) -> Result<usize, (String, Vec<Action>)> {
        let mut seen = HashSet::new();
        let mut states = vec![(self.start(), Vec::new())];
        for _ in 0..steps {
            let mut next = Vec::new();
            for (state, path) in &states {
                for action in actions() {
                    let Some(after) = self.step(state, action) else {
                        continue;
                    };
                    let mut path: Vec<Action> = path.clone();
                    path.push(action);
                    if let Some(guarantee) = self.violation(&after) {
                        return Err((guarantee, path));
                    }
                    if seen.insert(Self::key(&after)) {
                        next.push((after, path));
                    }
                }
            }
            states = next;
        }
        Ok(seen.len())
    }
}

/// Writes the latest change of an entry.
fn write(store: &mut Store, entry: Entry) {
    store.version.revision += 1;
    let index = entry as usize;
    let (number, revision) = (store.latest[index], store.version.revision);
    store.contents[index] = (number, revision);
    store.history.push((entry, number, revision));
}

fn explore(mutant: Mutant, steps: usize) -> Result<usize, (String, Vec<Action>)> {
    let now = Instant::now();
    Model { now, mutant }.explore(steps)
}

#[test]
fn no_daemon_returns_to_an_older_state_of_the_world() {
    let states = explore(Mutant::None, STEPS).expect("all guarantees hold");
    assert!(
        states > 10_000,
        "{states} states are too few for a meaningful check"
    );
}

#[test]
fn mutants_return_to_older_states() {
    for (mutant, violation) in [
        (Mutant::IgnoresEras, "Upstream"),
        (Mutant::TakesMissingForRemoved, "Upstream"),
        (Mutant::LetsOldConfigurationIn, "Configuration"),
    ] {
        let (guarantee, path) = explore(mutant, STEPS).expect_err("the mutant is detected");
        assert!(
            guarantee.ends_with(violation),
            "{mutant:?}: {guarantee} by {path:?}"
        );
    }
}
