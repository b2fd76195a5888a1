//! Messages between the daemons of a zone: round trips, size, and decoding of untrusted bytes.

use foxtailhinge::packets::zone::{
    change_set::{
        ChangeRecord,
        ItemRecord, //
    },
    load_record::{
        LoadRecordError,
        PoolRecord,
        ReporterRecord,
        ServiceRecord, //
    },
    message::{
        decode,
        encode, //
    },
    ChangeSetRecord,
    LoadRecord,
    ZoneReply,
    ZoneRequest, //
};
use foxtailhinge_policy::packets::{
    AgedReport,
    Change,
    ChangeSet,
    Configuration,
    ConfigurationDelta,
    ConfigurationId,
    Counts,
    Evacuation,
    Item,
    LoadReport,
    Pool,
    Reporter,
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
use std::time::{
    Duration,
    Instant, //
};

/// Generated cases of each property.
const CASES: u64 = 20_000;
/// Seed of the generator.
const SEED: u64 = 3;
/// Longest generated input, in bytes.
const INPUT_MAX: usize = 300;
/// Largest encoded size of one upstream, in bytes.
const UPSTREAM_BYTES_MAX: usize = 40;
/// Largest encoded size of the load of one service in one zone, in bytes, with names and values of a busy daemon.
const POOL_BYTES_MAX: usize = 50;
/// Largest encoded size of a load report, in bytes.
const LOAD_BYTES_MAX: usize = 11 << 10;

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
        delta: None,
        evacuations: vec![Evacuation {
            zone: "whk-b".into(),
            version: Version::new(1, 77),
            is_in_force: true,
        }],
    }
}

/// The difference between two configurations.
fn delta() -> ChangeSet {
    let Change::Configured(cfg) = configuration().change else {
        unreachable!("the entry is a configuration");
    };
    let id = |revision| ConfigurationId {
        written: Version::new(2, revision),
        version: revision,
    };
    ChangeSet {
        delta: Some(ConfigurationDelta {
            base: id(290_000),
            id: id(300_000),
            changed: cfg.routes.into_iter().collect(),
            removed: vec!["10.9.0.2:443".parse().unwrap()],
            awaits_write: true,
        }),
        items: Vec::new(),
        is_whole: false,
        ..change_set(0)
    }
}

#[test]
fn a_change_set_round_trips() {
    let change_set = change_set(30);
    let record: ChangeSetRecord = decode(&encode(&ChangeSetRecord::new(&change_set))).unwrap();
    assert_eq!(record.decode().unwrap(), change_set);
}

#[test]
fn a_difference_between_configurations_round_trips() {
    let change_set = delta();
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
    let mut record = ChangeSetRecord::new(&delta());
    record.names.pop();
    assert!(record.decode().is_err());
}

fn load_counts(number: usize) -> Counts {
    let events = number as f64 + 1.0;
    Counts {
        opened: events * 9.0,
        failed: events / 8.0,
        connects: events * 8.5,
        connect_s: events / 16.0,
        answers: events * 8.0,
        service_s: events / 5.0,
        refusals: events,
        refusal_s: events / 250.0,
    }
}

/// Report of two daemons with traffic to `services` services in two zones each.
fn load(services: usize) -> AgedReport {
    let names = (0..services).map(|number| format!("syncdesk-{number:02}"));
    let pools = names.flat_map(|service| {
        ["whk-a", "whk-b"].map(|zone| Pool {
            service: (*service).into(),
            zone: zone.into(),
        })
    });
    AgedReport {
        report: LoadReport {
            daemons: 2,
            pools: (0..)
                .zip(pools)
                .map(|(number, pool)| (pool, load_counts(number)))
                .collect(),
            admitted: [("certvault".into(), 0.25), ("syncdesk-00".into(), 0.0)]
                .into_iter()
                .collect(),
            baseline_s: [("syncdesk-00".into(), 0.02)].into_iter().collect(),
        },
        age: Duration::from_millis(120),
    }
}

fn load_record(services: usize) -> LoadRecord {
    LoadRecord::new("vm-1", Reporter::Follower, &load(services))
}

// Guards against a field that is left out, mixed up with another one, or scaled differently by the two directions.
#[test]
fn a_load_report_round_trips() {
    let sent = Instant::now();
    let request = ZoneRequest::Load(load_record(2));
    let Some(ZoneRequest::Load(record)) = decode(&encode(&request)) else {
        panic!("the request decodes to a load report");
    };
    assert_eq!(record.vm, "vm-1");
    assert_eq!(record.reporter, ReporterRecord::Follower);
    let (report, at) = record.decode(sent).unwrap();
    assert_eq!(sent - at, Duration::from_millis(120));
    let original = load(2).report;
    assert_eq!(report.daemons, original.daemons);
    for (pool, counts) in &original.pools {
        assert_eq!(report.counts(&pool.service, &pool.zone), *counts);
    }
    assert_eq!(report.pools.len(), original.pools.len());
    for service in ["certvault", "syncdesk-00", "syncdesk-01"] {
        assert_eq!(report.admitted(service), original.admitted(service));
    }
}

// Guards against reports that exceed the traffic allowed between daemons.
#[test]
fn a_load_report_is_encoded_compactly() {
    let len = |services| encode(&ZoneRequest::Load(load_record(services))).len();
    let each = (len(12) - len(2)) / 20;
    assert!(each <= POOL_BYTES_MAX, "{each} bytes");
}

