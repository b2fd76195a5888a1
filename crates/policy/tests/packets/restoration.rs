//! Restoration of the store from a copy: what was known to be newer stays in force until it is written again.

use crate::scene::{
    configuration,
    upstream,
    AWAY,
    HOME,
    PORT,
    SERVICE, //
};
use foxtailhinge_policy::packets::{
    directory::LAPSE_GRACE,
    restoration::REWRITE_TIME,
    Change,
    Directory,
    Item,
    SyncedFrom,
    Upstream,
    UpstreamId,
    UpstreamState,
    Version, //
};
use std::time::{
    Duration,
    Instant, //
};

/// Revision of the copy; the former era has reached a higher one.
const COPY: u64 = 10;

fn at(era: u64, revision: u64, change: Change) -> Item {
    Item {
        key: "".into(),
        version: Version::new(era, revision),
        change,
    }
}

fn listed(id: u64, state: UpstreamState, warmup_left: Duration) -> Change {
    let upstream = Upstream {
        state,
        warmup_left,
        ..upstream()
    };
    Change::Listed(UpstreamId(id), upstream)
}

fn serving(id: u64) -> Change {
    listed(id, UpstreamState::Serving, Duration::ZERO)
}

fn draining(id: u64) -> Change {
    listed(id, UpstreamState::Draining, Duration::ZERO)
}

fn unlisted(id: u64) -> Change {
    Change::Unlisted(UpstreamId(id), None)
}

fn zone(out: bool) -> Change {
    Change::Zone {
        zone: AWAY.into(),
        out,
    }
}

fn configured(version: u64) -> Change {
    Change::Configured(configuration(version, &[(PORT, &[(SERVICE, 1)])]))
}

