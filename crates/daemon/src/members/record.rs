//! Conversion of member records between the policy's types and the wire format.

use foxtailhinge_policy::members::{
    Member,
    MemberState, //
};
use foxtailhinge_wire::message::{
    MemberState as WireState,
    MemberUpdate, //
};

/// Converts a record to its wire format.
pub fn to_wire(member: &Member) -> MemberUpdate {
    let state = match member.state {
        MemberState::Alive => WireState::Alive,
        MemberState::Suspect => WireState::Suspect,
        MemberState::Leaving => WireState::Leaving,
        MemberState::Dead => WireState::Dead,
    };
    MemberUpdate {
        vm: member.vm.to_string(),
        zone: member.zone.to_string(),
        relay: member.relay,
        control: member.control,
        incarnation: member.incarnation,
        state,
        version: member.version,
    }
}

/// Converts a received record from its wire format.
pub fn from_wire(update: MemberUpdate) -> Member {
    let state = match update.state {
        WireState::Alive => MemberState::Alive,
        WireState::Suspect => MemberState::Suspect,
        WireState::Leaving => MemberState::Leaving,
        WireState::Dead => MemberState::Dead,
    };
    Member {
        vm: update.vm.into(),
        zone: update.zone.into(),
        relay: update.relay,
        control: update.control,
        incarnation: update.incarnation,
        state,
        version: update.version,
    }
}
