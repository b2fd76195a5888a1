//! Delay of the daemon itself, as the connect times of its flows show it.

use crate::scene::{
    name,
    AWAY,
    HOME,
    SERVICE, //
};
use foxtailhinge_policy::packets::{
    own_delay::{
        OwnAdmission,
        OwnDelay,
        OWN_DELAY_GOAL, //
    },
    Pool,
};

/// Connect time of a calm pool in the zone and in another one, in milliseconds.
const CALM_MS: [f64; 2] = [7.2, 9.0];
/// Decayed number of connects of a pool with traffic.
const MANY: f64 = 10.0;
/// Decayed number of connects that is too small for a mean.
const FEW: f64 = 3.9;
/// Number of windows of 100 ms in a second.
const WINDOWS_PER_S: u32 = 10;

fn pools() -> [Pool; 2] {
    [HOME, AWAY].map(|zone| Pool {
        service: name(SERVICE),
        zone: name(zone),
    })
}

/// Estimator for a pool in the daemon's zone and one in another zone.
struct Daemon {
    own_delay: OwnDelay,
    pools: [Pool; 2],
}

impl Daemon {
    /// A daemon that has observed calm connect times for some seconds.
    fn calm() -> Self {
        let mut daemon = Self::new();
        daemon.windows(50, CALM_MS, [MANY, MANY]);
        daemon
    }

    fn new() -> Self {
        Self {
            own_delay: OwnDelay::default(),
            pools: pools(),
        }
    }

    /// Observes the same mean connect times and numbers of connects in `n` windows; returns the delay in milliseconds.
    fn windows(&mut self, n: u32, connect_ms: [f64; 2], connects: [f64; 2]) -> f64 {
        for _ in 0..n {
            self.update(connect_ms, connects, 1);
        }
        self.delay_ms()
    }

    fn update(&mut self, connect_ms: [f64; 2], connects: [f64; 2], windows: u32) {
        let times = connect_ms.into_iter().zip(connects);
        let pools = self.pools.iter().zip(times);
        let pools = pools.map(|(pool, (ms, connects))| (pool, ms / 1_000.0, connects));
        self.own_delay.update(pools, windows);
    }

    fn delay_ms(&self) -> f64 {
        self.own_delay.delay().as_secs_f64() * 1_000.0
    }
}

/// Connect times of all pools while the daemon adds `delay_ms`.
fn delayed(delay_ms: f64) -> [f64; 2] {
    CALM_MS.map(|ms| ms + delay_ms)
}

fn assert_near(actual: f64, expected: f64) {
    assert!(
        (actual - expected).abs() < 1.0,
        "{actual} is not near {expected}"
    );
}

/// A daemon that rejected openings because another zone was slow would lose capacity that works.
#[test]
fn a_slow_zone_is_no_own_delay() {
    let mut daemon = Daemon::calm();
    let slow_zones = [[CALM_MS[0], 400.0], [400.0, CALM_MS[1]]];
    for slow_zone in slow_zones {
        let delay = daemon.windows(20, slow_zone, [MANY, MANY]);
        assert_near(delay, 0.0);
    }
}

/// A daemon with a full link took on openings that it delayed past their target latency.
#[test]
fn a_link_that_fills_up_is_own_delay() {
    let mut daemon = Daemon::calm();
    for delay_ms in [20.0, 60.0, 200.0, 410.0] {
        let delay = daemon.windows(1, delayed(delay_ms), [MANY, MANY]);
        assert_near(delay, delay_ms);
    }
}

/// With one pool in use there is nothing to compare with, and a full link must still be noticed.
#[test]
fn a_single_pool_with_traffic_decides_alone() {
    let mut daemon = Daemon::new();
    daemon.windows(50, CALM_MS, [MANY, 0.0]);
    let delay = daemon.windows(1, delayed(100.0), [MANY, 0.0]);
    assert_near(delay, 100.0);
}

/// A baseline that follows a long overload hides the overload after some minutes.
#[test]
fn a_long_overload_does_not_become_the_baseline() {
    for delay_ms in [400.0, 51.0, 49.0, 26.0] {
        let mut daemon = Daemon::calm();
        let delay = daemon.windows(600 * WINDOWS_PER_S, delayed(delay_ms), [MANY, MANY]);
        assert_near(delay, delay_ms);
    }
}

