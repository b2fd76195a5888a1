//! Control part of several daemons in one process, over loopback.

mod copies;
mod documents;
mod faults;
mod fleet;
mod members;
mod messages;
