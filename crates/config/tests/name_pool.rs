//! Names that documents have in common are held once.

use foxtailhinge_config::{
    document::ServiceDocument,
    name_pool::NamePool, //
};
use std::sync::Arc;

/// Text of a document whose zones and route other documents have too.
fn text(service: usize) -> String {
    format!(
        r#"{{
  "service": "syncdesk-{service}",
  "address": "10.20.0.1:5601",
  "zones": {{ "windhoek-1": "in", "windhoek-2": "out" }},
  "upstreams": [ {{ "name": "vm", "address": "10.21.0.1:5683", "zone": "windhoek-2", "slots": 4, "connections": 10 }} ],
  "routes": [ {{ "path": "/clearances" }} ]
}}"#
    )
}

fn document(service: usize, names: &mut NamePool) -> ServiceDocument {
    let mut document = ServiceDocument::parse("test", &text(service)).unwrap();
    document.intern_names(names);
    document
}

#[test]
fn an_upstream_has_the_name_of_its_zone_from_the_list_of_zones() {
    let document = ServiceDocument::parse("test", &text(0)).unwrap();
    let listed = &document.zones[1].name;
    assert!(Arc::ptr_eq(listed, &document.upstreams[0].zone));
}

#[test]
fn zones_and_paths_of_two_documents_are_held_once() {
    let mut names = NamePool::default();
    let (one, other) = (document(1, &mut names), document(2, &mut names));
    for at in 0..2 {
        assert!(Arc::ptr_eq(&one.zones[at].name, &other.zones[at].name));
    }
    assert!(Arc::ptr_eq(&one.upstreams[0].zone, &other.zones[1].name));
    assert!(Arc::ptr_eq(&one.routes[0].path, &other.routes[0].path));
}

#[test]
fn sharing_changes_no_name() {
    let alone = ServiceDocument::parse("test", &text(1)).unwrap();
    let mut names = NamePool::default();
    document(2, &mut names);
    assert_eq!(document(1, &mut names), alone);
}

#[test]
fn names_that_nobody_has_any_more_are_forgotten() {
    let mut names = NamePool::default();
    let mut kept: Arc<str> = "kept".into();
    names.intern(&mut kept);
    for i in 0..10_000 {
        names.intern(&mut format!("zone-{i}").into());
    }
    let mut again: Arc<str> = "kept".into();
    names.intern(&mut again);
    assert!(Arc::ptr_eq(&kept, &again));
    assert!(names.len() < 1_000);
}
