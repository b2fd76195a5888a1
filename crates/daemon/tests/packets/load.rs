//! What operators see of the handling of overload.

use crate::scene::Scene;
use foxtailhinge_standins::packets::fleet::ROUTE_PORT;

/// Callers of a calm service must be shown as admitted, by the name of the service and by the address of the route, as
/// `foxtailctl` encodes it.
#[test]
fn a_calm_daemon_admits_each_caller() {
    let scene = Scene::start();
    scene.await_configuration().unwrap();
    let route = scene.route(ROUTE_PORT);
    let service = scene.service_of(ROUTE_PORT);
    let encoded = route.to_string().replace(':', "%3A");
    for target in [format!("service={service}"), format!("route={encoded}")] {
        let report = scene.explain_admission(0, &format!("caller=100.67.0.24&{target}"));
        let report = report.unwrap();
        assert_eq!(&*report.vm, "vm-1");
        let opening = report.openings.iter().find(|o| o.route == route).unwrap();
        assert_eq!((&*opening.service, opening.priority), (service, Some(1)));
        assert_eq!((opening.rejected, opening.leaves), (None, false));
        assert_eq!(opening.admitted, 1.0);
    }
    for target in ["service=none", "route=198.18.255.255:1"] {
        let report = scene.explain_admission(0, &format!("caller=100.67.0.24&{target}"));
        assert!(report.is_err(), "{report:?}");
    }
}

/// A daemon without load must not alarm anybody.
#[test]
fn a_calm_daemon_reports_no_load_decisions() {
    let mut scene = Scene::start().load(2, 5.0);
    scene.run(1_000);
    let status = scene.status(0).unwrap();
    assert!(status.own_delay.is_some());
    assert!(status.loads.iter().all(|load| load.admitted == 1.0));
    let metrics = scene.metrics(0).unwrap();
    assert!(
        metrics.contains("\nfoxtailhinge_own_delay_seconds "),
        "{metrics}"
    );
    for event in ["overload_began", "opening_rejected"] {
        assert_eq!(scene.events(0, event), Vec::<String>::new());
    }
    scene.finish();
}
