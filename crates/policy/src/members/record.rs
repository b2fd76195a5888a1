//! Records of members and changes to them.

use std::{
    net::SocketAddr,
    rc::Rc, //
};

/// Liveness of a member, in order of precedence at the same version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Missed probes, but is not removed yet.
    Suspect,
    /// Announced that it is leaving; accepts no new work.
    Leaving,
    /// Removed, or known only from the platform's list.
    Dead,
}

/// Record of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// VM id.
    pub vm: Rc<str>,
    /// Availability zone.
    pub zone: Rc<str>,
    /// UDP address of the relay.
    pub relay: SocketAddr,
    /// TCP address of the control links.
    pub control: SocketAddr,
    /// Random number that identifies the process; 0 for a VM known only from the platform's list.
    pub incarnation: u32,
    /// Liveness, as last reported or detected.
    pub state: MemberState,
    /// Version of the record, raised only by the member itself; 0 for a VM known only from the list.
    pub version: u32,
}

impl Member {
    /// Returns the sort key of records of one VM; the record with the higher key wins.
    pub(crate) fn precedence(&self) -> (u32, MemberState, u32) {
        (self.version, self.state, self.incarnation)
    }

    /// Returns whether the member can own upstreams.
    pub fn is_live(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }
}

/// A VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    /// VM id.
    pub vm: Rc<str>,
    /// Availability zone.
    pub zone: Rc<str>,
    /// UDP address of the relay.
    pub relay: SocketAddr,
    /// TCP address of the control links.
    pub control: SocketAddr,
    /// Whether the platform marks the VM as leaving.
    pub leaving: bool,
}

/// Kind of a change to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// The member is alive for the first time, or again after it was dead.
    Joined,
    /// The member is alive with another incarnation.
    Restarted,
    /// The member missed probes.
    Suspected,
    /// The member is alive again after suspicion or leaving.
    Recovered,
    /// The member announced that it is leaving.
    Leaving,
    /// The member is dead.
    Died,
    /// An address or the zone of the member changed.
    Moved,
    /// A peer sent a record with precedence over this daemon's own, such as a suspicion; this
    /// daemon raised its own version above it.
    Refuted,
    /// Another live process with the same VM id has precedence over this daemon.
    Superseded,
}

/// A change to a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Kind of the change.
    pub kind: ChangeKind,
    /// The record after the change; with [`ChangeKind::Refuted`] and
    /// [`ChangeKind::Superseded`] the record that was received.
    pub member: Member,
}

/// Returns the kind of change that a newer record makes; `None` when it needs no report.
pub(crate) fn change_kind(old: &Member, new: &Member) -> Option<ChangeKind> {
    let kind = match (old.state, new.state) {
        (MemberState::Dead, MemberState::Dead) => return None,
        (_, MemberState::Dead) => ChangeKind::Died,
        (MemberState::Leaving, MemberState::Leaving) => return None,
        (_, MemberState::Leaving) => ChangeKind::Leaving,
        (MemberState::Dead, _) => ChangeKind::Joined,
        _ if old.incarnation != new.incarnation => ChangeKind::Restarted,
        (MemberState::Alive, MemberState::Suspect) => ChangeKind::Suspected,
        (MemberState::Suspect | MemberState::Leaving, MemberState::Alive) => ChangeKind::Recovered,
        _ if old.relay != new.relay || old.control != new.control || old.zone != new.zone => {
            ChangeKind::Moved
        }
        _ => return None,
    };
    Some(kind)
}
