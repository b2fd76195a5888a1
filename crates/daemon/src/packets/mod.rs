//! The packet path: forwards packets by the label that both ends of a flow repeat, to the upstreams that the platform's
//! store lists.

pub mod burst;
pub mod daemon;
pub mod delayed;
pub mod evidence;
pub mod load_log;
pub mod metrics;
pub mod path;
pub mod ready;
pub mod reload;
pub mod report;
pub mod view;
pub mod zone;
