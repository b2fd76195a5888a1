//! Directory of upstreams, zones and routes: applying changes, lapsed entries and returning zones.

use crate::scene::{
    address,
    configuration,
    name,
    upstream,
    Scene,
    AWAY,
    HOME,
    PORT,
    SERVICE, //
};
use foxtailhinge_policy::packets::{
    directory::{
        Outcome,
        LAPSE_GRACE,
        RETURN_GRACE,
        RETURN_HEARTBEAT, //
    },
    entry::{
        Change,
        Item, //
    },
    DropReason,
    Upstream,
    UpstreamId,
    UpstreamState,
    Verdict, //
};
use std::time::Duration;

const NO_UPSTREAM: Verdict = Verdict::Drop(DropReason::NoUpstream);

fn unlisted(id: u64) -> Change {
    Change::Unlisted(UpstreamId(id), None)
}

fn zone(name: &str, out: bool) -> Change {
    Change::Zone {
        zone: name.into(),
        out,
    }
}

#[test]
fn an_older_configuration_is_ignored() {
    let mut scene = Scene::new();
    let newer = configuration(9, &[(PORT, &[(SERVICE, 1)])]);
    assert_eq!(scene.change(Change::Configured(newer)), Outcome::Applied);
    let older = configuration(8, &[]);
    assert_eq!(scene.change(Change::Configured(older)), Outcome::Stale);
    assert_eq!(scene.directory.configuration().unwrap().version, 9);
}

#[test]
fn an_older_entry_of_an_upstream_is_ignored() {
    let mut scene = Scene::new();
    let draining = Upstream {
        state: UpstreamState::Draining,
        ..upstream()
    };
    let old = scene.item(Change::Listed(UpstreamId(1), upstream()));
    let new = scene.item(Change::Listed(UpstreamId(1), draining));
    let now = scene.now;
    let outcomes = scene.directory.apply(new.version, &[new, old], now);
    assert_eq!(outcomes, [Outcome::Applied, Outcome::Stale]);
    assert_eq!(scene.open(1, 0), NO_UPSTREAM);
}

#[test]
fn a_list_that_is_older_than_the_view_is_refused() {
    let mut scene = Scene::new().upstream(1, upstream());
    let now = scene.now;
    assert_eq!(scene.directory.replace(1.into(), &[], now), None);
    assert_eq!(scene.choose(1).id, UpstreamId(1));
}

#[test]
fn entries_missing_from_a_full_list_are_removed_and_later_ones_stay() {
    let mut scene = Scene::new()
        .upstream(1, upstream())
        .upstream(2, upstream())
        .with(zone(AWAY, true));
    let now = scene.now;
    let kept = scene.item(Change::Listed(UpstreamId(2), upstream()));
    let outcome = scene.directory.replace(kept.version, &[kept], now);
    assert!(outcome.is_some());
    assert!(scene
        .directory
        .get(UpstreamId(1))
        .unwrap()
        .unlisted
        .is_some());
    assert!(scene
        .directory
        .get(UpstreamId(2))
        .unwrap()
        .unlisted
        .is_none());
    assert!(!scene.directory.is_out(AWAY));
}

#[test]
fn an_unusable_entry_affects_only_its_own_upstream() {
    let mut scene = Scene::new().upstream(1, upstream()).upstream(2, upstream());
    let reason = Some(name("state is missing"));
    let outcome = scene.change(Change::Unlisted(UpstreamId(1), reason));
    assert_eq!(outcome, Outcome::Refused("state is missing".into()));
    assert_eq!(
        scene.spread(1, 20).into_iter().collect::<Vec<_>>(),
        [(2, 20)]
    );
}

#[test]
fn a_single_upstream_that_is_unlisted_gets_nothing_new_at_once() {
    let mut scene = Scene::new().upstream(1, upstream()).upstream(2, upstream());
    scene.upstream_gone(1);
    assert_eq!(
        scene.spread(1, 20).into_iter().collect::<Vec<_>>(),
        [(2, 20)]
    );
}

#[test]
fn entries_that_vanish_together_keep_serving_until_they_had_time_to_return() {
    let mut scene = Scene::new().upstream(1, upstream()).upstream(2, upstream());
    scene.changes(vec![unlisted(1), unlisted(2)]);
    assert_eq!(scene.spread(1, 20).len(), 2);
    scene
        .after(1_000)
        .change(Change::Listed(UpstreamId(2), upstream()));
    assert_eq!(scene.spread(100, 20).len(), 2);
    scene.after(LAPSE_GRACE.as_millis() as u64 - 1_000);
    assert_eq!(
        scene.spread(200, 20).into_iter().collect::<Vec<_>>(),
        [(2, 20)]
    );
}

