//! Flow labels of upstreams whose ids agree in the digits that make the label.

use crate::scene::{
    address,
    choice,
    flow,
    syn,
    target,
    upstream,
    Scene,
    PORT, //
};
use foxtailhinge_policy::packets::{
    entry::Change,
    packet::{
        Kind,
        Label, //
    },
    Item,
    Packet,
    Seniority,
    Upstream,
    UpstreamId,
    UpstreamState, //
};
use rstest::rstest;
use std::{
    collections::BTreeMap,
    time::Duration, //
};

const LABEL: Label = 0x7f3a_91c2;
/// Upstream that is replaced.
const OLD: u64 = 0x55_7f3a_91c2;
/// Ids that its successor may have.
const HIGHER: u64 = 0xaa_7f3a_91c2;
const LOWER: u64 = 0x11_7f3a_91c2;

fn old() -> Upstream {
    Upstream {
        seniority: Seniority {
            started_ms: 1_000,
            created: 10,
        },
        ..upstream()
    }
}

fn new() -> Upstream {
    Upstream {
        address: address(2, 8080),
        seniority: Seniority {
            started_ms: 2_000,
            created: 20,
        },
        ..upstream()
    }
}

fn data(caller: u16, label: Label) -> Packet {
    Packet {
        flow: flow(caller, PORT),
        label,
        kind: Kind::Data,
        seq: 2,
        ack: 2,
        len: 0,
    }
}

/// Opens flows of `n` callers; returns the upstreams by the labels that the flows got.
fn labels(scene: &mut Scene, first: u16, n: u16) -> BTreeMap<Label, u64> {
    let mut labels = BTreeMap::new();
    for caller in first..first + n {
        let choice = choice(scene.decide(syn(flow(caller, PORT), 0)));
        let before = labels.insert(choice.label, choice.id.0);
        assert!(
            before.is_none_or(|id| id == choice.id.0),
            "one upstream a label"
        );
        assert_eq!(
            target(scene.decide(data(caller, choice.label))).0,
            choice.id.0
        );
    }
    labels
}

/// The label of open flows changed its upstream when another one with the same label registered, or when the first one
/// began to drain.
#[rstest]
#[case::higher_id(HIGHER)]
#[case::lower_id(LOWER)]
fn open_flows_stay_at_their_upstream_during_a_release(#[case] successor: u64) {
    let mut scene = Scene::new().upstream(OLD, old());
    let label = scene.choose(1).label;
    scene.change(Change::Listed(UpstreamId(successor), new()));
    assert_eq!(target(scene.decide(data(1, label))).0, OLD);
    let used = labels(&mut scene, 100, 50);
    assert_eq!(used.len(), 2, "both take new flows");
    let draining = Upstream {
        state: UpstreamState::Draining,
        ..old()
    };
    scene.change(Change::Listed(UpstreamId(OLD), draining));
    assert_eq!(target(scene.decide(data(1, label))).0, OLD);
    scene.change(Change::Unlisted(UpstreamId(OLD), None));
    assert_eq!(target(scene.decide(data(1, label))).0, OLD);
    let used = labels(&mut scene, 200, 20);
    assert_eq!(used.into_values().collect::<Vec<_>>(), [successor]);
    scene.after(50_000);
    scene.directory.evict(Duration::from_secs(60), scene.now);
    assert_eq!(target(scene.decide(data(1, label))).0, OLD);
}

/// A flow that was opened under the alternate label keeps it when the first label becomes free.
#[test]
fn the_alternate_label_outlives_the_upstream_that_has_the_first_one() {
    let mut scene = Scene::new().upstream(OLD, old()).upstream(HIGHER, new());
    let alternate = UpstreamId(HIGHER).alternate_label();
    assert_eq!(
        scene.directory.label_of(UpstreamId(HIGHER)),
        Some(alternate)
    );
    scene.change(Change::Unlisted(UpstreamId(OLD), None));
    scene.after(61_000);
    scene.directory.evict(Duration::from_secs(60), scene.now);
    assert_eq!(target(scene.decide(data(1, alternate))).0, HIGHER);
    assert_eq!(target(scene.decide(data(1, LABEL))).0, HIGHER);
}

/// Daemons that learn of both upstreams at once, or in another order, agree on the labels.
#[rstest]
#[case::higher_id(HIGHER)]
#[case::lower_id(LOWER)]
fn a_daemon_that_starts_during_a_release_gives_the_older_upstream_the_first_label(
    #[case] successor: u64,
) {
    let mut scene = Scene::new();
    scene.changes(vec![
        Change::Listed(UpstreamId(successor), new()),
        Change::Listed(UpstreamId(OLD), old()),
    ]);
    assert_eq!(scene.directory.label_of(UpstreamId(OLD)), Some(LABEL));
    assert_eq!(target(scene.decide(data(1, LABEL))).0, OLD);
}

#[test]
fn the_entry_that_was_created_first_is_older_if_the_starts_do_not_tell() {
    let created = |created| Upstream {
        seniority: Seniority {
            started_ms: 1_000,
            created,
        },
        ..upstream()
    };
    let mut scene = Scene::new();
    scene.changes(vec![
        Change::Listed(UpstreamId(LOWER), created(20)),
        Change::Listed(UpstreamId(OLD), created(10)),
    ]);
    assert_eq!(scene.directory.label_of(UpstreamId(OLD)), Some(LABEL));
}

/// An entry that lapses in an outage is created again, later than that of the successor.
#[test]
fn an_upstream_keeps_its_label_when_its_entry_is_created_again() {
    let again = Upstream {
        seniority: Seniority {
            created: 30,
            ..old().seniority
        },
        ..old()
    };
    let mut scene = Scene::new().upstream(OLD, old()).upstream(HIGHER, new());
    scene.change(Change::Unlisted(UpstreamId(OLD), None));
    scene.change(Change::Listed(UpstreamId(OLD), again.clone()));
    assert_eq!(scene.directory.label_of(UpstreamId(OLD)), Some(LABEL));
    let mut fresh = Scene::new();
    fresh.changes(vec![
        Change::Listed(UpstreamId(HIGHER), new()),
        Change::Listed(UpstreamId(OLD), again),
    ]);
    assert_eq!(fresh.directory.label_of(UpstreamId(OLD)), Some(LABEL));
}

/// A daemon that knows only the successor forwards what another one opened under the alternate label.
#[test]
fn a_daemon_that_does_not_know_of_the_conflict_resolves_both_labels() {
    let mut scene = Scene::new().upstream(HIGHER, new());
    let alternate = UpstreamId(HIGHER).alternate_label();
    assert_eq!(target(scene.decide(data(1, alternate))).0, HIGHER);
    assert_eq!(target(scene.decide(data(2, LABEL))).0, HIGHER);
}

/// A full list, as after an outage or an era, changes no label.
#[test]
fn a_list_changes_no_label() {
    let mut scene = Scene::new().upstream(OLD, old()).upstream(LOWER, new());
    let before = [OLD, LOWER].map(|id| scene.directory.label_of(UpstreamId(id)));
    let items = [(LOWER, new()), (OLD, old())].map(|(id, upstream)| Item {
        key: "key".into(),
        version: 100.into(),
        change: Change::Listed(UpstreamId(id), upstream),
    });
    scene
        .directory
        .replace(100.into(), &items, scene.now)
        .unwrap();
    let after = [OLD, LOWER].map(|id| scene.directory.label_of(UpstreamId(id)));
    assert_eq!(after, before);
}
