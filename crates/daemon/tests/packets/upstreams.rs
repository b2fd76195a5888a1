//! Upstreams that drain, stop responding, stop, or start cold, and zones that are taken out of service and back.

use crate::scene::Scene;
use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// Time within which a change is in force: the interval between two watches and some transmission time.
const IN_FORCE_WITHIN: Duration = Duration::from_millis(1_500);

/// Number of openings since `from` for which `matches` returns true.
fn openings(
    scene: &Scene,
    from: Instant,
    matches: impl Fn(&foxtailhinge_standins::packets::upstream::Opening) -> bool,
) -> usize {
    let seen = scene.seen.lock().unwrap();
    let since = seen.openings.iter().filter(|o| o.at >= from);
    since.filter(|o| matches(o)).count()
}

#[test]
fn a_draining_upstream_gets_no_new_flow_and_completes_those_it_has() {
    let mut scene = Scene::start().load(4, 10.0);
    let id = scene.upstreams[0].spec().id;
    scene.run(1_000).upstreams[0].drain();
    thread::sleep(IN_FORCE_WITHIN);
    let from = Instant::now();
    scene.run(1_500);
    assert_eq!(openings(&scene, from, |o| o.upstream == id), 0);
    assert!(openings(&scene, from, |o| o.upstream != id) > 20);
    let report = scene.finish();
    assert_eq!((report.unanswered(), report.resets()), (0, 0));
}

#[test]
fn requests_avoid_an_upstream_that_stops_responding() {
    let mut scene = Scene::start().load(0, 20.0);
    let id = scene.upstreams[0].spec().id;
    scene.run(1_000).upstreams[0].silence();
    let from = Instant::now();
    scene.run(2_500);
    let lost = Instant::now();
    let report = scene.finish();
    assert!(report.on_time_share(from, lost) >= 0.9);
    assert!(report.on_time_share(from + Duration::from_millis(700), lost) >= 0.97);
    let silent = (0..scene.len()).flat_map(|index| scene.events(index, "upstream_silent"));
    let named = format!("upstream={id:010x}");
    let (right, wrong): (Vec<_>, Vec<_>) = silent.partition(|line| line.contains(&named));
    assert!(!right.is_empty());
    let wrong: Vec<_> = wrong.iter().collect();
    assert!(
        wrong.is_empty(),
        "no other upstream leaves openings unanswered: {wrong:?}"
    );
}

#[test]
fn feeds_of_a_dead_upstream_continue_at_other_upstreams() {
    let mut scene = Scene::start().load_of_one_zone(6);
    scene.run(1_500).upstreams[0].silence();
    let died = Instant::now();
    scene.run(4_000);
    let end = Instant::now();
    let report = scene.finish();
    assert_eq!(
        report.broken(),
        0,
        "feeds of other upstreams are left alone"
    );
    assert!(
        report.resets_of_gone() > 0,
        "feeds of the dead upstream are reset"
    );
    let unanswered = report.unanswered_of(died, end);
    assert!(
        unanswered <= 1,
        "{unanswered} requests of feeds had no answer"
    );
    let dead = (0..scene.len()).flat_map(|index| scene.events(index, "upstream_dead"));
    assert!(dead.count() > 0);
}

#[test]
fn a_reused_address_gets_no_flow_of_its_former_upstream() {
    let mut scene = Scene::start().load(6, 10.0);
    scene.run(1_000).upstreams[0].end();
    scene.reuse_address(0, 1, 0x70_0000_aaaa).unwrap();
    scene.run(3_000);
    let report = scene.finish();
    assert_eq!(report.broken(), 0);
    let late = openings(&scene, Instant::now() - Duration::from_secs(1), |o| {
        o.service != "syncdesk-api"
    });
    assert_eq!(late, 0, "no route of the load leads to the new service");
}

#[test]
fn a_cold_upstream_gets_its_first_flow_when_it_is_warm() {
    let mut scene = Scene::start().load(2, 20.0);
    let id = 0x70_0000_bbbb;
    let from = Instant::now();
    scene.add_upstream(0, id, Duration::from_secs(2)).unwrap();
    scene.run(4_500);
    scene.finish();
    let seen = scene.seen.lock().unwrap();
    let first = seen.openings.iter().find(|o| o.upstream == id);
    assert!(first.expect("the upstream is used eventually").at >= from + Duration::from_secs(2));
}

#[test]
fn a_zone_that_is_out_gets_no_new_flow_until_it_is_back() {
    let mut scene = Scene::start().load(4, 20.0);
    scene.run(500).evacuate("windhoek-3");
    thread::sleep(IN_FORCE_WITHIN);
    let out = Instant::now();
    scene.run(1_500);
    assert_eq!(openings(&scene, out, |o| o.zone == "windhoek-3"), 0);
    scene.end_evacuation("windhoek-3");
    let back = Instant::now();
    scene.run(5_000);
    assert!(openings(&scene, back, |o| o.zone == "windhoek-3") > 10);
    let report = scene.finish();
    assert_eq!((report.unanswered(), report.resets()), (0, 0));
    report.check_on_time_share(out, Instant::now(), 0.99);
}

#[test]
fn an_upstream_with_an_invalid_entry_gets_no_new_flow_and_its_feeds_continue() {
    let mut scene = Scene::start().load(6, 10.0);
    let key = scene.upstreams[0].spec().key();
    let id = scene.upstreams[0].spec().id;
    scene.run(1_000).store.put_bytes(&key, b"{".to_vec());
    thread::sleep(IN_FORCE_WITHIN);
    let from = Instant::now();
    scene.run(1_500);
    assert_eq!(openings(&scene, from, |o| o.upstream == id), 0);
    let report = scene.finish();
    assert_eq!((report.unanswered(), report.resets()), (0, 0));
}