// Guards against a report of unbounded length, and against one that leaves out the busiest pools.
#[test]
fn a_long_load_report_is_cut_to_the_busiest_pools() {
    let mut aged = load(100);
    let long: String = "n".repeat(128);
    for (number, (pool, counts)) in aged.report.pools.iter_mut().enumerate() {
        pool.service = format!("{number:03}{}", &long[3..]).as_str().into();
        pool.zone = long.as_str().into();
        *counts = load_counts(number * 100) * 1e9;
    }
    aged.report.daemons = 1_024;
    let record = LoadRecord::new(&long, Reporter::Peer, &aged);
    let zones = record.services.iter().map(|service| service.pools.len());
    assert_eq!(zones.sum::<usize>(), 32);
    let names = record.services.iter().map(|service| &service.name[..3]);
    assert!(names.clone().all(|name| name >= "168"), "{names:?}");
    let bytes = encode(&ZoneRequest::Load(record)).len();
    assert!(bytes <= LOAD_BYTES_MAX, "{bytes} bytes");
    let too_long = Pool {
        service: "n".repeat(129).as_str().into(),
        zone: "whk-a".into(),
    };
    aged.report.pools = [(too_long, load_counts(1))].into_iter().collect();
    let record = LoadRecord::new("vm-1", Reporter::Peer, &aged);
    assert!(record.services.iter().all(|one| one.pools.is_empty()));
}

// Guards against values that overflow or are not numbers, which must not end the daemon that sends them.
#[test]
fn values_out_of_range_saturate() {
    let mut aged = load(1);
    aged.report.pools[0].1 = Counts {
        opened: f64::MAX,
        failed: f64::NAN,
        connects: -1.0,
        connect_s: f64::INFINITY,
        ..Counts::default()
    };
    aged.age = Duration::MAX;
    let record = LoadRecord::new("vm-1", Reporter::Peer, &aged);
    assert_eq!(record.age_ms, u32::MAX);
    let service = &record.services[1];
    let expected = PoolRecord {
        zone: "whk-a".into(),
        opened: u64::MAX,
        connect_us: u64::MAX,
        ..PoolRecord::default()
    };
    assert!(service.pools.contains(&expected), "{service:?}");
    assert_eq!(
        record.decode(Instant::now()),
        Err(LoadRecordError::Implausible)
    );
}

// Guards against false or old values of another daemon that enter the sums, and against lists that take much memory.
#[test]
fn a_load_report_that_cannot_be_true_is_rejected() {
    fn decoded(change: fn(&mut LoadRecord)) -> LoadRecordError {
        let mut record = load_record(2);
        change(&mut record);
        record.decode(Instant::now()).unwrap_err()
    }
    use LoadRecordError::{
        Expired,
        Implausible,
        LongName,
        TooLong, //
    };
    let busy = |record: &mut LoadRecord| record.services[1].pools[0].opened = u64::MAX;
    assert_eq!(decoded(busy), Implausible);
    let refusing = |record: &mut LoadRecord| record.services[1].pools[0].refusals = 1_000_000;
    assert_eq!(decoded(refusing), Implausible);
    let admitting = |record: &mut LoadRecord| record.services[1].admitted = Some(10_001);
    assert_eq!(decoded(admitting), Implausible);
    assert_eq!(decoded(|record| record.daemons = 0), Implausible);
    assert_eq!(decoded(|record| record.daemons = u32::MAX), Implausible);
    assert_eq!(decoded(|record| record.age_ms = 1_000), Expired);
    assert_eq!(decoded(|record| record.age_ms = u32::MAX), Expired);
    let named = |record: &mut LoadRecord| record.services[1].pools[0].zone = "z".repeat(129);
    assert_eq!(decoded(named), LongName);
    let named = |record: &mut LoadRecord| record.services[1].name = "n".repeat(129);
    assert_eq!(decoded(named), LongName);
    let many = |record: &mut LoadRecord| {
        record.services[1].pools = vec![PoolRecord::default(); 33];
    };
    assert_eq!(decoded(many), TooLong);
    let many = |record: &mut LoadRecord| {
        let service = ServiceRecord {
            baseline_us: None,
            name: "certvault".into(),
            admitted: None,
            pools: Vec::new(),
        };
        record.services = vec![service; 33];
    };
    assert_eq!(decoded(many), TooLong);
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
        if let Some(ZoneRequest::Load(record)) = decode::<ZoneRequest>(&bytes) {
            let _ = record.decode(Instant::now());
        }
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

// Guards against a damaged load report that ends the daemon, or that passes with values out of range.
#[test]
fn a_changed_byte_of_a_load_report_is_decoded_or_rejected() {
    fn property(at: usize, to: u8) -> bool {
        let mut bytes = encode(&ZoneRequest::Load(load_record(3)));
        let at = at % bytes.len();
        bytes[at] = to;
        let Some(ZoneRequest::Load(record)) = decode(&bytes) else {
            return true;
        };
        let decoded = record.decode(Instant::now()).ok();
        decoded.is_none_or(|(report, _)| report.is_plausible())
    }
    check(property as fn(usize, u8) -> bool);
}

fn check<A: quickcheck::Testable>(property: A) {
    let gen = Gen::from_size_and_seed(INPUT_MAX, SEED);
    QuickCheck::new().rng(gen).tests(CASES).quickcheck(property);
}
