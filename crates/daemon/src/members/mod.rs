//! Liveness probes between daemons and the view of the fleet.

mod apply;
pub mod control;
pub mod counters;
pub mod deny;
pub mod event;
pub(crate) mod fence;
pub mod prober;
pub mod record;
pub mod settings;
mod tasks;
mod vouched;

pub use self::{
    control::{
        Accepted,
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
