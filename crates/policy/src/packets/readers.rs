//! Which daemons of a zone read the store for the others.
//!
//! Every daemon that knows the same live members computes the same readers. Where views differ for a moment there are
//! more readers than needed, which costs calls and nothing else: a follower reads by itself as soon as its view is as
//! old as it may become.

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

/// Name for which the daemons of a zone are ranked.
const READER: &str = "store-reader";

/// Readers of a zone: one may fail while the other goes on.
pub const READERS: usize = 2;

/// Most daemons of a zone that each read by themselves, since two of three would read anyhow.
pub const ALONE_MAX: usize = 3;

/// Daemons that one daemon serves, about: at 40 changes a second, as in a release, each of them takes a KB a second.
pub const FANOUT: usize = 12;

/// Part that a daemon has in reading the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// It reads for itself alone.
    Alone,
    /// It reads for the others of its zone too.
    Reader,
    /// It learns from these readers, the first one first, and passes on what it learns.
    Relay(Vec<Member>),
    /// It learns from these daemons, the first one first.
    Follower(Vec<Member>),
}

impl Role {
    /// The daemons that it learns from, the first one first.
    pub fn sources(&self) -> &[Member] {
        match self {
            Self::Alone | Self::Reader => &[],
            Self::Relay(sources) | Self::Follower(sources) => sources,
        }
    }
}

/// How long a daemon goes on reading for others after it was asked last. Whoever is asked and is no relay reads, whatever
/// its own view says, so that no two daemons wait for each other; of two relays that do, each reads once its view is as
/// old as it may become.
pub const READER_LINGER: Duration = Duration::from_secs(4);

/// Part of this daemon among the live members of its zone; `asked` is when another one asked it for news.
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

/// Two of these daemons, in an order that each daemon has for itself, so that all have their part of the followers.
fn sources(members: &Members, from: &[&str]) -> Vec<Member> {
    let me = &members.me().vm;
    let ranked = rendezvous::ranked(me, from.iter().copied(), READERS);
    let known = ranked.iter().filter_map(|vm| members.get(vm).cloned());
    known.collect()
}

/// Relays of a zone with so many daemons: none while the readers can serve all.
fn relays(daemons: usize) -> usize {
    let followers = daemons - READERS;
    match followers <= READERS * FANOUT {
        true => 0,
        false => followers.div_ceil(FANOUT + 1),
    }
}
