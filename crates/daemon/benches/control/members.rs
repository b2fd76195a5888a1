//! Memory and time of the view of members.

use crate::meter::{
    live_bytes,
    print,
    time,
    us, //
};
use foxtailhinge_policy::{
    members::{
        Member,
        MemberState,
        Members,
        MembersSpec, //
    },
    owner_cache::OwnerCache,
};
use rand::{
    rngs::SmallRng,
    SeedableRng, //
};
use std::{
    hint::black_box,
    rc::Rc,
    time::Instant, //
};

/// Number of members of one zone at the fleet size planned for two years ahead.
const ZONE: usize = 343;

/// Returns the record of the member with this number.
pub(crate) fn member(i: usize, version: u32) -> Member {
    Member {
        vm: format!("kalahari-vm-{i:04}").into(),
        zone: format!("windhoek-{}", i / ZONE + 1).into(),
        relay: ([10, 0, (i / 200) as u8, (i % 200) as u8], 7000).into(),
        control: ([10, 0, (i / 200) as u8, (i % 200) as u8], 7001).into(),
        incarnation: 0x9e37_79b9_u32.wrapping_mul(i as u32 + 1),
        state: MemberState::Alive,
        version,
    }
}

fn view(n: usize) -> Members {
    let now = Instant::now();
    let mut members = Members::new(member(0, 1), MembersSpec::default());
    for i in 1..n {
        members.merge_without_gossip(member(i, 1), now);
    }
    members
}

pub(crate) fn run() {
    for n in [100, ZONE, 2_400] {
        let before = live_bytes();
        let mut members = view(n);
        let bytes = (live_bytes() - before) as usize / n;
        print("members: memory of one member", n, format!("{bytes} B"));
        time_changes(n, &mut members);
        time_owners(n, &members);
    }
}

fn time_changes(n: usize, members: &mut Members) {
    let now = Instant::now();
    let joined = time(1, || {
        black_box(view(n));
    });
    print("members: learn a whole view", n, us(joined));
    let mut version = 1;
    let merged = time(1_000, || {
        version += 1;
        members.merge(member(1, version), now);
    });
    print("members: merge a newer record", n, us(merged));
    let died = time(100, || {
        version += 2;
        let dead = Member {
            state: MemberState::Dead,
            ..member(1, version)
        };
        members.merge(dead, now);
        members.merge(member(1, version + 1), now);
    });
    print("members: a member dies and comes back", n, us(died));
    let mut rng = SmallRng::seed_from_u64(1);
    let drawn = time(1_000, || {
        black_box(members.probe_targets(&mut rng));
    });
    print(
        "members: draw the targets of a round of probes",
        n,
        us(drawn),
    );
    let ticked = time(1_000, || {
        black_box(members.tick(now));
    });
    print("members: tick of a round of probes", n, us(ticked));
}

fn time_owners(n: usize, members: &Members) {
    let zone = members.me().zone.clone();
    let upstream: Rc<str> = "syncdesk-7".into();
    let owner = time(10_000, || {
        black_box(members.owner(black_box(&upstream), &zone));
    });
    print("members: owner of an upstream, computed", n, us(owner));
    let mut cache = OwnerCache::default();
    let cached = time(10_000, || {
        black_box(cache.owner(members, black_box(&upstream), &zone));
    });
    print("members: owner of an upstream, cached", n, us(cached));
}
