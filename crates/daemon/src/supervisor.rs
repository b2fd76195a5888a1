//! Supervisor tree of the daemon's tasks.
