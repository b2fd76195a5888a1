//! Membership: precedence of records, refutation, suspicion, the platform's list and gossip.

use foxtailhinge_policy::members::{
    ChangeKind,
    ListedVm,
    Member,
    MemberState::{
        self,
        Alive,
        Dead,
        Leaving,
        Suspect, //
    },
    Members,
    MembersSpec, //
};
use quickcheck::{
    Gen,
    QuickCheck,
    Testable, //
};
use rand::{
    rngs::SmallRng,
    SeedableRng, //
};
use rstest::rstest;
use std::{
    collections::HashSet,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

const SEED: u64 = 1;

fn member(vm: &str, zone: &str, state: MemberState, version: u32, incarnation: u32) -> Member {
    Member {
        vm: vm.into(),
        zone: zone.into(),
        relay: "127.0.0.1:7000".parse().unwrap(),
        control: "127.0.0.1:7001".parse().unwrap(),
        incarnation,
        state,
        version,
    }
}

fn listed(vm: &str, leaving: bool) -> ListedVm {
    ListedVm {
        vm: vm.into(),
        zone: "a".into(),
        relay: "127.0.0.1:7000".parse().unwrap(),
        control: "127.0.0.1:7001".parse().unwrap(),
        leaving,
    }
}

fn view(vm: &str) -> Members {
    Members::new(member(vm, "a", Alive, 1, 1), MembersSpec::default())
}

fn live(members: &Members) -> Vec<Rc<str>> {
    let mut live: Vec<_> = members.live_in_zone("a").map(|m| m.vm.clone()).collect();
    live.sort();
    live
}

#[rstest]
#[case::suspicion(Alive, 1, 7, Suspect, 1, 7, Some(ChangeKind::Suspected))]
#[case::refuted(Suspect, 1, 7, Alive, 2, 7, Some(ChangeKind::Recovered))]
#[case::not_refuted_by_an_old_record(Suspect, 1, 7, Alive, 1, 7, None)]
#[case::removal(Suspect, 1, 7, Dead, 1, 7, Some(ChangeKind::Died))]
#[case::old_removal(Alive, 2, 7, Dead, 1, 7, None)]
#[case::back_after_removal(Dead, 1, 7, Alive, 2, 7, Some(ChangeKind::Joined))]
#[case::old_copy_after_removal(Dead, 1, 7, Alive, 1, 7, None)]
#[case::leaving(Alive, 1, 7, Leaving, 2, 7, Some(ChangeKind::Leaving))]
#[case::leaving_is_not_suspected(Leaving, 2, 7, Suspect, 2, 7, None)]
#[case::leaving_then_gone(Leaving, 2, 7, Dead, 2, 7, Some(ChangeKind::Died))]
#[case::restarted(Alive, 3, 7, Alive, 4, 5, Some(ChangeKind::Restarted))]
#[case::restarted_with_a_lower_version(Alive, 3, 7, Alive, 1, 5, None)]
#[case::first_record(Dead, 0, 0, Alive, 1, 9, Some(ChangeKind::Joined))]
fn records_are_ordered(
    #[case] state: MemberState,
    #[case] version: u32,
    #[case] incarnation: u32,
    #[case] new_state: MemberState,
    #[case] new_version: u32,
    #[case] new_incarnation: u32,
    #[case] expected: Option<ChangeKind>,
) {
    let now = Instant::now();
    let mut members = view("me");
    members.merge(member("x", "a", state, version, incarnation), now);
    let change = members.merge(
        member("x", "a", new_state, new_version, new_incarnation),
        now,
    );
    assert_eq!(change.map(|c| c.kind), expected);
}

#[rstest]
#[case::suspected(Suspect)]
#[case::reported_dead(Dead)]
fn refutes_wrong_records_about_itself(#[case] reported: MemberState) {
    let mut members = view("me");
    let change = members.merge(member("me", "a", reported, 4, 1), Instant::now());
    assert_eq!(change.unwrap().kind, ChangeKind::Refuted);
    assert_eq!((members.me().state, members.me().version), (Alive, 5));
    assert_eq!(members.gossip(1)[0], *members.me());
}

#[test]
fn stays_leaving_when_it_refutes() {
    let mut members = view("me");
    members.leave();
    members.merge(member("me", "a", Dead, 9, 1), Instant::now());
    assert_eq!((members.me().state, members.me().version), (Leaving, 10));
    assert!(live(&members).is_empty());
}

#[test]
fn a_restarted_vm_overrides_its_earlier_record() {
    let now = Instant::now();
    let mut peer = view("peer");
    peer.merge(member("x", "a", Alive, 6, 900), now);
    let mut restarted = Members::new(member("x", "a", Alive, 1, 3), MembersSpec::default());
    assert!(peer.merge(restarted.me().clone(), now).is_none());
    restarted.merge(peer.get("x").unwrap().clone(), now);
    let change = peer.merge(restarted.me().clone(), now).unwrap();
    assert_eq!(change.kind, ChangeKind::Restarted);
    assert_eq!(peer.get("x").unwrap().incarnation, 3);
}

#[test]
fn of_two_processes_with_one_vm_id_one_is_superseded() {
    let now = Instant::now();
    let mut a = Members::new(member("x", "a", Alive, 1, 10), MembersSpec::default());
    let mut b = Members::new(member("x", "a", Alive, 1, 20), MembersSpec::default());
    let mut superseded = Vec::new();
    for _ in 0..40 {
        for change in [a.merge(b.me().clone(), now), b.merge(a.me().clone(), now)] {
            superseded.extend(change.filter(|c| c.kind == ChangeKind::Superseded));
        }
    }
    let by: HashSet<_> = superseded.iter().map(|c| c.member.incarnation).collect();
    assert_eq!(by, HashSet::from([20]));
}

#[test]
fn the_list_neither_revives_nor_removes() {
    let now = Instant::now();
    let mut members = view("me");
    members.merge(member("alive", "a", Alive, 1, 5), now);
    members.merge(member("dead", "a", Alive, 1, 5), now);
    members.merge(member("dead", "a", Dead, 1, 5), now);
    let before = members.view_version();
    members.apply_list(
        [
            listed("dead", false),
            listed("new", false),
            listed("me", true),
        ],
        now,
    );
    assert_eq!(
        live(&members),
        ["alive".into(), "me".into()] as [Rc<str>; 2]
    );
    assert_eq!(members.view_version(), before);
    assert_eq!(members.get("new").unwrap().state, Dead);
    assert!(members.is_listed_leaving("me"));
}

#[test]
fn a_listed_name_is_probed_and_joins_when_it_answers() {
    let now = Instant::now();
    let mut members = view("me");
    members.apply_list([listed("new", false)], now);
    let targets = members.probe_targets(&mut SmallRng::seed_from_u64(1));
    assert_eq!(targets[0].vm.as_ref(), "new");
    let change = members.merge(member("new", "a", Alive, 1, 5), now).unwrap();
    assert_eq!(change.kind, ChangeKind::Joined);
    assert_eq!(live(&members).len(), 2);
}

#[test]
fn suspicion_comes_before_removal() {
    let now = Instant::now();
    let spec = MembersSpec::default();
    let mut members = view("me");
    members.merge(member("x", "a", Alive, 1, 5), now);
    assert!(members.on_missed("x", now).is_none());
    assert!(members.has_missed_probe("x"));
    let change = members.on_missed("x", now).unwrap();
    assert_eq!(change.kind, ChangeKind::Suspected);
    assert_eq!(live(&members).len(), 2, "a suspect member is still live");
    let early = spec.suspicion - Duration::from_millis(1);
    assert!(members.tick(now + early).is_empty());
    let changes = members.tick(now + spec.suspicion);
    assert_eq!(changes[0].kind, ChangeKind::Died);
    assert_eq!(live(&members).len(), 1);
}

#[test]
fn an_answer_in_between_clears_the_misses() {
    let now = Instant::now();
    let mut members = view("me");
    members.merge(member("x", "a", Alive, 1, 5), now);
    members.on_missed("x", now);
    members.on_ack("x");
    assert!(members.on_missed("x", now).is_none());
    assert_eq!(members.get("x").unwrap().state, Alive);
}

#[test]
fn a_leaving_member_that_misses_probes_is_dead_without_suspicion() {
    let now = Instant::now();
    let mut members = view("me");
    members.merge(member("x", "a", Leaving, 2, 5), now);
    members.on_missed("x", now);
    let change = members.on_missed("x", now).unwrap();
    assert_eq!(change.kind, ChangeKind::Died);
}

#[test]
fn old_records_of_dead_members_are_deleted_unless_listed() {
    let now = Instant::now();
    let spec = MembersSpec::default();
    let mut members = view("me");
    for vm in ["kept", "dropped"] {
        members.merge(member(vm, "a", Alive, 1, 5), now);
        members.merge(member(vm, "a", Dead, 1, 5), now);
    }
    members.apply_list([listed("kept", false)], now);
    members.tick(now + spec.forget_after);
    assert!(members.get("kept").is_some());
    assert!(members.get("dropped").is_none());
    assert!(members.by_hash((spec.name_hash)("dropped")).is_none());
    members.merge(member("next", "a", Alive, 1, 5), now);
    assert_eq!(live(&members), ["me".into(), "next".into()] as [Rc<str>; 2]);
}

#[rstest]
#[case::small(2, 6)]
#[case::one_zone(343, 0)]
#[case::fleet(343, 2_057)]
fn probes_in_a_round_do_not_grow_with_the_fleet(#[case] near: usize, #[case] far: usize) {
    let now = Instant::now();
    let spec = MembersSpec::default();
    let mut members = view("me");
    for i in 0..near {
        members.merge(member(&format!("n{i}"), "a", Alive, 1, 5), now);
    }
    for i in 0..far {
        members.merge(
            member(&format!("f{i}"), &format!("z{}", i % 6), Alive, 1, 5),
            now,
        );
    }
    let mut rng = SmallRng::seed_from_u64(1);
    for _ in 0..10 {
        let targets = members.probe_targets(&mut rng);
        let in_zone = targets.iter().filter(|m| m.zone.as_ref() == "a").count();
        assert_eq!(in_zone, spec.near_probes.min(near));
        assert_eq!(targets.len() - in_zone, spec.far_probes.min(far));
    }
}

#[test]
fn gossip_is_newest_first_and_bounded() {
    let now = Instant::now();
    let mut members = view("me");
    for vm in ["first", "second", "third"] {
        members.merge(member(vm, "a", Alive, 1, 5), now);
    }
    assert!(members.has_gossip_backlog(1));
    let names: Vec<_> = members.gossip(2).iter().map(|m| m.vm.to_string()).collect();
    assert_eq!(names, ["third", "second"]);
    let rounds = (0..100)
        .take_while(|_| !members.gossip(8).is_empty())
        .count();
    assert!(rounds < 20, "{rounds} rounds");
}

#[test]
fn a_copied_view_is_not_gossiped() {
    let now = Instant::now();
    let mut members = view("me");
    let change = members
        .merge_without_gossip(member("x", "a", Alive, 1, 5), now)
        .unwrap();
    assert_eq!(change.kind, ChangeKind::Joined);
    assert!(members.gossip(8).is_empty());
    assert!(!members.has_gossip_backlog(0));
    members.merge_without_gossip(member("me", "a", Suspect, 1, 1), now);
    assert_eq!(
        members.gossip(8),
        [members.me().clone()],
        "a refutation is gossiped"
    );
}

#[test]
fn late_records_of_a_previous_process_do_not_supersede_a_daemon() {
    let now = Instant::now();
    let mut members = view("me");
    for version in [3, 6, 9] {
        let change = members
            .merge(member("me", "a", Alive, version, 900), now)
            .unwrap();
        assert_eq!(change.kind, ChangeKind::Refuted);
    }
}

#[test]
fn the_view_version_follows_the_live_set_alone() {
    let now = Instant::now();
    let mut members = view("me");
    members.merge(member("x", "a", Alive, 1, 5), now);
    let (view, a, b) = (
        members.view_version(),
        members.zone_version("a"),
        members.zone_version("b"),
    );
    members.merge(member("x", "a", Suspect, 1, 5), now);
    members.merge(member("x", "a", Alive, 2, 5), now);
    assert_eq!(members.view_version(), view);
    members.merge(member("x", "a", Leaving, 3, 5), now);
    assert!(members.view_version() > view);
    assert!(members.zone_version("a") > a);
    assert_eq!(members.zone_version("b"), b);
}

/// Checks a property with a fixed seed, so that every run uses the same inputs.
fn check<P: Testable>(property: P) {
    let rng = Gen::from_size_and_seed(100, SEED);
    QuickCheck::new().rng(rng).quickcheck(property);
}

#[test]
fn the_order_of_arrival_does_not_matter() {
    fn property(updates: Vec<(u8, u8, u8, u8)>, rotation: usize) -> bool {
        let states = [Alive, Suspect, Leaving, Dead];
        let mut records: Vec<_> = updates
            .iter()
            .map(|&(vm, state, version, incarnation)| {
                let vm = format!("vm-{}", vm % 4);
                let state = states[usize::from(state) % 4];
                member(
                    &vm,
                    "a",
                    state,
                    u32::from(version % 8) + 1,
                    u32::from(incarnation % 3),
                )
            })
            .collect();
        let now = Instant::now();
        let mut one = view("me");
        let mut other = view("me");
        for record in &records {
            one.merge(record.clone(), now);
        }
        if !records.is_empty() {
            let rotation = rotation % records.len();
            records.rotate_left(rotation);
        }
        for record in records.iter().rev().chain(&records) {
            other.merge(record.clone(), now);
        }
        one.sums() == other.sums() && live(&one) == live(&other)
    }
    check(property as fn(Vec<(u8, u8, u8, u8)>, usize) -> bool);
}
