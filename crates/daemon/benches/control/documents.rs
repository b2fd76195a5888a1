//! Memory and time of the documents in force.

use crate::{
    fleet::{
        Fleet,
        Start, //
    },
    meter::{
        live_bytes,
        print,
        time,
        us, //
    },
};
use foxtailhinge::members::{
    Control,
    Source, //
};
use foxtailhinge_policy::rendezvous::BUCKETS;
use foxtailhinge_wire::message::DocumentRecord;
use std::{
    hint::black_box,
    rc::Rc, //
};

/// Returns a document with two upstreams, the average of 13,000 servers behind 7,300 addresses.
pub(crate) fn record(i: usize, revision: u64) -> DocumentRecord {
    let (x, y) = (i / 200, i % 200);
    let text = format!(
        r#"{{
  // Clearance desk of agency {i}. Ask desk-oncall before taking a zone out.
  "service": "syncdesk-api-{i:04}",
  "address": "10.2.{x}.{y}:5601",
  "zones": {{ "windhoek-1": "in", "windhoek-2": "in" }},
  "upstreams": [
    {{ "name": "syncdesk-{i:04}-1", "address": "10.3.{x}.{y}:5683", "zone": "windhoek-1", "slots": 4, "connections": 2000 }},
    {{ "name": "syncdesk-{i:04}-2", "address": "10.4.{x}.{y}:5683", "zone": "windhoek-2", "slots": 4, "connections": 2000 }}
  ],
  "cold_start": {{ "slots": 1, "connections": 100, "ramp_s": 30 }},
  "defaults": {{ "deadline_ms": 2000, "queue": 4, "retry_budget_percent": 10, "idle_s": 3600 }},
  "routes": [ {{ "path": "/clearances", "idempotent": false, "deadline_ms": 5000 }} ]
}}"#
    );
    DocumentRecord {
        service: format!("syncdesk-api-{i:04}"),
        revision,
        text: Some(text),
    }
}

/// Applies `n` documents.
pub(crate) fn fill(control: &Control, n: usize) {
    for i in 0..n {
        control.apply_document(record(i, 1 + i as u64), &Source::Platform);
    }
    control.take_changed();
}

fn control() -> Rc<Control> {
    let fleet = Fleet::new(&["a"]);
    Control::new(fleet.settings(&Start::new(0, [])))
}

pub(crate) fn run() {
    let text = record(0, 1).text.map_or(0, |text| text.len());
    print("documents: length of one text", 1, format!("{text} B"));
    for n in [100, 1_000, 7_300] {
        let before = live_bytes();
        let control = control();
        fill(&control, n);
        let bytes = (live_bytes() - before) as usize / n;
        print("documents: memory of one document", n, format!("{bytes} B"));
        time_documents(n, &control);
    }
}

fn time_documents(n: usize, control: &Control) {
    let mut revision = n as u64;
    let applied = time(100, || {
        revision += 1;
        control.apply_document(record(1, revision), &Source::Platform);
    });
    print("documents: parse and apply a newer one", n, us(applied));
    let older = time(1_000, || {
        control.apply_document(record(1, 1), &Source::Platform);
    });
    print("documents: ignore an older one", n, us(older));
    let documents = control.documents();
    let mut sums = *documents.sums();
    let same = time(1_000, || {
        black_box(documents.differing_buckets(black_box(&sums)));
    });
    print("documents: compare equal sums", n, us(same));
    sums[0] ^= 1;
    let bucket = time(100, || {
        black_box(documents.digest_in(documents.differing_buckets(&sums)));
    });
    print("documents: digest of one differing bucket", n, us(bucket));
    let whole = time(10, || {
        black_box(documents.digest());
    });
    let share = documents.len() / BUCKETS;
    print("documents: digest of all buckets", n, us(whole));
    print("documents: services in one bucket", n, share);
}
