//! Slots of an upstream that are still in use by its former owners.

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
    let mut former_slots = FormerOwnerSlots::default();
    former_slots.add(one.clone(), 3, now);
    former_slots.add(other.clone(), 1, now);
    assert!(former_slots.report(&one, 1, 2, now));
    assert!(!former_slots.report(&one, 1, 2, now), "a duplicate");
    assert_eq!(former_slots.slots(), 2);
    assert!(former_slots.report(&other, 1, 1, now));
    assert!(former_slots.report(&one, 2, 1, now));
    assert_eq!(former_slots.slots(), 0);
}

#[test]
fn another_incarnation_is_another_owner() {
    let now = Instant::now();
    let mut former_slots = FormerOwnerSlots::default();
    former_slots.add(owner("vm-1", 1), 2, now);
    assert!(!former_slots.report(&owner("vm-1", 2), 1, 2, now));
    assert_eq!(former_slots.slots(), 2);
}

#[test]
fn slots_of_an_owner_that_is_gone_become_free() {
    let now = Instant::now();
    let (gone, live) = (owner("vm-1", 1), owner("vm-2", 1));
    let mut former_slots = FormerOwnerSlots::default();
    former_slots.add(gone.clone(), 2, now);
    former_slots.add(live.clone(), 1, now);
    let is_live = |one: &FormerOwner| *one == live;
    former_slots.expire(now + GONE_LEASE / 2, is_live);
    assert_eq!(former_slots.slots(), 3);
    former_slots.expire(now + GONE_LEASE, is_live);
    assert_eq!(former_slots.slots(), 1);
}

#[test]
fn a_restart_of_the_upstream_frees_all() {
    let now = Instant::now();
    let one = owner("vm-1", 1);
    let mut former_slots = FormerOwnerSlots::default();
    former_slots.add(one.clone(), 2, now);
    former_slots.clear();
    assert_eq!(former_slots.slots(), 0);
    assert!(former_slots.report(&one, 1, 2, now));
    assert_eq!(former_slots.slots(), 0);
}
