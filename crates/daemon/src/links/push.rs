//! Announcement of changed documents to a few random peers.
//!
//! Each daemon announces a change once, when it first receives it. A peer requests only the documents
//! that it lacks, so that a document is sent to each daemon about once.

use super::compare;
use crate::members::{
    counters::count,
    Control, //
};
use foxtailhinge_policy::{
    members::{
        Member,
        MemberState, //
    },
    rendezvous::NameKey,
};
use rand::seq::IteratorRandom;
use std::{
    rc::Rc,
    time::Duration, //
};

/// Time for which changes are collected into one announcement.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Announces changes when they occur; never returns.
pub async fn run(control: Rc<Control>) {
    loop {
        control.changed_wake.wait().await;
        monoio::time::sleep(BATCH_DELAY).await;
        let mut services = control.take_changed();
        services.sort_unstable();
        services.dedup();
        let services = Rc::new(services);
        for peer in pick_peers(&control) {
            let control = control.clone();
            let services = services.clone();
            monoio::spawn(async move { announce(control, peer, &services).await });
        }
    }
}

async fn announce(control: Rc<Control>, peer: Member, services: &[Rc<str>]) {
    count(&control.counters().announcements, 1);
    if let Err(err) = compare::announce(&control, &peer, services).await {
        let vm = &peer.vm;
        log::debug!("event=announce_failed peer={vm} cause=\"{err}\"");
    }
}

/// Draws peers of the own zone and of others, and adds this daemon's successor in the fleet.
///
/// Each daemon is the successor of one other, so that the random choice cannot miss a daemon.
fn pick_peers(control: &Control) -> Vec<Member> {
    let limits = control.settings().limits;
    let members = control.members();
    let me = members.me();
    let alive = || {
        let others = members.iter().skip(1);
        others.filter(|m| m.state == MemberState::Alive && !control.is_denied(&m.vm))
    };
    let mut rng = control.rng();
    let near = alive().filter(|m| m.zone == me.zone);
    let mut peers = near.choose_multiple(&mut *rng, limits.announce_in_zone);
    let far = alive().filter(|m| m.zone != me.zone);
    let rest = limits.announce_in_zone + limits.announce_in_other_zones - peers.len();
    peers.extend(far.choose_multiple(&mut *rng, rest));
    if let Some(successor) = successor(me, alive()) {
        if peers.iter().all(|m| m.vm != successor.vm) {
            peers.push(successor);
        }
    }
    peers.into_iter().cloned().collect()
}

/// Returns the member that follows `me` on the ring of the names' hashes.
fn successor<'a>(me: &Member, others: impl Iterator<Item = &'a Member>) -> Option<&'a Member> {
    let position = |m: &Member| NameKey::new(&m.vm).get();
    let mine = position(me);
    others.min_by_key(|m| position(m).wrapping_sub(mine))
}
