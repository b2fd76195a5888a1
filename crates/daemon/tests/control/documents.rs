//! Documents come into force on all daemons and never return to an older revision.

use crate::fleet::{
    block_on,
    document,
    until,
    until_all,
    Fleet, //
};
use foxtailhinge::members::ControlEvent;

const SERVICE: &str = "syncdesk-api";

#[test]
fn a_change_reaches_every_daemon() {
    block_on(async {
        let fleet = Fleet::new(&["a", "a", "a", "a", "b", "b"]);
        fleet.list_all();
        let nodes = fleet.start_all();
        for deadline_ms in [1_000, 2_000] {
            let text = document(SERVICE, deadline_ms);
            fleet.platform.publish(SERVICE, &text);
            until_all(&nodes, "the document is in force", |n| {
                n.text(SERVICE).as_ref() == Some(&text)
            })
            .await;
        }
        fleet.platform.remove(SERVICE);
        until_all(&nodes, "the service is removed", |n| {
            n.text(SERVICE).is_none()
        })
        .await;
        assert_eq!(fleet.platform.refused(), 0);
    });
}

#[test]
fn a_daemon_that_cannot_reach_the_platform_gets_documents_from_peers() {
    block_on(async {
        let fleet = Fleet::new(&["a", "a", "b"]);
        let nodes = fleet.start_all();
        nodes[1].control.set_deny(["platform".into()]);
        fleet.platform.publish(SERVICE, &document(SERVICE, 1_000));
        until_all(&nodes, "the document is in force", |n| {
            n.revision(SERVICE) == 1
        })
        .await;
        let source = nodes[1]
            .events
            .borrow()
            .iter()
            .find_map(|event| match event {
                ControlEvent::Document { source, .. } => Some(source.to_string()),
                _ => None,
            });
        assert_ne!(source.as_deref(), Some("platform"));
    });
}

#[test]
fn two_edits_in_a_row_end_on_the_last_everywhere() {
    block_on(async {
        let fleet = Fleet::new(&["a", "a", "b", "b"]);
        let nodes = fleet.start_all();
        for deadline_ms in 1..=20 {
            fleet
                .platform
                .publish(SERVICE, &document(SERVICE, deadline_ms));
        }
        until_all(&nodes, "the last edit is in force", |n| {
            n.revision(SERVICE) == 20
        })
        .await;
        for node in &nodes {
            let applied = node.applied(SERVICE);
            assert!(applied.is_sorted(), "{applied:?}");
        }
    });
}

#[test]
fn a_document_with_findings_is_refused_and_the_last_good_one_stays() {
    block_on(async {
        let fleet = Fleet::new(&["a", "a", "b"]);
        let nodes = fleet.start_all();
        let good = document(SERVICE, 1_000);
        fleet.platform.publish(SERVICE, &good);
        until_all(&nodes, "the document is in force", |n| {
            n.revision(SERVICE) == 1
        })
        .await;
        fleet
            .platform
            .publish(SERVICE, r#"{ "service": "syncdesk-api", "colour": 1 }"#);
        let refused = |n: &crate::fleet::Node| {
            let documents = n.control.documents();
            let entry = documents.entry(SERVICE);
            entry.and_then(|e| e.refusal.as_ref().map(|r| r.revision)) == Some(2)
        };
        until_all(&nodes, "the findings are known", refused).await;
        for node in &nodes {
            assert_eq!(node.text(SERVICE).as_ref(), Some(&good));
        }
        fleet.platform.publish(SERVICE, &document(SERVICE, 3_000));
        until_all(&nodes, "the mended document is in force", |n| {
            n.revision(SERVICE) == 3
        })
        .await;
    });
}

#[test]
fn a_document_that_names_another_service_is_refused() {
    block_on(async {
        let fleet = Fleet::new(&["a"]);
        let nodes = fleet.start_all();
        fleet
            .platform
            .publish(SERVICE, &document("certvault", 1_000));
        until("it is refused", || {
            let documents = nodes[0].control.documents();
            documents
                .entry(SERVICE)
                .is_some_and(|e| e.refusal.is_some())
        })
        .await;
        assert!(nodes[0].control.documents().get("certvault").is_none());
    });
}

#[test]
fn a_platform_that_is_restored_from_a_copy_undoes_nothing_and_is_followed() {
    block_on(async {
        let fleet = Fleet::new(&["a", "a", "b"]);
        fleet.list_all();
        let nodes = fleet.start_all();
        let publish = |deadline_ms| {
            let text = document(SERVICE, deadline_ms);
            fleet.platform.publish(SERVICE, &text);
            text
        };
        publish(1_000);
        fleet
            .platform
            .publish("certvault", &document("certvault", 1_000));
        let mut newest = String::new();
        for deadline_ms in 2_000..2_020 {
            newest = publish(deadline_ms);
        }
        fleet.platform.remove("certvault");
        let has = |text: &str| {
            let text = text.to_owned();
            move |n: &crate::fleet::Node| n.text(SERVICE).as_ref() == Some(&text)
        };
        until_all(&nodes, "the newest document is in force", has(&newest)).await;
        until_all(&nodes, "the other service is removed", |n| {
            n.text("certvault").is_none()
        })
        .await;
        fleet.platform.restore(18);
        // A change of another service shows that the restored platform is followed.
        let other = document("layoutstore", 1_000);
        fleet.platform.publish("layoutstore", &other);
        until_all(
            &nodes,
            "the change after the restoration is in force",
            |n| n.text("layoutstore").as_ref() == Some(&other),
        )
        .await;
        for node in &nodes {
            assert!(has(&newest)(node), "the document does not go back");
            assert!(node.text("certvault").is_none(), "the removal holds");
        }
        let again = publish(9_000);
        until_all(&nodes, "a new document is in force", has(&again)).await;
    });
}
