//! Return of all callers at once after a stop of all daemons.
//!
//! Callers repeat what was lost, so a daemon that starts in the middle of traffic first hears of requests whose time
//! has passed together with new ones. For a moment there is more work than the upstreams' slots, and in the order of
//! arrival the new requests would be late as well. Openings that cannot be in time any more therefore wait for as
//! long as that moment lasts, each from its own arrival on, so that they do not go all at once; all others do not wait.

use std::time::{
    Duration,
    Instant, //
};

/// How long the return of all callers lasts, and how long an opening waits in it: a caller repeats its first packet after 200 ms and 600 ms, so within this
/// time each of them has been heard. It is also shorter than the 800 ms after which a caller gives an attempt up whose
/// second copy waits.
pub const HERD_WINDOW: Duration = Duration::from_millis(700);

/// Work of an ordinary request, which is to fit into its aim too.
const WORK: Duration = Duration::from_millis(50);

/// Ages of an opening by the number of its copies.
const AGES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(600),
];

/// Fewest copies whose first packet was not seen that tell a return of all callers from a few lost packets.
const COPIES_MIN: u32 = 3;

/// Least share of such copies among the openings, as one part in so many.
const COPIES_PART: u32 = 4;

/// What is known of a return of all callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct ThunderingHerd {
    began: Option<Instant>,
    openings: u32,
    copies: u32,
}

impl ThunderingHerd {
    /// Notes that packets can be forwarded from now on, which counts once.
    pub fn begin(&mut self, now: Instant) {
        self.began.get_or_insert(now);
    }

    /// Until when an opening waits whose first packet was not seen here, that is the copy with this number and is to
    /// be answered within `aim`; nothing when it goes at once.
    pub fn delay_until(
        &mut self,
        copy: u32,
        target_latency: Duration,
        now: Instant,
    ) -> Option<Instant> {
        let over = self.began? + HERD_WINDOW;
        if now >= over {
            return None;
        }
        self.openings += 1;
        self.copies += u32::from(copy > 0);
        let is_rush = self.copies >= COPIES_MIN && self.copies * COPIES_PART >= self.openings;
        let age = AGES[(copy as usize).min(AGES.len() - 1)];
        let is_late = copy > 0 && age + WORK >= target_latency;
        (is_rush && is_late).then_some(now + HERD_WINDOW)
    }
}