/// The admitted share holds the delay near the goal, partly under it; the baseline must not rise in these windows.
#[test]
fn a_controlled_overload_does_not_become_the_baseline() {
    let mut daemon = Daemon::calm();
    for _ in 0..600 {
        daemon.windows(5, delayed(35.0), [MANY, MANY]);
        daemon.windows(5, delayed(65.0), [MANY, MANY]);
    }
    assert_near(daemon.delay_ms(), 65.0);
}

/// A path that becomes a little longer for good, as after a change of routes, must not count as delay for ever.
#[test]
fn a_slightly_longer_path_becomes_the_baseline_slowly() {
    let mut daemon = Daemon::calm();
    let longer = delayed(5.0);
    let delay = daemon.windows(WINDOWS_PER_S, longer, [MANY, MANY]);
    assert!((4.5..5.0).contains(&delay), "2 % of 7.2 ms: {delay}");
    let delay = daemon.windows(60 * WINDOWS_PER_S, longer, [MANY, MANY]);
    assert_near(delay, 0.0);
}

/// A daemon that starts while its link is full learns its baseline as soon as the link is free, and not slowly.
#[test]
fn a_baseline_follows_decreases_at_once() {
    let mut daemon = Daemon::new();
    let delay = daemon.windows(20, delayed(300.0), [MANY, MANY]);
    assert_near(delay, 0.0);
    daemon.windows(1, CALM_MS, [MANY, MANY]);
    let delay = daemon.windows(1, delayed(300.0), [MANY, MANY]);
    assert_near(delay, 300.0);
}

/// The delay must end with its cause, or openings are rejected by an idle daemon.
#[test]
fn the_delay_ends_when_the_link_is_free_again() {
    let mut daemon = Daemon::calm();
    daemon.windows(100, delayed(400.0), [MANY, MANY]);
    let delay = daemon.windows(1, CALM_MS, [MANY, MANY]);
    assert_near(delay, 0.0);
}

/// One retransmission among few connects looks like a full link.
#[test]
fn few_connects_are_no_evidence() {
    let mut daemon = Daemon::calm();
    let delay = daemon.windows(5, delayed(400.0), [FEW, FEW]);
    assert_near(delay, 0.0);
    let delay = daemon.windows(5, [400.0, CALM_MS[1]], [MANY, FEW]);
    assert!(delay > 390.0, "the pool with too few connects has no say");
}

/// One lost packet delays one connect by 200 ms, which alone must not lead to rejections.
#[test]
fn one_lost_packet_does_not_exceed_the_goal() {
    let mut daemon = Daemon::calm();
    let connects = 4.0;
    let with_loss = [
        (CALM_MS[0] * (connects - 1.0) + 200.0) / connects,
        CALM_MS[1],
    ];
    let delay = daemon.windows(1, with_loss, [connects, 0.0]);
    assert!(delay <= OWN_DELAY_GOAL.as_secs_f64() * 1_000.0, "{delay}");
}

/// Without traffic nothing shows that the delay is over, and an idle daemon would reject the next openings.
#[test]
fn the_delay_is_held_for_a_second_without_connects_and_then_decays() {
    let mut daemon = Daemon::calm();
    daemon.windows(5, delayed(400.0), [MANY, MANY]);
    let delay = daemon.windows(WINDOWS_PER_S, delayed(400.0), [0.0, 0.0]);
    assert_near(delay, 400.0);
    let delay = daemon.windows(2, delayed(400.0), [0.0, 0.0]);
    assert_near(delay, 400.0 * 0.8 * 0.8);
    let delay = daemon.windows(40, delayed(400.0), [0.0, 0.0]);
    assert!(delay == 0.0, "{delay}");
}

/// Updates come with packets, so a quiet daemon gets one update for many windows.
#[test]
fn windows_that_end_together_count_like_single_ones() {
    let mut daemon = Daemon::calm();
    daemon.windows(5, delayed(400.0), [MANY, MANY]);
    daemon.update(CALM_MS, [0.0, 0.0], 12);
    assert_near(daemon.delay_ms(), 400.0 * 0.8 * 0.8);
    daemon.update(CALM_MS, [0.0, 0.0], u32::MAX);
    assert!(daemon.delay_ms() == 0.0);
    daemon.update(delayed(400.0), [MANY, MANY], 0);
    assert!(daemon.delay_ms() == 0.0, "no window is over");
}

