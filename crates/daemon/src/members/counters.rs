//! Numbers of what the control part did.

use std::cell::Cell;

/// Numbers of what the control part did.
#[derive(Debug, Default)]
pub struct ControlCounters {
    /// Calls of the platform.
    pub platform_calls: Cell<u64>,
    /// Calls of the platform that failed.
    pub platform_failures: Cell<u64>,
    /// Messages refused because they could not be opened.
    pub links_refused: Cell<u64>,
    /// Bytes sent on links.
    pub link_bytes_sent: Cell<u64>,
    /// Bytes received on links.
    pub link_bytes_received: Cell<u64>,
    /// Probes sent.
    pub probes_sent: Cell<u64>,
    /// Probes that were not answered in time.
    pub probes_missed: Cell<u64>,
    /// Exchanges with a peer that ended well.
    pub exchanges: Cell<u64>,
    /// Changes announced to peers.
    pub announcements: Cell<u64>,
    /// Requests for copies that were put off because the bytes for copies were spent.
    pub copies_deferred: Cell<u64>,
}

/// Adds to a counter.
pub(crate) fn count(counter: &Cell<u64>, n: u64) {
    counter.set(counter.get() + n);
}
