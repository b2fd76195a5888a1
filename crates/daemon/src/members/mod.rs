//! Liveness probes between daemons and the view of the fleet.

pub mod control;
pub mod deny;
pub mod event;
pub mod prober;
pub mod record;
pub mod settings;
pub mod wake;

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
