//! Choice of the daemons that are asked for changes which a restored store has lost.

use foxtailhinge_policy::{
    members::{
        Member,
        MemberState,
        Members,
        MembersSpec, //
    },
    packets::{
        Answered,
        LostChanges, //
    },
};
use rand::{
    rngs::SmallRng,
    SeedableRng, //
};
use std::time::Instant;

const HOME: &str = "windhoek-1";
const AWAY: &str = "windhoek-2";

fn member(number: usize, zone: &str) -> Member {
    let addr = format!("10.1.0.{number}:8166").parse().unwrap();
    Member {
        vm: format!("{zone}/{number}").into(),
        zone: zone.into(),
        relay: addr,
        control: addr,
        incarnation: 7,
        state: MemberState::Alive,
        version: 1,
    }
}

/// A daemon that knows `near` others of its zone and `far` of another one.
fn members(near: usize, far: usize) -> Members {
    let now = Instant::now();
    let mut members = Members::new(member(0, HOME), MembersSpec::default());
    let near = (1..=near).map(|number| member(number, HOME));
    let far = (1..=far).map(|number| member(100 + number, AWAY));
    for other in near.chain(far) {
        members.merge_without_gossip(other, now);
    }
    members
}

/// Asks until no daemon is left to ask; returns the zones of those that were asked.
fn ask_all(
    lost: &mut LostChanges,
    era: u64,
    members: &Members,
    answer: impl Fn(&Member) -> Answered,
) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut zones = Vec::new();
    while let Some(asked) = lost.next(era, members, &mut rng).cloned() {
        lost.record(&asked.vm, &*asked.zone == HOME, answer(&asked));
        zones.push(asked.zone.to_string());
    }
    zones
}

fn witness(_: &Member) -> Answered {
    Answered::SameEra {
        lived_through: true,
    }
}

fn newcomer(_: &Member) -> Answered {
    Answered::SameEra {
        lived_through: false,
    }
}

#[test]
fn nobody_is_asked_while_the_store_names_no_era() {
    let asked = ask_all(&mut LostChanges::default(), 0, &members(5, 5), witness);
    assert!(asked.is_empty());
}

#[test]
fn three_daemons_of_the_own_zone_are_enough_if_one_lived_through_the_restoration() {
    let asked = ask_all(
        &mut LostChanges::default(),
        2,
        &members(5, 5),
        |member| match member.vm.ends_with('1') {
            true => witness(member),
            false => newcomer(member),
        },
    );
    let is_near = |zone: &String| zone == HOME;
    assert_eq!(asked.iter().filter(|zone| is_near(zone)).count(), 3);
    let asked = ask_all(&mut LostChanges::default(), 2, &members(2, 5), witness);
    assert_eq!(asked, [HOME; 2]);
}

/// The only daemon of a zone asked nobody.
#[test]
fn a_daemon_that_is_alone_in_its_zone_asks_other_zones() {
    let asked = ask_all(&mut LostChanges::default(), 2, &members(0, 5), witness);
    assert_eq!(asked, [AWAY; 3]);
}

/// The daemons of a zone that all started after the restoration asked only each other.
#[test]
fn daemons_of_a_zone_that_started_together_ask_other_zones() {
    let asked = ask_all(&mut LostChanges::default(), 2, &members(5, 5), newcomer);
    assert_eq!(asked, [HOME, HOME, HOME, AWAY, AWAY, AWAY]);
}

#[test]
fn daemons_that_give_no_answer_are_replaced_by_others() {
    let asked = ask_all(
        &mut LostChanges::default(),
        2,
        &members(5, 2),
        |member| match member.vm.ends_with(['1', '2', '3']) {
            true => Answered::Nothing,
            false => witness(member),
        },
    );
    assert_eq!(asked.iter().filter(|zone| *zone == HOME).count(), 5);
}

/// A daemon that is cut off from the store stays in its era for long.
#[test]
fn a_daemon_of_an_earlier_era_is_asked_again_but_not_for_ever() {
    let mut lost = LostChanges::default();
    let asked = ask_all(&mut lost, 2, &members(1, 0), |_| Answered::EarlierEra);
    assert_eq!(asked.len(), 24);
    let asked = ask_all(&mut lost, 3, &members(1, 0), witness);
    assert_eq!(asked, [HOME], "a further restoration starts again");
}

/// The only other daemon of a zone was cut off from the store, and was asked again instead of the daemons of other zones.
#[test]
fn daemons_of_an_earlier_era_are_asked_again_last() {
    let asked = ask_all(
        &mut LostChanges::default(),
        2,
        &members(1, 5),
        |member| match &*member.zone == HOME {
            true => Answered::EarlierEra,
            false => witness(member),
        },
    );
    assert_eq!(asked[..4], [HOME, AWAY, AWAY, AWAY]);
    assert!(asked[4..].iter().all(|zone| zone == HOME));
}
