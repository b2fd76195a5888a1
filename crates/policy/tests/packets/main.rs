//! Tests of the packet decisions, without sockets and with a simulated clock.

mod change_set;
mod correlated_failure;
mod dead_upstream;
mod directory;
mod flows;
mod labels;
mod load;
mod load_status;
mod lost_changes;
mod names;
mod opening;
mod own_delay;
mod poll_schedule;
mod readers;
mod restoration;
mod restoration_model;
mod routes;
mod scene;
mod shared_evidence;
mod spillover;
mod spread_model;
mod thundering_herd;
