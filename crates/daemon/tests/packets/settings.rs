//! Settings that change while the daemon runs.

use crate::scene::Scene;

#[test]
fn settings_are_reloaded_on_a_signal() {
    let scene = Scene::start();
    scene
        .edit_settings(0, |text| text.replace("2500", "3000"))
        .unwrap();
    scene.reload(0);
    scene
        .wait_until("the settings are in force", |f| {
            f.events(0, "settings_reloaded").len() == 1
        })
        .unwrap();
    assert!(scene.events(0, "settings_reloaded")[0].contains("cause=signal"));
    scene.reload(0);
    scene.run(300);
    assert_eq!(
        scene.events(0, "settings_reloaded").len(),
        1,
        "nothing has changed"
    );
    assert!(scene.status(0).unwrap().ready);
}

/// Operators switch rejections off while the daemon runs; the log must show what is in force from then on.
#[test]
fn the_handling_of_overload_changes_with_a_reload() {
    let scene = Scene::start();
    scene
        .edit_settings(0, |text| {
            text.replace(
                "\"limits\"",
                "\"load\": { \"shed\": false, \"zone_price_ms\": 20 }, \"limits\"",
            )
        })
        .unwrap();
    scene.reload(0);
    scene
        .wait_until("the settings are in force", |f| {
            f.events(0, "settings_reloaded").len() == 1
        })
        .unwrap();
    let line = &scene.events(0, "settings_reloaded")[0];
    assert!(
        line.contains("shed=false spill=true zone_price_ms=20"),
        "{line}"
    );
}

#[test]
fn settings_are_reloaded_without_a_signal() {
    let scene = Scene::start();
    scene
        .edit_settings(0, |text| text.replace("\"vm-1\"", "\"vm-9\""))
        .unwrap();
    scene
        .wait_until("the settings are in force", |f| {
            f.events(0, "settings_reloaded").len() == 1
        })
        .unwrap();
    let line = &scene.events(0, "settings_reloaded")[0];
    assert!(
        line.contains("cause=file") && line.contains("after_restart=vm"),
        "{line}"
    );
    assert_eq!(&*scene.status(0).unwrap().vm, "vm-1");
}

#[test]
fn settings_with_findings_are_refused_as_a_whole_and_the_daemon_keeps_running() {
    let mut scene = Scene::start().load(2, 5.0);
    let invalidate = |text: String| {
        text.replace("2500", "1")
            .replace("\"grace_s\"", "\"grace\"")
    };
    scene.edit_settings(0, invalidate).unwrap();
    scene.reload(0);
    scene
        .wait_until("the settings are refused", |f| {
            f.events(0, "settings_refused").len() == 1
        })
        .unwrap();
    let line = &scene.events(0, "settings_refused")[0];
    assert!(
        line.contains("unknown field") && line.contains("Write a number from 100 to 600000."),
        "{line}"
    );
    scene.run(1_000);
    let report = scene.finish();
    assert_eq!((report.unanswered(), report.resets()), (0, 0));
}
