//! Timestamps with a resolution of one second in four bytes, for structs that are held in large
//! numbers.

use std::{
    sync::OnceLock,
    time::{
        Duration,
        Instant, //
    },
};

/// Offset of the clock, so that times shortly before its first use can be represented.
const OFFSET: Duration = Duration::from_secs(60);

/// Whole seconds on a clock of this process; overflows after 136 years.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CoarseInstant(u32);

impl CoarseInstant {
    /// Rounds `now` down to a second of the clock.
    pub fn at(now: Instant) -> Self {
        static START: OnceLock<Instant> = OnceLock::new();
        let start = *START.get_or_init(Instant::now);
        let elapsed = (now + OFFSET).saturating_duration_since(start);
        Self(u32::try_from(elapsed.as_secs()).unwrap_or(u32::MAX))
    }

    /// Time elapsed from this second to that of `now`; zero when `now` is earlier.
    pub fn elapsed_at(self, now: Instant) -> Duration {
        let passed = Self::at(now).0.saturating_sub(self.0);
        Duration::from_secs(passed.into())
    }
}
