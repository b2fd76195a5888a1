//! Election of the daemons of a zone that read the store for the others.
//!
//! Every daemon that knows the same live members computes the same readers. While their views differ there may be more
//! readers than needed, which only costs additional calls. A follower reads the store itself once its view reaches the
//! maximum age.

use crate::{
    members::{
        Member,
        Members, //
    },
    rendezvous,
};
use smallvec::SmallVec;
use std::time::{
    Duration,
    Instant, //
};

/// Key of the rendezvous hash that ranks the daemons of a zone.
const READER: &str = "store-reader";

/// Number of readers in a zone: one may fail while the other continues.
pub const READERS: usize = 2;

/// Largest number of daemons in a zone that each read the store alone: of three, two would read anyway.
pub const ALONE_MAX: usize = 3;

/// Approximate number of followers per daemon: at 40 changes per second, as in a release, each costs 1 KB per second.
pub const FANOUT: usize = 12;

/// Role of a daemon in reading the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Reads the store for itself only.
    Alone,
    /// Reads the store for itself and others of its zone.
    Reader,
    /// Follows these readers, in order of preference, and passes changes on.
    Relay(Vec<Member>),
    /// Follows these daemons, in order of preference.
    Follower(Vec<Member>),
}

impl Role {
    /// Daemons to follow, in order of preference.
    pub fn sources(&self) -> &[Member] {
        match self {
            Self::Alone | Self::Reader => &[],
            Self::Relay(sources) | Self::Follower(sources) => sources,
        }
    }
}

/// How long a daemon continues reading for others after the last request. A daemon that is asked and is not a relay
/// reads the store whatever its own member list implies, so that two such daemons never wait for each other. Two relays
/// that wait for each other read the store once their views reach the maximum age.
pub const READER_LINGER: Duration = Duration::from_secs(4);

/// Role of this daemon among the live members of its zone; `asked` is the time of the last request by another daemon.
pub fn role(members: &Members, asked: Option<Instant>, now: Instant) -> Role {
    let me = &*members.me().vm;
    let live = members.live_in_zone(&members.me().zone);
    let names: SmallVec<[&str; 64]> = live.map(|member| &*member.vm).collect();
    let is_asked = asked.is_some_and(|at| now < at + READER_LINGER);
    if names.len() <= ALONE_MAX {
        return match is_asked {
            true => Role::Reader,
            false => Role::Alone,
        };
    }
    let relays = relays(names.len());
    let ranked = rendezvous::ranked(READER, names.iter().copied(), READERS + relays);
    let (readers, relays) = ranked.split_at(READERS.min(ranked.len()));
    if readers.contains(&me) {
        return Role::Reader;
    }
    if relays.contains(&me) {
        return Role::Relay(sources(members, readers));
    }
    if is_asked {
        return Role::Reader;
    }
    Role::Follower(match relays {
        [] => sources(members, readers),
        relays => sources(members, relays),
    })
}

/// Daemons with which one that follows no other exchanges loads: all others of a small zone, and the other readers of
/// a larger one.
pub fn peers(members: &Members) -> Vec<Member> {
    let me = &members.me().vm;
    let live = members.live_in_zone(&members.me().zone);
    let names: Vec<&str> = live.map(|member| &*member.vm).collect();
    let readers = match names.len() <= ALONE_MAX {
        true => names,
        false => rendezvous::ranked(READER, names.iter().copied(), READERS).to_vec(),
    };
    let others = readers.into_iter().filter(|vm| *vm != &**me);
    others.filter_map(|vm| members.get(vm).cloned()).collect()
}

/// Picks two of these daemons in an order specific to this daemon, which distributes the followers evenly.
fn sources(members: &Members, from: &[&str]) -> Vec<Member> {
    let me = &members.me().vm;
    let ranked = rendezvous::ranked(me, from.iter().copied(), READERS);
    let known = ranked.iter().filter_map(|vm| members.get(vm).cloned());
    known.collect()
}

/// Number of relays in a zone of this many daemons: none while the readers can serve all followers.
fn relays(daemons: usize) -> usize {
    let followers = daemons - READERS;
    match followers <= READERS * FANOUT {
        true => 0,
        false => followers.div_ceil(FANOUT + 1),
    }
}
