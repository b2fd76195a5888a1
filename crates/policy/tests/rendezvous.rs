//! Rendezvous hashing: stable scores, even spread, and few moves when a member is lost.

use foxtailhinge_policy::{
    members::{
        Member,
        MemberState,
        Members,
        MembersSpec, //
    },
    owner_cache::OwnerCache,
    rendezvous::{
        owner,
        ranked,
        score, //
    },
};
use std::{
    collections::HashMap,
    rc::Rc,
    time::Instant, //
};

fn names(prefix: &str, n: usize) -> Vec<String> {
    (0..n).map(|i| format!("{prefix}-{i}")).collect()
}

#[test]
fn scores_are_the_same_in_every_build() {
    let pairs = [("syncdesk-1", "vm-1"), ("syncdesk-1", "vm-2"), ("", "")];
    let scores =
        pairs.map(|(upstream, vm)| format!("{upstream} {vm} {:016x}", score(upstream, vm)));
    insta::assert_json_snapshot!(scores);
}

#[test]
fn upstreams_spread_evenly() {
    let vms = names("vm", 343);
    let upstreams = names("upstream", 34_300);
    let mut owned: HashMap<&str, u32> = HashMap::new();
    for upstream in &upstreams {
        *owned
            .entry(owner(upstream, vms.iter().map(String::as_str)).unwrap())
            .or_default() += 1;
    }
    // The mean is 100; random assignment has a standard deviation of 10.
    assert_eq!(owned.len(), 343);
    assert!(
        owned.values().all(|&n| (50..=150).contains(&n)),
        "{owned:?}"
    );
}

#[test]
fn a_lost_vm_moves_only_its_own_upstreams() {
    let vms = names("vm", 40);
    let without = || vms.iter().map(String::as_str).filter(|vm| *vm != "vm-7");
    for upstream in names("upstream", 500) {
        let before = owner(&upstream, vms.iter().map(String::as_str)).unwrap();
        let after = owner(&upstream, without()).unwrap();
        assert!(before == after || before == "vm-7");
    }
}

#[test]
fn ranked_starts_with_the_owner() {
    let vms = names("vm", 8);
    let all = || vms.iter().map(String::as_str);
    let three = ranked("platform-reader", all(), 3);
    assert_eq!(three.len(), 3);
    assert_eq!(Some(three[0]), owner("platform-reader", all()));
    assert_eq!(ranked("x", all().take(2), 3).len(), 2);
    assert!(ranked("x", std::iter::empty(), 3).is_empty());
}

#[test]
fn the_cache_follows_the_members() {
    let record = |vm: &str, state, version| Member {
        vm: vm.into(),
        zone: "a".into(),
        relay: "127.0.0.1:7000".parse().unwrap(),
        control: "127.0.0.1:7001".parse().unwrap(),
        incarnation: 1,
        state,
        version,
    };
    let now = Instant::now();
    let mut members = Members::new(
        record("vm-0", MemberState::Alive, 1),
        MembersSpec::default(),
    );
    for vm in names("vm", 8).iter().skip(1) {
        members.merge(record(vm, MemberState::Alive, 1), now);
    }
    let mut cache = OwnerCache::default();
    let upstream: Rc<str> = "syncdesk-1".into();
    let first = cache.owner(&members, &upstream, "a").unwrap();
    assert_eq!(first, members.owner(&upstream, "a").unwrap().vm);
    let next = members
        .owner_without(&upstream, "a", &first)
        .unwrap()
        .vm
        .clone();
    members.merge(record(&first, MemberState::Dead, 1), now);
    assert_eq!(cache.owner(&members, &upstream, "a").unwrap(), next);
    assert_eq!(cache.owner(&members, &upstream, "elsewhere"), None);
}
