//! Routing by route and label, and resets of flows.

use crate::scene::{
    address,
    choice,
    configuration,
    flow,
    syn,
    target,
    upstream,
    Scene,
    PORT,
    SERVICE, //
};
use foxtailhinge_policy::packets::{
    entry::Change,
    packet::Kind,
    DropReason,
    Packet,
    ResetReason,
    Upstream,
    UpstreamId,
    Verdict, //
};

const OTHER_PORT: u16 = 8443;

fn data(port: u16, label: u32) -> Packet {
    Packet {
        flow: flow(1, port),
        label,
        kind: Kind::Data,
        seq: 2,
        ack: 2,
        len: 100,
    }
}

#[test]
fn nothing_is_reset_before_anything_is_known() {
    let mut scene = Scene::empty();
    assert_eq!(scene.open(1, 0), Verdict::Drop(DropReason::NoView));
    assert_eq!(
        scene.decide(data(PORT, 1)),
        Verdict::Drop(DropReason::NoView)
    );
}

#[test]
fn a_missing_route_resets_by_a_fresh_view_only() {
    let mut scene = Scene::new().upstream(1, upstream());
    let reset = Verdict::Reset(ResetReason::NoRoute);
    let opening = syn(flow(1, OTHER_PORT), 0);
    assert_eq!(scene.decide(opening), reset);
    assert_eq!(target(scene.decide(data(OTHER_PORT, 1))).0, 1);
    scene.after(1);
    scene.directory.confirm(scene.now);
    assert_eq!(scene.decide(data(OTHER_PORT, 1)), reset);
    scene.is_fresh = false;
    assert_eq!(
        scene.decide(opening),
        Verdict::Drop(DropReason::UncertainRoute)
    );
    assert_eq!(target(scene.decide(data(OTHER_PORT, 1))).0, 1);
}

/// A daemon that lags behind by one configuration reset the flows that another daemon had opened on a new route.
#[test]
fn an_open_flow_is_not_reset_by_a_configuration_that_is_older_than_its_route() {
    let mut scene = Scene::new().upstream(1, upstream());
    scene.directory.confirm(scene.now);
    for _ in 0..5 {
        scene.after(400);
        assert_eq!(target(scene.decide(data(OTHER_PORT, 1))).0, 1);
    }
    let added = configuration(2, &[(PORT, &[(SERVICE, 1)]), (OTHER_PORT, &[(SERVICE, 1)])]);
    scene.change(Change::Configured(added));
    scene.directory.confirm(scene.now);
    assert_eq!(target(scene.after(400).decide(data(OTHER_PORT, 1))).0, 1);
}

/// A daemon that starts after a route was removed knows neither the route nor the flow, and still ends the flow.
#[test]
fn a_flow_without_a_route_is_reset_once_the_view_is_confirmed_after_its_first_packet() {
    let mut scene = Scene::new().upstream(1, upstream());
    let first = scene.now;
    assert_eq!(target(scene.decide(data(OTHER_PORT, 1))).0, 1);
    scene.directory.confirm(first);
    assert_eq!(target(scene.after(100).decide(data(OTHER_PORT, 1))).0, 1);
    scene.directory.confirm(scene.now);
    let reset = Verdict::Reset(ResetReason::NoRoute);
    assert_eq!(scene.decide(data(OTHER_PORT, 1)), reset);
    assert_eq!(scene.decide(data(OTHER_PORT, 1)), reset);
}

#[test]
fn a_route_that_is_removed_ends_its_flows_and_a_new_one_opens_them() {
    let mut scene = Scene::new().upstream(1, upstream());
    scene.choose(1);
    let moved = configuration(2, &[(OTHER_PORT, &[(SERVICE, 1)])]);
    scene.change(Change::Configured(moved));
    assert_eq!(
        scene.decide(data(PORT, 1)),
        Verdict::Reset(ResetReason::NoRoute)
    );
    choice(scene.decide(syn(flow(2, OTHER_PORT), 0)));
}

