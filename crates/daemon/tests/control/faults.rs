//! Faults of the platform and of the network between daemons, alone and in pairs.

use crate::fleet::{
    block_on,
    document,
    until_all,
    vm,
    Fleet,
    Node,
    Start, //
};
use rstest::rstest;

const SERVICE: &str = "countkeeper";

/// Fault during a change of a document.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// The platform is down before the last daemon starts.
    PlatformDown,
    /// The platform answers with its state before the change.
    PlatformStale,
    /// The platform is replaced by one with older revisions than it returned before.
    PlatformGoesBack,
    /// The last daemon is disconnected from all others and the platform during the change.
    CutOff,
    /// The last daemon is disconnected only from the platform.
    CutOffFromPlatform,
    /// The change is a removal.
    Removal,
}

use Fault::{
    CutOff,
    CutOffFromPlatform,
    PlatformDown,
    PlatformGoesBack,
    PlatformStale,
    Removal, //
};

/// After the faults all daemons agree on the newest revision that any of them had, and no daemon has
/// returned to an older revision.
#[rstest]
#[case::platform_down(&[PlatformDown])]
#[case::platform_stale(&[PlatformStale])]
#[case::platform_goes_back(&[PlatformGoesBack])]
#[case::uneven_arrival(&[CutOff])]
#[case::one_without_platform(&[CutOffFromPlatform])]
#[case::removal(&[Removal])]
#[case::old_copy_after_removal(&[Removal, CutOff])]
#[case::removal_then_platform_down(&[Removal, PlatformDown])]
#[case::removal_then_platform_goes_back(&[Removal, PlatformGoesBack])]
#[case::cut_off_and_stale(&[CutOff, PlatformStale])]
#[case::cut_off_and_platform_down(&[CutOff, PlatformDown])]
#[case::cut_off_twice(&[CutOff, CutOff])]
#[case::goes_back_and_cut_off(&[PlatformGoesBack, CutOff])]
#[case::goes_back_twice(&[PlatformGoesBack, PlatformGoesBack])]
fn documents_survive(#[case] faults: &[Fault]) {
    block_on(async {
        let mut fleet = Fleet::new(&["a", "a", "b", "b"]);
        let mut nodes = fleet.start_all();
        let mut deadline_ms = 1;
        fleet
            .platform
            .publish(SERVICE, &document(SERVICE, deadline_ms));
        until_all(&nodes, "the first document is in force", |n| {
            n.revision(SERVICE) == 1
        })
        .await;
        let last = nodes.len() - 1;
        let mut newest = 1;
        for &fault in faults {
            deadline_ms += 1;
            newest = inject(fault, &mut fleet, &mut nodes, newest, deadline_ms).await;
            nodes[last].control.set_deny([]);
            until_all(&nodes, "all agree on the newest revision", |n| {
                n.revision(SERVICE) == newest
            })
            .await;
        }
        let texts: Vec<_> = nodes.iter().map(|n| n.text(SERVICE)).collect();
        assert!(texts.iter().all(|t| *t == texts[0]), "{texts:?}");
        for node in &nodes {
            let applied = node.applied(SERVICE);
            assert!(applied.is_sorted(), "{applied:?}");
        }
    });
}

/// Injects a fault around a change and returns the revision that must be in force after it.
async fn inject(
    fault: Fault,
    fleet: &mut Fleet,
    nodes: &mut [Node],
    newest: u64,
    deadline_ms: u64,
) -> u64 {
    let last = nodes.len() - 1;
    let text = document(SERVICE, deadline_ms);
    match fault {
        PlatformDown => {
            fleet.platform.stop();
            nodes[last].kill().await;
            nodes[last] = fleet.start(&Start::new(last, [0]));
            newest
        }
        PlatformStale => {
            fleet.platform.stale(true);
            fleet.platform.publish(SERVICE, &text);
            fleet.platform.stale(false);
            newest + 1
        }
        PlatformGoesBack => {
            fleet.replace_platform();
            fleet.platform.publish(SERVICE, &text);
            nodes[last].kill().await;
            nodes[last] = fleet.start(&Start::new(last, [0]));
            newest
        }
        CutOff => {
            let mut names: Vec<_> = (0..last).map(vm).collect();
            names.push("platform".into());
            nodes[last].control.set_deny(names);
            let newest = publish_newer(fleet, newest, &text);
            let others = &nodes[..last];
            until_all(others, "the others have the change", |n| {
                n.revision(SERVICE) == newest
            })
            .await;
            assert!(nodes[last].revision(SERVICE) < newest);
            newest
        }
        CutOffFromPlatform => {
            nodes[last].control.set_deny(["platform".into()]);
            publish_newer(fleet, newest, &text)
        }
        Removal => fleet.platform.remove(SERVICE),
    }
}

/// Publishes until the platform, which may have older revisions, returns a newer revision than `newest`.
fn publish_newer(fleet: &Fleet, newest: u64, text: &str) -> u64 {
    loop {
        let revision = fleet.platform.publish(SERVICE, text);
        if revision > newest {
            return revision;
        }
    }
}
