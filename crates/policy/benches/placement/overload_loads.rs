//! Sites and loads of the simulation of overload, which its tables and its tests share.

use crate::overload_sim::{
    Fault,
    Load,
    Site,
    MEASURED,
    ZONES, //
};
use foxtailhinge_policy::packets::LoadSettings;
use std::time::Duration;

/// Load of all zones before the peak, and after one that is shorter than the measured time.
const BEFORE: f64 = 0.6;

/// A small site: slow requests and few upstreams, so that full queues are longer than the target latency.
pub(crate) const SMALL: Site = Site {
    daemons: 8,
    upstreams: 15,
    slots: 4,
    queue: 16,
    work: Duration::from_millis(55),
};
/// A large site, where a daemon forwards a thirtieth of the flows of its zone.
pub(crate) const LARGE: Site = Site {
    daemons: 90,
    upstreams: 60,
    slots: 4,
    queue: 16,
    work: Duration::from_millis(22),
};

/// Time after the start of a peak that is not measured, except of a flash crowd.
const SETTLE: Duration = Duration::from_secs(2);

const STEADY: Load = Load {
    before: BEFORE,
    peak: [BEFORE; ZONES],
    peak_length: SETTLE.saturating_add(MEASURED),
    settle: SETTLE,
    fault: Fault::None,
};
/// All callers are served.
pub(crate) const UNDER_CAPACITY: Load = STEADY;
/// Work for twice the slots in all zones.
pub(crate) const TWICE_THE_SLOTS: Load = Load {
    peak: [2.0; ZONES],
    ..STEADY
};
/// One zone with four times the load of each other; all together use 80 % of the slots.
pub(crate) const HOT_ZONE: Load = Load {
    peak: [1.6, 0.4, 0.4],
    ..STEADY
};
/// A third of the upstreams drains within two seconds; the others get 30 % more work than they have slots.
pub(crate) const LEAVING: Load = Load {
    peak: [0.87; ZONES],
    fault: Fault::Leave,
    ..STEADY
};
/// Work for six times the slots for a second; each rejected caller tries three times at once.
pub(crate) const FLASH_CROWD: Load = Load {
    peak: [6.0; ZONES],
    peak_length: Duration::from_secs(1),
    settle: Duration::ZERO,
    ..STEADY
};
/// A fifth of the upstreams is slow; all slots together can do 85 % of the usual work, and get 102 %.
pub(crate) const SLOW: Load = Load {
    peak: [1.02; ZONES],
    fault: Fault::Slow,
    ..STEADY
};

/// Settings with the decisions under load switched off.
pub(crate) const OFF: LoadSettings = LoadSettings {
    shed: false,
    spill: false,
    zone_price: Duration::from_millis(5),
};
