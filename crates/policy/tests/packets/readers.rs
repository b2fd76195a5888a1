//! Election of the daemons that read the store for the others of their zone.

use foxtailhinge_policy::{
    members::{
        Member,
        MemberState,
        Members,
        MembersSpec, //
    },
    packets::{
        readers::{
            peers,
            role,
            ALONE_MAX,
            FANOUT,
            READERS,
            READER_LINGER, //
        },
        Role, //
    },
};
use std::time::{
    Duration,
    Instant, //
};

fn member(number: usize, zone: &str) -> Member {
    let addr = format!("10.1.{}.{}:8166", number / 200, number % 200)
        .parse()
        .unwrap();
    Member {
        vm: format!("vm-{number}").into(),
        zone: zone.into(),
        relay: addr,
        control: addr,
        incarnation: 7,
        state: MemberState::Alive,
        version: 1,
    }
}

/// Member lists of the daemons with these numbers in one zone, each of which knows all others.
fn views(numbers: std::ops::Range<usize>) -> Vec<Members> {
    let now = Instant::now();
    let view = |me| {
        let mut members = Members::new(member(me, "a"), MembersSpec::default());
        for other in numbers.clone().filter(|other| *other != me) {
            members.merge_without_gossip(member(other, "a"), now);
        }
        members
    };
    numbers.clone().map(view).collect()
}

fn readers(views: &[Members]) -> Vec<String> {
    let now = Instant::now();
    let reads = views
        .iter()
        .filter(|view| role(view, None, now) == Role::Reader);
    reads.map(|view| view.me().vm.to_string()).collect()
}

#[test]
fn all_daemons_of_a_zone_agree_on_its_readers_and_relays() {
    for daemons in [4, 5, 26, 49, 343] {
        let views = views(1..daemons + 1);
        let readers = readers(&views);
        assert_eq!(readers.len(), READERS);
        let roles: Vec<_> = views
            .iter()
            .map(|view| (view.me().vm.to_string(), role(view, None, Instant::now())))
            .collect();
        let relays = roles
            .iter()
            .filter(|(_, role)| matches!(role, Role::Relay(_)));
        let relays: Vec<_> = relays.map(|(vm, _)| vm.clone()).collect();
        assert_eq!(relays.is_empty(), daemons <= READERS * (FANOUT + 1));
        let mut served = std::collections::HashMap::new();
        for (vm, role) in &roles {
            let sources = role.sources();
            let names: Vec<_> = sources.iter().map(|m| m.vm.to_string()).collect();
            assert!(!names.contains(vm), "nobody follows itself");
            let of = match role {
                Role::Follower(_) if !relays.is_empty() => &relays,
                _ => &readers,
            };
            assert!(names.iter().all(|name| of.contains(name)), "{names:?}");
            if let Some(first) = names.first() {
                *served.entry(first.clone()).or_insert(0) += 1;
            }
        }
        let most = served.values().max().unwrap();
        assert!(*most <= 2 * FANOUT, "{most} of {daemons} follow one daemon");
    }
}

#[test]
fn daemons_of_a_small_zone_read_the_store_alone() {
    for view in views(1..ALONE_MAX + 1) {
        assert_eq!(role(&view, None, Instant::now()), Role::Alone);
    }
}

// Guards against daemons whose followers never learn of each other's load, and against loads that cross zones.
#[test]
fn readers_and_the_daemons_of_a_small_zone_are_peers() {
    for daemons in [1, 2, 3, 4, 49] {
        let mut views = views(1..daemons + 1);
        for view in &mut views {
            view.merge_without_gossip(member(400, "b"), Instant::now());
        }
        let readers = match daemons <= ALONE_MAX {
            true => views.iter().map(|view| view.me().vm.to_string()).collect(),
            false => readers(&views),
        };
        for view in &views {
            let mut expected = readers.clone();
            expected.retain(|vm| **vm != *view.me().vm);
            let mut found: Vec<_> = peers(view).iter().map(|m| m.vm.to_string()).collect();
            expected.sort();
            found.sort();
            assert_eq!(found, expected);
        }
    }
}

#[test]
fn daemons_of_other_zones_do_not_count() {
    let mut view = views(1..3).remove(0);
    for other in 10..30 {
        view.merge_without_gossip(member(other, "b"), Instant::now());
    }
    assert_eq!(role(&view, None, Instant::now()), Role::Alone);
}

#[test]
fn another_daemon_reads_when_a_reader_is_gone() {
    let mut views = views(1..11);
    let gone = readers(&views)[0].clone();
    views.retain(|view| *view.me().vm != *gone);
    for view in &mut views {
        let dead = Member {
            state: MemberState::Dead,
            ..view.get(&gone).unwrap().clone()
        };
        view.merge(dead, Instant::now());
    }
    let readers = readers(&views);
    assert_eq!(readers.len(), READERS);
    assert!(!readers.contains(&gone));
}

#[test]
fn a_daemon_that_is_asked_reads_whatever_its_member_list_implies() {
    let now = Instant::now();
    let views = views(1..11);
    for view in &views {
        assert_eq!(role(view, Some(now), now), Role::Reader);
        let later = now + READER_LINGER + Duration::from_millis(1);
        assert_eq!(role(view, Some(now), later), role(view, None, later));
    }
}
