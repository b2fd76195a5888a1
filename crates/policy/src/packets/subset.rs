//! Deterministic subsets: under load, each daemon of a zone prefers its own part of the zone's upstreams.
//!
//! A daemon knows only the requests that it forwarded. Where all daemons use all upstreams, that says next to nothing about
//! an upstream's load, and flows are spread as if by chance: some upstreams queue requests while others have free slots. The
//! one or two daemons that prefer an upstream know nearly all its requests.

/// Position of a daemon among the live daemons of its zone, ordered by VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Number of daemons before this one.
    pub index: usize,
    /// Number of daemons, this one included.
    pub daemons: usize,
}

impl Default for Position {
    fn default() -> Self {
        Self::ALONE
    }
}

impl Position {
    /// Position of the only daemon of a zone.
    pub const ALONE: Self = Self {
        index: 0,
        daemons: 1,
    };

    /// Part of upstream number `at` of `upstreams` that belongs to this daemon, from 0 to 1.
    ///
    /// The upstreams are divided evenly; one at a boundary belongs to two daemons in part.
    pub fn part_of(&self, at: usize, upstreams: usize) -> f64 {
        let daemons = self.daemons.max(1) as f64;
        let upstreams = upstreams as f64;
        let begin = self.index as f64 / daemons * upstreams;
        let end = (self.index + 1) as f64 / daemons * upstreams;
        let at = at as f64;
        ((at + 1.0).min(end) - at.max(begin)).clamp(0.0, 1.0)
    }
}
