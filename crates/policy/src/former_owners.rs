//! Slots of an upstream that are still in use by requests of its former owners.
//!
//! A former owner reports the requests that ended. A report may arrive twice, or never when its
//! sender is gone.

use smallvec::SmallVec;
use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Time since the last report of a former owner after which, if it is gone, its requests no longer
/// run at the upstream.
pub const GONE_LEASE: Duration = Duration::from_secs(5);

/// One incarnation of a daemon that owned the upstream before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FormerOwner {
    /// VM id of the daemon.
    pub vm: Rc<str>,
    /// Random number that identifies the daemon's process.
    pub incarnation: u32,
}

#[derive(Clone, Debug)]
struct Holder {
    owner: FormerOwner,
    slots: u32,
    /// Sequence number of the last report.
    seq: u32,
    last_contact: Instant,
}

/// Slots in use by former owners, counted per owner.
#[derive(Clone, Debug, Default)]
pub struct FormerOwnerSlots {
    holders: SmallVec<[Holder; 1]>,
}

impl FormerOwnerSlots {
    /// Slots in use by all former owners.
    pub fn slots(&self) -> u32 {
        self.holders.iter().map(|holder| holder.slots).sum()
    }

    /// Records that `owner` handed the upstream over with `slots` in use. A later hand-over by the
    /// same incarnation replaces an earlier one.
    pub fn add(&mut self, owner: FormerOwner, slots: u32, now: Instant) {
        self.holders.retain(|holder| holder.owner != owner);
        self.holders.push(Holder {
            owner,
            slots,
            seq: 0,
            last_contact: now,
        });
    }

    /// Applies report number `seq` (from 1) of `owner`: `slots` became free. Returns false when
    /// the report is a duplicate or the owner is unknown.
    pub fn report(&mut self, owner: &FormerOwner, seq: u32, slots: u32, now: Instant) -> bool {
        let mut holders = self.holders.iter_mut();
        let Some(holder) = holders.find(|holder| holder.owner == *owner) else {
            return false;
        };
        holder.last_contact = now;
        if seq <= holder.seq {
            return false;
        }
        holder.seq = seq;
        holder.slots = holder.slots.saturating_sub(slots);
        true
    }

    /// Frees the slots of former owners that are not live and have not reported for
    /// [`GONE_LEASE`].
    pub fn expire(&mut self, now: Instant, is_live: impl Fn(&FormerOwner) -> bool) {
        self.holders.retain(|holder| {
            let elapsed = now.saturating_duration_since(holder.last_contact);
            elapsed < GONE_LEASE || is_live(&holder.owner)
        });
    }

    /// Frees all slots, because the upstream restarted.
    pub fn clear(&mut self) {
        for holder in &mut self.holders {
            holder.slots = 0;
        }
    }
}
