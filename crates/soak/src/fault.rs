//! Faults that a soak injects, each for some time.

use crate::{
    packet_proxy::PacketMode,
    store_proxy::StoreMode, //
};
use foxtailhinge_policy::packets::readers::ALONE_MAX;
use rand::{
    rngs::SmallRng,
    seq::IndexedRandom,
    Rng, //
};
use std::time::Duration;

/// What is done to the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Kind {
    /// A daemon is killed, and started at the end.
    Killed(usize),
    /// A daemon is asked to stop, and started once it has ended.
    Stopped(usize),
    /// All daemons are killed and start at once.
    AllRestarted,
    /// All daemons are killed and start at once, while the store answers that it is busy.
    AllRestartedBlind,
    /// A daemon is paused.
    Paused(usize),
    /// A daemon's settings change for the time, with a signal or without.
    Edited {
        /// The daemon.
        daemon: usize,
        /// Whether it gets SIGHUP.
        signal: bool,
        /// Whether the settings are wrong.
        wrong: bool,
    },
    /// The connections between a daemon and the store are disturbed.
    StoreProxy(usize, StoreMode),
    /// The packets on their way to a daemon are disturbed.
    PacketProxy(usize, PacketMode),
    /// The store answers that it is busy.
    StoreBusy,
    /// The store takes calls and says nothing.
    StoreSilent,
    /// The store is away, and the entries of all upstreams lapse.
    StoreAway,
    /// The store answers late.
    StoreLate(Duration),
    /// The store turns one daemon away.
    Refused(usize),
    /// All daemons that read the store for others are killed, and started at the end.
    ReadersKilled,
    /// All daemons that read the store for others are paused.
    ReadersPaused,
    /// The store turns all daemons away that read it for others.
    ReadersRefused,
    /// The store forgets its history.
    HistoryLost,
    /// A zone is out of service.
    ZoneOut(usize),
    /// A configuration is published at the beginning and at the end.
    Configured,
    /// An upstream says nothing from then on, and ends at the end.
    UpstreamSilent(usize),
    /// An upstream drains, and ends at the end.
    UpstreamDrained(usize),
    /// An upstream ends, and one of the other service starts at its address.
    AddressReused(usize),
    /// A cold upstream starts.
    UpstreamAdded(usize),
}

impl Kind {
    /// Whether it may keep a daemon from knowing what the store holds, or hold a decision back.
    pub(crate) fn hides_store(self) -> bool {
        matches!(
            self,
            Kind::Killed(_)
                | Kind::AllRestarted
                | Kind::AllRestartedBlind
                | Kind::Paused(_)
                | Kind::StoreProxy(..)
                | Kind::StoreBusy
                | Kind::StoreSilent
                | Kind::StoreAway
                | Kind::StoreLate(_)
                | Kind::Refused(_)
                | Kind::ReadersKilled
                | Kind::ReadersPaused
                | Kind::ReadersRefused
                | Kind::HistoryLost
        )
    }

    /// Whether it is about the daemons that read for others when it begins.
    pub(crate) fn is_about_readers(self) -> bool {
        matches!(
            self,
            Kind::ReadersKilled | Kind::ReadersPaused | Kind::ReadersRefused
        )
    }

    /// The upstream that is changed for good.
    pub(crate) fn upstream(self) -> Option<usize> {
        match self {
            Kind::UpstreamSilent(upstream)
            | Kind::UpstreamDrained(upstream)
            | Kind::AddressReused(upstream) => Some(upstream),
            _ => None,
        }
    }
}

/// A fault in its time, counted from the start of the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Fault {
    pub(crate) kind: Kind,
    pub(crate) at: Duration,
    pub(crate) lasts: Duration,
}

impl Fault {
    pub(crate) fn end(&self) -> Duration {
        self.at + self.lasts
    }
}

/// What faults can be drawn from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shape {
    pub(crate) daemons: usize,
    pub(crate) zones: usize,
    /// Upstreams of the first service, which come first.
    pub(crate) upstreams: usize,
}

/// Draws a fault of any kind.
pub(crate) fn draw(rng: &mut SmallRng, shape: Shape) -> Kind {
    let daemon = rng.random_range(0..shape.daemons);
    let upstream = rng.random_range(0..shape.upstreams);
    let zone = rng.random_range(0..shape.zones);
    let ms = |rng: &mut SmallRng, range| Duration::from_millis(rng.random_range(range));
    // Only where a zone has daemons enough are there some that read for others.
    let kinds = match shape.daemons > ALONE_MAX * shape.zones {
        true => 34,
        false => 28,
    };
    match rng.random_range(0..kinds) {
        0 | 1 => Kind::Killed(daemon),
        2 | 3 => Kind::Stopped(daemon),
        4 | 5 => Kind::AllRestarted,
        6 => Kind::AllRestartedBlind,
        7 | 8 => Kind::Paused(daemon),
        9 => Kind::Edited {
            daemon,
            signal: rng.random(),
            wrong: rng.random(),
        },
        10..=12 => Kind::StoreProxy(daemon, draw_store_mode(rng)),
        13 | 14 => Kind::PacketProxy(daemon, draw_packet_mode(rng)),
        15 => Kind::StoreBusy,
        16 => Kind::StoreSilent,
        17 => Kind::StoreAway,
        18 => Kind::StoreLate(ms(rng, 50..800)),
        19 => Kind::Refused(daemon),
        20 => Kind::HistoryLost,
        21..=23 => Kind::ZoneOut(zone),
        24 => Kind::Configured,
        25 => Kind::UpstreamSilent(upstream),
        26 => *[
            Kind::UpstreamDrained(upstream),
            Kind::AddressReused(upstream),
        ]
        .choose(rng)
        .expect("there are two"),
        27 => Kind::UpstreamAdded(zone),
        28 | 29 => Kind::ReadersKilled,
        30 | 31 => Kind::ReadersPaused,
        _ => Kind::ReadersRefused,
    }
}

fn draw_store_mode(rng: &mut SmallRng) -> StoreMode {
    let late = Duration::from_millis(rng.random_range(20..900));
    let modes = [
        StoreMode::Delayed(late),
        StoreMode::OneWay,
        StoreMode::Silent,
        StoreMode::Reset,
    ];
    *modes.choose(rng).expect("there are four")
}

fn draw_packet_mode(rng: &mut SmallRng) -> PacketMode {
    PacketMode {
        loss: rng.random_range(0.0..0.3),
        twice: rng.random_range(0.0..0.2),
        late: Duration::from_millis(rng.random_range(0..60)),
    }
}
