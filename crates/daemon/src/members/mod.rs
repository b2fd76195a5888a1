//! Liveness probes between daemons and the view of the fleet.

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