#[test]
fn a_route_that_changes_its_service_leaves_open_flows_at_their_upstreams() {
    let other = Upstream {
        service: "certvault".into(),
        ..upstream()
    };
    let mut scene = Scene::new().upstream(1, upstream()).upstream(2, other);
    scene.choose(1);
    let moved = configuration(2, &[(PORT, &[("certvault", 1)])]);
    scene.change(Change::Configured(moved));
    assert_eq!(target(scene.decide(data(PORT, 1))).0, 1);
    assert_eq!(scene.choose(2).id, UpstreamId(2));
}

#[test]
fn weights_share_new_flows_among_services() {
    let other = Upstream {
        service: "certvault".into(),
        ..upstream()
    };
    let mut scene = Scene::new().upstream(1, upstream()).upstream(2, other);
    let weighted = configuration(2, &[(PORT, &[(SERVICE, 90), ("certvault", 10)])]);
    scene.change(Change::Configured(weighted));
    let counts = scene.spread(1, 2_000);
    // Four standard deviations of a draw of 2,000 with a tenth each.
    assert!((146..=254).contains(&counts[&2]), "{counts:?}");
}

#[test]
fn the_largest_weights_are_drawn_too() {
    let mut scene = Scene::new().upstream(1, upstream());
    let weighted = configuration(2, &[(PORT, &[(SERVICE, u32::MAX), (SERVICE, u32::MAX)])]);
    scene.change(Change::Configured(weighted));
    assert_eq!(
        scene.spread(1, 50).into_iter().collect::<Vec<_>>(),
        [(1, 50)]
    );
}

#[test]
fn a_target_without_weight_gets_nothing() {
    let other = Upstream {
        service: "certvault".into(),
        ..upstream()
    };
    let mut scene = Scene::new().upstream(1, upstream()).upstream(2, other);
    let weighted = configuration(2, &[(PORT, &[("certvault", 0), (SERVICE, 1)])]);
    scene.change(Change::Configured(weighted));
    assert_eq!(
        scene.spread(1, 50).into_iter().collect::<Vec<_>>(),
        [(1, 50)]
    );
}

#[test]
fn a_packet_goes_to_the_upstream_that_its_label_names_whoever_opened_the_flow() {
    let far = Upstream {
        address: address(9, 9),
        ..upstream()
    };
    let mut scene = Scene::new()
        .upstream(1, upstream())
        .upstream(0x2_0000_0003, far);
    assert_eq!(
        target(scene.decide(data(PORT, 3))),
        (0x2_0000_0003, address(9, 9))
    );
    assert_eq!(
        scene.decide(data(PORT, 4)),
        Verdict::Drop(DropReason::UnknownLabel)
    );
}

#[test]
fn flows_of_an_unlisted_upstream_are_still_forwarded_to_its_address() {
    let mut scene = Scene::new().upstream(1, upstream());
    scene.choose(1);
    scene.change(Change::Unlisted(UpstreamId(1), None));
    assert_eq!(target(scene.decide(data(PORT, 1))), (1, address(1, 8080)));
}

#[test]
fn an_address_that_is_used_again_does_not_draw_the_flows_of_the_old_upstream() {
    let mut scene = Scene::new().upstream(1, upstream());
    scene.choose(1);
    scene.change(Change::Unlisted(UpstreamId(1), None));
    let next = Upstream {
        service: "certvault".into(),
        ..upstream()
    };
    scene.change(Change::Listed(UpstreamId(2), next));
    assert_eq!(target(scene.decide(data(PORT, 1))), (1, address(1, 8080)));
}

#[test]
fn a_callers_reset_reaches_the_upstream_also_when_the_route_is_gone() {
    let mut scene = Scene::new().upstream(1, upstream());
    let reset = Packet {
        kind: Kind::Reset,
        ..data(OTHER_PORT, 1)
    };
    assert_eq!(target(scene.decide(reset)).0, 1);
}
