//! Counters of the control plane.

use std::cell::Cell;

/// Totals since the start of the process.
#[derive(Debug, Default)]
pub struct ControlCounters {
    /// Calls to the platform.
    pub platform_calls: Cell<u64>,
    /// Calls to the platform that failed.
    pub platform_failures: Cell<u64>,
    /// Messages on links that were refused because they could not be opened.
    pub links_refused: Cell<u64>,
    /// Bytes sent on links.
    pub link_bytes_sent: Cell<u64>,
    /// Bytes received on links.
    pub link_bytes_received: Cell<u64>,
    /// Probes sent.
    pub probes_sent: Cell<u64>,
    /// Probes that were not answered in time.
    pub probes_missed: Cell<u64>,
    /// Exchanges with a peer that were completed.
    pub exchanges: Cell<u64>,
    /// Changes announced to peers.
    pub announcements: Cell<u64>,
    /// Requests for documents that were deferred because the byte budget of copies was used up.
    pub copies_deferred: Cell<u64>,
}

/// Adds `n` to a counter.
pub(crate) fn count(counter: &Cell<u64>, n: u64) {
    counter.set(counter.get() + n);
}
