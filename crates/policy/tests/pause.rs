//! Pause detection and the fence that closes after a pause.

use foxtailhinge_policy::pause::{
    Fence,
    Pause,
    PauseDetector,
    PauseSpec, //
};
use rstest::rstest;
use std::time::{
    Duration,
    Instant, //
};

const MS: Duration = Duration::from_millis(1);

fn synced(now: Instant) -> PauseDetector {
    let mut detector = PauseDetector::new(PauseSpec::default(), now);
    detector.synced();
    detector
}

#[test]
fn a_fresh_daemon_waits_for_its_first_sync() {
    let now = Instant::now();
    let mut detector = PauseDetector::new(PauseSpec::default(), now);
    assert!(!detector.admits(now));
    detector.synced();
    assert!(detector.admits(now));
}

#[rstest]
#[case::on_time(1_000, true)]
#[case::late(1_001, false)]
#[case::frozen(10_000, false)]
fn a_late_tick_closes_the_fence(#[case] after_ms: u32, #[case] admits: bool) {
    let now = Instant::now();
    let mut detector = synced(now);
    let later = now + after_ms * MS;
    assert_eq!(detector.tick(later).is_none(), admits);
    assert_eq!(detector.admits(later), admits);
}

#[test]
fn work_before_the_next_tick_finds_the_fence_closed() {
    let now = Instant::now();
    let mut detector = synced(now);
    assert!(!detector.admits(now + 10_000 * MS));
    assert_eq!(detector.pauses(), 1);
    let length = 10_000 * MS;
    assert_eq!(detector.take_pause(), Some(Pause { length }));
    assert_eq!(detector.take_pause(), None);
}

#[test]
fn the_fence_opens_after_a_timeout_without_peers() {
    let now = Instant::now();
    let spec = PauseSpec::default();
    let mut detector = PauseDetector::new(spec, now);
    let mut at = now;
    while at + 100 * MS < now + spec.isolated_timeout {
        at += 100 * MS;
        assert!(!detector.admits(at));
    }
    assert!(detector.admits(now + spec.isolated_timeout));
}

#[test]
fn the_fence_waits_for_a_sync_up_to_a_timeout() {
    let now = Instant::now();
    let spec = PauseSpec::default();
    let mut detector = PauseDetector::new(spec, now);
    let mut at = now;
    while at + 500 * MS < now + spec.sync_timeout {
        at += 500 * MS;
        detector.on_peer_reached(at);
        assert!(!detector.admits(at));
    }
    assert!(detector.admits(now + spec.sync_timeout));
}

#[test]
fn a_pause_while_fenced_restarts_the_timeout() {
    let now = Instant::now();
    let spec = PauseSpec::default();
    let mut detector = PauseDetector::new(spec, now);
    let resumed = now + 2 * spec.isolated_timeout;
    assert!(!detector.admits(resumed));
    assert_eq!(detector.fence(), Fence::Closed(resumed));
}

#[test]
fn a_pause_counts_once_though_both_clocks_show_it() {
    let now = Instant::now();
    let wall = Duration::from_secs(1_800_000_000);
    let mut detector = synced(now);
    detector.tick_with_wall(now, wall);
    let resumed = now + 10_000 * MS;
    assert!(!detector.admits(resumed));
    detector.tick_with_wall(resumed + MS, wall + 10_001 * MS);
    assert_eq!(detector.pauses(), 1);
    assert_eq!(detector.fence(), Fence::Closed(resumed));
}

#[rstest]
#[case::in_step(100, 100, false)]
#[case::suspended(100, 60_000, true)]
#[case::clock_set_back(100, 0, false)]
fn a_suspended_vm_shows_on_the_wall_clock(
    #[case] monotonic_ms: u32,
    #[case] wall_ms: u32,
    #[case] paused: bool,
) {
    let now = Instant::now();
    let wall = Duration::from_secs(1_800_000_000);
    let mut detector = synced(now);
    detector.tick_with_wall(now, wall);
    let pause = detector.tick_with_wall(now + monotonic_ms * MS, wall + wall_ms * MS);
    assert_eq!(pause.is_some(), paused);
}
