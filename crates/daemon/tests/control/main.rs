//! Control planes of several daemons in one process, over loopback.

mod claims;
mod copies;
mod documents;
mod faults;
mod fence;
mod fleet;
mod members;
mod messages;
mod readers;
