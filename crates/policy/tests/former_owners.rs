//! Slots that former owners of an upstream still use.

use foxtailhinge_policy::former_owners::{
    FormerOwner,
    FormerOwnerSlots,
    GONE_LEASE, //
};
use std::time::Instant;

fn owner(vm: &str, incarnation: u32) -> FormerOwner {
    FormerOwner {
        vm: vm.into(),
        incarnation,
    }
}

#[test]
fn a_report_counts_once() {
    let now = Instant::now();
    let (one, other) = (owner("vm-1", 1), owner("vm-2", 1));
    let mut elsewhere = FormerOwnerSlots::default();
    elsewhere.add(one.clone(), 3, now);
    elsewhere.add(other.clone(), 1, now);
    assert!(elsewhere.report(&one, 1, 2, now));
    assert!(!elsewhere.report(&one, 1, 2, now), "a copy");
    assert_eq!(elsewhere.slots(), 2);
    assert!(elsewhere.report(&other, 1, 1, now));
    assert!(elsewhere.report(&one, 2, 1, now));
    assert_eq!(elsewhere.slots(), 0);
}

#[test]
fn another_incarnation_is_another_owner() {
    let now = Instant::now();
    let mut elsewhere = FormerOwnerSlots::default();
    elsewhere.add(owner("vm-1", 1), 2, now);
    assert!(!elsewhere.report(&owner("vm-1", 2), 1, 2, now));
    assert_eq!(elsewhere.slots(), 2);
}

#[test]
fn slots_of_an_owner_that_is_gone_become_free() {
    let now = Instant::now();
    let (gone, there) = (owner("vm-1", 1), owner("vm-2", 1));
    let mut elsewhere = FormerOwnerSlots::default();
    elsewhere.add(gone.clone(), 2, now);
    elsewhere.add(there.clone(), 1, now);
    let is_live = |one: &FormerOwner| *one == there;
    elsewhere.expire(now + GONE_LEASE / 2, is_live);
    assert_eq!(elsewhere.slots(), 3);
    elsewhere.expire(now + GONE_LEASE, is_live);
    assert_eq!(elsewhere.slots(), 1);
}

#[test]
fn a_restart_of_the_upstream_frees_all() {
    let now = Instant::now();
    let one = owner("vm-1", 1);
    let mut elsewhere = FormerOwnerSlots::default();
    elsewhere.add(one.clone(), 2, now);
    elsewhere.clear();
    assert_eq!(elsewhere.slots(), 0);
    assert!(elsewhere.report(&one, 1, 2, now));
    assert_eq!(elsewhere.slots(), 0);
}
