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
    /// Missed probes; not yet removed.
    Suspect,
    /// Said that it is leaving; takes no new work.
    Leaving,
    /// Gone, or named by the platform's list but never heard of.
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
    /// Random number of the process life; 0 for a name never heard of.
    pub incarnation: u32,
    /// Liveness.
    pub state: MemberState,
    /// Version of the record, raised by the member itself alone.
    pub version: u32,
}

impl Member {
    /// Returns what orders two records of one VM; the higher one holds.
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
    /// Whether the platform marks it as leaving.
    pub leaving: bool,
}

/// Kind of a change to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// Heard of alive for the first time, or alive again after it was gone.
    Joined,
    /// Alive in another incarnation.
    Restarted,
    /// Missed probes.
    Suspected,
    /// Answers again.
    Recovered,
    /// Says that it is leaving.
    Leaving,
    /// Gone.
    Died,
    /// Changed an address or its zone.
    Moved,
    /// This daemon was held for suspect or gone and has raised its own version against that.
    Refuted,
    /// Another live process with the same VM id has precedence over this daemon.
    Superseded,
}

/// A change to a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// What changed.
    pub kind: ChangeKind,
    /// The record after the change; with [`ChangeKind::Refuted`] and
    /// [`ChangeKind::Superseded`] the record that was heard.
    pub member: Member,
}

/// Returns what a newer record changes, if it matters to others.
pub(crate) fn kind_of(old: &Member, new: &Member) -> Option<ChangeKind> {
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
