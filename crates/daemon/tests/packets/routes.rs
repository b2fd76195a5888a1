//! Routes that are added and removed while flows are open.

use crate::scene::Scene;
use foxtailhinge_standins::packets::fleet::ROUTE_PORT;
use std::time::Instant;

const NEW_PORT: u16 = 8_443;

#[test]
fn a_new_route_is_served_and_a_removed_one_is_refused() {
    let mut scene = Scene::start();
    scene.configure(&[ROUTE_PORT, NEW_PORT]);
    scene.await_configuration().unwrap();
    let mut plan = scene.plan(0, 1);
    plan.feeds = 4;
    plan.feed_route = scene.route(NEW_PORT);
    let callers = scene.callers(plan).unwrap();
    scene.run(1_500);
    let before = callers.results();
    assert!(before.resets.is_empty());
    assert!(before.outcomes.len() >= 8 && before.outcomes.iter().all(|o| o.took.is_some()));
    scene.configure(&[ROUTE_PORT]);
    scene.await_configuration().unwrap();
    let removed = Instant::now();
    scene.run(2_000);
    let after = callers.stop();
    let refused = after
        .resets
        .iter()
        .filter(|r| r.by_balancer && r.at >= removed);
    assert!(
        refused.count() >= 4,
        "open feeds and new flows are reset at once"
    );
    let served = after
        .outcomes
        .iter()
        .filter(|o| o.asked >= removed && o.took.is_some());
    assert_eq!(served.count(), 0);
}

#[test]
fn open_flows_continue_when_other_routes_change() {
    let mut scene = Scene::start().load(6, 5.0);
    scene.run(500);
    for port in [NEW_PORT, NEW_PORT + 1, NEW_PORT + 2] {
        scene.configure(&[ROUTE_PORT, ROUTE_PORT + 1, port]);
        scene.run(300);
    }
    scene.await_configuration().unwrap();
    let report = scene.finish();
    assert_eq!((report.unanswered(), report.resets()), (0, 0));
}
