//! Thundering herd: all callers return at once after an outage of all daemons.
//!
//! Callers retransmit lost packets, so a daemon that starts under load first receives overdue requests together with
//! new ones. For a short time there is more work than the upstreams have slots, and handling it in the order of arrival
//! would delay the new requests past their target latency too. Overdue openings are therefore delayed by the length of
//! the herd, each from its own arrival, so that they are not forwarded all at once; other openings are not delayed.

use std::time::{
    Duration,
    Instant, //
};

/// How long the herd lasts, and how long an opening is delayed.
///
/// A caller retransmits its opening packet after 200 ms and 600 ms, so every caller sends at least one within this
/// time. It is shorter than the 800 ms after which a caller abandons an attempt whose second copy is delayed.
pub const HERD_WINDOW: Duration = Duration::from_millis(700);

/// Processing time of an ordinary request, which must fit into the target latency too.
const WORK: Duration = Duration::from_millis(50);

/// Age of an opening packet by its copy number.
const AGES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(600),
];

/// Number of copies without a known first packet from which on a herd is assumed, rather than a few lost packets.
const COPIES_MIN: u32 = 3;

/// Smallest share of such copies among the openings, as the denominator of a unit fraction.
const COPIES_PART: u32 = 4;

/// Detects a thundering herd after the start of the daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct ThunderingHerd {
    began: Option<Instant>,
    openings: u32,
    copies: u32,
}

impl ThunderingHerd {
    /// Marks the start of forwarding; only the first call has an effect.
    pub fn begin(&mut self, now: Instant) {
        self.began.get_or_insert(now);
    }

    /// Returns until when to delay an opening packet, or `None` to forward it immediately.
    ///
    /// The packet is copy number `copy` of an opening that did not arrive here before and that should be answered
    /// within `target_latency`.
    pub fn delay_until(
        &mut self,
        copy: u32,
        target_latency: Duration,
        now: Instant,
    ) -> Option<Instant> {
        let end = self.began? + HERD_WINDOW;
        if now >= end {
            return None;
        }
        self.openings += 1;
        self.copies += u32::from(copy > 0);
        let is_herd = self.copies >= COPIES_MIN && self.copies * COPIES_PART >= self.openings;
        let age = AGES[(copy as usize).min(AGES.len() - 1)];
        let is_late = copy > 0 && age + WORK >= target_latency;
        (is_herd && is_late).then_some(now + HERD_WINDOW)
    }
}
