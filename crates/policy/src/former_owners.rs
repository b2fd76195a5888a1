//! Slots of an upstream that requests of its former owners still hold.
//!
//! A former owner reports what ended; a report may arrive twice, or never when its sender is gone.

use smallvec::SmallVec;
use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Time after which requests of a former owner that is gone no longer run at the upstream.
pub const GONE_LEASE: Duration = Duration::from_secs(5);

/// One incarnation of a daemon that owned the upstream before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FormerOwner {
    /// Its VM id.
    pub vm: Rc<str>,
    /// Its incarnation.
    pub incarnation: u32,
}

#[derive(Clone, Debug)]
struct Holder {
    owner: FormerOwner,
    slots: u32,
    /// Number of its last report.
    seq: u32,
    heard: Instant,
}

/// Slots in use by former owners, each counted by itself.
#[derive(Clone, Debug, Default)]
pub struct FormerOwnerSlots {
    holders: SmallVec<[Holder; 1]>,
}

impl FormerOwnerSlots {
    /// Slots in use by all former owners.
    pub fn slots(&self) -> u32 {
        self.holders.iter().map(|holder| holder.slots).sum()
    }

    /// Notes that `owner` handed the upstream over with `slots` in use; a later hand-over by the same
    /// incarnation replaces an earlier one.
    pub fn add(&mut self, owner: FormerOwner, slots: u32, now: Instant) {
        self.holders.retain(|holder| holder.owner != owner);
        self.holders.push(Holder {
            owner,
            slots,
            seq: 0,
            heard: now,
        });
    }

    /// Notes that `slots` of `owner` became free, by its report `seq`, which counts from 1; false when the
    /// report was known already or the owner is not.
    pub fn report(&mut self, owner: &FormerOwner, seq: u32, slots: u32, now: Instant) -> bool {
        let mut holders = self.holders.iter_mut();
        let Some(holder) = holders.find(|holder| holder.owner == *owner) else {
            return false;
        };
        holder.heard = now;
        if seq <= holder.seq {
            return false;
        }
        holder.seq = seq;
        holder.slots = holder.slots.saturating_sub(slots);
        true
    }

    /// Frees the slots of former owners that are gone, once their requests no longer run.
    pub fn expire(&mut self, now: Instant, is_live: impl Fn(&FormerOwner) -> bool) {
        self.holders.retain(|holder| {
            let quiet = now.saturating_duration_since(holder.heard);
            quiet < GONE_LEASE || is_live(&holder.owner)
        });
    }

    /// Frees all slots, as when the upstream restarted.
    pub fn clear(&mut self) {
        for holder in &mut self.holders {
            holder.slots = 0;
        }
    }
}