#[test]
fn an_entry_that_vanished_in_an_outage_keeps_serving_until_it_had_time_to_return() {
    let mut scene = Scene::new().upstream(1, upstream()).upstream(2, upstream());
    let now = scene.now;
    scene.directory.record_recovery(now);
    scene.after(10).upstream_gone(1);
    assert_eq!(scene.spread(1, 20).len(), 2);
    scene.after(LAPSE_GRACE.as_millis() as u64);
    assert_eq!(
        scene.spread(100, 20).into_iter().collect::<Vec<_>>(),
        [(2, 20)]
    );
}

#[test]
fn a_draining_upstream_that_vanishes_does_not_come_back() {
    let draining = Upstream {
        state: UpstreamState::Draining,
        ..upstream()
    };
    let mut scene = Scene::new()
        .upstream(1, draining.clone())
        .upstream(2, draining);
    scene.changes(vec![unlisted(1), unlisted(2)]);
    assert_eq!(scene.open(1, 0), NO_UPSTREAM);
}

/// One upstream in the home zone, which is out of service, and one in another zone.
fn home_out() -> Scene {
    let away = Upstream {
        zone: AWAY.into(),
        ..upstream()
    };
    let mut scene = Scene::new().upstream(1, upstream()).upstream(2, away);
    scene.change(zone(HOME, true));
    scene
}

#[test]
fn a_zone_that_is_out_gets_nothing_new() {
    let mut scene = home_out();
    assert_eq!(
        scene.spread(1, 20).into_iter().collect::<Vec<_>>(),
        [(2, 20)]
    );
}

#[test]
fn upstreams_of_a_returned_zone_count_as_cold_until_the_grace_period_ends() {
    let mut scene = home_out();
    scene.change(zone(HOME, false));
    scene.after(RETURN_GRACE.as_millis() as u64 - 1);
    assert_eq!(scene.choose(1).id, UpstreamId(2));
    scene.after(1);
    assert_eq!(scene.choose(2).id, UpstreamId(1));
}

#[test]
fn a_returned_zone_is_used_as_soon_as_its_entries_are_updated() {
    let mut scene = home_out();
    scene.change(zone(HOME, false));
    let updated = scene.now + RETURN_HEARTBEAT;
    assert_eq!(scene.directory.recheck_at(scene.now), Some(updated));
    scene.after(RETURN_HEARTBEAT.as_millis() as u64);
    scene.directory.confirm(updated - Duration::from_millis(1));
    assert_eq!(scene.choose(1).id, UpstreamId(2));
    scene.directory.confirm(updated);
    assert_eq!(scene.choose(2).id, UpstreamId(1));
    assert_eq!(scene.directory.recheck_at(scene.now), None);
}

#[test]
fn a_zone_that_never_was_out_does_not_return() {
    let mut scene = Scene::new().upstream(1, upstream());
    scene.change(zone(HOME, false));
    assert_eq!(scene.choose(1).id, UpstreamId(1));
}

#[test]
fn a_cold_upstream_gets_nothing_until_it_is_warm_also_when_it_restarts_with_its_id() {
    let mut scene = Scene::new().upstream(1, upstream()).upstream(2, upstream());
    let restarted = Upstream {
        warmup_left: Duration::from_secs(2),
        ..upstream()
    };
    scene.change(Change::Listed(UpstreamId(1), restarted));
    assert_eq!(
        scene.spread(1, 20).into_iter().collect::<Vec<_>>(),
        [(2, 20)]
    );
    scene.after(2_000);
    assert_eq!(scene.spread(100, 20).len(), 2);
}

#[test]
fn unlisted_upstreams_are_kept_for_their_flows_and_then_evicted() {
    let mut scene = Scene::new().upstream(1, upstream());
    scene.upstream_gone(1);
    let keep = Duration::from_secs(60);
    let later = scene.now + keep - Duration::from_millis(1);
    scene.directory.evict(keep, later);
    assert_eq!(scene.directory.with_label(1), Some(UpstreamId(1)));
    scene
        .directory
        .evict(keep, later + Duration::from_millis(1));
    assert_eq!(scene.directory.with_label(1), None);
}

#[test]
fn unrelated_and_unusable_entries_change_nothing() {
    let mut scene = Scene::new().upstream(1, upstream());
    assert_eq!(scene.change(Change::Foreign), Outcome::Ignored);
    let refused = Outcome::Refused("no configuration".into());
    assert_eq!(
        scene.change(Change::Unusable("no configuration".into())),
        refused
    );
    assert_eq!(scene.choose(1).to, address(1, 8080));
}

#[test]
fn the_revision_of_the_directory_never_decreases() {
    let mut scene = Scene::new();
    let now = scene.now;
    let none: [Item; 0] = [];
    scene.directory.apply(40.into(), &none, now);
    scene.directory.apply(30.into(), &none, now);
    assert_eq!(scene.directory.version(), 40.into());
}

impl Scene {
    fn upstream_gone(&mut self, id: u64) {
        self.change(unlisted(id));
    }
}
