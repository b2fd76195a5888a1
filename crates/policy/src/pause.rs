//! Detection of a process that was paused.
