//! Messages between the daemons of a zone: bytes from outside.

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
    Target,
    Upstream,
    UpstreamId,
    UpstreamState, //
};
use quickcheck::{
    Gen,
    QuickCheck, //
};
use std::time::Duration;

/// Cases of each property.
const CASES: u64 = 20_000;
/// Seed of all cases.
const SEED: u64 = 3;
/// Longest input in bytes.
const SIZE: usize = 300;
/// Most bytes that an upstream may take in a message.
const UPSTREAM_BYTES: usize = 40;

fn item(revision: u64, change: Change, key: &str) -> Item {
    Item {
        key: key.into(),
        revision,
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
    };
    let cfg = Configuration {
        version: 19,
        routes: [("10.9.0.1:443".parse().unwrap(), route)].into(),
    };
    item(7, Change::Configured(cfg), "configuration")
}

fn news(upstreams: u64) -> ChangeSet {
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
        revision: 300_000,
        is_whole: true,
        items,
    }
}

#[test]
fn news_are_read_as_they_were_written() {
    let news = news(30);
    let record: ChangeSetRecord = decode(&encode(&ChangeSetRecord::new(&news))).unwrap();
    assert_eq!(record.decode().unwrap(), news);
}

#[test]
fn an_upstream_takes_few_bytes() {
    let len = |upstreams| encode(&ChangeSetRecord::new(&news(upstreams))).len();
    let each = (len(1_010) - len(10)) / 1_000;
    assert!(each <= UPSTREAM_BYTES, "{each} bytes");
}

#[test]
fn a_name_that_is_not_there_is_refused() {
    let mut record = ChangeSetRecord::new(&news(3));
    record.names.pop();
    assert!(record.decode().is_err());
    let zone = ChangeRecord::Zone {
        zone: u32::MAX,
        out: true,
    };
    record.items = vec![ItemRecord {
        revision: 1,
        change: zone,
    }];
    assert!(record.decode().is_err());
}

#[test]
fn a_message_of_another_version_is_none() {
    let mut bytes = encode(&ZoneRequest::Meet(Vec::new()));
    assert!(decode::<ZoneRequest>(&bytes).is_some());
    bytes[0] += 1;
    assert!(decode::<ZoneRequest>(&bytes).is_none());
}

#[test]
fn bytes_that_are_left_over_make_a_message_none() {
    let mut bytes = encode(&ZoneRequest::Meet(Vec::new()));
    bytes.push(0);
    assert!(decode::<ZoneRequest>(&bytes).is_none());
}

#[test]
fn any_bytes_are_read_or_refused() {
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
fn a_changed_byte_is_read_or_refused() {
    fn property(at: usize, to: u8) -> bool {
        let mut bytes = encode(&ChangeSetRecord::new(&news(5)));
        let at = at % bytes.len();
        bytes[at] = to;
        let Some(Ok(news)) = decode::<ChangeSetRecord>(&bytes).map(|record| record.decode()) else {
            return true;
        };
        // What can be read is as long as the bytes allow.
        news.items.len() <= bytes.len()
    }
    check(property as fn(usize, u8) -> bool);
}

fn check<A: quickcheck::Testable>(property: A) {
    let gen = Gen::from_size_and_seed(SIZE, SEED);
    QuickCheck::new().rng(gen).tests(CASES).quickcheck(property);
}