/// A store that takes a copy and goes back to it, and the time.
struct Store {
    era: u64,
    revision: u64,
    entries: Vec<(&'static str, Item)>,
    copy: Option<(u64, Vec<(&'static str, Item)>)>,
    now: Instant,
}

impl Store {
    /// A store with upstreams 1 to 3 and configuration 1.
    fn new() -> Self {
        let mut store = Self {
            era: 1,
            revision: 0,
            entries: Vec::new(),
            copy: None,
            now: Instant::now(),
        };
        store.write("cfg", configured(1));
        for (key, id) in [("1", 1), ("2", 2), ("3", 3)] {
            store.write(key, serving(id));
        }
        store.revision = COPY;
        store
    }

    /// Writes an entry and returns the change.
    fn write(&mut self, key: &'static str, change: Change) -> Item {
        self.revision += 1;
        let item = at(self.era, self.revision, change);
        self.entries.retain(|(known, _)| *known != key);
        let is_removal = matches!(
            item.change,
            Change::Unlisted(..) | Change::Zone { out: false, .. }
        );
        if !is_removal {
            self.entries.push((key, item.clone()));
        }
        item
    }

    fn copy(&mut self) {
        self.copy = Some((self.revision, self.entries.clone()));
    }

    /// Goes back to the copy, in a new era.
    fn restore(&mut self) {
        let (revision, entries) = self.copy.clone().expect("a copy was taken");
        self.era += 1;
        self.revision = revision;
        let era = self.era;
        self.entries = entries;
        for (_, item) in &mut self.entries {
            item.version.era = era;
        }
    }

    fn version(&self) -> Version {
        Version::new(self.era, self.revision)
    }

    /// The same store, to which other changes are written.
    fn fork(&self) -> Self {
        Self {
            entries: self.entries.clone(),
            copy: None,
            ..*self
        }
    }

    fn list(&self, directory: &mut Directory) {
        let items: Vec<_> = self.entries.iter().map(|(_, item)| item.clone()).collect();
        directory.replace(self.version(), &items, self.now);
        directory.confirm(self.now);
    }

    /// Writes an entry, and lets a directory that watches the store apply it.
    fn write_watched(&mut self, directory: &mut Directory, key: &'static str, change: Change) {
        let item = self.write(key, change);
        directory.apply(item.version, &[item], self.now);
        directory.confirm(self.now);
    }

    fn after(&mut self, time: Duration) {
        self.now += time;
    }

    fn is_used(&self, directory: &Directory, id: u64) -> bool {
        let known = directory.get(UpstreamId(id));
        known.is_some_and(|known| known.is_serving(self.now))
    }
}

/// A store with a copy, and a directory that watches it.
fn start() -> (Store, Directory) {
    let mut store = Store::new();
    let mut directory = Directory::default();
    store.list(&mut directory);
    store.copy();
    (store, directory)
}

#[test]
fn versions_are_ordered_by_era_first() {
    assert!(Version::new(1, 900) < Version::new(2, 3));
    assert!(Version::new(2, 3) < Version::new(2, 4));
    assert_eq!(Version::from(7).to_string(), "7");
    assert_eq!(Version::new(2, 7).to_string(), "2:7");
}

#[test]
fn changes_are_applied_at_once_after_a_restoration() {
    let (mut store, mut directory) = start();
    for id in 0..50 {
        store.write_watched(&mut directory, "4", serving(100 + id));
    }
    store.restore();
    store.list(&mut directory);
    assert_eq!(directory.version(), Version::new(2, COPY));
    store.write_watched(&mut directory, "2", draining(2));
    assert!(
        !store.is_used(&directory, 2),
        "the revision is lower than before"
    );
    store.write_watched(&mut directory, "cfg", configured(2));
    assert_eq!(directory.configuration().unwrap().version, 2);
}

#[test]
fn an_upstream_that_the_copy_lacks_stays_in_use_until_it_had_time_to_write_again() {
    let (mut store, mut directory) = start();
    store.write_watched(&mut directory, "4", serving(4));
    store.write_watched(&mut directory, "5", serving(5));
    store.restore();
    store.list(&mut directory);
    assert_eq!(directory.restoration().unwrap().kept, 2);
    store.after(LAPSE_GRACE / 2);
    assert!(store.is_used(&directory, 4) && store.is_used(&directory, 5));
    store.write_watched(&mut directory, "4", serving(4));
    assert_eq!(directory.awaited(), 1);
    store.after(LAPSE_GRACE);
    assert!(store.is_used(&directory, 4), "it was written again");
    assert!(!store.is_used(&directory, 5), "it was not written again");
    let settled = directory
        .expire_awaited(store.now)
        .expect("nothing is awaited");
    assert_eq!(settled.given_up, 1);
    assert_eq!(directory.expire_awaited(store.now), None, "it settles once");
}

#[test]
fn a_removed_or_draining_upstream_that_the_copy_brings_back_stays_out() {
    let (mut store, mut directory) = start();
    store.write_watched(&mut directory, "1", unlisted(1));
    store.write_watched(&mut directory, "2", draining(2));
    store.restore();
    store.list(&mut directory);
    assert_eq!(directory.restoration().unwrap().held_out, 2);
    store.list(&mut directory);
    store.after(LAPSE_GRACE * 2);
    assert!(!store.is_used(&directory, 1) && !store.is_used(&directory, 2));
    assert!(store.is_used(&directory, 3));
    store.write_watched(&mut directory, "1", serving(1));
    assert!(store.is_used(&directory, 1), "it was written again");
    store.write_watched(&mut directory, "2", unlisted(2));
    assert!(!store.is_used(&directory, 2));
    assert_eq!(directory.awaited(), 0);
}

#[test]
fn an_entry_that_was_written_since_the_restoration_applies_though_it_was_removed_before() {
    let (mut store, mut directory) = start();
    store.write_watched(&mut directory, "1", unlisted(1));
    let mut follower = directory.clone();
    store.restore();
    store.list(&mut directory);
    store.write_watched(&mut directory, "1", serving(1));
    let changes =
        directory.changes_since(follower.version(), SyncedFrom::ThisDaemon, None, store.now);
    assert!(changes.is_whole);
    follower.merge_changes(&changes, store.now);
    assert!(
        store.is_used(&follower, 1),
        "the follower begins the era with the entry"
    );
}

#[test]
fn an_evacuation_that_the_copy_lacks_holds_until_it_is_written_again() {
    let (mut store, mut directory) = start();
    store.write_watched(&mut directory, "away", zone(true));
    store.restore();
    store.list(&mut directory);
    store.after(REWRITE_TIME / 2);
    directory.expire_awaited(store.now);
    assert!(directory.is_out(AWAY));
    store.write_watched(&mut directory, "away", zone(true));
    store.after(REWRITE_TIME);
    directory.expire_awaited(store.now);
    assert!(directory.is_out(AWAY), "it was written again");
    store.write_watched(&mut directory, "away", zone(false));
    assert!(!directory.is_out(AWAY));
}

#[test]
fn another_list_in_the_same_era_ends_nothing_that_is_awaited() {
    let (mut store, mut directory) = start();
    store.write_watched(&mut directory, "away", zone(true));
    store.write_watched(&mut directory, "1", unlisted(1));
    store.write_watched(&mut directory, "4", serving(4));
    store.write_watched(&mut directory, "cfg", configured(5));
    store.restore();
    store.list(&mut directory);
    store.write("5", serving(5));
    store.list(&mut directory);
    assert!(directory.is_out(AWAY));
    assert!(!store.is_used(&directory, 1) && store.is_used(&directory, 4));
    assert_eq!(directory.configuration().unwrap().version, 5);
    assert_eq!(directory.awaited(), 4);
}

/// An evacuation that was not written again within 30 s of a restoration ended by itself.
#[test]
fn an_evacuation_that_is_not_written_again_holds_until_it_is_taken_back() {
    let (mut store, mut directory) = start();
    store.write_watched(&mut directory, "away", zone(true));
    store.restore();
    store.list(&mut directory);
    store.after(REWRITE_TIME * 20);
    directory.expire_awaited(store.now);
    store.list(&mut directory);
    assert!(directory.is_out(AWAY));
    assert_eq!(directory.awaited(), 1);
    // A daemon that starts now learns it.
    let mut new = Directory::default();
    store.list(&mut new);
    pass_on(&directory, &mut new, store.now);
    new.expire_awaited(store.now);
    assert!(new.is_out(AWAY));
    for directory in [&mut directory, &mut new] {
        let mut store = store.fork();
        store.write_watched(directory, "away", zone(true));
        store.write_watched(directory, "away", zone(false));
        assert!(!directory.is_out(AWAY));
        assert!(directory.expire_awaited(store.now).is_some(), "it settles");
    }
}

/// Lets a daemon get what another one knows.
fn pass_on(from: &Directory, to: &mut Directory, now: Instant) {
    let known = to.configuration_id();
    let mut changes = from.changes_since(to.version(), SyncedFrom::Other, known, now);
    assert!(to.expand_delta(&mut changes));
    to.merge_changes(&changes, now).unwrap();
}

/// The store lost an evacuation and its end. A daemon that had not read the end kept the zone out.
#[test]
fn a_daemon_that_missed_the_end_of_an_evacuation_learns_it_from_another_one() {
    let (mut store, mut behind) = start();
    let mut ahead = behind.clone();
    let mut ignorant = behind.clone();
    let out = store.write("away", zone(true));
    for directory in [&mut behind, &mut ahead] {
        directory.apply(out.version, std::slice::from_ref(&out), store.now);
    }
    store.write_watched(&mut ahead, "away", zone(false));
    store.restore();
    for directory in [&mut behind, &mut ahead, &mut ignorant] {
        store.list(directory);
    }
    let mut follower = Directory::default();
    store.list(&mut follower);
    pass_on(&behind, &mut follower, store.now);
    assert!(behind.is_out(AWAY) && follower.is_out(AWAY));
    // A daemon that had seen less does not know.
    pass_on(&ignorant, &mut behind, store.now);
    assert!(behind.is_out(AWAY));
    pass_on(&behind, &mut ahead, store.now);
    for directory in [&mut behind, &mut follower] {
        pass_on(&ahead, directory, store.now);
        assert!(!directory.is_out(AWAY));
        assert_eq!(directory.awaited(), 0);
    }
}

/// A follower that had missed two eras kept a zone out although its reader told it the end of the evacuation.
#[test]
fn a_follower_takes_the_end_of_an_evacuation_from_a_reader_of_a_later_era() {
    let (mut store, mut follower) = start();
    store.write_watched(&mut follower, "away", zone(true));
    let mut reader = follower.clone();
    for _ in 0..2 {
        store.restore();
        store.list(&mut reader);
    }
    let mut behind = follower.clone();
    pass_on(&reader, &mut behind, store.now);
    assert!(behind.is_out(AWAY), "its end is not known");
    store.write_watched(&mut reader, "away", zone(true));
    store.write_watched(&mut reader, "away", zone(false));
    for directory in [&mut follower, &mut behind] {
        pass_on(&reader, directory, store.now);
        assert!(!directory.is_out(AWAY));
        assert_eq!(directory.awaited(), 0);
    }
}

/// A reader that had not seen the evacuation knows the end of an earlier one only.
#[test]
fn a_reader_that_was_behind_does_not_end_an_evacuation() {
    let (mut store, mut follower) = start();
    store.write_watched(&mut follower, "away", zone(true));
    store.write_watched(&mut follower, "away", zone(false));
    let mut reader = follower.clone();
    store.write_watched(&mut follower, "away", zone(true));
    store.restore();
    store.list(&mut reader);
    pass_on(&reader, &mut follower, store.now);
    assert!(follower.is_out(AWAY));
    pass_on(&follower, &mut reader, store.now);
    assert!(reader.is_out(AWAY));
}

/// A restored store gave a new evacuation the revision of one that had ended, and the zone stayed in service. It may also
/// be the evacuation that ended; the zone is then out until that is taken back again.
#[test]
fn an_evacuation_that_a_restored_store_lists_applies_whatever_its_revision() {
    for is_new in [true, false] {
        let mut store = Store::new();
        if !is_new {
            store.write("away", zone(true));
        }
        let mut directory = Directory::default();
        store.list(&mut directory);
        store.copy();
        let known = match is_new {
            true => store.write("away", zone(true)).version.revision,
            false => store.revision,
        };
        store.list(&mut directory);
        store.write_watched(&mut directory, "away", zone(false));
        assert!(!directory.is_out(AWAY));
        store.after(Duration::from_secs(5));
        store.restore();
        if is_new {
            let again = store.write("away", zone(true)).version.revision;
            assert_eq!(again, known, "the revision is given out again");
        }
        store.list(&mut directory);
        assert!(directory.is_out(AWAY));
        // Neither time nor another list returns it while it is published.
        store.after(REWRITE_TIME * 2);
        directory.expire_awaited(store.now);
        store.list(&mut directory);
        assert!(directory.is_out(AWAY));
        store.write_watched(&mut directory, "away", zone(false));
        assert!(!directory.is_out(AWAY), "it is taken back");
    }
}

/// The watch that shows the end of an evacuation may be lost; the next list lacks the evacuation then.
#[test]
fn a_zone_that_a_restored_store_lists_as_out_returns_with_the_list_that_lacks_it() {
    let mut store = Store::new();
    store.write("away", zone(true));
    let mut directory = Directory::default();
    store.list(&mut directory);
    store.copy();
    store.write_watched(&mut directory, "away", zone(false));
    store.restore();
    store.list(&mut directory);
    assert!(directory.is_out(AWAY));
    store.write("away", zone(false));
    store.list(&mut directory);
    assert!(!directory.is_out(AWAY));
}

#[test]
fn a_new_evacuation_is_not_overruled_by_the_end_of_the_former_one() {
    let (mut store, mut directory) = start();
    store.write_watched(&mut directory, "away", zone(true));
    store.write_watched(&mut directory, "away", zone(false));
    store.restore();
    store.write("3", serving(3));
    store.write("away", zone(true));
    store.list(&mut directory);
    assert!(directory.is_out(AWAY));
}

#[test]
fn an_upstream_that_left_before_the_daemon_started_is_not_used_again() {
    let (mut store, _) = start();
    store.write("1", unlisted(1));
    let mut directory = Directory::default();
    store.list(&mut directory);
    store.restore();
    store.list(&mut directory);
    assert!(!store.is_used(&directory, 1) && store.is_used(&directory, 2));
    store.write_watched(&mut directory, "1", serving(1));
    assert!(store.is_used(&directory, 1));
}

#[test]
fn an_old_directory_does_not_overrule_an_evacuation_in_the_copy() {
    let mut store = Store::new();
    store.write("away", zone(true));
    let mut directory = Directory::default();
    store.list(&mut directory);
    store.write_watched(&mut directory, "away", zone(false));
    // The directory is cut off while the zone goes out again, long before the copy is taken.
    store.after(Duration::from_secs(60));
    store.write("away", zone(true));
    store.copy();
    store.restore();
    store.list(&mut directory);
    assert!(directory.is_out(AWAY));
}

#[test]
fn an_old_directory_does_not_keep_upstreams_that_the_copy_lacks() {
    let (mut store, mut directory) = start();
    store.after(Duration::from_secs(60));
    store.write("3", unlisted(3));
    store.copy();
    store.restore();
    store.list(&mut directory);
    assert!(!store.is_used(&directory, 3));
}

#[test]
fn the_configuration_never_goes_back() {
    let (mut store, mut directory) = start();
    for version in [2, 5, 9] {
        store.write_watched(&mut directory, "cfg", configured(version));
    }
    store.restore();
    store.list(&mut directory);
    assert_eq!(directory.configuration().unwrap().version, 9);
    assert_eq!(directory.awaited(), 1);
    // The lost configurations are written again, the oldest first.
    for version in [2, 5, 9] {
        store.write_watched(&mut directory, "cfg", configured(version));
        assert_eq!(directory.configuration().unwrap().version, 9);
    }
    assert_eq!(directory.awaited(), 0);
    store.write_watched(&mut directory, "cfg", configured(12));
    assert_eq!(directory.configuration().unwrap().version, 12);
}

#[test]
fn a_daemon_that_starts_in_the_new_era_learns_what_its_peers_know() {
    let (mut store, mut directory) = start();
    store.write_watched(&mut directory, "1", unlisted(1));
    store.write_watched(&mut directory, "2", draining(2));
    store.write_watched(&mut directory, "4", serving(4));
    store.write_watched(&mut directory, "away", zone(true));
    store.write_watched(&mut directory, "cfg", configured(7));
    store.restore();
    store.list(&mut directory);
    // The new daemon lists the store somewhat later.
    store.write("5", serving(5));
    let mut new = Directory::default();
    store.list(&mut new);
    assert!(store.is_used(&new, 1), "its list has the copy's entry");
    new.record_recovery(directory.recovered_at().unwrap());
    let changes = directory.changes_since(new.version(), SyncedFrom::Other, None, store.now);
    new.merge_changes(&changes, store.now);
    assert!(!store.is_used(&new, 1) && !store.is_used(&new, 2));
    assert!(store.is_used(&new, 3) && store.is_used(&new, 4) && store.is_used(&new, 5));
    assert!(new.is_out(AWAY));
    assert_eq!(new.configuration().unwrap().version, 7);
    assert_eq!(new.version(), store.version(), "its view does not go back");
    // Without anything written again, the evacuation and the configuration stay in force, and nothing else is awaited.
    store.after(REWRITE_TIME);
    for directory in [&mut directory, &mut new] {
        directory.expire_awaited(store.now);
        assert!(directory.is_out(AWAY) && !directory.is_out(HOME));
        assert_eq!(directory.configuration().unwrap().version, 7);
        assert_eq!(directory.awaited(), 1);
    }
}

#[test]
fn what_was_written_again_is_not_overruled_by_a_peer() {
    let (mut store, mut directory) = start();
    store.write_watched(&mut directory, "1", unlisted(1));
    store.write_watched(&mut directory, "away", zone(true));
    store.restore();
    store.list(&mut directory);
    let mut new = Directory::default();
    store.write("1", serving(1));
    store.write("away", zone(true));
    store.list(&mut new);
    store.write_watched(&mut new, "away", zone(false));
    let changes = directory.changes_since(new.version(), SyncedFrom::Other, None, store.now);
    new.merge_changes(&changes, store.now);
    assert!(store.is_used(&new, 1));
    assert!(!new.is_out(AWAY));
}

#[test]
fn a_peer_of_an_earlier_era_changes_nothing() {
    let (mut store, mut behind) = start();
    for revision in 0..20 {
        store.write_watched(&mut behind, "4", serving(200 + revision));
    }
    let mut ahead = behind.clone();
    store.restore();
    store.list(&mut ahead);
    store.write_watched(&mut ahead, "3", draining(3));
    let known = ahead.version();
    for after in [Version::default(), behind.version(), known] {
        let changes = behind.changes_since(after, SyncedFrom::Other, None, store.now);
        assert_eq!(ahead.merge_changes(&changes, store.now), None);
        assert_eq!(ahead.version(), known);
        assert!(!store.is_used(&ahead, 3));
    }
    let changes = ahead.changes_since(behind.version(), SyncedFrom::ThisDaemon, None, store.now);
    behind.merge_changes(&changes, store.now);
    assert_eq!(behind.version(), known);
    assert!(!store.is_used(&behind, 3));
}

#[test]
fn a_warm_up_that_the_copy_does_not_show_goes_on() {
    let (mut store, mut directory) = start();
    // The upstream restarts under its id after the copy was taken.
    let cold = listed(3, UpstreamState::Serving, Duration::from_secs(8));
    store.write_watched(&mut directory, "3", cold);
    store.restore();
    store.list(&mut directory);
    let is_cold = |directory: &Directory, now| directory.get(UpstreamId(3)).unwrap().is_cold(now);
    assert!(is_cold(&directory, store.now));
    store.after(Duration::from_secs(1));
    let left = Duration::from_secs(7);
    store.write_watched(&mut directory, "3", listed(3, UpstreamState::Serving, left));
    store.after(left);
    assert!(!is_cold(&directory, store.now));
}

#[test]
fn several_restorations_one_after_the_other_lose_nothing() {
    let (mut store, mut directory) = start();
    store.write_watched(&mut directory, "1", unlisted(1));
    store.write_watched(&mut directory, "4", serving(4));
    store.write_watched(&mut directory, "away", zone(true));
    store.write_watched(&mut directory, "cfg", configured(4));
    for _ in 0..3 {
        store.restore();
        store.list(&mut directory);
        store.after(LAPSE_GRACE / 2);
        assert!(!store.is_used(&directory, 1) && store.is_used(&directory, 4));
        assert!(directory.is_out(AWAY));
        assert_eq!(directory.configuration().unwrap().version, 4);
    }
    // Two restorations pass unseen.
    store.restore();
    store.restore();
    store.list(&mut directory);
    assert_eq!(directory.version().era, store.era);
    assert!(!store.is_used(&directory, 1) && store.is_used(&directory, 4));
}

#[test]
fn an_era_that_is_named_for_the_first_time_is_treated_as_a_restoration() {
    let mut store = Store::new();
    store.era = 0;
    for (_, item) in &mut store.entries {
        item.version.era = 0;
    }
    let mut directory = Directory::default();
    store.list(&mut directory);
    store.copy();
    store.write_watched(&mut directory, "1", unlisted(1));
    store.restore();
    store.list(&mut directory);
    assert_eq!(directory.version().era, 1);
    assert!(!store.is_used(&directory, 1) && store.is_used(&directory, 2));
}
