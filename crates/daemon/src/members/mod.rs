//! Control plane of a daemon: its view of the fleet, failure detection by probes, and documents in force.

mod apply;
pub mod control;
pub mod counters;
pub mod deny;
pub mod event;
pub(crate) mod fence;
mod partial_syncs;
pub mod prober;
pub mod record;
pub mod settings;
mod tasks;

pub use self::{
    control::{
        AcceptedDocument,
        Control, //
    },
    event::{
        ControlEvent,
        Source, //
    },
    prober::{
        Prober,
        RelaySender, //
    },
    settings::{
        ControlLimits,
        ControlSettings, //
    },
};
