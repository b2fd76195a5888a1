//! Decisions for packets whose ends repeat a label: which upstream takes a new flow, and where each later packet goes.
//!
//! The label in a packet names the flow's upstream, so any daemon can forward any packet from the directory alone.

pub mod answer;
pub mod balancer;
pub mod change_set;
pub mod choice;
pub mod correlated_failure;
pub mod dead_upstream;
pub mod directory;
pub mod entry;
pub mod flows;
pub mod freshness;
pub mod openings;
pub mod outlier_ejection;
pub mod packet;
pub mod poll_schedule;
pub mod readers;
pub mod shared_evidence;
pub mod thundering_herd;

pub use self::{
    answer::Answer,
    balancer::{
        Balancer,
        DropReason,
        HealthChange,
        PeerReport,
        ResetReason,
        Verdict, //
    },
    change_set::{
        ChangeSet,
        SyncedFrom, //
    },
    choice::{
        Choice,
        Standing, //
    },
    directory::Directory,
    entry::{
        Change,
        Configuration,
        Item,
        Route,
        Target,
        Upstream,
        UpstreamId,
        UpstreamState, //
    },
    flows::FlowEvent,
    freshness::{
        Freshness,
        FreshnessReport, //
    },
    packet::{
        Kind,
        Packet, //
    },
    poll_schedule::{
        Missing,
        PollSchedule, //
    },
    readers::Role,
    shared_evidence::{
        FailedOpening,
        SilenceReports, //
    },
};