/// When flows begin to leave the zone during an overload of this daemon, the new pool knows only delayed connects. As
/// its own baseline these would make the own delay seem zero.
#[test]
fn a_pool_that_appears_during_an_overload_does_not_hide_it() {
    let mut daemon = Daemon::new();
    daemon.windows(50, CALM_MS, [MANY, 0.0]);
    daemon.windows(5, delayed(300.0), [MANY, 0.0]);
    let delay = daemon.windows(20, delayed(300.0), [MANY, MANY]);
    assert_near(delay, 300.0);
    let delay = daemon.windows(5, delayed(100.0), [MANY, MANY]);
    assert_near(delay, 100.0);
}

/// Connect times that no pool can have must neither hide a delay nor become a baseline.
#[test]
fn implausible_connect_times_are_ignored() {
    let mut daemon = Daemon::calm();
    let [_, delayed_ms] = delayed(100.0);
    for connect_ms in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0] {
        let delay = daemon.windows(1, [connect_ms, delayed_ms], [MANY, MANY]);
        assert_near(delay, 100.0);
        let delay = daemon.windows(1, CALM_MS, [MANY, MANY]);
        assert_near(delay, 0.0);
    }
}

fn admitted_after(admission: &mut OwnAdmission, pressures: &[f64]) -> f64 {
    for pressure in pressures {
        admission.update(OWN_DELAY_GOAL.mul_f64(*pressure), 1);
    }
    admission.admitted()
}

/// A single window over the goal may be one burst; rejecting for it costs more than it saves.
#[test]
fn the_admitted_share_falls_only_after_two_windows_in_a_row() {
    let mut admission = OwnAdmission::default();
    assert_eq!(
        admitted_after(&mut admission, &[1.2, 1.0, 1.2, 1.0, 1.2]),
        1.0
    );
    let admitted = admitted_after(&mut admission, &[1.2]);
    assert!((admitted - 0.9).abs() < 1e-6, "{admitted}");
}

/// Too steep a fall rejects openings that the daemon could forward; too slow a one leaves the link full.
#[test]
fn the_admitted_share_follows_the_pressure() {
    let mut admission = OwnAdmission::default();
    let admitted = admitted_after(&mut admission, &[8.0, 8.0, 8.0]);
    assert!((admitted - 0.49).abs() < 1e-6, "at least 0.7: {admitted}");
    let admitted = admitted_after(&mut admission, &[0.5]);
    assert!((admitted - 0.49 * 1.2).abs() < 1e-6, "{admitted}");
    let admitted = admitted_after(&mut admission, &[1.0]);
    assert!(
        (admitted - 0.49 * 1.2).abs() < 1e-6,
        "at the goal: {admitted}"
    );
}

/// With a share of zero the daemon would observe no connects, and could not notice that the delay is over.
#[test]
fn the_admitted_share_stays_between_its_bounds() {
    let mut admission = OwnAdmission::default();
    assert_eq!(admitted_after(&mut admission, &[50.0; 100]), 0.05);
    assert_eq!(admitted_after(&mut admission, &[0.0; 100]), 1.0);
}

/// After a quiet time one update stands for many windows: the share must have recovered, and must not have fallen for
/// windows that nothing was observed in.
#[test]
fn windows_that_end_together_raise_the_share_but_lower_it_once() {
    let mut admission = OwnAdmission::default();
    admitted_after(&mut admission, &[8.0; 100]);
    admission.update(OWN_DELAY_GOAL.mul_f64(0.0), u32::MAX);
    assert_eq!(admission.admitted(), 1.0);
    admission.update(OWN_DELAY_GOAL * 8, 100);
    assert_eq!(admission.admitted(), 1.0);
    admission.update(OWN_DELAY_GOAL * 8, 100);
    assert!((admission.admitted() - 0.7).abs() < 1e-6);
}

/// At the smallest share a daemon may observe too few connects to notice that its link is free, and would reject openings
/// for ever.
#[test]
fn the_share_recovers_when_nothing_is_observed_any_more() {
    let mut daemon = Daemon::calm();
    let mut admission = OwnAdmission::default();
    let mut windows = |daemon: &mut Daemon, n: u32, connects: f64| {
        for _ in 0..n {
            daemon.update(delayed(400.0), [connects, connects], 1);
            admission.update(daemon.own_delay.delay(), 1);
        }
        admission.admitted()
    };
    assert_eq!(windows(&mut daemon, 20, MANY), 0.05);
    assert_eq!(windows(&mut daemon, WINDOWS_PER_S, FEW), 0.05, "held");
    let mut recovering = 0;
    while windows(&mut daemon, 1, FEW) < 1.0 {
        recovering += 1;
        assert!(recovering < 30, "3 s after the delay was held for 1 s");
    }
    assert!(recovering > 10, "the delay decays first: {recovering}");
}
