//! Load balancing of packets that carry a flow label: which upstream gets a new flow, and where later packets go.
//!
//! The label identifies the flow's upstream, so any daemon can forward any packet from its directory alone.

pub mod answer;
pub mod balancer;
pub mod call_budget;
pub mod change_set;
pub mod choice;
pub mod configuration_delta;
pub mod congestion;
pub mod correlated_failure;
pub mod dead_upstream;
pub mod deliveries;
pub mod directory;
pub mod entry;
pub mod feed;
pub mod flows;
mod labels;
pub mod load;
pub mod load_shedding;
pub mod load_status;
pub mod lost_changes;
pub mod openings;
pub mod outlier_ejection;
pub mod outstanding;
pub mod overload;
pub mod own_delay;
pub mod packet;
pub mod poll_schedule;
pub mod readers;
pub mod restoration;
pub mod shared_evidence;
pub mod spillover;
pub mod subset;
pub mod thundering_herd;
pub mod version;

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
    call_budget::CallBudget,
    change_set::{
        ChangeSet,
        SyncedFrom, //
    },
    choice::{
        Choice,
        Standing, //
    },
    configuration_delta::{
        ConfigurationDelta,
        ConfigurationId, //
    },
    directory::Directory,
    entry::{
        Change,
        Configuration,
        Item,
        Route,
        Seniority,
        Target,
        Upstream,
        UpstreamId,
        UpstreamState, //
    },
    feed::{
        Freshness,
        FreshnessReport, //
    },
    flows::FlowEvent,
    load::{
        AgedReport,
        Counts,
        LoadReport,
        Pool,
        Reporter,
        ZoneLoad, //
    },
    load_status::{
        AdmissionReason,
        LoadEvent,
        LoadSettings,
        Rejection,
        ServiceLoad, //
    },
    lost_changes::{
        Answered,
        LostChanges, //
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
    restoration::{
        Evacuation,
        Restoration, //
    },
    shared_evidence::{
        FailedOpening,
        SilenceReports, //
    },
    spillover::{
        PoolLoad,
        Spillover, //
    },
    subset::Position,
    version::Version,
};
