//! Messages between the daemons of a zone: round trips, size, and decoding of untrusted bytes.

use foxtailhinge::packets::zone::{
    change_set::{
        ChangeRecord,
        ItemRecord, //
    },
    message::{
        decode,
        encode, //
    },
    ChangeSetRecord,
    ZoneReply,
    ZoneRequest, //
};
use foxtailhinge_policy::packets::{
    Change,
    ChangeSet,
    Configuration,
    Item,
    Route,
    Seniority,
    Target,
    Upstream,
    UpstreamId,
    UpstreamState,
    Version, //
};
use quickcheck::{
    Gen,
    QuickCheck, //
};
use std::time::Duration;

/// Generated cases of each property.
const CASES: u64 = 20_000;
/// Seed of the generator.
const SEED: u64 = 3;
/// Longest generated input, in bytes.
const INPUT_MAX: usize = 300;
/// Largest encoded size of one upstream, in bytes.
const UPSTREAM_BYTES_MAX: usize = 40;

fn item(revision: u64, change: Change, key: &str) -> Item {
    Item {
        key: key.into(),
        version: Version::new(2, revision),
        change,
    }
}

fn upstream(number: u64) -> Item {
    let id = UpstreamId(0x7f3a_0000 + number * 7919);
    let upstream = Upstream {
        service: ["syncdesk-api", "certvault"][number as usize % 2].into(),
        address: format!("10.3.{}.{}:8080", number / 250, number % 250)
            .parse()
            .unwrap(),
        zone: ["whk-a", "whk-b", "whk-c"][number as usize % 3].into(),
        slots: 8,
        state: match number % 5 {
            0 => UpstreamState::Draining,
            _ => UpstreamState::Serving,
        },
        warmup_left: Duration::from_millis(number * 37),
        seniority: Seniority {
            started_ms: 1_790_000_000_000 + number,
            created: number,
        },
    };
    item(
        200_000 + number,
        Change::Listed(id, upstream),
        &id.to_string(),
    )
}

fn configuration() -> Item {
    let route = Route {
        name: "sync".into(),
        targets: [("syncdesk-api", 9), ("certvault", 1)]
            .into_iter()
            .map(|(service, weight)| Target {
                service: service.into(),
                weight,
            })
            .collect(),
        target_latency: Duration::from_millis(150),
        is_idempotent: true,
        priority: 1,
    };
    let cfg = Configuration {
        version: 19,
        routes: [("10.9.0.1:443".parse().unwrap(), route)].into(),
    };
    item(7, Change::Configured(cfg), "configuration")
}

fn change_set(upstreams: u64) -> ChangeSet {
    let mut items: Vec<_> = (0..upstreams).map(upstream).collect();
    items.push(configuration());
    let zone = Change::Zone {
        zone: "whk-b".into(),
        out: true,
    };
    items.push(item(9, zone, "whk-b"));
    let gone = UpstreamId(77);
    items.push(item(11, Change::Unlisted(gone, None), &gone.to_string()));
    ChangeSet {
        version: Version::new(2, 300_000),
        era_start: Version::new(2, 100_000),
        before_era: Version::new(1, 120_000),
        is_whole: true,
        awaited: vec![item(
            300_000,
            Change::Unlisted(gone, None),
            &gone.to_string(),
        )],
        items,
    }
}

#[test]
fn a_change_set_round_trips() {
    let change_set = change_set(30);
    let record: ChangeSetRecord = decode(&encode(&ChangeSetRecord::new(&change_set))).unwrap();
    assert_eq!(record.decode().unwrap(), change_set);
}

#[test]
fn an_upstream_is_encoded_compactly() {
    let len = |upstreams| encode(&ChangeSetRecord::new(&change_set(upstreams))).len();
    let each = (len(1_010) - len(10)) / 1_000;
    assert!(each <= UPSTREAM_BYTES_MAX, "{each} bytes");
}

#[test]
fn an_index_past_the_name_table_is_rejected() {
    let mut record = ChangeSetRecord::new(&change_set(3));
    record.names.pop();
    assert!(record.decode().is_err());
    let zone = ChangeRecord::Zone {
        zone: u32::MAX,
        out: true,
    };
    record.items = vec![ItemRecord {
        version: Version::new(1, 1).into(),
        change: zone,
    }];
    assert!(record.decode().is_err());
}

#[test]
fn a_message_of_another_version_is_rejected() {
    let mut bytes = encode(&ZoneRequest::Meet(Vec::new()));
    assert!(decode::<ZoneRequest>(&bytes).is_some());
    bytes[0] += 1;
    assert!(decode::<ZoneRequest>(&bytes).is_none());
}

#[test]
fn trailing_bytes_are_rejected() {
    let mut bytes = encode(&ZoneRequest::Meet(Vec::new()));
    bytes.push(0);
    assert!(decode::<ZoneRequest>(&bytes).is_none());
}

#[test]
fn any_bytes_are_decoded_or_rejected() {
    fn property(mut bytes: Vec<u8>, is_versioned: bool) -> bool {
        if let (true, Some(first)) = (is_versioned, bytes.first_mut()) {
            *first = encode(&())[0];
        }
        let _ = decode::<ZoneRequest>(&bytes);
        if let Some(ZoneReply::Changes(changes)) = decode::<ZoneReply>(&bytes) {
            let _ = changes.news.decode();
        }
        true
    }
    check(property as fn(Vec<u8>, bool) -> bool);
}

#[test]
fn a_changed_byte_is_decoded_or_rejected() {
    fn property(at: usize, to: u8) -> bool {
        let mut bytes = encode(&ChangeSetRecord::new(&change_set(5)));
        let at = at % bytes.len();
        bytes[at] = to;
        let Some(Ok(change_set)) = decode::<ChangeSetRecord>(&bytes).map(|record| record.decode())
        else {
            return true;
        };
        // A decoded message has no more items than bytes.
        change_set.items.len() <= bytes.len()
    }
    check(property as fn(usize, u8) -> bool);
}

fn check<A: quickcheck::Testable>(property: A) {
    let gen = Gen::from_size_and_seed(INPUT_MAX, SEED);
    QuickCheck::new().rng(gen).tests(CASES).quickcheck(property);
}
