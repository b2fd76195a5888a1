//! Audit trail and metrics.

use foxtailhinge::{
    audit::{
        Audit,
        AuditEvent,
        AuditQuery,
        AUDIT_RECORDS_MAX, //
    },
    metrics::{
        DatagramResult,
        FlowEnd,
        HandOverResult,
        Label,
        MemberState,
        Metrics,
        PlatformResult,
        RequestOutcome,
        UpstreamState, //
    },
};
use foxtailhinge_config::finding::Finding;
use rstest::rstest;
use std::time::SystemTime;

fn applied(service: &str, revision: u64) -> AuditEvent {
    let service = service.into();
    AuditEvent::DocumentApplied { service, revision }
}

fn seqs(audit: &Audit, since: u64, service: Option<&str>, max: usize) -> Vec<u64> {
    let records = audit.since(since, service, max);
    records.iter().map(|r| r.seq).collect()
}

#[rstest]
#[case::all(0, None, 9, vec![1, 2, 3, 4])]
#[case::later(2, None, 9, vec![3, 4])]
#[case::bounded(0, None, 2, vec![1, 2])]
#[case::service(0, Some("a"), 9, vec![1, 3])]
#[case::service_bounded(0, Some("a"), 1, vec![1])]
#[case::other_service(0, Some("c"), 9, vec![])]
#[case::future(99, None, 9, vec![])]
#[case::largest(u64::MAX, None, 9, vec![])]
fn records_are_selected(
    #[case] since: u64,
    #[case] service: Option<&str>,
    #[case] max: usize,
    #[case] expected: Vec<u64>,
) {
    let audit = Audit::new(1);
    audit.record(applied("a", 1));
    audit.record(applied("b", 2));
    audit.record(applied("a", 3));
    audit.record(AuditEvent::Stopping);
    assert_eq!(seqs(&audit, since, service, max), expected);
}

#[test]
fn only_the_last_records_are_kept() {
    let audit = Audit::new(1);
    let written = 3 * AUDIT_RECORDS_MAX as u64 / 2;
    for revision in 1..=written {
        audit.record(applied("a", revision));
    }
    let kept = audit.page(&AuditQuery::default()).records;
    assert_eq!(kept.len(), AUDIT_RECORDS_MAX);
    assert_eq!(kept[0].seq, written - AUDIT_RECORDS_MAX as u64 + 1);
    assert_eq!(kept[AUDIT_RECORDS_MAX - 1].seq, written);
}

#[test]
fn each_event_is_one_line_and_one_json_object() {
    let finding = Finding {
        file: "a".into(),
        line: 2,
        column: 3,
        message: "Write \"in\"\nor \"out\".".to_string(),
    };
    let (service, zone, upstream) = ("a", "z", "u");
    let events = [
        applied(service, 1),
        AuditEvent::DocumentRefused {
            service: service.into(),
            revision: 2,
            findings: vec![finding.clone(), finding],
        },
        AuditEvent::DocumentRemoved {
            service: service.into(),
            revision: 3,
        },
        AuditEvent::ZoneOut {
            service: service.into(),
            zone: zone.into(),
        },
        AuditEvent::ZoneIn {
            service: service.into(),
            zone: zone.into(),
        },
        AuditEvent::UpstreamState {
            service: service.into(),
            upstream: upstream.into(),
            from: UpstreamState::Warm,
            to: UpstreamState::Gone,
        },
        AuditEvent::OwnerMoved {
            service: service.into(),
            upstream: upstream.into(),
            from: Some("vm-1".into()),
            to: None,
        },
        AuditEvent::MemberState {
            vm: "vm-1".into(),
            state: MemberState::Leaving,
            incarnation: Some(7),
        },
        AuditEvent::FleetFenced,
        AuditEvent::FleetRejoined,
        AuditEvent::Stopping,
    ];
    let audit = Audit::new(1);
    for event in events {
        audit.record_at(SystemTime::UNIX_EPOCH, event);
    }
    let lines = audit
        .since(0, None, AUDIT_RECORDS_MAX)
        .into_iter()
        .map(|record| {
            let line = record.event.to_string();
            assert!(!line.contains('\n'));
            let json = serde_json::to_string(&record).unwrap();
            assert_eq!(
                serde_json::from_str::<foxtailhinge::audit::AuditRecord>(&json).unwrap(),
                record
            );
            format!("{line}\n    {json}")
        });
    insta::assert_snapshot!(lines.collect::<Vec<_>>().join("\n"));
}

/// Names of services and VMs come from the platform and can be any string.
#[rstest]
#[case::plain("a-b_c.1", "event=zone-in service=a-b_c.1 zone=z")]
#[case::blank("a zone=b", r#"event=zone-in service="a zone=b" zone=z"#)]
#[case::line(
    "a\nevent=stopping",
    r#"event=zone-in service="a\nevent=stopping" zone=z"#
)]
#[case::empty("", r#"event=zone-in service="" zone=z"#)]
fn a_name_cannot_forge_a_pair_or_a_line(#[case] service: &str, #[case] line: &str) {
    let event = AuditEvent::ZoneIn {
        service: service.into(),
        zone: "z".into(),
    };
    assert_eq!(event.to_string(), line);
}

#[test]
fn a_fresh_daemon_shows_every_time_series_at_zero() {
    insta::assert_snapshot!(Metrics::new().render());
}

fn assert_labels<L: Label + PartialEq + std::fmt::Debug>() {
    for (i, label) in L::ALL.iter().enumerate() {
        assert_eq!(label.index(), i);
        assert_eq!(
            L::ALL
                .iter()
                .filter(|l| l.label_value() == label.label_value())
                .count(),
            1
        );
    }
}

#[test]
fn labels_are_at_their_index() {
    assert_labels::<DatagramResult>();
    assert_labels::<FlowEnd>();
    assert_labels::<RequestOutcome>();
    assert_labels::<PlatformResult>();
    assert_labels::<HandOverResult>();
    assert_labels::<MemberState>();
    assert_labels::<UpstreamState>();
}

#[test]
fn counters_and_gauges_are_independent() {
    let metrics = Metrics::new();
    metrics.requests.inc(RequestOutcome::NotRun);
    metrics.requests.inc_by(RequestOutcome::Unknown, 3);
    metrics.members.set(MemberState::Dead, 9);
    metrics
        .members
        .count([MemberState::Live, MemberState::Live, MemberState::Suspect]);
    let rendered = metrics.render();
    for line in [
        "foxtailhinge_requests_total{outcome=\"answered\"} 0",
        "foxtailhinge_requests_total{outcome=\"not_run\"} 1",
        "foxtailhinge_requests_total{outcome=\"unknown\"} 3",
        "foxtailhinge_members{state=\"live\"} 2",
        "foxtailhinge_members{state=\"suspect\"} 1",
        "foxtailhinge_members{state=\"dead\"} 0",
    ] {
        assert!(rendered.lines().any(|l| l == line), "{line}");
    }
    assert_eq!(Metrics::new().requests.get(RequestOutcome::Unknown), 0);
}
