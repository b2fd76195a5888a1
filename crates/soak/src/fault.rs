//! Faults that a soak injects, each for a limited time.

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

/// Kind of a fault. Faults are listed by the names of variants and fields.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Kind {
    /// A daemon is killed, and restarted at the end of the fault.
    Killed(usize),
    /// A daemon gets SIGTERM, and is restarted at the end of the fault or when it has stopped, whichever is later.
    Stopped(usize),
    /// All daemons are killed and restarted immediately.
    AllRestarted,
    /// All daemons are killed and restarted immediately, while the store answers that it is busy.
    AllRestartedBlind,
    /// A daemon's process is paused.
    Paused(usize),
    /// A daemon's settings file is changed until the end of the fault.
    Edited {
        /// Index of the daemon.
        daemon: usize,
        /// Whether the daemon gets SIGHUP at each change.
        signal: bool,
        /// Whether the changed settings are invalid.
        wrong: bool,
    },
    /// The proxy disturbs the connections between a daemon and the store.
    StoreProxy(usize, StoreMode),
    /// The proxy disturbs the packets to a daemon.
    PacketProxy(usize, PacketMode),
    /// The store answers that it is busy.
    StoreBusy,
    /// The store accepts calls and never answers.
    StoreSilent,
    /// The store answers that it is busy, and the entries of all upstreams expire.
    StoreAway,
    /// The store delays its answers by this long.
    StoreLate(Duration),
    /// The store refuses one daemon.
    Refused(usize),
    /// All daemons that read the store for others are killed, and restarted at the end of the fault.
    ReadersKilled,
    /// All daemons that read the store for others are paused.
    ReadersPaused,
    /// The store refuses all daemons that read it for others.
    ReadersRefused,
    /// The store compacts its history, so that watches from older revisions fail.
    HistoryLost,
    /// The store is restored at the end of the fault from a copy taken at its start, and operators write what it lost
    /// again.
    StoreRestored,
    /// A zone is out of service.
    ZoneOut(usize),
    /// A new configuration is published at the start of the fault, and the former one at its end.
    Configured,
    /// An upstream stops answering, and is ended at the end of the fault.
    UpstreamSilent(usize),
    /// An upstream drains, and is ended at the end of the fault.
    UpstreamDrained(usize),
    /// An upstream is ended, and one of the other service starts at its address.
    AddressReused(usize),
    /// A cold upstream starts.
    UpstreamAdded(usize),
    /// Callers ask for this multiple of the requests that the slots can serve.
    Overloaded(f64),
    /// Only callers of one zone ask, for this multiple of the requests that the slots of one zone can serve.
    Uneven(usize, f64),
    /// Most new links between daemons are not answered.
    LinksCut,
}

impl Kind {
    /// Whether the fault may delay an update from the store to a daemon, or a decision of a daemon.
    pub(crate) fn delays_updates(self) -> bool {
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
                | Kind::LinksCut
        )
    }

    /// Whether the fault may leave requests unserved because there are more than the slots can serve.
    pub(crate) fn overloads(self) -> bool {
        matches!(self, Kind::Overloaded(_) | Kind::Uneven(..))
    }

    /// Whether the fault affects the daemons that read the store for others at its start.
    pub(crate) fn affects_readers(self) -> bool {
        matches!(
            self,
            Kind::ReadersKilled | Kind::ReadersPaused | Kind::ReadersRefused
        )
    }

    /// The upstream that the fault changes for the rest of the run.
    pub(crate) fn upstream(self) -> Option<usize> {
        match self {
            Kind::UpstreamSilent(upstream)
            | Kind::UpstreamDrained(upstream)
            | Kind::AddressReused(upstream) => Some(upstream),
            _ => None,
        }
    }
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Fault {
    pub(crate) kind: Kind,
    /// Start of the fault, relative to the start of the load.
    pub(crate) at: Duration,
    pub(crate) duration: Duration,
}

impl Fault {
    pub(crate) fn end(&self) -> Duration {
        self.at + self.duration
    }
}

/// Size of the fleet, from which the targets of faults are drawn.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetShape {
    pub(crate) daemons: usize,
    pub(crate) zones: usize,
    /// Number of upstreams of the first service, which have the lowest indices.
    pub(crate) upstreams: usize,
}

/// Draws the kind and the target of a fault.
pub(crate) fn draw(rng: &mut SmallRng, shape: FleetShape) -> Kind {
    let daemon = rng.random_range(0..shape.daemons);
    let upstream = rng.random_range(0..shape.upstreams);
    let zone = rng.random_range(0..shape.zones);
    let ms = |rng: &mut SmallRng, range| Duration::from_millis(rng.random_range(range));
    // Daemons read the store for others only in zones with more than `ALONE_MAX` daemons.
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
